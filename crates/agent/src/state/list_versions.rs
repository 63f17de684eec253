//! Which lines of a list count, by their revisions. An older one changes nothing (last good). But a registry that started over, or one line whose
//! revision was far too high, would make all that follows older for ever: where only older lines came for some seconds, the full list is asked
//! for, and its numbers begin again.
//!
//! Invariants: generations handed out never fall; while the numbers begin again only a full list counts.
use notchspool::units::{Generation, Micros};

/// A copy of the registry that lags behind, or a line that comes late, is passed over for this long.
const STUCK_AFTER: Micros = Micros::ms(5_000);

/// Revisions that were met, and the generations under which lines counted.
#[derive(Debug, Default)]
pub struct ListVersions {
    /// The highest revision met in these numbers.
    highest: Option<u64>,
    /// Where the next watch goes on from; behind `highest` where a line could not be read.
    resume: Option<u64>,
    /// Added to revisions, so that what begins again is still newer.
    base: u64,
    generation: Generation,
    only_older_since: Option<Micros>,
    /// The numbers begin again with the next full list.
    awaits_full_list: bool,
}

impl ListVersions {
    /// The revision that the next watch goes on from.
    pub fn resume(&self) -> Option<u64> {
        self.resume
    }

    /// The generation of the last line that counted.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Whether the numbers begin again, and a full list is waited for.
    pub fn awaits_full_list(&self) -> bool {
        self.awaits_full_list
    }

    /// Whether any line counted in these numbers.
    pub fn is_known(&self) -> bool {
        self.highest.is_some()
    }

    /// A line was read. The generation under which it counts; nothing where it is older.
    pub fn accept(&mut self, revision: u64, is_full: bool, now: Micros) -> Option<Generation> {
        let is_older = self.highest.is_some_and(|highest| revision < highest);
        if is_older || (self.awaits_full_list && !is_full) {
            self.only_older_since = self.only_older_since.or(Some(now));
            return None;
        }
        self.highest = Some(revision);
        self.only_older_since = None;
        self.awaits_full_list = false;
        self.generation = Generation(self.base.saturating_add(revision)).max(self.generation);
        Some(self.generation)
    }

    /// All up to the last line was read: the next watch goes on from there.
    pub fn on_all_read(&mut self) {
        self.resume = self.highest;
    }

    /// True once, where nothing but older lines came for too long. From here on the numbers begin again.
    pub fn restart_if_stuck(&mut self, now: Micros) -> bool {
        let is_stuck = self.only_older_since.is_some_and(|since| now - since >= STUCK_AFTER);
        if is_stuck {
            (self.highest, self.resume, self.only_older_since) = (None, None, None);
            self.awaits_full_list = true;
            self.base = self.generation.0.saturating_add(1);
        }
        is_stuck
    }
}
