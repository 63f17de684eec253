//! How many attempts may be in flight at once.

/// Attempts by which chance may exceed the window at once.
pub const BURST: f64 = 3.0;

/// A limit on attempts in flight, held in the mean over some response times.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyWindow {
    pub size: f64,
    pub credit: f64, // attempts by which it was lately under- or (below 0) overused
}

impl ConcurrencyWindow {
    /// Whether one more attempt fits.
    pub fn has_room(&self, in_flight: f64) -> bool {
        in_flight < self.size + self.credit
    }
    /// Moves by `pull`, -1 to 1: down at any time, up while it is in use. A small window moves by smaller steps:
    /// it sees few answers, and most of their spread is chance. Returns whether it moved.
    pub fn adjust(&mut self, in_flight: f64, step: f64, pull: f64, min: f64) -> bool {
        let moves = pull < 0.0 || in_flight + 1.0 >= 0.7 * (self.size + self.credit);
        if moves {
            self.size = (self.size + step * self.size / (1.0 + self.size) * pull).max(min);
        }
        moves
    }
    /// A part of a response time has passed. The mean counts, not the moment: few requests come in clusters, and
    /// those are no overload.
    pub fn accrue(&mut self, in_flight: f64, part: f64) {
        self.credit = (self.credit + (self.size - in_flight) * part).clamp(-BURST, BURST);
    }
}
