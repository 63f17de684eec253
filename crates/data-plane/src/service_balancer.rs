//! The decision module (`notchspool`) for one service, as this proxy calls it: entries from endpoints, request classes from routes.
use std::collections::{BTreeMap, HashMap};

use notchspool::balancer::{Balancer, RequestHandle};
use notchspool::units::*;
use notchspool_endpoint_registry::endpoint_list::Changes;
use notchspool_mesh_config::route_config::{Route, RouteKind};
use notchspool_mesh_protocol::{Endpoint, EndpointState};

use crate::retry_budget::RetryBudget;

/// The part of its value that a response past its latency target still has for a client: it is waited for.
const LATE_VALUE: f64 = 0.3;
/// Weight of a backend in another zone; and for large responses, which cost on the way.
const REMOTE_ZONE_WEIGHT: f64 = 0.06;
const REMOTE_ZONE_WEIGHT_LARGE: f64 = 0.01;
/// Request classes of one service at most; routes beyond share one of them.
const MAX_CLASSES: usize = 32;
/// A backend that reports to be slow for some time yet is taken to warm up over this.
const WARMUP: Micros = Micros::ms(4_000);

/// Backends' slots are taken as at least 1 and at most this.
const MAX_SLOTS: u32 = 4_096;
/// A warm-up is taken as this at most, in milliseconds.
const MAX_WARMUP_MS: u32 = 600_000;
/// Attempts of one request at most, as the decision module counts them.
const MAX_ATTEMPTS: u32 = 8;

/// What the decision module wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerAction {
    /// Send the request to this backend.
    Send(RequestId, BackendId),
    /// There is no backend for it; when to come back.
    Reject(RequestId, Option<Micros>),
    /// It may have run, and is given up.
    Fail(RequestId),
    /// An attempt is of no use any more.
    Cancel(RequestId),
    /// A line for the log.
    Log(String),
}

/// Takes down what a call to the decision module wants done.
#[derive(Default)]
struct Recorder(Vec<BalancerAction>);

impl Effects for Recorder {
    fn send(&mut self, request: RequestId, to: BackendId, _: Micros) {
        self.0.push(BalancerAction::Send(request, to));
    }
    fn cancel(&mut self, request: RequestId, _: u32) {
        self.0.push(BalancerAction::Cancel(request));
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>) {
        self.0.push(BalancerAction::Reject(request, retry_after));
    }
    fn fail(&mut self, request: RequestId) {
        self.0.push(BalancerAction::Fail(request));
    }
    fn probe(&mut self, _: BackendId) {}
    fn watch(&mut self) {}
    fn wake_after(&mut self, _: Micros) {}
    fn log(&mut self, line: &str) {
        self.0.push(BalancerAction::Log(line.to_string()));
    }
}

/// What tells classes of requests apart for the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClassKey {
    idempotent: bool,
    is_large: bool,
    latency_target: Micros,
}

impl ClassKey {
    fn of(route: &Route) -> ClassKey {
        ClassKey {
            idempotent: route.kind.is_idempotent(),
            is_large: route.kind == RouteKind::Download,
            latency_target: route.latency_target,
        }
    }
}

/// How an attempt ended, for the decision module.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The attempt's number.
    pub attempt: u32,
    /// What became of it.
    pub outcome: AttemptOutcome,
    /// How long it took.
    pub took: Micros,
    /// The client gets its answer by this.
    pub is_final: bool,
}

/// The decision module for one service.
pub struct ServiceBalancer {
    balancer: Balancer,
    ids: HashMap<String, BackendId>,
    endpoints: Vec<Endpoint>,
    classes: BTreeMap<ClassKey, ClassId>,
    zones: BTreeMap<String, ZoneId>,
    /// Retries to this service.
    pub retry_budget: RetryBudget,
}

impl ServiceBalancer {
    /// `zone`: where this proxy stands; `drain`: nothing new to a backend this long after its drain.
    pub fn new(
        zone: &str,
        drain: Micros,
        seed: u64,
        retry_budget: RetryBudget,
        now: Micros,
    ) -> ServiceBalancer {
        let policy = Policy {
            agent_count: 1,
            zone: ZoneId(0),
            max_attempts: MAX_ATTEMPTS,
            drain_grace: Some(drain),
            watch_within: Micros::ms(60_000),
            warmup_floor: 0.4,
            warmup_span: WARMUP,
            warmup_multiple: 2.0,
            warmup_window: Micros::ms(1_000),
            retry_after: Some(Micros::ms(60)),
            tick: Micros::ms(1),
            backend_admission: true,
            subset_size: Some(usize::MAX),
            ..Policy::default()
        };
        ServiceBalancer {
            balancer: Balancer::new(policy, seed, now),
            ids: HashMap::new(),
            endpoints: Vec::new(),
            classes: BTreeMap::new(),
            zones: BTreeMap::from([(zone.to_string(), ZoneId(0))]),
            retry_budget,
        }
    }

    /// The endpoint with this number.
    pub fn endpoint(&self, id: BackendId) -> Option<&Endpoint> {
        self.endpoints.get(id.0 as usize)
    }

    /// How many of its backends are listed, healthy and not leaving.
    pub fn healthy_backends(&self) -> usize {
        self.balancer.healthy_backends()
    }

    /// How many of its requests have neither been answered nor given up.
    pub fn open_requests(&self) -> usize {
        self.balancer.open_requests()
    }

