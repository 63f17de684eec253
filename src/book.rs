//! What a balancer keeps of each backend and of each txn in hand. No decisions here.
use crate::units::*;

/// One backend as this agent knows it.
#[derive(Default)]
pub struct Backend {
    pub entry: Entry,
    pub crowd: f64,             // txns held a core by the list, where its weights are live
    pub told: Option<Micros>,   // since when it is known to drain or to be gone
    pub leaves: Micros,         // till when one that drains still takes its part
    pub frozen: Option<Micros>, // gone, but held on the list by the guard since then
    pub dropped: bool,
    pub out: Vec<(TxnRef, Micros)>, // own postings not yet back
    pub report: Option<(Report, Micros)>,
    pub pace: f64, // own response times against those of all backends, smoothed
    pub paced: Micros,
    pub answered: Micros, // when the latest sent of those that it settled was sent
    pub doubt: f64,       // 0 sound, 1 nothing works
    pub shut_until: Micros,
    pub shut_for: Micros,
    pub active: Micros, // when the connection to it was last used
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

impl State {
    /// Rule 2: a decline promises that asking again is harmless.
    pub fn harmless(&self, row: &Scheme) -> bool {
        self.ran.is_none() && self.out.is_none()
            || row.kind == Kind::Repeatable
            || (row.kind == Kind::Referenced && row.group == Group::All)
    }
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
    pub fn start() -> Gauge {
        let window = Window { size: 2.0, saved: BURST };
        Gauge { window, wide: window, opening: true, spare: 3.0, busy: 1.0, least: 1.0, ..Gauge::default() }
    }
}

const BURST: f64 = 3.0; // postings over a window that chance may bring at once

/// How many own postings may be out, in the mean over some response times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    pub size: f64,
    pub saved: f64, // postings by which it was lately under- or (below 0) overused
}

impl Window {
    pub fn has_room(&self, out: f64) -> bool {
        out < self.size + self.saved
    }
    pub fn in_use(&self, out: f64) -> bool {
        out + 1.0 >= 0.7 * (self.size + self.saved)
    }
    /// A part of a response time passed. The mean counts, not the moment: few txns come in clusters, and those are no
    /// overload.
    pub fn pass(&mut self, out: f64, part: f64) {
        self.saved = (self.saved + (self.size - out) * part).clamp(-BURST, BURST);
    }
    /// A small window moves by smaller steps: its agent hears little, and most of that is chance.
    pub fn slow(&self) -> f64 {
        self.size / (1.0 + self.size)
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
