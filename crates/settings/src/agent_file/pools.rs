//! The pools of an operator's file (`[[pool]]`), and their members.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use notchspool::units::{Micros, Policy, ZoneId};
use toml::Spanned;

use super::checker::Checker;
use super::form;
use super::{ClassConfig, Pool, PoolMember, ROUNDING, Tenants};
use crate::own_address::reaches_listener;

const HOUR_MS: f64 = 3_600_000.0;
const DAY_MS: f64 = 24.0 * HOUR_MS;
const MAX_AGENTS: u32 = 1_000_000;
const MAX_ATTEMPTS: u32 = 1000;
/// Asked more often, a registry has nothing else to do.
const MIN_WATCH_MS: f64 = 500.0;
const MAX_WARMUP_MULTIPLE: f64 = 1000.0;
const MAX_QUOTA: f64 = 1e9;
const MAX_WEIGHT: f64 = 1e12;
const MIN_SIZE: f64 = 1e-3;
const MAX_SIZE: f64 = 1e6;
/// What a health check costs, in requests.
const PROBE_PRICE: f64 = 0.04;
/// How often the decision module is woken.
const TICK: Micros = Micros::ms(5);

/// What pools are read beside.
pub struct Context<'a> {
    pub classes: &'a [ClassConfig],
    /// TCP addresses that this agent listens on.
    pub own_addresses: &'a [SocketAddr],
    pub zone: ZoneId,
    pub tenants: Option<&'a Tenants>,
}

impl Context<'_> {
    fn is_own(&self, address: SocketAddr) -> bool {
        self.own_addresses.iter().any(|own| reaches_listener(*own, address))
    }
}

/// The pools. Mistakes are noted in the checker.
pub fn read(checker: &mut Checker, rows: &[Spanned<form::Pool>], context: &Context) -> Vec<Pool> {
    let names = checker.names("pool", rows.iter().map(|row| &row.get_ref().name));
    let mut taken = BTreeMap::new();
    let mut pools = Vec::new();
    for (name, row) in names.iter().zip(rows) {
        let (span, row) = (row.span(), row.get_ref());
        if row.members.is_empty() == row.register.is_none() {
            checker.mistake(span, "a pool wants either `members` or a `register`");
        }
        let members = read_members(checker, name, &row.members, context, &mut taken);
        let registry = read_registry(checker, row, context);
        let idle_timeout = checker.milliseconds(&row.idle_close_ms, 1.0, DAY_MS);
        pools.push(Pool {
            name: name.clone(),
            policy: read_policy(checker, row, context, idle_timeout),
            members,
            protocol: row.protocol,
            registry,
            connect_timeout: checker.milliseconds(&row.connect_ms, 1.0, HOUR_MS),
            idle_timeout,
            guaranteed_fraction: row.part.as_ref().map_or(0.0, |part| checker.number(part, 0.0, 1.0)),
            weight: checker.number(&row.weight, 0.0, MAX_WEIGHT),
            backup: row.backup.as_ref().and_then(|backup| checker.index_of(backup, "pool", &names)),
        });
    }
    check_backup_rings(checker, rows, &pools);
    check_guaranteed_fractions(checker, rows, &pools);
    pools
}

fn read_registry(checker: &mut Checker, row: &form::Pool, context: &Context) -> Option<SocketAddr> {
    if *row.live_weights.get_ref() && row.register.is_none() {
        let what = "only the sizes that a `register` tells can move with load";
        checker.mistake(row.live_weights.span(), what);
    }
    let field = row.register.as_ref()?;
    let address = checker.address(field)?;
    if context.own_addresses.contains(&address) {
        checker.mistake(field.span(), "this agent listens there itself");
    }
    Some(address)
}

