//! The endpoint registry, and the proxies that watch it.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_endpoint_registry::departure_claim;
use notchspool_endpoint_registry::registry::Registry;
use notchspool_mesh_protocol::{
    Age, DepartedInstance, DepartureReport, Endpoint, EndpointUpdate, LivenessReport, Payload, WatchEndpoints,
};

use super::Replica;
use super::connections::EndpointWatch;
use super::effect::ConnectionId;

/// A young registry is not told to those who hold a list: most proxies have not reported to it yet.
const GATHERING_TIME: Micros = Micros::ms(1_200);
/// An age that is told is taken as this at most, in milliseconds.
const MAX_AGE_MS: u64 = 1 << 30;

/// The registry, and since when it is gathered.
#[derive(Debug)]
pub(super) struct Endpoints {
    registry: Registry,
    gathering_since: Micros,
}

impl Endpoints {
    /// Nothing is known yet.
    pub fn new(now: Micros) -> Endpoints {
        Endpoints { registry: Registry::default(), gathering_since: now }
    }

    /// The registry.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The registry, to be changed.
    pub fn registry_mut(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Most proxies have not reported to this replica yet.
    pub fn restart_gathering(&mut self, now: Micros) {
        self.gathering_since = now;
    }

    /// Another replica tells whom it heard.
    pub fn on_report(&mut self, now: Micros, report: &LivenessReport) {
        self.registry.advance_to(report.registry_version);
        for proxy in &report.proxies {
            let age = Micros::ms(proxy.age_ms.min(MAX_AGE_MS) as i64);
            self.registry.refresh(now, &proxy.subject, age);
        }
    }

    /// How long ago each proxy was heard here.
    pub fn proxy_ages(&self, now: Micros) -> Vec<Age> {
        let ages = self.registry.ages(now).into_iter();
        ages.map(|(subject, age)| Age { subject, age_ms: (age.0 / 1000).max(0) as u64 }).collect()
    }
}

impl Replica {
    /// A proxy reports the backend beside it.
    pub(super) fn on_endpoint(&mut self, now: Micros, connection: ConnectionId, endpoint: Endpoint) {
        if let Some(link) = self.connections.get_mut(connection) {
            link.instance.clone_from(&endpoint.instance);
        }
        if !endpoint.instance.is_empty() && self.endpoints.registry.report(now, endpoint) {
            self.update_watchers(now);
        }
    }

    /// Tells a proxy the departures beside it that are on the disk here.
    pub(super) fn report_departures(&mut self, connection: ConnectionId, proxy: &str) {
        let keys = self.claims.table().own_keys_of(proxy);
        let departed = keys.filter_map(departure_claim::parse).map(|(instance, departure)| {
            DepartedInstance { instance: instance.to_string(), state: departure.state().into() }
        });
        let report = DepartureReport { departed: departed.collect(), complete: self.is_installed() };
        self.outbox.send(connection, Payload::DepartureReport(report));
    }

    /// This replica votes from now on, with all that its set has.
    pub(super) fn report_departures_to_all(&mut self) {
        for (connection, proxy) in self.connections.proxy_addresses() {
            self.report_departures(connection, &proxy);
        }
    }

    /// A proxy asks to be told of endpoints.
    pub(super) fn on_watch(&mut self, now: Micros, connection: ConnectionId, watch: WatchEndpoints) {
        self.endpoints.registry.advance_to(watch.version);
        // Versions numbered by another replica say nothing of what is missing there.
        let version = if watch.numbered_by == self.boot_id { watch.version } else { 0 };
        if let Some(link) = self.connections.get_mut(connection) {
            link.watch = Some(EndpointWatch { version, began_empty: watch.version == 0 });
        }
        // One that comes for the first time is told all, though that may be nothing: it knows then that it is told.
        self.update_watchers(now);
    }

    pub(super) fn on_unwatch(&mut self, connection: ConnectionId) {
        if let Some(link) = self.connections.get_mut(connection) {
            link.watch = None;
        }
    }

    /// Tells each watcher what it lacks. Who holds nothing is told what there is; who holds a list waits until this registry knows most.
    pub(super) fn update_watchers(&mut self, now: Micros) {
        let is_young = now - self.endpoints.gathering_since < GATHERING_TIME;
        let version = self.endpoints.registry.version();
        if version == 0 {
            return;
        }
        let mut updates: BTreeMap<u64, EndpointUpdate> = BTreeMap::new();
        for (connection, watch) in self.connections.watches_mut() {
            let is_behind = watch.version < version || watch.version == 0;
            if !is_behind || (is_young && !watch.began_empty) {
                continue;
            }
            let registry = &self.endpoints.registry;
            let update = updates.entry(watch.version).or_insert_with(|| EndpointUpdate {
                numbered_by: self.boot_id,
                ..registry.update_since(now, watch.version)
            });
            self.outbox.send(connection, Payload::EndpointUpdate(update.clone()));
            watch.version = version;
        }
    }
}
