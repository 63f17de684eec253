//! Selection of a backend: the subset that this balancer sends to, weights, and the weighted random pick.
use crate::{backend_state::*, balancer::Balancer, timers::MIN_SUBSET, units::*};

const MIN_IDLE: f64 = 0.1; // a reported utilisation leaves a backend at least this part of its size
const REPORT_FADE: Micros = Micros::ms(1_000); // a report this old counts half
const LATENCY_FADE: Micros = Micros::ms(4_000); // a relative latency this old counts half
const SLOW: f64 = 2.0; // a backend this many times slower than the others leaves the subset
const CROWDED_MARGIN: f64 = 2.0; // own attempts beyond twice the mean; under `Policy::backend_admission`

impl Balancer {
    /// How idle a backend is by its last report, and how far the report's age lets it be trusted, both 0 to 1:
    /// one minus its utilisation; requests in flight, where reported, count as much, against the mean of all.
    pub(crate) fn idle(&self, backend: &Backend) -> Option<(f64, f64)> {
        let (report, at) = backend.report?;
        let usual = self.stats.in_flight_per_size + 0.1;
        let by_held = report.in_flight.map(|n| usual / (usual + n / backend.entry.size.max(1e-9)));
        let idle = match (report.utilisation.map(|u| 1.0 - u), by_held) {
            (Some(left), Some(by_held)) => (left + by_held) / 2.0,
            (left, by_held) => left.or(by_held)?,
        };
        let age = (self.now - at).ratio_to(REPORT_FADE);
        Some((idle.max(MIN_IDLE), 1.0 / (1.0 + age * age)))
    }

    /// Weight of each backend: its size and idle part over its relative latency. A report that ages or is missing
    /// fades to the mean, so that a late one pins nothing. A warming backend has the mean weight at most.
    pub(crate) fn weights(&self, all: &[&Backend], class: ClassId) -> Vec<f64> {
        let idle: Vec<Option<(f64, f64)>> = all.iter().map(|backend| self.idle(backend)).collect();
        let known = idle.iter().flatten().count().max(1) as f64;
        let mean = idle.iter().flatten().map(|x| x.0).sum::<f64>() / known;
        let (expected, usual) =
            (self.latencies[class.0].mean().unwrap_or(f64::MAX), self.stats.load_per_core + 0.5);
        // At equal response times a fast backend holds a longer queue, and a fleet of few backends overloads it.
        // Where the goal counts answers in time, what a slow one delays costs more.
        let (least, power) = match (self.policy.in_time_weight > 0.0, self.stats.has_few_backends) {
            (true, _) => (0.6, 4),
            (false, true) => (1.0, 2),
            (false, false) => (0.6, 2),
        };
        let weigh = |(backend, idle): (&&Backend, &Option<(f64, f64)>)| {
            let left =
                idle.map_or(mean, |(idle, idle_trust)| mean + (idle - mean) * idle_trust).max(MIN_IDLE);
            let waiting =
                backend.outstanding.iter().map(|attempt| (self.now - attempt.1).0).max().unwrap_or(0) as f64
                    / expected;
            let faded = 1.0
                + (backend.relative_latency - 1.0)
                    / (1.0 + (self.now - backend.latency_at).ratio_to(LATENCY_FADE));
            let near =
                if backend.entry.zone == self.policy.zone { 1.0 } else { self.remote_zone_weights(class) };
            let relative_latency = faded.max(waiting / 3.0).clamp(least, 20.0);
            // Sizes that follow load show every balancer alike which backend has more than the rest.
            let free = usual / (usual + backend.load_per_core);
            backend.entry.size
                * left
                * near
                * free
                * ((1.0 - backend.failure_score) / relative_latency).powi(power)
        };
        let weights: Vec<f64> = all.iter().zip(&idle).map(weigh).collect();
        let mean = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
        let warm = |backend: &Backend| backend.warm_fraction(&self.policy, self.now) >= 1.0;
        let capped = |(w, backend): (&f64, &&Backend)| if warm(backend) { *w } else { w.min(mean) };
        weights.iter().zip(all).map(capped).collect()
    }

