//! The monotonic clock of a process, and its one source of chance.
use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::Instant;

use notchspool::units::Micros;

/// The monotonic clock of this process, in microseconds from its start, plus one so that 0 is before everything.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time.
    pub fn now(&self) -> Micros {
        Micros(self.0.elapsed().as_micros() as i64 + 1)
    }
}

/// A random number that is not 0, for a boot id or the seed of a generator: from the random state that the standard library draws.
pub fn random_id() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish() | 1
}
