//! One arm of one run in figures, as it is kept in a file.
use serde::{Deserialize, Serialize};

use crate::core::kit::*;
use crate::core::service::Recovery;
use crate::core::timetable::{Fault, Who};
use crate::plan::Plan;
use crate::sockets::drive::Outcome;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sheet {
    pub experiment: String,
    pub title: String,
    pub arm: String,
    pub seed: u64,
    /// Equal where two runs were asked for the same.
    pub digest: u32,
    pub span_s: f64,
    pub orders: usize,
    pub service: f64,
    pub worst_10s: f64,
    pub worst_scheme: f64,
    pub worst_tenant: f64,
    pub latencies: Vec<Latency>,
    pub settled: usize,
    pub declined: usize,
    pub reversed: usize,
    pub unanswered: usize,
    pub books: Books,
    pub breaches: Vec<Broken>,
    pub recoveries: Vec<Recovered>,
    /// Time in seconds, memory in kB and descriptors of the largest agent.
    pub footprints: Vec<(f64, u64, u64)>,
    /// CPU seconds of all agents together, by the last quarter; of those that were not started anew.
    #[serde(default)]
    pub cpu_s: f64,
    pub by_backend: Vec<usize>,
    pub links: usize,
    /// The lab's own lateness: median, 99% and most, in milliseconds.
    pub late_ms: [f64; 3],
    pub void: Option<String>,
    /// What was asked for and did not hold, rules aside.
    pub missed: Vec<String>,
    pub curve: Vec<(f64, Option<f64>)>,
    #[serde(default)]
    pub counters: Vec<String>,
}

/// Of served orders, from when they were due, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Latency {
    pub scheme: String,
    pub sla_ms: f64,
    pub served: u64,
    /// 50, 90, 99, 99.9, 99.99 and 100 in a hundred.
    pub at: [f64; 6],
}

