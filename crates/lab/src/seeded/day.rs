//! One day in virtual time. Clients, agents, backends and register are all here; between them lies a little time, drawn from the seed.
use std::collections::BTreeMap;

use notchspool::units::{
    AttemptOutcome, BackendId, CellId, EndpointStatus as Told, Generation, ListEntry as Listed, LoadReport,
    Policy, Refresh, RequestClass as Row, RequestId, ZoneId as Zone,
};

use super::host::{Breaks, Host, Want};
use crate::core::crowd::{Order, again, orders};
use crate::core::fleet::{Fleet, Reply, Wanted};
use crate::core::kit::*;
use crate::core::ledger::{End, Entry, Final, Ledger, Standing};
use crate::core::register::{Listing, Register};
use crate::core::world::{Effect, World};
use crate::plan::Plan;

/// The clock of the agents runs ahead of the day by so much: a start of nothing means long ago.
const LEAD: Micros = Micros::ms(3_600_000);
/// A client waits this much longer than it said, so that a late answer is seen as late.
const PATIENCE: Micros = Micros::ms(50);
/// Kept clear of an expiry for the way back.
const WAY: Micros = Micros::ms(5);
/// From an agent's start to when it serves.
const START: Micros = Micros::ms(20);

/// What happens next, to whom.
#[derive(Clone, Debug)]
enum Event {
    /// An order's next try.
    Ask {
        order: usize,
        tries: u32,
    },
    /// It came to its agent.
    Asked {
        txn: TxnId,
    },
    /// An answer came to its client.
    Answer {
        txn: TxnId,
        answer: Final,
        away: Option<Micros>,
    },
    /// Its client has waited for long enough.
    Leaves {
        txn: TxnId,
    },
    Left {
        txn: TxnId,
    },
    Wake {
        agent: usize,
        nth: u64,
    },
    /// A posting comes to its backend.
    Came {
        sent: u64,
    },
    /// What became of it comes to its agent.
    Back {
        sent: u64,
        fate: AttemptOutcome,
        report: Option<LoadReport>,
    },
    /// Its time is over.
    Over {
        sent: u64,
    },
    Watch {
        agent: usize,
        life: u64,
    },
    List {
        agent: usize,
        life: u64,
        listing: Option<Listing>,
    },
    Launched {
        agent: usize,
    },
}

struct Agent {
    host: Option<Host>,
    zone: ZoneId,
    /// The number of this process, and of its next wake.
    life: u64,
    wake: u64,
    /// The version that its watch has told it; none: it has no watch.
    watch: Option<u64>,
    /// The version that it heard last.
    heard: Option<u64>,
    told_at: Micros,
}

struct Try {
    order: usize,
    tries: u32,
    agent: usize,
    life: u64,
    expiry: Micros,
    open: bool,
    postings: u32,
    out: Option<u64>,
}

struct Sent {
    txn: TxnId,
    nth: u32,
    to: BackId,
    at: Micros,
    /// As its backend knows it; none: it did not get there.
    posting: Option<PostingId>,
    open: bool,
}

pub struct Day<'a> {
    plan: &'a Plan,
    breaks: Breaks,
    now: Micros,
    world: World,
    agents: Vec<Agent>,
    orders: Vec<Order>,
    tries: BTreeMap<TxnId, Try>,
    sent: BTreeMap<u64, Sent>,
    by_posting: BTreeMap<PostingId, u64>,
    cut: Vec<bool>,
    events: BTreeMap<(Micros, u64), Event>,
    seq: u64,
    next_txn: u64,
    next_sent: u64,
}

