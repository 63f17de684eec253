//! All connections of clients, and which of them are closed: for want of room, for idleness, for a request or an answer that stands still.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

use notchspool::units::Micros;

/// One that has just come, and said nothing yet, is about to.
const FRESH: Duration = Duration::from_millis(1_000);
/// A first byte, and the head of a request once begun, must be here within this: a slow client takes 2 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_300);
/// From then on a request has to grow by so many bytes a second: half of what a slow client gives.
const MIN_BYTES_PER_SECOND: f64 = 32_000.0;
/// One that grew so lately is given so much more: its last part may be on its way.
const GREW_LATELY: Duration = Duration::from_millis(300);
const EXTRA_TIME: Duration = Duration::from_millis(300);
/// An answer of which nothing is taken for so long is not read. A slow reader takes a large part at a time.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The same where a large answer passes: a slow reader's system says only now and then that there is room again, by half of what it holds.
const UNREAD_STREAM_TIMEOUT: Duration = Duration::from_secs(15);
/// Where room is short, one that has yet to say something is closed after this, and one whose request has stopped growing for so long: what a slow
/// client writes comes in parts, and not all of them at once.
const UNSAID_WHEN_SHORT: Duration = Duration::from_millis(300);
const HALTED_WHEN_SHORT: Duration = Duration::from_millis(1_000);
/// Where there is none left, one that has yet to say something, or all of it, is closed after this.
const QUIET_WHEN_FULL: Duration = Duration::from_millis(100);
/// One may be idle for this long where there is room.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Reason codes of connections in the log.
pub mod reason {
    /// A request or an answer stood still.
    pub const STUCK: &str = "CALL_STUCK";
    /// Nothing came from the start.
    pub const SILENT: &str = "CALL_SILENT";
    /// It was idle.
    pub const IDLE: &str = "CALL_IDLE";
    /// Room was short.
    pub const MADE_WAY: &str = "CALL_MADE_WAY";
    /// Clients are sent away.
    pub const SENT_AWAY: &str = "CALL_SENT_AWAY";
}

/// Between which times idle connections are closed, counted from when closing began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosingSchedule {
    /// Before this none is closed.
    pub first: Micros,
    /// After this none is left.
    pub last: Micros,
}

/// How idle connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// After a minute.
    Keep,
    /// At once, but for those that have just come.
    CloseAllButFresh,
    /// A few at a time, the longest idle first.
    CloseGradually {
        /// Since closing began.
        elapsed: Micros,
        /// Between which times.
        schedule: ClosingSchedule,
    },
}

/// What is known of one connection.
pub struct ClientState {
    /// When it came, when the first byte of a request came, or when the last answer went.
    pub(crate) since: Cell<Instant>,
    /// Any byte came.
    pub(crate) has_spoken: Cell<bool>,
    /// When bytes last came.
    pub(crate) last_read: Cell<Instant>,
    /// Bytes were read since the last answer was written: a request is on its way or in flight.
    pub(crate) is_busy: Cell<bool>,
    /// Requests in flight.
    pub(crate) in_flight: Cell<usize>,
    /// Bytes of the request that is on its way.
    pub(crate) request_bytes: Cell<usize>,
    /// The answer written last is one that passes through.
    pub(crate) streamed_answer: Cell<bool>,
    /// A body passes through: what comes belongs to it, whatever it looks like.
    pub(crate) passes_body: Cell<bool>,
    /// It sent what can't be a request, and why: it gets its answer, and no more is read.
    refusal: Cell<Option<&'static str>>,
    /// Closed from here, with this reason code.
    closed: Cell<Option<&'static str>>,
    pub(crate) reader: RefCell<Option<Waker>>,
    pub(crate) writer: RefCell<Option<Waker>>,
    /// Since when what was to be written is not taken.
    pub(crate) unread_since: Cell<Option<Instant>>,
    unread_bytes: Cell<usize>,
}

