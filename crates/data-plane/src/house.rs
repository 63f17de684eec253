//! What all parts of one proxy share. Parts borrow for a moment and never across a wait.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use notchspool::units::Micros;
use notchspool_endpoint_registry::endpoint_list::{Changes, EndpointList};
use notchspool_endpoint_registry::heartbeats::{Event, Heartbeat, HeartbeatTracker};
use notchspool_idempotency::response_cache::ResponseCache;
use notchspool_mesh_config::route_config::RouteConfig;
use notchspool_mesh_protocol::{Endpoint, EndpointState, EndpointUpdate, Payload, Response};
use notchspool_runtime::Clock;
use notchspool_runtime::node_settings::NodeSettings;
use oorandom::Rand64;
use tokio::sync::oneshot;

use crate::company::{Company, Order};
use crate::door::Door;
use crate::link::Links;
use crate::pool::Pool;
use crate::purse::Purse;
use crate::standstill::Standstill;
use crate::voters::Voters;

/// Bytes of answers to keyed operations that are kept, as a part of the memory.
const KEPT_PART: u64 = 5;

pub struct House {
    pub told: RefCell<NodeSettings>,
    pub clock: Clock,
    pub life: u64,
    pub own: String,
    pub chance: RefCell<Rand64>,
    pub script: RefCell<Option<Rc<RouteConfig>>>,
    pub playbill: RefCell<EndpointList>,
    pub companies: RefCell<BTreeMap<String, Company>>,
    pub links: Links,
    pub voters: Voters,
    pub beats: RefCell<HeartbeatTracker>,
    pub door: RefCell<Door>,
    pub waiting: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// Connections to the backend here that stand unused.
    pub pool: Pool,
    pub coats: RefCell<ResponseCache<Rc<Response>>>,
    /// Since when this proxy ends; whether others are told to send nothing here.
    pub stopping: Cell<Option<Micros>>,
    pub away: Cell<bool>,
    pub in_hand: Cell<usize>,
    /// Bytes of large answers that this machine has yet to send, and the usual size of those of a kind.
    pub to_send: Cell<usize>,
    pub sizes: RefCell<BTreeMap<u32, f64>>,
    /// Part of requests that were refused lately, smoothed.
    pub refusing: Cell<f64>,
    pub counts: RefCell<BTreeMap<&'static str, u64>>,
    standstill: Cell<Standstill>,
    number: Cell<u64>,
}

impl House {
    pub fn open(told: NodeSettings, life: u64) -> Rc<House> {
        let clock = Clock::start();
        let now = clock.now();
        let window = Micros(told.bounds.key_window.0 + 2_000_000);
        let kept = (told.memory_mb / KEPT_PART).max(4) as usize * (1 << 20);
        Rc::new(House {
            own: told.peer_address(),
            clock,
            life,
            chance: RefCell::new(Rand64::new(u128::from(life))),
            script: RefCell::default(),
            playbill: RefCell::default(),
            companies: RefCell::default(),
            links: Links::default(),
            voters: Voters::default(),
            beats: RefCell::new(HeartbeatTracker::new(told.heartbeat_interval, now)),
            door: RefCell::new(Door::open(now)),
            waiting: RefCell::default(),
            pool: Pool::default(),
            coats: RefCell::new(ResponseCache::new(window, kept)),
            stopping: Cell::new(None),
            away: Cell::new(false),
            in_hand: Cell::new(0),
            to_send: Cell::new(0),
            sizes: RefCell::default(),
            refusing: Cell::new(0.0),
            counts: RefCell::default(),
            standstill: Cell::new(Standstill::open(now)),
            number: Cell::new(0),
            told: RefCell::new(told),
        })
    }

    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The process runs. How old what is read now may be, where it stood still.
    pub fn runs(&self) -> Micros {
        let mut standstill = self.standstill.get();
        let age = standstill.runs(self.now());
        self.standstill.set(standstill);
        age
    }

