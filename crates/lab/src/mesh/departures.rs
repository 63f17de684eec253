//! Backends on their way out: when a proxy acknowledges that, what it recalls after a restart, and drawn days that judge DRAIN.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_data_plane::report_confirmation::PingNumber;
use notchspool_endpoint_registry::departure_claim;
use notchspool_endpoint_registry::heartbeats::{Departure, Event, Heartbeat};
use notchspool_idempotency::claim_proposal::Outcome as ClaimOutcome;
use notchspool_mesh_protocol::{DepartureReport, Endpoint, EndpointState, Payload, Ping};
use oorandom::Rand64;

use super::player::End;
use super::{Breach, Player};

/// `drainS` of the small sites, and the part of it in which a backend that drains still gets requests.
const DRAIN: Micros = Micros::ms(2_000);
const SERVED_DRAIN: Micros = Micros::ms(1_200);
/// A call of a backend that is not confirmed by then is not acknowledged.
const CONFIRM_WITHIN: Micros = Micros::ms(800);

const CORES: usize = 3;
const PROXIES: usize = 4;
const STEPS: usize = 220;
/// A core machine counts as lost for so long after its return.
const CATCH_UP: Micros = Micros::ms(4_000);
/// More calls than a backend makes in a day.
const LATE_CALL_COUNT: u64 = 10_000;
/// A day in which fewer departures are acknowledged shows nothing.
const MIN_DEPARTURES: usize = 3;

/// A departure that waits for the replicas.
#[derive(Clone, Debug)]
pub struct OpenDeparture {
    instance: String,
    number: PingNumber,
    until: Micros,
    /// A majority has it on disk.
    is_stored: bool,
}

/// What was acknowledged to backends on their way out.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// When it was, by instance.
    acknowledged: BTreeMap<String, Micros>,
    /// Instances of which it was said already that they got requests too late.
    reported: BTreeSet<String>,
}

impl Player {
    /// A replica tells a proxy what it recalls of the backend beside it.
    pub(super) fn on_recalled(&mut self, proxy: usize, replica: &str, recalled: Option<&Endpoint>) {
        let (now, breach) = (self.now, self.breach);
        let own = &mut self.proxies[proxy];
        let voters = match breach {
            Breach::BelievesAnyReplica => vec![replica.to_string()],
            _ => own.voters.clone(),
        };
        let Some(endpoint) = own.recollection.on_told(replica, recalled, &voters) else { return };
        let heartbeat = Heartbeat {
            instance: endpoint.instance.clone(),
            service: endpoint.service.clone(),
            address: endpoint.address.clone(),
            zone: endpoint.zone.clone(),
            slots: endpoint.slots,
            draining: endpoint.state() == EndpointState::Draining,
            warmup: Micros(0),
            call_count: endpoint.call_count,
        };
        if let Some(report) = own.event(now, Event::Recalled(heartbeat)) {
            self.tell(proxy, report);
        }
    }

    /// A replica tells a proxy the departures that are on its disk.
    pub(super) fn on_departure_report(&mut self, proxy: usize, replica: &str, report: DepartureReport) {
        let now = self.now;
        let own = &mut self.proxies[proxy];
        own.departure_history.on_told(replica, report.complete);
        let mut reports = Vec::new();
        for departed in report.departed {
            let Some(departure) = Departure::of_state(departed.state()) else { continue };
            reports.extend(own.event(now, Event::RecalledDeparture(departed.instance, departure)));
        }
        reports.into_iter().for_each(|report| self.tell(proxy, report));
        self.review_departure_history(proxy);
    }

    /// Once a majority has told the departures that it knows, a proxy believes its backend.
    pub(super) fn review_departure_history(&mut self, proxy: usize) {
        let now = self.now;
        let believes_first = matches!(self.breach, Breach::BelievesFirstHistory | Breach::BelievesAnyReplica);
        let own = &mut self.proxies[proxy];
        if !believes_first && !own.departure_history.is_known(&own.voters) {
            return;
        }
        if let Some(report) = own.event(now, Event::HistoryKnown) {
            self.tell(proxy, report);
        }
    }

    /// A proxy has just connected with a replica: what is open is asked of it too.
    pub(super) fn ask_for_confirmation(&mut self, end: End) {
        let open: Vec<PingNumber> = self.proxies[end.1].confirmations.open().collect();
        open.into_iter().for_each(|number| self.send(end, ping(number)));
    }

    /// A backend has called: where it is on its way out, that is acknowledged once a majority knows of it.
    pub(super) fn acknowledge_departure(&mut self, proxy: usize, instance: &str) {
        let own = &mut self.proxies[proxy];
        let is_known = self.departures.acknowledged.contains_key(instance);
        if !own.up || is_known || own.heartbeats_sent.departure(instance).is_none() {
            return;
        }
        if self.breach == Breach::AcknowledgesDeparturesAtOnce {
            self.departures.acknowledged.insert(instance.into(), self.now);
            return;
        }
        if let Some(open) = own.departure.take() {
            own.confirmations.end(open.number);
        }
        let Some(departure) = own.heartbeats_sent.departure(instance) else { return };
        let number = own.confirmations.begin();
        let is_stored = self.breach == Breach::KeepsDeparturesInMemory;
        let until = self.now + CONFIRM_WITHIN;
        own.departure = Some(OpenDeparture { instance: instance.into(), number, until, is_stored });
        let claim = (!is_stored).then(|| own.claim_departure(self.now, instance, departure));
        self.tell(proxy, ping(number));
        claim.into_iter().for_each(|claim| self.tell(proxy, claim));
    }

