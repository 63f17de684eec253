//! Evaluates a stage: changed agents against unchanged ones at the same time, class by class and zone by zone, and the unchanged against
//! the time before the stage.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::confidence_sequence::ConfidenceSequence;
use crate::counts::Counts;
use crate::measure::{
    GroupCounts, LatencyMarks, Measure, Slice, Stratum, StratumRows, Window, total, unsuccessful_part,
};

/// Unsuccessful requests of the unchanged rose by more than this: something else is wrong.
const MAX_BACKGROUND_RISE: f64 = 0.03;
/// Smoothing of what the unchanged do, for one window.
const BACKGROUND_SMOOTHING: f64 = 0.3;
/// Classes and zones that are looked at by themselves: the largest.
const MAX_SLICES: usize = 12;
/// Intervals are tightest near so many figures.
const BEST_FIGURES: f64 = 60.0;
/// Figures before a regression can be found.
const MIN_FIGURES_TO_REGRESS: u64 = 5;
/// In early stages, with few agents changed, the bound that the interval has to stay under lies between these multiples of the harm.
const MIN_BOUND_RATIO: f64 = 2.0;
const MAX_BOUND_RATIO: f64 = 3.0;
/// The largest variance that retries are taken to have, as a part.
const MAX_RETRY_PART: f64 = 0.5;

/// What is concluded of a stage, with the reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It is sound.
    #[serde(rename = "go-on")]
    Proceed(String),
    /// It is worse.
    #[serde(rename = "worse")]
    Regressed(String),
    /// Not yet known, and what is missing.
    #[serde(rename = "not-yet")]
    Undecided(String),
    /// Something is wrong that need not be the change's: nothing is changed meanwhile.
    Hold(String),
}

/// By which bounds a stage is evaluated.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Thresholds {
    /// More unsuccessful requests than this part are worth stopping for.
    #[serde(rename = "harm")]
    pub max_harm: f64,
    /// The chance that a sound stage is found worse.
    pub alpha: f64,
    /// Figures before a stage can be found sound.
    #[serde(rename = "least")]
    pub min_figures: u64,
    /// Requests of the changed that make one figure: agents with few are pooled over time.
    #[serde(rename = "pooled")]
    pub requests_per_figure: u64,
    /// With a larger part of agents missing nothing is concluded.
    #[serde(rename = "guard")]
    pub max_missing: f64,
}

impl Default for Thresholds {
    fn default() -> Thresholds {
        Thresholds {
            max_harm: 0.005,
            alpha: 0.00125,
            min_figures: 20,
            requests_per_figure: 60,
            max_missing: 0.15,
        }
    }
}

/// The evidence of one stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evaluator {
    #[serde(rename = "bar")]
    thresholds: Thresholds,
    /// Of each class before the stage: the buckets of the 90th and the 99th percentile.
    marks: BTreeMap<String, (usize, usize)>,
    /// The unsuccessful part of all before the stage.
    before: Option<f64>,
    #[serde(rename = "runs")]
    comparisons: Vec<(Slice, Measure, ConfidenceSequence)>,
    /// The unsuccessful part of the unchanged lately, smoothed.
    #[serde(rename = "others")]
    background: Option<f64>,
    pool: Pool,
    #[serde(rename = "at_once")]
    violation: Option<String>,
    #[serde(rename = "unheard")]
    missing: f64,
}

/// Counts that are gathered for the next figure.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Pool {
    changed: StratumRows,
    unchanged: StratumRows,
}

/// A weighted mean of differences over strata, as it grows.
#[derive(Default)]
struct StratifiedDifference {
    weighted: f64,
    weights: f64,
    variance: f64,
}

impl StratifiedDifference {
    /// Adds a stratum by Mantel and Haenszel's weight.
    fn add(&mut self, measure: Measure, changed: &Counts, unchanged: &Counts, marks: LatencyMarks) {
        let (changed_count, unchanged_count) = (changed.all as f64, unchanged.all as f64);
        let both = changed_count + unchanged_count;
        let (changed_value, unchanged_value) =
            (measure.value(changed, marks), measure.value(unchanged, marks));
        let weight = changed_count * unchanged_count / both;
        self.weighted += weight * (changed_value - unchanged_value);
        self.weights += weight;
        // What chance alone gives the difference, if both groups are alike: of both together, never quite zero.
        let mean = (changed_value * changed_count + unchanged_value * unchanged_count) / both;
        let part = match measure {
            Measure::Attempts => (mean - 1.0).clamp(0.0, MAX_RETRY_PART),
            _ => mean,
        };
        let part = (part * both + 0.5) / (both + 1.0);
        self.variance +=
            weight * weight * part * (1.0 - part) * (1.0 / changed_count + 1.0 / unchanged_count);
    }

