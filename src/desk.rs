//! A balancer's own state, how it is opened, and how its parts are reached. No decisions here.
use std::collections::BTreeMap;

use oorandom::Rand64;

use crate::asking::Asking;
use crate::book::*;
use crate::rates::Rates;
use crate::tally::Tally;
use crate::trust::Trust;
use crate::units::*;
use crate::watch::Watch;

const AFAR: f64 = 0.2; // weight of a backend in another zone

pub struct Balancer {
    pub(crate) terms: Terms,
    pub(crate) now: Micros,
    pub(crate) chance: Rand64,
    pub(crate) backends: Vec<Option<Backend>>,
    pub(crate) members: Vec<BackendId>, // the few this agent sends to; one more whenever they are all busy
    pub(crate) generation: Generation,
    pub(crate) gone_lately: Vec<(Micros, BackendId)>,
    pub(crate) watch: Watch,
    pub(crate) asking: Asking,
    pub(crate) txns: BTreeMap<TxnRef, State>,
    pub(crate) took: Vec<Tally>, // by scheme: response times of settled postings
    pub(crate) gauge: Gauge,
    pub(crate) sizes: Sizes, // where weights are live
    pub(crate) rates: Rates,
    pub(crate) trust: Trust,    // in connections that stand unused
    pub(crate) beat_at: Micros, // when it looks after itself next; 0 before the first list
    pub(crate) wake_at: Micros,
    pub(crate) ejections: u32, // since the last beat
}

/// A txn in hand. All that happens to it is a call on this handle.
pub struct Txn<'a> {
    pub(crate) desk: &'a mut Balancer,
    pub(crate) txn: TxnRef,
}

impl Balancer {
    pub fn open(terms: Terms, seed: u64, now: Micros) -> Balancer {
        let mut chance = Rand64::new(seed as u128);
        let watch = Watch::open(terms.list_on_request, now, terms.ask_within, chance.rand_float());
        Balancer {
            now,
            chance,
            backends: Vec::new(),
            members: Vec::new(),
            generation: Generation(0),
            gone_lately: Vec::new(),
            watch,
            asking: Asking::default(),
            txns: BTreeMap::new(),
            took: vec![Tally::default(); terms.schemes.len()],
            gauge: Gauge::start(),
            sizes: Sizes::default(),
            rates: Rates::of(terms.quotas.len()),
            trust: Trust::open(terms.idle_close),
            beat_at: Micros(0),
            wake_at: NEVER,
            ejections: 0,
            terms,
        }
    }

    pub fn clock(&mut self, now: Micros) {
        self.now = now;
    }

    /// A row more of the scheme table: routes may come later than the balancer.
    pub fn scheme(&mut self, scheme: Scheme, afar: f64) -> SchemeId {
        self.terms.afar.resize(self.terms.schemes.len(), AFAR);
        self.terms.schemes.push(scheme);
        self.terms.afar.push(afar);
        self.took.push(Tally::default());
        SchemeId(self.terms.schemes.len() - 1)
    }

    /// It said that it left: no guard holds it.
    pub fn dropped(&mut self, id: BackendId) {
        self.at(id).into_iter().for_each(|b| b.dropped = true);
    }

    /// Weight of a backend in another zone.
    pub(crate) fn afar(&self, scheme: SchemeId) -> f64 {
        self.terms.afar.get(scheme.0).copied().unwrap_or(AFAR)
    }

    /// The handle of a txn that is still of interest.
    pub fn txn(&mut self, txn: TxnRef) -> Option<Txn<'_>> {
        self.txns.contains_key(&txn).then_some(Txn { desk: self, txn })
    }

    pub(crate) fn at(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.backends.get_mut(id.0 as usize)?.as_mut()
    }

    pub(crate) fn backend(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(id.0 as usize)?.as_ref()
    }

    /// All that is still on the list, frozen entries too.
    pub(crate) fn kept(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter().flatten().filter(|b| !b.dropped)
    }

    /// Hosts may keep one wake alone: it is asked for again only where it is to come sooner.
    pub(crate) fn alarm(&mut self, at: Micros, out: &mut dyn Outlet) {
        if at < self.wake_at {
            self.wake_at = at;
            out.wake_in(at - self.now);
        }
    }

    /// Its line on the list, read into its book.
    pub(crate) fn relist(&mut self, entry: &Entry) -> &mut Backend {
        let (at, now) = (entry.backend.0 as usize, self.now);
        if self.backends.len() <= at {
            self.backends.resize_with(at + 1, || None);
        }
        let b = self.backends[at].get_or_insert_with(|| Backend::new(entry.clone(), now));
        b.relist(entry, now);
        if self.terms.live_weights {
            (b.entry.size, b.crowd) = self.sizes.of(entry);
        }
        b
    }

    /// What a backend reports of its load; none where its answer had no report.
    pub fn reported(&mut self, id: BackendId, report: Option<Report>) {
        let now = self.now;
        if let (Some(b), Some(report)) = (self.at(id), report) {
            b.report = Some((report, now));
            let size = b.entry.size;
            self.gauge.hear(report, size);
        }
    }
}
