//! Memory for the bodies of requests that begin here: they are kept until they are answered, for attempts at other backends.
//!
//! Large bodies share one budget and wait for it, within their deadline, before they are read; what waits stays with its client, by the
//! flow control of its connection. Small ones have a budget of their own, so that they never wait for large ones.
use std::sync::Arc;

use notchspool::units::Micros;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::context::within;

/// Of the memory of the process, in percent.
const LARGE_PERCENT: u64 = 45;
const SMALL_PERCENT: u64 = 10;
/// Bodies up to this are small.
pub const MAX_SMALL_BYTES: usize = 64 << 10;
/// A permit stands for so many bytes.
const BYTES_A_PERMIT: usize = 1 << 10;
/// Without a length a body takes so much room at a time.
pub const STEP_BYTES: usize = 256 << 10;

/// The room of one process.
pub struct BodyBudget {
    large: Arc<Semaphore>,
    large_permits: usize,
    small: Arc<Semaphore>,
}

/// Room for a body, given back when it is dropped.
#[derive(Debug, Default)]
pub struct BodyRoom {
    permits: Vec<OwnedSemaphorePermit>,
    bytes: usize,
}

impl BodyRoom {
    /// Bytes for which there is room.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// There is no room in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

fn permits_of(memory_mb: u64, percent: u64) -> usize {
    let bytes = (memory_mb << 20) * percent / 100;
    (bytes as usize / BYTES_A_PERMIT).clamp(MAX_SMALL_BYTES / BYTES_A_PERMIT, Semaphore::MAX_PERMITS)
}

impl BodyBudget {
    /// The room of a process that may have so much memory.
    pub fn new(memory_mb: u64) -> BodyBudget {
        let large_permits = permits_of(memory_mb, LARGE_PERCENT);
        BodyBudget {
            large: Arc::new(Semaphore::new(large_permits)),
            large_permits,
            small: Arc::new(Semaphore::new(permits_of(memory_mb, SMALL_PERCENT))),
        }
    }

    /// More room for a body, up to `bytes` in all; waits for it, but not for longer than `time`.
    ///
    /// # Errors
    ///
    /// There is none in time; what there was before stays.
    pub async fn extend(&self, room: &mut BodyRoom, bytes: usize, time: Micros) -> Result<(), NoRoom> {
        let wanted = bytes.saturating_sub(room.bytes);
        if wanted == 0 {
            return Ok(());
        }
        let is_small = bytes <= MAX_SMALL_BYTES;
        let semaphore = if is_small { &self.small } else { &self.large };
        // What is larger than the whole budget has all of it.
        let permits = wanted.div_ceil(BYTES_A_PERMIT).min(self.large_permits);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        let permit = within(time, semaphore.clone().acquire_many_owned(permits)).await;
        room.permits.push(permit.ok_or(NoRoom)?.map_err(|_| NoRoom)?);
        room.bytes = bytes;
        Ok(())
    }

    /// Bytes of large bodies for which there is room now.
    pub fn free_bytes(&self) -> usize {
        self.large.available_permits() * BYTES_A_PERMIT
    }
}
