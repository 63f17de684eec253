//! A slow and plain reader of HTTP/1.1 messages, for what the fast ones have to agree with: all bytes are there, and each step looks at them
//! anew. It is written by the text of RFC 9112 alone, and shares nothing with the readers that it judges.

/// How a connection ended behind the bytes that came on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is still open.
    Kept,
    /// In order.
    Closed,
    /// By a reset.
    Reset,
}

/// A complete answer.
#[derive(Clone, PartialEq, Eq)]
pub struct Message {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl std::fmt::Debug for Message {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let start = String::from_utf8_lossy(&self.body[..self.body.len().min(60)]).into_owned();
        write!(formatter, "{} with {} bytes, {start:?}", self.status, self.body.len())
    }
}

/// The first answer in these bytes; `None` where it is not complete, or none.
pub fn read(bytes: &[u8], ending: Ending) -> Option<Message> {
    let (status, headers, rest) = read_head(bytes)?;
    if (100..200).contains(&status) {
        return read(rest, ending);
    }
    let values = |name: &str| -> Vec<&str> {
        headers.iter().filter(|(known, _)| known == name).map(|(_, value)| value.as_str()).collect()
    };
    let (encodings, lengths) = (values("transfer-encoding"), values("content-length"));
    let body = match (encodings.as_slice(), lengths.as_slice()) {
        _ if status == 204 || status == 304 => Vec::new(),
        ([encoding], []) if encoding.eq_ignore_ascii_case("chunked") => read_chunks(rest)?,
        ([], []) => Some(rest.to_vec()).filter(|_| ending == Ending::Closed)?,
        ([], [length, others @ ..]) => {
            let is_number = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
            let is_one = is_number && others.iter().all(|other| other == length);
            rest.get(..length.parse::<usize>().ok().filter(|_| is_one)?)?.to_vec()
        }
        _ => return None,
    };
    Some(Message { status, headers, body })
}

/// The bytes before the first line end, and those behind it. In a head a line may end without its carriage return (RFC 9112, section 2.2).
fn split_line(bytes: &[u8], is_bare_end_allowed: bool) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().enumerate().find(|(at, byte)| {
        let is_after_return = *at > 0 && bytes[at - 1] == b'\r';
        **byte == b'\n' && (is_bare_end_allowed || is_after_return)
    });
    let (end, _) = end?;
    let line = &bytes[..end];
    Some((line.strip_suffix(b"\r").unwrap_or(line), &bytes[end + 1..]))
}

type Head<'a> = (u16, Vec<(String, String)>, &'a [u8]);

fn read_head(bytes: &[u8]) -> Option<Head<'_>> {
    // Empty lines before the first are left out, as most readers do.
    let mut rest = bytes;
    while let Some(behind) = rest.strip_prefix(b"\r\n").or_else(|| rest.strip_prefix(b"\n")) {
        rest = behind;
    }
    let (first, mut rest) = split_line(rest, true)?;
    let first = String::from_utf8_lossy(first).into_owned();
    let words = first.strip_prefix("HTTP/1.1 ").or_else(|| first.strip_prefix("HTTP/1.0 "))?;
    let status = words.get(..3)?.parse().ok()?;
    let mut headers = Vec::new();
    loop {
        let (line, behind) = split_line(rest, true)?;
        rest = behind;
        if line.is_empty() {
            return Some((status, headers, rest));
        }
        let line = String::from_utf8_lossy(line).into_owned();
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

fn read_chunks(bytes: &[u8]) -> Option<Vec<u8>> {
    let (mut body, mut rest) = (Vec::new(), bytes);
    loop {
        let (line, behind) = split_line(rest, false)?;
        let line = std::str::from_utf8(line).ok()?;
        let digits: String = line.chars().take_while(char::is_ascii_hexdigit).collect();
        let extension = line[digits.len()..].trim();
        if digits.is_empty() || !(extension.is_empty() || extension.starts_with(';')) {
            return None;
        }
        let size = usize::try_from(u128::from_str_radix(&digits, 16).ok()?).ok()?;
        rest = behind;
        if size == 0 {
            break;
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest[size..].strip_prefix(b"\r\n")?;
    }
    loop {
        let (line, behind) = split_line(rest, false)?;
        if line.is_empty() {
            return Some(body);
        }
        line.contains(&b':').then_some(())?;
        rest = behind;
    }
}
