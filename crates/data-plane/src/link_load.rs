//! Large responses that this machine has yet to send, against the speed of its link.
//!
//! The link is shared by all that the machine sends. Large responses are handed to it chunk by chunk, no faster than it carries them
//! ([`LinkLoad::pace`]), so that small ones never stand behind more than a chunk. And one more is begun only where the link will carry it in
//! time: what is being sent counts for that, and what requests that are at work are expected to send.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use notchspool::units::Micros;

use crate::context::Context;

/// Kinds of responses whose usual size is remembered.
const MAX_KINDS: usize = 64;
const SMOOTHING: f64 = 0.1;
/// The part of the link's speed at which large responses are sent: the rest is for all else.
const PACE_PART: f64 = 0.8;
/// The part of its latency target for which a large response may find the link at work, its own sending included.
const MAX_BACKLOG_PART: f64 = 0.5;
/// Time not used for sending is not saved up for longer than this.
const MAX_BURST: Micros = Micros::ms(20);

/// Bytes that are to be sent, and the usual size of large responses of a kind.
pub struct LinkLoad {
    context: Rc<Context>,
    /// Of responses that are being sent.
    unsent_bytes: Cell<usize>,
    /// Of responses that requests at work are expected to have.
    expected_bytes: Cell<usize>,
    /// When the link has carried all that was handed to it.
    free_at: Cell<Micros>,
    usual_bytes: RefCell<BTreeMap<u32, f64>>,
}

impl LinkLoad {
    /// Nothing is to be sent.
    pub fn new(context: Rc<Context>) -> LinkLoad {
        LinkLoad {
            context,
            unsent_bytes: Cell::new(0),
            expected_bytes: Cell::new(0),
            free_at: Cell::new(Micros(0)),
            usual_bytes: RefCell::default(),
        }
    }

    /// Bytes of large responses that are to be sent.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes.get()
    }

    /// How long the link has to work off large responses.
    pub fn backlog(&self) -> Micros {
        self.time_of((self.unsent_bytes.get() + self.expected_bytes.get()) as f64)
    }

    /// The same with one more of this kind; nothing for kinds that are small.
    pub fn backlog_with(&self, kind: u32) -> Micros {
        match self.usual_bytes_of(kind) {
            usual if usual < 1.0 => Micros(0),
            usual => self.backlog() + self.time_of(usual),
        }
    }

    /// Whether one more response of this kind may be begun, where it is wanted within `latency_target`.
    ///
    /// On an idle link it may, whatever its usual size: what is refused is not measured, so an estimate that is too high would stay so.
    ///
    /// # Errors
    ///
    /// It would come too late: how long the link has to work.
    pub fn admit(&self, kind: u32, latency_target: Micros) -> Result<(), Micros> {
        let is_idle = self.unsent_bytes.get() == 0 && self.expected_bytes.get() == 0;
        let backlog = self.backlog_with(kind);
        if is_idle || backlog <= latency_target.times(MAX_BACKLOG_PART) { Ok(()) } else { Err(backlog) }
    }

    /// Whether responses of this kind are large.
    pub fn is_large(&self, kind: u32) -> bool {
        self.usual_bytes_of(kind) >= 1.0
    }

    fn usual_bytes_of(&self, kind: u32) -> f64 {
        self.usual_bytes.borrow().get(&kind).copied().unwrap_or(0.0)
    }

    fn time_of(&self, bytes: f64) -> Micros {
        Micros((bytes / self.context.link_bytes_per_second() * 1e6) as i64)
    }

    /// A request of this kind goes to the backend: its response is expected until the guard is dropped.
    pub fn expect(self: &Rc<LinkLoad>, kind: u32) -> ExpectedBytes {
        let bytes = self.usual_bytes_of(kind) as usize;
        self.expected_bytes.set(self.expected_bytes.get() + bytes);
        ExpectedBytes { load: self.clone(), bytes }
    }

    /// A large response of this kind came from the backend.
    pub fn measure(&self, kind: u32, bytes: usize) {
        let mut usual_bytes = self.usual_bytes.borrow_mut();
        if usual_bytes.len() < MAX_KINDS || usual_bytes.contains_key(&kind) {
            let usual = usual_bytes.entry(kind).or_insert(bytes as f64);
            *usual += SMOOTHING * (bytes as f64 - *usual);
        }
    }

    /// So many bytes are to be sent from now on; where that is not known, what is usual for this kind is taken, and there is more to come
    /// until the guard is dropped.
    pub fn add(self: &Rc<LinkLoad>, bytes: Option<usize>, kind: u32) -> UnsentBytes {
        let min_remaining = usize::from(bytes.is_none());
        let bytes = bytes.unwrap_or_else(|| (self.usual_bytes_of(kind) as usize).max(min_remaining));
        self.unsent_bytes.set(self.unsent_bytes.get() + bytes);
        UnsentBytes { load: self.clone(), remaining: Cell::new(bytes), min_remaining }
    }

    /// So many bytes of a large response are to be handed to the link: how long to wait before. All large responses wait in one line.
    pub fn pace(&self, now: Micros, bytes: usize) -> Micros {
        let starts_at = self.free_at.get().max(now - MAX_BURST);
        self.free_at.set(starts_at + self.time_of(bytes as f64 / PACE_PART));
        (starts_at - now).max(Micros(0))
    }
}

/// Bytes that a request at work is expected to send.
pub struct ExpectedBytes {
    load: Rc<LinkLoad>,
    bytes: usize,
}

impl Drop for ExpectedBytes {
    fn drop(&mut self) {
        let expected = &self.load.expected_bytes;
        expected.set(expected.get().saturating_sub(self.bytes));
    }
}

/// Bytes that are to be sent; what is not sent after all is taken off when this is dropped.
pub struct UnsentBytes {
    load: Rc<LinkLoad>,
    remaining: Cell<usize>,
    /// What stays until the end, where it is not known how much is still to come.
    min_remaining: usize,
}

impl UnsentBytes {
    /// So many of them were sent.
    pub fn on_sent(&self, bytes: usize) {
        self.take_off(bytes.min(self.remaining.get() - self.min_remaining));
    }

    fn take_off(&self, bytes: usize) {
        self.remaining.set(self.remaining.get() - bytes);
        self.load.unsent_bytes.set(self.load.unsent_bytes.get().saturating_sub(bytes));
    }
}

impl Drop for UnsentBytes {
    fn drop(&mut self) {
        self.take_off(self.remaining.get());
    }
}
