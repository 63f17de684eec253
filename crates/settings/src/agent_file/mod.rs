//! An operator's file: listeners, pools, request classes and routes. [`read`] checks all of it; `form` is how it is written.
mod checker;
mod classes;
mod fleet;
mod form;
mod pools;
mod routes;

use std::net::SocketAddr;
use std::path::PathBuf;

use notchspool::units::{Micros, Policy, RequestClass};
use notchspool_routes::route_rule::RouteRule;
use notchspool_routes::weighted_pools::WeightedPool;

use crate::mistake::Mistake;
use crate::zones::zone_id;
use checker::Checker;
pub use form::Protocol;

/// The least memory that an agent runs in, in megabytes.
const MIN_MEMORY_MB: usize = 8;
/// The largest limit that a file may state: no machine has more of anything.
const MAX_LIMIT: usize = 1 << 24;
/// Descriptors of an agent with nothing to serve, and those of each listener and pool and for the backends of each pool.
const BASE_DESCRIPTORS: usize = 48;
const DESCRIPTORS_PER_LISTENER_OR_POOL: usize = 2;
const DESCRIPTORS_FOR_BACKENDS: usize = 8;
/// Shares may add up to the whole and this much more, for the sake of rounding.
const ROUNDING: f64 = 1e-9;

/// All that one file says, in its order, with every name resolved to an index.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Name of the agent.
    pub name: String,
    /// Names of zones; the agent's own is the first.
    pub zones: Vec<String>,
    /// Seed of all randomness; without it the time of the start.
    pub seed: Option<u64>,
    /// Where operators call.
    pub management: Option<SocketAddr>,
    /// Memory limit, in megabytes.
    pub memory_mb: usize,
    /// Limit on file descriptors.
    pub descriptors: usize,
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// Pools of backends.
    pub pools: Vec<Pool>,
    /// Request classes.
    pub classes: Vec<ClassConfig>,
    /// Routes; the first that matches is taken.
    pub routes: Vec<Route>,
    /// How capacity is divided among tenants, if it is.
    pub tenants: Option<Tenants>,
    /// The fleet that the agent belongs to.
    pub fleet: Option<Fleet>,
}

/// Where clients connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: ListenAddress,
    /// What is spoken there.
    pub protocol: Protocol,
}

/// An address to listen on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListenAddress {
    /// TCP.
    Tcp(SocketAddr),
    /// A Unix socket at this path.
    Unix(PathBuf),
}

/// A pool of backends.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// For the decision module.
    pub policy: Policy,
    /// Backends that are written down.
    pub members: Vec<PoolMember>,
    /// What its backends speak.
    pub protocol: Protocol,
    /// Followed instead of members that are written down.
    pub registry: Option<SocketAddr>,
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Micros,
    /// After this a backend closes an idle connection.
    pub idle_timeout: Micros,
    /// The fraction of the agent's requests in flight that is guaranteed to it.
    pub guaranteed_fraction: f64,
    /// Its weight when the rest is lent.
    pub weight: f64,
    /// Index of the pool that steps in for it.
    pub backup: Option<usize>,
}

/// A backend that is written down.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMember {
    /// Its name; without one in the file its address.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Its cell.
    pub cell: i64,
    /// Its size, relative to the others.
    pub size: f64,
}

/// A request class: what the decision module reads, and what only the agent does.
#[derive(Clone, Debug)]
pub struct ClassConfig {
    /// Its name.
    pub name: String,
    /// For the decision module.
    pub class: RequestClass,
    /// The longest that a client waits.
    pub max_deadline: Micros,
    /// The header that carries the idempotency key, in lower case.
    pub key_header: Option<String>,
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// What it asks of a request.
    pub rule: RouteRule,
    /// Index of its request class.
    pub class: usize,
    /// Its pools.
    pub pools: Vec<RoutePool>,
    /// What keeps a client's requests at one of several pools.
    pub affinity: Affinity,
    /// The header that states a deadline in milliseconds, in lower case.
    pub deadline_header: Option<String>,
    /// The deadline without that header, and the longest with it.
    pub max_deadline: Micros,
    /// Headers that are added, names in lower case.
    pub added_headers: Vec<(String, String)>,
    /// Names of headers that are removed, in lower case.
    pub removed_headers: Vec<String>,
    /// Attempts for each request, over all pools; 1 and more.
    pub attempt_multiple: f64,
}

/// A pool of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutePool {
    /// Index of the pool.
    pub pool: usize,
    /// Its share of the route's requests, relative to the others.
    pub weight: f64,
}

impl Route {
    /// Its pools by their names, for the choice among them.
    pub fn weighted_pools(&self, pools: &[Pool]) -> Vec<WeightedPool> {
        let weighted = |of: &RoutePool| WeightedPool { name: pools[of.pool].name.clone(), weight: of.weight };
        self.pools.iter().map(weighted).collect()
    }
}

/// What keeps a client's requests at one of several pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// Nothing: each request is drawn.
    None,
    /// The value of this header.
    Header(String),
    /// The path.
    Path,
    /// The client's address.
    Client,
}

/// How the capacity of an agent is divided among tenants.
#[derive(Clone, Debug)]
pub struct Tenants {
    /// The header that names the tenant, in lower case.
    pub header: String,
    /// Tenants by name, with the fraction of the capacity that is guaranteed to each.
    pub shares: Vec<(String, f64)>,
}

/// All who name themselves otherwise, or not at all, are one tenant of this name.
pub const OTHER_TENANTS: &str = "(others)";