impl ClientState {
    /// A connection that has just come.
    pub(crate) fn new() -> ClientState {
        ClientState {
            since: Cell::new(Instant::now()),
            has_spoken: Cell::new(false),
            last_read: Cell::new(Instant::now()),
            is_busy: Cell::new(false),
            in_flight: Cell::new(0),
            request_bytes: Cell::new(0),
            streamed_answer: Cell::new(false),
            passes_body: Cell::new(false),
            refusal: Cell::new(None),
            closed: Cell::new(None),
            reader: RefCell::new(None),
            writer: RefCell::new(None),
            unread_since: Cell::new(None),
            unread_bytes: Cell::new(0),
        }
    }

    fn is_fresh(&self) -> bool {
        !self.has_spoken.get() && self.since.get().elapsed() < FRESH
    }

    fn is_open(&self) -> bool {
        self.closed.get().is_none()
    }

    fn has_unread(&self) -> bool {
        self.unread_bytes.get() > 0
    }

    /// How long a request may take that came as far as this one.
    fn allowed_time(&self) -> Duration {
        let grew_lately = self.last_read.get().elapsed() < GREW_LATELY;
        let extra = if grew_lately { EXTRA_TIME } else { Duration::ZERO };
        let for_bytes = self.request_bytes.get() as f64 / MIN_BYTES_PER_SECOND;
        HEAD_TIMEOUT + extra + Duration::from_secs_f64(for_bytes)
    }

    /// It sent what can't be a request.
    pub fn refuse(&self, reason: &'static str) {
        self.refusal.set(Some(reason));
    }

    /// Why what it sent can't be a request.
    pub fn refusal(&self) -> Option<&'static str> {
        self.refusal.get()
    }

    /// The reason code with which it was closed from here.
    pub fn close_reason(&self) -> Option<&'static str> {
        self.closed.get()
    }

    /// Closes it.
    pub fn close(&self, code: &'static str) {
        self.closed.set(Some(code));
        self.reader.take().into_iter().chain(self.writer.take()).for_each(Waker::wake);
    }

    /// Lets it be read on.
    pub(crate) fn wake_reader(&self) {
        self.reader.take().into_iter().for_each(Waker::wake);
    }

    /// The request in flight, or the answer, is over: another one may come.
    pub(crate) fn set_idle(&self) {
        self.is_busy.set(false);
    }

    /// Whether an answer of it is not read.
    fn does_not_read(&self) -> bool {
        let timeout = if self.streamed_answer.get() { UNREAD_STREAM_TIMEOUT } else { UNREAD_TIMEOUT };
        self.unread_since.get().is_some_and(|since| since.elapsed() > timeout)
    }

    /// Why a connection without a request in flight is not worth keeping, if so.
    fn waste(&self, policy: IdlePolicy) -> Option<&'static str> {
        let elapsed = self.since.get().elapsed();
        // However much came: what does not grow for as long as a head may take will not be complete.
        let has_halted = self.last_read.get().elapsed().min(elapsed) > HEAD_TIMEOUT;
        let is_closing = policy == IdlePolicy::CloseAllButFresh;
        match (self.is_busy.get(), self.has_spoken.get()) {
            // What was written last may still wait to be taken: that is judged by `does_not_read`.
            (true, _) if (has_halted || elapsed > self.allowed_time()) && !self.has_unread() => {
                let (bytes, quiet) = (self.request_bytes.get(), self.last_read.get().elapsed().as_millis());
                let elapsed = elapsed.as_millis();
                log::info!("a request not whole after {elapsed} ms: {bytes} bytes, the last {quiet} ms ago");
                Some(reason::STUCK)
            }
            (false, false) if elapsed > HEAD_TIMEOUT => Some(reason::SILENT),
            (false, _) if self.has_unread() => None,
            (false, _) if elapsed > IDLE_TIMEOUT || (is_closing && !self.is_fresh()) => Some(reason::IDLE),
            _ => None,
        }
    }

    /// In which order it is closed where room is short; nothing: not at all.
    fn closing_rank(&self, is_full: bool) -> Option<u8> {
        let quiet = self.last_read.get().elapsed();
        match (self.has_spoken.get(), self.is_busy.get()) {
            (false, _) if quiet > UNSAID_WHEN_SHORT => Some(0),
            (true, true) if quiet > HALTED_WHEN_SHORT => Some(0),
            (true, false) if !self.has_unread() => Some(1),
            _ if is_full && quiet > QUIET_WHEN_FULL => Some(2),
            _ => None,
        }
    }
}

