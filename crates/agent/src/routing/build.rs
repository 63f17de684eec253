//! From the file to the routes and pools that run, the first time and each time after.
use std::collections::BTreeMap;
use std::rc::Rc;

use awc::http::header::{HeaderName, HeaderValue};
use notchspool::units::ClassId;
use notchspool_quotas::quota_pool::QuotaShare;
use notchspool_routes::retry_budget::RetryBudget;
use notchspool_routes::route_table::RouteTable;
use notchspool_settings::agent_file::{self, AgentConfig, OTHER_TENANTS};

use super::capacity::Capacity;
use super::pool::{Pool, PoolContext};
use super::routes::{Route, RoutingTable, TenantTable};
use crate::state::request::{Headers, RetryBudgets, RouteId};

/// Of each tenant's share this fraction is guaranteed; the rest is lent to whoever needs it.
const GUARANTEED_FRACTION: f64 = 0.8;

/// Why a file can't be built, though it makes sense.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BuildError {
    /// A name is no name of a header.
    #[display("{context}`{name}` is no name of a header")]
    HeaderName {
        /// Where it stands.
        context: String,
        /// The name.
        name: String,
    },
    /// A text is no value of a header.
    #[display("{context}`{value}` is no value of a header")]
    HeaderValue {
        /// Where it stands.
        context: String,
        /// The text.
        value: String,
    },
}

fn header_name(context: &str, name: &str) -> Result<HeaderName, BuildError> {
    HeaderName::try_from(name)
        .map_err(|_| BuildError::HeaderName { context: context.to_owned(), name: name.to_owned() })
}

fn header_value(context: &str, value: &str) -> Result<HeaderValue, BuildError> {
    HeaderValue::try_from(value)
        .map_err(|_| BuildError::HeaderValue { context: context.to_owned(), value: value.to_owned() })
}

/// Numbers of routes by their names; a name keeps its number, and with it what its retry budget has saved, while its multiple stays.
#[derive(Default)]
pub struct RouteIds(BTreeMap<String, NumberedRoute>);

struct NumberedRoute {
    id: RouteId,
    /// The multiple of its retry budget, as text: it is compared alone.
    multiple: String,
}

impl RouteIds {
    fn assign(&mut self, route: &agent_file::Route, budgets: &RetryBudgets) -> RouteId {
        let multiple = route.attempt_multiple.to_string();
        if let Some(known) = self.0.get(&route.name).filter(|known| known.multiple == multiple) {
            return known.id;
        }
        let mut budgets = budgets.borrow_mut();
        let id = RouteId(budgets.keys().next_back().map_or(0, |last| last.0 + 1));
        budgets.insert(id, RetryBudget::new(route.attempt_multiple));
        self.0.insert(route.name.clone(), NumberedRoute { id, multiple });
        id
    }

    /// Drops routes that are in the file no more, and their budgets.
    fn retain(&mut self, config: &AgentConfig, budgets: &RetryBudgets) {
        self.0.retain(|name, _| config.routes.iter().any(|route| route.name == *name));
        let kept: Vec<RouteId> = self.0.values().map(|known| known.id).collect();
        budgets.borrow_mut().retain(|id, _| kept.contains(id));
    }
}

/// The headers of a file, as they are used.
struct ParsedHeaders {
    routes: Vec<RouteHeaders>,
    tenant: Option<HeaderName>,
    /// Of each class, the one that carries its key.
    keys: Vec<Option<HeaderName>>,
}

struct RouteHeaders {
    added: Headers,
    removed: Vec<HeaderName>,
    deadline: Option<HeaderName>,
}

impl ParsedHeaders {
    fn parse(config: &AgentConfig) -> Result<ParsedHeaders, BuildError> {
        let optional = |name: Option<&str>| name.map(|name| header_name("", name)).transpose();
        Ok(ParsedHeaders {
            routes: config.routes.iter().map(RouteHeaders::parse).collect::<Result<_, _>>()?,
            tenant: optional(config.tenants.as_ref().map(|tenants| tenants.header.as_str()))?,
            keys: config
                .classes
                .iter()
                .map(|class| optional(class.key_header.as_deref()))
                .collect::<Result<_, _>>()?,
        })
    }
}

impl RouteHeaders {
    fn parse(route: &agent_file::Route) -> Result<RouteHeaders, BuildError> {
        let context = format!("route `{}`: ", route.name);
        let added = route
            .added_headers
            .iter()
            .map(|(name, value)| Ok((header_name(&context, name)?, header_value(&context, value)?)));
        let removed = route.removed_headers.iter().map(|name| header_name(&context, name));
        let deadline = route.deadline_header.as_deref().map(|name| header_name(&context, name));
        Ok(RouteHeaders {
            added: added.collect::<Result<_, BuildError>>()?,
            removed: removed.collect::<Result<_, _>>()?,
            deadline: deadline.transpose()?,
        })
    }
}