    /// An id that this life of the process has not given before.
    pub fn number(&self) -> u64 {
        self.number.set(self.number.get() + 1);
        self.number.get()
    }

    pub fn dart(&self) -> f64 {
        self.chance.borrow_mut().rand_float()
    }

    /// How long this machine's link has to work off large answers, with one more of this kind; nothing for kinds that are small.
    pub fn backlog(&self, kind: u32) -> Micros {
        let speed = self.told.borrow().link_mbps * 1e6 / 8.0;
        let usual = self.sizes.borrow().get(&kind).copied().unwrap_or(0.0);
        if usual < 1.0 {
            Micros(0)
        } else {
            Micros(((self.to_send.get() as f64 + usual) / speed * 1e6) as i64)
        }
    }

    /// A large answer of this kind came from the backend.
    pub fn large(&self, kind: u32, bytes: usize) {
        let mut sizes = self.sizes.borrow_mut();
        if sizes.len() < 64 || sizes.contains_key(&kind) {
            let usual = sizes.entry(kind).or_insert(bytes as f64);
            *usual += 0.1 * (bytes as f64 - *usual);
        }
    }

    /// A request ended, refused or not.
    pub fn ended(&self, refused: bool) {
        let old = self.refusing.get();
        self.refusing.set(old + 0.03 * (f64::from(u8::from(refused)) - old));
    }

    /// When a refused request is to come back: soon where refusals are rare, later and spread where they are many, so that those who
    /// come back do not press on what is short already.
    pub fn come_back(&self, least: Micros) -> Micros {
        let many = (self.refusing.get() - 0.02).max(0.0) * 2.0;
        let span = Micros::ms(900).times(many.min(1.0) * (0.4 + 0.6 * self.dart()));
        least.max(Micros::ms(30)) + span
    }

    pub fn count(&self, what: &'static str) {
        *self.counts.borrow_mut().entry(what).or_default() += 1;
    }

    /// The company of a service, opened when it is first named.
    pub fn company<T>(&self, service: &str, then: impl FnOnce(&mut Company) -> T) -> T {
        let mut all = self.companies.borrow_mut();
        if !all.contains_key(service) {
            let company = self.new_company(service);
            all.insert(service.to_string(), company);
        }
        match all.get_mut(service) {
            Some(company) => then(company),
            None => unreachable!("it was put there"),
        }
    }

    fn new_company(&self, service: &str) -> Company {
        let (told, now) = (self.told.borrow(), self.now());
        let bounds = &told.bounds;
        let agents = self.agents();
        let purse = Purse::open(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window, agents, now);
        let seed = (self.dart() * 1e15) as u64;
        let mut company = Company::open(&told.zone, bounds.drain, seed, purse, now);
        let playbill = self.playbill.borrow();
        let stations =
            playbill.endpoints().filter(|s| s.service == service && s.state() != EndpointState::Left);
        let changes = Changes { updated: stations.cloned().collect(), removed: Vec::new() };
        if !changes.updated.is_empty() {
            company.listed(now, playbill.version(), &changes);
        }
        company
    }

    /// Agents that may spend further tries: all on the list, and half as many for those that it does not hold.
    fn agents(&self) -> usize {
        let here = self.playbill.borrow().endpoints().filter(|s| s.state() != EndpointState::Left).count();
        (here + here / 2).max(8)
    }

    /// A list came from the board that is followed.
    pub fn listed(&self, bill: EndpointUpdate) {
        let version = bill.version;
        let Some(changes) = self.playbill.borrow_mut().apply(bill) else {
            self.count("lists_older");
            return;
        };
        let mut by_service: BTreeMap<String, Changes> = BTreeMap::new();
        for station in changes.removed {
            by_service.entry(station.service.clone()).or_default().removed.push(station);
        }
        for station in changes.updated {
            by_service.entry(station.service.clone()).or_default().updated.push(station);
        }
        let (agents, slack, now) = (self.agents(), self.told.borrow().bounds.retry_slack, self.now());
        for (service, changes) in by_service {
            let known = self.companies.borrow().contains_key(&service);
            let orders =
                if known { self.company(&service, |c| c.listed(now, version, &changes)) } else { Vec::new() };
            self.notes(&service, orders);
        }
        self.companies.borrow_mut().values_mut().for_each(|c| c.purse.agents(slack, agents));
    }