    /// The mean difference and its variance; nothing without a stratum.
    fn figure(&self) -> Option<(f64, f64)> {
        (self.weights > 0.0)
            .then(|| (self.weighted / self.weights, self.variance / (self.weights * self.weights)))
    }
}

impl Evaluator {
    /// `before`: what all did before the stage, over long enough a time.
    pub fn new(thresholds: Thresholds, before: &GroupCounts) -> Evaluator {
        let mut classes: BTreeMap<&String, Counts> = BTreeMap::new();
        for (stratum, counts) in before {
            classes.entry(&stratum.class).or_default().add(counts);
        }
        let comparison = |slice: Slice| {
            Measure::ALL.map(|measure| (slice.clone(), measure, ConfidenceSequence::default()))
        };
        let comparisons = slices(before, &classes).into_iter().flat_map(comparison).collect();
        let total = total(before.values());
        Evaluator {
            thresholds,
            marks: classes
                .into_iter()
                .map(|(class, counts)| (class.clone(), (counts.quantile(0.9), counts.quantile(0.99))))
                .collect(),
            before: (total.all > 0).then(|| unsuccessful_part(&total)),
            comparisons,
            background: None,
            pool: Pool::default(),
            violation: None,
            missing: 0.0,
        }
    }

    /// Takes in one more span of time.
    pub fn on_window(&mut self, window: &Window) {
        if let Some(violation) = &window.violation {
            self.violation.get_or_insert_with(|| violation.clone());
        }
        self.missing = window.missing;
        // Of a fleet that is seen in part nothing is concluded: a cut is no group's doing.
        if window.missing > self.thresholds.max_missing {
            return;
        }
        self.observe_background(&window.unchanged);
        self.pool.changed.add(&window.changed);
        self.pool.unchanged.add(&window.unchanged);
        if self.pool.changed.requests() >= self.thresholds.requests_per_figure {
            let pool = std::mem::take(&mut self.pool);
            self.add_figures(&pool.changed.by_stratum(), &pool.unchanged.by_stratum());
        }
    }

    fn observe_background(&mut self, unchanged: &GroupCounts) {
        let total = total(unchanged.values());
        if total.all == 0 {
            return;
        }
        let now = unsuccessful_part(&total);
        self.background =
            Some(self.background.map_or(now, |smoothed| smoothed + BACKGROUND_SMOOTHING * (now - smoothed)));
    }

    /// One figure for each slice and measure: the difference, stratified, so that a shift of traffic between zones or classes is none.
    fn add_figures(&mut self, changed: &GroupCounts, unchanged: &GroupCounts) {
        for (slice, measure, sequence) in &mut self.comparisons {
            let mut difference = StratifiedDifference::default();
            for (stratum, counts) in changed.iter().filter(|(stratum, _)| slice.contains(stratum)) {
                let Some(others) = unchanged.get(stratum).filter(|others| others.all > 0 && counts.all > 0)
                else {
                    continue;
                };
                let (p90, p99) = self.marks.get(&stratum.class).copied().unwrap_or_default();
                difference.add(*measure, counts, others, LatencyMarks { p90, p99 });
            }
            if let Some((mean, variance)) = difference.figure() {
                sequence.add(mean, variance);
            }
        }
    }

    /// Half of the chance to err goes to unsuccessful requests of the whole fleet, the other half to all else together.
    fn alpha(&self, slice: &Slice, measure: Measure) -> f64 {
        match (slice, measure) {
            (Slice::All, Measure::Unsuccessful) => self.thresholds.alpha / 2.0,
            _ => self.thresholds.alpha / 2.0 / (self.comparisons.len() - 1).max(1) as f64,
        }
    }

