//! Whether this process stood still: frozen, or without a processor. What is read right after may have waited for as long, with all that it
//! says of time left; it is taken to be that old.
use notchspool::units::Micros;
use notchspool_mesh_protocol::Request;

/// The process is seen to run at least ten times a second: a gap longer than this is a stall.
const MIN_STALL: Micros = Micros::ms(200);
/// A stall shorter than this is load, under which what is read is mostly newer: it makes requests older, but takes nothing of their time.
pub const LONG_STALL: Micros = Micros::ms(1_000);
/// What had piled up is read within this.
const CATCH_UP_TIME: Micros = Micros::ms(50);
const MAX_AGE_MS: i64 = 600_000;

/// Watches the steps of the clock.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last_observed_at: Micros,
    stall: Micros,
    resumed_at: Micros,
}

impl StallDetector {
    /// The process runs since now.
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { last_observed_at: now, stall: Micros(0), resumed_at: Micros(0) }
    }

    /// The process runs. Gives how old what is read now may be.
    pub fn observe(&mut self, now: Micros) -> Micros {
        let gap = now - self.last_observed_at;
        if gap >= MIN_STALL {
            self.stall = gap;
            self.resumed_at = now;
        }
        self.last_observed_at = now;
        let is_catching_up = self.resumed_at > Micros(0) && now - self.resumed_at < CATCH_UP_TIME;
        if is_catching_up { self.stall } else { Micros(0) }
    }
}

/// A request of another proxy that may have waited here as long: it is that much older, and may have no time left.
pub fn aged(mut request: Request, by: Micros) -> Request {
    let ms = (by.0 / 1_000).clamp(0, MAX_AGE_MS) as u32;
    request.age_ms = request.age_ms.saturating_add(ms);
    if by >= LONG_STALL {
        request.time_left_ms = request.time_left_ms.saturating_sub(ms);
        request.target_left_ms = request.target_left_ms.saturating_sub(ms);
    }
    request
}
