//! What clients and backends saw, and what was promised.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Unsafe,
    Keyed(String),
}

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Got {
    pub status: u32,
    pub id: String,
    pub seal: String,
    /// Bytes of the body that came, as a connection that did not break off shows them.
    pub bytes: u64,
    /// When it came.
    pub at: Micros,
}

#[derive(Clone, Debug)]
pub struct Client {
    pub kind: Kind,
    pub sent: Micros,
    pub until: Micros,
    pub proxy: usize,
    /// The life of the proxy that took it.
    pub boot_id: u64,
    pub got: Option<Got>,
    /// It left, or the connection broke.
    pub gone: bool,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub at: Micros,
    pub seal: String,
    pub bytes: u64,
    /// The backend ended it with a failure of its own.
    pub failed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Twice,
    Mixed,
    Refused,
    Unasked,
    Attempts,
    /// A key is said to be at work, and is not.
    AtWork,
    /// It hangs, or something is left of it.
    Left,
}

/// An operation at a backend, as the proxy beside it knows.
struct WorkOnKey {
    key: String,
    begun_at: Micros,
    ended_at: Option<Micros>,
}

#[derive(Default)]
pub struct Judge {
    pub clients: BTreeMap<String, Client>,
    pub runs: Vec<Run>,
    /// Requests that came whole to a backend, turned away or not.
    pub arrivals: BTreeMap<String, u32>,
    /// Operations that proxies have handed to their backends.
    work_on_keys: Vec<WorkOnKey>,
    pub violations: Vec<(Rule, String)>,
}

/// A backend's own word that it has not run, and a proxy's.
const PROMISES: [u32; 4] = [408, 421, 429, 503];
const CONFLICT: u32 = 409;

impl Judge {
    /// All that can be said at the end. `window`: of a key.
    pub fn judge(&mut self, window: Micros, most: u32) {
        let mut violations = Vec::new();
        let mut runs = BTreeMap::<&str, Vec<&Run>>::new();
        let mut seals = BTreeMap::<&str, &Run>::new();
        for run in &self.runs {
            runs.entry(&run.attempt).or_default().push(run);
            seals.insert(&run.seal, run);
            if !self.clients.contains_key(&run.attempt) {
                violations.push((Rule::Unasked, format!("{} runs and was never sent", run.attempt)));
            }
        }
        let mut keys = BTreeMap::<&str, Vec<(&Run, Micros)>>::new();
        for (attempt, client) in &self.clients {
            let all = runs.get(attempt.as_str()).map_or(&[][..], Vec::as_slice);
            if client.kind != Kind::Safe && all.len() > 1 {
                let at: Vec<i64> = all.iter().map(|r| r.at.0 / 1_000).collect();
                violations.push((Rule::Twice, format!("{attempt} runs at {at:?} ms")));
            }
            if let Kind::Keyed(key) = &client.kind {
                keys.entry(key).or_default().extend(all.iter().map(|r| (*r, client.sent)));
            }
            if let Some(got) = &client.got {
                violations.extend(self.answer(attempt, client, got, all, &seals));
                violations.extend(self.conflict(attempt, client, got));
            }
        }
        for (key, all) in keys {
            for (at, (run, sent)) in all.iter().enumerate() {
                for (other, sent_other) in &all[at + 1..] {
                    if run.attempt != other.attempt && (sent.0 - sent_other.0).abs() < window.0 {
                        let (a, b) = (run.at.0 / 1_000, other.at.0 / 1_000);
                        violations.push((Rule::Twice, format!("{key} runs at {a} and {b} ms")));
                    }
                }
            }
        }
        let over = self.arrivals.iter().filter(|(_, n)| **n > most);
        violations.extend(over.map(|(a, n)| (Rule::Attempts, format!("{a} arrives {n} times"))));
        self.violations.extend(violations);
    }

    /// A proxy hands an operation to the backend.
    pub fn on_begun(&mut self, key: &str, now: Micros) {
        self.work_on_keys.push(WorkOnKey { key: key.to_string(), begun_at: now, ended_at: None });
    }

    /// It is known what came of an operation.
    pub fn on_ended(&mut self, key: &str, now: Micros) {
        let is_open = |work: &&mut WorkOnKey| work.key == key && work.ended_at.is_none();
        if let Some(work) = self.work_on_keys.iter_mut().rev().find(is_open) {
            work.ended_at = Some(now);
        }
    }

    /// A 409 says that the key is at work: it was at some moment since the request was sent.
    fn conflict(&self, attempt: &str, client: &Client, got: &Got) -> Option<(Rule, String)> {
        let Kind::Keyed(key) = &client.kind else { return None };
        let is_at_work = self.work_on_keys.iter().any(|work| {
            let has_not_ended = work.ended_at.is_none_or(|ended_at| ended_at >= client.sent);
            work.key == *key && work.begun_at <= got.at && has_not_ended
        });
        let is_wrong = got.status == CONFLICT && !is_at_work;
        is_wrong.then(|| {
            (Rule::AtWork, format!("{attempt} gets 409 at {} ms, its key is not at work", got.at.0 / 1_000))
        })
    }

    fn answer(
        &self,
        attempt: &str,
        client: &Client,
        got: &Got,
        runs: &[&Run],
        seals: &BTreeMap<&str, &Run>,
    ) -> Vec<(Rule, String)> {
        let mut violations = Vec::new();
        if client.kind != Kind::Safe && PROMISES.contains(&got.status) && !runs.is_empty() {
            violations.push((Rule::Refused, format!("{attempt} gets {} and has run or will", got.status)));
        }
        if !got.id.is_empty() && got.id != attempt {
            violations.push((Rule::Mixed, format!("{attempt} gets an answer with id {}", got.id)));
        }
        if got.seal.is_empty() {
            if (200..300).contains(&got.status) {
                violations.push((Rule::Mixed, format!("{attempt} gets a success without a seal")));
            }
            return violations;
        }
        let Some(run) = seals.get(got.seal.as_str()) else {
            violations.push((Rule::Mixed, format!("{attempt} gets the seal {} of no run", got.seal)));
            return violations;
        };
        let same = match (&client.kind, self.clients.get(&run.attempt).map(|c| &c.kind)) {
            (Kind::Keyed(key), Some(Kind::Keyed(other))) => key == other,
            _ => run.attempt == attempt,
        };
        if !same {
            violations.push((Rule::Mixed, format!("{attempt} gets the answer to {}", run.attempt)));
        }
        if got.bytes != run.bytes {
            violations.push((Rule::Mixed, format!("{attempt} gets {} of {} bytes", got.bytes, run.bytes)));
        }
        if run.failed != (got.status >= 500) {
            violations
                .push((Rule::Mixed, format!("{attempt} gets {} where the backend did not", got.status)));
        }
        violations
    }

    /// Rules that were broken.
    pub fn broken(&self) -> BTreeSet<Rule> {
        self.violations.iter().map(|w| w.0).collect()
    }
}