/// What the auditor counted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Books {
    pub txns: usize,
    pub postings: usize,
    pub settled: usize,
    pub declined: usize,
    pub reversed: usize,
    pub left: usize,
    pub orphaned: usize,
    pub held_back: usize,
    pub once_only_ran: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Broken {
    pub rule: String,
    pub what: String,
    pub times: usize,
    pub first_at_s: f64,
    /// The whole history of the first txn with which it was broken.
    pub history: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Recovered {
    pub fault: String,
    pub from_s: f64,
    pub until_s: f64,
    pub state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Seconds from the end of the fault.
    After(f64),
    /// With load held for so many seconds, it did not get there.
    Stuck(f64),
    Unknown,
}

fn s(at: Micros) -> f64 {
    at.0 as f64 / 1e6
}

/// A fault in a few words.
pub fn words(fault: &Fault, zones: &[String]) -> String {
    let ill = format!("{:?}", fault.ill).replace(['{', '}', '"'], "").to_lowercase();
    let ill = ill.split_whitespace().collect::<Vec<_>>().join(" ");
    match &fault.who {
        Who::All => format!("{ill}, all"),
        Who::Share(share) => format!("{ill}, {:.0}%", share * 100.0),
        Who::These(these) => format!("{ill}, {these:?}"),
        Who::Zone(zone) => format!("{ill}, zone {}", zones[zone.0]),
    }
}

impl Sheet {
    pub fn of(plan: &Plan, outcome: &Outcome) -> Sheet {
        let service = &outcome.service;
        let latency = |(n, scheme): (usize, &crate::core::crowd::Scheme)| {
            let taken = &service.latency[n];
            let at = |q: f64| taken.value_at_quantile(q) as f64 / 1000.0;
            Latency {
                scheme: scheme.name.clone(),
                sla_ms: scheme.sla.0 as f64 / 1000.0,
                served: taken.len(),
                at: [at(0.5), at(0.9), at(0.99), at(0.999), at(0.9999), taken.max() as f64 / 1000.0],
            }
        };
        let v = &outcome.verdict;
        let recovered = |&(nth, recovery): &(usize, Recovery)| {
            let fault = &plan.faults[nth];
            Recovered {
                fault: words(fault, &plan.zones),
                from_s: s(fault.from),
                until_s: s(fault.until),
                state: match recovery {
                    Recovery::After(at) => State::After(s(at)),
                    Recovery::NotWithin(at) => State::Stuck(s(at)),
                    Recovery::Unknown => State::Unknown,
                },
            }
        };
        let mut sheet = Sheet {
            experiment: plan.name.clone(),
            title: plan.title.clone(),
            arm: outcome.arm.clone(),
            seed: plan.seed,
            digest: outcome.digest,
            span_s: s(outcome.span),
            orders: outcome.orders,
            service: service.whole(),
            worst_10s: service.worst(Micros::ms(10_000)),
            worst_scheme: service.worst_scheme(),
            worst_tenant: service.worst_tenant(),
            latencies: plan.schemes.iter().enumerate().map(latency).collect(),
            settled: outcome.ends[0],
            declined: outcome.ends[1],
            reversed: outcome.ends[2],
            unanswered: outcome.ends[3],
            books: Books {
                txns: v.taken,
                postings: v.postings,
                settled: v.settled,
                declined: v.declined,
                reversed: v.reversed,
                left: v.left,
                orphaned: v.orphaned,
                held_back: v.held_back,
                once_only_ran: v.once_only_ran,
            },
            breaches: broken(outcome),
            recoveries: outcome.recoveries.iter().map(recovered).collect(),
            footprints: outcome.footprints.iter().map(|f| (s(f.at), f.memory_kb, f.descriptors)).collect(),
            cpu_s: outcome.footprints.last().map_or(0.0, |f| s(f.cpu)),
            by_backend: outcome.by_backend.clone(),
            links: outcome.links,
            late_ms: outcome.late_ms,
            void: outcome.void.clone(),
            missed: Vec::new(),
            curve: service.curve().into_iter().filter(|c| c.0 < s(outcome.span)).collect(),
            counters: outcome.agent_counters.clone(),
        };
        sheet.missed = missed(plan, &sheet);
        sheet
    }

    /// Whether all held that must, and the run counts.
    pub fn sound(&self) -> bool {
        self.breaches.is_empty() && self.missed.is_empty() && self.void.is_none()
    }
    pub fn postings_each(&self) -> f64 {
        self.books.postings as f64 / self.books.txns.max(1) as f64
    }
    pub fn declined_part(&self) -> f64 {
        self.books.declined as f64 / self.books.txns.max(1) as f64
    }
}

fn broken(outcome: &Outcome) -> Vec<Broken> {
    let mut all: Vec<Broken> = Vec::new();
    for breach in &outcome.verdict.breaches {
        if let Some(same) = all.iter_mut().find(|b| b.what == breach.what) {
            same.times += 1;
            continue;
        }
        let history = outcome.histories.iter().find(|h| Some(h.0) == breach.txn).map(|h| h.1.clone());
        all.push(Broken {
            rule: format!("{:?}", breach.rule),
            what: breach.what.to_owned(),
            times: 1,
            first_at_s: s(breach.at),
            history: history.unwrap_or_default(),
        });
    }
    all
}

fn missed(plan: &Plan, sheet: &Sheet) -> Vec<String> {
    let must = &plan.must;
    let mut missed = Vec::new();
    if let Some(least) = must.service.filter(|least| sheet.service < *least) {
        missed.push(format!("service {:.3} is below {least}", sheet.service));
    }
    if let Some(most) = must.held_back.filter(|most| sheet.books.held_back > *most) {
        missed.push(format!("{} answers were held back; {most} at the most", sheet.books.held_back));
    }
    if let Some(most) = must.declined.filter(|most| sheet.books.declined > *most) {
        missed.push(format!("{} txns were declined; {most} at the most", sheet.books.declined));
    }
    if let Some(within) = must.recover_s {
        for r in &sheet.recoveries {
            match r.state {
                State::After(at) if at <= within => {}
                State::Unknown => {}
                State::After(at) => {
                    missed.push(format!("`{}`: recovered after {at:.1} s, not {within} s", r.fault));
                }
                State::Stuck(held) => missed.push(format!("`{}`: not recovered in {held:.1} s", r.fault)),
            }
        }
    }
    missed
}
