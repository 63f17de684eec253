//! All decisions of one balancer. A front opens a `Balancer` with its `Terms` (units.rs) and a seed, sets its
//! `clock`, and calls it: `listed`/`list_failed`/`list_moved` for the list, `reported`/`probed`/`heard` for
//! load, `wake` when a timer is due, and `take` for a new txn, which gives a `Txn` handle; `of`, `route`,
//! `returned` and `left` are all that can happen to it. What the balancer does goes out through the front's
//! `Outlet`. Every posting passes `Balancer::post`, and there `may_post`, where the four rules are kept.
use std::collections::BTreeSet;

use crate::book::*;
pub use crate::desk::{Balancer, Txn};
use crate::tally::Tally;
use crate::units::*;

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
const QUICK: f64 = 4.0; // the aim is this many times the square of the quicker quarter, where that is more
const FULL: f64 = 0.9; // reported utilisation from which a thin agent lets nothing more through
const ROOM: f64 = 3.0; // how far what is left below that raises its aim
const FEW: usize = 2; // members an agent starts with, and keeps however little it has to send
const SLOW: f64 = 2.0; // a member this many times slower than its peers makes room for another
const UNUSED: Micros = Micros::ms(10_000); // a member above those that got nothing for this long leaves
const FAIR: f64 = 2.5; // the aim for txns within their tenants' shares is this many times that of the rest
const CROWD: f64 = 3.0; // txns held a core by the list above which nobody is at ease
const PATIENT: f64 = 0.9; // part of answers that come before one is overdue
const SILENT: f64 = 3.0; // after so many times that wait, nothing is thought to come
const HASTE: Micros = Micros::ms(10); // so long before its SLA time a txn is given up
const TRIAL: f64 = 0.03; // part of repeatable txns that try a connection which stood idle for long
const WELL: f64 = 2.0; // own postings beyond twice the mean that make a backend with a door crowded
const TELLS: f64 = 10.0; // messages a second, each to one agent drawn at random
const MARGIN: Micros = Micros::ms(50); // kept clear of every limit in time