    /// The number of this instance: its own, or that of one that has left.
    fn id_of(&mut self, endpoint: &Endpoint) -> BackendId {
        if let Some(id) = self.ids.get(&endpoint.instance) {
            self.endpoints[id.0 as usize] = endpoint.clone();
            return *id;
        }
        let free = self.endpoints.iter().position(|known| known.state() == EndpointState::Left);
        let index = free.unwrap_or(self.endpoints.len());
        if index == self.endpoints.len() {
            self.endpoints.push(endpoint.clone());
        } else {
            self.ids.remove(&self.endpoints[index].instance);
            self.endpoints[index] = endpoint.clone();
        }
        let id = BackendId(index as u32);
        self.ids.insert(endpoint.instance.clone(), id);
        id
    }

    /// The endpoint list has changed, as of this version.
    pub fn apply_changes(&mut self, now: Micros, version: u64, changes: &Changes) -> Vec<BalancerAction> {
        let changed = changes.removed.iter().chain(&changes.updated);
        let entries: Vec<ListEntry> = changed.filter_map(|endpoint| self.entry_of(now, endpoint)).collect();
        let mut recorder = Recorder::default();
        self.balancer.set_clock(now);
        self.balancer.on_list(Refresh::Delta, Generation(version), &entries, &mut recorder);
        recorder.0
    }

    /// What the decision module is told of an endpoint; `None` for one that has left.
    fn entry_of(&mut self, now: Micros, endpoint: &Endpoint) -> Option<ListEntry> {
        if endpoint.state() == EndpointState::Left && !self.ids.contains_key(&endpoint.instance) {
            return None;
        }
        let next_zone = ZoneId(self.zones.len() as u32);
        let zone = *self.zones.entry(endpoint.zone.clone()).or_insert(next_zone);
        let status = match endpoint.state() {
            EndpointState::Ready => EndpointStatus::Ready,
            EndpointState::Draining | EndpointState::Away => EndpointStatus::Draining,
            EndpointState::Missing | EndpointState::Unknown => EndpointStatus::Gone,
            EndpointState::Left => {
                let id = self.id_of(endpoint);
                self.balancer.on_backend_left(id);
                return None;
            }
        };
        let warmup = Micros::ms(i64::from(endpoint.warmup_ms.min(MAX_WARMUP_MS)));
        let started = if warmup > Micros(0) { now + warmup - WARMUP } else { Micros(0) };
        let backend = self.id_of(endpoint);
        let size = f64::from(endpoint.slots.clamp(1, MAX_SLOTS));
        Some(ListEntry { backend, zone, status, started, size, ..ListEntry::default() })
    }

    /// The decision module's number for the class of a route's requests.
    fn class_of(&mut self, route: &Route) -> ClassId {
        let class = ClassKey::of(route);
        if let Some(id) = self.classes.get(&class) {
            return *id;
        }
        if self.classes.len() >= MAX_CLASSES
            && let Some((_, id)) = self.classes.iter().find(|(known, _)| known.idempotent == class.idempotent)
        {
            return *id;
        }
        let row = RequestClass {
            kind: if class.idempotent { RequestKind::Idempotent } else { RequestKind::NonIdempotent },
            scope: DeduplicationScope::All,
            deduplication_window: Micros(0),
            latency_target: class.latency_target,
            late_value: LATE_VALUE,
        };
        let remote_weight = if class.is_large { REMOTE_ZONE_WEIGHT_LARGE } else { REMOTE_ZONE_WEIGHT };
        let id = self.balancer.add_class(row, remote_weight);
        self.classes.insert(class, id);
        id
    }

    /// A request begins: where it is to be sent.
    pub fn begin(
        &mut self,
        now: Micros,
        request: RequestId,
        route: &Route,
        deadline: Micros,
    ) -> Vec<BalancerAction> {
        let class = self.class_of(route);
        self.retry_budget.on_request(now);
        let mut recorder = Recorder::default();
        self.balancer.set_clock(now);
        self.balancer.begin(request, class, deadline).route(&mut recorder);
        recorder.0
    }

    fn request(&mut self, now: Micros, request: RequestId) -> Option<RequestHandle<'_>> {
        self.balancer.set_clock(now);
        self.balancer.request(request)
    }

    /// An attempt has ended: where the request is to be sent next.
    pub fn on_attempt_end(
        &mut self,
        now: Micros,
        request: RequestId,
        end: AttemptEnd,
    ) -> Vec<BalancerAction> {
        let mut recorder = Recorder::default();
        if let Some(request) = self.request(now, request) {
            request.on_attempt_end(end.attempt, end.outcome, end.took, end.is_final, &mut recorder);
        }
        recorder.0
    }

    /// The client left.
    pub fn on_client_left(&mut self, now: Micros, request: RequestId) {
        if let Some(request) = self.request(now, request) {
            request.on_client_left(&mut Recorder::default());
        }
    }

    /// The proxy beside a backend reports its load: utilisation in thousandths, plus 1; 0 where it is not reported.
    pub fn on_load_report(&mut self, now: Micros, id: BackendId, utilisation: u32) {
        self.balancer.set_clock(now);
        let utilisation = (utilisation > 0).then(|| f64::from(utilisation - 1) / 1_000.0);
        if utilisation.is_some() {
            self.balancer.on_load_report(id, Some(LoadReport { utilisation, ..LoadReport::default() }));
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) -> Vec<BalancerAction> {
        let mut recorder = Recorder::default();
        self.balancer.set_clock(now);
        self.balancer.on_wake(&mut recorder);
        recorder.0
    }
}
