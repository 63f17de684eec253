//! A connection to a peer. It knows how much of the posting that writes to it was written and how much came
//! back, takes interim answers out, and says in one log line why it ended.
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::chunks::Chunks;
use crate::memory::counters::Counters;

/// Interim heads ahead of an answer, all together, hold no more than this.
const INTERIM: usize = 16 * 1024;

/// A message that passes: where its head ends, and how much comes after it.
#[derive(Default)]
struct Passing {
    seen: Cell<u32>, // the last four bytes of the head
    headed: Cell<bool>,
    after: Cell<usize>,
    all: Cell<usize>,
}

impl Passing {
    fn passed(&self, bytes: &[u8]) {
        self.all.set(self.all.get() + bytes.len());
        for (i, &byte) in bytes.iter().enumerate() {
            if self.headed.get() {
                return self.after.set(self.after.get() + bytes.len() - i);
            }
            self.seen.set(self.seen.get() << 8 | u32::from(byte));
            self.headed.set(self.seen.get() == u32::from_be_bytes(*b"\r\n\r\n"));
        }
    }
}

/// Heads of answers that are held till they are whole.
const HEAD: usize = 32 * 1024;

/// How far one posting got on its connection.
#[derive(Default)]
pub struct Mark {
    written: Passing,
    /// The last bytes written after the head.
    tail: Cell<u64>,
    /// All of the body was handed to the connection.
    pub fed: Cell<bool>,
    /// Whoever gives the body broke off: no fault of this connection's.
    pub cut: Cell<bool>,
    heard: Passing,
    /// Bytes of the answer that were read, its head held back or not.
    came: Cell<usize>,
    /// None: in chunks.
    body: Option<usize>,
    /// Its answer has no body, whatever its head says.
    bodiless: bool,
    pub ended: Cell<bool>, // the peer ended its sending while we read
    /// Where the answer's body in chunks stands.
    chunks: Cell<Chunks>,
    /// The connection is not to be used again: more came than belongs to the answer, or that can't be told.
    spent: Cell<bool>,
}

tokio::task_local! {
    /// The posting whose future is being polled; what is written or read meanwhile is its own.
    pub static MARK: Rc<Mark>;
}

impl Mark {
    /// `body`: bytes of it, none where it goes in chunks.
    pub fn new(body: Option<usize>, bodiless: bool) -> Rc<Mark> {
        Rc::new(Mark { body, bodiless, ..Mark::default() })
    }
    /// Whether the last byte was written. Before that the posting never ran.
    pub fn whole(&self) -> bool {
        let last = u64::from_be_bytes(*b"\0\0\x000\r\n\r\n");
        let over = match self.body {
            Some(length) => self.written.after.get() >= length,
            None => self.fed.get() && self.tail.get() & 0xff_ffff_ffff == last,
        };
        self.written.headed.get() && over
    }
    fn wrote(&self, bytes: &[u8]) {
        self.written.passed(bytes);
        for byte in &bytes[bytes.len().saturating_sub(5)..] {
            self.tail.set(self.tail.get() << 8 | u64::from(*byte));
        }
    }
    /// Bytes written so far.
    pub fn written(&self) -> usize {
        self.written.all.get()
    }
    /// Bytes of the answer that came, interim heads left out.
    pub fn came(&self) -> usize {
        self.came.get()
    }
    /// The answer is over, with a body of so many bytes, in chunks, or else to the connection's end.
    pub fn over(&self, length: Option<usize>, chunked: bool) {
        self.spent.set(match length {
            _ if chunked => !self.chunks.get().ended_alone(),
            Some(length) => self.heard.after.get() > length,
            None => true,
        });
    }
    /// Bytes of the answer go on to the HTTP client.
    fn hears(&self, bytes: &[u8]) {
        let before = self.heard.after.get();
        self.heard.passed(bytes);
        let mut chunks = self.chunks.get();
        chunks.pass(&bytes[bytes.len() - (self.heard.after.get() - before)..]);
        self.chunks.set(chunks);
    }
}

/// What became of the connections to one peer: it says why another one is opened.
#[derive(Default)]
pub struct Past {
    held: Cell<usize>,
    last: Cell<Last>,
}

#[derive(Clone, Copy, Default)]
enum Last {
    #[default]
    None,
    Register,
    Idle,
    GivenUp,
    Ended,
}

