//! A connection of the application. While the agent ends, one that stands idle is ended from here.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::memory::counters::Counters;

/// One that has just come, and said nothing yet, is about to.
const FRESH: Duration = Duration::from_millis(1_000);

/// What is known of one connection.
pub struct Call {
    came: Instant,
    spoke: Cell<bool>,
    /// Bytes were read since the last answer was written: a request is on its way or in hand.
    busy: Cell<bool>,
    in_hand: Cell<usize>,
    waker: RefCell<Option<Waker>>,
}

impl Call {
    fn fresh(&self) -> bool {
        !self.spoke.get() && self.came.elapsed() < FRESH
    }
}

/// All connections of the application.
#[derive(Default)]
pub struct Calls {
    closing: Cell<bool>,
    next: Cell<u64>,
    all: RefCell<BTreeMap<u64, Rc<Call>>>,
}

impl Calls {
    /// Those with a request on its way or in hand, and those too fresh to tell.
    pub fn busy(&self) -> usize {
        self.all.borrow().values().filter(|call| call.busy.get() || call.fresh()).count()
    }
    /// Ends what stands idle, and what comes to stand idle until this is called off.
    pub fn close_idle(&self, closing: bool) {
        self.closing.set(closing);
        for call in self.all.borrow().values().filter(|call| !call.busy.get()) {
            call.waker.take().into_iter().for_each(Waker::wake);
        }
    }
}

pub struct Caller {
    io: TcpStream,
    id: u64,
    pub call: Rc<Call>,
    calls: Rc<Calls>,
    counters: Rc<Counters>,
}

impl Caller {
    pub fn new(io: TcpStream, calls: Rc<Calls>, counters: Rc<Counters>) -> Caller {
        let _ = io.set_nodelay(true);
        let id = calls.next.get();
        calls.next.set(id + 1);
        let call = Rc::new(Call {
            came: Instant::now(),
            spoke: Cell::new(false),
            busy: Cell::new(false),
            in_hand: Cell::new(0),
            waker: RefCell::new(None),
        });
        calls.all.borrow_mut().insert(id, call.clone());
        counters.callers.set(counters.callers.get() + 1);
        counters.add("calls_opened");
        Caller { io, id, call, calls, counters }
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.calls.all.borrow_mut().remove(&self.id);
        self.counters.callers.set(self.counters.callers.get().saturating_sub(1));
    }
}

/// A request of this connection in hand, while this lives.
pub struct Asked(Option<Rc<Call>>);
impl Asked {
    pub fn on(call: Option<Rc<Call>>) -> Asked {
        call.iter().for_each(|call| call.in_hand.set(call.in_hand.get() + 1));
        Asked(call)
    }
}
impl Drop for Asked {
    fn drop(&mut self) {
        self.0.iter().for_each(|call| call.in_hand.set(call.in_hand.get().saturating_sub(1)));
    }
}

impl AsyncRead for Caller {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        let call = &self.call;
        if buf.filled().len() > before {
            call.spoke.set(true);
            call.busy.set(true);
        } else if read.is_pending() {
            if self.calls.closing.get() && !call.busy.get() && !call.fresh() {
                return Poll::Ready(Ok(())); // as if the application had closed
            }
            call.waker.replace(Some(cx.waker().clone()));
        }
        read
    }
}

impl AsyncWrite for Caller {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        // The server flushes after all that it has; what is written with nothing in hand is an answer's end.
        if self.call.in_hand.get() == 0 && matches!(written, Poll::Ready(Ok(n)) if n == buf.len()) {
            self.call.busy.set(false);
        }
        written
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
