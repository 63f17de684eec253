//! How many txns may be out at once.
pub const BURST: f64 = 3.0; // postings over a window that chance may bring at once

/// How many own postings may be out, in the mean over some response times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    pub size: f64,
    pub saved: f64, // postings by which it was lately under- or (below 0) overused
}

impl Window {
    pub fn has_room(&self, out: f64) -> bool {
        out < self.size + self.saved
    }
    /// Moves by `pull`, -1 to 1: down at any time, up while it is in use. A small one moves by smaller steps:
    /// its agent hears little, and most of that is chance. False where it stayed.
    pub fn moves(&mut self, out: f64, step: f64, pull: f64, least: f64) -> bool {
        let moves = pull < 0.0 || out + 1.0 >= 0.7 * (self.size + self.saved);
        if moves {
            self.size = (self.size + step * self.size / (1.0 + self.size) * pull).max(least);
        }
        moves
    }
    /// A part of a response time passed. The mean counts, not the moment: few txns come in clusters, and
    /// those are no overload.
    pub fn pass(&mut self, out: f64, part: f64) {
        self.saved = (self.saved + (self.size - out) * part).clamp(-BURST, BURST);
    }
}
