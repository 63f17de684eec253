//! Counts of what the agent takes in, sends and answers. Printed at exit, and for `GET /-/counters`. Names of counters are those of the first release.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;

use notchspool::units::AttemptOutcome;

use crate::base::logger;

/// All counters of a process.
#[derive(Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<&'static str, u64>>,
    /// Requests in flight now.
    pub in_flight: Cell<usize>,
    /// Connections of clients now.
    pub clients: Cell<usize>,
    /// Connections to backends now.
    pub backend_connections: Cell<usize>,
    /// The version of a server list that was taken last.
    pub list_version: Cell<u64>,
    /// Answers that pass through in chunks now.
    pub streamed_answers: Cell<usize>,
}

impl Counters {
    /// Counts one.
    pub fn add(&self, name: &'static str) {
        *self.counts.borrow_mut().entry(name).or_default() += 1;
    }

    /// A count.
    pub fn count(&self, name: &str) -> u64 {
        self.counts.borrow().get(name).copied().unwrap_or_default()
    }

    /// Counts the end of an attempt.
    pub fn on_attempt_end(&self, outcome: AttemptOutcome) {
        self.add(match outcome {
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

    /// Requests in flight, and those whose answers still pass through: both use capacity.
    pub fn capacity_used(&self) -> usize {
        self.in_flight.get() + self.streamed_answers.get()
    }

    /// All of them, a line each.
    pub fn page(&self) -> String {
        let mut page = String::new();
        for (name, count) in self.counts.borrow().iter() {
            let _ = writeln!(page, "{name} {count}");
        }
        let _ = writeln!(page, "log_lines_lost {}", logger::lost_lines());
        let _ = writeln!(page, "list_version {}", self.list_version.get());
        for (name, now) in [
            ("now_in_hand", &self.in_flight),
            ("now_callers", &self.clients),
            ("now_links", &self.backend_connections),
            ("now_flows", &self.streamed_answers),
        ] {
            let _ = writeln!(page, "{name} {}", now.get());
        }
        page
    }
}
