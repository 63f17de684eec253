//! Outlier detection: a failure score for each backend from answers and probes, and ejection past a threshold.
use crate::{balancer::Balancer, units::*};

const MIN_EJECTION: Micros = Micros::ms(2_000); // a backend's first ejection; doubled up to
const MAX_EJECTION: Micros = Micros::ms(16_000); // this while failures go on
const USUAL_FAILURES: f64 = 0.05; // failure rate up to which two in a row point at their backend

impl Balancer {
    /// A probe has ended.
    pub fn on_probe_result(&mut self, id: BackendId, outcome: AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost) {
            self.add_failure_evidence(id, 0.5);
        }
    }

    /// Evidence against a backend. Past the threshold it is ejected, for longer each time until an attempt
    /// succeeds; in between it comes back with the little weight that its failure score leaves it.
    pub(crate) fn add_failure_evidence(&mut self, id: BackendId, weight: f64) {
        let now = self.now;
        let Some(backend) = self.at(id) else { return };
        backend.failure_score += (1.0 - backend.failure_score) * weight;
        if backend.failure_score > 0.6 && backend.ejected_until <= now {
            backend.ejection_span =
                (backend.ejection_span + backend.ejection_span).max(MIN_EJECTION).min(MAX_EJECTION);
            backend.ejected_until = now + backend.ejection_span;
            self.ejections += 1;
            self.update_statistics();
        }
    }

    /// Returns whether this attempt alone was lost: the backend answered others that were sent in the second half
    /// of its wait. That is one more failure, but no sign of a queue (rf678eb).
    pub(crate) fn record_outcome(
        &mut self,
        id: BackendId,
        class: ClassId,
        sent: Micros,
        outcome: AttemptOutcome,
        took: Micros,
    ) -> bool {
        let (mean, mut usual, now) = (self.latencies[class.0].mean(), self.stats.failure_rate, self.now);
        let Some(backend) = self.at(id) else { return false };
        let lost = outcome == AttemptOutcome::TimedOut && backend.last_answered > sent + took.times(0.5);
        if !lost && matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::TimedOut) {
            backend.record_latency((took.0 as f64 / mean.unwrap_or(took.0 as f64).max(1.0)).min(8.0), now);
        }
        if sent < backend.entry.started {
            return lost; // an earlier process's failure says nothing of this one
        }
        if lost
            || matches!(
                outcome,
                AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::ConnectionLost
            )
        {
            usual += 0.02
                * (1.0 - backend.failure_score)
                * (f64::from(outcome != AttemptOutcome::Succeeded) - usual);
        }
        match outcome {
            AttemptOutcome::Succeeded => {
                (backend.throughput, backend.last_answered, backend.failure_score) =
                    (backend.throughput + 1.0, backend.last_answered.max(sent), backend.failure_score * 0.6);
                (backend.ejected_until, backend.ejection_span) = (now, Micros(0));
                self.latencies[class.0].add(took.0);
            }
            // Two in a row eject: a silent backend must not fill small windows for long (incident i4e8cc2).
            AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut if !lost => {
                self.add_failure_evidence(id, 0.45);
            }
            // Unless failures are usual: what affects all alike must not eject one after the other.
            AttemptOutcome::Failed | AttemptOutcome::ConnectionLost | AttemptOutcome::TimedOut => {
                self.add_failure_evidence(id, 0.45 * (USUAL_FAILURES / usual).clamp(0.1, 1.0));
            }
            AttemptOutcome::Rejected => {
                backend.takes_part_until = now;
                self.add_failure_evidence(id, 0.2);
            }
            _ => {}
        }
        self.stats.failure_rate = usual;
        lost
    }
}