impl Past {
    /// Of the register's, not a backend's.
    pub fn register() -> Rc<Past> {
        Rc::new(Past { held: Cell::new(0), last: Cell::new(Last::Register) })
    }
    fn reason(&self) -> &'static str {
        match self.last.get() {
            Last::Register => "links_opened_register",
            _ if self.held.get() > 0 => "links_opened_beside",
            Last::None => "links_opened_first",
            Last::Idle => "links_opened_after_idle",
            Last::GivenUp => "links_opened_after_given_up",
            Last::Ended => "links_opened_after_end",
        }
    }
    fn opened(&self) {
        self.held.set(self.held.get() + 1);
    }
    fn ended(&self, code: &str) {
        self.held.set(self.held.get().saturating_sub(1));
        if !matches!(self.last.get(), Last::Register) {
            self.last.set(match code {
                "LINK_IDLE" => Last::Idle,
                "LINK_GIVEN_UP" => Last::GivenUp,
                _ => Last::Ended,
            });
        }
    }
}

pub struct Link {
    io: TcpStream,
    to: SocketAddr,
    counters: Rc<Counters>,
    past: Rc<Past>,
    waiting: bool,             // written to, nothing read since
    mark: Option<Rc<Mark>>,    // of the posting that wrote last
    ahead: BytesMut, // read, not yet handed on: an answer's beginning, till it is told from an interim
    opening: bool,   // no byte of the answer itself was handed on yet
    end: Option<&'static str>, // the code, where it was not we who ended it
}

impl Link {
    pub fn up(io: TcpStream, to: SocketAddr, counters: Rc<Counters>, past: Rc<Past>) -> Link {
        let _ = io.set_nodelay(true);
        counters.add(past.reason());
        past.opened();
        counters.links.set(counters.links.get() + 1);
        counters.add("links_opened");
        Link {
            io,
            to,
            counters,
            past,
            waiting: false,
            mark: None,
            ahead: BytesMut::new(),
            opening: false,
            end: None,
        }
    }
    fn broke<T>(&mut self, why: io::Error) -> Poll<io::Result<T>> {
        self.end = Some("LINK_RESET");
        Poll::Ready(Err(why))
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.counters.links.set(self.counters.links.get().saturating_sub(1));
        let code = self.end.unwrap_or(if self.waiting { "LINK_GIVEN_UP" } else { "LINK_IDLE" });
        self.counters.add("links_ended");
        self.past.ended(code);
        log::info!("link to {} ended: {code}", self.to);
    }
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "link to {}", self.to)
    }
}

/// What stands at the start of what came.
#[derive(Debug, PartialEq, Eq)]
enum Head {
    /// Too little of a head to tell.
    Part,
    /// An interim answer (1xx, but for 101, that nobody asks for), to its end. The HTTP client takes the first head that it
    /// sees for the answer.
    Interim(usize),
    /// The head of the answer, to its end.
    Answer(usize),
    /// No head, or one that is too long.
    None,
}

fn head(came: &[u8]) -> Head {
    let begins = came.iter().zip(b"HTTP/1.x ").all(|(byte, want)| *want == b'x' || byte == want);
    let interim = came.get(9) == Some(&b'1') && !came.starts_with(b"HTTP/1.1 101");
    if !begins || came.len() > if interim { INTERIM } else { HEAD } {
        return Head::None;
    }
    let ends = |(at, byte): (usize, &u8)| match (byte, &came[at + 1..]) {
        (b'\n', [b'\r', b'\n', ..]) => Some(at + 3),
        (b'\n', [b'\n', ..]) => Some(at + 2),
        _ => None,
    };
    match came.iter().enumerate().find_map(ends) {
        None => Head::Part,
        Some(end) if interim => Head::Interim(end),
        Some(end) => Head::Answer(end),
    }
}

/// Whether the body of an answer with this head ends with its connection: it has one, of no stated length and not in chunks. The
/// HTTP client believes that of HTTP/1.0 alone, and would take an HTTP/1.1 answer for an empty one.
fn ends_with_connection(head: &[u8]) -> bool {
    let framed = |line: &[u8]| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default().trim_ascii_end();
        [&b"content-length"[..], b"transfer-encoding"].iter().any(|known| name.eq_ignore_ascii_case(known))
    };
    let none = matches!(head.get(9..12), Some(b"204" | b"304" | b"101"));
    !none && !head.split(|byte| *byte == b'\n').skip(1).any(framed)
}

