//! A change on its way: which version each agent runs, in which stage the change is, which verdicts were given, and what is to be done next. It
//! can be written down at any moment and read again by another owner; what is to be done follows from the present state, never from what
//! was done.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use serde::{Deserialize, Serialize};

use crate::evaluator::{Evaluator, Thresholds, Verdict};
use crate::measure::{StratumRows, Window};
use crate::phase::{AgentState, Phase, Step, Version};
use crate::plan::{OnRegression, Plan};

/// Windows that are gathered before the first change.
const BASELINE_WINDOWS: u64 = 10;
/// Of a stage's agents, the part that may be away while it is evaluated.
const MAX_AWAY: f64 = 0.15;

/// Why an operator's request makes no sense now.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum RolloutError {
    /// Pausing needs something that changes.
    #[display("nothing has changed yet; abort it, or wait")]
    NothingChanged,
    /// It can't be paused any more.
    #[display("it is over or on its way back: {phase:?}")]
    OverOrRollingBack {
        /// Where it is.
        phase: Phase,
    },
    /// There is nothing to resume.
    #[display("it is neither paused nor held: {phase:?}")]
    NotStopped {
        /// Where it is.
        phase: Phase,
    },
    /// It was rolled back.
    #[display("it was taken back already")]
    AlreadyRolledBack,
}

/// See the module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// What changes, and how.
    pub plan: Plan,
    /// All agents that the plan means, by name.
    pub agents: BTreeMap<String, AgentState>,
    /// The agents of each stage, beyond those of the stages before.
    pub stages: Vec<Vec<String>>,
    /// Where it is.
    pub phase: Phase,
    /// Every verdict that moved it, with its stage.
    pub verdicts: Vec<(usize, Verdict)>,
    /// Agents that changed, in order: the last one goes back first.
    changed: Vec<String>,
    #[serde(rename = "judge")]
    evaluator: Option<Evaluator>,
    /// What all did before the stage.
    before: StratumRows,
    windows: u64,
    /// How long the stage has been evaluated, in microseconds.
    waited_us: i64,
}

/// Agents of a zone that are in the middle of a change, and all of them.
#[derive(Clone, Copy, Default)]
struct ZoneLoad {
    changing: usize,
    all: usize,
}

impl ZoneLoad {
    /// Whether one more may begin; one may in any zone.
    fn has_room(self, max_unavailable: f64) -> bool {
        let most = ((max_unavailable * self.all as f64) as usize).max(1);
        self.changing < most
    }
}

impl Rollout {
    /// A rollout at its beginning. `agents`: names and zones of all that the plan means.
    ///
    /// # Errors
    /// Every mistake of the plan.
    pub fn new(plan: Plan, agents: &BTreeMap<String, String>) -> Result<Rollout, Vec<String>> {
        let mut mistakes = plan.mistakes();
        if agents.is_empty() {
            mistakes.push("nobody is meant".into());
        }
        if !mistakes.is_empty() {
            return Err(mistakes);
        }
        let agent = |(name, zone): (&String, &String)| {
            (name.clone(), AgentState { zone: zone.clone(), ..AgentState::default() })
        };
        Ok(Rollout {
            stages: plan.stages_of(agents),
            agents: agents.iter().map(agent).collect(),
            plan,
            phase: Phase::Baseline,
            verdicts: Vec::new(),
            changed: Vec::new(),
            evaluator: None,
            before: StratumRows::default(),
            windows: 0,
            waited_us: 0,
        })
    }

    fn thresholds(&self) -> Thresholds {
        let stages = self.stages.len().max(1) as f64;
        Thresholds {
            max_harm: self.plan.max_harm,
            alpha: self.plan.alpha / stages,
            min_figures: self.plan.min_figures,
            ..Thresholds::default()
        }
    }

    /// What an agent is to run by now.
    pub fn target_of(&self, name: &str) -> Version {
        let stage = match &self.phase {
            Phase::Baseline | Phase::RollingBack { .. } | Phase::RolledBack { .. } => return Version::Old,
            Phase::Done => return Version::New,
            other => other.stage().unwrap_or_default(),
        };
        let last = stage.min(self.stages.len() - 1);
        let is_reached = self.stages[..=last].iter().flatten().any(|agent| agent == name);
        if is_reached { Version::New } else { Version::Old }
    }

    fn is_stuck(&self, agent: &AgentState) -> bool {
        agent.failures >= self.plan.max_attempts
    }

    /// What is to be done now, at agents that are connected. The rollout has to be written down before any of it is given out.
    pub fn next_steps(&mut self, connected: &BTreeSet<String>) -> Vec<Step> {
        let mut zones = self.zone_loads();
        let mut steps = Vec::new();
        for name in self.names_in_order() {
            let target = self.target_of(&name);
            if !connected.contains(&name) || !self.needs_step(&name, target) {
                continue;
            }
            if !self.is_told(&name, target) && !self.may_begin(&name, &mut zones) {
                continue;
            }
            self.note_told(&name, target);
            steps.push(Step { agent: name, target });
        }
        steps
    }