/// Plays the day of a plan to its end: the books of it.
pub fn play(plan: &Plan, breaks: Breaks) -> Ledger {
    let start = Micros(0) - LEAD;
    let fleet = Fleet::new(plan.sites.clone(), plan.schemes.clone(), plan.seed, start);
    let register = Register::new(plan.sites.len(), plan.register_delay, plan.register_keep);
    let world = World::new(fleet, register, plan.faults.clone(), &plan.agents, plan.seed);
    let agent = |zone: &ZoneId| Agent {
        host: None,
        zone: *zone,
        life: 0,
        wake: 0,
        watch: None,
        heard: None,
        told_at: start,
    };
    let mut day = Day {
        plan,
        breaks,
        now: start,
        world,
        agents: plan.agents.iter().map(agent).collect(),
        orders: orders(&plan.habits, &plan.schemes, plan.span, plan.most_orders, plan.seed),
        tries: BTreeMap::new(),
        sent: BTreeMap::new(),
        by_posting: BTreeMap::new(),
        cut: vec![false; plan.zones.len()],
        events: BTreeMap::new(),
        seq: 0,
        next_txn: 1,
        next_sent: 0,
    };
    (0..day.agents.len()).for_each(|agent| day.at(Micros(0) - START, Event::Launched { agent }));
    for order in 0..day.orders.len() {
        day.at(day.orders[order].due, Event::Ask { order, tries: 1 });
    }
    day.run();
    std::mem::take(&mut day.world.fleet.ledger)
}

