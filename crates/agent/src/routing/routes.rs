//! The routes and pools of one operator's file, as they run.
use std::collections::BTreeMap;
use std::rc::Rc;

use awc::http::header::HeaderName;
use notchspool::units::{ClassId, DeduplicationScope, Micros, RequestKind, TenantId};
use notchspool_routes::route_table::RouteTable;
use notchspool_routes::weighted_pools::WeightedPool;
use notchspool_settings::agent_file::{Affinity, OTHER_TENANTS};

use super::capacity::{Capacity, CapacityHold};
use super::pool::Pool;
use crate::state::request::{Headers, RouteId};

/// See the module.
pub struct RoutingTable {
    /// Finds the route of a request, by its index.
    pub table: RouteTable,
    /// The routes.
    pub routes: Vec<Route>,
    /// The pools.
    pub pools: Vec<Rc<Pool>>,
    /// The index of the pool that steps in for each, among the pools of this table: a pool outlives its table, an index does not.
    pub backups: Vec<Option<usize>>,
    /// How capacity is divided between pools.
    pub capacity: Capacity,
    /// How capacity is divided between tenants, if it is.
    pub tenants: Option<TenantTable>,
}

/// A route.
pub struct Route {
    /// Its number, which it keeps over changes of the file.
    pub id: RouteId,
    /// Its name.
    pub name: String,
    /// Its request class.
    pub class: ClassId,
    /// How its requests may be repeated.
    pub kind: RequestKind,
    /// Where a repeat is recognised.
    pub scope: DeduplicationScope,
    /// The header that carries the idempotency key.
    pub key_header: Option<HeaderName>,
    /// Its pools by name, in the same order as `pools`.
    pub weighted_pools: Vec<WeightedPool>,
    /// Indices of its pools.
    pub pools: Vec<usize>,
    /// What keeps a client's requests at one of several pools.
    pub affinity: Affinity,
    /// The header that states a deadline in milliseconds.
    pub deadline_header: Option<HeaderName>,
    /// The deadline without that header, and the longest with it.
    pub max_deadline: Micros,
    /// Headers that are added.
    pub added_headers: Headers,
    /// Headers that are removed.
    pub removed_headers: Vec<HeaderName>,
}

/// Tenants and their capacity.
pub struct TenantTable {
    /// The header that names the tenant.
    pub header: HeaderName,
    /// How capacity is divided.
    pub capacity: Capacity,
    /// Tenants of the file, with the fraction that is guaranteed to each.
    pub shares: BTreeMap<String, f64>,
}

impl TenantTable {
    /// Capacity for one more request of a tenant. A name that is not in the file is one of the others, whatever it is: whoever changes names
    /// shares their part.
    pub fn try_acquire(&self, name: Option<&str>) -> Option<CapacityHold> {
        let name = name.filter(|name| self.shares.contains_key(*name)).unwrap_or(OTHER_TENANTS);
        self.capacity.try_acquire(name)
    }

    /// The tenant's number, as the pools' quotas count; nothing for one of the others.
    pub fn id(&self, name: Option<&str>) -> Option<TenantId> {
        self.shares.keys().position(|known| Some(known.as_str()) == name).map(TenantId)
    }
}
