//! What both hosts read alike: the settings object into [`notchspool::units::Policy`], load reports into [`notchspool::units::LoadReport`].
pub mod file;
pub mod own;
pub mod place;
pub mod read;

use notchspool::units::*;
use serde_json::Value;

use read::*;

/// The settings of one instance: the module's terms, and the names and figures that only a host needs.
pub struct Agreed {
    pub terms: Policy,
    pub zones: Vec<String>,
    pub schemes: Vec<String>,
    pub tenants: Vec<String>,
    pub report_fields: Vec<String>,
    /// What the settings allow and an agent on sockets does otherwise, for its log.
    pub unused: Vec<&'static str>,
    /// After this a backend closes a connection that stands idle.
    pub idle_close: Micros,
    /// A connection that is not up by then never comes up.
    pub connect_within: Micros,
    /// The longest that a client waits for any txn.
    pub longest: Micros,
}

pub fn zone_number(zones: &mut Vec<String>, name: &str) -> ZoneId {
    let at = zones.iter().position(|z| z == name).unwrap_or_else(|| {
        zones.push(name.to_owned());
        zones.len() - 1
    });
    ZoneId(at as u32)
}

fn scheme(row: &Value) -> Read<RequestClass> {
    Ok(RequestClass {
        kind: match text(row, "repeat")? {
            "safe" => RequestKind::Idempotent,
            "keyed" => RequestKind::Keyed,
            "unsafe" => RequestKind::NonIdempotent,
            other => return Err(format!("field `repeat`: `{other}` is not known")),
        },
        scope: match row["group"].as_str().unwrap_or("all") {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            other => return Err(format!("field `group`: `{other}` is not known")),
        },
        deduplication_window: time(row, "windowMs", Some(0.0))?,
        latency_target: time(row, "slaTimeMs", None)?,
        late_value: within(row, "overdueValue", 1.0, 0.0, 1.0)?,
    })
}

pub fn agreed(settings: &Value) -> Read<Agreed> {
    if !settings.is_object() {
        return Err("the settings are no object".into());
    }
    let (contract, permissions, costs) =
        (&settings["contract"], &settings["permissions"], &settings["costs"]);
    let mut zones = strings(settings, "zones")?;
    let zone = zone_number(&mut zones, settings["myZone"].as_str().unwrap_or(""));
    let retry_after = time(permissions, "maxRetryAfterMs", Some(0.0))?;
    let agents = within(settings, "balancers", 1.0, 1.0, 1e6)?;
    let terms = Policy {
        agent_count: agents as u32,
        zone,
        classes: rows(settings, "schemes")?.iter().map(scheme).collect::<Read<_>>()?,
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
        weights_follow_load: match settings["weightKind"].as_str().unwrap_or("nominal") {
            "live" => true,
            "none" | "nominal" | "rough" => false,
            other => return Err(format!("field `weightKind`: `{other}` is not known")),
        },
        idle_timeout: time(permissions, "idleCloseMs", Some(15_000.0))?,
        has_peers: flag(permissions, "peers")?,
        own_id: PeerId(within(settings, "selfIndex", 0.0, 0.0, agents - 1.0)? as u32),
        in_time_weight: within(&settings["scoreParts"], "keptPromises", 0.0, 0.0, 1e9)?,
        quotas: rows(settings, "realms")?
            .iter()
            .map(|row| within(row, "quotaPerS", f64::MAX, 0.0, f64::MAX))
            .collect::<Read<_>>()?,
        probe_price: number(costs, "probe", Some(0.0))?,
        tick: time(settings, "tickMs", Some(1.0))?,
        ..Policy::default()
    };
    let allowed = [
        (
            terms.has_peers,
            "messages between agents are not carried here: shares are judged by what comes to this agent",
        ),
        (flag(permissions, "secondCopies")?, "second copies are allowed, and none is sent"),
        (
            within(permissions, "streamsPerConn", 1.0, 1.0, 1e6)? > 1.0,
            "a connection may carry many txns, and carries one at a time",
        ),
    ];
    let unused = allowed.into_iter().filter(|(is, _)| *is).map(|(_, what)| what).collect();
    Ok(Agreed {
        terms,
        unused,
        zones,
        schemes: names(settings, "schemes")?,
        tenants: names(settings, "realms")?,
        report_fields: strings(&settings["loadReport"], "fields")?,
        idle_close: time(permissions, "idleCloseMs", Some(15_000.0))?,
        connect_within: time(permissions, "connectTimeoutMs", Some(250.0))?,
        longest: rows(settings, "schemes")?
            .iter()
            .map(|row| time(row, "expiryMs", Some(3_000.0)))
            .try_fold(Micros(0), |most, expiry| expiry.map(|expiry| most.max(expiry)))?,
    })
}

/// One reported figure, by its name in the settings or on the sockets. None is below nothing.
pub fn put(report: &mut LoadReport, field: &str, value: f64) {
    match field {
        _ if value < 0.0 => {}
        "busy" | "util" => report.utilisation = Some(value),
        "rif" | "inflight" => report.in_flight = Some(value),
        "q" | "queue" => report.queue = Some(value),
        "rate" | "qps" => report.rate = Some(value),
        _ => {}
    }
}

/// A report as it stands on the sockets: `TEXT util=0.61, inflight=7`. What is no finite number is left out;
/// a report with nothing left is none, and the one before it stands.
pub fn report_line(line: &str) -> Option<LoadReport> {
    let figures = line.trim().strip_prefix("TEXT")?;
    let mut report = LoadReport::default();
    for figure in figures.split(',') {
        if let Some((name, value)) = figure.split_once('=')
            && let Some(value) = value.trim().parse().ok().filter(|v: &f64| v.is_finite())
        {
            put(&mut report, name.trim(), value);
        }
    }
    let told = [report.utilisation, report.in_flight, report.queue, report.rate];
    told.iter().any(Option::is_some).then_some(report)
}
