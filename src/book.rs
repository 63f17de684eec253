//! What a balancer keeps of each backend and of each txn in hand. No decisions here.
use crate::units::*;
use crate::window::{BURST, Window};

/// One backend as this agent knows it.
#[derive(Default)]
pub struct Backend {
    pub entry: Entry,
    pub crowd: f64,             // txns held a core by the list, where its weights are live
    pub told: Option<Micros>,   // since when it is known to drain or to be gone
    pub leaves: Micros,         // till when one that drains still takes its part
    pub frozen: Option<Micros>, // gone, but held on the list by the guard since then
    pub dropped: bool,
    pub turned: bool,               // turned gone: the guard decides about it
    pub out: Vec<(TxnRef, Micros)>, // own postings not yet back
    pub report: Option<(Report, Micros)>,
    pub pace: f64, // own response times against those of all backends, smoothed
    pub paced: Micros,
    pub answered: Micros, // when the latest sent of those that it settled was sent
    pub doubt: f64,       // 0 sound, 1 nothing works
    pub shut_until: Micros,
    pub shut_for: Micros,
    pub active: Micros, // when the connection to it was last used
    pub silent: Micros, // how long that connection had stood by then
    pub stale: bool,    // nothing came on that connection when it was due
    pub used: Micros,   // when we last posted to it
    pub probed: Micros,
    pub flow: f64,              // postings settled within two fall spans, smoothed
    pub cold: bool,             // at the last beat
    pub cold_sent: Vec<Micros>, // when we posted to it while cold
    pub lot: f64,               // drawn for this span: what part of a posting is still no posting
    pub lot_until: Micros,
}

impl Backend {
    pub fn new(entry: Entry, now: Micros) -> Backend {
        Backend { entry, paced: now, pace: 1.0, lot: 1.0, ..Backend::default() }
    }
    /// Share of its full capacity that it has for certain, by its age.
    pub fn warmth(&self, terms: &Terms, now: Micros) -> f64 {
        if self.entry.started == Micros(0) {
            return 1.0; // long past
        }
        let age = (now - self.entry.started).over(terms.cold_span);
        (terms.cold_from + (1.0 - terms.cold_from) * age).min(1.0)
    }
    /// Whether it is warm now and was cold when this was last asked.
    pub fn turned_warm(&mut self, terms: &Terms, now: Micros) -> bool {
        let cold = self.warmth(terms, now) < 1.0;
        std::mem::replace(&mut self.cold, cold) && !cold
    }
    /// It is listed so. With a new start it is cold and unknown again, whatever was known of it.
    pub fn relist(&mut self, entry: &Entry, now: Micros) {
        if entry.started > self.entry.started || (self.dropped && entry.standing == Standing::Ready) {
            let (out, cold_sent) = (std::mem::take(&mut self.out), std::mem::take(&mut self.cold_sent));
            *self = Backend { out, cold_sent, ..Backend::new(entry.clone(), now) };
        }
        self.entry = entry.clone();
    }
    /// A posting went there.
    pub fn posted(&mut self, txn: TxnRef, now: Micros, cold: bool) {
        (self.used, self.active) = (now, now);
        self.out.push((txn, now));
        if cold {
            self.cold_sent.push(now);
        }
    }
    /// For how long its connection has stood unused; 0 where it is in use, or there was none.
    pub fn stood(&self, now: Micros) -> Micros {
        if self.out.is_empty() && self.active > Micros(0) { now - self.active } else { Micros(0) }
    }
    /// A posting came back, whatever became of it.
    pub fn returned(&mut self, txn: TxnRef, now: Micros) {
        self.out.retain(|o| o.0 != txn);
        self.active = now;
    }
    /// Its pace with us, by one response time against the mean of all.
    pub fn paces(&mut self, ratio: f64, now: Micros) {
        self.pace += 0.2 * (ratio - self.pace);
        self.paced = now;
    }
    /// What a posting to it counts as, besides.
    pub fn counts(&self, cold: bool, now: Micros) -> Vec<&'static str> {
        let standing = match self.entry.standing {
            _ if self.frozen.is_some() => Some("postings_frozen"),
            Standing::Draining => Some("postings_draining"),
            Standing::Ready if cold => Some("postings_cold"),
            _ => None,
        };
        standing.into_iter().chain(self.shut(now).then_some("postings_ejected")).collect()
    }
    pub fn shut(&self, now: Micros) -> bool {
        self.shut_until > now
    }
}