fn read_policy(checker: &mut Checker, row: &form::Pool, context: &Context, idle_timeout: Micros) -> Policy {
    let quotas = read_quotas(checker, row, context.tenants);
    let retry_after = checker.milliseconds(&row.retry_after_ms, 0.0, HOUR_MS);
    let cold = &row.cold;
    Policy {
        agent_count: checker.count(&row.agents, 1, MAX_AGENTS),
        zone: context.zone,
        classes: context.classes.iter().map(|class| class.class.clone()).collect(),
        max_attempts: checker.count(&row.max_attempts, 1, MAX_ATTEMPTS),
        drain_grace: Some(checker.milliseconds(&row.drain_grace_ms, 0.0, HOUR_MS)),
        watch_within: checker.milliseconds(&row.ask_within_ms, MIN_WATCH_MS, HOUR_MS),
        list_on_request: row.register.is_some(),
        warmup_floor: checker.number(&cold.from, 0.01, 1.0),
        warmup_span: checker.milliseconds(&cold.warm_ms, 0.0, HOUR_MS),
        warmup_multiple: checker.number(&cold.multiple, 0.1, MAX_WARMUP_MULTIPLE),
        warmup_window: checker.milliseconds(&cold.within_ms, 1.0, HOUR_MS),
        retry_after: (retry_after > Micros(0)).then_some(retry_after),
        may_probe: row.probes,
        may_cancel: true,
        report_by_probe: row.probes,
        probe_price: PROBE_PRICE,
        tick: TICK,
        idle_timeout,
        weights_follow_load: *row.live_weights.get_ref(),
        in_time_weight: f64::from(row.keeps_promises),
        has_peers: !quotas.is_empty(),
        quotas,
        ..Policy::default()
    }
}

/// Requests a second by tenant, in the order of the tenants; one without a quota may send what it will. Empty where none has any.
fn read_quotas(checker: &mut Checker, row: &form::Pool, tenants: Option<&Tenants>) -> Vec<f64> {
    let names: Vec<String> =
        tenants.iter().flat_map(|tenants| &tenants.shares).map(|(name, _)| name.clone()).collect();
    let mut quotas = if row.quotas.is_empty() { Vec::new() } else { vec![f64::MAX; names.len()] };
    for (name, quota) in &row.quotas {
        let quota = checker.number(quota, 0.0, MAX_QUOTA);
        if let Some(index) = checker.index_of(name, "tenant", &names) {
            quotas[index] = quota;
        }
    }
    quotas
}

fn read_members(
    checker: &mut Checker,
    pool: &str,
    rows: &[Spanned<form::Member>],
    context: &Context,
    taken: &mut BTreeMap<SocketAddr, String>,
) -> Vec<PoolMember> {
    let mut members: Vec<PoolMember> = Vec::new();
    for row in rows {
        let row = row.get_ref();
        let Some(address) = checker.address(&row.at) else { continue };
        // Two modules would each keep the limits of a backend that is warming up or crowded, and together break them.
        match taken.insert(address, pool.to_owned()) {
            Some(other) if other != pool => {
                let what = format!("pool `{other}` has that backend too; one pool may, and routes share it");
                checker.mistake(row.at.span(), what);
            }
            Some(_) => checker.mistake(row.at.span(), "a second member there"),
            None => {}
        }
        // What is sent there would come in again, until all capacity is taken.
        if context.is_own(address) {
            checker.mistake(row.at.span(), "this agent listens there itself");
        }
        let name = row.name.as_ref().map_or_else(|| address.to_string(), |name| name.get_ref().clone());
        // A name is one backend: with two addresses it would move from one to the other.
        if members.iter().any(|other| other.name == name && other.address != address) {
            let span = row.name.as_ref().map_or(row.at.span(), Spanned::span);
            checker.mistake(span, "a second member of that name");
        }
        let size = checker.number(&row.size, MIN_SIZE, MAX_SIZE);
        members.push(PoolMember { name, address, zone: row.zone.clone(), cell: row.cell, size });
    }
    members
}

/// No pool may be its own backup in the end.
fn check_backup_rings(checker: &mut Checker, rows: &[Spanned<form::Pool>], pools: &[Pool]) {
    for (first, row) in rows.iter().enumerate() {
        let mut pool = first;
        for _ in 0..pools.len() {
            let Some(next) = pools[pool].backup else { break };
            pool = next;
            if pool == first {
                if let Some(backup) = &row.get_ref().backup {
                    let what = "a ring: in the end this pool would be its own backup";
                    checker.mistake(backup.span(), what);
                }
                break;
            }
        }
    }
}

fn check_guaranteed_fractions(checker: &mut Checker, rows: &[Spanned<form::Pool>], pools: &[Pool]) {
    let sum: f64 = pools.iter().map(|pool| pool.guaranteed_fraction).sum();
    let last = rows.iter().filter_map(|row| row.get_ref().part.as_ref()).next_back();
    if let Some(last) = last.filter(|_| sum > 1.0 + ROUNDING) {
        let what = format!("the guaranteed parts of all pools come to {sum:.2}, more than the whole");
        checker.mistake(last.span(), what);
    }
}
