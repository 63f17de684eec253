//! What the agent may hold at once, from the limits it is told. Each bound is stated where it acts.
use std::cell::Cell;
use std::rc::Rc;

pub const BODY: usize = 64 * 1024; // bytes of one body, either way
pub const HELD: usize = 512 * 1024; // bytes of one body that are held out of the shared pot
pub const SEND_BUFFER: u32 = 16 * 1024; // bytes of a posting that the system may hold unsent
pub const LINE: usize = 1024 * 1024; // bytes of one line of the list

/// A txn in hand at its largest: two bodies, and the buffers of two connections.
const TXN_BYTES: usize = 256 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of the application. Beyond it the next waits outside.
    pub callers: usize,
    /// Beyond this many the idle are closed for each that comes: also those who call have a bound on theirs.
    pub kept: usize,
    /// Connections to all backends together, idle ones too, and the one of the watch.
    pub links: usize,
    /// Postings out to one backend, and so its connections: one that is silent must not hold them all.
    pub links_each: usize,
    /// Bytes of requests that came in part, over all connections of clients that send several at once.
    pub halves: usize,
    /// Bytes of bodies over the small ones that are held, all together.
    pub pot: usize,
    /// Bytes of answers that callers do not take, all together.
    pub unsent: usize,
    /// Backends known at once; who is long gone makes room. About 2.5 kB each, with their actors.
    pub backends: usize,
    /// Txns in hand, fewer than connections: there is always one left to decline on.
    pub txns: usize,
}

/// The bounds as they are now: the half of them while another process of this agent lives. Both together are one agent to whoever limits it.
#[derive(Clone, Debug)]
pub struct Room {
    whole: Bounds,
    half: Bounds,
    shared: Rc<Cell<bool>>,
}

impl Room {
    /// From the limits that the agent is told, descriptors and memory.
    pub fn within(sockets: usize, memory_mb: usize) -> Room {
        Room {
            whole: Bounds::within(sockets, memory_mb),
            half: Bounds::within(sockets / 2, memory_mb / 2),
            shared: Rc::default(),
        }
    }
    pub fn now(&self) -> Bounds {
        if self.shared.get() { self.half } else { self.whole }
    }
    /// Whether another process of this agent lives.
    pub fn share(&self, shared: bool) {
        self.shared.set(shared);
    }
}

impl Bounds {
    pub fn within(sockets: usize, memory_mb: usize) -> Bounds {
        // Kept back for the listener, discovery, timers, the log; half of it for declines at the bound.
        let kept_back = (sockets / 4).clamp(16, 96);
        let half = sockets.saturating_sub(kept_back) / 2;
        let by_memory = memory_mb.saturating_mul(1024 * 1024) / 2 / TXN_BYTES;
        let half = half.max(4);
        Bounds {
            callers: half + kept_back / 2,
            kept: (sockets / 5).max(4),
            links: half + 1,
            links_each: (half / 4).max(4),
            halves: memory_mb.saturating_mul(1024 * 1024 / 8),
            pot: memory_mb.saturating_mul(1024 * 1024 / 8),
            unsent: memory_mb.saturating_mul(1024 * 1024 / 16),
            backends: (memory_mb.saturating_mul(1024 * 1024 / 4) / 3072).clamp(64, 4096),
            txns: by_memory.clamp(4, half),
        }
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case(256, 32)]
    #[case(384, 48)]
    #[case(1024, 192)]
    fn two_processes_together_keep_within_the_limits_of_one(
        #[case] sockets: usize,
        #[case] memory_mb: usize,
    ) {
        let room = Room::within(sockets, memory_mb);
        let whole = room.now();
        room.clone().share(true);
        let half = room.now();
        assert!(2 * (half.callers + half.links) <= sockets, "{half:?}");
        assert!(2 * half.txns * TXN_BYTES <= memory_mb * 1024 * 1024);
        room.share(false);
        assert_eq!(room.now(), whole);
    }
}
