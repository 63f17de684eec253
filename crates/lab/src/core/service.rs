//! Service over time: value answered within its SLA time over value asked for, by when it was due, and how
//! soon it is what it was before a fault.
use hdrhistogram::Histogram;

use super::crowd::{Order, Scheme};
use super::kit::*;
use super::ledger::Final;

const BUCKET: Micros = Micros::ms(250);
/// Recovery is judged over this span, and has to hold for it.
const JUDGED: usize = 8;
/// Within this of what it was before.
const NEAR: f64 = 0.02;

#[derive(Clone, Debug)]
pub struct Service {
    asked: Vec<f64>,
    earned: Vec<f64>,
    by_tenant: Vec<(f64, f64)>,
    by_scheme: Vec<(f64, f64)>,
    /// From when an order was due to the end of its last try, in microseconds, by scheme; served ones only.
    pub latency: Vec<Histogram<u64>>,
    pub tries: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Recovery {
    /// This long after the end of the fault.
    After(Micros),
    /// Load was held for this long after the end, and service stayed below.
    NotWithin(Micros),
    /// Too little was left of the run, or another fault began first.
    Unknown,
}

impl Service {
    pub fn new(schemes: usize, tenants: usize, span: Micros) -> Service {
        let many = (span.0 / BUCKET.0 + 1) as usize;
        let latency = || Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("sound bounds");
        Service {
            asked: vec![0.0; many],
            earned: vec![0.0; many],
            by_tenant: vec![(0.0, 0.0); tenants],
            by_scheme: vec![(0.0, 0.0); schemes],
            latency: (0..schemes).map(|_| latency()).collect(),
            tries: 0,
        }
    }

    /// An order came to its end, after `took` from when it was due.
    pub fn ended(&mut self, order: &Order, scheme: &Scheme, answer: Option<Final>, took: Micros, tries: u32) {
        let served = answer == Some(Final::Settled);
        let earned = match served {
            true if took <= scheme.sla => scheme.value,
            true => scheme.value * scheme.overdue,
            false => 0.0,
        };
        let at = ((order.due.0 / BUCKET.0).max(0) as usize).min(self.asked.len() - 1);
        self.asked[at] += scheme.value;
        self.earned[at] += earned;
        for sum in [&mut self.by_tenant[order.tenant], &mut self.by_scheme[order.scheme.0]] {
            *sum = (sum.0 + scheme.value, sum.1 + earned);
        }
        if served {
            self.latency[order.scheme.0].saturating_record(took.0.max(1) as u64);
        }
        self.tries += tries as usize;
    }

    fn part(&self, from: usize, until: usize) -> Option<f64> {
        let until = until.min(self.asked.len());
        let asked: f64 = self.asked.get(from..until)?.iter().sum();
        (asked > 0.0).then(|| self.earned[from..until].iter().sum::<f64>() / asked)
    }
    /// Over the whole run. Of nothing asked all was served.
    pub fn whole(&self) -> f64 {
        self.part(0, self.asked.len()).unwrap_or(1.0)
    }
    pub fn between(&self, from: Micros, until: Micros) -> Option<f64> {
        self.part((from.0 / BUCKET.0) as usize, (until.0 / BUCKET.0) as usize)
    }
    /// The worst stretch of this length.
    pub fn worst(&self, span: Micros) -> f64 {
        let many = (span.0 / BUCKET.0) as usize;
        let starts = 0..self.asked.len().saturating_sub(many).max(1);
        starts.filter_map(|at| self.part(at, at + many)).fold(1.0, f64::min)
    }
    pub fn worst_scheme(&self) -> f64 {
        worst(&self.by_scheme)
    }
    pub fn worst_tenant(&self) -> f64 {
        worst(&self.by_tenant)
    }
    /// Second by second: time in seconds, and service where something was due.
    pub fn curve(&self) -> Vec<(f64, Option<f64>)> {
        let step = (1_000_000 / BUCKET.0) as usize;
        let second = |at: usize| (at as f64 / step as f64 + 0.5, self.part(at, at + step));
        (0..self.asked.len()).step_by(step).map(second).collect()
    }

    /// How soon after `end` service was what it was between `from` and `begin`, and stayed so; `until` is the
    /// next fault or the end of the run.
    pub fn recovery(&self, from: Micros, begin: Micros, end: Micros, until: Micros) -> Recovery {
        let Some(before) = self.between(from, begin) else { return Recovery::Unknown };
        let (first, last) = (end.0 / BUCKET.0, until.0 / BUCKET.0);
        let mut held = None;
        for at in (first as usize)..=(last as usize).saturating_sub(JUDGED) {
            let back = self.part(at, at + JUDGED).is_none_or(|now| now >= before - NEAR);
            held = if back { held.or(Some(at)) } else { None };
            if held.is_some_and(|since| at - since >= JUDGED) {
                let since = held.unwrap_or(at) as i64 * BUCKET.0;
                return Recovery::After(Micros((since - end.0).max(0)));
            }
        }
        match held {
            Some(since) if since as i64 * BUCKET.0 > end.0 => Recovery::Unknown,
            _ if until - end < BUCKET.times(3.0 * JUDGED as f64) => Recovery::Unknown,
            _ => Recovery::NotWithin(until - end),
        }
    }
}

fn worst(sums: &[(f64, f64)]) -> f64 {
    sums.iter().filter(|s| s.0 > 0.0).map(|s| s.1 / s.0).fold(1.0, f64::min)
}
