//! Parsing of a configuration, field by field; the first mistake is told with its field.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use simd_json::OwnedValue;
use simd_json::prelude::*;

use crate::route_config::{InvalidConfig, Limits, Route, RouteConfig, RouteKind, Service, WeightedService};

/// Routes of one configuration at most.
const MAX_ROUTES: usize = 20_000;
/// No route may hold a request for longer.
const MAX_TIMEOUT_S: f64 = 600.0;
/// Where no health check is named.
const DEFAULT_HEALTH_PATH: &str = "/health";
/// Where no number of connections is given.
const DEFAULT_MAX_CONNECTIONS: u32 = 100;
/// Where no priority is given.
const DEFAULT_PRIORITY: u64 = 2;
const MAX_PRIORITY: u64 = 255;
const MAX_ATTEMPTS: u64 = 100;
const MAX_LIMIT_BYTES: u64 = 1 << 40;

fn invalid<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, InvalidConfig> {
    Err(InvalidConfig { field: field.into(), reason: reason.into() })
}

impl RouteConfig {
    /// Parses and checks a configuration. Bytes that are no complete JSON, or make no sense, are refused.
    ///
    /// # Errors
    ///
    /// The first mistake, by its field.
    pub fn parse(bytes: &[u8]) -> Result<RouteConfig, InvalidConfig> {
        config(bytes)
    }
}

/// The whole configuration.
fn config(bytes: &[u8]) -> Result<RouteConfig, InvalidConfig> {
    if std::str::from_utf8(bytes).is_err() {
        return invalid("body", "is not UTF-8");
    }
    let value = simd_json::to_owned_value(&mut bytes.to_vec())
        .map_err(|e| InvalidConfig { field: "body".into(), reason: format!("can't be read whole: {e}") })?;
    if value.as_object().is_none() {
        return invalid("body", "is no table");
    }
    let Some(version) = integer(value.get("version")) else {
        return invalid("version", "is missing or no whole number");
    };
    let services = services(&value)?;
    let routes = routes(&value, &services)?;
    let limits = value.get("limits").map_or(Ok(Limits::default()), limits)?;
    Ok(RouteConfig::new(version, routes, services, limits))
}

fn services(value: &OwnedValue) -> Result<BTreeMap<String, Service>, InvalidConfig> {
    let Some(services) = value.get("services").and_then(|services| services.as_object()) else {
        return invalid("services", "is missing or no table");
    };
    let parsed = services.iter().map(|(name, value)| Ok((name.clone(), service(name, value)?)));
    parsed.collect()
}

fn routes(value: &OwnedValue, services: &BTreeMap<String, Service>) -> Result<Vec<Route>, InvalidConfig> {
    let Some(routes) = value.get("routes").and_then(|routes| routes.as_object()) else {
        return invalid("routes", "is missing or no table");
    };
    if routes.len() > MAX_ROUTES {
        return invalid("routes", format!("holds {} of {MAX_ROUTES} allowed", routes.len()));
    }
    routes.iter().map(|(name, value)| route(name, value, services)).collect()
}

fn service(name: &str, value: &OwnedValue) -> Result<Service, InvalidConfig> {
    let field = |field: &str| format!("services.{name}.{field}");
    if value.as_object().is_none() {
        return invalid(format!("services.{name}"), "is no table");
    }
    let health_path = match value.get("healthPath") {
        None => DEFAULT_HEALTH_PATH.to_string(),
        Some(path) => match path.as_str() {
            Some(path) if path.starts_with('/') => path.to_string(),
            _ => return invalid(field("healthPath"), "is no path"),
        },
    };
    let max_connections = match value.get("maxConns") {
        None => DEFAULT_MAX_CONNECTIONS,
        some => match integer(some) {
            Some(number) => number.min(u64::from(u32::MAX)) as u32,
            None => return invalid(field("maxConns"), "is no whole number"),
        },
    };
    let deduplicates =
        value.get("selfDedupes").and_then(simd_json::prelude::ValueAsScalar::as_bool).unwrap_or(false);
    Ok(Service { health_path, max_connections, deduplicates })
}

fn route(
    name: &str,
    value: &OwnedValue,
    services: &BTreeMap<String, Service>,
) -> Result<Route, InvalidConfig> {
    if value.as_object().is_none() {
        return invalid(format!("routes.{name}"), "is no table");
    }
    let fields = RouteFields { name, value };
    let host = fields.host()?;
    let prefix = fields.prefix()?;
    let kind = fields.kind()?;
    let timeout = fields.timeout()?;
    let latency_target = value.get("targetS").and_then(seconds).filter(|target| target.0 > 0);
    Ok(Route {
        name: name.to_string(),
        host,
        prefix,
        kind,
        timeout,
        latency_target: latency_target.unwrap_or(timeout),
        max_attempts: fields.max_attempts()?,
        priority: integer(value.get("priority")).unwrap_or(DEFAULT_PRIORITY).min(MAX_PRIORITY) as u32,
        traffic_split: fields.traffic_split(services)?,
    })
}

/// The fields of one route.
struct RouteFields<'a> {
    name: &'a str,
    value: &'a OwnedValue,
}

