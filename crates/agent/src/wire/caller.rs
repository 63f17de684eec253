//! A connection of the application. While the agent ends, one that stands idle is ended from here.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use actix_rt::net::{TcpStream, UnixStream};
use bytes::BytesMut;
use notchspool::units::Micros;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::memory::counters::Counters;

/// One that has just come, and said nothing yet, is about to.
const FRESH: Duration = Duration::from_millis(1_000);
/// A first word, and the head of a request once begun, must be here within this: a slow client takes 2 s.
const WHOLE: Duration = Duration::from_millis(2_300);
/// From then on a request has to grow by so many bytes a second: half of what a slow client gives.
const GROWS: f64 = 32_000.0;
/// One that grew so lately is given so much more: its last piece may be on its way.
const STILL_COMES: Duration = Duration::from_millis(300);
const LATER_STILL: Duration = Duration::from_millis(300);
/// An answer of which nothing is taken for so long is not read. A slow reader takes a large piece at a time.
const UNREAD: Duration = Duration::from_millis(2_500);
/// The same where a large answer passes: a slow reader's system says only now and then that there is room again, by half of what it holds.
const UNREAD_FLOW: Duration = Duration::from_secs(15);
/// Where room is short, one that has yet to say something makes way after this, and one whose request has stopped growing for so long: what a
/// slow client writes comes in pieces, and not all of them at once.
const UNSAID: Duration = Duration::from_millis(300);
const HALTED: Duration = Duration::from_millis(1_000);
/// Where there is none left, one that has yet to say something, or all of it, makes way after this.
const PRESSED: Duration = Duration::from_millis(100);
/// One may stand idle for this long where there is room.
const IDLE: Duration = Duration::from_secs(60);

/// Requests that are handed on at once. Each is 7 kB once it is read, of 18 bytes that came: a burst of them would take all memory
/// before the first is answered.
const AT_ONCE: usize = 2;

/// Bytes of requests that wait behind one in hand.
const LATER: usize = 2 * 1024;

/// Where the heads that may be handed on at once end, if more comes behind them. A line without anything ends a head; in a body
/// it only means another turn.
fn enough(bytes: &[u8]) -> Option<usize> {
    let mut ends = 0;
    for (at, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        let end = match bytes.get(at + 1..) {
            Some([b'\n', ..]) => at + 2,
            Some([b'\r', b'\n', ..]) => at + 3,
            _ => continue,
        };
        ends += 1;
        if ends == AT_ONCE {
            return Some(end).filter(|end| *end < bytes.len());
        }
    }
    None
}

/// How connections that stand idle are let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Letting {
    /// After a minute.
    Keep,
    /// At once, but for those that have just come.
    AllButFresh,
    /// A few at a time, the longest idle first: so long after it began, between these two times.
    Since(Micros, (Micros, Micros)),
}

/// What is known of one connection.
pub struct Call {
    /// When it came, when the first byte of a request came, or when the last answer went.
    since: Cell<Instant>,
    spoke: Cell<bool>,
    /// When bytes last came.
    heard: Cell<Instant>,
    /// Bytes were read since the last answer was written: a request is on its way or in hand.
    busy: Cell<bool>,
    in_hand: Cell<usize>,
    /// Bytes of the request that is on its way.
    grown: Cell<usize>,
    /// The answer written last is one that passes through.
    flowed: Cell<bool>,
    /// A body passes through: what comes belongs to it, whatever it looks like.
    pub passing: Cell<bool>,
    /// It sent what can't be a txn, and why: it gets its answer, and no more is read.
    refused: Cell<Option<&'static str>>,
    /// Ended from here, with this reason code.
    ended: Cell<Option<&'static str>>,
    waker: RefCell<Option<Waker>>,
    /// Since when what was to be written is not taken.
    unread: Cell<Option<Instant>>,
    unsent: Cell<usize>,
    writer: RefCell<Option<Waker>>,
}

impl Call {
    fn fresh(&self) -> bool {
        !self.spoke.get() && self.since.get().elapsed() < FRESH
    }
    /// How long a request may take that came as far as this one.
    fn allowed(&self) -> Duration {
        let still = if self.heard.get().elapsed() < STILL_COMES { LATER_STILL } else { Duration::ZERO };
        WHOLE + still + Duration::from_secs_f64(self.grown.get() as f64 / GROWS)
    }
    pub fn refuse(&self, why: &'static str) {
        self.refused.set(Some(why));
    }
    pub fn refused(&self) -> Option<&'static str> {
        self.refused.get()
    }
    pub fn ended(&self) -> Option<&'static str> {
        self.ended.get()
    }
    pub fn end(&self, code: &'static str) {
        self.ended.set(Some(code));
        self.waker.take().into_iter().chain(self.writer.take()).for_each(Waker::wake);
    }
}

