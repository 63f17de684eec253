//! What stands in params and in the head of an answer, by RFC 3875.
use bytes::{Bytes, BytesMut};

use crate::pairs::Pair;

/// Statuses of HTTP.
const STATUSES: std::ops::Range<u16> = 100..600;
const STATUS_DIGITS: usize = 3;
const DEFAULT_STATUS: u16 = 200;
/// The status of an answer with a `Location` and none of its own.
const REDIRECT_STATUS: u16 = 302;

/// A request as its params state it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CgiRequest {
    /// Its method.
    pub method: String,
    /// Its path with its query.
    pub path: String,
    /// Its host; empty where it is not stated.
    pub host: String,
    /// Names in lower case, with dashes.
    pub headers: Vec<(String, Bytes)>,
    /// The client's address; empty where it is not stated.
    pub client_address: String,
}

/// A param that is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingParam {
    /// The method.
    Method,
    /// Everything that a path could be put together from.
    Path,
}

impl std::fmt::Display for MissingParam {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            MissingParam::Method => "no REQUEST_METHOD",
            MissingParam::Path => "neither REQUEST_URI nor SCRIPT_NAME and PATH_INFO",
        })
    }
}

impl std::error::Error for MissingParam {}

/// Reads the params. `REQUEST_URI` is taken where it is there, as it came; else the path is put together from `SCRIPT_NAME`, `PATH_INFO` and
/// `QUERY_STRING`.
///
/// # Errors
///
/// There is no method, or nothing of a path.
pub fn parse_request(params: &[Pair]) -> Result<CgiRequest, MissingParam> {
    let method = find(params, "REQUEST_METHOD").ok_or(MissingParam::Method)?;
    let path = find(params, "REQUEST_URI").or_else(|| assemble_path(params)).ok_or(MissingParam::Path)?;
    let host = find(params, "HTTP_HOST").or_else(|| find(params, "SERVER_NAME"));
    Ok(CgiRequest {
        method,
        path,
        host: host.unwrap_or_default(),
        headers: params.iter().filter_map(header).collect(),
        client_address: find(params, "REMOTE_ADDR").unwrap_or_default(),
    })
}

/// A param that is not empty.
fn find(params: &[Pair], name: &str) -> Option<String> {
    let pair = params.iter().find(|pair| pair.name == name.as_bytes())?;
    Some(String::from_utf8_lossy(&pair.value).into_owned()).filter(|value| !value.is_empty())
}

fn assemble_path(params: &[Pair]) -> Option<String> {
    let script = find(params, "SCRIPT_NAME").unwrap_or_default();
    let path = script + &find(params, "PATH_INFO").unwrap_or_default();
    if path.is_empty() {
        return None;
    }
    let query = find(params, "QUERY_STRING").map(|query| format!("?{query}"));
    Some(path + &query.unwrap_or_default())
}

/// A param that is a header.
fn header(pair: &Pair) -> Option<(String, Bytes)> {
    let name = match &pair.name[..] {
        b"CONTENT_TYPE" if !pair.value.is_empty() => "content-type".to_owned(),
        name => {
            let name = name.strip_prefix(b"HTTP_")?;
            String::from_utf8_lossy(name).replace('_', "-").to_ascii_lowercase()
        }
    };
    Some((name, pair.value.clone()))
}

/// Params of a request on its way to a server. `headers` are names in any case with their values.
pub fn request_params<'a>(
    method: &str,
    path: &str,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    body_length: usize,
) -> Vec<Pair> {
    let (script, query) = path.split_once('?').unwrap_or((path, ""));
    let pair = |name: &str, value: &str| Pair {
        name: Bytes::from(name.to_owned()),
        value: Bytes::from(value.to_owned()),
    };
    let mut params = vec![
        pair("GATEWAY_INTERFACE", "CGI/1.1"),
        pair("SERVER_PROTOCOL", "HTTP/1.1"),
        pair("SERVER_SOFTWARE", "notchspool"),
        pair("REQUEST_METHOD", method),
        pair("REQUEST_URI", path),
        pair("SCRIPT_NAME", script),
        pair("QUERY_STRING", query),
        pair("CONTENT_LENGTH", &body_length.to_string()),
    ];
    params.extend(headers.filter_map(|(name, value)| {
        Some(Pair { name: param_name(name)?.into(), value: Bytes::copy_from_slice(value) })
    }));
    params
}

/// The name of a header as a param; nothing where it does not go along.
fn param_name(header: &str) -> Option<String> {
    match header.to_ascii_lowercase().as_str() {
        "content-type" => Some("CONTENT_TYPE".to_owned()),
        // Anyone could slip a proxy into a script with this one.
        "proxy" | "content-length" => None,
        name => Some(format!("HTTP_{}", name.replace('-', "_").to_ascii_uppercase())),
    }
}

/// An answer as its stdout states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CgiAnswer {
    /// Its status.
    pub status: u16,
    /// Its headers, names in lower case.
    pub headers: Vec<(String, Bytes)>,
    /// Its body.
    pub body: Bytes,
}

/// Reads an answer's stdout. The status is 200 where it is left out, 302 beside a `Location`. Nothing where the head has no end, or a line of it can't
/// be read.
pub fn parse_answer(stdout: &Bytes) -> Option<CgiAnswer> {
    let (mut status, mut headers) = (None, Vec::new());
    let mut rest = stdout.clone();
    loop {
        let end = rest.iter().position(|&byte| byte == b'\n')?;
        let line = rest.split_to(end + 1).slice(..end);
        let line = if line.ends_with(b"\r") { line.slice(..end - 1) } else { line };
        if line.is_empty() {
            break;
        }
        match parse_line(&line)? {
            HeadLine::Status(stated) => status = Some(stated),
            HeadLine::Header(name, value) => headers.push((name, value)),
        }
    }
    // An answer without a single header is none.
    if headers.is_empty() && status.is_none() {
        return None;
    }
    let is_redirect = headers.iter().any(|(name, _)| name == "location");
    let default = if is_redirect { REDIRECT_STATUS } else { DEFAULT_STATUS };
    Some(CgiAnswer { status: status.unwrap_or(default), headers, body: rest })
}

enum HeadLine {
    Status(u16),
    Header(String, Bytes),
}

fn parse_line(line: &Bytes) -> Option<HeadLine> {
    let colon = line.iter().position(|&byte| byte == b':')?;
    let name = std::str::from_utf8(&line[..colon]).ok()?.trim().to_ascii_lowercase();
    let is_valid = name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_');
    if name.is_empty() || !is_valid {
        return None;
    }
    let value = line.slice_ref(line[colon + 1..].trim_ascii());
    if name != "status" {
        return Some(HeadLine::Header(name, value));
    }
    let digits = std::str::from_utf8(value.get(..STATUS_DIGITS)?).ok()?;
    let status = digits.parse().ok().filter(|status| STATUSES.contains(status))?;
    Some(HeadLine::Status(status))
}

/// Writes the head and body of an answer.
pub fn encode_answer<'a>(
    status: u16,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: &[u8],
) -> Bytes {
    let mut stdout = BytesMut::new();
    stdout.extend_from_slice(format!("Status: {status}\r\n").as_bytes());
    for (name, value) in headers {
        stdout.extend_from_slice(name.as_bytes());
        stdout.extend_from_slice(b": ");
        stdout.extend_from_slice(value);
        stdout.extend_from_slice(b"\r\n");
    }
    stdout.extend_from_slice(b"\r\n");
    stdout.extend_from_slice(body);
    stdout.freeze()
}
