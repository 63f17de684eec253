//! What stands at the start of what a backend sent: an interim answer, the answer, or neither.

/// Interim heads ahead of an answer, all together, hold no more than this, in bytes.
const MAX_INTERIM_BYTES: usize = 16 * 1024;
/// The longest head of an answer that is held until it is complete, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Where the status stands in `HTTP/1.x 200`.
const STATUS: std::ops::Range<usize> = 9..12;
/// Where the digit of the version stands.
pub const MINOR_VERSION_INDEX: usize = 7;

/// What stands at the start.
#[derive(Debug, PartialEq, Eq)]
pub enum AnswerHead {
    /// Too little of a head to tell.
    Incomplete,
    /// An interim answer (1xx, but for 101, that nobody asks for), of so many bytes. The HTTP client takes the first head that it sees for the
    /// answer.
    Interim(usize),
    /// The head of the answer, of so many bytes.
    Final(usize),
    /// No head, or one that is too long.
    None,
}

impl AnswerHead {
    /// Looks at the start of what came.
    pub fn find(received: &[u8]) -> AnswerHead {
        let is_http = received.iter().zip(b"HTTP/1.x ").all(|(byte, want)| *want == b'x' || byte == want);
        let is_interim = received.get(STATUS.start) == Some(&b'1') && !received.starts_with(b"HTTP/1.1 101");
        let limit = if is_interim { MAX_INTERIM_BYTES } else { MAX_HEAD_BYTES };
        if !is_http || received.len() > limit {
            return AnswerHead::None;
        }
        let end_at = |(index, byte): (usize, &u8)| match (byte, &received[index + 1..]) {
            (b'\n', [b'\r', b'\n', ..]) => Some(index + 3),
            (b'\n', [b'\n', ..]) => Some(index + 2),
            _ => None,
        };
        match received.iter().enumerate().find_map(end_at) {
            None => AnswerHead::Incomplete,
            Some(end) if is_interim => AnswerHead::Interim(end),
            Some(end) => AnswerHead::Final(end),
        }
    }
}

/// Whether the body of an answer with this head ends with its connection: it has one, of no stated length and not in chunks. The HTTP client believes
/// that of HTTP/1.0 alone, and would take an HTTP/1.1 answer for an empty one.
pub fn ends_with_connection(head: &[u8]) -> bool {
    let is_framing = |line: &[u8]| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default().trim_ascii_end();
        [&b"content-length"[..], b"transfer-encoding"].iter().any(|known| name.eq_ignore_ascii_case(known))
    };
    let has_no_body = matches!(head.get(STATUS), Some(b"204" | b"304" | b"101"));
    !has_no_body && !head.split(|byte| *byte == b'\n').skip(1).any(is_framing)
}
