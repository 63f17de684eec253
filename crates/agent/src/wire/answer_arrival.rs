//! How much of an answer has come, and when its last byte did: whether it stands still is judged from there, wherever the attempt began.
use std::time::{Duration, Instant};

/// See the module.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerArrival {
    bytes: usize,
    last_byte_at: Option<Instant>,
}

impl AnswerArrival {
    /// Bytes that have come, complete interim answers left out.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// So many more bytes came.
    pub fn on_bytes(&mut self, count: usize, now: Instant) {
        self.bytes += count;
        self.last_byte_at = Some(now);
    }

    /// So many of the bytes that came were an interim answer, which says nothing of the answer itself.
    pub fn on_interim(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// When it will have stood still for `timeout`, if no more comes; `None` while nothing of it has come.
    pub fn stalls_at(&self, timeout: Duration) -> Option<Instant> {
        let last_byte_at = self.last_byte_at.filter(|_| self.bytes > 0)?;
        Some(last_byte_at + timeout)
    }

    /// Whether it has begun, and stood still for `timeout`.
    pub fn is_stalled(&self, timeout: Duration, now: Instant) -> bool {
        self.stalls_at(timeout).is_some_and(|stalls_at| stalls_at <= now)
    }

    /// When an attempt is to be looked at again: at its deadline, or where its answer may have stood still for `timeout` by then.
    pub fn next_check(&self, timeout: Duration, deadline: Instant, now: Instant) -> Instant {
        self.stalls_at(timeout).unwrap_or(now + timeout).min(deadline)
    }
}
