//! Which replicas are known to have taken what was reported to them.
//!
//! A connection keeps its order, and a replica answers a ping with the same number: one that answers a ping has taken all that was sent to it
//! before. [`ReportConfirmations`] follows such pings, without I/O.
use std::collections::{BTreeMap, BTreeSet};

/// Numbers of these pings begin here; those that only tell that a proxy lives are below.
const FIRST_NUMBER: u64 = 1 << 32;

/// The number of a ping that is sent to all replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PingNumber(u64);

impl PingNumber {
    /// As it is on the wire.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

/// Pings that are open, and the replicas that have answered each.
#[derive(Clone, Debug, Default)]
pub struct ReportConfirmations {
    next: u64,
    answered_by: BTreeMap<PingNumber, BTreeSet<String>>,
}

impl ReportConfirmations {
    /// Begins with a ping that is to be sent to all replicas, and to those that connect while it is open.
    pub fn begin(&mut self) -> PingNumber {
        let number = PingNumber(FIRST_NUMBER + self.next);
        self.next += 1;
        self.answered_by.insert(number, BTreeSet::new());
        number
    }

    /// Nobody waits for it any more.
    pub fn end(&mut self, number: PingNumber) {
        self.answered_by.remove(&number);
    }

    /// Pings that are open.
    pub fn open(&self) -> impl Iterator<Item = PingNumber> {
        self.answered_by.keys().copied()
    }

    /// A replica has answered a ping. Whether it is one of these.
    pub fn on_pong(&mut self, number: u64, replica: &str) -> bool {
        let Some(answered_by) = self.answered_by.get_mut(&PingNumber(number)) else { return false };
        answered_by.insert(replica.to_string())
    }

    /// Whether a majority of these voters has answered.
    pub fn is_confirmed(&self, number: PingNumber, voters: &[String]) -> bool {
        let Some(answered_by) = self.answered_by.get(&number) else { return false };
        let confirming = voters.iter().filter(|voter| answered_by.contains(*voter)).count();
        confirming > voters.len() / 2
    }
}