impl Balancer {
    pub fn take(&mut self, txn: TxnRef, scheme: SchemeId, expiry: Micros) -> Txn<'_> {
        self.txns.insert(txn, State::new(scheme, expiry, self.now));
        self.gauge.spare = (self.gauge.spare + 0.1).min(10.0);
        self.asking.earn(&self.terms);
        Txn { desk: self, txn }
    }

    // ---- The list ---------------------------------------------------------------------------------------

    /// A refresh arrived. An older version, or a full list without entries, changes nothing.
    pub fn listed(&mut self, how: Refresh, version: Generation, entries: &[Entry], out: &mut dyn Outlet) {
        if self.beat_at == Micros(0) {
            self.beat_at = self.now + BEAT;
            self.alarm(self.beat_at, out);
        }
        let nobody = entries.is_empty();
        self.watch.heard(how == Refresh::Restored, nobody, self.now, self.chance.rand_float());
        if version < self.generation || (how == Refresh::Full && nobody) {
            return;
        }
        self.generation = version;
        let mut turned_gone = Vec::new();
        let (thin, grace, now) = (self.gauge.thin, self.terms.drain_grace.unwrap_or_default(), self.now);
        for entry in entries {
            // All hear of it at once: each goes at a moment of its own, while the grace lasts.
            let spread = thin && entry.standing == Standing::Draining;
            let part = if spread { 0.35 + 0.35 * self.chance.rand_float() } else { 0.0 };
            let b = self.relist(entry);
            match entry.standing {
                Standing::Ready => (b.told, b.frozen, b.dropped, b.turned) = (None, None, false, false),
                Standing::Draining if b.told.is_none() => {
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
            // Windows begin a little over their floor.
            self.gauge.window.size = 1.33 * self.gauge.least;
            self.gauge.wide.size = self.wider() * self.gauge.window.size;
        }
    }

    /// The expiry guard: few entries turning gone leave the list, many at once are frozen on it.
    fn guard(&mut self, turned_gone: &[BackendId], out: &mut dyn Outlet) {
        let (now, doors) = (self.now, self.terms.doors);
        for &id in turned_gone {
            if let Some(b) = self.at(id).filter(|b| !b.dropped && b.frozen.is_none() && !(doors && b.turned))
            {
                b.turned = true;
                b.told = b.told.or((!doors).then_some(now));
                self.gone_lately.push((now, id));
            }
        }
        self.gone_lately.retain(|&(at, _)| now - at <= GUARD_WINDOW);
        let lately = self.gone_lately.clone();
        let listed = self.kept().count();
        let freeze = lately.len() as f64 > GUARD_FRACTION * listed as f64;
        for &(_, id) in &lately {
            match self.at(id).filter(|b| b.turned && !b.dropped) {
                Some(b) if freeze => b.frozen = b.frozen.or(Some(now)),
                Some(b) => b.dropped = true,
                None => {}
            }
        }
        if freeze && !turned_gone.is_empty() {
            out.note(&format!("{} of {listed} entries turned gone: removals frozen", lately.len()));
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

    /// True where the posting was lost alone: the backend answered what was sent in the second half of its
    /// wait. That is one more failure, but speaks of no queue (rf678eb).
    fn came_back(&mut self, id: BackendId, scheme: SchemeId, sent: Micros, fate: Fate, took: Micros) -> bool {
        let (mean, mut usual, now) = (self.took[scheme.0].mean(), self.gauge.fails, self.now);
        let Some(b) = self.at(id) else { return false };
        let lost = fate == Fate::TimedOut && b.answered > sent + took.times(0.5);
        if !lost && matches!(fate, Fate::Settled | Fate::TimedOut) {
            b.paces((took.0 as f64 / mean.unwrap_or(took.0 as f64).max(1.0)).min(8.0), now);
        }
        if sent < b.entry.started {
            return lost; // what an earlier process did says nothing of this one
        }
        if lost || matches!(fate, Fate::Settled | Fate::Errored | Fate::Broken) {
            usual += 0.02 * (1.0 - b.doubt) * (f64::from(fate != Fate::Settled) - usual);
        }
        match fate {
            Fate::Settled => {
                (b.flow, b.answered, b.doubt) = (b.flow + 1.0, b.answered.max(sent), b.doubt * 0.6);
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

    /// Own postings out. What is stuck, long past its SLA time or at an ejected backend, uses up no window.
    fn in_flight(&self) -> f64 {
        let now = self.now;
        let counts = |s: &&State| {
            let recent = |o: &Posting| now - o.sent < self.terms.schemes[s.scheme.0].sla.times(1.5);
            let shut = |o: &Posting| self.backend(o.to).is_some_and(|b| b.shut(now));
            s.out.is_some_and(|o| recent(&o) && !(self.gauge.ejecting && shut(&o)))
        };
        self.txns.values().filter(counts).count() as f64
    }

    /// The figures that are kept from beat to beat.
    fn count(&mut self) {
        let (mut listed, mut ill) = (0, 0);
        let (mut flow, mut size, mut cores, mut crowd) = (0.0, 0.0, 0.0, 0.0);
        for b in self.kept() {
            let warmth = b.warmth(&self.terms, self.now);
            // Who is told gone and may take nothing holds up no floor, and hides no illness of the rest.
            if b.told.is_none() || self.terms.drain_grace.is_none() {
                (listed, ill) = (listed + 1, ill + usize::from(b.shut(self.now)));
                (cores, crowd) = (cores + warmth * b.entry.size.clamp(1.0, 4.0), crowd + b.crowd);
            }
            if b.told.is_none() && warmth >= 1.0 {
                (flow, size) = (flow + b.flow, size + b.entry.size);
            }
        }
        // This agent's part of what overloads nobody: with less it learns too little to recover. Sizes only
        // compare, so they stand for cores but within bounds.
        self.gauge.least = 1.2 * cores / self.terms.agents.max(1) as f64;
        self.gauge.flow = if size > 0.0 { flow / size / 2.0 } else { 0.0 };
        self.gauge.crowd = crowd / listed.max(1) as f64;
        self.gauge.thin = self.terms.agents as usize > listed;
        // When more than half looks ill, something shared is the likelier cause: all stay.
        self.gauge.ejecting = 2 * ill <= listed;
    }

    /// How much more strain txns within shares may bring than an aim. Where the goal keeps promises they have
    /// that aim itself, and what is beyond has less.
    fn wider(&self) -> f64 {
        if self.terms.kept_promises > 0.0 { 1.0 } else { FAIR }
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
        let quick = self.took[scheme.0].quantile(0.25).unwrap_or(0);
        let quick = Micros(quick).over(self.terms.schemes[scheme.0].sla);
        self.gauge.rest += 0.05 * (quick * quick - self.gauge.rest);
        // A thin agent knows few backends, and the slow among them mark its mean. What they report to have
        // left is told to all alike: as long as that is much, waiting is not why answers are late.
        let room = if self.gauge.thin { (1.0 - self.gauge.busy / FULL).max(0.0) } else { 0.0 };
        let mut aim = (QUICK * self.gauge.rest).clamp(EASE, 1.5 * EASE) * (1.0 + ROOM * room);
        let (out, least) = (self.in_flight(), self.gauge.least);
        if self.terms.peers {
            let wide = self.wider() * aim;
            let pull = ((wide - self.rates.stress()) / wide).clamp(-1.0, 1.0);
            let calm = pull > 0.0 && self.rates.known() && self.gauge.crowd < CROWD;
            self.gauge.calm = calm && self.wider() > 1.0;
            self.gauge.wide.moves(out, 0.2, pull, least);
            aim *= self.wider() / FAIR;
        }
        let pull = ((aim - self.gauge.stress) / aim).clamp(-1.0, 1.0);
        // While it opens, an answer that comes at once doubles it: waiting is then far off, and clients that
        // ask again without a pause would be declined by the thousand.
        let step = match self.gauge.opening {
            true if part < AT_ONCE => 1.0 + self.gauge.window.size,
            true => 0.5,
            false => 0.2,
        };
        if self.gauge.window.moves(out, step, pull, least) {
            self.gauge.opening &= pull > 0.0;
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
        let ends = b.told.zip(self.terms.drain_grace).map(|(told, grace)| told + grace.times(0.8));
        let drained = ends.is_some_and(|ends| self.now + MARGIN >= ends);
        s.out.is_none() && harmless && !drained && !b.dropped && self.cold_room(b)
    }

    /// Rule 4: while a backend is cold, this agent's postings within the span stay under what a warm one of
    /// that size settles for it (sent is more under overload), times the share warmed up, times half the
    /// multiple (the rest is for chance). One of a thousand agents has far less than one posting: it posts by
    /// lot, drawn anew each span. The parts of all agents add up to the budget, however uneven their traffic.
    fn cold_room(&self, b: &Backend) -> bool {
        if self.terms.doors || b.warmth(&self.terms, self.now) >= 1.0 {
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

    fn post(&mut self, txn: TxnRef, id: BackendId, out: &mut dyn Outlet) -> bool {
        if !self.may_post(txn, id) {
            return false;
        }
        let (now, trial) = (self.now, self.chance.rand_float() < TRIAL);
        let keep = if self.terms.peers { self.trust.keep.min(self.rates.keep()) } else { self.trust.keep };
        let (Some(s), Some(b)) = (self.txns.get_mut(&txn), self.backends[id.0 as usize].as_mut()) else {
            return false;
        };
        let (row, cold) = (&self.terms.schemes[s.scheme.0], b.warmth(&self.terms, now) < 1.0);
        // What is sent on a connection that was dropped unseen gets no answer: one that stood for longer than
        // such were seen to last is closed first, but for a trial now and then.
        let mut stood = b.stood(now);
        let trial = trial && row.kind == Kind::Repeatable && !b.stale;
        if b.out.is_empty() && (b.stale || stood > keep) && !trial {
            out.trim(id);
            out.count("links_renewed");
            (b.stale, stood) = (false, Micros(0));
        }
        s.out = Some(Posting { number: s.postings, to: id, sent: now, stood, overdue: false, silent: false });
        b.counts(cold, now).into_iter().for_each(|what| out.count(what));
        s.postings += 1;
        s.last = Some(id);
        b.posted(txn, now, cold);
        out.post(txn, id, s.expiry);
        let due = self.txns.get(&txn).map_or(NEVER, |s| self.due(s));
        self.alarm(due, out);
        true
    }

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

    /// Weight of each backend: what it reports to have left, for its size, against its pace with us. A report
    /// that ages, or is missing, fades to the mean: a late one pins nothing. A cold one has the mean at most.
    fn weights(&self, all: &[&Backend], scheme: SchemeId) -> Vec<f64> {
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
    fn enlist(&mut self, txn: TxnRef) {
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

    /// How long an answer may take till it is overdue.
    fn patience(&self, scheme: SchemeId) -> Micros {
        let most = self.terms.schemes[scheme.0].sla.times(0.6);
        self.took[scheme.0].quantile(PATIENT).map_or(most, |usual| Micros(usual).max(MARGIN).min(most))
    }

    /// When there is something to do about what is out.
    fn due(&self, s: &State) -> Micros {
        let step = match s.out {
            Some(o) if !o.overdue => o.sent + self.patience(s.scheme),
            Some(o) if !o.silent => o.sent + self.patience(s.scheme).times(SILENT),
            _ => NEVER,
        };
        step.min(given_up(s, &self.terms.schemes[s.scheme.0]))
    }

    /// Looks after what is out. A repeatable posting overdue on a connection in doubt is withdrawn, to go
    /// elsewhere; silence far beyond the usual, twice in a row, says how long unused connections last.
    fn overdue(&mut self, out: &mut dyn Outlet) {
        let now = self.now;
        let all: Vec<(TxnRef, SchemeId)> = self.txns.iter().map(|(&txn, s)| (txn, s.scheme)).collect();
        for (txn, scheme) in all {
            let (wait, row) = (self.patience(scheme), &self.terms.schemes[scheme.0]);
            let Some(s) = self.txns.get_mut(&txn) else { continue };
            let over = now >= given_up(s, row);
            let Some(o) = s.out.as_mut() else { continue };
            let Some(b) = self.backends[o.to.0 as usize].as_mut() else { continue };
            let mute = b.answered <= o.sent;
            let long = over && o.overdue || now - o.sent >= wait.times(SILENT);
            o.overdue |= now - o.sent >= wait;
            if mute && !o.silent && long {
                // Given up sooner, it speaks against the connection only where that had stood unused.
                (o.silent, b.stale, b.silent) = (true, !over || o.stood > Micros(0), o.stood);
                if self.terms.live_weights && b.crowd < 2.0 {
                    self.trust.silent(std::mem::take(&mut b.silent)); // no queue keeps it silent
                }
            }
            if over {
                out.count("unserved_late");
                self.answer(txn, out);
                self.txn(txn).into_iter().for_each(|t| t.left(out));
            }
        }
    }

    fn answer(&mut self, txn: TxnRef, out: &mut dyn Outlet) {
        let Some(s) = self.txns.get_mut(&txn).filter(|s| !s.closed) else { return };
        s.closed = true;
        if harmless(s, &self.terms.schemes[s.scheme.0]) {
            out.decline(txn, self.terms.retry_after.map(|most| most.min(Micros::ms(50))));
        } else {
            out.reverse(txn);
        }
        if s.out.is_none() {
            self.txns.remove(&txn);
        }
    }

    pub fn wake(&mut self, out: &mut dyn Outlet) {
        let now = self.now;
        self.wake_at = NEVER;
        self.overdue(out);
        self.beat(out);
        let steps = self.txns.values().map(|s| self.due(s));
        let next = steps.fold(self.beat_at, Micros::min);
        self.alarm(next.max(now + self.terms.tick), out);
    }

    fn beat(&mut self, out: &mut dyn Outlet) {
        let now = self.now;
        if now < self.beat_at {
            return;
        }
        self.beat_at = now + BEAT;
        (0..std::mem::take(&mut self.ejections)).for_each(|_| out.count("ejections"));
        if self.watch.due(now, self.terms.ask_within) {
            out.watch();
        }
        self.count();
        self.rates.fade(BEAT, self.gauge.stress, self.trust.keep);
        let others = self.terms.agents.saturating_sub(1);
        if self.terms.peers && others > 0 && self.chance.rand_float() < TELLS * BEAT.over(Micros::ms(1_000)) {
            let other = 1 + (self.chance.rand_float() * f64::from(others)) as u32;
            out.tell(PeerId((self.terms.me.0 + other) % self.terms.agents), &self.rates.told());
        }
        let took = self.took.iter().filter_map(Tally::mean).fold(BEAT.0 as f64, f64::max);
        let (out_now, part) = (self.in_flight(), BEAT.0 as f64 / took);
        self.gauge.window.pass(out_now, part);
        self.gauge.wide.pass(out_now, part);
        let unused = |b: &Backend| b.out.is_empty() && now - b.used > UNUSED;
        if self.members.len() > self.terms.few.unwrap_or(FEW)
            && let Some(at) = self.members.iter().position(|&id| self.backend(id).is_none_or(unused))
        {
            self.members.remove(at);
        }
        let fade = 1.0 - BEAT.over(self.terms.fall_span + self.terms.fall_span);
        let mut fresh = Vec::new();
        for b in self.backends.iter_mut().flatten() {
            let dart = self.chance.rand_float();
            b.flow *= fade;
            if b.lot_until == Micros(0) {
                // Agents hear of a newcomer together: each begins its spans at a moment of its own.
                b.lot_until = now + self.terms.fall_span.times(dart);
            } else if b.lot_until <= now {
                (b.lot, b.lot_until) = (dart, now + self.terms.fall_span);
            }
            if b.turned_warm(&self.terms, now) {
                fresh.push(b.entry.backend);
            }
            if b.frozen.is_some_and(|since| now - since > GUARD_HOLD) {
                (b.frozen, b.dropped) = (None, true);
            }
        }
        let thin = self.gauge.thin;
        fresh.into_iter().filter(|_| thin).for_each(|id| self.welcome(id));
        let members = self.members.iter().filter_map(|id| self.backends.get(id.0 as usize)?.as_ref());
        for id in self.asking.due(members, &self.terms, now) {
            self.at(id).into_iter().for_each(|b| b.probed = now);
            out.probe(id);
        }
    }
}

/// Rule 2: a decline promises that asking again is harmless.
fn harmless(s: &State, row: &Scheme) -> bool {
    let untried = s.ran.is_none() && s.out.is_none();
    untried || row.kind == Kind::Repeatable || (row.kind == Kind::Referenced && row.group == Group::All)
}

/// An answer after the SLA time may be worth nothing: then what has none is given up while that is early.
fn given_up(s: &State, row: &Scheme) -> Micros {
    let may = !s.closed && s.out.is_some() && row.overdue == 0.0 && harmless(s, row);
    if may { s.taken + row.sla - HASTE } else { NEVER }
}

impl Txn<'_> {
    /// Whose it is. What a tenant sends beyond its share is told from the rest by chance: one in so many, as
    /// its tries at all agents go over the quota.
    pub fn of(self, tenant: Option<TenantId>) -> Self {
        let Txn { desk, txn } = self;
        if let Some(TenantId(tenant)) = tenant.filter(|_| desk.terms.peers) {
            desk.rates.add(tenant);
            let all = desk.rates.mean(tenant) * desk.terms.agents as f64;
            let quota = desk.terms.quotas.get(tenant).copied().unwrap_or(f64::MAX);
            let fair = desk.chance.rand_float() * all < quota;
            desk.txns.get_mut(&txn).into_iter().for_each(|s| s.fair = fair);
        }
        Txn { desk, txn }
    }

    /// Sends the txn on its way, or answers it at once where the window is used up.
    pub fn route(self, out: &mut dyn Outlet) {
        let Txn { desk, txn } = self;
        let fair = desk.txns.get(&txn).is_some_and(|s| s.fair);
        let window = if fair { desk.gauge.wide } else { desk.gauge.window };
        if !(desk.terms.doors || fair && desk.gauge.calm || window.has_room(desk.in_flight())) {
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
        desk.backends[id.0 as usize].iter_mut().for_each(|b| b.returned(txn, now));
        if !fate.never_ran() {
            s.ran = s.ran.or(Some((id, sent)));
        }
        s.closed |= closed || fate == Fate::Settled;
        let over = s.closed;
        let ejected = desk.gauge.ejecting && desk.backend(id).is_some_and(|b| b.shut(now));
        // A new connection answers as usual where one that had stood did not: it was the connection.
        let soon = took < desk.patience(scheme);
        if fate == Fate::Settled
            && let Some(b) = desk.backends[id.0 as usize].as_mut()
        {
            match (stood, std::mem::take(&mut b.silent)) {
                (Micros(0), silent) if soon => desk.trust.silent(silent),
                (stood, _) => desk.trust.answered(stood),
            }
        }
        let fate = if fate == Fate::Withdrawn && silent { Fate::TimedOut } else { fate };
        // Silence on a connection that stood unused says nothing of the backend.
        let unused = fate == Fate::TimedOut && stood.times(2.0) > desk.trust.keep;
        let lost = unused || desk.came_back(id, scheme, sent, fate, took);
        if !ejected && !lost {
            desk.ease(scheme, fate, took);
        }
        // Another posting is paid for from what the traffic saved up, so that failures feed no overload.
        // What a door turned away has cost no backend anything.
        let price = match fate {
            _ if desk.terms.doors && fate.never_ran() => 0.0,
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
            None => drop(desk.txns.remove(&txn)),
            _ => {}
        }
    }
}