    pub fn notes(&self, service: &str, orders: Vec<Order>) {
        for order in orders {
            if let Order::Note(line) = order {
                log::info!(target: "company", "{service}: {line}");
            }
        }
    }

    /// A chosen configuration; an older one changes nothing.
    pub fn word(&self, version: u64, body: &[u8]) {
        if self.script.borrow().as_ref().is_some_and(|s| s.version >= version) {
            return;
        }
        match RouteConfig::parse(body) {
            Ok(script) => {
                log::info!(target: "promptbook", "version {version} is in force, {} routes", script.routes.len());
                *self.script.borrow_mut() = Some(Rc::new(script));
            }
            // It was checked before it was acknowledged: the two programs differ.
            Err(refusal) => log::warn!(target: "promptbook", "version {version} is not taken: {refusal}"),
        }
    }

    /// Something happened to the backend here; the replicas are told where it changes what others have to know.
    pub fn backend(&self, event: Event) {
        let now = self.now();
        let changed = self.beats.borrow_mut().apply(now, event);
        let slots = self.beats.borrow().backend.as_ref().map(|o| o.heartbeat.slots);
        if let Some(slots) = slots {
            self.door.borrow_mut().slots(slots);
        }
        if changed {
            self.tell_station();
        }
    }

    /// What an earlier life of this proxy knew of the backend here, as a replica has it.
    pub fn recalled(&self, station: &Endpoint) {
        let told = self.told.borrow();
        let here = told.app_address.map(|a| a.to_string()) == Some(station.address.clone())
            && told.service == station.service;
        drop(told);
        if here && station.proxy == self.own {
            self.backend(Event::Recalled(Heartbeat {
                instance: station.instance.clone(),
                service: station.service.clone(),
                address: station.address.clone(),
                zone: station.zone.clone(),
                slots: station.slots,
                draining: station.state() == EndpointState::Draining,
                warmup: Micros(0),
                call_count: station.call_count,
            }));
        }
    }

    /// The backend here as the others are to know it.
    pub fn station(&self) -> Option<Endpoint> {
        let (beats, now) = (self.beats.borrow(), self.now());
        let own = beats.backend.as_ref()?;
        let state = match own.state {
            // While this proxy ends nobody reaches the backend through it.
            EndpointState::Ready | EndpointState::Draining if self.away.get() => EndpointState::Away,
            state => state,
        };
        Some(Endpoint {
            instance: own.heartbeat.instance.clone(),
            service: own.heartbeat.service.clone(),
            proxy: self.own.clone(),
            boot_id: self.life,
            number: 0,
            zone: own.heartbeat.zone.clone(),
            slots: own.heartbeat.slots,
            state: state.into(),
            warmup_ms: ((own.warm_at - now).0 / 1000).clamp(0, 600_000) as u32,
            address: own.heartbeat.address.clone(),
            call_count: own.heartbeat.call_count,
        })
    }

    pub fn tell_station(&self) {
        if let Some(station) = self.station() {
            self.voters.send_all(Payload::Endpoint(station));
        }
    }

    /// Whether clients may be sent here: a configuration, a list, and nothing newer known.
    pub fn ready(&self) -> bool {
        if self.stopping.get().is_some() || self.playbill.borrow().version() == 0 {
            return false;
        }
        let Some(version) = self.script.borrow().as_ref().map(|s| s.version) else { return false };
        let waited = self.now() >= Micros::ms(4_000);
        match self.voters.newest() {
            Some(newest) => version >= newest,
            None => waited,
        }
    }
}

/// A wait that ends with `None` once the time is over.
pub async fn within<T>(span: Micros, wait: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(Duration::from_micros(span.0.max(0) as u64), wait).await.ok()
}
