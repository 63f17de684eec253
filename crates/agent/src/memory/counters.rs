//! Counts of what the agent takes in, sends and answers. Printed at exit, and for `GET /-/counters`.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;

use notchspool::units::AttemptOutcome;

use crate::base::logger;

#[derive(Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    /// Txns in hand, connections of the application, connections to backends: now.
    pub in_hand: Cell<usize>,
    pub callers: Cell<usize>,
    pub links: Cell<usize>,
    /// The version of a server list that was taken last.
    pub list: Cell<u64>,
    /// Answers that pass through in pieces, now.
    pub flows: Cell<usize>,
}

impl Counters {
    pub fn add(&self, what: &'static str) {
        *self.counts.borrow_mut().entry(what).or_default() += 1;
    }
    pub fn count(&self, what: &str) -> u64 {
        self.counts.borrow().get(what).copied().unwrap_or_default()
    }
    pub fn posting(&self, fate: AttemptOutcome) {
        self.add(match fate {
            AttemptOutcome::Succeeded => "posting_settled",
            AttemptOutcome::Failed => "posting_errored",
            AttemptOutcome::Rejected => "posting_turned_away",
            AttemptOutcome::Unusable => "posting_unusable",
            AttemptOutcome::TimedOut => "posting_timed_out",
            AttemptOutcome::ConnectFailed => "posting_no_link",
            AttemptOutcome::ConnectionLost => "posting_broken",
            AttemptOutcome::Cancelled => "posting_withdrawn",
            AttemptOutcome::NotSent => "posting_never_sent",
            AttemptOutcome::BodyConsumed => "posting_spent",
        });
    }
    /// Txns in hand, and those whose answers still pass through: both hold room.
    pub fn held(&self) -> usize {
        self.in_hand.get() + self.flows.get()
    }
    pub fn print(&self) -> String {
        let mut page = String::new();
        for (what, count) in self.counts.borrow().iter() {
            let _ = writeln!(page, "{what} {count}");
        }
        let _ = writeln!(page, "log_lines_lost {}", logger::lost());
        let _ = writeln!(page, "list_version {}", self.list.get());
        for (what, now) in [
            ("now_in_hand", &self.in_hand),
            ("now_callers", &self.callers),
            ("now_links", &self.links),
            ("now_flows", &self.flows),
        ] {
            let _ = writeln!(page, "{what} {}", now.get());
        }
        page
    }
}
