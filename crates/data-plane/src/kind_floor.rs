//! The floor that each kind of work has at a backend, without I/O: priority decides the order, and where there is less room than work the
//! last kind would get nothing at all.
//!
//! A kind is starved where it begins less than `FLOOR_PART` as often as all work does, by what was offered lately. The operators' rule
//! ("Starved") draws its line at a quarter.
use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::work_kind::WorkKind;

/// The part of the rate at which all work begins that each kind has at least.
const FLOOR_PART: f64 = 0.4;
/// Sums fade over about this span.
const SPAN: Micros = Micros::ms(5_000);
/// Requests that a kind lacks to its floor before it is taken for starved.
const MIN_DEFICIT: f64 = 1.0;
/// Kinds that are told apart at once.
const MAX_KINDS: usize = 64;
/// A kind is forgotten once what was offered of it has faded to this.
const MIN_OFFERED: f64 = 0.01;

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    offered: f64,
    begun: f64,
}

/// What was offered lately of each kind, and how much of it began.
#[derive(Clone, Debug)]
pub struct KindFloor {
    total: Share,
    by_kind: BTreeMap<WorkKind, Share>,
    faded_at: Micros,
}

impl KindFloor {
    /// Nothing was offered yet.
    pub fn new(now: Micros) -> KindFloor {
        KindFloor { total: Share::default(), by_kind: BTreeMap::new(), faded_at: now }
    }

    fn fade(&mut self, now: Micros) {
        let kept = (-(now - self.faded_at).ratio_to(SPAN)).exp();
        self.faded_at = now;
        for share in self.by_kind.values_mut().chain([&mut self.total]) {
            share.offered *= kept;
            share.begun *= kept;
        }
        self.by_kind.retain(|_, share| share.offered >= MIN_OFFERED);
    }

    /// A request of this kind is to begin or to be refused.
    pub fn on_offered(&mut self, now: Micros, kind: WorkKind) {
        self.fade(now);
        self.total.offered += 1.0;
        if self.by_kind.len() < MAX_KINDS || self.by_kind.contains_key(&kind) {
            self.by_kind.entry(kind).or_default().offered += 1.0;
        }
    }

    /// A request of this kind has begun.
    pub fn on_begun(&mut self, kind: WorkKind) {
        self.total.begun += 1.0;
        if let Some(share) = self.by_kind.get_mut(&kind) {
            share.begun += 1.0;
        }
    }

    /// The kinds that get less than their floor, the one that gets least first.
    pub fn starved_kinds(&self) -> Vec<WorkKind> {
        let begun_part =
            |kind: &WorkKind| self.by_kind.get(kind).map_or(1.0, |share| share.begun / share.offered);
        let mut kinds: Vec<WorkKind> =
            self.by_kind.keys().copied().filter(|kind| self.is_starved(*kind)).collect();
        kinds.sort_by(|a, b| begun_part(a).total_cmp(&begun_part(b)));
        kinds
    }

    /// Whether this kind gets less than its floor, by a request or more.
    pub fn is_starved(&self, kind: WorkKind) -> bool {
        let Some(share) = self.by_kind.get(&kind) else { return false };
        let floor = FLOOR_PART * share.offered * self.total.begun / self.total.offered;
        floor - share.begun >= MIN_DEFICIT
    }
}
