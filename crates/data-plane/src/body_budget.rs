//! Memory for bodies that are kept: those of requests that begin here, until they are answered, for attempts at other backends; and those of
//! answers that can't be passed on as they come.
//!
//! Large bodies share a budget and wait for it, within their deadline, before they are read; what waits stays with its sender, by the flow
//! control of its connection. Small bodies of requests have a budget of their own, so that they never wait for large ones.
use std::sync::Arc;

use notchspool::units::Micros;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::context::within;

/// Of the memory of the process, in percent.
const LARGE_PERCENT: u64 = 45;
const SMALL_PERCENT: u64 = 10;
const ANSWERS_PERCENT: u64 = 10;
/// Bodies up to this are small.
pub const MAX_SMALL_BYTES: usize = 64 << 10;
/// A permit stands for so many bytes.
const BYTES_A_PERMIT: usize = 1 << 10;
/// For a body without a length so much is reserved at a time.
pub const STEP_BYTES: usize = 256 << 10;

/// A part of the memory of the process.
pub struct MemoryBudget {
    semaphore: Arc<Semaphore>,
    permits: usize,
}

/// The budget for bodies of requests.
pub struct BodyBudget {
    large: MemoryBudget,
    small: MemoryBudget,
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

    fn permits(&self) -> usize {
        self.permits.iter().map(OwnedSemaphorePermit::num_permits).sum()
    }
}

/// Not enough of the budget was free in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExhausted;

impl MemoryBudget {
    fn new(memory_mb: u64, percent: u64) -> MemoryBudget {
        let bytes = (memory_mb << 20) * percent / 100;
        let permits =
            (bytes as usize / BYTES_A_PERMIT).clamp(MAX_SMALL_BYTES / BYTES_A_PERMIT, Semaphore::MAX_PERMITS);
        MemoryBudget { semaphore: Arc::new(Semaphore::new(permits)), permits }
    }

    /// For large answers that are kept whole, by a process that may have so many megabytes of memory.
    pub fn for_answers(memory_mb: u64) -> MemoryBudget {
        MemoryBudget::new(memory_mb, ANSWERS_PERCENT)
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
        if bytes <= reservation.bytes {
            return Ok(());
        }
        // What is larger than the whole budget has all of it.
        let permits = bytes.div_ceil(BYTES_A_PERMIT).min(self.permits).saturating_sub(reservation.permits());
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        let permit = within(time, self.semaphore.clone().acquire_many_owned(permits)).await;
        reservation.permits.push(permit.ok_or(BudgetExhausted)?.map_err(|_| BudgetExhausted)?);
        reservation.bytes = bytes;
        Ok(())
    }

    /// Bytes that are free now.
    pub fn free_bytes(&self) -> usize {
        self.semaphore.available_permits() * BYTES_A_PERMIT
    }
}

impl BodyBudget {
    /// The budget of a process that may have so many megabytes of memory.
    pub fn new(memory_mb: u64) -> BodyBudget {
        let (large, small) = (LARGE_PERCENT, SMALL_PERCENT);
        BodyBudget { large: MemoryBudget::new(memory_mb, large), small: MemoryBudget::new(memory_mb, small) }
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
        let budget = if bytes <= MAX_SMALL_BYTES { &self.small } else { &self.large };
        budget.extend(reservation, bytes, time).await
    }

    /// Bytes of the budget of large bodies that are free now.
    pub fn free_bytes(&self) -> usize {
        self.large.free_bytes()
    }
}