    fn zone_loads(&self) -> BTreeMap<String, ZoneLoad> {
        let mut zones: BTreeMap<String, ZoneLoad> = BTreeMap::new();
        for agent in self.agents.values() {
            let load = zones.entry(agent.zone.clone()).or_default();
            load.changing += usize::from(agent.target.is_some());
            load.all += 1;
        }
        zones
    }

    /// The last changed first, as they go back; others by name.
    fn names_in_order(&self) -> Vec<String> {
        let place = |name: &String| self.changed.iter().position(|changed| changed == name);
        let mut names: Vec<String> = self.agents.keys().cloned().collect();
        names.sort_by_key(|name| std::cmp::Reverse(place(name)));
        names
    }

    /// Whether an agent is not where the rollout is now, whatever it missed, and can still be brought there.
    fn needs_step(&self, name: &str, target: Version) -> bool {
        let Some(agent) = self.agents.get(name) else { return false };
        let is_there = agent.version == target && agent.target.is_none_or(|told| told == target);
        !self.is_stuck(agent) && !is_there
    }

    fn is_told(&self, name: &str, target: Version) -> bool {
        self.agents.get(name).is_some_and(|agent| agent.target == Some(target))
    }

    /// Whether an agent may be told now; it counts in its zone from here on. Whoever was told something else counts already.
    fn may_begin(&self, name: &str, zones: &mut BTreeMap<String, ZoneLoad>) -> bool {
        let Some(agent) = self.agents.get(name) else { return false };
        if !self.phase.allows_new_steps() {
            return false;
        }
        if agent.target.is_some() {
            return true;
        }
        let load = zones.entry(agent.zone.clone()).or_default();
        if !load.has_room(self.plan.max_unavailable) {
            return false;
        }
        load.changing += 1;
        true
    }

