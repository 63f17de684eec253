//! One pool as it runs: its balancer, its list, its registry if it follows one.
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::{Actor, Addr};
use notchspool::units::{CellId, EndpointStatus, Generation, ListEntry, Micros, Refresh};
use notchspool_routes::failover::Failover;
use notchspool_settings::agent_file::{self, PoolMember, Protocol};

use crate::base::clock::to_duration;
use crate::base::limits::SharedLimits;
use crate::state::balancer_actor::{BalancerActor, BalancerContext, ClosePool, SetRegistry};
use crate::state::endpoint_list::{EndpointListActor, ListContext, RestoreList, SetBans, WatchLine};
use crate::state::list_row::{ListDocument, ListRow};
use crate::wire::connection_history::ConnectionHistory;
use crate::wire::fastcgi::backend::fastcgi_backends;
use crate::wire::http_backend::{BackendContext, http_backends};
use crate::wire::registry_client::{ChangeAddress, RegistryClient};

/// A connection is kept idle for this fraction of the time after which a backend closes it: an attempt that is written near that time may have run.
pub const KEPT_IDLE_FRACTION: f64 = 0.8;

/// What all pools of a process share.
#[derive(Clone)]
pub struct PoolContext {
    /// For balancers.
    pub balancer: BalancerContext,
    /// The limits of the process.
    pub limits: SharedLimits,
    /// For lists.
    pub list: ListContext,
    /// Backends that are out by hand.
    pub bans: Rc<RefCell<BTreeSet<String>>>,
}

/// The registry that a pool follows.
struct Registry {
    address: SocketAddr,
    client: Addr<RegistryClient>,
}

/// See the module.
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Takes its requests.
    pub balancer: Addr<BalancerActor>,
    list: Addr<EndpointListActor>,
    registry: Option<Registry>,
    /// What it was opened with; another of these is another pool.
    fixed_settings: String,
    members: RefCell<Vec<PoolMember>>,
    version: Cell<u64>,
    /// Whether its backup steps in.
    pub failover: RefCell<Failover>,
}

/// All that can't change while it runs.
fn fixed_settings(pool: &agent_file::Pool) -> String {
    format!(
        "{:?} {:?} {:?} {:?} {}",
        pool.protocol,
        pool.policy,
        pool.connect_timeout,
        pool.idle_timeout,
        pool.registry.is_some()
    )
}

impl Pool {
    /// Opens a pool of the file.
    pub fn open(pool: &agent_file::Pool, zones: Vec<String>, seed: u64, context: &PoolContext) -> Pool {
        let BalancerContext { clock, counters, .. } = context.balancer.clone();
        let backends = Rc::new(BackendContext {
            clock,
            counters: counters.clone(),
            limits: context.limits.clone(),
            connect_timeout: to_duration(pool.connect_timeout),
            idle_timeout: to_duration(pool.idle_timeout.times(KEPT_IDLE_FRACTION)),
        });
        let balancer = BalancerActor::new(pool.policy.clone(), seed, context.balancer.clone()).start();
        let make_backend = match pool.protocol {
            Protocol::Http => http_backends(balancer.clone(), backends.clone()),
            Protocol::Fastcgi => fastcgi_backends(balancer.clone(), backends.clone()),
        };
        let list_context = context.list.clone();
        let list = EndpointListActor::new(
            balancer.clone(),
            clock,
            counters.clone(),
            zones,
            list_context,
            make_backend,
        )
        .start();
        let registry = pool.registry.map(|address| {
            let client = backends.client(None, ConnectionHistory::registry());
            let client = RegistryClient::new(address, client, list.clone(), counters.clone()).start();
            balancer.do_send(SetRegistry(client.clone().recipient()));
            Registry { address, client }
        });
        let opened = Pool {
            name: pool.name.clone(),
            balancer,
            list,
            registry,
            fixed_settings: fixed_settings(pool),
            members: RefCell::default(),
            version: Cell::new(0),
            failover: RefCell::new(Failover::new(seed)),
        };
        // Bans come before the list is known.
        opened.set_bans(&context.bans.borrow());
        opened.list_members(pool, Refresh::Restored);
        opened
    }

    /// These backends are out by hand, and nobody else.
    pub fn set_bans(&self, names: &BTreeSet<String>) {
        self.list.do_send(SetBans(names.clone()));
    }

    /// Its list.
    pub fn list(&self) -> Addr<EndpointListActor> {
        self.list.clone()
    }

    /// Whether this one goes on as that pool of a new file: what is known of its backends stays then.
    pub fn continues_as(&self, pool: &agent_file::Pool) -> bool {
        self.name == pool.name && self.fixed_settings == fixed_settings(pool)
    }

    /// Takes what may change while it runs.
    pub fn update(&self, pool: &agent_file::Pool) {
        if let (Some(registry), Some(address)) = (&self.registry, pool.registry)
            && registry.address != address
        {
            registry.client.do_send(ChangeAddress(address));
        }
        if pool.registry.is_none() && *self.members.borrow() != pool.members {
            self.list_members(pool, Refresh::Full);
        }
    }

    fn list_members(&self, pool: &agent_file::Pool, refresh: Refresh) {
        // One that follows a registry knows nobody yet, and has no version of its own.
        self.version.set(if pool.registry.is_some() { 0 } else { self.version.get() + 1 });
        let rows = pool.members.iter().map(list_row).collect();
        let document = ListDocument { refresh, version: Generation(self.version.get()), rows };
        match refresh {
            Refresh::Restored => self.list.do_send(RestoreList(document)),
            Refresh::Full | Refresh::Delta => self.list.do_send(WatchLine::Document(document)),
        }
        *self.members.borrow_mut() = pool.members.clone();
    }

    /// Nothing new comes; what is in flight ends by itself.
    pub fn close(&self) {
        log::info!("pool {}: closing", self.name);
        let registry = self.registry.iter().map(|registry| registry.client.clone().recipient());
        let dependents = registry.chain([self.list.clone().recipient()]).collect();
        self.balancer.do_send(ClosePool(dependents));
    }
}

fn list_row(member: &PoolMember) -> ListRow {
    ListRow {
        name: member.name.clone(),
        address: member.address,
        zone: member.zone.clone(),
        model: String::new(),
        entry: ListEntry {
            cell: CellId(member.cell),
            status: EndpointStatus::Ready,
            started: Micros(0),
            size: member.size,
            ..ListEntry::default()
        },
    }
}
