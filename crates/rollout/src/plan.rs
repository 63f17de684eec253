//! A plan, and which agents change in which stage.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use serde::{Deserialize, Serialize};

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;

/// What changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// A program by its path on each machine and the digest of what stands there.
    Program {
        /// The whole path.
        path: String,
        /// 64 hexadecimal digits.
        digest: String,
    },
    /// A file of settings by its digest.
    #[serde(rename = "terms")]
    Settings {
        /// 64 hexadecimal digits.
        digest: String,
    },
}

/// What is done where a stage regresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnRegression {
    /// All that changed goes back.
    #[default]
    #[serde(rename = "take-back")]
    RollBack,
    /// It stays as it is, until it looks sound or an operator says so.
    Hold,
}

/// How a change goes on, and what stops it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name: 1 to 64 letters, digits, `-`, `_` and `.`.
    pub name: String,
    /// What changes.
    #[serde(rename = "what")]
    pub change: Change,
    /// The part of all agents that has changed at the end of each stage; zero: one agent.
    pub stages: Vec<f64>,
    /// The part of a zone that may be in the middle of a change at once.
    #[serde(rename = "part")]
    pub max_unavailable: f64,
    /// More failures a request than this are worth stopping for.
    #[serde(rename = "harm")]
    pub max_harm: f64,
    /// Figures before a stage can be found sound.
    #[serde(rename = "least")]
    pub min_figures: u64,
    /// The longest wait for them, in microseconds.
    #[serde(rename = "longest_us")]
    pub max_wait_us: i64,
    /// The chance, over the whole change, that a sound one is stopped.
    pub alpha: f64,
    /// What is done where a stage regresses.
    #[serde(rename = "on_worse")]
    pub on_regression: OnRegression,
    /// Times that a step is tried at one agent.
    #[serde(rename = "tries")]
    pub max_attempts: u32,
}

impl Plan {
    /// A plan of four stages with the usual bounds.
    pub fn new(name: &str, change: Change) -> Plan {
        Plan {
            name: name.into(),
            change,
            stages: vec![0.0, 0.05, 0.25, 1.0],
            max_unavailable: 0.25,
            max_harm: 0.005,
            min_figures: 20,
            max_wait_us: 600_000_000,
            alpha: 0.005,
            on_regression: OnRegression::RollBack,
            max_attempts: 3,
        }
    }

    /// The longest wait for figures.
    pub fn max_wait(&self) -> Micros {
        Micros(self.max_wait_us)
    }

    /// Every mistake in it, by its field; nothing where it is sound.
    pub fn mistakes(&self) -> Vec<String> {
        let mut mistakes = Vec::new();
        let mut demand = |holds: bool, what: &str| {
            if !holds {
                mistakes.push(what.to_owned());
            }
        };
        let is_name = |text: &str| {
            !text.is_empty()
                && text.len() <= MAX_NAME_BYTES
                && text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
        };
        demand(is_name(&self.name), "field `name` is 1 to 64 letters, digits, `-`, `_` and `.`");
        demand(!self.stages.is_empty(), "field `stages` is empty");
        demand(
            self.stages.iter().all(|part| (0.0..=1.0).contains(part)),
            "field `stages`: a part lies between 0 and 1",
        );
        demand(
            self.stages.windows(2).all(|pair| pair[0] < pair[1]),
            "field `stages`: each stage is larger than the one before",
        );
        demand(
            self.stages.last() == Some(&1.0),
            "field `stages`: the last one is 1, or the change never ends",
        );
        demand(
            self.max_unavailable > 0.0 && self.max_unavailable <= 1.0,
            "field `part` must be over 0 and at most 1",
        );
        demand(self.max_harm > 0.0 && self.max_harm < 1.0, "field `harm` must lie between 0 and 1");
        demand(self.alpha > 0.0 && self.alpha < 0.5, "field `alpha` must be over 0 and under a half");
        demand(
            (2..=100_000).contains(&self.min_figures),
            "field `least` must lie between 2 and 100000 windows",
        );
        demand(
            (1_000_000..=86_400_000_000).contains(&self.max_wait_us),
            "field `longest_us` must lie between a second and a day",
        );
        demand((1..=100).contains(&self.max_attempts), "field `tries` must lie between 1 and 100");
        let digest = match &self.change {
            Change::Program { path, digest } => {
                demand(path.starts_with('/'), "field `path` is no whole path");
                digest
            }
            Change::Settings { digest } => digest,
        };
        let is_digest = digest.len() == DIGEST_DIGITS && digest.chars().all(|c| c.is_ascii_hexdigit());
        demand(is_digest, "field `digest` is not 64 hexadecimal digits");
        mistakes
    }

    /// The agents of each stage beyond those of the ones before. Within a stage zones take turns, and so do they over stages: no
    /// stage falls on one zone alone, where there are more.
    pub fn stages_of(&self, agents: &BTreeMap<String, String>) -> Vec<Vec<String>> {
        let mut zones: BTreeMap<&str, Vec<&String>> = BTreeMap::new();
        for (name, zone) in agents {
            zones.entry(zone).or_default().push(name);
        }
        let mut order: Vec<String> = Vec::new();
        let largest = zones.values().map(Vec::len).max().unwrap_or(0);
        for nth in 0..largest {
            order.extend(zones.values().filter_map(|zone| zone.get(nth)).map(|name| (*name).clone()));
        }
        let mut stages = Vec::new();
        let mut start = 0;
        for part in &self.stages {
            let end = ((part * order.len() as f64).round() as usize).max(start + 1).min(order.len());
            stages.push(order[start.min(end)..end].to_vec());
            start = end;
        }
        stages
    }
}
