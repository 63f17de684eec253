//! Which backend: members, weights, the draw.
use crate::{book::*, logic::Balancer, units::*, wait::FEW};

const FLOOR: f64 = 0.1; // least part of its size that a reported utilisation leaves a backend
const REPORT_FADE: Micros = Micros::ms(1_000); // a report this old counts half
const PACE_FADE: Micros = Micros::ms(4_000); // a pace not measured for this long counts half
const SLOW: f64 = 2.0; // a member this many times slower than its peers makes room for another
const WELL: f64 = 2.0; // own postings beyond twice the mean that make a backend with a door crowded

impl Balancer {
    /// How idle a backend is by its last report: one minus its utilisation; txns in hand, where told, count
    /// alike, held against what all hold for their size. The older it is, the less it is trusted.
    pub(crate) fn idle(&self, b: &Backend) -> Option<(f64, f64)> {
        let (report, at) = b.report?;
        let usual = self.gauge.held + 0.1;
        let by_held = report.in_flight.map(|n| usual / (usual + n / b.entry.size.max(1e-9)));
        let idle = match (report.utilisation.map(|u| 1.0 - u), by_held) {
            (Some(left), Some(by_held)) => (left + by_held) / 2.0,
            (left, by_held) => left.or(by_held)?,
        };
        let age = (self.now - at).over(REPORT_FADE);
        Some((idle.max(FLOOR), 1.0 / (1.0 + age * age)))
    }

    /// Weight of each backend: what it reports to have left, for its size, against its pace with us. A report
    /// that ages, or is missing, fades to the mean: a late one pins nothing. A cold one has the mean at most.
    pub(crate) fn weights(&self, all: &[&Backend], scheme: SchemeId) -> Vec<f64> {
        let idle: Vec<Option<(f64, f64)>> = all.iter().map(|b| self.idle(b)).collect();
        let known = idle.iter().flatten().count().max(1) as f64;
        let mean = idle.iter().flatten().map(|x| x.0).sum::<f64>() / known;
        let (expected, usual) = (self.took[scheme.0].mean().unwrap_or(f64::MAX), self.gauge.crowd + 0.5);
        // At equal response times a quick one holds a longer line, and a thin fleet drives it over. Where the
        // goal keeps promises, what a slow one makes late costs more.
        let (least, power) = match (self.terms.kept_promises > 0.0, self.gauge.thin) {
            (true, _) => (0.6, 4),
            (false, true) => (1.0, 2),
            (false, false) => (0.6, 2),
        };
        let weigh = |(b, idle): (&&Backend, &Option<(f64, f64)>)| {
            let left = idle.map_or(mean, |(idle, trust)| mean + (idle - mean) * trust).max(FLOOR);
            let waiting = b.out.iter().map(|o| (self.now - o.1).0).max().unwrap_or(0) as f64 / expected;
            let faded = 1.0 + (b.pace - 1.0) / (1.0 + (self.now - b.paced).over(PACE_FADE));
            let near = if b.entry.zone == self.terms.zone { 1.0 } else { self.afar(scheme) };
            let pace = faded.max(waiting / 3.0).clamp(least, 20.0);
            // Where weights move with load, they tell of all alike who holds more than the rest.
            let free = usual / (usual + b.crowd);
            b.entry.size * left * near * free * ((1.0 - b.doubt) / pace).powi(power)
        };
        let weights: Vec<f64> = all.iter().zip(&idle).map(weigh).collect();
        let mean = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
        let warm = |b: &Backend| b.warmth(&self.terms, self.now) >= 1.0;
        let capped = |(w, b): (&f64, &&Backend)| if warm(b) { *w } else { w.min(mean) };
        weights.iter().zip(all).map(capped).collect()
    }