    /// The claim of a departure is decided.
    pub(super) fn on_departure_claimed(&mut self, proxy: usize, key: &str, outcome: &ClaimOutcome) {
        let Some((instance, _)) = departure_claim::parse(key) else { return };
        let own = &mut self.proxies[proxy];
        if let Some(open) = own.departure.as_mut().filter(|open| open.instance == instance) {
            open.is_stored |= *outcome == ClaimOutcome::Granted;
        }
        self.review_open_departure(proxy);
    }

    /// A replica has taken what was sent to it before a ping.
    pub(super) fn on_confirmation(&mut self, proxy: usize, replica: &str, number: u64) {
        let own = &mut self.proxies[proxy];
        own.confirmations.on_pong(number, replica);
        self.review_open_departure(proxy);
    }

    fn review_open_departure(&mut self, proxy: usize) {
        let own = &mut self.proxies[proxy];
        let Some(open) = own.departure.clone() else { return };
        let is_confirmed = open.is_stored && own.confirmations.is_confirmed(open.number, &own.voters);
        if !is_confirmed && self.now < open.until {
            return;
        }
        own.confirmations.end(open.number);
        own.departure = None;
        if is_confirmed {
            self.departures.acknowledged.entry(open.instance).or_insert(self.now);
        }
    }

    /// DRAIN: nothing begins at a backend later than this after its departure was acknowledged.
    pub(super) fn judge_departure(&mut self, proxy: usize) {
        let Some(backend) = &self.proxies[proxy].heartbeats_sent.backend else { return };
        let Some(at) = self.departures.acknowledged.get(&backend.heartbeat.instance) else { return };
        let takes_requests =
            backend.state != EndpointState::Left && !backend.is_drained(self.now, SERVED_DRAIN);
        if self.now <= *at + DRAIN || !takes_requests {
            return;
        }
        let instance = backend.heartbeat.instance.clone();
        let late_ms = (self.now - *at).0 / 1_000;
        if self.departures.reported.insert(instance.clone()) {
            self.violations.push(format!("{instance} takes requests {late_ms} ms after its departure"));
        }
    }
}

fn ping(number: PingNumber) -> Payload {
    Payload::Ping(Ping { number: number.as_u64() })
}

/// What the backend of a proxy does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Ready,
    /// Since then.
    Draining(Micros),
    Left,
}

/// Backends that drain, leave and are replaced, while their proxies are killed and start again, are cut off from replicas, and replicas are lost
/// one at a time or all at once. A backend that drains beats late.
pub fn drawn_departures(seed: u64) -> Vec<String> {
    drawn_departures_with(seed, Breach::Nothing)
}

/// The same with a safeguard that is off.
pub fn drawn_departures_with(seed: u64, breach: Breach) -> Vec<String> {
    Day::new(seed, breach).play()
}

/// The same where heartbeats of backends that leave first, and say that they are ready, go on coming after that.
pub fn drawn_departures_with_late_heartbeats(seed: u64) -> Vec<String> {
    drawn_departures_with_late_heartbeats_and(seed, Breach::Nothing)
}

/// The same with a safeguard that is off.
pub fn drawn_departures_with_late_heartbeats_and(seed: u64, breach: Breach) -> Vec<String> {
    let mut day = Day::new(seed, breach);
    day.has_late_heartbeats = true;
    day.play()
}

struct Day {
    player: Player,
    chance: Rand64,
    stages: [Stage; PROXIES],
    /// How many instances there were on each machine.
    instances: [usize; PROXIES],
    /// When a lost core machine is back.
    back: Vec<(Micros, usize)>,
    /// No core machine is lost before.
    calm_until: Micros,
    /// Heartbeats of a backend that leaves first go on coming.
    has_late_heartbeats: bool,
}

impl Day {
    fn new(seed: u64, breach: Breach) -> Day {
        let mut player = Player::new(CORES, PROXIES, seed, &[]);
        player.plant(breach);
        player.play(Micros::ms(3_000));
        let chance = Rand64::new(u128::from(seed) * 53 + 11);
        let (back, calm_until) = (Vec::new(), Micros(0));
        let stages = [Stage::Ready; PROXIES];
        let instances = [0; PROXIES];
        let has_late_heartbeats = false;
        let mut day = Day { player, chance, stages, instances, back, calm_until, has_late_heartbeats };
        (0..PROXIES).for_each(|proxy| day.call(proxy, "beat"));
        day
    }

