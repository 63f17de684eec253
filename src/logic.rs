//! All decisions of one balancer. A front opens a `Balancer` with its `Terms` (units.rs) and a seed, sets its
//! `clock`, and calls it: `listed`/`list_failed`/`list_moved` for the server list, `reported`/`probed` for
//! load, `wake` when a timer is due, and `take` for a new txn, which gives a `Txn` handle; `route`,
//! `returned` and `left` are all that can happen to it. What the balancer does goes out through the front's `Outlet`.
//! Every posting passes `Balancer::post`, and there `may_post`, where the four rules are kept.
use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;

use crate::asking::Asking;
use crate::book::{Backend, Gauge, Posting, State, draw, prefer};
use crate::rates::Rates;
use crate::tally::Tally;
use crate::units::*;
use crate::watch::Watch;

const GUARD_WINDOW: Micros = Micros::ms(10_000); // entries turning gone within this are judged together
const GUARD_FRACTION: f64 = 0.15; // above this part of the list they are frozen instead of dropped
const GUARD_HOLD: Micros = Micros::ms(30_000); // how long a frozen entry stays unless listed ready again
const FLOOR: f64 = 0.1; // least part of its size that a reported utilisation leaves a backend
const BEAT: Micros = Micros::ms(50); // how often the balancer looks after itself
const FIRST_SHUT: Micros = Micros::ms(2_000); // how long a backend is ejected; doubled up to
const LAST_SHUT: Micros = Micros::ms(16_000); // this while it goes on failing
const USUAL: f64 = 0.05; // failures among postings up to which two in a row point at their backend
const REPORT_FADE: Micros = Micros::ms(1_000); // a report this old counts half
const EASE: f64 = 0.12; // square of response time over SLA time aimed at when the window is full
const PACE_FADE: Micros = Micros::ms(4_000); // a pace not measured for this long counts half
const AT_ONCE: f64 = 0.02; // an answer within this part of the SLA time shows no work worth a window
const AFAR: f64 = 0.2; // weight of a backend in another zone
const QUICK: f64 = 4.0; // the aim is this many times the square of the quicker quarter, where that is more
const FULL: f64 = 0.9; // reported utilisation from which a thin agent lets nothing more through
const ROOM: f64 = 3.0; // how far what is left below that raises its aim
const FEW: usize = 2; // members an agent starts with, and keeps however little it has to send
const SLOW: f64 = 2.0; // a member this many times slower than its peers makes room for another
const UNUSED: Micros = Micros::ms(10_000); // a member above those that got nothing for this long leaves
const TELLS: f64 = 10.0; // messages a second to a peer drawn at random
const FAIR: f64 = 2.5; // the aim for txns within their tenants' shares is this many times that of the rest
const PATIENT: f64 = 0.9; // part of answers that come sooner than a second copy is sent
const SILENT: f64 = 3.0; // after so many times that wait, nothing is thought to come
const HASTE: Micros = Micros::ms(10); // so long before its SLA time a txn is given up
const TRIAL: f64 = 0.03; // part of repeatable txns that try a connection which stood idle for long
const MARGIN: Micros = Micros::ms(50); // kept clear of every limit in time

pub struct Balancer {
    terms: Terms,
    now: Micros,
    chance: Rand64,
    pub(crate) backends: Vec<Option<Backend>>,
    members: Vec<BackendId>, // the few this agent sends to; one more whenever they are all busy
    generation: Generation,
    gone_lately: Vec<(Micros, BackendId)>,
    watch: Watch,
    asking: Asking,
    txns: BTreeMap<TxnRef, State>,
    pub(crate) took: Vec<Tally>, // by scheme: response times of settled postings
    pub(crate) gauge: Gauge,
    pub(crate) sizes: BTreeMap<ModelId, f64>, // where weights are live: the largest seen of each machine type
    rates: Rates,
    silences: u32, // in a row on connections that had stood unused
    keep: Micros,  // connections that stood unused for longer are not trusted
    beat_at: Micros,
    beating: bool,
    ejections: u32, // since the last beat
}

