//! Time, wires and who stands at their ends.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_idempotency::claim_table::{ClaimTable, Decision};
use notchspool_mesh_protocol::{Claim, ClaimReply, Payload};
use oorandom::Rand64;

use super::backend::{Backend, Reply};
use super::judge::{Client, Judge, Kind};
use super::proxy::Proxy;
use super::{Breach, Rule};

/// Backends that one request may reach.
pub const MOST: u32 = 2;
/// Voters keep claims for this much longer than the window.
const KEPT_OVER: Micros = Micros::ms(2_000);
const DIAL: Micros = Micros::ms(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Agent {
    Proxy(usize),
    Backend(usize),
    Voter(usize),
}

#[derive(Clone, Debug)]
pub enum Load {
    Message(Box<Payload>),
    /// The first bytes of a request, and the last of it.
    Begin {
        attempt: String,
        target: String,
    },
    Rest,
    Answer(Reply),
    /// Closed or reset by the other side.
    Closed,
}

pub fn message(what: Payload) -> Load {
    Load::Message(Box::new(what))
}

/// On its way to one end.
pub struct Packet {
    at: Micros,
    end: usize,
    load: Load,
    /// It is at the machine of that end, read or not: no cut and no reset takes it away.
    landed: bool,
}

/// One connection: bytes in order each way, each with a delay of its own to others.
pub struct Wire {
    pub ends: [Agent; 2],
    pub way: Vec<Packet>,
    /// Ends that have closed it.
    pub gone: [bool; 2],
}

pub struct Voter {
    rack: ClaimTable,
    pub up: bool,
}

pub struct World {
    pub now: Micros,
    pub chance: Rand64,
    pub proxies: Vec<Proxy>,
    pub backends: Vec<Backend>,
    pub voters: Vec<Voter>,
    pub wires: BTreeMap<u64, Wire>,
    /// Links between proxies that are being opened: when that is known, and till when it is waited for.
    pub dials: Vec<(Micros, Micros, u64)>,
    /// Pairs that are cut from each other; what is sent waits.
    pub cuts: BTreeSet<(Agent, Agent)>,
    /// Longest delay of a message.
    pub slow: Micros,
    pub judge: Judge,
    pub breach: Option<Breach>,
    pub window: Micros,
    pub next: u64,
    starts: u64,
}

impl World {
    pub fn new(proxies: usize, seed: u64, window: Micros, breach: Option<Breach>) -> World {
        let now = Micros(1);
        let rack = ClaimTable::new(window + KEPT_OVER);
        let voters = (0..3).map(|_| Voter { rack: rack.clone(), up: true }).collect();
        let mut world = World {
            now,
            chance: Rand64::new(u128::from(seed)),
            proxies: Vec::new(),
            backends: (0..proxies).map(Backend::new).collect(),
            voters,
            wires: BTreeMap::new(),
            dials: Vec::new(),
            cuts: BTreeSet::new(),
            slow: Micros::ms(2),
            judge: Judge::default(),
            breach,
            window,
            next: 0,
            starts: 0,
        };
        for at in 0..proxies {
            world.starts += 1;
            world.proxies.push(Proxy::new(at, world.starts, now, window));
            world.meet_voters(at);
        }
        world
    }

    pub fn is(&self, breach: Breach) -> bool {
        self.breach == Some(breach)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        ((self.chance.rand_float() * n as f64) as u64).min(n.saturating_sub(1))
    }

    pub fn luck(&mut self, part: f64) -> bool {
        self.chance.rand_float() < part
    }

    // ---- Wires ------------------------------------------------------------------------------------------

    pub fn cut(&self, a: Agent, b: Agent) -> bool {
        self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
    }

    pub fn cut_all(&mut self, a: Agent) {
        let others = (0..self.proxies.len()).map(Agent::Proxy).chain((0..3).map(Agent::Voter));
        self.cuts.extend(others.filter(|b| *b != a).map(|b| (a, b)));
    }

    pub fn wire(&mut self, from: Agent, to: Agent) -> u64 {
        self.next += 1;
        self.wires.insert(self.next, Wire { ends: [from, to], way: Vec::new(), gone: [false; 2] });
        self.next
    }

    /// Sends from one end: in order on its wire, and in any order to other wires.
    pub fn send(&mut self, wire: u64, end: usize, load: Load) {
        let delay = Micros(100 + (self.chance.rand_float() * self.slow.0 as f64) as i64);
        let now = self.now;
        let Some(w) = self.wires.get_mut(&wire) else { return };
        if w.gone[end] {
            return;
        }
        let to = 1 - end;
        let last = w.way.iter().filter(|p| p.end == to).map(|p| p.at).max().unwrap_or(now);
        w.way.push(Packet { at: last.max(now + delay), end: to, load, landed: false });
    }

    /// One end closes: the other hears of it, and what it had sent may still come, unless it is a reset.
    pub fn close(&mut self, wire: u64, end: usize, reset: bool) {
        if let Some(w) = self.wires.get_mut(&wire).filter(|_| reset) {
            w.way.retain(|p| p.end == end || p.landed);
        }
        self.send(wire, end, Load::Closed);
        if let Some(w) = self.wires.get_mut(&wire) {
            w.gone[end] = true;
            w.way.retain(|p| p.end != end);
        }
    }

    /// What stands to be read at an end now.
    pub fn arrived(&self, wire: u64, end: usize) -> bool {
        self.wires.get(&wire).is_some_and(|w| w.way.iter().any(|p| p.end == end && p.landed))
    }

    fn awake(&self, agent: Agent) -> bool {
        match agent {
            Agent::Proxy(at) => self.proxies[at].up && !self.proxies[at].frozen,
            Agent::Backend(_) => true,
            Agent::Voter(at) => self.voters[at].up,
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<(Micros, u64, usize)> = Vec::new();
        let cuts = std::mem::take(&mut self.cuts);
        for wire in self.wires.values_mut() {
            let [a, b] = wire.ends;
            if !cuts.contains(&(a, b)) && !cuts.contains(&(b, a)) {
                wire.way.iter_mut().for_each(|p| p.landed |= p.at <= now);
            }
        }
        self.cuts = cuts;
        for (id, wire) in &self.wires {
            for packet in wire.way.iter().filter(|p| p.landed) {
                // Nobody reads a connection to a backend that stands unused.
                let end = wire.ends[packet.end];
                let unread = matches!(end, Agent::Proxy(u) if self.proxies[u].idle(*id));
                if self.awake(end) && !unread {
                    due.push((packet.at, *id, packet.end));
                }
            }
        }
        due.sort();
        for (_, id, end) in due {
            let Some(wire) = self.wires.get_mut(&id) else { continue };
            let Some(first) = wire.way.iter().position(|p| p.end == end && p.landed) else { continue };
            let agent = wire.ends[end];
            if matches!(agent, Agent::Proxy(u) if self.proxies[u].idle(id)) {
                continue;
            }
            let load = wire.way.remove(first).load;
            if wire.gone[end] {
                continue;
            }
            if matches!(load, Load::Closed) {
                wire.gone[end] = true;
            }
            match agent {
                Agent::Proxy(at) => self.proxy_hears(at, id, end, load),
                Agent::Backend(at) => self.backend_hears(at, id, load),
                Agent::Voter(at) => self.voter_hears(at, id, load),
            }
        }
        self.wires.retain(|_, w| !(w.gone[0] && w.gone[1]));
    }

    /// Links that are opened or not.
    fn dialed(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.dials).into_iter().partition(|d| d.0 <= now);
        self.dials = later;
        for (_, until, id) in due {
            let Some([Agent::Proxy(from), Agent::Proxy(to)]) = self.wires.get(&id).map(|w| w.ends) else {
                continue;
            };
            if self.proxies[from].frozen {
                self.dials.push((now + Micros::ms(1), until, id));
            } else if !self.proxies[to].up || now >= until {
                self.wires.remove(&id);
                self.link_ends(from, id);
            } else if self.cut(Agent::Proxy(from), Agent::Proxy(to)) {
                self.dials.push((now + Micros::ms(10), until, id));
            } else {
                self.link_up(from, id);
            }
        }
    }

    pub fn dial(&mut self, from: usize, to: usize) -> u64 {
        let id = self.wire(Agent::Proxy(from), Agent::Proxy(to));
        let known = Micros(200 + (self.chance.rand_float() * self.slow.0 as f64) as i64);
        self.dials.push((self.now + known, self.now + DIAL, id));
        id
    }

    pub fn meet_voters(&mut self, at: usize) {
        for voter in 0..self.voters.len() {
            let id = self.wire(Agent::Proxy(at), Agent::Voter(voter));
            self.proxies[at].voters[voter] = Some(id);
        }
    }

    // ---- Voters -----------------------------------------------------------------------------------------

    fn voter_hears(&mut self, at: usize, wire: u64, load: Load) {
        let now = self.now;
        let Load::Message(what) = load else { return };
        match *what {
            Payload::Claim(claim) => {
                let voted = self.voters[at].rack.claim(now, &claim);
                let claimed = vote(at, &claim, voted);
                self.send(wire, 1, message(Payload::ClaimReply(claimed)));
            }
            Payload::WithdrawClaim(back) => {
                self.voters[at].rack.withdraw(&back.key, back.ticket.unwrap_or_default());
            }
            _ => {}
        }
    }

    // ---- What is done to them ---------------------------------------------------------------------------

    fn hang_up(&mut self, agent: Agent, reset: bool) {
        let all: Vec<(u64, usize)> = self
            .wires
            .iter()
            .flat_map(|(id, w)| [(*id, 0), (*id, 1)].into_iter().filter(|e| w.ends[e.1] == agent))
            .collect();
        for (id, end) in all {
            self.close(id, end, reset);
        }
    }

    pub fn kill(&mut self, at: usize) {
        if self.proxies[at].up {
            self.proxies[at].up = false;
            self.hang_up(Agent::Proxy(at), true);
            self.dials.retain(|d| self.wires.get(&d.2).is_some_and(|w| w.ends[0] != Agent::Proxy(at)));
            let boot_id = self.proxies[at].boot_id;
            for client in self.judge.clients.values_mut().filter(|c| c.proxy == at && c.boot_id == boot_id) {
                client.gone |= client.got.is_none();
            }
        }
    }

    /// A new life: all ids begin again.
    pub fn start(&mut self, at: usize) {
        if !self.proxies[at].up {
            self.starts += 1;
            self.proxies[at] = Proxy::new(at, self.starts, self.now, self.window);
            self.meet_voters(at);
        }
    }

    pub fn freeze(&mut self, at: usize) {
        self.proxies[at].frozen = true;
    }

    pub fn wake(&mut self, at: usize) {
        self.proxies[at].frozen = false;
    }

    /// All connections between two proxies, and from proxies to their backends, are reset from outside.
    pub fn reset(&mut self, a: Agent, b: Agent) {
        let between: Vec<u64> = self
            .wires
            .iter()
            .filter(|(_, w)| (w.ends == [a, b] || w.ends == [b, a]) && !w.gone[0] && !w.gone[1])
            .map(|w| *w.0)
            .collect();
        for id in between {
            if let Some(w) = self.wires.get_mut(&id) {
                w.way.retain(|p| p.landed);
                for end in 0..2 {
                    w.way.push(Packet { at: self.now, end, load: Load::Closed, landed: true });
                }
            }
        }
    }

    /// A voter's connections end, and come again.
    pub fn voter(&mut self, at: usize, up: bool) {
        if self.voters[at].up != up {
            self.voters[at].up = up;
            if !up {
                self.hang_up(Agent::Voter(at), true);
            }
        }
    }

    pub fn request(&mut self, proxy: usize, attempt: &str, kind: Kind, left: Micros) {
        let boot_id = self.proxies[proxy].boot_id;
        let (sent, until) = (self.now, self.now + left);
        let gone = !self.proxies[proxy].up;
        let client = Client { kind, sent, until, proxy, boot_id, got: None, gone };
        self.judge.clients.insert(attempt.to_string(), client);
        if !gone {
            self.proxies[proxy].inbox.push(attempt.to_string());
        }
    }

    pub fn leave(&mut self, attempt: &str) {
        if let Some(client) = self.judge.clients.get_mut(attempt).filter(|c| c.got.is_none()) {
            client.gone = true;
            let proxy = client.proxy;
            self.proxies[proxy].leavers.push(attempt.to_string());
        }
    }

    // ---- Time -------------------------------------------------------------------------------------------

    pub fn play(&mut self, until: Micros) {
        while self.now < until {
            self.now = self.now + Micros::ms(1);
            self.dialed();
            // What comes and what is due are seen in either order.
            let timers_first = self.luck(0.5);
            if timers_first {
                (0..self.proxies.len()).for_each(|at| self.proxy_wakes(at));
            }
            self.deliver();
            if !timers_first {
                (0..self.proxies.len()).for_each(|at| self.proxy_wakes(at));
            }
            (0..self.backends.len()).for_each(|at| self.backend_wakes(at));
            if (self.now.0 / 1_000) % 1_000 == 0 {
                let now = self.now;
                self.voters.iter_mut().for_each(|v| v.rack.tick(now));
                for at in 0..self.proxies.len() {
                    self.voters_again(at);
                }
            }
        }
    }

    /// All is healed; what hangs or is left then is wrong, and what was seen is judged.
    pub fn settle(&mut self) {
        self.cuts.clear();
        self.slow = Micros::ms(2);
        for at in 0..self.proxies.len() {
            self.wake(at);
            self.start(at);
        }
        (0..3).for_each(|at| self.voter(at, true));
        let last = self.judge.clients.values().map(|c| c.until).max().unwrap_or(self.now);
        let until = last.max(self.now) + Micros::ms(5_000);
        self.play(until);
        let mut violations = Vec::new();
        for (attempt, client) in &self.judge.clients {
            if client.got.is_none() && !client.gone {
                violations.push((Rule::Left, format!("{attempt} has no answer")));
            }
        }
        for proxy in &self.proxies {
            violations.extend(proxy.left().map(|what| (Rule::Left, format!("proxy {}: {what}", proxy.at))));
        }
        self.judge.violations.extend(violations);
        self.judge.judge(self.window, MOST);
    }
}

fn vote(at: usize, claim: &Claim, voted: Decision) -> ClaimReply {
    let (vote, ticket, holder, holder_boot_id) = match voted {
        Decision::Granted => (1, claim.ticket, claim.holder.clone(), claim.holder_boot_id),
        Decision::HeldByOther { ticket, holder, holder_boot_id } => (2, Some(ticket), holder, holder_boot_id),
        Decision::Full => (0, None, String::new(), 0),
    };
    let voter = at as u32;
    ClaimReply {
        id: claim.id,
        vote,
        ticket,
        holder,
        holder_boot_id,
        voter,
        set_number: 1,
        ..ClaimReply::default()
    }
}
