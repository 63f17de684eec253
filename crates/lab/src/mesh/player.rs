//! Replicas and proxies in virtual time. Links carry messages in order after a delay, hold them while cut and end after silence; a disk has
//! what was synced, and after a loss of power each later write or not.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use notchspool::units::Micros;
use notchspool_consensus::voter_set::VoterSet;
use notchspool_control_plane::replica::{Effect, NO_REPORT, Replica, ReplicaOptions, Tolerance};
use notchspool_endpoint_registry::departure_claim;
use notchspool_endpoint_registry::heartbeats::Event as Call;
use notchspool_idempotency::claim_proposal::Outcome as ClaimOutcome;
use notchspool_idempotency::response_cache::Event as Turn;
use notchspool_mesh_config::digest::Digest;
use notchspool_mesh_config::register::{RegisterValue, VersionedConfig};
use notchspool_mesh_config::route_config::RouteConfig;
use notchspool_mesh_protocol as protocol;
use notchspool_mesh_protocol::text_transfer::{Incoming, TextStore};
use notchspool_mesh_protocol::{ConfigRequest, Hello, Payload, Ping, WatchEndpoints, WithdrawClaim};
use notchspool_storage::MembershipRecord;
use oorandom::Rand64;

use super::departures::Departures;
use super::disk::{Disk, Store};
use super::proxy::{HEARTBEAT_INTERVAL, Proxy};

/// A link that hears nothing ends after this.
const SILENCE: Micros = Micros::ms(2_200);
const WINDOW: Micros = Micros::ms(62_000);
/// How long a keyed operation runs.
const RUN: Micros = Micros::ms(100);

struct Core {
    address: String,
    replica: Option<Replica>,
    disk: Disk,
    /// The process stands still; what operators send meanwhile is read when it goes on.
    frozen: bool,
    waits: Vec<(u64, Option<String>)>,
    texts: TextStore,
    /// It is not there at the first start of all; it is gone for good; it is to end by itself.
    absent: bool,
    removed: bool,
    ends: bool,
    counted: bool,
}

/// Configurations that a replica and a proxy hold, as in their processes.
const TEXTS: (usize, usize) = (4, 2);

/// One end of a link: core or proxy, by place, and its number of the connection.
pub(super) type End = (bool, usize, u64);

struct Link {
    ends: [End; 2],
    /// Messages on their way: when they arrive, to which end.
    way: Vec<(Micros, usize, Payload)>,
    /// When each end last could hear the other.
    last_received: [Micros; 2],
}

/// What a put or read of an operator came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub body: String,
}

pub struct Player {
    pub now: Micros,
    chance: Rand64,
    cores: Vec<Core>,
    pub proxies: Vec<Proxy>,
    links: Vec<Link>,
    /// Pairs of names that are cut from each other; `*` stands for all.
    pub cuts: BTreeSet<(String, String)>,
    /// The first of these isn't heard by the second, though it hears it.
    pub one_way: BTreeSet<(String, String)>,
    next: u64,
    starts: u64,
    /// Machines that may be lost at once.
    bears: usize,
    sets: BTreeMap<u64, VoterSet>,
    dial_at: Micros,
    pub replies: BTreeMap<u64, Reply>,
    /// Versions acknowledged, bodies sent, runs of each key: what the checker goes by.
    calls: BTreeMap<u64, Called>,
    pub acked: BTreeSet<u64>,
    /// When the highest version acknowledged rose, and to which.
    rises: Vec<(Micros, u64)>,
    /// How an order was answered, by number and body: acknowledged, refused for good.
    word: BTreeMap<(u64, String), (bool, bool)>,
    sent: BTreeMap<u64, BTreeSet<String>>,
    announced: BTreeMap<u64, String>,
    pub ran: BTreeMap<String, Vec<Micros>>,
    pub violations: Vec<String>,
    pub departures: Departures,
    pub breach: Breach,
    /// A planted fault of those that start from now on: a text is taken whatever its digest says.
    trusting: bool,
    /// What the cores say of their sets; shown with what is wrong.
    logs: Vec<String>,
    /// Changes that are still to be put: when, at which core, which version.
    storm: VecDeque<(Micros, usize, u64)>,
}

/// One safeguard that is off: what the checker has to notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    Nothing,
    /// A wiped core forgets that it was one.
    ForgetsItsDisk,
    /// An order under a number that is held, and a read, are answered from what is held, without a majority.
    AnswersFromHeld,
    /// Which body was taken under an older number is not kept.
    KeepsNoHistory,
    /// That it is cut off or has stood still is not noticed: links seem to live, and time to go on.
    StaysSure,
    /// A call is not given up before its caller has left.
    AnswersLate,
    /// A text is taken whatever its base and digest say.
    TrustsTexts,
    /// Votes leave before the disk has them.
    VotesBeforeDisk,
    /// Of a voter's seats only the first stays on its disk: it comes back as if it had never been sealed.
    SealNotKept,
    /// A member votes in a set as soon as it hears of it, with what it has.
    VotesBeforeInstalled,
    /// Nobody compares the numbers of sets.
    NumberNotChecked,
    /// One that leaves ends at once.
    NotHandedOver,
    /// That a backend drains or leaves is acknowledged before anybody else knows of it.
    AcknowledgesDeparturesAtOnce,
    /// A proxy that starts takes its backend for ready as soon as one replica does.
    BelievesAnyReplica,
    /// A departure is acknowledged without being on the disks of a majority.
    KeepsDeparturesInMemory,
    /// A proxy that starts believes its backend as soon as one replica has told the departures on its disk.
    BelievesFirstHistory,
}

/// An operator's call that has no answer yet.
#[derive(Clone, Debug)]
struct Called {
    core: usize,
    /// The order's number and body; none for a read.
    order: Option<(u64, String)>,
    at: Micros,
    /// The highest version acknowledged before it came.
    acked: u64,
}

