//! One configuration of the mesh: checked as a whole before anything of it is in force, and looked up by host and longest path prefix.
//!
//! The JSON form is the operators' (`config.replace`); field names in errors are theirs.
use std::collections::{BTreeMap, HashMap};

use notchspool::units::Micros;

/// How a route's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// Idempotent: may run any number of times.
    Safe,
    /// Must not run twice.
    Unsafe,
    /// Carries an idempotency key: runs once for each key within the key window.
    Keyed,
    /// A large answer, which may be fetched again.
    Download,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::Download)
    }
}

/// A service with its weight in a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its part of the traffic; 0 or more.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name in the configuration.
    pub name: String,
    /// The host whose requests it takes.
    pub host: String,
    /// Paths that begin with this.
    pub prefix: String,
    /// How its requests may be repeated.
    pub kind: RouteKind,
    /// A request is answered within this.
    pub timeout: Micros,
    /// An answer within this has its full value.
    pub latency_target: Micros,
    /// 0 is the highest.
    pub priority: u32,
    /// Backends that one request may be sent to, over all attempts.
    pub max_attempts: u32,
    /// Where its traffic goes; the sum of the weights is above 0.
    pub traffic_split: Vec<WeightedService>,
}

impl Route {
    /// The service that a draw in 0..1 falls on, by weight.
    pub fn pick_service(&self, draw: f64) -> &str {
        let mut remaining = draw * self.traffic_split.iter().map(|part| part.weight).sum::<f64>();
        let is_hit = |part: &&WeightedService| {
            remaining -= part.weight;
            remaining < 0.0
        };
        let parts = self.traffic_split.as_slice();
        let found = parts.iter().find(is_hit).or_else(|| parts.iter().rfind(|part| part.weight > 0.0));
        found.map_or("", |part| &part.service)
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of its backends' health check.
    pub health_path: String,
    /// Connections that one backend takes at most.
    pub max_connections: u32,
    /// Its backends keep a record of idempotency keys of their own.
    pub deduplicates: bool,
}

/// What a client may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head at most.
    pub max_header_bytes: usize,
    /// Bytes of a request's body at most.
    pub max_body_bytes: usize,
    /// A request's head has to be complete within this.
    pub header_timeout: Micros,
    /// A connection without a request is closed after this.
    pub idle_timeout: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 64 << 20,
            header_timeout: Micros::ms(5_000),
            idle_timeout: Micros::ms(30_000),
        }
    }
}

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{field}: {reason}")]
pub struct InvalidConfig {
    /// Where, as the path of a field.
    pub field: String,
    /// What is wrong there.
    pub reason: String,
}

/// A checked configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteConfig {
    /// The operator's number for it.
    pub version: u64,
    /// Routes by name.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// What a client may send.
    pub limits: Limits,
    /// Indexes of a host's routes, those with longer prefixes first.
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteConfig {
    /// From checked parts, which are put in order and indexed.
    pub(crate) fn new(
        version: u64,
        mut routes: Vec<Route>,
        services: BTreeMap<String, Service>,
        limits: Limits,
    ) -> RouteConfig {
        routes.sort_by(|a, b| a.name.cmp(&b.name));
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(routes[index].prefix.len()));
        }
        RouteConfig { version, routes, services, limits, by_host }
    }

    /// Of the routes of this host, the one with the longest prefix that begins the path. The host may carry a port, in any case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.strip_suffix(':').unwrap_or(host);
        let indexes = self.by_host.get(host).or_else(|| {
            let has_port = |(_, port): &(&str, &str)| port.bytes().all(|byte| byte.is_ascii_digit());
            let name = host.rsplit_once(':').filter(has_port).map_or(host, |(name, _)| name);
            self.by_host.get(&name.to_ascii_lowercase())
        });
        let mut routes = indexes?.iter().map(|&index| &self.routes[index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }
}