/// Builds the routes and pools of a file; pools of the old table that go on are the same.
///
/// # Errors
///
/// A header that is none. Nothing has changed then.
pub fn build(
    config: &AgentConfig,
    old: Option<&RoutingTable>,
    route_ids: &mut RouteIds,
    seed: u64,
    context: &PoolContext,
) -> Result<RoutingTable, BuildError> {
    let headers = ParsedHeaders::parse(config)?;
    // From here on nothing fails.
    let pools = build_pools(config, old, seed, context);
    let budgets = &context.balancer.retry_budgets;
    let mut routes = Vec::new();
    for (route, route_headers) in config.routes.iter().zip(headers.routes) {
        let id = route_ids.assign(route, budgets);
        let key_header = headers.keys[route.class].clone();
        routes.push(build_route(config, route, id, key_header, route_headers));
    }
    route_ids.retain(config, budgets);
    let tenants = config.tenants.as_ref().zip(headers.tenant);
    Ok(RoutingTable {
        table: RouteTable::new(config.routes.iter().map(|route| route.rule.clone()).collect()),
        routes,
        backups: config.pools.iter().map(|pool| pool.backup).collect(),
        pools,
        capacity: divide_between_pools(config, old, context),
        tenants: tenants.map(|(tenants, header)| build_tenants(tenants, header, old, context)),
    })
}

fn build_route(
    config: &AgentConfig,
    route: &agent_file::Route,
    id: RouteId,
    key_header: Option<HeaderName>,
    headers: RouteHeaders,
) -> Route {
    let class = &config.classes[route.class].class;
    Route {
        id,
        name: route.name.clone(),
        class: ClassId(route.class),
        kind: class.kind,
        scope: class.scope,
        key_header,
        weighted_pools: route.weighted_pools(&config.pools),
        pools: route.pools.iter().map(|of| of.pool).collect(),
        affinity: route.affinity.clone(),
        deadline_header: headers.deadline,
        max_deadline: route.max_deadline,
        added_headers: headers.added,
        removed_headers: headers.removed,
    }
}

fn build_pools(
    config: &AgentConfig,
    old: Option<&RoutingTable>,
    seed: u64,
    context: &PoolContext,
) -> Vec<Rc<Pool>> {
    let mut pools = Vec::new();
    for (nth, pool) in config.pools.iter().enumerate() {
        let known = old.and_then(|old| old.pools.iter().find(|known| known.continues_as(pool)).cloned());
        let pool = match known {
            Some(known) => {
                known.update(pool);
                known
            }
            None => {
                let seed = seed.wrapping_add(nth as u64);
                Rc::new(Pool::open(pool, config.zones.clone(), seed, context))
            }
        };
        pools.push(pool);
    }
    let is_gone = |old: &&Rc<Pool>| !pools.iter().any(|kept| Rc::ptr_eq(kept, old));
    old.iter().flat_map(|old| &old.pools).filter(is_gone).for_each(|pool| pool.close());
    pools
}

fn divide_between_pools(config: &AgentConfig, old: Option<&RoutingTable>, context: &PoolContext) -> Capacity {
    let share = |pool: &agent_file::Pool| QuotaShare {
        name: pool.name.clone(),
        guaranteed: pool.guaranteed_fraction,
        weight: pool.weight,
    };
    let shares: Vec<QuotaShare> = config.pools.iter().map(share).collect();
    let capacity = old.map_or_else(Capacity::default, |old| old.capacity.clone());
    capacity.update(|division| division.set_shares(context.limits.now().requests, &shares));
    capacity
}

fn build_tenants(
    tenants: &agent_file::Tenants,
    header: HeaderName,
    old: Option<&RoutingTable>,
    context: &PoolContext,
) -> TenantTable {
    let sum: f64 = tenants.shares.iter().map(|(_, share)| share).sum();
    let others = (OTHER_TENANTS, (1.0 - sum).max(0.0));
    let named = tenants.shares.iter().map(|(name, share)| (name.as_str(), *share));
    let quota = |(name, share): (&str, f64)| QuotaShare {
        name: name.into(),
        guaranteed: share * GUARANTEED_FRACTION,
        weight: 1.0,
    };
    let shares: Vec<QuotaShare> = named.chain([others]).map(quota).collect();
    let known = old.and_then(|old| old.tenants.as_ref());
    let capacity = known.map_or_else(Capacity::default, |tenants| tenants.capacity.clone());
    capacity.update(|division| division.set_shares(context.limits.now().requests, &shares));
    TenantTable { header, capacity, shares: tenants.shares.iter().cloned().collect() }
}
