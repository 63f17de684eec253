//! From the file to the house, the first time and each time after.
use std::collections::BTreeMap;
use std::rc::Rc;

use awc::http::header::{HeaderName, HeaderValue};
use notchspool_quotas::quota_pool::{QuotaPool, QuotaShare};
use notchspool_routes::budget::Budget;
use notchspool_routes::table::Table;
use notchspool_settings::file::{self, OTHERS};

use super::pool::{Footing, Pool};
use super::rooms::Rooms;
use super::state::{House, Route, Tenants};
use crate::memory::txn::RouteId;

/// Numbers of routes by their names; a name keeps its number, and with it what its budget has saved.
#[derive(Default)]
pub struct Numbers(BTreeMap<String, (RouteId, String)>);

fn header(name: &str) -> Result<HeaderName, String> {
    HeaderName::try_from(name).map_err(|_| format!("`{name}` is no name of a header"))
}

/// Builds the house of a file; pools of the old one that go on are the same. Nothing has changed where this fails.
pub fn build(
    told: &file::House,
    old: Option<&House>,
    numbers: &mut Numbers,
    seed: u64,
    on: &Footing,
) -> Result<House, String> {
    let headers = told.routes.iter().map(prepared).collect::<Result<Vec<_>, String>>()?;
    let tenant_header = told.tenants.as_ref().map(|t| header(&t.header)).transpose()?;
    let references = told
        .schemes
        .iter()
        .map(|s| s.reference.as_deref().map(header).transpose())
        .collect::<Result<Vec<_>, _>>()?;
    // From here on nothing fails.
    let pools = pools(told, old, seed, on);
    let mut routes = Vec::new();
    for (route, (add, remove, expiry_header)) in told.routes.iter().zip(headers) {
        let row = &told.schemes[route.scheme];
        routes.push(Route {
            id: number(numbers, route, on),
            name: route.name.clone(),
            scheme: notchspool::units::ClassId(route.scheme),
            kind: row.scheme.kind,
            group: row.scheme.scope,
            reference: references[route.scheme].clone(),
            shares: route.pools.iter().map(|&(at, share)| (told.pools[at].name.clone(), share)).collect(),
            at: route.pools.iter().map(|p| p.0).collect(),
            sticky: route.sticky.clone(),
            expiry_header,
            expiry: route.expiry,
            add,
            remove,
        });
    }
    let names: Vec<&str> = told.routes.iter().map(|r| r.name.as_str()).collect();
    numbers.0.retain(|name, _| names.contains(&name.as_str()));
    let kept: Vec<RouteId> = numbers.0.values().map(|n| n.0).collect();
    on.budgets.borrow_mut().retain(|id, _| kept.contains(id));
    let rooms = old.map_or_else(Rooms::default, |old| old.rooms.clone());
    let party = |p: &file::Pool| QuotaShare { name: p.name.clone(), guaranteed: p.part, weight: p.weight };
    let parties: Vec<QuotaShare> = told.pools.iter().map(party).collect();
    rooms.change(|division| division.set_shares(on.bounds.now().txns, &parties));
    Ok(House {
        table: Table::new(told.routes.iter().map(|r| r.rule.clone()).collect()),
        routes,
        backups: told.pools.iter().map(|p| p.backup).collect(),
        pools,
        rooms,
        tenants: told.tenants.as_ref().zip(tenant_header).map(|(t, header)| tenants(t, header, old, on)),
    })
}

type Prepared = (Vec<(HeaderName, HeaderValue)>, Vec<HeaderName>, Option<HeaderName>);

fn prepared(route: &file::Route) -> Result<Prepared, String> {
    let named = |why| format!("route `{}`: {why}", route.name);
    let value =
        |v: &str| HeaderValue::try_from(v).map_err(|_| named(format!("`{v}` is no value of a header")));
    let add = route.add.iter().map(|(n, v)| Ok((header(n).map_err(named)?, value(v)?)));
    let remove = route.remove.iter().map(|n| header(n).map_err(named));
    let expiry = route.expiry_header.as_deref().map(header).transpose().map_err(named)?;
    Ok((add.collect::<Result<_, String>>()?, remove.collect::<Result<_, String>>()?, expiry))
}

fn pools(told: &file::House, old: Option<&House>, seed: u64, on: &Footing) -> Vec<Rc<Pool>> {
    let mut pools = Vec::new();
    for (nth, pool) in told.pools.iter().enumerate() {
        let kept = old.and_then(|old| old.pools.iter().find(|p| p.goes_on_as(pool)).cloned());
        let pool = match kept {
            Some(kept) => {
                kept.change(pool);
                kept
            }
            None => Rc::new(Pool::open(pool, told.zones.clone(), seed.wrapping_add(nth as u64), on)),
        };
        pools.push(pool);
    }
    let gone = |p: &&Rc<Pool>| !pools.iter().any(|kept| Rc::ptr_eq(kept, p));
    old.iter().flat_map(|old| &old.pools).filter(gone).for_each(|pool| pool.close());
    pools
}

fn number(numbers: &mut Numbers, route: &file::Route, on: &Footing) -> RouteId {
    let multiple = format!("{}", route.multiple);
    if let Some((id, held)) = numbers.0.get(&route.name)
        && *held == multiple
    {
        return *id;
    }
    let mut budgets = on.budgets.borrow_mut();
    let id = RouteId(budgets.keys().next_back().map_or(0, |last| last.0 + 1));
    budgets.insert(id, Budget::new(route.multiple));
    numbers.0.insert(route.name.clone(), (id, multiple));
    id
}

fn tenants(told: &file::Tenants, header: HeaderName, old: Option<&House>, on: &Footing) -> Tenants {
    let sum: f64 = told.shares.iter().map(|s| s.1).sum();
    let party =
        |(name, share): (&str, f64)| QuotaShare { name: name.into(), guaranteed: share * 0.8, weight: 1.0 };
    let named = told.shares.iter().map(|(n, s)| (n.as_str(), *s));
    // Four fifths of each share are guaranteed; the rest is lent to who needs it.
    let parties: Vec<QuotaShare> = named.chain([(OTHERS, (1.0 - sum).max(0.0))]).map(party).collect();
    let rooms = old.and_then(|old| old.tenants.as_ref()).map_or_else(Rooms::default, |t| t.rooms.clone());
    rooms.change(|division: &mut QuotaPool| division.set_shares(on.bounds.now().txns, &parties));
    Tenants { header, rooms, names: told.shares.iter().cloned().collect() }
}