impl Link {
    /// Hands on what was read ahead. Nothing where that is still an interim answer.
    fn hand_on(&mut self, buf: &mut ReadBuf) {
        while self.opening {
            match head(&self.ahead) {
                Head::Part => return,
                Head::Interim(end) => {
                    self.ahead.advance(end);
                    let mark = self.mark.iter();
                    mark.for_each(|mark| mark.came.set(mark.came.get().saturating_sub(end)));
                }
                Head::Answer(end) => {
                    let bodiless = self.mark.as_ref().is_some_and(|mark| mark.bodiless);
                    if !bodiless && ends_with_connection(&self.ahead[..end]) {
                        self.ahead[7] = b'0';
                    }
                    self.opening = false;
                }
                Head::None => self.opening = false,
            }
        }
        let some = self.ahead.split_to(buf.remaining().min(self.ahead.len()));
        buf.put_slice(&some);
        if let Some(mark) = &self.mark {
            mark.hears(&some);
        }
    }
}

impl AsyncRead for Link {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if !self.waiting && self.mark.as_ref().is_some_and(|mark| mark.spent.get()) {
            self.end = Some("LINK_SPENT");
            return Poll::Ready(Ok(())); // as if the peer had closed
        }
        loop {
            self.hand_on(buf);
            if buf.filled().len() > before || buf.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            let mut room = [0; 8 * 1024];
            let mut room = ReadBuf::new(&mut room);
            match Pin::new(&mut self.io).poll_read(cx, &mut room) {
                Poll::Ready(Ok(())) if room.filled().is_empty() => {
                    self.end = Some("LINK_CLOSED");
                    // Not where an idle connection is looked at before the posting takes another one.
                    let _ = MARK.try_with(|mark| mark.ended.set(mark.whole()));
                    return Poll::Ready(Ok(()));
                }
                Poll::Ready(Ok(())) => {
                    self.waiting = false;
                    self.ahead.extend_from_slice(room.filled());
                    let many = room.filled().len();
                    self.mark.iter().for_each(|mark| mark.came.set(mark.came.get() + many));
                }
                Poll::Ready(Err(why)) => return self.broke(why),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

impl AsyncWrite for Link {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.io).poll_write(cx, buf) {
            Poll::Ready(Ok(n)) => {
                if let Ok(mark) = MARK.try_with(Rc::clone) {
                    mark.wrote(&buf[..n]);
                    self.opening |= !self.mark.as_ref().is_some_and(|old| Rc::ptr_eq(old, &mark));
                    self.mark = Some(mark);
                }
                self.waiting = true;
                Poll::Ready(Ok(n))
            }
            Poll::Ready(Err(why)) => self.broke(why),
            Poll::Pending => Poll::Pending,
        }
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl ActixStream for Link {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.io, cx)
    }
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.io, cx)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest", Head::Answer(25))]
    #[case(b"HTTP/1.1 200 OK\nA: b\n\nrest", Head::Answer(22))]
    #[case(b"HTTP/1.1 100 Continue\r\n\r\nHTTP", Head::Interim(25))]
    #[case(b"HTTP/1.1 101 No\r\n\r\n", Head::Answer(19))]
    #[case(b"noise", Head::None)]
    fn a_head_is_told_once_it_is_whole(#[case] came: &[u8], #[case] told: Head) {
        let end = match told {
            Head::Answer(end) | Head::Interim(end) => end,
            _ => came.len(),
        };
        assert_eq!(head(came), told);
        for cut in 0..end {
            assert!(matches!(head(&came[..cut]), Head::Part | Head::None), "{cut}");
        }
    }

    #[rstest]
    #[case(b"HTTP/1.1 200 OK\r\n\r\n", true)]
    #[case(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", true)]
    #[case(b"HTTP/1.1 200 OK\r\nCONTENT-length : 3\r\n\r\n", false)]
    #[case(b"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", false)]
    #[case(b"HTTP/1.1 204 No\r\n\r\n", false)]
    fn an_answer_without_a_length_ends_with_its_connection(#[case] head: &[u8], #[case] so: bool) {
        assert_eq!(ends_with_connection(head), so);
    }

    #[test]
    fn chunks_are_whole_with_their_last_one_alone() {
        let mark = Mark::new(None, false);
        mark.wrote(b"POST / HTTP/1.1\r\n\r\n");
        mark.wrote(b"5\r\n0\r\n\r\n\r\n");
        assert!(!mark.whole(), "a body may look like its own end");
        mark.fed.set(true);
        mark.wrote(b"0\r\n");
        assert!(!mark.whole());
        mark.wrote(b"\r\n");
        assert!(mark.whole());
    }
}