impl Day<'_> {
    fn at(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        self.events.insert((at.max(self.now), self.seq), event);
    }
    /// A little later: the way over a wire.
    fn soon(&mut self, event: Event) {
        let way = 200.0 + 800.0 * lot(self.plan.seed, &[81, self.seq]);
        self.at(self.now + Micros(way as i64), event);
    }
    fn write(&mut self, entry: Entry) {
        let now = self.now;
        self.world.fleet.ledger.write(now, entry);
    }

    fn run(&mut self) {
        let longest = self.plan.schemes.iter().map(|s| s.expiry).max().unwrap_or_default();
        let end = self.plan.span + longest + Micros::ms(500);
        loop {
            let event = self.events.keys().next().map(|key| key.0);
            let next = [event, self.world.next()].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else { return };
            self.now = next.max(self.now);
            let now = self.now;
            let mut effects = self.world.advance(now);
            effects.extend(self.world.fallen(now));
            effects.into_iter().for_each(|effect| self.effect(effect));
            if event.is_some_and(|event| event <= now)
                && let Some((_, event)) = self.events.pop_first()
            {
                self.event(event);
            }
        }
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Reply(posting, reply) => {
                if let Some(sent) = self.by_posting.get(&posting).copied() {
                    self.reply(sent, reply);
                }
            }
            Effect::Down(back) => {
                let held = self.sent.iter().filter(|(_, s)| s.to == back && s.open && s.posting.is_some());
                for sent in held.map(|(sent, _)| *sent).collect::<Vec<_>>() {
                    self.ends(sent, End::Broken, AttemptOutcome::ConnectionLost, None);
                }
            }
            Effect::Cut(zone, cut) => self.cut[zone.0] = cut,
            Effect::Register => self.register(),
            Effect::Kill(agent) | Effect::Term(agent) => self.kill(agent.0),
            Effect::Launch(agent) => self.soon(Event::Launched { agent: agent.0 }),
            Effect::Up(_) | Effect::Forgets(..) | Effect::Mark(..) => {}
        }
    }

    /// The list changed, or whether it is to be had: who watches hears of it.
    fn register(&mut self) {
        let gone = self.world.register.out || self.world.register.empty;
        for agent in 0..self.agents.len() {
            if self.agents[agent].watch.is_none() {
                continue;
            }
            if gone {
                self.agents[agent].watch = None;
                let life = self.agents[agent].life;
                self.soon(Event::List { agent, life, listing: None });
            } else {
                self.tell(agent);
            }
        }
    }

    /// The register writes to an agent what changed since it last did.
    fn tell(&mut self, agent: usize) {
        let (now, pace) = (self.now, self.world.register.pace);
        let Agent { watch, life, told_at, .. } = self.agents[agent];
        if watch == Some(self.world.register.version()) {
            return;
        }
        if now - told_at < pace {
            return self.at(told_at + pace, Event::Watch { agent, life });
        }
        self.list(agent, self.world.register.since(watch));
    }

    fn list(&mut self, agent: usize, listing: Listing) {
        let now = self.now;
        let whole = listing.complete && !listing.rows.is_empty();
        let named: Vec<BackId> = listing.rows.iter().map(|row| row.0).collect();
        for &(back, row) in &listing.rows {
            self.write(Entry::Told { agent: AgentId(agent), back, standing: row.standing });
        }
        for back in (0..self.plan.sites.len()).map(BackId).filter(|back| whole && !named.contains(back)) {
            self.write(Entry::Told { agent: AgentId(agent), back, standing: Standing::Gone });
        }
        let held = &mut self.agents[agent];
        (held.watch, held.told_at) = (Some(listing.version), now);
        let life = held.life;
        self.soon(Event::List { agent, life, listing: Some(listing) });
    }

    fn kill(&mut self, agent: usize) {
        if self.agents[agent].host.take().is_none() {
            return;
        }
        self.world.killed(self.now, AgentId(agent));
        self.agents[agent].watch = None;
        for (txn, one) in self.tries.iter_mut().filter(|(_, t)| t.agent == agent && t.open) {
            one.open = false;
            self.world.fleet.ledger.write(self.now, Entry::Unanswered { txn: *txn });
        }
        let tries = &self.tries;
        let own = |s: &Sent| s.open && tries.get(&s.txn).is_some_and(|t| t.agent == agent);
        for sent in self.sent.iter().filter(|s| own(s.1)).map(|s| *s.0).collect::<Vec<_>>() {
            self.ends(sent, End::GivenUp, AttemptOutcome::Cancelled, None);
        }
    }

    fn terms(&self, agent: usize) -> Policy {
        let (told, cold) = (&self.plan.told, &self.plan.sites[0].build.cold);
        let row = |s: &crate::core::crowd::Scheme| Row {
            kind: s.kind,
            scope: s.group,
            deduplication_window: s.window,
            latency_target: s.sla,
            late_value: 1.0,
        };
        Policy {
            agent_count: self.agents.len() as u32,
            zone: Zone(self.agents[agent].zone.0 as u32),
            classes: self.plan.schemes.iter().map(row).collect(),
            max_attempts: told.most_postings as u32,
            drain_grace: Some(told.drain_grace),
            watch_within: told.ask_within,
            list_on_request: true,
            warmup_floor: cold.from,
            warmup_span: cold.span,
            warmup_multiple: cold.multiple,
            warmup_window: cold.within,
            retry_after: (told.retry_after > Micros(0)).then_some(told.retry_after),
            may_probe: false,
            may_cancel: told.cancel,
            report_by_probe: false,
            probe_price: 0.0,
            tick: Micros::ms(5),
            ..Policy::default()
        }
    }

    fn entries(&self, host: &Host, listing: &Listing) -> Vec<Listed> {
        let row = |(back, row): &(BackId, crate::core::register::Row)| {
            let site = &self.plan.sites[back.0];
            host.read(Listed {
                backend: BackendId(back.0 as u32),
                zone: Zone(site.zone.0 as u32),
                cell: CellId(site.cell as i64),
                status: match row.standing {
                    Standing::Ready => Told::Ready,
                    Standing::Draining => Told::Draining,
                    Standing::Gone => Told::Gone,
                },
                started: row.started.map_or(Micros(0), |at| at + LEAD),
                size: site.size,
                ..Listed::default()
            })
        };
        listing.rows.iter().map(row).collect()
    }

    /// One call on an agent's module; what it wants is done at once.
    fn call(
        &mut self,
        agent: usize,
        call: impl FnOnce(&mut notchspool::balancer::Balancer, &mut super::host::Hand),
    ) {
        let now = self.now + LEAD;
        let Some(host) = &mut self.agents[agent].host else { return };
        for want in host.call(now, call) {
            self.want(agent, want);
        }
    }

    fn want(&mut self, agent: usize, want: Want) {
        match want {
            Want::Post { txn, to, until } => self.post(TxnId(txn.0), BackId(to.0 as usize), until - LEAD),
            Want::Cancel { txn } => {
                let out = self.tries.get(&TxnId(txn.0)).and_then(|t| t.out);
                if let Some(sent) = out {
                    self.ends(sent, End::GivenUp, AttemptOutcome::Cancelled, None);
                }
            }
            Want::Decline { txn, away } => self.answer(TxnId(txn.0), Final::Declined, away),
            Want::Reverse { txn } => self.answer(TxnId(txn.0), Final::Reversed, None),
            Want::Watch => {
                let life = self.agents[agent].life;
                self.agents[agent].watch = None;
                self.soon(Event::Watch { agent, life });
            }
            Want::Wake(span) => {
                self.agents[agent].wake += 1;
                let nth = self.agents[agent].wake;
                self.at(self.now + span, Event::Wake { agent, nth });
            }
        }
    }

    fn answer(&mut self, txn: TxnId, answer: Final, away: Option<Micros>) {
        let Some(agent) = self.tries.get(&txn).map(|t| t.agent) else { return };
        let passed = self.agents[agent].host.as_mut().is_some_and(Host::passes);
        if passed {
            self.soon(Event::Answer { txn, answer, away });
        }
    }

    fn post(&mut self, txn: TxnId, to: BackId, until: Micros) {
        let Some(one) = self.tries.get_mut(&txn) else { return };
        let sent = self.next_sent;
        self.next_sent += 1;
        self.sent.insert(sent, Sent { txn, nth: one.postings, to, at: self.now, posting: None, open: true });
        one.postings += 1;
        one.out = Some(sent);
        let (from, here) = (self.agents[one.agent].zone, self.plan.sites[to.0].zone);
        if from != here && (self.cut[from.0] || self.cut[here.0]) {
            // Nobody answers there: no connection comes up.
            let at = (self.now + self.plan.told.connect_within).min(until);
            return self.at(at, Event::Back { sent, fate: AttemptOutcome::ConnectFailed, report: None });
        }
        self.soon(Event::Came { sent });
        self.at(until, Event::Over { sent });
    }

    /// A posting comes to its backend.
    fn came(&mut self, sent: u64) {
        let Some(&Sent { txn, to, open: true, .. }) = self.sent.get(&sent) else { return };
        let now = self.now;
        let order = self.orders[self.tries[&txn].order];
        let refused = self.world.fleet.back(to).is_down() || self.world.fleet.breaks_before(to, sent);
        if refused {
            return self.soon(Event::Back { sent, fate: AttemptOutcome::ConnectFailed, report: None });
        }
        let wanted = Wanted { txn, scheme: order.scheme, work: order.work, reference: order.reference };
        let Some(posting) = self.world.fleet.began(now, now, to, wanted) else {
            // It broke before it was whole.
            self.sent.entry(sent).and_modify(|s| s.open = false);
            return self.soon(Event::Back { sent, fate: AttemptOutcome::ConnectFailed, report: None });
        };
        self.sent.entry(sent).and_modify(|s| s.posting = Some(posting));
        self.by_posting.insert(posting, sent);
        if let Some(reply) = self.world.fleet.came(now, posting) {
            self.reply(sent, reply);
        }
        let fallen = self.world.fallen(now);
        fallen.into_iter().for_each(|effect| self.effect(effect));
    }

    fn reply(&mut self, sent: u64, reply: Reply) {
        let Some(one) = self.sent.get(&sent).filter(|s| s.open) else { return };
        let load = self.world.fleet.load(one.to);
        let report = Some(LoadReport {
            utilisation: Some(load.utilisation),
            in_flight: Some(load.in_flight),
            ..LoadReport::default()
        });
        let (end, fate) = match reply {
            Reply::Settled => (End::Settled, AttemptOutcome::Succeeded),
            Reply::Errored => (End::Errored, AttemptOutcome::Failed),
            Reply::NeverRan => (End::NeverRan, AttemptOutcome::Rejected),
            Reply::CutOff | Reply::Spoilt | Reply::Reset => (End::Broken, AttemptOutcome::ConnectionLost),
            Reply::Nothing => return,
        };
        self.ends(sent, end, fate, report);
    }

    /// A posting ends at its backend; its agent hears of it, unless it gave it up itself.
    fn ends(&mut self, sent: u64, end: End, fate: AttemptOutcome, report: Option<LoadReport>) {
        let now = self.now;
        let Some(one) = self.sent.get_mut(&sent).filter(|s| s.open) else { return };
        one.open = false;
        if let Some(posting) = one.posting {
            self.by_posting.remove(&posting);
            self.world.fleet.over(now, posting, end);
        }
        if fate == AttemptOutcome::Cancelled {
            return self.back(sent, fate, None);
        }
        self.soon(Event::Back { sent, fate, report });
    }

    /// What became of a posting comes to its agent.
    fn back(&mut self, sent: u64, fate: AttemptOutcome, report: Option<LoadReport>) {
        let Some(Sent { txn, nth, to, at, .. }) = self.sent.remove(&sent) else { return };
        let Some(one) = self.tries.get_mut(&txn) else { return };
        one.out = None;
        let (agent, life, open, took) = (one.agent, one.life, one.open, self.now - at);
        if self.agents[agent].life != life {
            return;
        }
        let Some(fate) = self.agents[agent].host.as_ref().map(|host| host.fate(fate)) else { return };
        if fate == AttemptOutcome::Succeeded && open {
            self.answer(txn, Final::Settled, None);
        }
        self.call(agent, |balancer, hand| {
            balancer.on_load_report(BackendId(to.0 as u32), report);
            if let Some(handle) = balancer.request(RequestId(txn.0)) {
                handle.on_attempt_end(nth, fate, took, !open, hand);
            }
        });
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Ask { order, tries } => self.ask(order, tries),
            Event::Asked { txn } => {
                let one = &self.tries[&txn];
                let (agent, life, expiry) = (one.agent, one.life, one.expiry + LEAD - WAY);
                let scheme = self.orders[one.order].scheme;
                if self.agents[agent].life == life && one.open {
                    self.call(agent, |balancer, hand| {
                        balancer.begin(RequestId(txn.0), scheme, expiry).route(hand);
                    });
                }
            }
            Event::Answer { txn, answer, away } => self.hears(txn, answer, away),
            Event::Leaves { txn } => {
                if let Some(one) = self.tries.get_mut(&txn).filter(|t| t.open) {
                    one.open = false;
                    self.write(Entry::Left { txn });
                    self.soon(Event::Left { txn });
                }
            }
            Event::Left { txn } => {
                let (agent, life) = (self.tries[&txn].agent, self.tries[&txn].life);
                if self.agents[agent].life == life {
                    self.call(agent, |balancer, hand| {
                        if let Some(handle) = balancer.request(RequestId(txn.0)) {
                            handle.on_client_left(hand);
                        }
                    });
                }
            }
            Event::Wake { agent, nth } => {
                if self.agents[agent].wake == nth {
                    self.call(agent, |balancer, hand| balancer.on_wake(hand));
                }
            }
            Event::Came { sent } => self.came(sent),
            Event::Back { sent, fate, report } => self.back(sent, fate, report),
            Event::Over { sent } => {
                let came = self.sent.get(&sent).is_some_and(|s| s.posting.is_some());
                let fate = if came { AttemptOutcome::TimedOut } else { AttemptOutcome::ConnectFailed };
                self.ends(sent, End::GivenUp, fate, None);
            }
            Event::Watch { agent, life } => self.watch(agent, life),
            Event::List { agent, life, listing } => self.hears_list(agent, life, listing),
            Event::Launched { agent } => self.launched(agent),
        }
    }

    fn ask(&mut self, order: usize, tries: u32) {
        let one = self.orders[order];
        let left = one.due + one.expires_in - self.now;
        if left < Micros::ms(1) {
            return;
        }
        let agent = one.agent.0;
        if self.agents[agent].host.is_none() {
            return self.asks_again(order, tries, Some(Final::Declined), None);
        }
        let txn = TxnId(self.next_txn);
        self.next_txn += 1;
        let (now, expiry, life) = (self.now, self.now + left, self.agents[agent].life);
        let taken = Try { order, tries, agent, life, expiry, open: true, postings: 0, out: None };
        self.tries.insert(txn, taken);
        self.write(Entry::Taken { txn, agent: AgentId(agent), scheme: one.scheme, expiry });
        let patience = one.leaves_in.unwrap_or(left + PATIENCE).min(left + PATIENCE);
        self.at(now + patience, Event::Leaves { txn });
        self.soon(Event::Asked { txn });
    }

    fn hears(&mut self, txn: TxnId, answer: Final, away: Option<Micros>) {
        let Some(one) = self.tries.get_mut(&txn).filter(|t| t.open) else { return };
        one.open = false;
        let (order, tries) = (one.order, one.tries);
        self.write(Entry::Heard { txn, answer });
        self.asks_again(order, tries, Some(answer), away);
    }

    fn asks_again(&mut self, order: usize, tries: u32, answer: Option<Final>, away: Option<Micros>) {
        let one = self.orders[order];
        let kind = self.plan.schemes[one.scheme.0].kind;
        if let Some(wait) = again(&self.plan.habits, &one, kind, answer, tries, away) {
            self.at(self.now + wait, Event::Ask { order, tries: tries + 1 });
        }
    }

    /// An agent's call for the watch comes to the register.
    fn watch(&mut self, agent: usize, life: u64) {
        if self.agents[agent].life != life || self.agents[agent].host.is_none() {
            return;
        }
        if self.world.register.out {
            return self.soon(Event::List { agent, life, listing: None });
        }
        let listing = self.world.register.since(self.agents[agent].watch.or(self.agents[agent].heard));
        self.list(agent, listing);
    }

    fn hears_list(&mut self, agent: usize, life: u64, listing: Option<Listing>) {
        if self.agents[agent].life != life {
            return;
        }
        let Some(listing) = listing else {
            return self.call(agent, |balancer, _| balancer.on_list_failed());
        };
        let Some(host) = &self.agents[agent].host else { return };
        let entries = self.entries(host, &listing);
        let how = if listing.complete { Refresh::Full } else { Refresh::Delta };
        let version = Generation(listing.version);
        self.agents[agent].heard = Some(listing.version);
        self.call(agent, |balancer, hand| balancer.on_list(how, version, &entries, hand));
    }

    fn launched(&mut self, agent: usize) {
        let (now, seed) = (self.now, self.plan.seed);
        self.kill(agent);
        self.agents[agent].life += 1;
        let life = self.agents[agent].life;
        let terms = self.terms(agent);
        let host = Host::open(terms, mixed(seed, &[82, agent as u64, life]), now + LEAD, self.breaks);
        self.write(Entry::Launched { agent: AgentId(agent) });
        // The list as the register had it at the start of the day: it may be old.
        let rows = (0..self.plan.sites.len())
            .map(|n| (BackId(n), crate::core::register::Row { standing: Standing::Ready, started: None }));
        let known = Listing { version: 1, complete: true, rows: rows.collect() };
        let entries = self.entries(&host, &known);
        self.agents[agent].host = Some(host);
        self.agents[agent].heard = Some(1);
        self.call(agent, |balancer, hand| balancer.on_list(Refresh::Restored, Generation(1), &entries, hand));
    }
}
