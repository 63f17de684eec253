//! The little of HTTP/1.1 that the lab's peers speak, on a connection whose every byte they see and may spoil.
//! Heads are read by `httparse`; bodies come with a length or in chunks.
use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub const HEAD: usize = 16 * 1024;
pub const BODY: usize = 1024 * 1024;

/// The first line and the headers, names in small letters.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub method: String,
    pub path: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
    /// The length told; None where it comes in chunks.
    pub fn length(&self) -> Option<usize> {
        match self.header("transfer-encoding") {
            Some(_) => None,
            None => Some(self.header("content-length").and_then(|v| v.trim().parse().ok()).unwrap_or(0)),
        }
    }
}

pub struct Wire {
    pub io: TcpStream,
    pub buf: BytesMut,
}

fn bad(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
fn short() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "ended in the middle")
}

impl Wire {
    pub fn new(io: TcpStream) -> Wire {
        let _ = io.set_nodelay(true);
        Wire { io, buf: BytesMut::new() }
    }

    /// Some more bytes; none at the end of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buf.reserve(4096);
        self.io.read_buf(&mut self.buf).await
    }

    /// Takes a head out of what has come, if it is there whole.
    pub fn parse(&mut self, request: bool) -> io::Result<Option<Head>> {
        let mut room = [httparse::EMPTY_HEADER; 64];
        let mut head = Head::default();
        let (used, headers) = if request {
            let mut read = httparse::Request::new(&mut room);
            let state = read.parse(&self.buf).map_err(|_| bad("no HTTP request"))?;
            (head.method, head.path) =
                (read.method.unwrap_or("").to_owned(), read.path.unwrap_or("").to_owned());
            (state, read.headers)
        } else {
            let mut read = httparse::Response::new(&mut room);
            let state = read.parse(&self.buf).map_err(|_| bad("no HTTP answer"))?;
            head.status = read.code.unwrap_or(0);
            (state, read.headers)
        };
        let httparse::Status::Complete(used) = used else {
            return if self.buf.len() > HEAD { Err(bad("a head too long")) } else { Ok(None) };
        };
        let text = |h: &httparse::Header| {
            (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).trim().to_owned())
        };
        head.headers = headers.iter().map(text).collect();
        self.buf.advance(used);
        Ok(Some(head))
    }

    /// A head, waited for. None where the connection ended before its first byte.
    pub async fn head(&mut self, request: bool) -> io::Result<Option<Head>> {
        loop {
            if !self.buf.is_empty()
                && let Some(head) = self.parse(request)?
            {
                return Ok(Some(head));
            }
            if self.fill().await? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(short()) };
            }
        }
    }

    pub async fn exactly(&mut self, many: usize) -> io::Result<Bytes> {
        if many > BODY {
            return Err(bad("a body too long"));
        }
        while self.buf.len() < many {
            if self.fill().await? == 0 {
                return Err(short());
            }
        }
        Ok(self.buf.split_to(many).freeze())
    }

    async fn line(&mut self) -> io::Result<Bytes> {
        loop {
            if let Some(end) = self.buf.iter().position(|&b| b == b'\n') {
                return Ok(self.buf.split_to(end + 1).freeze());
            }
            if self.buf.len() > HEAD {
                return Err(bad("a line too long"));
            }
            if self.fill().await? == 0 {
                return Err(short());
            }
        }
    }

    /// One chunk of a chunked body; empty at its end.
    pub async fn chunk(&mut self) -> io::Result<Bytes> {
        let line = self.line().await?;
        let text = String::from_utf8_lossy(&line);
        let many = usize::from_str_radix(text.trim().split(';').next().unwrap_or(""), 16)
            .map_err(|_| bad("no length of a chunk"))?;
        let chunk = self.exactly(many).await?;
        self.line().await?;
        Ok(chunk)
    }

    pub async fn body(&mut self, head: &Head) -> io::Result<Bytes> {
        if let Some(length) = head.length() {
            return self.exactly(length).await;
        }
        let mut whole = BytesMut::new();
        loop {
            let chunk = self.chunk().await?;
            if chunk.is_empty() {
                return Ok(whole.freeze());
            }
            if whole.len() + chunk.len() > BODY {
                return Err(bad("a body too long"));
            }
            whole.extend_from_slice(&chunk);
        }
    }

    pub async fn say(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes).await
    }

    /// Ends the connection with a reset instead of an orderly close.
    pub fn reset(self) {
        let _ = self.io.set_zero_linger();
    }
}

/// An answer with its length.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

pub async fn get(at: std::net::SocketAddr, path: &str, within: Duration) -> io::Result<(u16, Bytes)> {
    let asked = async {
        let mut wire = Wire::new(TcpStream::connect(at).await?);
        wire.say(format!("GET {path} HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").as_bytes()).await?;
        let head = wire.head(false).await?.ok_or_else(short)?;
        let body = wire.body(&head).await?;
        Ok((head.status, body))
    };
    tokio::time::timeout(within, asked).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