    /// Subsetting: a balancer sends to few backends, and adds one, picked by weight, whenever all have an attempt
    /// of ours or are ejected. One that drains, goes or is far slower leaves: few are known sooner.
    pub(crate) fn grow_subset(&mut self, request: RequestId) {
        let Some((class, last_backend)) =
            self.requests.get(&request).map(|state| (state.class, state.last_backend))
        else {
            return;
        };
        let stays = |backend: &Backend| {
            !backend.removed
                && (backend.leaving_since.is_none()
                    || backend.frozen_since.is_some()
                    || backend.takes_part_until > self.now)
        };
        let mut subset = std::mem::take(&mut self.subset);
        let keeps = |backend: &Backend| {
            stays(backend) && (self.policy.subset_size.is_some() || backend.relative_latency < SLOW)
        };
        subset.retain(|&id| self.backend(id).is_some_and(keeps));
        let free = |id: &BackendId| {
            let free = self
                .backend(*id)
                .is_some_and(|backend| backend.outstanding.is_empty() && !backend.is_ejected(self.now));
            free && Some(*id) != last_backend && self.may_send(request, *id)
        };
        let mut found = None;
        if subset.len() < self.policy.subset_size.unwrap_or(MIN_SUBSET) || !subset.iter().any(free) {
            let roll = self.rng.rand_float();
            let open = |backend: &&Backend| {
                let id = backend.entry.backend;
                stays(backend) && !subset.contains(&id) && self.may_send(request, id)
            };
            let mut others: Vec<&Backend> = self.listed_backends().filter(open).collect();
            prefer(&mut others, |backend| !backend.is_ejected(self.now));
            let weights = self.weights(&others, class);
            found = draw(&weights, roll).map(|at| others[at].entry.backend);
        }
        subset.extend(found);
        self.subset = subset;
        let now = self.now;
        // It starts with a clean latency, or it would leave at once.
        if let Some(backend) = found.and_then(|id| self.at(id)) {
            (backend.last_sent, backend.relative_latency) = (now, backend.relative_latency.min(1.0));
        }
    }

    /// A backend has warmed up: it replaces one of the subset, with a probability by its size, so that it is in as
    /// many balancers' subsets as it should.
    pub(crate) fn admit_to_subset(&mut self, id: BackendId) {
        let total_size: f64 = self
            .listed_backends()
            .filter(|backend| backend.leaving_since.is_none())
            .map(|backend| backend.entry.size)
            .sum();
        let Some(backend) = self
            .backend(id)
            .filter(|backend| backend.leaving_since.is_none() && !backend.is_ejected(self.now))
        else {
            return;
        };
        let part = backend.entry.size / total_size.max(1e-9) * self.subset.len() as f64;
        if !self.subset.contains(&id) && self.rng.rand_float() < part {
            let at = (self.rng.rand_float() * self.subset.len() as f64) as usize;
            self.subset[at] = id;
            let now = self.now;
            self.at(id).into_iter().for_each(|backend| backend.last_sent = now);
        }
    }

    /// Picks by weight among those of the subset that the rules allow; among all backends where none is.
    pub(crate) fn pick(&mut self, request: RequestId) -> Option<BackendId> {
        self.grow_subset(request);
        let state = self.requests.get(&request)?;
        let mut open: Vec<&Backend> = self.subset.iter().filter_map(|&id| self.backend(id)).collect();
        open.retain(|backend| self.may_send(request, backend.entry.backend));
        // A warming backend whose random share fell to this balancer: unused here, it would be idle.
        let warming = |backend: &Backend| {
            backend.warm_fraction(&self.policy, self.now) < 1.0 && self.warmup_share(backend) < 1.0
        };
        let mine = |backend: &&Backend| {
            backend.leaving_since.is_none() && !backend.is_ejected(self.now) && warming(backend)
        };
        let lots = self
            .listed_backends()
            .filter(|backend| !self.subset.contains(&backend.entry.backend))
            .filter(mine);
        open.extend(lots.filter(|backend| self.may_send(request, backend.entry.backend)));
        if open.is_empty() {
            open = self
                .listed_backends()
                .filter(|backend| self.may_send(request, backend.entry.backend))
                .collect();
        }
        // Prefer another backend than the last, and one that does not leave.
        prefer(&mut open, |backend| Some(backend.entry.backend) != state.last_backend);
        prefer(&mut open, |backend| {
            backend.entry.status != EndpointStatus::Draining || backend.takes_part_until > self.now
        });
        if self.stats.ejection_enabled {
            prefer(&mut open, |backend| !backend.is_ejected(self.now));
        }
        let mut weights = self.weights(&open, state.class);
        let mean = open.iter().map(|backend| backend.outstanding.len() as f64).sum::<f64>()
            / open.len().max(1) as f64;
        // Where backends' proxies report load, few of ours say little: only one well above the mean is skipped.
        let mean = if self.policy.backend_admission { 2.0 * mean + CROWDED_MARGIN } else { mean };
        let found: Vec<(BackendId, bool, f64)> = open
            .iter()
            .map(|backend| {
                (
                    backend.entry.backend,
                    backend.outstanding.len() as f64 > mean,
                    backend.warm_fraction(&self.policy, self.now),
                )
            })
            .collect();
        let mut fallback = None;
        while let Some(at) = draw(&weights, self.rng.rand_float()) {
            // Skipped: one with more of ours than the mean, and at random one that warms up.
            let (id, crowded, warm_fraction) = found[at];
            if !crowded && self.rng.rand_float() < warm_fraction {
                return Some(id);
            }
            fallback = fallback.or(Some(id));
            weights[at] = 0.0;
        }
        fallback
    }
}