/// One posting that is out.
#[derive(Clone, Copy)]
pub struct Posting {
    pub number: u32,
    pub to: BackendId,
    pub sent: Micros,
    pub stood: Micros, // how long its connection had stood unused; 0: it was new
    pub overdue: bool, // longer out than most take
    pub silent: bool,  // and longer than any
}

#[derive(Default)]
pub struct State {
    pub scheme: SchemeId,
    pub expiry: Micros,
    pub taken: Micros,
    pub postings: u32,
    pub out: Option<Posting>,
    pub ran: Option<(BackendId, Micros)>, // the first posting that may have run, and when it was sent
    pub last: Option<BackendId>,
    pub closed: bool,
    pub fair: bool, // within its tenant's share
}

pub const NEVER: Micros = Micros(i64::MAX);

impl State {
    pub fn new(scheme: SchemeId, expiry: Micros, taken: Micros) -> State {
        State { scheme, expiry, taken, ..State::default() }
    }
}

/// The running figures of a balancer.
#[derive(Default)]
pub struct Gauge {
    pub window: Window, // own postings that may be out
    pub wide: Window,   // the same for txns within their tenants' shares
    pub crowd: f64,     // txns held a core by the list, in the mean
    pub calm: bool,     // the fleet's answers come with ease: no window for those
    pub opening: bool,  // never yet under strain: the window grows fast
    pub stress: f64,    // squares of response times as a part of the SLA time, smoothed
    pub rest: f64,      // the same of the quicker quarter
    pub spare: f64,     // further postings still allowed after a failure
    pub fails: f64,     // part of postings that fail at backends in no doubt, smoothed
    pub held: f64,      // txns in hand that backends report for their size, smoothed
    pub busy: f64,      // utilisation that backends report, smoothed; all of it till they do
    pub thin: bool,     // more agents than backends: this one hears each of them seldom
    pub ejecting: bool, // not while more than half looks ill
    pub least: f64,     // the window's floor: this agent's part of what surely overloads nobody
    pub flow: f64,      // what warm backends settle for us within a fall span, for their size
}

impl Gauge {
    /// What a backend of this size reports.
    pub fn hear(&mut self, report: Report, size: f64) {
        if let Some(n) = report.in_flight {
            self.held += 0.1 * (n / size.max(1e-9) - self.held);
        }
        if let Some(busy) = report.utilisation {
            self.busy += 0.1 * (busy.clamp(0.0, 1.0) - self.busy);
        }
    }
    pub fn start() -> Gauge {
        let window = Window { size: 2.0, saved: BURST };
        Gauge { window, wide: window, opening: true, spare: 3.0, busy: 1.0, least: 1.0, ..Gauge::default() }
    }
}

/// Sizes where the list tells them over 1 + txns held a core: the largest seen of a machine type is its size.
#[derive(Default)]
pub struct Sizes(std::collections::BTreeMap<ModelId, f64>);

impl Sizes {
    /// Its size, and the txns that it holds a core.
    pub fn of(&mut self, entry: &Entry) -> (f64, f64) {
        let size = self.0.entry(entry.model).or_default();
        *size = size.max(entry.size);
        (*size, *size / entry.size.max(1e-9) - 1.0)
    }
}

/// Where a dart in 0 to 1 lands among the weights.
pub fn draw(weights: &[f64], dart: f64) -> Option<usize> {
    let mut left = dart * weights.iter().sum::<f64>();
    let hit = |w: &f64| {
        left -= w;
        left < 0.0
    };
    weights.iter().position(hit).or_else(|| weights.iter().rposition(|w| *w > 0.0))
}

/// Keeps only what is good, if anything is.
pub fn prefer(open: &mut Vec<&Backend>, good: impl Fn(&Backend) -> bool) {
    if open.iter().any(|b| good(b)) {
        open.retain(|b| good(b));
    }
}
