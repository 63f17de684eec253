//! One clock for everything: Unix time read once at start, monotonic from there on.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use notchspool::units::Micros;

#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    unix: Micros,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), unix: Micros(unix.as_micros() as i64) }
    }
    pub fn now(&self) -> Micros {
        self.unix + Micros(self.began.elapsed().as_micros() as i64)
    }
    /// How far the machine's clock has been set ahead of this one since the start; below nothing: back.
    pub fn set_ahead(&self) -> Micros {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Micros(unix.as_micros() as i64) - self.now()
    }
    /// How long it is still till `at`.
    pub fn until(&self, at: Micros) -> Duration {
        span(at - self.now())
    }
}

pub fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros.0.max(0) as u64)
}