/// All connections of the application.
#[derive(Default)]
pub struct Calls {
    /// Bytes that wait to be taken, and how many may.
    unsent: Cell<usize>,
    most_unsent: usize,
    next: Cell<u64>,
    /// How many stood idle when they began to be let go.
    at_first: Cell<Option<usize>>,
    all: RefCell<BTreeMap<u64, Rc<Call>>>,
}

impl Calls {
    /// `most_unsent`: bytes of answers that may wait to be taken, all together.
    pub fn new(most_unsent: usize) -> Calls {
        Calls { most_unsent, ..Calls::default() }
    }
    /// So much of this call waits to be taken now. Where that is too much in all, those that have not read for longest make way:
    /// what lies here for them is memory that the txns of others need.
    fn waits(&self, call: &Call, bytes: usize) {
        let all = self.unsent.get() + bytes - call.unsent.replace(bytes).min(self.unsent.get() + bytes);
        self.unsent.set(all);
        if all <= self.most_unsent {
            return;
        }
        let calls = self.all.borrow();
        let late = |call: &&Rc<Call>| call.unread.get().is_some_and(|since| since.elapsed() > PRESSED);
        let mut open: Vec<&Rc<Call>> = calls.values().filter(|c| c.ended().is_none()).filter(late).collect();
        open.sort_by_key(|call| call.unread.get());
        let mut over = all - self.most_unsent;
        for call in open {
            if over == 0 {
                return;
            }
            over = over.saturating_sub(call.unsent.get());
            call.end("CALL_STUCK");
        }
    }
    /// Lets those that stand idle go, so that none is left when the time is over. Which close crosses a request can't be known: the
    /// longest idle are the least likely to have one coming.
    fn let_go(&self, since: Micros, (first, last): (Micros, Micros)) {
        let all = self.all.borrow();
        let idle = |call: &&Rc<Call>| {
            let silent = !call.busy.get() && call.in_hand.get() == 0 && call.ended().is_none();
            silent && (since >= last || !call.fresh())
        };
        let mut open: Vec<&Rc<Call>> = all.values().filter(idle).collect();
        open.sort_by_key(|call| call.since.get());
        let most = self.at_first.get().unwrap_or(open.len()).max(open.len());
        self.at_first.set(Some(most));
        let left = 1.0 - (since - first).ratio_to(last - first).clamp(0.0, 1.0);
        let keep = (most as f64 * left).floor() as usize;
        open.iter().take(open.len().saturating_sub(keep)).for_each(|call| call.end("CALL_SENT_AWAY"));
    }
    /// Those with a request on its way or in hand, and those too fresh to tell.
    pub fn busy(&self) -> usize {
        self.all.borrow().values().filter(|call| call.busy.get() || call.fresh()).count()
    }
    /// Ends what is not worth keeping: silent from the start, a request that does not come whole or an answer
    /// that is not read, long idle; while the agent ends, all that stand idle.
    pub fn sweep(&self, letting: Letting) {
        match letting {
            Letting::Since(since, span) => self.let_go(since, span),
            Letting::Keep | Letting::AllButFresh => self.at_first.set(None),
        }
        let leaving = letting == Letting::AllButFresh;
        // Whoever asks much at once and reads nothing would hold the room of all that it asked, for as long as it likes.
        let most = |call: &Call| if call.flowed.get() { UNREAD_FLOW } else { UNREAD };
        let unread = |call: &&Rc<Call>| call.unread.get().is_some_and(|since| since.elapsed() > most(call));
        for call in self.all.borrow().values().filter(|call| call.ended().is_none()).filter(unread) {
            log::info!("an answer not read: {} bytes wait", call.unsent.get());
            call.end("CALL_STUCK");
        }
        for call in
            self.all.borrow().values().filter(|call| call.in_hand.get() == 0 && call.ended().is_none())
        {
            let stood = call.since.get().elapsed();
            // However much came: what does not grow for as long as a head may take will not be whole.
            let halted = call.heard.get().elapsed().min(stood) > WHOLE;
            match (call.busy.get(), call.spoke.get()) {
                // What it wrote last may wait to be taken still: that is judged above.
                (true, _) if (halted || stood > call.allowed()) && call.unsent.get() == 0 => {
                    let (grown, quiet) = (call.grown.get(), call.heard.get().elapsed().as_millis());
                    log::info!(
                        "a request not whole after {} ms: {grown} bytes, the last {quiet} ms ago",
                        stood.as_millis()
                    );
                    call.end("CALL_STUCK");
                }
                (false, false) if stood > WHOLE => call.end("CALL_SILENT"),
                (false, _) if call.unsent.get() > 0 => {}
                (false, _) if stood > IDLE || (leaving && !call.fresh()) => call.end("CALL_IDLE"),
                _ => {}
            }
        }
    }
    /// The process stood still, and could not see what they said meanwhile: their time begins anew.
    pub fn begin_anew(&self) {
        for call in self.all.borrow().values() {
            call.since.set(Instant::now());
            call.unread.set(call.unread.get().map(|_| Instant::now()));
        }
    }
    /// Ends what is over `most` and has no txn in hand: first those with something to say that have stopped saying it, then those that
    /// stand idle, the longest first; where `pressed` is, also requests that still grow, those that grew longest ago first. A slow
    /// client's request is worth more than a connection that waits for its next one. False where nothing is left to end.
    pub fn make_room(&self, most: usize, pressed: bool) -> bool {
        let all = self.all.borrow();
        let mut open: Vec<&Rc<Call>> = all.values().filter(|call| call.ended().is_none()).collect();
        let over = open.len().saturating_sub(most);
        if over == 0 {
            return true;
        }
        let rank = |call: &Rc<Call>| {
            let quiet = call.heard.get().elapsed();
            match (call.spoke.get(), call.busy.get()) {
                (false, _) if quiet > UNSAID => Some(0),
                (true, true) if quiet > HALTED => Some(0),
                (true, false) if call.unsent.get() == 0 => Some(1),
                _ if pressed && quiet > PRESSED => Some(2),
                _ => None,
            }
        };
        open.retain(|call| call.in_hand.get() == 0 && rank(call).is_some());
        open.sort_by_key(|call| (rank(call), call.heard.get().max(call.since.get())));
        open.iter().take(over).for_each(|call| call.end("CALL_MADE_WAY"));
        !open.is_empty()
    }
}

