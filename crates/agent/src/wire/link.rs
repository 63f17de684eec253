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

/// How far one posting got on its connection.
#[derive(Default)]
pub struct Mark {
    written: Passing,
    heard: Passing,
    body: usize,
    pub ended: Cell<bool>, // the peer ended its sending while we read
    /// The connection is not to be used again: more came than belongs to the answer, or that can't be told.
    spent: Cell<bool>,
}

tokio::task_local! {
    /// The posting whose future is being polled; what is written or read meanwhile is its own.
    pub static MARK: Rc<Mark>;
}

impl Mark {
    pub fn new(body: usize) -> Rc<Mark> {
        Rc::new(Mark { body, ..Mark::default() })
    }
    /// Whether the last byte was written. Before that the posting never ran.
    pub fn whole(&self) -> bool {
        self.written.headed.get() && self.written.after.get() >= self.body
    }
    /// Bytes of the answer that came, interim heads left out.
    pub fn heard(&self) -> usize {
        self.heard.all.get()
    }
    /// The answer is over, with a body of so many bytes, or nobody knows how many.
    pub fn over(&self, length: Option<usize>) {
        self.spent.set(length.is_none_or(|length| self.heard.after.get() > length));
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

/// Where an interim answer (1xx, but for 101, that nobody asks for) ends at the start of what came, if it is
/// one; none as long as that can't be told. The HTTP client takes the first head that it sees for the answer.
fn interim(came: &[u8]) -> Option<usize> {
    let sample = b"HTTP/1.x 1xx";
    let told = came.iter().zip(sample).all(|(byte, want)| *want == b'x' || byte == want);
    if !told || came.starts_with(b"HTTP/1.1 101") || came.len() > INTERIM {
        return Some(0);
    }
    came.windows(4).position(|end| end == b"\r\n\r\n").map(|at| at + 4)
}

impl Link {
    /// Hands on what was read ahead. Nothing where that is still an interim answer.
    fn hand_on(&mut self, buf: &mut ReadBuf) {
        while self.opening {
            match interim(&self.ahead) {
                Some(0) if !self.ahead.is_empty() => self.opening = false,
                Some(end) if end > 0 => self.ahead.advance(end),
                _ => return,
            }
        }
        let some = self.ahead.split_to(buf.remaining().min(self.ahead.len()));
        buf.put_slice(&some);
        if let Some(mark) = &self.mark {
            mark.heard.passed(&some);
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
                    mark.written.passed(&buf[..n]);
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
