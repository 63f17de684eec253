//! What agents report of themselves, by request class, counted since their start, and what came between two reports.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Buckets of response times: the upper bound of each is 1.1 times that of the one before, from 1 ms on.
pub const BUCKETS: usize = 96;
const BUCKET_RATIO: f64 = 1.1;

/// What became of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Requests answered.
    pub all: u64,
    /// Succeeded within the latency target.
    pub good: u64,
    /// Succeeded later.
    pub late: u64,
    /// Refused before they ran.
    #[serde(rename = "declined")]
    pub refused: u64,
    /// Failed.
    #[serde(rename = "reversed")]
    pub failed: u64,
    /// Attempts that were sent for them.
    #[serde(rename = "postings")]
    pub attempts: u64,
    /// Succeeded ones by the bucket of their response time.
    #[serde(rename = "times")]
    pub latencies: Vec<u64>,
}

/// The bucket of a response time in milliseconds.
pub fn bucket(ms: f64) -> usize {
    if ms <= 1.0 { 0 } else { ((ms.ln() / BUCKET_RATIO.ln()).ceil() as usize).min(BUCKETS - 1) }
}

impl Counts {
    /// What came since `earlier`; none where these are counts of another start.
    pub fn since(&self, earlier: &Counts) -> Option<Counts> {
        let latencies = |bucket: usize| {
            let count = |counts: &Counts| counts.latencies.get(bucket).copied().unwrap_or_default();
            count(self).checked_sub(count(earlier))
        };
        Some(Counts {
            all: self.all.checked_sub(earlier.all)?,
            good: self.good.checked_sub(earlier.good)?,
            late: self.late.checked_sub(earlier.late)?,
            refused: self.refused.checked_sub(earlier.refused)?,
            failed: self.failed.checked_sub(earlier.failed)?,
            attempts: self.attempts.checked_sub(earlier.attempts)?,
            latencies: (0..BUCKETS).map(latencies).collect::<Option<_>>()?,
        })
    }

    /// Adds counts of others.
    pub fn add(&mut self, other: &Counts) {
        self.all += other.all;
        self.good += other.good;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.attempts += other.attempts;
        self.latencies.resize(BUCKETS, 0);
        for (to, from) in self.latencies.iter_mut().zip(&other.latencies) {
            *to += from;
        }
    }

    /// The part of the succeeded ones whose response time is over the bound of this bucket.
    pub fn part_above(&self, bucket: usize) -> f64 {
        let slow: u64 = self.latencies.iter().skip(bucket + 1).sum();
        slow as f64 / self.latencies.iter().sum::<u64>().max(1) as f64
    }

    /// The bucket that `part` of the response times lie in or below.
    pub fn quantile(&self, part: f64) -> usize {
        let all: u64 = self.latencies.iter().sum();
        let mut seen = 0;
        let bucket = self.latencies.iter().position(|count| {
            seen += count;
            seen as f64 >= part * all as f64
        });
        bucket.unwrap_or(0)
    }
}

/// An agent's report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentReport {
    /// Identifies the start of its process: counts of two starts have nothing in common.
    #[serde(rename = "life")]
    pub boot_id: u64,
    /// Counts by request class.
    #[serde(rename = "schemes")]
    pub classes: BTreeMap<String, Counts>,
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
    /// Processor time since its start, in microseconds.
    pub cpu_us: u64,
    /// Connections to backends opened since its start.
    #[serde(rename = "links_opened")]
    pub connections_opened: u64,
    /// Times that its process was started again without being asked to.
    pub restarts: u64,
    /// A safety rule was broken, as the agent or backends recorded.
    pub rule_broken: bool,
}
