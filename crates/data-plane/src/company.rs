//! The decision module for one service, as this proxy calls it: entries from the list, schemes from routes, orders that come back.
use std::collections::{BTreeMap, HashMap};

use notchspool::logic::{Balancer, Txn};
use notchspool::units::*;
use notchspool_endpoint_registry::endpoint_list::Changes;
use notchspool_mesh_config::route_config::{Route, RouteKind};
use notchspool_mesh_protocol::{Endpoint, EndpointState};

use crate::purse::Purse;

/// Part of its worth that an answer past its target still has for a client: it is waited for.
const OVERDUE: f64 = 0.3;
/// Weight of a backend in another zone; that of one for large answers, which cost on the way.
const AFAR: f64 = 0.06;
const AFAR_LARGE: f64 = 0.01;
/// Schemes of one service at most; routes beyond share the last.
const MOST_SCHEMES: usize = 32;
/// A backend that reports to be slow for some time yet is taken to warm up over this.
const COLD: Micros = Micros::ms(4_000);

/// What the module wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Post(TxnRef, BackendId),
    Decline(TxnRef, Option<Micros>),
    Reverse(TxnRef),
    Cancel(TxnRef),
    Note(String),
}

/// Takes down what a call to the module wants done.
#[derive(Default)]
pub struct Orders(pub Vec<Order>);

impl Outlet for Orders {
    fn post(&mut self, txn: TxnRef, to: BackendId, _: Micros) {
        self.0.push(Order::Post(txn, to));
    }
    fn cancel(&mut self, txn: TxnRef, _: u32) {
        self.0.push(Order::Cancel(txn));
    }
    fn decline(&mut self, txn: TxnRef, away: Option<Micros>) {
        self.0.push(Order::Decline(txn, away));
    }
    fn reverse(&mut self, txn: TxnRef) {
        self.0.push(Order::Reverse(txn));
    }
    fn probe(&mut self, _: BackendId) {}
    fn watch(&mut self) {}
    fn wake_in(&mut self, _: Micros) {}
    fn note(&mut self, line: &str) {
        self.0.push(Order::Note(line.to_string()));
    }
}

pub struct Company {
    balancer: Balancer,
    ids: HashMap<String, BackendId>,
    stations: Vec<Endpoint>,
    schemes: BTreeMap<(bool, bool, i64), SchemeId>,
    zones: BTreeMap<String, ZoneId>,
    pub purse: Purse,
    version: u64,
}

impl Company {
    pub fn open(zone: &str, drain: Micros, seed: u64, purse: Purse, now: Micros) -> Company {
        let terms = Terms {
            agents: 1,
            zone: ZoneId(0),
            max_postings: 8,
            drain_grace: Some(drain),
            ask_within: Micros::ms(60_000),
            cold_from: 0.4,
            cold_span: COLD,
            fall_multiple: 2.0,
            fall_span: Micros::ms(1_000),
            retry_after: Some(Micros::ms(60)),
            tick: Micros::ms(1),
            doors: true,
            few: Some(usize::MAX),
            ..Terms::default()
        };
        Company {
            balancer: Balancer::open(terms, seed, now),
            ids: HashMap::new(),
            stations: Vec::new(),
            schemes: BTreeMap::new(),
            zones: BTreeMap::from([(zone.to_string(), ZoneId(0))]),
            purse,
            version: 0,
        }
    }

    pub fn station(&self, id: BackendId) -> Option<&Endpoint> {
        self.stations.get(id.0 as usize)
    }

    /// How many of its backends are listed, sound and not leaving.
    pub fn sound(&self) -> usize {
        self.balancer.sound()
    }

    /// A place for this instance: its own, or that of one that has left.
    fn place(&mut self, station: &Endpoint) -> BackendId {
        if let Some(id) = self.ids.get(&station.instance) {
            self.stations[id.0 as usize] = station.clone();
            return *id;
        }
        let free = self.stations.iter().position(|s| s.state() == EndpointState::Left);
        let at = free.unwrap_or(self.stations.len());
        if at == self.stations.len() {
            self.stations.push(station.clone());
        } else {
            self.ids.remove(&self.stations[at].instance);
            self.stations[at] = station.clone();
        }
        let id = BackendId(at as u32);
        self.ids.insert(station.instance.clone(), id);
        id
    }