/// See the module.
#[derive(Default)]
pub struct ClientConnections {
    /// Bytes that wait to be taken, and how many may.
    unread_bytes: Cell<usize>,
    max_unread_bytes: usize,
    next_id: Cell<u64>,
    /// How many were idle when they began to be closed.
    idle_at_first: Cell<Option<usize>>,
    all: RefCell<BTreeMap<u64, Rc<ClientState>>>,
}

impl ClientConnections {
    /// `max_unread_bytes`: bytes of answers that may wait to be taken, all together.
    pub fn new(max_unread_bytes: usize) -> ClientConnections {
        ClientConnections { max_unread_bytes, ..ClientConnections::default() }
    }

    /// Adds a connection, and gives back its number.
    pub(crate) fn add(&self, state: Rc<ClientState>) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.all.borrow_mut().insert(id, state);
        id
    }

    /// A connection is over.
    pub(crate) fn remove(&self, id: u64, state: &ClientState) {
        self.on_unread(state, 0);
        self.all.borrow_mut().remove(&id);
    }

    /// So much of a connection's answers waits to be taken now. Where that is too much in all, those that have not read for longest are closed:
    /// what lies here for them is memory that the requests of others need.
    pub(crate) fn on_unread(&self, state: &ClientState, bytes: usize) {
        let before = state.unread_bytes.replace(bytes);
        let all = self.unread_bytes.get() + bytes;
        let all = all - before.min(all);
        self.unread_bytes.set(all);
        if all <= self.max_unread_bytes {
            return;
        }
        let connections = self.all.borrow();
        let is_late = |state: &&Rc<ClientState>| {
            state.unread_since.get().is_some_and(|since| since.elapsed() > QUIET_WHEN_FULL)
        };
        let mut late: Vec<&Rc<ClientState>> =
            connections.values().filter(|state| state.is_open()).filter(is_late).collect();
        late.sort_by_key(|state| state.unread_since.get());
        let mut excess = all - self.max_unread_bytes;
        for state in late {
            if excess == 0 {
                return;
            }
            excess = excess.saturating_sub(state.unread_bytes.get());
            state.close(reason::STUCK);
        }
    }

    /// Closes idle connections, so that none is left when the time is over. Which close crosses a request can't be known: the longest idle are
    /// the least likely to have one coming.
    fn close_gradually(&self, elapsed: Micros, schedule: ClosingSchedule) {
        let ClosingSchedule { first, last } = schedule;
        let connections = self.all.borrow();
        let is_idle = |state: &&Rc<ClientState>| {
            let is_silent = !state.is_busy.get() && state.in_flight.get() == 0 && state.is_open();
            is_silent && (elapsed >= last || !state.is_fresh())
        };
        let mut idle: Vec<&Rc<ClientState>> = connections.values().filter(is_idle).collect();
        idle.sort_by_key(|state| state.since.get());
        let most = self.idle_at_first.get().unwrap_or(idle.len()).max(idle.len());
        self.idle_at_first.set(Some(most));
        let fraction_left = 1.0 - (elapsed - first).ratio_to(last - first).clamp(0.0, 1.0);
        let keep = (most as f64 * fraction_left).floor() as usize;
        let surplus = idle.len().saturating_sub(keep);
        idle.iter().take(surplus).for_each(|state| state.close(reason::SENT_AWAY));
    }

    /// How many have a request on its way or in flight, or are too fresh to tell.
    pub fn busy(&self) -> usize {
        self.all.borrow().values().filter(|state| state.is_busy.get() || state.is_fresh()).count()
    }

    /// Closes what is not worth keeping: silent from the start, a request that does not become complete or an answer that is not read, long idle;
    /// while the agent ends, all that are idle.
    pub fn sweep(&self, policy: IdlePolicy) {
        match policy {
            IdlePolicy::CloseGradually { elapsed, schedule } => self.close_gradually(elapsed, schedule),
            IdlePolicy::Keep | IdlePolicy::CloseAllButFresh => self.idle_at_first.set(None),
        }
        let connections = self.all.borrow();
        // Whoever asks much at once and reads nothing would hold the capacity of all that it asked, for as long as it likes.
        for state in connections.values().filter(|state| state.is_open() && state.does_not_read()) {
            log::info!("an answer not read: {} bytes wait", state.unread_bytes.get());
            state.close(reason::STUCK);
        }
        for state in connections.values().filter(|state| state.is_open() && state.in_flight.get() == 0) {
            if let Some(code) = state.waste(policy) {
                state.close(code);
            }
        }
    }

    /// The process stood still, and could not see what they said meanwhile: their time begins again.
    pub fn on_stall(&self) {
        for state in self.all.borrow().values() {
            state.since.set(Instant::now());
            state.unread_since.set(state.unread_since.get().map(|_| Instant::now()));
        }
    }

    /// Closes what is over `limit` and has no request in flight: first those with something to say that have stopped saying it, then those that are
    /// idle, the longest first; where `is_full`, also requests that still grow, those that grew longest ago first. A slow client's request is
    /// worth more than a connection that waits for its next one. False where nothing is left to close.
    pub fn make_room(&self, limit: usize, is_full: bool) -> bool {
        let connections = self.all.borrow();
        let mut open: Vec<&Rc<ClientState>> = connections.values().filter(|state| state.is_open()).collect();
        let surplus = open.len().saturating_sub(limit);
        if surplus == 0 {
            return true;
        }
        open.retain(|state| state.in_flight.get() == 0 && state.closing_rank(is_full).is_some());
        open.sort_by_key(|state| (state.closing_rank(is_full), state.last_read.get().max(state.since.get())));
        open.iter().take(surplus).for_each(|state| state.close(reason::MADE_WAY));
        !open.is_empty()
    }
}

