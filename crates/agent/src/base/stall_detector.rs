//! Notices that the whole process stood still: stopped, frozen, or starved of its core. What lies unread in its sockets when it resumes came at
//! a moment that nobody knows: its client may have left, and a drain may be long due.
use std::cell::Cell;

use notchspool::units::Micros;

/// The agent looks after itself every 50 ms, and every 250 ms at the least. Not seen for longer, it did not run.
const STALL_THRESHOLD: Micros = Micros::ms(400);
/// What lay unread is read within this of resuming.
const RESUMING: Micros = Micros::ms(50);

#[derive(Clone, Copy, Debug)]
struct Stall {
    began: Micros,
    noticed: Micros,
}

/// Shared by all that reads from outside. Times are those of [`crate::base::clock::Clock`].
#[derive(Debug)]
pub struct StallDetector {
    last_seen: Cell<Micros>,
    last_stall: Cell<Option<Stall>>,
    stalls: Cell<u64>,
}

impl StallDetector {
    /// A process that runs now.
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { last_seen: Cell::new(now), last_stall: Cell::new(None), stalls: Cell::new(0) }
    }

    /// From here on requests can come: what took time before, such as reading a large file, is no stall.
    pub fn begin(&self, now: Micros) {
        self.last_seen.set(now);
    }

    /// The process runs. Called by all that is called now and then, and before anything from outside is believed.
    pub fn observe(&self, now: Micros) {
        let last_seen = self.last_seen.replace(now);
        if now - last_seen > STALL_THRESHOLD {
            self.last_stall.set(Some(Stall { began: last_seen, noticed: now }));
            self.stalls.set(self.stalls.get() + 1);
            log::warn!("this process stood still for {} ms", (now - last_seen).0 / 1000);
        }
    }

    /// When the stall began out of which the process is resuming just now, if it is.
    pub fn resuming_from(&self, now: Micros) -> Option<Micros> {
        self.observe(now);
        let stall = self.last_stall.get().filter(|stall| now - stall.noticed <= RESUMING);
        stall.map(|stall| stall.began)
    }

    /// How often it stood still.
    pub fn stalls(&self) -> u64 {
        self.stalls.get()
    }
}