    /// The list changed, as of this version.
    pub fn listed(&mut self, now: Micros, version: u64, changes: &Changes) -> Vec<Order> {
        let mut entries = Vec::new();
        for station in changes.removed.iter().chain(&changes.updated) {
            if station.state() == EndpointState::Left && !self.ids.contains_key(&station.instance) {
                continue;
            }
            let next = ZoneId(self.zones.len() as u32);
            let zone = *self.zones.entry(station.zone.clone()).or_insert(next);
            let standing = match station.state() {
                EndpointState::Ready => Standing::Ready,
                EndpointState::Draining | EndpointState::Away => Standing::Draining,
                EndpointState::Missing | EndpointState::Unknown => Standing::Gone,
                EndpointState::Left => {
                    let id = self.place(station);
                    self.balancer.dropped(id);
                    continue;
                }
            };
            let cold = Micros::ms(i64::from(station.warmup_ms.min(600_000)));
            let started = if cold > Micros(0) { now + cold - COLD } else { Micros(0) };
            let backend = self.place(station);
            let size = f64::from(station.slots.clamp(1, 4_096));
            entries.push(Entry { backend, zone, standing, started, size, ..Entry::default() });
        }
        self.version = version;
        let mut orders = Orders::default();
        self.balancer.clock(now);
        self.balancer.listed(Refresh::Delta, Generation(version), &entries, &mut orders);
        orders.0
    }

    /// The row of the scheme table for a route.
    fn scheme(&mut self, route: &Route) -> SchemeId {
        let (repeatable, large) = (route.kind.is_idempotent(), route.kind == RouteKind::Download);
        let key = (repeatable, large, route.latency_target.0);
        if let Some(id) = self.schemes.get(&key) {
            return *id;
        }
        if self.schemes.len() >= MOST_SCHEMES
            && let Some((_, id)) = self.schemes.iter().find(|(k, _)| k.0 == repeatable)
        {
            return *id;
        }
        let kind = if repeatable { Kind::Repeatable } else { Kind::OnceOnly };
        let row = Scheme {
            kind,
            group: Group::All,
            window: Micros(0),
            sla: route.latency_target,
            overdue: OVERDUE,
        };
        let id = self.balancer.scheme(row, if large { AFAR_LARGE } else { AFAR });
        self.schemes.insert(key, id);
        id
    }

    pub fn take(&mut self, now: Micros, txn: TxnRef, route: &Route, expiry: Micros) -> Vec<Order> {
        let scheme = self.scheme(route);
        self.purse.earn(now);
        let mut orders = Orders::default();
        self.balancer.clock(now);
        self.balancer.take(txn, scheme, expiry).route(&mut orders);
        orders.0
    }

    fn txn(&mut self, now: Micros, txn: TxnRef) -> Option<Txn<'_>> {
        self.balancer.clock(now);
        self.balancer.txn(txn)
    }

    /// A posting came back; `closed`: the client gets its answer by this.
    pub fn returned(
        &mut self,
        now: Micros,
        txn: TxnRef,
        posting: u32,
        fate: Fate,
        took: Micros,
        closed: bool,
    ) -> Vec<Order> {
        let mut orders = Orders::default();
        if let Some(txn) = self.txn(now, txn) {
            txn.returned(posting, fate, took, closed, &mut orders);
        }
        orders.0
    }

    /// The client left.
    pub fn left(&mut self, now: Micros, txn: TxnRef) {
        if let Some(txn) = self.txn(now, txn) {
            txn.left(&mut Orders::default());
        }
    }

    /// What the door beside a backend reports of its load.
    pub fn reported(&mut self, now: Micros, id: BackendId, busy: u32) {
        self.balancer.clock(now);
        let utilisation = (busy > 0).then(|| f64::from(busy - 1) / 1_000.0);
        if utilisation.is_some() {
            self.balancer.reported(id, Some(Report { utilisation, ..Report::default() }));
        }
    }

    pub fn wake(&mut self, now: Micros) -> Vec<Order> {
        let mut orders = Orders::default();
        self.balancer.clock(now);
        self.balancer.wake(&mut orders);
        orders.0
    }
}