    /// From here on the agent may have changed: it is among those that are rolled back.
    fn note_told(&mut self, name: &str, target: Version) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.target = Some(target);
        }
        if target == Version::New && !self.changed.iter().any(|changed| changed == name) {
            self.changed.push(name.to_owned());
        }
    }

    /// An agent says what it runs, by itself or in answer to a step.
    pub fn on_version(&mut self, name: &str, version: Version) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.version = version;
        if agent.target == Some(version) {
            agent.target = None;
            agent.failures = 0;
            agent.last_error = None;
        }
        self.advance();
    }

    /// An agent says that it could not: the new version refused to start, its digest is another, the old one is gone from the disk.
    pub fn on_failure(&mut self, name: &str, error: &str) {
        let max_attempts = self.plan.max_attempts;
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.failures += 1;
        agent.last_error = Some(error.to_owned());
        let was_forward = agent.target == Some(Version::New);
        let is_stuck = agent.failures >= max_attempts;
        agent.target = None;
        if was_forward && is_stuck {
            self.on_regression(format!("{name}: {error}, {max_attempts} times"));
        }
        self.advance();
    }

    fn on_regression(&mut self, reason: String) {
        let stage = self.stage();
        self.verdicts.push((stage, Verdict::Regressed(reason.clone())));
        match self.plan.on_regression {
            OnRegression::RollBack => self.roll_back(reason),
            OnRegression::Hold => self.phase = Phase::Held { stage, reason },
        }
    }

    /// The stage; the first one where there is none yet or no more.
    pub fn stage(&self) -> usize {
        match &self.phase {
            Phase::Done => self.stages.len() - 1,
            other => other.stage().unwrap_or(0),
        }
    }

    fn roll_back(&mut self, reason: String) {
        if !self.phase.is_over() && !matches!(self.phase, Phase::RollingBack { .. }) {
            // Attempts forward say nothing of the way back.
            self.agents.values_mut().for_each(|agent| agent.failures = 0);
            self.phase = Phase::RollingBack { reason };
            self.evaluator = None;
            self.advance();
        }
    }

    /// Ends a phase that is complete by what agents run.
    fn advance(&mut self) {
        match &self.phase {
            Phase::Changing(stage) => self.advance_changing(*stage),
            Phase::RollingBack { reason } => {
                let reason = reason.clone();
                self.advance_rolling_back(reason);
            }
            _ => {}
        }
    }

    fn advance_changing(&mut self, stage: usize) {
        let reached: Vec<&String> = self.stages[..=stage].iter().flatten().collect();
        let is_new = |name: &&&String| {
            self.agents.get(name.as_str()).is_some_and(|agent| agent.version == Version::New)
        };
        let changed = reached.iter().filter(is_new).count();
        if changed as f64 >= (1.0 - MAX_AWAY) * reached.len() as f64 && changed > 0 {
            self.evaluator = Some(Evaluator::new(self.thresholds(), &self.before.by_stratum()));
            self.phase = Phase::Evaluating(stage);
            self.waited_us = 0;
        }
    }

    fn advance_rolling_back(&mut self, reason: String) {
        let has_new = |agent: &AgentState| agent.version == Version::New || agent.target.is_some();
        if self.agents.values().any(|agent| has_new(agent) && !self.is_stuck(agent)) {
            return;
        }
        let is_left = |agent: &AgentState| agent.version == Version::New && self.is_stuck(agent);
        let stuck =
            self.agents.iter().filter(|(_, agent)| is_left(agent)).map(|(name, _)| name.clone()).collect();
        self.phase = Phase::RolledBack { reason, stuck };
    }

    /// What both groups did in one more span of time.
    pub fn on_window(&mut self, window: &Window, span: Micros) {
        match self.phase.clone() {
            Phase::Baseline => {
                self.add_to_baseline(window);
                self.windows += 1;
                if self.windows >= BASELINE_WINDOWS {
                    self.phase = Phase::Changing(0);
                }
            }
            Phase::Evaluating(stage) | Phase::Held { stage, .. } => {
                if self.evaluator.is_none() {
                    return;
                }
                self.evaluate(stage, window, span);
            }
            // While agents change, a broken rule or a crash loop counts already.
            Phase::Changing(_) => {
                if let Some(violation) = &window.violation {
                    self.on_regression(violation.clone());
                }
            }
            _ => {}
        }
        self.finish_without_unchanged(window);
    }

    fn evaluate(&mut self, stage: usize, window: &Window, span: Micros) {
        let Some(evaluator) = &mut self.evaluator else { return };
        evaluator.on_window(window);
        self.waited_us += span.0;
        let timed_out = self.waited_us >= self.plan.max_wait_us;
        let changed = self.stages[..=stage].iter().map(Vec::len).sum::<usize>();
        let part = changed as f64 / self.agents.len().max(1) as f64;
        let is_last = stage + 1 == self.stages.len();
        let verdict = evaluator.verdict(part, timed_out);
        match verdict {
            Verdict::Regressed(reason) => self.on_regression(reason),
            Verdict::Proceed(_) => {
                self.verdicts.push((stage, verdict));
                if is_last {
                    self.phase = Phase::Done;
                } else {
                    self.phase = Phase::Changing(stage + 1);
                    self.add_to_baseline(window);
                    self.advance();
                }
            }
            Verdict::Hold(reason) => {
                if matches!(self.phase, Phase::Evaluating(_)) {
                    self.verdicts.push((stage, Verdict::Hold(reason.clone())));
                }
                self.phase = Phase::Held { stage, reason };
            }
            Verdict::Undecided(_) => self.phase = Phase::Evaluating(stage),
        }
    }

    /// With all changed there is nobody to compare with: the last stage is sound if nothing breaks while its agents change.
    fn finish_without_unchanged(&mut self, window: &Window) {
        if let Phase::Evaluating(stage) = self.phase
            && stage + 1 == self.stages.len()
            && window.unchanged.is_empty()
            && window.violation.is_none()
        {
            let reason = "everybody has changed: there is nobody to compare with".to_owned();
            self.verdicts.push((stage, Verdict::Proceed(reason)));
            self.phase = Phase::Done;
        }
    }

    fn add_to_baseline(&mut self, window: &Window) {
        self.before.add(&window.unchanged);
        self.before.add(&window.changed);
    }

    /// Stops it where it is, by an operator.
    ///
    /// # Errors
    /// Nothing has changed yet, or it is over or rolling back.
    pub fn pause(&mut self) -> Result<(), RolloutError> {
        match &self.phase {
            Phase::Changing(stage) | Phase::Evaluating(stage) | Phase::Held { stage, .. } => {
                self.phase = Phase::Paused { stage: *stage };
                Ok(())
            }
            Phase::Baseline => Err(RolloutError::NothingChanged),
            other => Err(RolloutError::OverOrRollingBack { phase: other.clone() }),
        }
    }

    /// Goes on after a pause or a hold.
    ///
    /// # Errors
    /// It is neither paused nor held.
    pub fn resume(&mut self) -> Result<(), RolloutError> {
        match &self.phase {
            Phase::Paused { stage } | Phase::Held { stage, .. } => {
                self.phase = Phase::Changing(*stage);
                self.advance();
                Ok(())
            }
            other => Err(RolloutError::NotStopped { phase: other.clone() }),
        }
    }

    /// Rolls all back, from any phase, also after its end. `by`: who wants it.
    ///
    /// # Errors
    /// It was rolled back already.
    pub fn abort(&mut self, by: &str) -> Result<(), RolloutError> {
        match &self.phase {
            Phase::RolledBack { .. } => return Err(RolloutError::AlreadyRolledBack),
            Phase::Done => {
                self.phase = Phase::Changing(self.stages.len() - 1);
                self.roll_back(format!("by {by}, after its end"));
            }
            _ => self.roll_back(format!("by {by}")),
        }
        Ok(())
    }
}
