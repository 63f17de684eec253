//! What changed and unchanged agents are compared by, and for which part of the traffic.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::counts::Counts;

/// Where counts come from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stratum {
    /// The request class.
    pub class: String,
    /// The zone of the agents.
    pub zone: String,
}

/// What a group of agents did in one span of time.
pub type GroupCounts = BTreeMap<Stratum, Counts>;

/// One span of time. Agents that sent no report are in neither group.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Agents that have changed.
    pub changed: GroupCounts,
    /// Agents that have not.
    pub unchanged: GroupCounts,
    /// The part of all agents that sent no report: with too many nothing is concluded.
    pub missing: f64,
    /// What is a regression by itself: a broken rule, a start that was refused, a process that crashes again and again.
    pub violation: Option<String>,
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// Not succeeded within the latency target.
    #[serde(rename = "bad")]
    Unsuccessful,
    /// Slower than the 90th percentile was before.
    #[serde(rename = "slow-tenth")]
    SlowerThanP90,
    /// Slower than the 99th percentile was before.
    #[serde(rename = "slow-hundredth")]
    SlowerThanP99,
    /// Attempts a request.
    #[serde(rename = "effort")]
    Attempts,
}

/// Response times of a class before a stage, as buckets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyMarks {
    /// The bucket of the 90th percentile.
    pub p90: usize,
    /// The bucket of the 99th percentile.
    pub p99: usize,
}

impl Measure {
    /// All of them.
    pub const ALL: [Measure; 4] =
        [Measure::Unsuccessful, Measure::SlowerThanP90, Measure::SlowerThanP99, Measure::Attempts];
    /// So much more of slow requests is as bad as one unsuccessful.
    const SLOW_RATIO: f64 = 6.0;
    /// So many more attempts are as bad as one request unsuccessful.
    const ATTEMPTS_RATIO: f64 = 10.0;

    /// The least difference that is worth stopping for, where `max_harm` is so for unsuccessful requests.
    pub fn harm(self, max_harm: f64) -> f64 {
        match self {
            Measure::Unsuccessful | Measure::SlowerThanP99 => max_harm,
            Measure::SlowerThanP90 => max_harm * Self::SLOW_RATIO,
            Measure::Attempts => max_harm * Self::ATTEMPTS_RATIO,
        }
    }

    /// For operators.
    pub fn description(self) -> &'static str {
        match self {
            Measure::Unsuccessful => "not settled within the SLA time",
            Measure::SlowerThanP90 => "slower than nine in ten were before",
            Measure::SlowerThanP99 => "slower than 99 in a hundred were before",
            Measure::Attempts => "postings a txn",
        }
    }

    /// What it comes to for a request, on average.
    pub fn value(self, counts: &Counts, marks: LatencyMarks) -> f64 {
        match self {
            Measure::Unsuccessful => unsuccessful_part(counts),
            Measure::SlowerThanP90 => counts.part_above(marks.p90),
            Measure::SlowerThanP99 => counts.part_above(marks.p99),
            Measure::Attempts => counts.attempts as f64 / counts.all as f64,
        }
    }
}

/// A part of the traffic that is looked at by itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Slice {
    /// All of it.
    All,
    /// One request class.
    #[serde(rename = "scheme")]
    Class(String),
    /// The agents of one zone.
    Zone(String),
}

impl Slice {
    /// Whether a stratum belongs to it.
    pub fn contains(&self, stratum: &Stratum) -> bool {
        match self {
            Slice::All => true,
            Slice::Class(class) => stratum.class == *class,
            Slice::Zone(zone) => stratum.zone == *zone,
        }
    }

    /// Its changed agents, for operators.
    pub fn description(&self) -> String {
        match self {
            Slice::All => "the changed".to_owned(),
            Slice::Class(class) => format!("the changed, scheme `{class}`"),
            Slice::Zone(zone) => format!("the changed, zone `{zone}`"),
        }
    }
}

/// The part of requests that did not succeed within the latency target.
pub fn unsuccessful_part(counts: &Counts) -> f64 {
    1.0 - counts.good as f64 / counts.all.max(1) as f64
}

/// All counts together.
pub fn total<'a>(parts: impl Iterator<Item = &'a Counts>) -> Counts {
    let mut total = Counts::default();
    parts.for_each(|counts| total.add(counts));
    total
}

/// Counts that are kept as rows, in the order in which their strata came: a map with such keys has no form in JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StratumRows(Vec<((String, String), Counts)>);

impl StratumRows {
    /// Adds the counts of a group.
    pub fn add(&mut self, group: &GroupCounts) {
        for (stratum, counts) in group {
            let same =
                |row: &&mut ((String, String), Counts)| row.0.0 == stratum.class && row.0.1 == stratum.zone;
            match self.0.iter_mut().find(same) {
                Some((_, sum)) => sum.add(counts),
                None => self.0.push(((stratum.class.clone(), stratum.zone.clone()), counts.clone())),
            }
        }
    }

    /// The same by stratum.
    pub fn by_stratum(&self) -> GroupCounts {
        let stratum = |(class, zone): &(String, String)| Stratum { class: class.clone(), zone: zone.clone() };
        self.0.iter().map(|(key, counts)| (stratum(key), counts.clone())).collect()
    }

    /// Requests in all rows.
    pub fn requests(&self) -> u64 {
        self.0.iter().map(|(_, counts)| counts.all).sum()
    }
}
