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
/// For a body without a length so much is reserved at a time.
pub const STEP_BYTES: usize = 256 << 10;

/// The budget of one process.
pub struct BodyBudget {
    large: Arc<Semaphore>,
    large_permits: usize,
    small: Arc<Semaphore>,
}

/// Memory reserved for a body, given back when it is dropped.
#[derive(Debug, Default)]
pub struct BodyReservation {
    permits: Vec<OwnedSemaphorePermit>,
    bytes: usize,
}

impl BodyReservation {
    /// Bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// Not enough of the budget was free in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExhausted;

fn permits_of(memory_mb: u64, percent: u64) -> usize {
    let bytes = (memory_mb << 20) * percent / 100;
    (bytes as usize / BYTES_A_PERMIT).clamp(MAX_SMALL_BYTES / BYTES_A_PERMIT, Semaphore::MAX_PERMITS)
}

impl BodyBudget {
    /// The budget of a process that may have so many megabytes of memory.
    pub fn new(memory_mb: u64) -> BodyBudget {
        let large_permits = permits_of(memory_mb, LARGE_PERCENT);
        BodyBudget {
            large: Arc::new(Semaphore::new(large_permits)),
            large_permits,
            small: Arc::new(Semaphore::new(permits_of(memory_mb, SMALL_PERCENT))),
        }
    }

    /// Reserves more for a body, up to `bytes` in all; waits for it, but not for longer than `time`.
    ///
    /// # Errors
    ///
    /// Not enough is free in time; what was reserved before stays so.
    pub async fn extend(
        &self,
        reservation: &mut BodyReservation,
        bytes: usize,
        time: Micros,
    ) -> Result<(), BudgetExhausted> {
        let wanted = bytes.saturating_sub(reservation.bytes);
        if wanted == 0 {
            return Ok(());
        }
        let is_small = bytes <= MAX_SMALL_BYTES;
        let semaphore = if is_small { &self.small } else { &self.large };
        // What is larger than the whole budget has all of it.
        let permits = wanted.div_ceil(BYTES_A_PERMIT).min(self.large_permits);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        let permit = within(time, semaphore.clone().acquire_many_owned(permits)).await;
        reservation.permits.push(permit.ok_or(BudgetExhausted)?.map_err(|_| BudgetExhausted)?);
        reservation.bytes = bytes;
        Ok(())
    }

    /// Bytes of the budget of large bodies that are free now.
    pub fn free_bytes(&self) -> usize {
        self.large.available_permits() * BYTES_A_PERMIT
    }
}