/// A connection, whatever it runs over.
pub enum Io {
    Tcp(TcpStream),
    Unix(UnixStream),
}

pub struct Caller {
    io: Io,
    /// Several requests may be out on it at once, and whoever reads it bounds them.
    pub shares: bool,
    /// Read, and to be handed on when it is its turn.
    later: BytesMut,
    /// A part was handed on: what it begins comes first.
    turn: bool,
    id: u64,
    pub call: Rc<Call>,
    calls: Rc<Calls>,
    counters: Rc<Counters>,
}

impl Caller {
    pub fn new(io: Io, calls: Rc<Calls>, counters: Rc<Counters>) -> Caller {
        if let Io::Tcp(io) = &io {
            let _ = io.set_nodelay(true);
        }
        let id = calls.next.get();
        calls.next.set(id + 1);
        let call = Rc::new(Call {
            since: Cell::new(Instant::now()),
            spoke: Cell::new(false),
            heard: Cell::new(Instant::now()),
            busy: Cell::new(false),
            in_hand: Cell::new(0),
            grown: Cell::new(0),
            passing: Cell::new(false),
            flowed: Cell::new(false),
            refused: Cell::new(None),
            ended: Cell::new(None),
            waker: RefCell::new(None),
            unread: Cell::new(None),
            unsent: Cell::new(0),
            writer: RefCell::new(None),
        });
        calls.all.borrow_mut().insert(id, call.clone());
        counters.callers.set(counters.callers.get() + 1);
        counters.add("calls_opened");
        Caller { io, shares: false, later: BytesMut::new(), turn: false, id, call, calls, counters }
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.calls.waits(&self.call, 0);
        self.calls.all.borrow_mut().remove(&self.id);
        self.counters.callers.set(self.counters.callers.get().saturating_sub(1));
    }
}

