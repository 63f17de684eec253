//! Which backends are asked for their load by probe, where they report it in no other way. Probes cost: a
//! fifth of a point in a hundred of the value is spent on them.
use crate::book::Backend;
use crate::units::{BackendId, Micros, Terms};

const SPEND: f64 = 0.002; // part of a txn's value that probes may cost
const MOST: f64 = 8.0; // probes saved up
const STALE: Micros = Micros::ms(500); // a report younger than this need not be asked for

#[derive(Default)]
pub struct Asking {
    saved: f64,
}

impl Asking {
    /// One more txn pays its part.
    pub fn earn(&mut self, terms: &Terms) {
        if terms.may_probe && terms.report_by_probe {
            self.saved = (self.saved + (SPEND / terms.probe_price.max(1e-3)).min(1.0)).min(MOST);
        }
    }
    /// Those longest unheard, while probes are saved; a cold one is spared even that.
    pub fn due<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Backend>,
        terms: &Terms,
        now: Micros,
    ) -> Vec<BackendId> {
        let mut due: Vec<(Micros, BackendId)> = members
            .filter(|b| b.warmth(terms, now) >= 1.0)
            .map(|b| (b.probed.max(b.report.map_or(Micros(0), |r| r.1)), b.entry.backend))
            .filter(|&(at, _)| now - at >= STALE)
            .collect();
        due.sort();
        due.truncate(self.saved as usize);
        self.saved -= due.len() as f64;
        due.into_iter().map(|(_, id)| id).collect()
    }
}
