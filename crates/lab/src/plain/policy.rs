//! Which backend a plain agent takes. No I/O; time and chance are handed in.
use std::collections::BTreeMap;

use crate::core::kit::Micros;
use oorandom::Rand64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Random,
    RoundRobin,
    LeastOut,
    /// The better of two drawn, by smoothed response time times postings out.
    PeakEwma,
    /// Breaks the rules: sends all again, on drains too. To try the auditor with; never a baseline.
    Careless,
}

impl Policy {
    pub const NAMES: [&str; 4] = ["random", "round-robin", "least-out", "peak-ewma"];
    pub const ALL: [Policy; 4] = [Policy::Random, Policy::RoundRobin, Policy::LeastOut, Policy::PeakEwma];

    pub fn named(name: &str) -> Option<Policy> {
        if name == "careless" {
            return Some(Policy::Careless);
        }
        Policy::NAMES.iter().position(|n| *n == name).map(|at| Policy::ALL[at])
    }
    pub fn name(self) -> &'static str {
        Policy::NAMES.get(self as usize).copied().unwrap_or("careless")
    }
}

/// A peak fades by half in about this.
const FADE: f64 = 10_000_000.0;

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    out: usize,
    peak: f64,
    at: Micros,
}

pub struct Chooser {
    policy: Policy,
    chance: Rand64,
    known: BTreeMap<String, Known>,
    turn: usize,
}

impl Chooser {
    pub fn new(policy: Policy, seed: u64) -> Chooser {
        Chooser { policy, chance: Rand64::new(u128::from(seed)), known: BTreeMap::new(), turn: 0 }
    }

    fn cost(&self, name: &str, now: Micros) -> f64 {
        let known = self.known.get(name).copied().unwrap_or_default();
        let faded = known.peak * (-(now - known.at).0 as f64 / FADE).exp();
        (faded + 1.0) * (known.out + 1) as f64
    }
    fn out(&self, name: &str) -> usize {
        self.known.get(name).map_or(0, |k| k.out)
    }
    fn any(&mut self, many: usize) -> usize {
        ((self.chance.rand_float() * many as f64) as usize).min(many - 1)
    }

    /// One of these, by name. None of none.
    pub fn choose<'a>(&mut self, open: &[&'a str], now: Micros) -> Option<&'a str> {
        if open.is_empty() {
            return None;
        }
        let at = match self.policy {
            Policy::Random | Policy::Careless => self.any(open.len()),
            Policy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                self.turn % open.len()
            }
            Policy::LeastOut => {
                let least = open.iter().map(|name| self.out(name)).min().unwrap_or(0);
                let even: Vec<usize> = (0..open.len()).filter(|&n| self.out(open[n]) == least).collect();
                even[self.any(even.len())]
            }
            Policy::PeakEwma => {
                let (a, b) = (self.any(open.len()), self.any(open.len()));
                if self.cost(open[a], now) <= self.cost(open[b], now) { a } else { b }
            }
        };
        Some(open[at])
    }

    pub fn sent(&mut self, name: &str) {
        self.known.entry(name.to_owned()).or_default().out += 1;
    }
    /// A posting ended, after `took`; one that failed counts as slow.
    pub fn back(&mut self, name: &str, now: Micros, took: Micros, served: bool) {
        let known = self.known.entry(name.to_owned()).or_default();
        known.out = known.out.saturating_sub(1);
        let took = if served { took.0 as f64 } else { took.0.max(1_000_000) as f64 };
        let span = (now - known.at).0 as f64;
        let keep = (-span / FADE).exp();
        known.peak = if took > known.peak { took } else { known.peak * keep + took * (1.0 - keep) };
        known.at = now;
    }
    /// Only these are still on the list.
    pub fn only(&mut self, here: impl Fn(&str) -> bool) {
        self.known.retain(|name, known| known.out > 0 || here(name));
    }
}
