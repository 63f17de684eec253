//! What a balancer has learned, for its successor: a newer process of the same host. Statistics alone; requests in
//! flight stay with the predecessor. It only replaces the values that a new balancer starts with.
use crate::balancer::Balancer;
use crate::histogram::Histogram;
use crate::units::{BackendId, ListEntry, Micros};

/// Statistics of one balancer. Times are Unix time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Whether the predecessor served a fleet of this shape: as many balancers, sizes of the same form, the same
    /// classes. Else what depends on it starts anew: windows, pressure, load and backends' throughput.
    pub same_shape: bool,
    /// After this an idle connection is not trusted; 0: not known.
    pub idle_trust: Micros,
    /// Attempts in flight at most.
    pub window: f64,
    /// Attempts by which the window was lately under- or (below 0) overused.
    pub saved: f64,
    /// Squares of response time over latency target, smoothed.
    pub pressure: f64,
    /// The same of the fastest quarter.
    pub base_pressure: f64,
    /// Part of attempts that fail at healthy backends.
    pub failure_rate: f64,
    /// Requests in flight that backends report, over size.
    pub in_flight_per_size: f64,
    /// Mean utilisation that backends report, 0 to 1.
    pub utilisation: f64,
    /// Whether the window grows fast: there was no pressure so far.
    pub fast_start: bool,
    /// Response times of successful attempts, by class.
    pub latencies: Vec<Histogram>,
    /// What is known of each backend.
    pub backends: Vec<(BackendId, LearnedBackend)>,
}

/// What is known of one backend since its last start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedBackend {
    /// When its process started.
    pub started: Micros,
    /// Its response times over the mean of all.
    pub relative_latency: f64,
    /// 0: healthy, 1: nothing works.
    pub failure_score: f64,
    /// Its nominal size under `Policy::weights_follow_load`; 0: not known.
    pub size: f64,
    /// Successes within two warm-up windows.
    pub throughput: f64,
    /// When attempts were sent while it warmed up: both processes share one budget.
    pub sent_while_warming: Vec<Micros>,
}

impl Balancer {
    /// How many backends are listed as ready and not ejected.
    pub fn healthy_backends(&self) -> usize {
        self.listed_backends()
            .filter(|backend| backend.leaving_since.is_none() && !backend.is_ejected(self.now))
            .count()
    }

    /// What this balancer has learned.
    pub fn learned_state(&self) -> LearnedState {
        let stats = &self.stats;
        let known = self.backends.iter().flatten().filter(|backend| !backend.removed).map(|backend| {
            let sent_while_warming = backend.sent_while_warming.clone();
            let size = if self.policy.weights_follow_load { backend.entry.size } else { 0.0 };
            let (started, relative_latency, failure_score, throughput) =
                (backend.entry.started, backend.relative_latency, backend.failure_score, backend.throughput);
            let known = LearnedBackend {
                started,
                relative_latency,
                failure_score,
                size,
                throughput,
                sent_while_warming,
            };
            (backend.entry.backend, known)
        });
        LearnedState {
            same_shape: true,
            idle_trust: self.idle_trust.trusted_idle,
            window: stats.window.size,
            saved: stats.window.credit,
            pressure: stats.pressure,
            base_pressure: stats.base_pressure,
            failure_rate: stats.failure_rate,
            in_flight_per_size: stats.in_flight_per_size,
            utilisation: stats.utilisation,
            fast_start: stats.fast_start,
            latencies: self.latencies.clone(),
            backends: known.collect(),
        }
    }

    /// Takes over what a predecessor has learned; to be called before the first request. What it knew of a backend
    /// that has restarted since does not count.
    pub fn adopt(&mut self, learned: LearnedState) {
        let stats = &mut self.stats;
        stats.failure_rate = learned.failure_rate;
        if learned.same_shape {
            stats.window.size = learned.window.max(stats.window.size);
            stats.in_quota_window.size = stats.window.size;
            (stats.window.credit, stats.pressure, stats.base_pressure) =
                (learned.saved, learned.pressure, learned.base_pressure);
            (stats.in_flight_per_size, stats.utilisation, stats.fast_start) =
                (learned.in_flight_per_size, learned.utilisation, learned.fast_start);
        }
        if learned.idle_trust > Micros(0) {
            self.idle_trust.trusted_idle = self.idle_trust.trusted_idle.min(learned.idle_trust);
        }
        for (latencies, predecessor) in self.latencies.iter_mut().zip(learned.latencies) {
            *latencies = predecessor;
        }
        for (id, known) in learned.backends {
            let Some(backend) = self.backends.get_mut(id.0 as usize).and_then(Option::as_mut) else {
                continue;
            };
            if self.policy.weights_follow_load && known.size > 0.0 {
                // The nominal size belongs to the machine type, whatever process runs there.
                self.sizes.observe(&ListEntry { size: known.size, ..backend.entry.clone() });
            }
            if backend.entry.started == known.started {
                (backend.relative_latency, backend.failure_score) =
                    (known.relative_latency, known.failure_score);
                backend.throughput = if learned.same_shape { known.throughput } else { backend.throughput };
                backend.sent_while_warming.extend(known.sent_while_warming);
            }
        }
        for backend in self.backends.iter_mut().flatten().filter(|_| self.policy.weights_follow_load) {
            let listed = backend.entry.size / (1.0 + backend.load_per_core);
            (backend.entry.size, backend.load_per_core) =
                self.sizes.observe(&ListEntry { size: listed, ..backend.entry.clone() });
        }
    }
}