    /// `part`: of all agents, those that have changed by the end of this stage. `timed_out`: as long as the plan waits at most.
    pub fn verdict(&self, part: f64, timed_out: bool) -> Verdict {
        if let Some(violation) = &self.violation {
            return Verdict::Regressed(violation.clone());
        }
        if self.missing > self.thresholds.max_missing {
            return Verdict::Hold(format!("{:.0} in 100 agents are not heard", self.missing * 100.0));
        }
        if let Some(reason) = self.regression() {
            return Verdict::Regressed(reason);
        }
        if let Some(reason) = self.background_trouble() {
            return Verdict::Hold(reason);
        }
        self.soundness(part, timed_out)
    }

    /// The first comparison by which the changed are worse.
    fn regression(&self) -> Option<String> {
        self.comparisons.iter().find_map(|(slice, measure, sequence)| {
            let (low, _) = sequence.interval(self.alpha(slice, *measure), BEST_FIGURES);
            let is_worse = sequence.count >= MIN_FIGURES_TO_REGRESS
                && low > 0.0
                && sequence.mean() > measure.harm(self.thresholds.max_harm);
            is_worse.then(|| {
                format!(
                    "{}: {:+.4} {} against the unchanged at the same time, at least {low:+.4}, of {} figures",
                    slice.description(),
                    sequence.mean(),
                    measure.description(),
                    sequence.count
                )
            })
        })
    }

    /// Why the unchanged are in trouble too, if they are.
    fn background_trouble(&self) -> Option<String> {
        let (before, now) = (self.before?, self.background?);
        (now > before + MAX_BACKGROUND_RISE).then(|| {
            format!(
                "the unchanged have {now:.3} bad ones, {before:.3} before the stage: whoever's doing that is, nobody is changed meanwhile"
            )
        })
    }

    /// Whether the stage is sound by now.
    fn soundness(&self, part: f64, timed_out: bool) -> Verdict {
        let overall = self
            .comparisons
            .iter()
            .find(|(slice, measure, _)| *slice == Slice::All && *measure == Measure::Unsuccessful);
        let Some((_, _, overall)) = overall else {
            return Verdict::Undecided("nothing was heard".into());
        };
        let (low, high) = overall.interval(self.thresholds.alpha / 2.0, BEST_FIGURES);
        let harm = self.thresholds.max_harm;
        // Early stages expose few agents, and have few requests to tell by.
        let bound = (harm / part.max(1e-9)).clamp(MIN_BOUND_RATIO * harm, MAX_BOUND_RATIO * harm);
        let figures = overall.count;
        if figures >= self.thresholds.min_figures && high < bound {
            let mean = overall.mean();
            return Verdict::Proceed(format!(
                "{mean:+.4} bad ones, {low:+.4} to {high:+.4}, of {figures} figures"
            ));
        }
        if timed_out {
            return Verdict::Hold(format!(
                "too little to tell by: {figures} figures, {low:+.4} to {high:+.4}"
            ));
        }
        Verdict::Undecided(format!(
            "{figures} figures of {} at the least; at most {high:+.4}, {bound:.4} is wanted",
            self.thresholds.min_figures
        ))
    }
}

/// The whole, and the largest classes and zones. A fleet of one class or zone is looked at as a whole already.
fn slices(before: &GroupCounts, classes: &BTreeMap<&String, Counts>) -> Vec<Slice> {
    let mut zones: BTreeMap<&String, u64> = BTreeMap::new();
    for (Stratum { zone, .. }, counts) in before {
        *zones.entry(zone).or_default() += counts.all;
    }
    let mut sized: Vec<(u64, Slice)> = Vec::new();
    if classes.len() > 1 {
        sized.extend(classes.iter().map(|(class, counts)| (counts.all, Slice::Class((*class).clone()))));
    }
    if zones.len() > 1 {
        sized.extend(zones.iter().map(|(zone, requests)| (*requests, Slice::Zone((*zone).clone()))));
    }
    sized.sort_by(|a, b| (b.0, &a.1).cmp(&(a.0, &b.1)));
    sized.truncate(MAX_SLICES);
    std::iter::once(Slice::All).chain(sized.into_iter().map(|(_, slice)| slice)).collect()
}
