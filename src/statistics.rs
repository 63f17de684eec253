//! Statistics of a balancer, computed at each tick and where the list changes. No decisions here.
use crate::{backend_state::*, balancer::Balancer, concurrency_limit::IN_QUOTA_FACTOR};

impl Balancer {
    /// Attempts in flight that count against the window: not those that are stuck, long past their latency target or
    /// at an ejected backend.
    pub(crate) fn in_flight(&self) -> f64 {
        let now = self.now;
        let counts = |state: &&RequestState| {
            let recent = |attempt: &Attempt| {
                now - attempt.sent < self.policy.classes[state.class.0].latency_target.times(1.5)
            };
            let is_ejected =
                |attempt: &Attempt| self.backend(attempt.to).is_some_and(|backend| backend.is_ejected(now));
            state.outstanding.is_some_and(|attempt| {
                recent(&attempt) && !(self.stats.ejection_enabled && is_ejected(&attempt))
            })
        };
        self.requests.values().filter(counts).count() as f64
    }

    /// Computes what follows from the list and from the backends' state.
    pub(crate) fn update_statistics(&mut self) {
        let (mut listed, mut ejected) = (0, 0);
        let (mut throughput, mut size, mut cores, mut load_per_core) = (0.0, 0.0, 0.0, 0.0);
        for backend in self.listed_backends() {
            let warm_fraction = backend.warm_fraction(&self.policy, self.now);
            // One that is gone raises no minimum, and hides no unhealthy rest.
            if backend.leaving_since.is_none() || self.policy.drain_grace.is_none() {
                (listed, ejected) = (listed + 1, ejected + usize::from(backend.is_ejected(self.now)));
                (cores, load_per_core) = (
                    cores + warm_fraction * backend.entry.size.clamp(1.0, 4.0),
                    load_per_core + backend.load_per_core,
                );
            }
            if backend.leaving_since.is_none() && warm_fraction >= 1.0 {
                (throughput, size) = (throughput + backend.throughput, size + backend.entry.size);
            }
        }
        // This balancer's part of what overloads nobody: with less it learns too little to recover. Sizes are
        // relative, so they stand for cores only within bounds.
        self.stats.min_window = 1.2 * cores / f64::from(self.policy.agent_count.max(1));
        self.stats.throughput = if size > 0.0 { throughput / size / 2.0 } else { 0.0 };
        self.stats.load_per_core = load_per_core / listed.max(1) as f64;
        self.stats.has_few_backends = self.policy.agent_count as usize > listed;
        // When more than half look unhealthy, a shared cause is likelier: none is ejected.
        self.stats.ejection_enabled = 2 * ejected <= listed;
    }

    /// The pressure target of requests within quota, as a multiple of the usual one. Where the goal counts answers
    /// in time it is the usual one, and requests beyond quota have less.
    pub(crate) fn in_quota_factor(&self) -> f64 {
        if self.policy.in_time_weight > 0.0 { 1.0 } else { IN_QUOTA_FACTOR }
    }
}
