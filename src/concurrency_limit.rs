//! How the concurrency window follows latency, so that many balancers keep the queues of backends short without
//! talking to one another.
use crate::{balancer::Balancer, units::*};

const TARGET_PRESSURE: f64 = 0.12; // pressure aimed at: square of response time over latency target
const INSTANT: f64 = 0.02; // an answer within this part of the target shows no queueing at all
const BASE_FACTOR: f64 = 4.0; // the target is this multiple of the base pressure, where that is more
const HIGH_UTILISATION: f64 = 0.9; // reported utilisation that leaves no headroom
const HEADROOM_FACTOR: f64 = 3.0; // how much headroom raises the target
pub(crate) const IN_QUOTA_FACTOR: f64 = 2.5; // target for requests within quota, as a multiple of the others'
const MAX_CALM_LOAD: f64 = 3.0; // requests in flight per core, by the list, above which the fleet is not calm

impl Balancer {
    /// Every attempt that ends moves the window: up while the window is used and latency is low, down as latency
    /// nears its target (additive increase, proportional decrease).
    pub(crate) fn adjust_window(&mut self, class: ClassId, outcome: AttemptOutcome, took: Micros) {
        let part = took.ratio_to(self.policy.classes[class.0].latency_target);
        let pressure = match outcome {
            AttemptOutcome::Succeeded => part.min(1.2).powi(2),
            AttemptOutcome::TimedOut | AttemptOutcome::Rejected => 0.8,
            _ => return,
        };
        self.stats.pressure += 0.1 * (pressure - self.stats.pressure);
        if outcome != AttemptOutcome::Succeeded {
            self.stats.utilisation += 0.1 * (1.0 - self.stats.utilisation); // who does not answer reports no headroom
        }
        // Where even the fastest answers take much of the target, that is work, not queueing.
        let quick = self.latencies[class.0].quantile(0.25).unwrap_or(0);
        let quick = Micros(quick).ratio_to(self.policy.classes[class.0].latency_target);
        self.stats.base_pressure += 0.05 * (quick * quick - self.stats.base_pressure);
        // With few backends, slow ones dominate the mean. Their reported utilisation is the same for all
        // balancers: while it leaves headroom, queueing is not why answers are late.
        let room = if self.stats.has_few_backends {
            (1.0 - self.stats.utilisation / HIGH_UTILISATION).max(0.0)
        } else {
            0.0
        };
        let mut target = (BASE_FACTOR * self.stats.base_pressure)
            .clamp(TARGET_PRESSURE, 1.5 * TARGET_PRESSURE)
            * (1.0 + HEADROOM_FACTOR * room);
        let (in_flight, min_window) = (self.in_flight(), self.stats.min_window);
        if self.policy.has_peers {
            let in_quota_window = self.in_quota_factor() * target;
            let pull = ((in_quota_window - self.tenant_rates.pressure()) / in_quota_window).clamp(-1.0, 1.0);
            let calm =
                pull > 0.0 && self.tenant_rates.has_history() && self.stats.load_per_core < MAX_CALM_LOAD;
            self.stats.calm = calm && self.in_quota_factor() > 1.0;
            self.stats.in_quota_window.adjust(in_flight, 0.2, pull, min_window);
            target *= self.in_quota_factor() / IN_QUOTA_FACTOR;
        }
        let pull = ((target - self.stats.pressure) / target).clamp(-1.0, 1.0);
        // Fast start: an instant answer doubles the window. Queueing is then far off, and clients that come
        // back without a pause would be rejected by the thousand.
        let step = match self.stats.fast_start {
            true if part < INSTANT => 1.0 + self.stats.window.size,
            true => 0.5,
            false => 0.2,
        };
        if self.stats.window.adjust(in_flight, step, pull, min_window) {
            self.stats.fast_start &= pull > 0.0;
        }
    }
}
