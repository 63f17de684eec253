//! What stands in params and in the head of an answer, by RFC 3875.
use bytes::{Bytes, BytesMut};

use crate::pairs::Pair;

/// A request as its params tell it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    pub method: String,
    /// With its query.
    pub path: String,
    pub host: String,
    /// Names in small letters, with dashes.
    pub headers: Vec<(String, Bytes)>,
    pub remote: String,
}

fn text(value: &Bytes) -> String {
    String::from_utf8_lossy(value).into_owned()
}

/// Reads the params. `REQUEST_URI` is taken where it is there, as it came; else the path is put together from
/// `SCRIPT_NAME`, `PATH_INFO` and `QUERY_STRING`. An error names the param.
pub fn told(params: &[Pair]) -> Result<Told, &'static str> {
    let find = |name: &str| params.iter().find(|p| &p.0[..] == name.as_bytes()).map(|p| &p.1);
    let given = |name| find(name).map(text).filter(|v| !v.is_empty());
    let method = given("REQUEST_METHOD").ok_or("no REQUEST_METHOD")?;
    let path = match given("REQUEST_URI") {
        Some(uri) => uri,
        None => {
            let path = given("SCRIPT_NAME").unwrap_or_default() + &given("PATH_INFO").unwrap_or_default();
            if path.is_empty() {
                return Err("neither REQUEST_URI nor SCRIPT_NAME and PATH_INFO");
            }
            path + &given("QUERY_STRING").map(|q| format!("?{q}")).unwrap_or_default()
        }
    };
    let mut headers = Vec::new();
    for (name, value) in params {
        let own = match &name[..] {
            b"CONTENT_TYPE" if !value.is_empty() => Some("content-type".to_owned()),
            name => name.strip_prefix(b"HTTP_").map(|n| String::from_utf8_lossy(n).replace('_', "-")),
        };
        headers.extend(own.map(|name| (name.to_ascii_lowercase(), value.clone())));
    }
    Ok(Told {
        method,
        path,
        host: given("HTTP_HOST").or(given("SERVER_NAME")).unwrap_or_default(),
        headers,
        remote: given("REMOTE_ADDR").unwrap_or_default(),
    })
}

/// Params of a request on its way to a server. `headers` are names in any case with their values.
pub fn params<'a>(
    method: &str,
    path: &str,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: usize,
) -> Vec<Pair> {
    let (script, query) = path.split_once('?').unwrap_or((path, ""));
    let pair = |name: &str, value: &str| (Bytes::from(name.to_owned()), Bytes::from(value.to_owned()));
    let mut params = vec![
        pair("GATEWAY_INTERFACE", "CGI/1.1"),
        pair("SERVER_PROTOCOL", "HTTP/1.1"),
        pair("SERVER_SOFTWARE", "notchspool"),
        pair("REQUEST_METHOD", method),
        pair("REQUEST_URI", path),
        pair("SCRIPT_NAME", script),
        pair("QUERY_STRING", query),
        pair("CONTENT_LENGTH", &body.to_string()),
    ];
    for (name, value) in headers {
        let value = Bytes::copy_from_slice(value);
        let name = match name.to_ascii_lowercase().as_str() {
            "content-type" => "CONTENT_TYPE".to_owned(),
            // Anyone could slip a proxy into a script with this one.
            "proxy" | "content-length" => continue,
            name => format!("HTTP_{}", name.replace('-', "_").to_ascii_uppercase()),
        };
        params.push((name.into(), value));
    }
    params
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, Bytes)>,
}

/// Reads head and body of an answer's stdout. `Status` is 200 where it is left out, 302 beside a `Location`. None
/// where the head has no end, or a line of it can't be read.
pub fn answer(stdout: &Bytes) -> Option<(Head, Bytes)> {
    let mut head = Head { status: 0, headers: Vec::new() };
    let mut at = 0;
    loop {
        let end = at + stdout[at..].iter().position(|&b| b == b'\n')?;
        let line = stdout[at..end].strip_suffix(b"\r").unwrap_or(&stdout[at..end]);
        let from = at;
        at = end + 1;
        if line.is_empty() {
            break;
        }
        let colon = line.iter().position(|&b| b == b':')?;
        let name = std::str::from_utf8(&line[..colon]).ok()?.trim().to_ascii_lowercase();
        if name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_') {
            return None;
        }
        let value = line[colon + 1..].trim_ascii();
        if name == "status" {
            let code = value.get(..3).and_then(|v| std::str::from_utf8(v).ok())?.parse::<u16>().ok()?;
            head.status = Some(code).filter(|code| (100..600).contains(code))?;
            continue;
        }
        let start = from + colon + 1 + line[colon + 1..].len() - line[colon + 1..].trim_ascii_start().len();
        head.headers.push((name, stdout.slice(start..start + value.len())));
    }
    // An answer without a single header is none.
    if head.headers.is_empty() && head.status == 0 {
        return None;
    }
    if head.status == 0 {
        head.status = if head.headers.iter().any(|h| h.0 == "location") { 302 } else { 200 };
    }
    Some((head, stdout.slice(at..)))
}

/// Writes the head and body of an answer.
pub fn put_answer<'a>(status: u16, headers: impl Iterator<Item = (&'a str, &'a [u8])>, body: &[u8]) -> Bytes {
    let mut said = BytesMut::new();
    said.extend_from_slice(format!("Status: {status}\r\n").as_bytes());
    for (name, value) in headers {
        said.extend_from_slice(name.as_bytes());
        said.extend_from_slice(b": ");
        said.extend_from_slice(value);
        said.extend_from_slice(b"\r\n");
    }
    said.extend_from_slice(b"\r\n");
    said.extend_from_slice(body);
    said.freeze()
}
