//! Memory shared by all bodies over the small ones: what one draws is given back when it is let go.
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Clone, Debug, Default)]
pub struct Pot(Arc<AtomicUsize>);

/// Bytes drawn by one body.
#[derive(Debug)]
pub struct Drawn {
    pot: Pot,
    bytes: usize,
}

impl Pot {
    pub fn draw(&self) -> Drawn {
        Drawn { pot: self.clone(), bytes: 0 }
    }
    /// Bytes drawn by all.
    pub fn drawn(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drawn {
    /// Draws so much more while all together stay within `most`. False where they would not; then nothing changes.
    pub fn more(&mut self, bytes: usize, most: usize) -> bool {
        if self.pot.drawn().saturating_add(bytes) > most {
            return false;
        }
        self.pot.0.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        true
    }
}

impl Drop for Drawn {
    fn drop(&mut self) {
        self.pot.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_together_stay_within_and_give_back() {
        let pot = Pot::default();
        let (mut one, mut other) = (pot.draw(), pot.draw());
        assert!(one.more(60, 100) && !other.more(60, 100) && other.more(40, 100));
        assert_eq!(pot.drawn(), 100);
        drop(one);
        assert!(other.more(60, 100));
        drop(other);
        assert_eq!(pot.drawn(), 0);
    }
}
