//! Which backends are probed for their load, where they report it in no other way. Probes cost: 0.2% of the
//! requests' value is spent on them.
use crate::backend_state::Backend;
use crate::units::{BackendId, Micros, Policy};

const VALUE_SHARE: f64 = 0.002; // part of a request's value that probes may cost
const MAX_TOKENS: f64 = 8.0; // probes saved up at most
const FRESH: Micros = Micros::ms(500); // a report younger than this needs no probe

/// Probes that are paid for.
#[derive(Default)]
pub struct ProbeBudget {
    tokens: f64,
}

impl ProbeBudget {
    /// One more request adds its part to the budget.
    pub fn on_request(&mut self, policy: &Policy) {
        if policy.may_probe && policy.report_by_probe {
            self.tokens =
                (self.tokens + (VALUE_SHARE / policy.probe_price.max(1e-3)).min(1.0)).min(MAX_TOKENS);
        }
    }
    /// Whom to probe now: the longest unheard first, while the budget lasts; warming backends are spared.
    pub fn due<'a>(
        &mut self,
        subset: impl Iterator<Item = &'a Backend>,
        policy: &Policy,
        now: Micros,
    ) -> Vec<BackendId> {
        let mut due: Vec<(Micros, BackendId)> = subset
            .filter(|backend| backend.warm_fraction(policy, now) >= 1.0)
            .map(|backend| {
                (backend.probed_at.max(backend.report.map_or(Micros(0), |r| r.1)), backend.entry.backend)
            })
            .filter(|&(at, _)| now - at >= FRESH)
            .collect();
        due.sort();
        due.truncate(self.tokens as usize);
        self.tokens -= due.len() as f64;
        due.into_iter().map(|(_, id)| id).collect()
    }
}