/// The fleet that an agent belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its name.
    pub name: String,
    /// Its controllers, in the order of their own files.
    pub controllers: Vec<SocketAddr>,
    /// A folder for what the agent has to know after a restart.
    pub state_folder: PathBuf,
    /// Name of the agent's zone.
    pub zone: String,
}

/// Reads the text of an operator's file. `file` is its name in mistakes.
///
/// # Errors
///
/// All mistakes that can be found at once, in the order of the file.
pub fn read(file: &str, text: &str) -> Result<AgentConfig, Vec<Mistake>> {
    let form: form::File =
        toml::from_str(text).map_err(|e| vec![Mistake::at(file, text, e.span(), e.message())])?;
    let mut checker = Checker::new(file, text);
    let config = read_form(&mut checker, form);
    let mistakes = checker.into_mistakes();
    if mistakes.is_empty() { Ok(config) } else { Err(mistakes) }
}

fn read_form(checker: &mut Checker, form: form::File) -> AgentConfig {
    let mut zones = Vec::new();
    let zone = zone_id(&mut zones, &form.zone);
    let classes = classes::read(checker, &form.classes);
    let listeners = read_listeners(checker, &form);
    let own_addresses: Vec<SocketAddr> = listeners.iter().filter_map(tcp_address).collect();
    let management = read_management(checker, &form, &own_addresses);
    let fleet = form.fleet.as_ref().and_then(|row| fleet::read(checker, row, &form.name, &form.zone));
    let tenants = read_tenants(checker, form.tenants.as_ref());
    let context =
        pools::Context { classes: &classes, own_addresses: &own_addresses, zone, tenants: tenants.as_ref() };
    let pools = pools::read(checker, &form.pool, &context);
    let routes = routes::read(checker, &form.route, &listeners, &pools, &classes);
    check_limits(checker, &form.limits, listeners.len(), pools.len());
    AgentConfig {
        name: form.name,
        zones,
        seed: form.seed,
        management,
        memory_mb: *form.limits.memory_mb.get_ref(),
        descriptors: *form.limits.descriptors.get_ref(),
        listeners,
        pools,
        classes,
        routes,
        tenants,
        fleet,
    }
}

fn tcp_address(listener: &Listener) -> Option<SocketAddr> {
    match listener.address {
        ListenAddress::Tcp(address) => Some(address),
        ListenAddress::Unix(_) => None,
    }
}

fn read_listeners(checker: &mut Checker, form: &form::File) -> Vec<Listener> {
    let rows = &form.listen;
    let names = checker.names("listener", rows.iter().map(|row| &row.get_ref().name));
    let mut listeners: Vec<Listener> = Vec::new();
    for (name, row) in names.into_iter().zip(rows) {
        let address = match (&row.get_ref().at, &row.get_ref().unix) {
            (Some(address), None) => checker.address(address).map(ListenAddress::Tcp),
            (None, Some(path)) => Some(ListenAddress::Unix(path.get_ref().into())),
            _ => {
                checker.mistake(row.span(), "a listener wants one of `at` and `unix`");
                None
            }
        };
        // A mistake refuses the file in the end; until then the listener keeps its index.
        let unreadable = ListenAddress::Unix(PathBuf::default());
        let address = address.unwrap_or_else(|| unreadable.clone());
        if address != unreadable && listeners.iter().any(|other| other.address == address) {
            checker.mistake(row.span(), "a second listener there");
        }
        listeners.push(Listener { name, address, protocol: row.get_ref().protocol });
    }
    if listeners.is_empty() {
        checker.mistake(0..0, "no [[listen]]: where should clients connect?");
    }
    listeners
}

fn read_management(
    checker: &mut Checker,
    form: &form::File,
    own_addresses: &[SocketAddr],
) -> Option<SocketAddr> {
    let field = form.management.as_ref()?;
    let address = checker.address(field)?;
    if own_addresses.contains(&address) {
        checker.mistake(field.span(), "a listener is there already");
    }
    Some(address)
}

fn read_tenants(checker: &mut Checker, row: Option<&form::Tenants>) -> Option<Tenants> {
    let row = row?;
    let share = |(name, share)| (String::clone(name), checker.number(share, 0.0, 1.0));
    let shares: Vec<(String, f64)> = row.shares.iter().map(share).collect();
    let sum: f64 = shares.iter().map(|(_, share)| share).sum();
    if let Some((_, last)) = row.shares.last_key_value().filter(|_| sum > 1.0 + ROUNDING) {
        let what = format!("the shares of the tenants come to {sum:.2}, more than the whole");
        checker.mistake(last.span(), what);
    }
    Some(Tenants { header: row.header.to_ascii_lowercase(), shares })
}

fn check_limits(checker: &mut Checker, limits: &form::Limits, listeners: usize, pools: usize) {
    if *limits.memory_mb.get_ref() < MIN_MEMORY_MB {
        checker.mistake(limits.memory_mb.span(), "below 8 MB nothing runs");
    }
    let least = BASE_DESCRIPTORS
        + DESCRIPTORS_PER_LISTENER_OR_POOL * (listeners + pools)
        + DESCRIPTORS_FOR_BACKENDS * pools;
    if *limits.descriptors.get_ref() < least {
        let what = format!("{listeners} listeners and {pools} pools want {least} descriptors at the least");
        checker.mistake(limits.descriptors.span(), what);
    }
    for limit in [&limits.memory_mb, &limits.descriptors] {
        if *limit.get_ref() > MAX_LIMIT {
            checker.mistake(limit.span(), format!("is over {MAX_LIMIT}"));
        }
    }
}