/// A request of a connection in flight, while this lives.
pub struct RequestHold {
    state: Option<Rc<ClientState>>,
    streams_answer: Cell<bool>,
}

impl RequestHold {
    /// Of this connection, if it is known.
    pub fn new(state: Option<Rc<ClientState>>) -> RequestHold {
        state.iter().for_each(|state| state.in_flight.set(state.in_flight.get() + 1));
        RequestHold { state, streams_answer: Cell::new(false) }
    }

    /// Its answer passes through: when this ends, that is written or about to be, and nothing more may come to say so.
    pub fn begin_streaming_answer(&self) {
        self.streams_answer.set(true);
        self.state.iter().for_each(|state| state.streamed_answer.set(true));
    }

    /// Says whether its body still passes through.
    pub fn set_passing_body(&self, passes_body: bool) {
        if let Some(state) = &self.state {
            state.passes_body.set(passes_body);
            // What was kept back may be read now.
            state.wake_reader();
        }
    }
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        let Some(state) = &self.state else { return };
        state.in_flight.set(state.in_flight.get().saturating_sub(1));
        state.passes_body.set(false);
        state.request_bytes.set(0);
        state.since.set(Instant::now());
        if self.streams_answer.get() && state.in_flight.get() == 0 {
            state.set_idle();
        }
        // What came meanwhile may be read now.
        state.wake_reader();
    }
}
