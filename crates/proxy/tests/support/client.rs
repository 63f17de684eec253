//! A client of the mesh, which keeps its connection for as long as the other side does.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::{BOUND, read_headers};

/// The time that a client has for a request where it names no other, in milliseconds.
const DEFAULT_TIME_LEFT_MS: u64 = 4_000;

/// What a client has seen of a request that it sent completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    Answer {
        status: u16,
        complete: bool,
    },
    /// The connection ended before the first byte of an answer.
    NoAnswer,
}

impl Seen {
    /// Whether this complete answer came.
    pub fn is(&self, wanted: u16) -> bool {
        matches!(self, Seen::Answer { status, complete: true } if *status == wanted)
    }
}

/// A connection of a client.
pub struct ClientConnection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    time_left_ms: u64,
}

impl ClientConnection {
    pub fn open(to: SocketAddr) -> Option<ClientConnection> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(BOUND)).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(ClientConnection { stream, reader, time_left_ms: DEFAULT_TIME_LEFT_MS })
    }

    /// The same for requests that have so long.
    pub fn with_time_left_ms(mut self, time_left_ms: u64) -> ClientConnection {
        self.time_left_ms = time_left_ms;
        self
    }

    /// Sends a request, and reads its answer. `None` where it could not be sent completely; then whether the connection can be used again.
    pub fn request(&mut self, path: &str, attempt_id: &str, key: &str) -> Option<(Seen, bool)> {
        let key = if key.is_empty() { String::new() } else { format!("notchspool-operation-key: {key}\r\n") };
        let time_left_ms = self.time_left_ms;
        let head = format!(
            "GET {path} HTTP/1.1\r\nhost: h.example\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-time-left-ms: {time_left_ms}\r\n{key}\r\n"
        );
        self.stream.write_all(head.as_bytes()).ok()?;
        Some(self.read_answer().unwrap_or((Seen::NoAnswer, false)))
    }

    fn read_answer(&mut self) -> Option<(Seen, bool)> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let cut = Some((Seen::Answer { status, complete: false }, false));
        let Some(headers) = read_headers(&mut self.reader) else { return cut };
        let Some(length) = headers.get("content-length").and_then(|length| length.parse::<u64>().ok()) else {
            return cut;
        };
        let mut body = Vec::new();
        let read = (&mut self.reader).take(length).read_to_end(&mut body);
        if read.is_err() || body.len() as u64 != length {
            return cut;
        }
        let is_kept = headers.get("connection").is_none_or(|value| value != "close");
        Some((Seen::Answer { status, complete: true }, is_kept))
    }
}