/// A txn in hand. All that happens to it is a call on this handle.
pub struct Txn<'a> {
    desk: &'a mut Balancer,
    txn: TxnRef,
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
            sizes: BTreeMap::new(),
            rates: Rates::of(terms.quotas.len()),
            silences: 0,
            keep: terms.idle_close.times(0.8),
            beat_at: now,
            beating: false,
            ejections: 0,
            terms,
        }
    }

    pub fn clock(&mut self, now: Micros) {
        self.now = now;
    }

    pub fn take(&mut self, txn: TxnRef, scheme: SchemeId, expiry: Micros) -> Txn<'_> {
        self.txns.insert(txn, State::new(scheme, expiry, self.now));
        self.gauge.spare = (self.gauge.spare + 0.1).min(10.0);
        self.asking.earn(&self.terms);
        Txn { desk: self, txn }
    }

    /// Another agent's figures.
    pub fn heard(&mut self, told: &str) {
        self.rates.hear(told);
    }

    /// The handle of a txn that is still of interest.
    pub fn txn(&mut self, txn: TxnRef) -> Option<Txn<'_>> {
        self.txns.contains_key(&txn).then_some(Txn { desk: self, txn })
    }

    // ---- The list ---------------------------------------------------------------------------------------

    /// A refresh arrived. An older version, or a full list without entries, changes nothing.
    pub fn listed(&mut self, how: Refresh, version: Generation, entries: &[Entry], out: &mut dyn Outlet) {
        if !std::mem::replace(&mut self.beating, true) {
            out.wake_in(BEAT);
        }
        let nobody = entries.is_empty();
        self.watch.heard(how == Refresh::Restored, nobody, self.now, self.chance.rand_float());
        if version < self.generation || (how == Refresh::Full && nobody) {
            return;
        }
        self.generation = version;
        let mut turned_gone = Vec::new();
        let (thin, grace) = (self.gauge.thin, self.terms.drain_grace.unwrap_or_default());
        for entry in entries {
            let at = entry.backend.0 as usize;
            if self.backends.len() <= at {
                self.backends.resize_with(at + 1, || None);
            }
            let now = self.now;
            let b = self.backends[at].get_or_insert_with(|| Backend::new(entry.clone(), now));
            // A backend with a new start is cold and unknown again, whatever was known of it.
            if entry.started > b.entry.started || (b.dropped && entry.standing == Standing::Ready) {
                let (out, cold_sent) = (std::mem::take(&mut b.out), std::mem::take(&mut b.cold_sent));
                *b = Backend { out, cold_sent, ..Backend::new(entry.clone(), now) };
            }
            b.entry = entry.clone();
            if self.terms.live_weights {
                let size = self.sizes.entry(entry.model).or_default();
                *size = size.max(entry.size);
                b.crowd = *size / entry.size.max(1e-9) - 1.0;
                b.entry.size = *size;
            }
            match entry.standing {
                Standing::Ready => (b.told, b.frozen, b.dropped) = (None, None, false),
                Standing::Draining if b.told.is_none() => {
                    // All hear of it at once: each goes at a moment of its own, while the grace lasts.
                    let part = if thin { 0.35 + 0.35 * self.chance.rand_float() } else { 0.0 };
                    (b.told, b.leaves) = (Some(now), now + grace.times(part));
                }
                Standing::Draining => {}
                Standing::Gone => turned_gone.push(entry.backend),
            }
        }
        if how != Refresh::Delta {
            let here: BTreeSet<BackendId> = entries.iter().map(|e| e.backend).collect();
            let all = (0..self.backends.len() as u32).map(BackendId);
            turned_gone.extend(all.filter(|id| !here.contains(id)));
        }
        self.guard(&turned_gone, out);
        self.count();
        if how == Refresh::Restored {
            (self.gauge.window.size, self.gauge.wide.size) =
                (1.33 * self.gauge.least, 1.33 * self.gauge.least);
        }
    }

    /// The expiry guard: few entries turning gone leave the list, many at once are frozen on it.
    fn guard(&mut self, turned_gone: &[BackendId], out: &mut dyn Outlet) {
        let now = self.now;
        for &id in turned_gone {
            if let Some(b) = self.at(id).filter(|b| !b.dropped && b.frozen.is_none()) {
                b.told = b.told.or(Some(now));
                self.gone_lately.push((now, id));
            }
        }
        self.gone_lately.retain(|&(at, _)| now - at <= GUARD_WINDOW);
        let lately = self.gone_lately.clone();
        let listed = self.kept().count();
        let freeze = lately.len() as f64 > GUARD_FRACTION * listed as f64;
        for &(_, id) in &lately {
            match self.at(id).filter(|b| b.told.is_some() && !b.dropped) {
                Some(b) if freeze => b.frozen = b.frozen.or(Some(now)),
                Some(b) => b.dropped = true,
                None => {}
            }
        }
        if freeze && !turned_gone.is_empty() {
            out.note(&format!("{} of {listed} entries turned gone: removals frozen", lately.len()));
        }
    }

    /// The watch or a call for it failed: the list stays, and the watch resumes after a jittered backoff.
    pub fn list_failed(&mut self) {
        self.watch.failed(self.now, self.terms.ask_within, self.chance.rand_float());
    }

    /// The list is now asked for elsewhere: what failed before says nothing of the new place.
    pub fn list_moved(&mut self) {
        self.watch.moved();
        self.list_failed();
    }

    // ---- Load and health --------------------------------------------------------------------------------

    fn at(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.backends.get_mut(id.0 as usize)?.as_mut()
    }

    fn backend(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(id.0 as usize)?.as_ref()
    }

    /// All that is still on the list, frozen entries too.
    fn kept(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter().flatten().filter(|b| !b.dropped)
    }

    /// How many backends are listed, not told as draining or gone, and not ejected.
    pub fn sound(&self) -> usize {
        self.kept().filter(|b| b.told.is_none() && !b.shut(self.now)).count()
    }

    pub fn reported(&mut self, id: BackendId, report: Option<Report>) {
        let now = self.now;
        if let (Some(b), Some(report)) = (self.at(id), report) {
            b.report = Some((report, now));
            if let Some(n) = report.in_flight {
                let held = n / b.entry.size.max(1e-9);
                self.gauge.held += 0.1 * (held - self.gauge.held);
            }
            if let Some(busy) = report.utilisation {
                self.gauge.busy += 0.1 * (busy.clamp(0.0, 1.0) - self.gauge.busy);
            }
        }
    }

    pub fn probed(&mut self, id: BackendId, fate: Fate) {
        if matches!(fate, Fate::NoLink | Fate::Broken) {
            self.judge(id, 0.5);
        }
    }

    /// Evidence against a backend. Past the bound it is ejected, for longer each time till a posting settles;
    /// in between it comes back with the little weight that doubt leaves it.
    fn judge(&mut self, id: BackendId, weight: f64) {
        let now = self.now;
        let Some(b) = self.at(id) else { return };
        b.doubt += (1.0 - b.doubt) * weight;
        if b.doubt > 0.6 && b.shut_until <= now {
            b.shut_for = (b.shut_for + b.shut_for).max(FIRST_SHUT).min(LAST_SHUT);
            b.shut_until = now + b.shut_for;
            self.ejections += 1;
            self.count();
        }
    }

    /// True where the posting was lost alone: the backend answered what was sent there in the second half of
    /// its wait. That is one more failure, but speaks of no queue (incident rf678eb).
    fn came_back(&mut self, id: BackendId, scheme: SchemeId, sent: Micros, fate: Fate, took: Micros) -> bool {
        let (mean, mut usual) = (self.took[scheme.0].mean(), self.gauge.fails);
        let now = self.now;
        let Some(b) = self.at(id) else { return false };
        let lost = fate == Fate::TimedOut && b.answered > sent + took.times(0.5);
        if !lost && matches!(fate, Fate::Settled | Fate::TimedOut) {
            let ratio = (took.0 as f64 / mean.unwrap_or(took.0 as f64).max(1.0)).min(8.0);
            b.pace += 0.2 * (ratio - b.pace);
            b.paced = now;
        }
        if sent < b.entry.started {
            return lost; // what an earlier process did says nothing of this one
        }
        if lost || matches!(fate, Fate::Settled | Fate::Errored | Fate::Broken) {
            let failed = f64::from(u8::from(fate != Fate::Settled));
            usual += 0.02 * (1.0 - b.doubt) * (failed - usual);
        }
        match fate {
            Fate::Settled => {
                b.flow += 1.0;
                b.answered = b.answered.max(sent);
                b.doubt *= 0.6;
                (b.shut_until, b.shut_for) = (now, Micros(0));
                self.took[scheme.0].add(took.0);
            }
            // Two in a row eject: a silent backend must not shut small windows for long (incident i4e8cc2).
            Fate::NoLink | Fate::TimedOut if !lost => self.judge(id, 0.45),
            // Unless failures are usual: what strikes all alike must not leave out one after the other.
            Fate::Errored | Fate::Broken | Fate::TimedOut => {
                self.judge(id, 0.45 * (USUAL / usual).clamp(0.1, 1.0))
            }
            Fate::TurnedAway => {
                b.leaves = now;
                self.judge(id, 0.2)
            }
            _ => {}
        }
        self.gauge.fails = usual;
        lost
    }

    /// Own postings out, but for those long past their SLA time or at an ejected backend: what is stuck
    /// somewhere must not use up the window.
    fn in_flight(&self) -> f64 {
        let now = self.now;
        let counts = |s: &State, o: &Posting| {
            now - o.sent < self.terms.schemes[s.scheme.0].sla.times(1.5)
                && !(self.gauge.ejecting && self.backend(o.to).is_some_and(|b| b.shut(now)))
        };
        self.txns.values().filter(|s| s.out.is_some_and(|o| counts(s, &o))).count() as f64
    }

    /// The figures that are kept from beat to beat.
    fn count(&mut self) {
        let (mut listed, mut ill, mut flow, mut size, mut cores) = (0, 0, 0.0, 0.0, 0.0);
        for b in self.kept() {
            let warmth = b.warmth(&self.terms, self.now);
            // Who is told gone and may take nothing holds up no floor, and hides no illness of those that are
            // left (incident join+vast).
            if b.told.is_none() || self.terms.drain_grace.is_none() {
                (listed, ill) = (listed + 1, ill + usize::from(b.shut(self.now)));
                cores += warmth * b.entry.size.clamp(1.0, 4.0);
            }
            if b.told.is_none() && warmth >= 1.0 {
                (flow, size) = (flow + b.flow, size + b.entry.size);
            }
        }
        // This agent's part of what overloads nobody: with less it learns too little to recover. Sizes only
        // compare, so they stand for cores but within bounds.
        self.gauge.least = 1.2 * cores / self.terms.agents.max(1) as f64;
        self.gauge.flow = if size > 0.0 { flow / size / 2.0 } else { 0.0 };
        let all = self.kept().count().max(1) as f64;
        self.gauge.crowd = self.kept().map(|b| b.crowd).sum::<f64>() / all;
        self.gauge.thin = self.terms.agents as usize > listed;
        // When more than half looks ill, the observer or something shared is the likelier cause: all stay.
        self.gauge.ejecting = 2 * ill <= listed;
    }

    /// Every posting that comes back moves the window: up while it is used and answers come with ease, down
    /// as they near the SLA time. Many agents doing so keep the backends' queues short without talking.
    fn ease(&mut self, scheme: SchemeId, fate: Fate, took: Micros) {
        let part = took.over(self.terms.schemes[scheme.0].sla);
        let strain = match fate {
            Fate::Settled => part.min(1.2).powi(2),
            Fate::TimedOut | Fate::TurnedAway => 0.8,
            _ => return,
        };
        self.gauge.stress += 0.1 * (strain - self.gauge.stress);
        if fate != Fate::Settled {
            self.gauge.busy += 0.1 * (1.0 - self.gauge.busy); // who does not answer reports no room
        }
        // Where even the quicker answers take much of the SLA time, that is work, not waiting.
        let quick = Micros(self.took[scheme.0].quantile(0.25).unwrap_or(0));
        let quick = quick.over(self.terms.schemes[scheme.0].sla);
        self.gauge.rest += 0.05 * (quick * quick - self.gauge.rest);
        // A thin agent knows few backends, and the slow among them mark its mean. What they report to have
        // left is told to all alike: as long as that is much, waiting is not why answers are late.
        let room = if self.gauge.thin { (1.0 - self.gauge.busy / FULL).max(0.0) } else { 0.0 };
        let aim = (QUICK * self.gauge.rest).clamp(EASE, 1.5 * EASE) * (1.0 + ROOM * room);
        if self.terms.peers {
            let wide = if self.terms.kept_promises > 0.0 { aim } else { FAIR * aim };
            let pull = ((wide - self.rates.stress()) / wide).clamp(-1.0, 1.0);
            self.gauge.calm = pull > 0.0 && self.terms.kept_promises == 0.0;
            let out = self.in_flight();
            let w = &mut self.gauge.wide;
            if pull < 0.0 || w.in_use(out) {
                w.size = (w.size + 0.2 * w.slow() * pull).max(self.gauge.least);
            }
        }
        let pull = ((aim - self.gauge.stress) / aim).clamp(-1.0, 1.0);
        if pull < 0.0 || self.gauge.window.in_use(self.in_flight()) {
            self.gauge.opening &= pull > 0.0;
            // While it opens, an answer that comes at once doubles it: waiting is then far off, and clients that
            // ask again without a pause would be declined by the thousand.
            let w = &mut self.gauge.window;
            let step = match self.gauge.opening {
                true if part < AT_ONCE => w.size,
                true => 0.5 * w.slow(),
                false => 0.2 * w.slow(),
            };
            w.size = (w.size + step * pull).max(self.gauge.least);
        }
    }

    // ---- The rules --------------------------------------------------------------------------------------

    /// The one gate. Each line keeps one rule; no path around it exists.
    fn may_post(&self, txn: TxnRef, id: BackendId) -> bool {
        let (Some(s), Some(b)) = (self.txns.get(&txn), self.backend(id)) else { return false };
        // Rule 1: nothing for a closed or overdue txn, or beyond the agreed number of postings.
        if s.closed || self.now + self.terms.tick >= s.expiry || s.postings >= self.terms.max_postings {
            return false;
        }
        // Rule 2: never two postings out; what may have run goes again only where a repeat does no harm.
        let row = &self.terms.schemes[s.scheme.0];
        let harmless = match (s.ran, row.kind) {
            (None, _) | (_, Kind::Repeatable) => true,
            (_, Kind::OnceOnly) => false,
            (Some((first, sent)), Kind::Referenced) => {
                let first = self.backend(first);
                self.now + MARGIN < sent + row.window
                    && match row.group {
                        Group::All => true,
                        Group::Zone => first.is_some_and(|f| f.entry.zone == b.entry.zone),
                        Group::Cell => first.is_some_and(|f| f.entry.cell == b.entry.cell),
                    }
            }
        };
        // Rule 3 binds frozen entries too: the freeze never outlives the grace where there is one.
        let drained = match (b.told, self.terms.drain_grace) {
            (Some(told), Some(grace)) => self.now + MARGIN >= told + grace.times(0.8),
            _ => false,
        };
        s.out.is_none() && harmless && !drained && !b.dropped && self.cold_room(b)
    }

    /// Rule 4: while a backend is cold, this agent's postings within the span stay under what a warm one of
    /// that size settles for it, times the share warmed up, times half the multiple (the rest is for chance).
    /// It goes by what is settled: under overload more is sent than a backend can do. One of a thousand
    /// agents has far less than one posting: it posts by lot, drawn anew each span. The parts of all agents
    /// add up to the budget, however many they are and however uneven their traffic.
    fn cold_room(&self, b: &Backend) -> bool {
        if b.warmth(&self.terms, self.now) >= 1.0 {
            return true;
        }
        let since = self.now - self.terms.fall_span - MARGIN;
        let spent = b.cold_sent.iter().filter(|&&at| at > since).count() as f64;
        spent + b.lot < self.cold_part(b)
    }

    /// This agent's part of what all may post to a cold backend within the span. Where nothing was settled
    /// yet, all agents together may send one posting.
    fn cold_part(&self, b: &Backend) -> f64 {
        let warmth = b.warmth(&self.terms, self.now);
        let part = self.terms.fall_multiple / 2.0 * warmth * self.gauge.flow * b.entry.size;
        part.max(1.0 / self.terms.agents.max(1) as f64)
    }

    /// Cold, and one of so many agents' that each has less than one posting of it.
    fn by_lot(&self, b: &Backend) -> bool {
        b.warmth(&self.terms, self.now) < 1.0 && self.cold_part(b) < 1.0
    }

    fn post(&mut self, txn: TxnRef, id: BackendId, out: &mut dyn Outlet) -> bool {
        if !self.may_post(txn, id) {
            return false;
        }
        let (now, cold) = (self.now, self.backend(id).is_some_and(|b| b.warmth(&self.terms, self.now) < 1.0));
        let trial = self.chance.rand_float() < TRIAL;
        let keep = if self.terms.peers { self.keep.min(self.rates.keep()) } else { self.keep };
        let wait = self.patience(self.txns.get(&txn).map_or(SchemeId(0), |s| s.scheme));
        let (Some(s), Some(b)) = (self.txns.get_mut(&txn), self.backends[id.0 as usize].as_mut()) else {
            return false;
        };
        let row = &self.terms.schemes[s.scheme.0];
        // What is sent on a connection that was dropped unseen gets no answer: one that stood unused for longer
        // than such were seen to last is closed first, but for a trial now and then.
        let mut stood = if b.out.is_empty() { now - b.active } else { Micros(0) };
        let trial = trial && row.kind == Kind::Repeatable && !b.stale;
        if b.out.is_empty() && (b.stale || stood > keep) && !trial {
            out.trim(id);
            out.count("links_renewed");
            (b.stale, stood) = (false, Micros(0));
        }
        if self.terms.may_cancel {
            out.wake_in(wait);
            if row.overdue == 0.0 {
                out.wake_in(s.taken + row.sla - HASTE - now);
            }
        }
        s.out = Some(Posting { number: s.postings, to: id, sent: now, stood, overdue: false, silent: false });
        match b.entry.standing {
            _ if b.frozen.is_some() => out.count("postings_frozen"),
            Standing::Draining => out.count("postings_draining"),
            Standing::Ready if cold => out.count("postings_cold"),
            _ => {}
        }
        if b.shut(now) {
            out.count("postings_ejected");
        }
        s.postings += 1;
        s.last = Some(id);
        (b.used, b.active) = (now, now);
        b.out.push((txn, now));
        if cold {
            b.cold_sent.push(now);
        }
        out.post(txn, id, s.expiry);
        true
    }

    // ---- The pick ---------------------------------------------------------------------------------------

    /// How idle a backend is by its last report: one minus its utilisation; txns in hand, where told, count
    /// alike, held against what all hold for their size. The older it is, the less it is trusted.
    fn idle(&self, b: &Backend) -> Option<(f64, f64)> {
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

    /// Weight of each backend: what it reports to have left, for its size, held against its pace with us.
    /// The unreported count as the mean, and as a report ages it fades towards the mean, so that one that is
    /// late or stuck pins nothing. A cold one is capped at the mean weight.
    fn weights(&self, all: &[&Backend], scheme: SchemeId) -> Vec<f64> {
        let idle: Vec<Option<(f64, f64)>> = all.iter().map(|b| self.idle(b)).collect();
        let known = idle.iter().flatten().count().max(1) as f64;
        let mean = idle.iter().flatten().map(|x| x.0).sum::<f64>() / known;
        let expected = self.took[scheme.0].mean().unwrap_or(f64::MAX);
        let weigh = |(b, idle): (&&Backend, &Option<(f64, f64)>)| {
            let left = idle.map_or(mean, |(idle, trust)| mean + (idle - mean) * trust).max(FLOOR);
            let waiting = b.out.iter().map(|o| (self.now - o.1).0).max().unwrap_or(0) as f64 / expected;
            let faded = 1.0 + (b.pace - 1.0) / (1.0 + (self.now - b.paced).over(PACE_FADE));
            let near = if b.entry.zone == self.terms.zone { 1.0 } else { AFAR };
            let least = if self.gauge.thin { 1.0 } else { 0.6 };
            let pace = faded.max(waiting / 3.0).clamp(least, 20.0);
            b.entry.size * left * near * ((1.0 - b.doubt) / pace).powi(2)
        };
        // Where weights move with load, they tell of all backends alike who holds more than the rest.
        let usual = self.gauge.crowd + 0.5;
        let weights: Vec<f64> =
            all.iter().zip(&idle).map(|(b, idle)| weigh((b, idle)) * usual / (usual + b.crowd)).collect();
        let mean = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
        let capped =
            |(w, b): (&f64, &&Backend)| if b.warmth(&self.terms, self.now) < 1.0 { w.min(mean) } else { *w };
        weights.iter().zip(all).map(capped).collect()
    }

    /// The habit: an agent sends to few members, and adds one, drawn like all else, whenever they are all
    /// busy: hold a posting of ours or are ejected. One that drains, goes or is far slower than its peers
    /// makes room: few good ones are sooner known than all the bad ones.
    fn enlist(&mut self, txn: TxnRef) {
        let Some((scheme, last)) = self.txns.get(&txn).map(|s| (s.scheme, s.last)) else { return };
        let stays =
            |b: &Backend| !b.dropped && (b.told.is_none() || b.frozen.is_some() || b.leaves > self.now);
        let mut members = std::mem::take(&mut self.members);
        members.retain(|&id| self.backend(id).is_some_and(|b| stays(b) && b.pace < SLOW));
        let free = |id: &BackendId| {
            let free = self.backend(*id).is_some_and(|b| b.out.is_empty() && !b.shut(self.now));
            free && Some(*id) != last && self.may_post(txn, *id)
        };
        let mut found = None;
        if members.len() < FEW || !members.iter().any(free) {
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

    /// A newcomer is warm: it takes a member's place at as many agents as its size asks for. Else all would let
    /// it go in the instant in which lots end, and meet it again only as their members are all busy.
    fn welcome(&mut self, id: BackendId) {
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
    fn pick(&mut self, txn: TxnRef) -> Option<BackendId> {
        self.enlist(txn);
        let s = self.txns.get(&txn)?;
        let scheme = s.scheme;
        let mut open: Vec<&Backend> = self.members.iter().filter_map(|&id| self.backend(id)).collect();
        open.retain(|b| self.may_post(txn, b.entry.backend));
        // A lot that fell to this agent is its part of a cold backend: left unused, the fleet has it idle.
        let mine = |b: &&Backend| b.told.is_none() && !b.shut(self.now) && self.by_lot(b);
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
        let mut weights = self.weights(&open, scheme);
        let mean = open.iter().map(|b| b.out.len() as f64).sum::<f64>() / open.len().max(1) as f64;
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

    /// How long an answer may take till it is overdue.
    fn patience(&self, scheme: SchemeId) -> Micros {
        let most = self.terms.schemes[scheme.0].sla.times(0.6);
        self.took[scheme.0].quantile(PATIENT).map_or(most, |usual| Micros(usual).min(most))
    }

    /// Looks after postings whose answers are overdue. A repeatable one on a connection in doubt is withdrawn, to be
    /// sent elsewhere; silence far beyond the usual, twice in a row, says how long unused connections last.
    fn overdue(&mut self, out: &mut dyn Outlet) {
        let now = self.now;
        let mut due = Vec::new();
        for (&txn, s) in &self.txns {
            let (row, wait) = (&self.terms.schemes[s.scheme.0], self.patience(s.scheme));
            // Where an answer after the SLA time is worth nothing, what has none by then is given up while that is
            // early, and its work is withdrawn, if a decline is harmless.
            let over = row.overdue == 0.0 && now >= s.taken + row.sla - HASTE && s.harmless(row);
            let Some(o) = s.out else { continue };
            let step = if o.overdue { wait.times(SILENT) } else { wait };
            if !s.closed && over || !o.silent && now - o.sent >= step {
                due.push((txn, o, wait, !s.closed && over, row.kind == Kind::Repeatable));
            }
        }
        for (txn, o, wait, over, again) in due {
            if over {
                out.count("unserved_late");
                self.answer(txn, out);
                self.txn(txn).into_iter().for_each(|t| t.left(out));
                continue;
            }
            let Some(mine) = self.txns.get_mut(&txn).and_then(|s| s.out.as_mut()) else { continue };
            (mine.overdue, mine.silent) = (true, o.overdue);
            let silences = self.silences;
            let Some(b) = self.at(o.to).filter(|b| b.answered <= o.sent) else { continue };
            if !o.overdue {
                out.wake_in(wait.times(SILENT - 1.0));
                let doubt = b.doubt > 0.1 || o.stood > Micros(0) && silences > 0;
                if again && doubt && b.crowd < 1.0 && self.gauge.spare >= 1.0 {
                    out.count("withdrawn_silent");
                    out.cancel(txn, o.number);
                }
                continue;
            }
            b.stale = true;
            if o.stood > Micros(0) && b.crowd < 2.0 {
                self.silences += 1;
                if self.silences > 1 {
                    self.keep = self.keep.min(o.stood.times(0.7));
                }
            }
        }
    }

    fn answer(&mut self, txn: TxnRef, out: &mut dyn Outlet) {
        let Some(s) = self.txns.get_mut(&txn).filter(|s| !s.closed) else { return };
        s.closed = true;
        if s.harmless(&self.terms.schemes[s.scheme.0]) {
            out.decline(txn, self.terms.retry_after.map(|most| most.min(Micros::ms(50))));
        } else {
            out.reverse(txn);
        }
        if s.out.is_none() {
            self.txns.remove(&txn);
        }
    }

    // ---- Timers -----------------------------------------------------------------------------------------

    pub fn wake(&mut self, out: &mut dyn Outlet) {
        if self.terms.may_cancel {
            self.overdue(out);
        }
        let now = self.now;
        if now < self.beat_at {
            return;
        }
        self.beat_at = now + BEAT;
        out.wake_in(BEAT);
        (0..std::mem::take(&mut self.ejections)).for_each(|_| out.count("ejections"));
        if self.watch.due(now, self.terms.ask_within) {
            out.watch();
        }
        self.count();
        self.rates.fade(BEAT, self.gauge.stress, self.keep);
        if self.terms.peers
            && self.terms.agents > 1
            && self.chance.rand_float() < TELLS * BEAT.over(Micros::ms(1_000))
        {
            let other = 1 + (self.chance.rand_float() * (self.terms.agents - 1) as f64) as u32;
            out.tell(PeerId((self.terms.me.0 + other) % self.terms.agents), &self.rates.told());
        }
        let took = self.took.iter().filter_map(Tally::mean).fold(BEAT.0 as f64, f64::max);
        let (out_now, part) = (self.in_flight(), BEAT.0 as f64 / took);
        self.gauge.window.pass(out_now, part);
        self.gauge.wide.pass(out_now, part);
        let unused = |b: &Backend| b.out.is_empty() && now - b.used > UNUSED;
        if self.members.len() > FEW
            && let Some(at) = self.members.iter().position(|&id| self.backend(id).is_none_or(unused))
        {
            self.members.remove(at);
        }
        let fade = 1.0 - BEAT.over(self.terms.fall_span + self.terms.fall_span);
        let mut fresh = Vec::new();
        for b in self.backends.iter_mut().flatten() {
            b.flow *= fade;
            if b.turned_warm(&self.terms, now) {
                fresh.push(b.entry.backend);
            }
            if b.lot_until == Micros(0) {
                // Agents hear of a newcomer together: each begins its spans at a moment of its own.
                b.lot_until = now + self.terms.fall_span.times(self.chance.rand_float());
            } else if b.lot_until <= now {
                (b.lot, b.lot_until) = (self.chance.rand_float(), now + self.terms.fall_span);
            }
            b.cold_sent.retain(|&at| now - at <= self.terms.fall_span + MARGIN);
            if b.frozen.is_some_and(|since| now - since > GUARD_HOLD) {
                (b.frozen, b.dropped) = (None, true);
            }
        }
        if self.gauge.thin {
            fresh.into_iter().for_each(|id| self.welcome(id));
        }
        let members = self.members.iter().filter_map(|id| self.backends.get(id.0 as usize)?.as_ref());
        for id in self.asking.due(members, &self.terms, now) {
            self.at(id).into_iter().for_each(|b| b.probed = now);
            out.probe(id);
        }
    }
}

impl Txn<'_> {
    /// Whose it is. What a tenant sends beyond its share is told from the rest by chance: one in so many, as all of
    /// its tries at all agents go over the quota.
    pub fn of(self, tenant: Option<TenantId>) -> Self {
        let Txn { desk, txn } = self;
        let Some(TenantId(tenant)) = tenant else { return Txn { desk, txn } };
        desk.rates.add(tenant);
        let all = desk.rates.mean(tenant) * desk.terms.agents as f64;
        let quota = desk.terms.quotas.get(tenant).copied().unwrap_or(f64::MAX);
        let fair = desk.terms.peers && desk.chance.rand_float() * all < quota;
        desk.txns.get_mut(&txn).into_iter().for_each(|s| s.fair = fair);
        Txn { desk, txn }
    }

    /// Sends the txn on its way, or answers it at once where the window is used up.
    pub fn route(self, out: &mut dyn Outlet) {
        let Txn { desk, txn } = self;
        let fair = desk.txns.get(&txn).is_some_and(|s| s.fair);
        let window = if fair { desk.gauge.wide } else { desk.gauge.window };
        if !(fair && desk.gauge.calm) && !window.has_room(desk.in_flight()) {
            out.count("unserved_window");
            return desk.answer(txn, out);
        }
        Txn { desk, txn }.send(out);
    }

    fn send(self, out: &mut dyn Outlet) {
        let Txn { desk, txn } = self;
        let found = desk.pick(txn);
        if !found.is_some_and(|id| desk.post(txn, id, out)) {
            let over = desk.txns.get(&txn).is_some_and(|s| desk.now + desk.terms.tick >= s.expiry);
            out.count(if over { "unserved_expired" } else { "unserved_no_backend" });
            desk.answer(txn, out);
        }
    }

    /// A posting came back; `closed` says that the client has its answer.
    pub fn returned(self, posting: u32, fate: Fate, took: Micros, closed: bool, out: &mut dyn Outlet) {
        let Txn { desk, txn } = self;
        let now = desk.now;
        let Some(s) = desk.txns.get_mut(&txn) else { return };
        let Some(Posting { to: id, sent, stood, silent, .. }) = s.out.filter(|o| o.number == posting) else {
            return;
        };
        s.out = None;
        let scheme = s.scheme;
        if let Some(b) = desk.backends[id.0 as usize].as_mut() {
            b.out.retain(|o| o.0 != txn);
            b.active = now;
        }
        if !fate.never_ran() {
            s.ran = s.ran.or(Some((id, sent)));
        }
        s.closed |= closed || fate == Fate::Settled;
        let over = s.closed;
        let ejected = desk.gauge.ejecting && desk.backend(id).is_some_and(|b| b.shut(now));
        if fate == Fate::Settled && stood > Micros(0) {
            desk.silences = 0;
            if stood > desk.keep {
                desk.keep = stood + stood.times(0.25);
            }
        }
        let fate = if fate == Fate::Withdrawn && silent { Fate::TimedOut } else { fate };
        let lost = stood.times(2.0) > desk.keep && fate == Fate::TimedOut;
        let lost = lost || desk.came_back(id, scheme, sent, fate, took);
        if !ejected && !lost {
            desk.ease(scheme, fate, took);
        }
        // Another posting is paid for from what the traffic saved up, so that failures feed no overload.
        let price = match fate {
            Fate::TimedOut | Fate::TurnedAway => 1.0,
            _ => 0.3,
        };
        if over {
            desk.txns.remove(&txn);
        } else if fate.ends() || desk.gauge.spare < price {
            // What one backend can't use none can: such a txn must not go round and cost them all.
            out.count(if fate.ends() { "unserved_unusable" } else { "unserved_no_budget" });
            desk.answer(txn, out);
        } else {
            desk.gauge.spare -= price;
            Txn { desk: &mut *desk, txn }.send(out);
        }
    }

    /// The client left: nothing is owed any more, and work still waiting is withdrawn.
    pub fn left(self, out: &mut dyn Outlet) {
        let Txn { desk, txn } = self;
        let Some(s) = desk.txns.get_mut(&txn) else { return };
        s.closed = true;
        match s.out {
            Some(o) if desk.terms.may_cancel => out.cancel(txn, o.number),
            Some(_) => {}
            None => drop(desk.txns.remove(&txn)),
        }
    }
}