    /// Plays the day: what was broken.
    fn play(mut self) -> Vec<String> {
        for _ in 0..STEPS {
            let pause_ms = 20 + self.below(180) as i64;
            let next = self.player.now + Micros::ms(pause_ms);
            self.player.play(next);
            self.repair();
            self.step();
        }
        self.player.settle();
        let departures = self.player.departures.acknowledged.len();
        if departures < MIN_DEPARTURES {
            self.player.violations.push(format!("too little came about: {departures} departures"));
        }
        self.player.violations
    }

    fn below(&mut self, n: u64) -> u64 {
        (self.chance.rand_float() * n as f64) as u64
    }

    fn call(&mut self, proxy: usize, what: &str) {
        let instance = format!("i-{proxy}-{}", self.instances[proxy]);
        if self.player.proxies[proxy].up {
            self.player.backend(proxy, &instance, what);
        }
    }

    /// Core machines whose time is over are back.
    fn repair(&mut self) {
        let now = self.player.now;
        for (_, core) in self.back.iter().filter(|back| back.0 <= now) {
            self.player.cuts.clear();
            self.player.start_core(*core);
        }
        self.back.retain(|back| back.0 > now);
    }

    fn step(&mut self) {
        let proxy = self.below(PROXIES as u64) as usize;
        match self.below(16) {
            0..=4 => self.advance_backend(proxy),
            5..=7 => self.player.kill_proxy(proxy),
            8..=11 => self.start_proxy(proxy),
            12 => self.cut_from_cores(proxy),
            13 if self.back.is_empty() => self.player.cuts.clear(),
            14 => self.lose_core(),
            _ => {}
        }
    }

    /// Its backend goes on: ready, draining, left, then another one.
    fn advance_backend(&mut self, proxy: usize) {
        let now = self.player.now;
        match self.stages[proxy] {
            Stage::Ready => {
                self.stages[proxy] = Stage::Draining(now);
                let leaves_first = self.below(4) == 0;
                self.call(proxy, if leaves_first { "leave" } else { "drain" });
                if leaves_first && self.has_late_heartbeats {
                    let instance = format!("i-{proxy}-{}", self.instances[proxy]);
                    self.player.proxies[proxy].backend = Some((instance, false, LATE_CALL_COUNT));
                }
                self.delay_heartbeat(proxy);
                if self.below(3) == 0 {
                    self.kill_after_acknowledgement(proxy);
                }
            }
            Stage::Draining(since) if now - since > DRAIN => {
                self.stages[proxy] = Stage::Left;
                self.call(proxy, "leave");
            }
            Stage::Draining(_) => {}
            Stage::Left => {
                self.stages[proxy] = Stage::Ready;
                self.instances[proxy] += 1;
                self.call(proxy, "beat");
            }
        }
    }

    /// Its proxy loses power right after it has acknowledged the departure, or instead of that.
    fn kill_after_acknowledgement(&mut self, proxy: usize) {
        let instance = format!("i-{proxy}-{}", self.instances[proxy]);
        let until = self.player.now + CONFIRM_WITHIN;
        while self.player.now < until && !self.player.departures.acknowledged.contains_key(&instance) {
            let next = self.player.now + Micros::ms(1);
            self.player.play(next);
        }
        self.player.kill_proxy(proxy);
    }

    /// Some of the core machines are cut off from it, or all.
    fn cut_from_cores(&mut self, proxy: usize) {
        let first = self.below(CORES as u64) as usize;
        let count = 1 + self.below(CORES as u64) as usize;
        for core in first..first + count {
            self.player.cut_proxy(proxy, &Player::core_name(core % CORES));
        }
    }

    fn start_proxy(&mut self, proxy: usize) {
        if !self.player.proxies[proxy].up {
            self.player.start_proxy(proxy);
            self.delay_heartbeat(proxy);
        }
    }

    /// Its backend is heard only after some time.
    fn delay_heartbeat(&mut self, proxy: usize) {
        let delay = Micros::ms(self.below(6_000) as i64);
        self.player.proxies[proxy].next_heartbeat = self.player.now + delay;
    }

    /// One core machine, or now and then all processes of the core at once.
    fn lose_core(&mut self) {
        let now = self.player.now;
        if now < self.calm_until || !self.back.is_empty() {
            return;
        }
        let (core, power) = (self.below(CORES as u64) as usize, self.below(2) == 0);
        let back_at = now + Micros::ms(200 + self.below(800) as i64);
        match self.below(4) {
            0 => {
                (0..CORES).for_each(|core| self.player.kill_core(core, power));
                self.back.extend((0..CORES).map(|core| (back_at, core)));
            }
            1 => {
                self.player.cut_off(core, "*");
                self.back.push((back_at, core));
            }
            2 => {
                self.player.wipe(core);
                self.back.push((back_at, core));
            }
            _ => {
                self.player.kill_core(core, power);
                self.back.push((back_at, core));
            }
        }
        self.calm_until = back_at + CATCH_UP;
    }
}