/// Callers go elsewhere after this.
const CALLER: Micros = Micros::ms(1_000);
/// Who vouches for a version may be wrong for so long: a cut is noticed by then.
const UNNOTICED: Micros = Micros::ms(2_000);

pub fn body(version: u64, note: &str) -> String {
    format!(r#"{{"version":{version},"routes":{{}},"services":{{}},"note":"{note}"}}"#)
}

/// A configuration of some routes, one of them another in each version.
pub fn routes(version: u64, count: u64) -> String {
    let route = |n: u64| {
        let changed = if n == version % count.max(1) { version + count } else { n };
        format!(
            r#""r-{n:x}":{{"host":"h{}.example","pathPrefix":"/p{changed:x}x{n:x}/","routeKind":"safe","timeoutS":2.5,"targetS":0.6,"priority":2,"trafficSplit":[{{"service":"s","weight":90}},{{"service":"t","weight":10}}],"maxAttempts":2}}"#,
            n % 97
        )
    };
    let service =
        r#"{"healthPath":"/health","maxConns":130,"protocol":"h1","usesTls":false,"selfDedupes":false}"#;
    let all: Vec<String> = (0..count).map(route).collect();
    format!(
        r#"{{"version":{version},"routes":{{{}}},"services":{{"s":{service},"t":{service}}}}}"#,
        all.join(",")
    )
}

/// Routes in the changes of a storm, and the time between two of them.
const STORM: (u64, Micros) = (40, Micros::ms(15));

impl Player {
    /// Cores that are `absent` are not there at the first start of all: seeds that never come, or machines that are added later.
    pub fn new(cores: usize, proxies: usize, seed: u64, absent: &[usize]) -> Player {
        let there = (0..cores).filter(|at| *at < 3 || !absent.contains(at)).count();
        let address = |at: usize| format!("10.0.0.{}:1", at + 1);
        let mut player = Player {
            now: Micros(1),
            chance: Rand64::new(u128::from(seed)),
            cores: Vec::new(),
            proxies: Vec::new(),
            links: Vec::new(),
            cuts: BTreeSet::new(),
            one_way: BTreeSet::new(),
            next: 0,
            starts: 0,
            bears: there.saturating_sub(1) / 2,
            sets: BTreeMap::new(),
            dial_at: Micros(0),
            replies: BTreeMap::new(),
            calls: BTreeMap::new(),
            acked: BTreeSet::new(),
            rises: Vec::new(),
            word: BTreeMap::new(),
            sent: BTreeMap::new(),
            announced: BTreeMap::new(),
            ran: BTreeMap::new(),
            violations: Vec::new(),
            departures: Departures::default(),
            breach: Breach::Nothing,
            trusting: false,
            logs: Vec::new(),
            storm: VecDeque::new(),
        };
        // At the first start all are told the same three.
        let seeds: Vec<String> = (0..cores.min(3)).map(address).collect();
        for at in 0..cores {
            let core = Core {
                address: address(at),
                replica: None,
                disk: Disk::default(),
                frozen: false,
                waits: Vec::new(),
                texts: TextStore::new(TEXTS.0),
                absent: absent.contains(&at),
                removed: false,
                ends: false,
                counted: true,
            };
            player.cores.push(core);
            if !absent.contains(&at) {
                player.open(at, true, &seeds);
            }
        }
        for at in 0..proxies {
            player.starts += 1;
            let name = format!("proxy-{}", (b'a' + at as u8) as char);
            player.proxies.push(Proxy::new(&name, address(100 + at), player.starts, player.now));
        }
        player
    }

    fn open(&mut self, at: usize, first: bool, seeds: &[String]) {
        self.starts += 1;
        let core = &self.cores[at];
        let mut texts = TextStore::new(TEXTS.0);
        texts.skip_digest_check = self.trusting;
        let found = core.disk.store.found();
        found.accepted.iter().for_each(|e| texts.hold(e.value.as_bytes()));
        let opening = ReplicaOptions {
            address: core.address.clone(),
            zone: ["a", "b", "c"][at % 3].into(),
            counted: core.counted,
            tolerate: Tolerance { machines: self.bears, zones: 0 },
            boot_id: self.starts * 7919,
            first_start: first,
            seeds: seeds.to_vec(),
            claim_window: WINDOW,
        };
        self.cores[at].texts = texts;
        let (replica, acts) = Replica::open(opening, found, self.now);
        self.cores[at].replica = Some(replica);
        self.act(at, acts);
    }

    pub fn core_name(at: usize) -> String {
        format!("core-{}", at + 1)
    }

    fn name(&self, end: &End) -> String {
        if end.0 { Player::core_name(end.1) } else { self.proxies[end.1].name.clone() }
    }

    fn cut(&self, a: &str, b: &str) -> bool {
        self.cuts.iter().any(|(x, y)| {
            let is = |p: &str, n: &str| p == "*" || p == n;
            (is(x, a) && is(y, b)) || (is(x, b) && is(y, a))
        })
    }

    /// Whether what the first says reaches the second.
    fn reaches(&self, from: &End, to: &End) -> bool {
        let (a, b) = (self.name(from), self.name(to));
        let is = |p: &str, n: &str| p == "*" || p == n;
        let frozen = |e: &End| e.0 && self.cores[e.1].frozen;
        let held = self.one_way.iter().any(|(x, y)| is(x, &a) && is(y, &b));
        !held && !self.cut(&a, &b) && !frozen(from) && !frozen(to)
    }

    fn up(&self, end: &End) -> bool {
        if end.0 { self.cores[end.1].replica.is_some() } else { self.proxies[end.1].up }
    }

    // ---- What agents do ---------------------------------------------------------------------------------

    fn act(&mut self, at: usize, acts: Vec<Effect>) {
        for act in acts {
            match act {
                Effect::Send(conn, what) => self.send((true, at, conn), what),
                Effect::Write { id: number, batch: writes } => {
                    let core = &mut self.cores[at];
                    core.disk.write(self.now, number, writes);
                    if self.breach == Breach::VotesBeforeDisk && number > 0 {
                        let acts = core.replica.as_mut().map(|o| o.on_written(self.now, number, true));
                        self.act(at, acts.unwrap_or_default());
                    }
                }
                Effect::Reply { call: id, status, body } => self.replied(id, Reply { status, body }),
                Effect::Log(line) if line.starts_with("members: ") => {
                    let time = self.now.ratio_to(Micros::ms(1_000));
                    self.logs.push(format!("{time:.3} {}: {line}", Player::core_name(at)));
                }
                Effect::Connect(_) | Effect::Log(_) => {}
            }
        }
    }

    fn violations(&mut self, why: String) {
        if self.violations.len() < 50 {
            self.violations.push(format!("{:?}: {why}", self.now));
        }
    }

    /// An operator's call is answered: what that must not say.
    fn replied(&mut self, id: u64, reply: Reply) {
        if self.breach == Breach::AnswersLate && reply.status == 503 {
            return;
        }
        let Some(called) = self.calls.remove(&id) else { return };
        if self.now - called.at > CALLER {
            let late = (self.now - called.at).ratio_to(Micros::ms(1_000));
            self.violations(format!("core-{} answers after {late:.2} s", called.core + 1));
        }
        match &called.order {
            None => {
                let read = RouteConfig::parse(reply.body.as_bytes()).map_or(0, |s| s.version);
                if reply.status == 200 && read < called.acked {
                    let acked = called.acked;
                    self.violations(format!("a read gives {read}, {acked} was acknowledged before it came"));
                }
            }
            Some(order) => {
                let (taken, refused) = self.word.entry(order.clone()).or_default();
                *taken |= reply.status == 200;
                *refused |= (400..500).contains(&reply.status);
                if *taken && *refused {
                    self.violations(format!("an order under {} is acknowledged and refused", order.0));
                }
                if reply.status == 200 {
                    let bodies = self.bodies(order.0);
                    if bodies > 1 {
                        self.violations(format!("{bodies} bodies are acknowledged under {}", order.0));
                    }
                    if self.acked.last().is_none_or(|last| order.0 > *last) {
                        self.rises.push((self.now, order.0));
                    }
                    self.acked.insert(order.0);
                }
            }
        }
        self.replies.insert(id, reply);
    }

    /// A core vouches that its version is the newest.
    fn vouches(&mut self, at: usize, version: u64) {
        let since = self.now - UNNOTICED;
        let newest = self.rises.iter().rev().find(|r| r.0 < since).map_or(0, |r| r.1);
        if version < newest {
            self.violations(format!("core-{} vouches for {version}, {newest} holds for long", at + 1));
        }
    }

    fn texts(&mut self, end: &End) -> &mut TextStore {
        if end.0 { &mut self.cores[end.1].texts } else { &mut self.proxies[end.1].texts }
    }

    pub(super) fn send(&mut self, from: End, mut what: Payload) {
        match &mut what {
            Payload::Welcome(w) if from.0 && w.confirmed => self.vouches(from.1, w.chosen_version),
            Payload::KnownVersion(h) if from.0 && h.confirmed => self.vouches(from.1, h.version),
            Payload::VoteRequest(protocol::VoteRequest { body: Some(body), .. })
            | Payload::VoteReply(protocol::VoteReply { body: Some(body), .. })
                if self.breach == Breach::KeepsNoHistory =>
            {
                if let Some(held) = VersionedConfig::parse(body) {
                    *body = RegisterValue::new(held.clone(), Digest::of(held.body.as_bytes())).to_text();
                }
            }
            _ => {}
        }
        let delay = Micros(200 + (self.chance.rand_float() * 2_000.0) as i64);
        let now = self.now;
        if !self.links.iter().any(|l| l.ends.contains(&from)) {
            return;
        }
        let what = self.texts(&from).outgoing(from.2, what);
        if let Some(link) = self.links.iter_mut().find(|l| l.ends.contains(&from)) {
            let to = usize::from(link.ends[0] == from);
            let last = link.way.iter().filter(|w| w.1 == to).map(|w| w.0).max().unwrap_or(now);
            link.way.push((last.max(now + delay), to, what));
        }
    }

    /// Sends to all voters that a proxy is connected with.
    pub(super) fn tell(&mut self, proxy: usize, what: Payload) {
        let ends = self.to_voters(proxy);
        ends.into_iter().for_each(|end| self.send(end, what.clone()));
    }

    /// A proxy's ends of its links with voters.
    fn to_voters(&self, proxy: usize) -> Vec<End> {
        let voters = &self.proxies[proxy].voters;
        let all = self.links.iter().filter(|l| !l.ends[0].0 && l.ends[0].1 == proxy);
        let all = all.filter(|l| voters.contains(&self.cores[l.ends[1].1].address));
        all.map(|l| l.ends[0]).collect()
    }

    /// As if nobody compared the numbers of sets.
    fn unnumbered(&self, to: End, mut what: Payload) -> Payload {
        let known = match to.0 {
            true => self.cores[to.1].replica.as_ref().map_or(0, |o| o.voter_set().number),
            false => self.proxies[to.1].set,
        };
        match &mut what {
            Payload::Claim(claim) => claim.set_number = known,
            Payload::ClaimReply(claimed) => claimed.set_number = known,
            Payload::VoteRequest(vote) => vote.set_number = known,
            Payload::VoteReply(voted) => voted.set_number = known,
            Payload::Welcome(welcome) if !to.0 && known > 0 => welcome.voter_set = None,
            _ => {}
        }
        what
    }

    fn deliver(&mut self, to: End, from: End, what: Payload) {
        let what = match self.texts(&to).incoming(to.2, what) {
            Incoming::Message(what) => what,
            Incoming::Reply(back) => return self.send(to, back),
            Incoming::Nothing => return,
        };
        let what = match self.breach {
            Breach::NumberNotChecked => self.unnumbered(to, what),
            _ => what,
        };
        if to.0 {
            let now = self.now;
            if let Some(replica) = self.cores[to.1].replica.as_mut() {
                let acts = replica.on_message(now, to.2, what);
                self.act(to.1, acts);
            }
            return;
        }
        let (at, now) = (to.1, self.now);
        match what {
            Payload::Welcome(welcome) => {
                if let Some(set) = &welcome.voter_set
                    && self.proxies[at].learns(set)
                    && let Some(station) = self.proxies[at].station()
                {
                    self.tell(at, Payload::Endpoint(station));
                }
                let replica = self.cores[from.1].address.clone();
                self.proxies[at].departure_history.on_welcome(&replica);
                self.review_departure_history(at);
                self.on_recalled(at, &replica, welcome.recalled.as_ref());
                if let Some(station) = self.proxies[at].station() {
                    self.send(to, Payload::Endpoint(station));
                }
                self.ask_for_confirmation(to);
                self.holding(to, welcome.chosen_version, welcome.confirmed);
            }
            Payload::DepartureReport(report) => {
                let replica = self.cores[from.1].address.clone();
                self.on_departure_report(at, &replica, report);
            }
            Payload::Pong(pong) => {
                let replica = self.cores[from.1].address.clone();
                self.on_confirmation(at, &replica, pong.number);
            }
            Payload::KnownVersion(holding) => self.holding(to, holding.version, holding.confirmed),
            Payload::ConfigUpdate(word) => {
                let body = word.checked_body().unwrap_or_default();
                self.word(at, word.version, &String::from_utf8_lossy(&body));
            }
            Payload::EndpointUpdate(bill) if self.proxies[at].followed == Some(from.1) => {
                let proxy = &mut self.proxies[at];
                let (before, version) = (proxy.endpoint_list.version(), bill.version);
                proxy.line = bill.numbered_by;
                if let Some(changes) = proxy.endpoint_list.apply(bill) {
                    proxy.balancer.apply_changes(now, version, &changes);
                }
                if proxy.endpoint_list.version() < before {
                    self.violations.push(format!("{now:?}: the list of a proxy went back from {before}"));
                }
            }
            Payload::ClaimReply(claimed) => {
                if let Some(hand) = self.proxies[at].hands.get_mut(&claimed.id) {
                    hand.round.on_reply(claimed);
                }
            }
            _ => {}
        }
    }

    /// What a core has that isn't sure of it is asked for only a second later.
    fn holding(&mut self, to: End, version: u64, sure: bool) {
        let now = self.now;
        let proxy = &mut self.proxies[to.1];
        if version > proxy.version && sure {
            self.send(to, Payload::ConfigRequest(ConfigRequest { version }));
        } else if version > proxy.version {
            proxy.doubtful = Some((now + Micros::ms(1_000), to.2, version));
        }
    }

    fn word(&mut self, at: usize, version: u64, body: &str) {
        let proxy = &mut self.proxies[at];
        if version <= proxy.version {
            return;
        }
        (proxy.version, proxy.body) = (version, body.to_string());
        proxy.had.insert(version);
        if !self.sent.get(&version).is_some_and(|all| all.contains(body)) {
            self.violations
                .push(format!("{:?}: version {version} is told with a body that nobody sent", self.now));
        }
        let first = self.announced.entry(version).or_insert_with(|| body.to_string());
        if first != body {
            self.violations.push(format!("{:?}: two bodies under version {version}", self.now));
        }
    }

    fn ran(&mut self, key: &str) -> u64 {
        let now = self.now;
        let runs = self.ran.entry(key.to_string()).or_default();
        if runs.last().is_some_and(|last| now - *last < Micros::ms(60_000)) {
            self.violations.push(format!("{now:?}: {key} runs again"));
        }
        runs.push(now);
        runs.len() as u64
    }

    fn verdict(
        &mut self,
        at: usize,
        key: &str,
        ticket: notchspool_mesh_protocol::Ticket,
        verdict: ClaimOutcome,
    ) {
        let now = self.now;
        if departure_claim::parse(key).is_some() {
            return self.on_departure_claimed(at, key, &verdict);
        }
        if verdict == ClaimOutcome::Granted {
            self.proxies[at].operations.apply(now, key, Turn::Granted);
            self.ran(key);
            self.proxies[at].runs.push((now + RUN, key.to_string()));
            return;
        }
        self.proxies[at].operations.apply(now, key, Turn::NotRun);
        self.tell(at, Payload::WithdrawClaim(WithdrawClaim { key: key.to_string(), ticket: Some(ticket) }));
        let answer = match verdict {
            ClaimOutcome::HeldByOther { holder, holder_boot_id, .. } => {
                let holder = self.proxies.iter().find(|u| u.address == holder && u.up);
                match holder
                    .filter(|u| u.boot_id == holder_boot_id && !self.cut(&u.name, &self.proxies[at].name))
                {
                    Some(holder) => holder
                        .operations
                        .get(key)
                        .map_or("503".into(), |operation| holder.operation(operation)),
                    None => "502".into(),
                }
            }
            _ => "503".into(),
        };
        self.proxies[at].answers.insert(key.to_string(), answer);
    }

    // ---- What is done to them ---------------------------------------------------------------------------

    /// One safeguard is off from here on.
    pub fn plant(&mut self, breach: Breach) {
        self.breach = breach;
        self.trusting = breach == Breach::TrustsTexts;
        self.cores.iter_mut().for_each(|c| c.texts.skip_digest_check = self.trusting);
        self.proxies.iter_mut().for_each(|u| u.texts.skip_digest_check = self.trusting);
    }

    /// An operator's put at a core; the number of its reply.
    pub fn put(&mut self, core: usize, version: u64, note: &str) -> u64 {
        let body = body(version, note);
        self.put_body(core, version, body)
    }

    /// Changes put at a core, one after the other, each with some routes.
    pub fn storm(&mut self, core: usize, from: u64, to: u64) {
        let at = |n: u64| Micros(self.now.0 + STORM.1.0 * n as i64);
        let all: Vec<(Micros, usize, u64)> =
            (from..=to).enumerate().map(|(n, v)| (at(n as u64), core, v)).collect();
        self.storm.extend(all);
        self.storm.make_contiguous().sort();
    }

    /// What a process held of earlier texts is gone but for an old one, without anybody knowing.
    pub fn forget(&mut self, core: bool, at: usize) {
        let texts = if core { &mut self.cores[at].texts } else { &mut self.proxies[at].texts };
        texts.clear();
        texts.hold(routes(1, STORM.0).as_bytes());
    }

    /// Texts that a process could not make out.
    pub fn refused(&self, core: bool, at: usize) -> u64 {
        if core { self.cores[at].texts.counters.rejected } else { self.proxies[at].texts.counters.rejected }
    }

    fn put_body(&mut self, core: usize, version: u64, body: String) -> u64 {
        assert!(RouteConfig::parse(body.as_bytes()).is_ok());
        self.sent.entry(version).or_default().insert(body.clone());
        self.call(core, Some((version, body)))
    }

    pub fn read(&mut self, core: usize) -> u64 {
        self.call(core, None)
    }

    fn call(&mut self, core: usize, order: Option<(u64, String)>) -> u64 {
        self.next += 1;
        let (id, at) = (self.next, self.now);
        if self.cores[core].replica.is_some() {
            let acked = self.acked.last().copied().unwrap_or(0);
            self.calls.insert(id, Called { core, order: order.clone(), at, acked });
            match self.cores[core].frozen {
                true => self.cores[core].waits.push((id, order.map(|o| o.1))),
                false => self.called(core, id, order.map(|o| o.1)),
            }
        }
        id
    }

    fn called(&mut self, core: usize, id: u64, body: Option<String>) {
        let (now, breach) = (self.now, self.breach);
        let Some(replica) = self.cores[core].replica.as_mut() else { return };
        if breach == Breach::AnswersFromHeld
            && let Some(held) = replica.chosen_config().cloned()
        {
            let order = self.calls.get(&id).and_then(|c| c.order.as_ref().map(|o| o.0));
            if order.is_none_or(|version| version <= held.version) {
                let body = if order.is_some() { String::new() } else { held.body };
                return self.replied(id, Reply { status: 200, body });
            }
        }
        let acts = match body {
            Some(body) => replica.replace_config(now, id, body.as_bytes()),
            None => replica.read_config(now, id),
        };
        self.act(core, acts);
    }

    /// Its process stands still: nothing is read, written or sent.
    pub fn freeze(&mut self, core: usize) {
        self.cores[core].frozen = self.cores[core].replica.is_some();
    }

    /// It goes on: operators' calls that came meanwhile are read first, in the order in which they came.
    pub fn thaw(&mut self, core: usize) {
        if std::mem::take(&mut self.cores[core].frozen) {
            let now = self.now;
            // Their callers have left long ago: what they are told is judged all the same, but not how late.
            for called in self.calls.values_mut().filter(|c| c.core == core) {
                called.at = now;
            }
            for (id, body) in std::mem::take(&mut self.cores[core].waits) {
                self.called(core, id, body);
            }
        }
    }

    /// Nothing of a core reaches another agent, `*` for all; what they say reaches it.
    pub fn cut_to(&mut self, core: usize, other: &str) {
        self.one_way.insert((Player::core_name(core), other.to_string()));
    }

    pub fn join(&mut self, name: &str) {
        self.cuts.retain(|(a, _)| a != name);
        self.one_way.retain(|(a, _)| a != name);
    }

    /// Cuts a core from another agent, `*` for all.
    pub fn cut_off(&mut self, core: usize, other: &str) {
        self.cuts.insert((Player::core_name(core), other.to_string()));
    }

    /// Cuts a proxy from another agent, `*` for all.
    pub fn cut_proxy(&mut self, proxy: usize, other: &str) {
        self.cuts.insert((self.proxies[proxy].name.clone(), other.to_string()));
    }

    pub fn core_up(&self, at: usize) -> bool {
        self.cores[at].replica.is_some()
    }

    /// How many bodies were acknowledged under a number.
    pub fn bodies(&self, version: u64) -> usize {
        self.word.iter().filter(|(order, said)| order.0 == version && said.0).count()
    }

    /// Whether it says that its version is the newest.
    pub fn sure(&mut self, at: usize) -> bool {
        let now = self.now;
        self.cores[at].replica.as_mut().is_some_and(|o| o.confirmed_version(now).confirmed)
    }

    pub fn votes(&self, at: usize) -> bool {
        self.cores[at].replica.as_ref().is_some_and(Replica::is_voting)
    }

    pub fn set_disk(&mut self, core: usize, full: bool, sync: Micros) {
        let disk = &mut self.cores[core].disk;
        (disk.is_full, disk.sync_time) = (full, sync);
    }

    /// Its process ends; with `power` what was not synced is there or not, each by chance.
    pub fn kill_core(&mut self, at: usize, power: bool) {
        let (breach, chance) = (self.breach, &mut self.chance);
        self.cores[at].disk.on_process_end(breach, || !power || chance.rand_float() < 0.5);
        self.cores[at].replica = None;
        self.cores[at].frozen = false;
        self.cores[at].waits.clear();
        self.calls.retain(|_, c| c.core != at);
        self.cores[at].ends = false;
        self.close((true, at));
    }

    /// SIGTERM: it ends once its office says so, or when the grace is nearly over.
    pub fn term(&mut self, at: usize) {
        if self.breach == Breach::NotHandedOver {
            return self.kill_core(at, false);
        }
        let now = self.now;
        if let Some(replica) = self.cores[at].replica.as_mut() {
            let acts = replica.leave(now, now + Micros::ms(4_800));
            self.cores[at].ends = true;
            self.act(at, acts);
        }
    }

    /// The machine is gone for good, with its disk.
    pub fn remove(&mut self, at: usize) {
        self.wipe(at);
        self.cores[at].removed = true;
    }

    /// Its settings say whether its loss counts.
    pub fn counts(&mut self, at: usize, counted: bool) {
        self.cores[at].counted = counted;
        self.cores[at].replica.iter_mut().for_each(|o| o.set_counted(counted));
    }

    /// Whether a core's disk has this version, or a later one.
    pub fn keeps(&self, at: usize, version: u64) -> bool {
        let entry = self.cores[at].disk.store.accepted();
        entry.and_then(|e| VersionedConfig::parse(&e.value)).is_some_and(|h| h.version >= version)
    }

    /// Whether a core's disk has a claim of this key.
    pub fn keeps_key(&self, at: usize, key: &str) -> bool {
        self.cores[at].disk.store.has_claim(key)
    }

    /// A member that does not wait till it has installed its set.
    fn hasten(&mut self, at: usize) {
        let Some(replica) = &self.cores[at].replica else { return };
        let set = replica.voter_set().clone();
        if self.cores[at].ends
            || replica.is_installed()
            || set.position_of(&self.cores[at].address, replica.incarnation()).is_none()
        {
            return;
        }
        let seat =
            MembershipRecord { incarnation: replica.incarnation(), set, ..MembershipRecord::default() };
        self.kill_core(at, false);
        self.cores[at].disk.store.set_membership(Some(seat));
        self.start_core(at);
    }

    /// The set that a core knows, in short: number and places.
    pub fn members(&self, at: usize) -> String {
        let Some(replica) = &self.cores[at].replica else { return "down".into() };
        let place = |a: &String| self.cores.iter().position(|c| c.address == *a).map_or(0, |p| p + 1);
        let mut places: Vec<usize> = replica.voter_set().addresses().iter().map(place).collect();
        places.sort_unstable();
        places.iter().map(usize::to_string).collect::<Vec<_>>().join(",")
    }

    pub fn wipe(&mut self, at: usize) {
        self.kill_core(at, true);
        let seat = self.cores[at].disk.store.found().membership;
        self.cores[at].disk.store = Store::default();
        if self.breach == Breach::ForgetsItsDisk {
            self.cores[at].disk.store.set_membership(seat);
        }
    }

    pub fn start_core(&mut self, at: usize) {
        if self.cores[at].replica.is_none() && !self.cores[at].removed {
            self.cores[at].absent = false;
            let seeds: Vec<String> = self.cores.iter().take(3).map(|c| c.address.clone()).collect();
            self.open(at, false, &seeds);
        }
    }

    pub fn kill_proxy(&mut self, at: usize) {
        self.proxies[at].up = false;
        self.close((false, at));
    }

    pub fn start_proxy(&mut self, at: usize) {
        if !self.proxies[at].up {
            self.starts += 1;
            let old = &self.proxies[at];
            let mut new = Proxy::new(&old.name, old.address.clone(), self.starts, self.now);
            new.backend.clone_from(&old.backend);
            self.proxies[at] = new;
        }
    }

    fn close(&mut self, (core, at): (bool, usize)) {
        let mut closed = Vec::new();
        self.links.retain(|link| {
            let ends = link.ends.iter().any(|e| (e.0, e.1) == (core, at));
            if ends {
                closed.extend(link.ends);
            }
            !ends
        });
        for pair in closed.chunks(2) {
            self.unlinked([pair[0], pair[1]]);
        }
    }

    /// A link has ended; who followed the board at its end follows it no more.
    fn unlinked(&mut self, ends: [End; 2]) {
        if !ends[0].0 && self.proxies[ends[0].1].followed == Some(ends[1].1) {
            let proxy = &mut self.proxies[ends[0].1];
            proxy.followed = None;
            // Resumed elsewhere after a jittered backoff.
            proxy.follow_at = self.now + Micros((self.chance.rand_float() * 100_000.0) as i64);
        }
        ends.into_iter().for_each(|end| self.closed(end));
    }

    fn closed(&mut self, end: End) {
        self.texts(&end).on_closed(end.2);
        if end.0 {
            self.cores[end.1].replica.iter_mut().for_each(|o| o.on_closed(end.2));
        }
    }

    pub fn claim(&mut self, proxy: usize, key: &str) {
        let now = self.now;
        if self.proxies[proxy].up
            && let Some(what) = self.proxies[proxy].claim(now, key)
        {
            self.tell(proxy, what);
        }
    }

    /// What the backend of a proxy says next: it beats from now on, drains, leaves or falls silent.
    pub fn backend(&mut self, proxy: usize, instance: &str, state: &str) {
        let now = self.now;
        let u = &mut self.proxies[proxy];
        let calls = u.backend.as_ref().filter(|b| b.0 == instance).map_or(0, |b| b.2);
        let what = match state {
            "leave" => {
                u.backend = None;
                u.event(now, Call::Leave(instance.into()))
            }
            "silent" => {
                u.backend = None;
                None
            }
            _ => {
                u.backend = Some((instance.into(), state == "drain", calls));
                u.next_heartbeat = now + HEARTBEAT_INTERVAL;
                u.heartbeat_payload(now)
            }
        };
        what.into_iter().for_each(|what| self.tell(proxy, what));
        self.acknowledge_departure(proxy, instance);
    }

    // ---- Time -------------------------------------------------------------------------------------------

    fn dial(&mut self) {
        let mut wanted: Vec<(End, usize)> = Vec::new();
        for to in 0..self.cores.len() {
            wanted.extend((0..self.cores.len()).filter(|from| *from != to).map(|from| ((true, from, 0), to)));
            let address = &self.cores[to].address;
            let calls = |at: &usize| match &self.proxies[*at].voters[..] {
                [] => to < 3,
                voters => voters.contains(address),
            };
            wanted.extend((0..self.proxies.len()).filter(calls).map(|from| ((false, from, 0), to)));
        }
        for (from, to) in wanted {
            let linked = self.links.iter().any(|l| {
                (l.ends[0].0, l.ends[0].1) == (from.0, from.1) && (l.ends[1].0, l.ends[1].1) == (true, to)
            });
            let (there, back) = (self.reaches(&from, &(true, to, 0)), self.reaches(&(true, to, 0), &from));
            if linked || !self.up(&from) || !self.up(&(true, to, 0)) || !there || !back {
                continue;
            }
            self.next += 2;
            let ends = [(from.0, from.1, self.next), (true, to, self.next + 1)];
            self.links.push(Link { ends, way: Vec::new(), last_received: [self.now; 2] });
            let (role, address) = match from.0 {
                true => (2, self.cores[from.1].address.clone()),
                false => (1, self.proxies[from.1].address.clone()),
            };
            let mut hello = Hello { role, address, boot_id: 1, ..Hello::default() };
            if let Some(core) = Some(from.1).filter(|_| from.0).map(|at| &self.cores[at]) {
                hello.counted = core.counted;
                hello.zone = ["a", "b", "c"][from.1 % 3].into();
                let replica = core.replica.as_ref();
                (hello.incarnation, hello.boot_id) =
                    replica.map_or((0, 0), |o| (o.incarnation(), o.boot_id()));
            }
            self.send(ends[0], Payload::Hello(hello));
            if from.0 {
                let (now, address) = (self.now, self.cores[to].address.clone());
                if let Some(replica) = self.cores[from.1].replica.as_mut() {
                    let acts = replica.on_connected(now, ends[0].2, &address);
                    self.act(from.1, acts);
                }
            }
        }
    }

    fn follow(&mut self, at: usize) {
        let to_voters = self.to_voters(at);
        let linked: Vec<End> =
            self.links.iter().filter(|l| to_voters.contains(&l.ends[0])).map(|l| l.ends[1]).collect();
        let proxy = &mut self.proxies[at];
        if proxy.followed.is_some_and(|core| !linked.iter().any(|e| e.1 == core)) {
            // It has no seat any more: another is followed.
            proxy.followed = None;
        }
        if proxy.followed.is_some() || linked.is_empty() {
            return;
        }
        if self.now >= proxy.follow_at {
            let pick = linked[(self.chance.rand_float() * linked.len() as f64) as usize % linked.len()];
            proxy.followed = Some(pick.1);
            let watch = WatchEndpoints { version: proxy.endpoint_list.version(), numbered_by: proxy.line };
            let end = self.links.iter().find(|l| l.ends[1] == pick).map(|l| l.ends[0]);
            end.into_iter().for_each(|end| self.send(end, Payload::WatchEndpoints(watch)));
        }
    }

    fn links(&mut self) {
        let now = self.now;
        for n in 0..self.links.len() {
            let ends = self.links[n].ends;
            for at in 0..2 {
                let blind = self.breach == Breach::StaysSure && ends.iter().all(|e| e.0);
                if blind || self.reaches(&ends[1 - at], &ends[at]) {
                    self.links[n].last_received[at] = now;
                }
            }
        }
        let mut closed = Vec::new();
        self.links.retain(|l| {
            let lost = l.last_received.iter().any(|last_received| now - *last_received >= SILENCE);
            if lost {
                closed.extend(l.ends);
            }
            !lost
        });
        for pair in closed.chunks(2) {
            self.unlinked([pair[0], pair[1]]);
        }
        // Messages that are due, in the order in which they arrive.
        let mut due = Vec::new();
        for n in 0..self.links.len() {
            let ends = self.links[n].ends;
            if self.links[n].way.is_empty() {
                continue;
            }
            let open = [self.reaches(&ends[1], &ends[0]), self.reaches(&ends[0], &ends[1])];
            let link = &mut self.links[n];
            let (now_due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut link.way).into_iter().partition(|w| w.0 <= now && open[w.1]);
            link.way = later;
            due.extend(now_due.into_iter().map(|(at, to, what)| (at, ends[to], ends[1 - to], what)));
        }
        due.sort_by_key(|d| d.0);
        due.into_iter().for_each(|(_, to, from, what)| self.deliver(to, from, what));
    }

    /// Plays on till then, in steps of a millisecond.
    pub fn play(&mut self, until: Micros) {
        while self.now < until {
            self.now = self.now + Micros::ms(1);
            let now = self.now;
            self.links();
            while let Some((_, core, version)) = self.storm.pop_front_if(|s| s.0 <= now) {
                self.put_body(core, version, routes(version, STORM.0));
            }
            for at in 0..self.cores.len() {
                // What the disk has done for a process that stands still is read when it goes on.
                if self.cores[at].frozen {
                    continue;
                }
                for report in self.cores[at].disk.advance(now, self.breach) {
                    let replica = self.cores[at].replica.as_mut().filter(|_| report.id != NO_REPORT);
                    if let Some(replica) = replica {
                        let acts = replica.on_written(now, report.id, report.written);
                        self.act(at, acts);
                    }
                }
            }
            if self.breach == Breach::VotesBeforeInstalled {
                (0..self.cores.len()).for_each(|at| self.hasten(at));
            }
            if (now.0 / 1_000) % 50 == 0 {
                self.blind();
                for at in 0..self.cores.len() {
                    let seems = self.breach == Breach::StaysSure;
                    let frozen = self.cores[at].frozen && !seems;
                    let ends = self.cores[at].ends;
                    if let Some(replica) = self.cores[at].replica.as_mut().filter(|_| !frozen) {
                        let acts = replica.tick(now);
                        let left = ends && replica.may_exit(now);
                        self.act(at, acts);
                        if left {
                            self.kill_core(at, false);
                        }
                    }
                }
                self.compare_sets();
            }
            if (now.0 / 1_000) % 50 == 0 {
                self.unanswered();
            }
            if now >= self.dial_at {
                self.dial_at = now + Micros::ms(100);
                self.dial();
            }
            for at in 0..self.proxies.len() {
                self.proxy(at);
            }
        }
    }

    /// How many sets have come about.
    pub fn sets(&self) -> usize {
        self.sets.keys().filter(|n| **n > 0).count()
    }

    /// Of one number there is one set.
    fn compare_sets(&mut self) {
        for replica in self.cores.iter().filter_map(|c| c.replica.as_ref()) {
            let set = replica.voter_set();
            let first = self.sets.entry(set.number).or_insert_with(|| set.clone());
            if first != set && set.number > 0 {
                self.violations.push(format!("{:?}: two sets under one number: {first}, {set}", self.now));
            }
        }
    }

    /// Who does not notice that it is cut off hears from the others all the while.
    fn blind(&mut self) {
        if self.breach != Breach::StaysSure {
            return;
        }
        let ends: Vec<End> = self.links.iter().map(|l| l.ends[0]).filter(|e| e.0).collect();
        for end in ends {
            let now = self.now;
            if let Some(replica) = self.cores[end.1].replica.as_mut() {
                let acts = replica.on_message(now, end.2, Payload::Pong(Ping { number: 0 }));
                self.act(end.1, acts);
            }
        }
    }

    /// Calls whose callers have left.
    fn unanswered(&mut self) {
        let now = self.now;
        let late = |c: &Called, cores: &[Core]| now - c.at > CALLER && !cores[c.core].frozen;
        let all: Vec<(u64, usize)> =
            self.calls.iter().filter(|(_, c)| late(c, &self.cores)).map(|(id, c)| (*id, c.core)).collect();
        for (id, core) in all {
            self.calls.remove(&id);
            self.violations(format!("core-{} has not answered an operator within a second", core + 1));
        }
    }

    fn proxy(&mut self, at: usize) {
        let now = self.now;
        if !self.proxies[at].up {
            return;
        }
        let mut announced = Vec::new();
        let mut has_beaten = false;
        if now >= self.proxies[at].next_heartbeat {
            self.proxies[at].next_heartbeat = now + HEARTBEAT_INTERVAL;
            announced.extend(self.proxies[at].heartbeat_payload(now));
            has_beaten = true;
        }
        if (now.0 / 1_000) % 100 == 0 {
            let proxy = &mut self.proxies[at];
            announced.extend(proxy.event(now, Call::Tick));
            drop(proxy.balancer.tick(now));
            proxy.operations.tick(now);
            self.follow(at);
        }
        if (now.0 / 1_000) % 500 == 0 {
            announced.push(Payload::Ping(Ping { number: 1 }));
        }
        announced.into_iter().for_each(|what| self.tell(at, what));
        if let Some((instance, ..)) = self.proxies[at].backend.clone().filter(|_| has_beaten) {
            self.acknowledge_departure(at, &instance);
        }
        self.judge_departure(at);
        for (address, claim) in self.proxies[at].again(now) {
            let ends = self.to_voters(at);
            let to = |l: &&Link| ends.contains(&l.ends[0]) && self.cores[l.ends[1].1].address == address;
            let end = self.links.iter().find(to).map(|l| l.ends[0]);
            end.into_iter().for_each(|end| self.send(end, Payload::Claim(claim.clone())));
        }
        if let Some((_, conn, version)) = self.proxies[at].doubtful.filter(|d| now >= d.0) {
            self.proxies[at].doubtful = None;
            if version > self.proxies[at].version {
                self.send((false, at, conn), Payload::ConfigRequest(ConfigRequest { version }));
            }
        }
        for (hand, verdict) in self.proxies[at].verdicts(now) {
            self.verdict(at, &hand.key, hand.ticket, verdict);
        }
        let proxy = &mut self.proxies[at];
        let (done, on): (Vec<_>, Vec<_>) =
            std::mem::take(&mut proxy.runs).into_iter().partition(|r| r.0 <= now);
        proxy.runs = on;
        for (_, key) in done {
            let nth = self.ran.get(&key).map_or(0, Vec::len) as u64;
            let proxy = &mut self.proxies[at];
            proxy.operations.apply(now, &key, Turn::Response(nth, 100));
            proxy.answers.insert(key, format!("run-{nth}"));
        }
    }

    /// All are joined and started; what was acknowledged has to be found, and one word has to hold everywhere.
    pub fn settle(&mut self) {
        self.cuts.clear();
        self.one_way.clear();
        for at in 0..self.cores.len() {
            self.thaw(at);
            self.set_disk(at, false, Micros::ms(1));
            if !self.cores[at].absent {
                self.start_core(at);
            }
        }
        (0..self.proxies.len()).for_each(|at| self.start_proxy(at));
        let until = self.now + Micros::ms(8_000);
        self.play(until);
        let newest = self.acked.last().copied().unwrap_or(0);
        for at in 0..self.cores.len() {
            let Some(replica) = &self.cores[at].replica else { continue };
            if replica.voter_set().position(&self.cores[at].address).is_some() && !replica.is_voting() {
                self.violations.push(format!(
                    "core-{} has a seat in {} and does not vote",
                    at + 1,
                    replica.voter_set()
                ));
            }
            let id = self.read(at);
            let until = self.now + Micros::ms(1_000);
            self.play(until);
            let reply = self.replies.get(&id).cloned();
            let version = reply
                .as_ref()
                .filter(|r| r.status == 200)
                .and_then(|r| RouteConfig::parse(r.body.as_bytes()).ok());
            match version {
                Some(script) if script.version >= newest => {}
                None if newest == 0 && self.sent.is_empty() => {}
                found => {
                    let found = found.map(|s| s.version);
                    self.violations.push(format!(
                        "core-{} reads {found:?}, {newest} was acknowledged: {reply:?}",
                        at + 1
                    ));
                }
            }
        }
        let held: BTreeSet<(u64, String)> =
            self.proxies.iter().map(|u| (u.version, u.body.clone())).collect();
        if held.len() > 1 {
            let versions: Vec<u64> = held.iter().map(|h| h.0).collect();
            self.violations.push(format!("proxies hold different words: {versions:?}"));
        }
        if !self.violations.is_empty() {
            self.violations.append(&mut self.logs);
        }
    }
}
