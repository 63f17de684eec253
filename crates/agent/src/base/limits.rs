//! What the agent may hold at once, derived from the limits that it is given. Each limit is stated where it acts.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of one body that are held without a share of the body budget, either way.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Bytes of one body that are held out of the body budget, at the most.
pub const HELD_BODY_BYTES: usize = 512 * 1024;
/// Bytes of an attempt that the system may hold unsent.
pub const SEND_BUFFER_BYTES: u32 = 16 * 1024;
/// An answer that has begun and of which nothing more came for so long was broken off, whatever its deadline.
pub const STALLED_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of one line of the server list.
pub const LIST_LINE_BYTES: usize = 1024 * 1024;

/// A request in flight at its largest: two bodies, and the buffers of two connections.
const REQUEST_BYTES: usize = 256 * 1024;
/// A backend with its actors.
const BACKEND_BYTES: usize = 3072;
const MIB: usize = 1024 * 1024;

/// Limits on what is held at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections of clients. Beyond it the next wait outside.
    pub clients: usize,
    /// Beyond this many the idle ones are closed for each that comes: clients have limits on theirs too.
    pub idle_clients: usize,
    /// Connections to all backends together, idle ones too, and the one of the watch.
    pub backend_connections: usize,
    /// Attempts at one backend, and so its connections: one that is silent must not hold them all.
    pub connections_per_backend: usize,
    /// Bytes of requests that came in part, over all connections of clients that send several at once.
    pub partial_request_bytes: usize,
    /// Bytes of bodies over the small ones that are held, all together.
    pub body_budget_bytes: usize,
    /// Bytes of answers that clients do not take, all together.
    pub unread_answer_bytes: usize,
    /// Backends known at once; one that is long gone makes room.
    pub backends: usize,
    /// Requests in flight, fewer than connections: there is always one left to reject on.
    pub requests: usize,
}

/// The limits as they are now: half of them while another process of this agent runs. Both together are one agent to whoever limits it.
#[derive(Clone, Debug)]
pub struct SharedLimits {
    full: Limits,
    half: Limits,
    is_shared: Rc<Cell<bool>>,
}

impl SharedLimits {
    /// From the limits that the agent is given: descriptors and megabytes.
    pub fn within(descriptors: usize, memory_mb: usize) -> SharedLimits {
        SharedLimits {
            full: Limits::within(descriptors, memory_mb),
            half: Limits::within(descriptors / 2, memory_mb / 2),
            is_shared: Rc::default(),
        }
    }

    /// The limits now.
    pub fn now(&self) -> Limits {
        if self.is_shared.get() { self.half } else { self.full }
    }

    /// Says whether another process of this agent runs.
    pub fn set_shared(&self, is_shared: bool) {
        self.is_shared.set(is_shared);
    }
}

impl Limits {
    /// From descriptors and megabytes.
    pub fn within(descriptors: usize, memory_mb: usize) -> Limits {
        // For the listener, discovery, timers and the log; half of it for rejections at the limit.
        let reserved = (descriptors / 4).clamp(16, 96);
        let per_side = (descriptors.saturating_sub(reserved) / 2).max(4);
        let by_memory = memory_mb.saturating_mul(MIB) / 2 / REQUEST_BYTES;
        Limits {
            clients: per_side + reserved / 2,
            idle_clients: (descriptors / 5).max(4),
            backend_connections: per_side + 1,
            connections_per_backend: (per_side / 4).max(4),
            partial_request_bytes: memory_mb.saturating_mul(MIB / 8),
            body_budget_bytes: memory_mb.saturating_mul(MIB / 8),
            unread_answer_bytes: memory_mb.saturating_mul(MIB / 16),
            backends: (memory_mb.saturating_mul(MIB / 4) / BACKEND_BYTES).clamp(64, 4096),
            requests: by_memory.clamp(4, per_side),
        }
    }

    /// What all requests in flight may need, in bytes.
    pub fn request_bytes(&self) -> usize {
        self.requests * REQUEST_BYTES
    }
}
