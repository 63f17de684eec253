//! Which lines of a list count, by their revisions. An older one changes nothing (last good). But a register that started over, or
//! one line whose revision was far too high, would make all that follows older for ever: where only older lines came for
//! some seconds, the list is asked for whole, and its numbers begin anew.
//!
//! Held always: generations handed out never fall; while the numbers begin anew only a whole list counts.
use notchspool::units::{Generation, Micros};

/// A copy of the register that lags behind, or a line that comes late, is passed over for this long.
const HOLD: Micros = Micros::ms(5_000);

#[derive(Debug, Default)]
pub struct Versions {
    /// The highest revision heard in these numbers.
    top: Option<u64>,
    /// Where the next watch goes on from; behind `top` where a line could not be read.
    resume: Option<u64>,
    /// Added to revisions, so that what begins anew is still newer.
    base: u64,
    given: Generation,
    older_since: Option<Micros>,
    /// The numbers begin anew with the next whole list.
    anew: bool,
}

impl Versions {
    pub fn resume(&self) -> Option<u64> {
        self.resume
    }
    /// The generation of the last line that counted.
    pub fn given(&self) -> Generation {
        self.given
    }
    /// Whether the numbers begin anew, and a whole list is waited for.
    pub fn waits(&self) -> bool {
        self.anew
    }
    /// Whether anything was ever heard in these numbers.
    pub fn known(&self) -> bool {
        self.top.is_some()
    }

    /// A line was read. The generation under which it counts; none where it is older.
    pub fn heard(&mut self, revision: u64, whole: bool, now: Micros) -> Option<Generation> {
        if self.top.is_some_and(|top| revision < top) || (self.anew && !whole) {
            self.older_since = self.older_since.or(Some(now));
            return None;
        }
        (self.top, self.older_since, self.anew) = (Some(revision), None, false);
        self.given = Generation(self.base.saturating_add(revision)).max(self.given);
        Some(self.given)
    }
    /// All up to the last line was read: the next watch goes on from there.
    pub fn go_on(&mut self) {
        self.resume = self.top;
    }

    /// True once, where nothing but older lines came for too long. From here on the numbers begin anew.
    pub fn begin_anew(&mut self, now: Micros) -> bool {
        let deaf = self.older_since.is_some_and(|since| now - since >= HOLD);
        if deaf {
            (self.top, self.resume, self.older_since, self.anew) = (None, None, None, true);
            self.base = self.given.0.saturating_add(1);
        }
        deaf
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: i64) -> Micros {
        Micros::ms(ms)
    }

    #[test]
    fn an_older_line_changes_nothing_and_one_that_catches_up_ends_the_doubt() {
        let mut versions = Versions::default();
        assert_eq!(versions.heard(41, true, ms(0)), Some(Generation(41)));
        assert_eq!(versions.heard(40, true, ms(10)), None);
        assert!(!versions.begin_anew(ms(5_009)));
        assert_eq!(versions.heard(42, false, ms(5_009)), Some(Generation(42)));
        assert!(!versions.begin_anew(ms(20_000)));
    }

    #[test]
    fn after_some_seconds_of_older_lines_a_whole_list_begins_anew_and_is_newer() {
        let mut versions = Versions::default();
        versions.heard(u64::MAX - 7, true, ms(0));
        versions.go_on();
        assert_eq!((versions.heard(43, false, ms(10)), versions.resume()), (None, Some(u64::MAX - 7)));
        assert!(versions.begin_anew(ms(5_010)) && !versions.begin_anew(ms(5_011)));
        assert_eq!(versions.resume(), None, "the next watch asks for all");
        assert_eq!(versions.heard(44, false, ms(5_020)), None, "a change of who knows what");
        let whole = versions.heard(44, true, ms(5_030)).expect("it counts");
        assert!(whole > Generation(u64::MAX - 7));
        assert!(versions.heard(45, false, ms(5_040)).expect("it counts") >= whole);
        assert!(!versions.begin_anew(ms(60_000)));
    }
}
