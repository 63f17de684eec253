//! The settings object of the platform, which the agent and the simulator's host read alike, into [`Policy`].
use notchspool::units::{DeduplicationScope, Micros, PeerId, Policy, RequestClass, RequestKind, ZoneId};
use serde_json::Value;

use crate::json_fields::{
    FieldError, FieldResult, bounded_number, flag, names, number, rows, strings, text, time,
};
use crate::zones::zone_id;

/// Agents in a fleet at the most.
const MAX_AGENTS: f64 = 1e6;
/// Requests in one connection at the most, of those that settings may allow.
const MAX_STREAMS: f64 = 1e6;
/// The largest weight of answers in time.
const MAX_IN_TIME_WEIGHT: f64 = 1e9;

/// The settings of one instance: the policy of the decision module, and the names and figures that only a host needs.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// For the decision module.
    pub policy: Policy,
    /// Names of zones, by [`ZoneId`].
    pub zones: Vec<String>,
    /// Names of request classes, by [`notchspool::units::ClassId`].
    pub classes: Vec<String>,
    /// Names of tenants, by [`notchspool::units::TenantId`].
    pub tenants: Vec<String>,
    /// Names of the figures in a load report, in their order.
    pub report_fields: Vec<String>,
    /// What the settings allow and an agent on sockets does otherwise, for its log.
    pub unused: Vec<&'static str>,
    /// After this a backend closes an idle connection.
    pub idle_timeout: Micros,
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Micros,
    /// The longest that a client waits for any request.
    pub max_deadline: Micros,
}

impl PlatformSettings {
    /// Reads the settings object.
    ///
    /// # Errors
    ///
    /// The first field that makes no sense.
    pub fn read(settings: &Value) -> FieldResult<PlatformSettings> {
        if !settings.is_object() {
            return Err("the settings are no object".into());
        }
        let permissions = &settings["permissions"];
        let mut zones = strings(settings, "zones")?;
        let zone = zone_id(&mut zones, settings["myZone"].as_str().unwrap_or(""));
        let policy = policy(settings, zone)?;
        let unused = unused(&policy, permissions)?;
        Ok(PlatformSettings {
            policy,
            unused,
            zones,
            classes: names(settings, "schemes")?,
            tenants: names(settings, "realms")?,
            report_fields: strings(&settings["loadReport"], "fields")?,
            idle_timeout: time(permissions, "idleCloseMs", Some(15_000.0))?,
            connect_timeout: time(permissions, "connectTimeoutMs", Some(250.0))?,
            max_deadline: max_deadline(settings)?,
        })
    }
}

fn policy(settings: &Value, zone: ZoneId) -> FieldResult<Policy> {
    let (contract, permissions) = (&settings["contract"], &settings["permissions"]);
    let retry_after = time(permissions, "maxRetryAfterMs", Some(0.0))?;
    let agents = bounded_number(settings, "balancers", 1.0, 1.0, MAX_AGENTS)?;
    let own_index = bounded_number(settings, "selfIndex", 0.0, 0.0, agents - 1.0)?;
    Ok(Policy {
        agent_count: agents as u32,
        zone,
        classes: rows(settings, "schemes")?.iter().map(request_class).collect::<FieldResult<_>>()?,
        max_attempts: number(permissions, "maxPostings", Some(1.0))? as u32,
        drain_grace: match contract["drainGraceMs"] {
            Value::Null => None,
            _ => Some(time(contract, "drainGraceMs", None)?),
        },
        watch_within: time(contract, "askWithinMs", Some(10_000.0))?,
        list_on_request: settings["registryMode"].as_str() == Some("on_request"),
        warmup_floor: number(contract, "coldFrom", Some(1.0))?,
        warmup_span: time(contract, "coldMs", Some(0.0))?,
        warmup_multiple: number(contract, "fallMultiple", Some(1.0))?,
        warmup_window: time(contract, "fallMs", Some(1000.0))?,
        retry_after: flag(permissions, "retryAfter")?.then_some(retry_after),
        may_cancel: flag(permissions, "cancel")?,
        may_probe: flag(permissions, "probes")?,
        report_by_probe: settings["loadReport"]["via"].as_str() == Some("probe"),
        weights_follow_load: weights_follow_load(settings)?,
        idle_timeout: time(permissions, "idleCloseMs", Some(15_000.0))?,
        has_peers: flag(permissions, "peers")?,
        own_id: PeerId(own_index as u32),
        in_time_weight: bounded_number(
            &settings["scoreParts"],
            "keptPromises",
            0.0,
            0.0,
            MAX_IN_TIME_WEIGHT,
        )?,
        quotas: rows(settings, "realms")?.iter().map(quota).collect::<FieldResult<_>>()?,
        probe_price: number(&settings["costs"], "probe", Some(0.0))?,
        tick: time(settings, "tickMs", Some(1.0))?,
        ..Policy::default()
    })
}

fn request_class(row: &Value) -> FieldResult<RequestClass> {
    Ok(RequestClass {
        kind: match text(row, "repeat")? {
            "safe" => RequestKind::Idempotent,
            "keyed" => RequestKind::Keyed,
            "unsafe" => RequestKind::NonIdempotent,
            other => return Err(FieldError::unknown_word("repeat", other)),
        },
        scope: match row["group"].as_str().unwrap_or("all") {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            other => return Err(FieldError::unknown_word("group", other)),
        },
        deduplication_window: time(row, "windowMs", Some(0.0))?,
        latency_target: time(row, "slaTimeMs", None)?,
        late_value: bounded_number(row, "overdueValue", 1.0, 0.0, 1.0)?,
    })
}

fn weights_follow_load(settings: &Value) -> FieldResult<bool> {
    match settings["weightKind"].as_str().unwrap_or("nominal") {
        "live" => Ok(true),
        "none" | "nominal" | "rough" => Ok(false),
        other => Err(FieldError::unknown_word("weightKind", other)),
    }
}

/// Requests a second of a tenant; without one it may send what it will.
fn quota(row: &Value) -> FieldResult<f64> {
    bounded_number(row, "quotaPerS", f64::MAX, 0.0, f64::MAX)
}

/// What the settings allow and an agent on sockets does not do.
fn unused(policy: &Policy, permissions: &Value) -> FieldResult<Vec<&'static str>> {
    let mut unused = Vec::new();
    if policy.has_peers {
        unused.push(
            "messages between agents are not carried here: shares are judged by what comes to this agent",
        );
    }
    if flag(permissions, "secondCopies")? {
        unused.push("second copies are allowed, and none is sent");
    }
    if bounded_number(permissions, "streamsPerConn", 1.0, 1.0, MAX_STREAMS)? > 1.0 {
        unused.push("a connection may carry many txns, and carries one at a time");
    }
    Ok(unused)
}

fn max_deadline(settings: &Value) -> FieldResult<Micros> {
    let mut longest = Micros(0);
    for row in rows(settings, "schemes")? {
        longest = longest.max(time(row, "expiryMs", Some(3_000.0))?);
    }
    Ok(longest)
}