impl RouteFields<'_> {
    fn invalid<T>(&self, field: &str, reason: impl Into<String>) -> Result<T, InvalidConfig> {
        invalid(format!("routes.{}.{field}", self.name), reason)
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.value.get(field).and_then(|value| value.as_str())
    }

    fn host(&self) -> Result<String, InvalidConfig> {
        match self.text("host") {
            Some(host) if !host.trim().is_empty() => Ok(host.to_string()),
            _ => self.invalid("host", "is missing or empty"),
        }
    }

    fn prefix(&self) -> Result<String, InvalidConfig> {
        match self.text("pathPrefix") {
            Some(prefix) if prefix.starts_with('/') => Ok(prefix.to_string()),
            _ => self.invalid("pathPrefix", "is missing or does not begin with a slash"),
        }
    }

    fn kind(&self) -> Result<RouteKind, InvalidConfig> {
        match self.text("routeKind") {
            Some("safe") => Ok(RouteKind::Safe),
            Some("unsafe") => Ok(RouteKind::Unsafe),
            Some("keyed") => Ok(RouteKind::Keyed),
            Some("download") => Ok(RouteKind::Download),
            Some(other) => {
                self.invalid("routeKind", format!("{other:?} is none of safe, unsafe, keyed, download"))
            }
            None => self.invalid("routeKind", "is missing"),
        }
    }

    fn timeout(&self) -> Result<Micros, InvalidConfig> {
        let value = self.value.get("timeoutS");
        // As it is written: rounded it could be ten minutes.
        if value.and_then(ValueAsScalar::cast_f64).is_some_and(|timeout_s| timeout_s > MAX_TIMEOUT_S) {
            return self.invalid("timeoutS", "is over ten minutes");
        }
        match value.and_then(seconds) {
            Some(timeout) if timeout > Micros(0) => Ok(timeout),
            _ => self.invalid("timeoutS", "is missing or not above 0"),
        }
    }

    fn max_attempts(&self) -> Result<u32, InvalidConfig> {
        match integer(self.value.get("maxAttempts")) {
            Some(0) => self.invalid("maxAttempts", "is 0: the route could serve nothing"),
            Some(attempts) => Ok(attempts.min(MAX_ATTEMPTS) as u32),
            None => self.invalid("maxAttempts", "is missing or no whole number"),
        }
    }

    /// The parts of `trafficSplit`, else all to `service`.
    fn traffic_split(
        &self,
        services: &BTreeMap<String, Service>,
    ) -> Result<Vec<WeightedService>, InvalidConfig> {
        let mut split = Vec::new();
        if let Some(parts) = self.value.get("trafficSplit").filter(|parts| !parts.is_null()) {
            let Some(parts) = parts.as_array() else { return self.invalid("trafficSplit", "is no list") };
            for (index, part) in parts.iter().enumerate() {
                split.push(self.weighted_service(index, part)?);
            }
        }
        let named = split.iter().map(|part| part.service.as_str()).chain(self.text("service"));
        if let Some(unknown) = named.into_iter().find(|service| !services.contains_key(*service)) {
            return self.invalid("service", format!("{unknown:?} is not among the services"));
        }
        if split.is_empty() {
            match self.text("service") {
                Some(service) => split.push(WeightedService { service: service.to_string(), weight: 1.0 }),
                None => return self.invalid("service", "is missing, and there is no trafficSplit"),
            }
        }
        if split.iter().map(|part| part.weight).sum::<f64>() <= 0.0 {
            return self.invalid("trafficSplit", "has no weight at all");
        }
        Ok(split)
    }

    fn weighted_service(&self, index: usize, part: &OwnedValue) -> Result<WeightedService, InvalidConfig> {
        let service = part.get("service").and_then(|v| v.as_str());
        let weight = part.get("weight").and_then(simd_json::prelude::ValueAsScalar::cast_f64);
        match (service, weight) {
            (Some(service), Some(weight)) if weight.is_finite() && weight >= 0.0 => {
                Ok(WeightedService { service: service.to_string(), weight })
            }
            _ => self.invalid(&format!("trafficSplit[{index}]"), "wants a service and a weight of 0 or more"),
        }
    }
}

fn limits(value: &OwnedValue) -> Result<Limits, InvalidConfig> {
    if value.as_object().is_none() {
        return invalid("limits", "is no table");
    }
    let bytes = |field: &str, default: usize| match value.get(field) {
        None => Ok(default),
        some => match integer(some) {
            Some(number) => Ok(number.min(MAX_LIMIT_BYTES) as usize),
            None => invalid(format!("limits.{field}"), "is no whole number"),
        },
    };
    let time = |field: &str, default: Micros| match value.get(field) {
        None => Ok(default),
        Some(value) => match seconds(value) {
            Some(time) => Ok(time),
            None => invalid(format!("limits.{field}"), "is no time in seconds"),
        },
    };
    let default = Limits::default();
    Ok(Limits {
        max_header_bytes: bytes("maxHeaderBytes", default.max_header_bytes)?,
        max_body_bytes: bytes("maxBodyBytes", default.max_body_bytes)?,
        header_timeout: time("headerTimeoutS", default.header_timeout)?,
        idle_timeout: time("idleTimeoutS", default.idle_timeout)?,
    })
}

/// A time in seconds, below 1e9.
fn seconds(value: &OwnedValue) -> Option<Micros> {
    let seconds = value.cast_f64().filter(|s| s.is_finite() && *s >= 0.0 && *s < 1e9)?;
    Some(Micros((seconds * 1e6).round() as i64))
}

/// A whole number, also where it is written with a fraction of zero.
fn integer(value: Option<&OwnedValue>) -> Option<u64> {
    let value = value?;
    let from_float = || value.as_f64().filter(|f| f.fract() == 0.0 && (0.0..1e15).contains(f));
    value.as_u64().or_else(|| from_float().map(|f| f as u64))
}
