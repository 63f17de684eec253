//! What is done about an answer that has begun and then stands still. Giving its attempt up pays only where a retry may follow: the answer of a
//! request that must not run twice, or of its last attempt, would merely be lost, and a backend's silence is no reason to end it early.
//!
//! Invariant: no attempt is given up for a stalled answer unless the policy allows its request another attempt.
use crate::{balancer::Balancer, units::*};

/// The part of its latency target after which a stalled answer is given up: what is left is a retry's.
const RETRY_AFTER_PART: f64 = 0.5;

/// When the attempts of one request are given up for a stalled answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalledAnswerRule {
    wait: Option<Micros>,
    max_attempts: u32,
}

impl StalledAnswerRule {
    /// How long the answer of this attempt, counted from 0, may stand still since its last byte; `None`: until the deadline.
    pub fn wait(&self, attempt: u32) -> Option<Micros> {
        self.wait.filter(|_| attempt + 1 < self.max_attempts)
    }
}

impl Balancer {
    /// The rule for a request of this class.
    pub fn stalled_answer_rule(&self, class: ClassId) -> StalledAnswerRule {
        let row = self.policy.classes.get(class.0);
        let repeatable = row.filter(|row| row.kind != RequestKind::NonIdempotent);
        StalledAnswerRule {
            wait: repeatable.map(|row| row.latency_target.times(RETRY_AFTER_PART)),
            max_attempts: self.policy.max_attempts,
        }
    }
}
