//! Rule 4 as a budget: what comes to a cold backend within any window must stay under the stated multiple of what it can do by then,
//! whether or not it falls. Judged where two thirds of it come from agents that were told of its start.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::agreement::Agreement;
use super::kit::*;

/// A little is left to chance.
const CHANCE: f64 = 1.05;

#[derive(Clone, Debug, Default)]
struct Start {
    at: Micros,
    told: BTreeSet<AgentId>,
    /// When it came, from whom, and how much work it is; those of the last window.
    came: VecDeque<(Micros, AgentId, f64)>,
    over: bool,
}

#[derive(Clone, Debug, Default)]
pub struct ColdBook {
    starts: BTreeMap<BackId, Start>,
}

impl ColdBook {
    pub fn started(&mut self, at: Micros, back: BackId) {
        self.starts.insert(back, Start { at, ..Start::default() });
    }
    pub fn told(&mut self, agent: AgentId, back: BackId) {
        if let Some(start) = self.starts.get_mut(&back) {
            start.told.insert(agent);
        }
    }
    /// A posting came. What is wrong with it, once for each start.
    pub fn weighs(
        &mut self,
        at: Micros,
        from: AgentId,
        back: BackId,
        work: Micros,
        agreed: &Agreement,
    ) -> Option<&'static str> {
        let (cold, start) = (agreed.cold.as_ref()?, self.starts.get_mut(&back)?);
        start.came.push_back((at, from, work.0 as f64));
        while start.came.front().is_some_and(|came| at - came.0 > cold.within) {
            start.came.pop_front();
        }
        let warmth = (cold.from + (1.0 - cold.from) * (at - start.at).ratio_to(cold.span)).min(1.0);
        let able = agreed.places.get(back.0)?.able * warmth * cold.within.0 as f64;
        let all: f64 = start.came.iter().map(|came| came.2).sum();
        let told: f64 =
            start.came.iter().filter(|came| start.told.contains(&came.1)).map(|came| came.2).sum();
        let over = all > CHANCE * cold.multiple * able && told * 3.0 >= all * 2.0;
        (over && !std::mem::replace(&mut start.over, true))
            .then_some("a cold backend was sent more than its budget")
    }
}
