//! Where a rollout is, and where each agent is.
use serde::{Deserialize, Serialize};

/// What an agent runs, as it says itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Version {
    /// What it ran before.
    #[default]
    Old,
    /// What the plan changes it to.
    New,
}

/// One agent of a rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentState {
    /// Its zone.
    pub zone: String,
    /// What it runs.
    #[serde(rename = "at")]
    pub version: Version,
    /// What it was told to run and doesn't yet.
    #[serde(rename = "going")]
    pub target: Option<Version>,
    /// Times that it failed to.
    #[serde(rename = "failed")]
    pub failures: u32,
    /// Why, the last time.
    #[serde(rename = "why")]
    pub last_error: Option<String>,
}

/// Where a rollout is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Nothing has changed: what all do now is gathered first.
    #[serde(rename = "before")]
    Baseline,
    /// The agents of this stage change.
    Changing(usize),
    /// All of this stage have changed, and are compared.
    #[serde(rename = "judging")]
    Evaluating(usize),
    /// Nothing is changed until it looks sound again, or an operator says so.
    Held {
        /// The stage.
        stage: usize,
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// By an operator.
    Paused {
        /// The stage.
        stage: usize,
    },
    /// All that changed goes back.
    #[serde(rename = "back")]
    RollingBack {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Every agent has changed.
    Done,
    /// Every agent runs the old version, but for those named.
    #[serde(rename = "taken-back")]
    RolledBack {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
        /// Agents that could not be brought back.
        stuck: Vec<String>,
    },
}

impl Phase {
    /// Whether nothing follows by itself.
    pub fn is_over(&self) -> bool {
        matches!(self, Phase::Done | Phase::RolledBack { .. })
    }

    /// The stage, where there is one.
    pub(crate) fn stage(&self) -> Option<usize> {
        match self {
            Phase::Changing(stage) | Phase::Evaluating(stage) => Some(*stage),
            Phase::Held { stage, .. } | Phase::Paused { stage } => Some(*stage),
            Phase::Baseline | Phase::RollingBack { .. } | Phase::Done | Phase::RolledBack { .. } => None,
        }
    }

    /// Whether agents may be told to change that were not told yet.
    pub(crate) fn allows_new_steps(&self) -> bool {
        !matches!(self, Phase::Held { .. } | Phase::Paused { .. } | Phase::Baseline)
    }
}

/// To be done at an agent. Told again, it is the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The agent.
    pub agent: String,
    /// What it is to run.
    pub target: Version,
}
