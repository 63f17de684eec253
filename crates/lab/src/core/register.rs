//! The register: a versioned list of backends, told late, with a history that is compacted. What it would
//! write to whom is asked of it; writing is the driver's.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::kit::*;
use super::ledger::Standing;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    pub standing: Standing,
    /// When its process started; None: long ago.
    pub started: Option<Micros>,
}

/// What one answer or one line of a watch holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    pub version: u64,
    pub complete: bool,
    pub rows: Vec<(BackId, Row)>,
}

#[derive(Clone, Debug)]
pub struct Register {
    version: u64,
    rows: BTreeMap<BackId, Row>,
    history: VecDeque<(u64, BackId)>,
    keep: usize,
    /// From a change in the world to the list.
    delay: Micros,
    pending: VecDeque<(Micros, BackId, Row)>,
    hidden: BTreeSet<BackId>,
    late: Micros,
    pub out: bool,
    pub empty: bool,
    /// A watch is told of changes no more often than this.
    pub pace: Micros,
}

impl Register {
    pub fn new(backs: usize, delay: Micros, keep: usize) -> Register {
        let row = Row { standing: Standing::Ready, started: None };
        Register {
            version: 1,
            rows: (0..backs).map(|n| (BackId(n), row)).collect(),
            history: VecDeque::new(),
            keep,
            delay,
            pending: VecDeque::new(),
            hidden: BTreeSet::new(),
            late: Micros(0),
            out: false,
            empty: false,
            pace: Micros(0),
        }
    }

    /// Something changed in the world; the list has it after the delay, in order.
    pub fn note(&mut self, now: Micros, back: BackId, row: Row) {
        let due = now + self.delay + self.late;
        let due = self.pending.back().map_or(due, |last| due.max(last.0));
        self.pending.push_back((due, back, row));
    }
    /// Runs behind by this much more, from the next change on.
    pub fn run_late(&mut self, by: Micros) {
        self.late = by;
    }

    pub fn next(&self) -> Option<Micros> {
        self.pending.front().map(|p| p.0)
    }

    /// True where the list changed.
    pub fn advance(&mut self, now: Micros) -> bool {
        let before = self.version;
        while let Some((_, back, row)) = self.pending.front().copied().filter(|p| p.0 <= now) {
            self.pending.pop_front();
            if self.rows.get(&back) != Some(&row) {
                self.rows.insert(back, row);
                self.changed(back);
            }
        }
        self.version != before
    }
    fn changed(&mut self, back: BackId) {
        self.version += 1;
        self.history.push_back((self.version, back));
        while self.history.len() > self.keep {
            self.history.pop_front();
        }
    }

    /// Healthy backends vanish from the list, or come back to it.
    pub fn hide(&mut self, backs: &[BackId], hidden: bool) {
        for &back in backs {
            let moved = if hidden { self.hidden.insert(back) } else { self.hidden.remove(&back) };
            if moved {
                self.changed(back);
            }
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    fn row(&self, back: BackId) -> Row {
        let row = self.rows[&back];
        if self.hidden.contains(&back) { Row { standing: Standing::Gone, ..row } } else { row }
    }

    /// All that is on the list.
    pub fn whole(&self) -> Listing {
        let here = |back: &BackId| self.row(*back).standing != Standing::Gone && !self.empty;
        let rows = self.rows.keys().copied().filter(here).map(|back| (back, self.row(back))).collect();
        Listing { version: self.version, complete: true, rows }
    }

    /// What changed after a version; the whole list where the history no longer reaches back to it, or where
    /// the version is not one of ours.
    pub fn since(&self, version: Option<u64>) -> Listing {
        let oldest = self.history.front().map_or(self.version, |first| first.0 - 1);
        let Some(version) = version.filter(|&v| v >= oldest && v <= self.version && !self.empty) else {
            return self.whole();
        };
        let backs: BTreeSet<BackId> = self.history.iter().filter(|h| h.0 > version).map(|h| h.1).collect();
        let rows = backs.into_iter().map(|back| (back, self.row(back))).collect();
        Listing { version: self.version, complete: false, rows }
    }
}
