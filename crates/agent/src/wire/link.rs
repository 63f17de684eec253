//! A connection to a peer. It knows how much of the posting that writes to it was written, and says in one
//! log line why it ended.
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::memory::counters::Counters;

/// How far one posting got on its connection.
#[derive(Default)]
pub struct Mark {
    seen: Cell<u32>, // the last four bytes written of the head
    headed: Cell<bool>,
    body: usize,
    after: Cell<usize>,
    pub ended: Cell<bool>, // the peer ended its sending while we read
}

tokio::task_local! {
    /// The posting whose future is being polled; what is written or read meanwhile is its own.
    pub static MARK: Rc<Mark>;
}

impl Mark {
    pub fn new(body: usize) -> Rc<Mark> {
        Rc::new(Mark { body, ..Mark::default() })
    }
    fn wrote(&self, bytes: &[u8]) {
        for (i, &byte) in bytes.iter().enumerate() {
            if self.headed.get() {
                return self.after.set(self.after.get() + bytes.len() - i);
            }
            self.seen.set(self.seen.get() << 8 | u32::from(byte));
            self.headed.set(self.seen.get() == u32::from_be_bytes(*b"\r\n\r\n"));
        }
    }
    /// Whether the last byte was written. Before that the posting never ran.
    pub fn whole(&self) -> bool {
        self.headed.get() && self.after.get() >= self.body
    }
}

pub struct Link {
    io: TcpStream,
    to: SocketAddr,
    counters: Rc<Counters>,
    waiting: bool,             // written to, nothing read since
    end: Option<&'static str>, // the code, where it was not we who ended it
}

impl Link {
    pub fn up(io: TcpStream, to: SocketAddr, counters: Rc<Counters>) -> Link {
        let _ = io.set_nodelay(true);
        counters.links.set(counters.links.get() + 1);
        counters.add("links_opened");
        Link { io, to, counters, waiting: false, end: None }
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
        log::info!("link to {} ended: {code}", self.to);
    }
}

impl std::fmt::Debug for Link {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "link to {}", self.to)
    }
}

impl AsyncRead for Link {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.io).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => {
                if buf.filled().len() == before && buf.remaining() > 0 {
                    self.end = Some("LINK_CLOSED");
                    // Not where an idle connection is looked at before the posting takes another one.
                    let _ = MARK.try_with(|mark| mark.ended.set(mark.whole()));
                } else {
                    self.waiting = false;
                }
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(why)) => self.broke(why),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Link {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.io).poll_write(cx, buf) {
            Poll::Ready(Ok(n)) => {
                let _ = MARK.try_with(|mark| mark.wrote(&buf[..n]));
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
