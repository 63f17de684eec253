//! One clock for everything: Unix time read once at the start, monotonic from there on.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use notchspool::units::Micros;

/// The clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix: Micros,
}

impl Clock {
    /// A clock that reads Unix time now, and never again.
    pub fn start() -> Clock {
        Clock { started: Instant::now(), started_unix: unix_time() }
    }

    /// Unix time in microseconds, by the monotonic clock.
    pub fn now(&self) -> Micros {
        self.started_unix + Micros(self.started.elapsed().as_micros() as i64)
    }

    /// How far the machine's clock has been set ahead of this one since the start; negative: back.
    pub fn machine_clock_ahead(&self) -> Micros {
        unix_time() - self.now()
    }

    /// How long it is until `at`; nothing where that has passed.
    pub fn until(&self, at: Micros) -> Duration {
        to_duration(at - self.now())
    }
}

fn unix_time() -> Micros {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(since_epoch.as_micros() as i64)
}

/// A span as a duration; a negative one is nothing.
pub fn to_duration(span: Micros) -> Duration {
    Duration::from_micros(span.0.max(0) as u64)
}