/// A txn of this connection in hand, while this lives.
pub struct Asked(Option<Rc<Call>>, Cell<bool>);
impl Asked {
    /// Its answer passes through: when this ends, that is written or about to be, and nothing more may come to say so.
    pub fn flows(&self) {
        self.1.set(true);
        self.0.iter().for_each(|call| call.flowed.set(true));
    }
    /// Whether its body still passes through.
    pub fn passes(&self, passes: bool) {
        if let Some(call) = &self.0 {
            call.passing.set(passes);
            // What was kept back may be read now.
            call.waker.take().into_iter().for_each(Waker::wake);
        }
    }
    pub fn on(call: Option<Rc<Call>>) -> Asked {
        call.iter().for_each(|call| call.in_hand.set(call.in_hand.get() + 1));
        Asked(call, Cell::new(false))
    }
}
impl Drop for Asked {
    fn drop(&mut self) {
        if let Some(call) = &self.0 {
            call.in_hand.set(call.in_hand.get().saturating_sub(1));
            call.passing.set(false);
            call.grown.set(0);
            call.since.set(Instant::now());
            if self.1.get() && call.in_hand.get() == 0 {
                call.busy.set(false);
            }
            // What came meanwhile may be read now.
            call.waker.take().into_iter().for_each(Waker::wake);
        }
    }
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Io::Tcp(io) => Pin::new(io).poll_read(cx, buf),
            Io::Unix(io) => Pin::new(io).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Io::Tcp(io) => Pin::new(io).poll_write(cx, buf),
            Io::Unix(io) => Pin::new(io).poll_write(cx, buf),
        }
    }
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Io::Tcp(io) => Pin::new(io).poll_flush(cx),
            Io::Unix(io) => Pin::new(io).poll_flush(cx),
        }
    }
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Io::Tcp(io) => Pin::new(io).poll_shutdown(cx),
            Io::Unix(io) => Pin::new(io).poll_shutdown(cx),
        }
    }
}

impl Caller {
    /// More requests wait behind one that is in hand. Some more is read, to notice an end.
    fn wait(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        self.turn = false;
        while self.later.len() < LATER {
            let mut room = [0; LATER];
            let mut room = ReadBuf::new(&mut room[..LATER - self.later.len()]);
            match Pin::new(&mut self.io).poll_read(cx, &mut room) {
                Poll::Ready(Ok(())) if !room.filled().is_empty() => {
                    self.later.extend_from_slice(room.filled());
                }
                Poll::Pending => break,
                ended @ Poll::Ready(_) => return ended,
            }
        }
        self.call.waker.replace(Some(cx.waker().clone()));
        Poll::Pending
    }
}

impl AsyncRead for Caller {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.call.ended().is_some() || self.call.refused().is_some() {
            return Poll::Ready(Ok(())); // as if the application had closed
        }
        let before = buf.filled().len();
        let waits = !self.later.is_empty();
        let passing = self.call.passing.get();
        if waits && self.call.in_hand.get() > 0 && !passing {
            return self.wait(cx);
        }
        if waits && self.turn && !passing {
            self.turn = false;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = if waits {
            let many = buf.remaining().min(self.later.len());
            buf.put_slice(&self.later.split_to(many));
            Poll::Ready(Ok(()))
        } else {
            Pin::new(&mut self.io).poll_read(cx, buf)
        };
        if !self.shares
            && !passing
            && let Some(end) = enough(&buf.filled()[before..])
        {
            let mut rest = BytesMut::from(&buf.filled()[before + end..]);
            rest.extend_from_slice(&self.later);
            (self.later, self.turn) = (rest, true);
            buf.set_filled(before + end);
        }
        let call = &self.call;
        if buf.filled().len() > before {
            call.spoke.set(true);
            call.heard.set(Instant::now());
            if !call.busy.replace(true) {
                call.since.set(Instant::now());
                call.grown.set(0);
                call.flowed.set(false);
            }
            call.grown.set(call.grown.get() + buf.filled().len() - before);
        } else if read.is_pending() {
            call.waker.replace(Some(cx.waker().clone()));
        }
        read
    }
}

impl AsyncWrite for Caller {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.call.ended().is_some() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        let call = &self.call;
        let left = match written {
            Poll::Ready(Ok(n)) => buf.len() - n,
            _ => buf.len(),
        };
        if left == 0 {
            call.unread.set(None);
        } else if left < buf.len() {
            // It takes some: that is all that can be asked.
            call.unread.set(Some(Instant::now()));
            call.writer.replace(Some(cx.waker().clone()));
        } else {
            call.unread.set(call.unread.get().or_else(|| Some(Instant::now())));
            call.writer.replace(Some(cx.waker().clone()));
        }
        self.calls.waits(call, left);
        // The server flushes after all that it has; what is written with nothing in hand is an answer's end.
        if self.call.in_hand.get() == 0 && matches!(written, Poll::Ready(Ok(n)) if n == buf.len()) {
            self.call.busy.set(false);
            self.call.since.set(Instant::now());
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_heads_are_enough() {
        let one = b"GET / HTTP/1.1\r\n\r\n";
        assert_eq!(enough(one), None);
        assert_eq!(enough(&one.repeat(2)), None, "nothing comes behind them");
        assert_eq!(enough(&one.repeat(40)), Some(2 * one.len()));
        assert_eq!(enough(b"GET / HTTP/1.1\n\nGET / HTTP/1.1\n\r\nG"), Some(33));
        assert_eq!(enough(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nno\nend\r\n"), None);
    }
}