    /// The habit: an agent sends to few members, and adds one, drawn like all else, whenever all hold one of
    /// ours or are ejected. One that drains, goes or is far slower makes room: few good are sooner known.
    pub(crate) fn enlist(&mut self, txn: TxnRef) {
        let Some((scheme, last)) = self.txns.get(&txn).map(|s| (s.scheme, s.last)) else { return };
        let stays =
            |b: &Backend| !b.dropped && (b.told.is_none() || b.frozen.is_some() || b.leaves > self.now);
        let mut members = std::mem::take(&mut self.members);
        let keeps = |b: &Backend| stays(b) && (self.terms.few.is_some() || b.pace < SLOW);
        members.retain(|&id| self.backend(id).is_some_and(keeps));
        let free = |id: &BackendId| {
            let free = self.backend(*id).is_some_and(|b| b.out.is_empty() && !b.shut(self.now));
            free && Some(*id) != last && self.may_post(txn, *id)
        };
        let mut found = None;
        if members.len() < self.terms.few.unwrap_or(FEW) || !members.iter().any(free) {
            let dart = self.chance.rand_float();
            let open = |b: &&Backend| {
                let id = b.entry.backend;
                stays(b) && !members.contains(&id) && self.may_post(txn, id)
            };
            let mut others: Vec<&Backend> = self.kept().filter(open).collect();
            prefer(&mut others, |b| !b.shut(self.now));
            let weights = self.weights(&others, scheme);
            found = draw(&weights, dart).map(|at| others[at].entry.backend);
        }
        members.extend(found);
        self.members = members;
        let now = self.now;
        // It comes with a clean pace, or it would leave at once.
        if let Some(b) = found.and_then(|id| self.at(id)) {
            (b.used, b.pace) = (now, b.pace.min(1.0));
        }
    }

    /// A newcomer is warm: it takes a member's place at as many agents as its size asks for.
    pub(crate) fn welcome(&mut self, id: BackendId) {
        let whole: f64 = self.kept().filter(|b| b.told.is_none()).map(|b| b.entry.size).sum();
        let Some(b) = self.backend(id).filter(|b| b.told.is_none() && !b.shut(self.now)) else { return };
        let part = b.entry.size / whole.max(1e-9) * self.members.len() as f64;
        if !self.members.contains(&id) && self.chance.rand_float() < part {
            let at = (self.chance.rand_float() * self.members.len() as f64) as usize;
            self.members[at] = id;
            let now = self.now;
            self.at(id).into_iter().for_each(|b| b.used = now);
        }
    }

    /// Draws a member by weight among those that the gate lets pass. Where no member may take the txn, all
    /// backends are looked at.
    pub(crate) fn pick(&mut self, txn: TxnRef) -> Option<BackendId> {
        self.enlist(txn);
        let s = self.txns.get(&txn)?;
        let mut open: Vec<&Backend> = self.members.iter().filter_map(|&id| self.backend(id)).collect();
        open.retain(|b| self.may_post(txn, b.entry.backend));
        // A lot that fell to this agent is its part of a cold backend: left unused, the fleet has it idle.
        let cold = |b: &Backend| b.warmth(&self.terms, self.now) < 1.0 && self.cold_part(b) < 1.0;
        let mine = |b: &&Backend| b.told.is_none() && !b.shut(self.now) && cold(b);
        let lots = self.kept().filter(|b| !self.members.contains(&b.entry.backend)).filter(mine);
        open.extend(lots.filter(|b| self.may_post(txn, b.entry.backend)));
        if open.is_empty() {
            open = self.kept().filter(|b| self.may_post(txn, b.entry.backend)).collect();
        }
        // Another backend than the last, and one that stays, wherever there is one.
        prefer(&mut open, |b| Some(b.entry.backend) != s.last);
        prefer(&mut open, |b| b.entry.standing != Standing::Draining || b.leaves > self.now);
        if self.gauge.ejecting {
            prefer(&mut open, |b| !b.shut(self.now));
        }
        let mut weights = self.weights(&open, s.scheme);
        let mean = open.iter().map(|b| b.out.len() as f64).sum::<f64>() / open.len().max(1) as f64;
        // Where doors report, few of ours say little: only one well above the mean is passed over.
        let mean = if self.terms.doors { 2.0 * mean + WELL } else { mean };
        let found: Vec<(BackendId, bool, f64)> = open
            .iter()
            .map(|b| (b.entry.backend, b.out.len() as f64 > mean, b.warmth(&self.terms, self.now)))
            .collect();
        let mut fallback = None;
        while let Some(at) = draw(&weights, self.chance.rand_float()) {
            // Passed over: one that holds more of ours than the mean, and by chance one not yet warm.
            let (id, crowded, warmth) = found[at];
            if !crowded && self.chance.rand_float() < warmth {
                return Some(id);
            }
            fallback = fallback.or(Some(id));
            weights[at] = 0.0;
        }
        fallback
    }
}
