//! One configuration: read by values, checked whole before anything of it is in force, looked up by host and longest prefix.
use std::collections::{BTreeMap, HashMap};

use notchspool::units::Micros;
use simd_json::OwnedValue;
use simd_json::prelude::*;

/// Routes of one configuration at most.
const MOST_ROUTES: usize = 20_000;
/// No route may hold a request for longer.
const LONGEST: f64 = 600.0;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    Safe,
    Unsafe,
    Keyed,
    Download,
}

impl RouteKind {
    pub fn repeatable(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::Download)
    }
}

#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub kind: RouteKind,
    pub timeout: Micros,
    pub target: Micros,
    /// 0 is highest.
    pub priority: u32,
    pub attempts: u32,
    /// Services with their parts of the traffic; the sum is above 0.
    pub split: Vec<(String, f64)>,
}

impl Route {
    /// Where a dart in 0 to 1 lands.
    pub fn service(&self, dart: f64) -> &str {
        let mut left = dart * self.split.iter().map(|s| s.1).sum::<f64>();
        let hit = |(_, weight): &&(String, f64)| {
            left -= weight;
            left < 0.0
        };
        let all = self.split.as_slice();
        let found = all.iter().find(hit).or_else(|| all.iter().rfind(|s| s.1 > 0.0));
        found.map_or("", |s| &s.0)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub health: String,
    pub max_conns: u32,
    /// Its backends keep a record of keys of their own.
    pub dedupes: bool,
}

/// What a client may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_time: Micros,
    pub idle_time: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        let (header_time, idle_time) = (Micros::ms(5_000), Micros::ms(30_000));
        Limits { header_bytes: 16_384, body_bytes: 64 << 20, header_time, idle_time }
    }
}

/// Why a configuration is refused: where, and what is wrong there.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{place}: {why}")]
pub struct Refusal {
    pub place: String,
    pub why: String,
}

fn refuse<T>(place: impl Into<String>, why: impl Into<String>) -> Result<T, Refusal> {
    Err(Refusal { place: place.into(), why: why.into() })
}

#[derive(Clone, Debug, Default)]
pub struct Script {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: BTreeMap<String, Service>,
    pub limits: Limits,
    /// Routes of a host, those with longer prefixes first.
    by_host: HashMap<String, Vec<usize>>,
}

fn seconds(value: &OwnedValue) -> Option<Micros> {
    let s = value.cast_f64().filter(|s| s.is_finite() && *s >= 0.0 && *s < 1e9)?;
    Some(Micros((s * 1e6).round() as i64))
}

fn whole(value: Option<&OwnedValue>) -> Option<u64> {
    let value = value?;
    value
        .as_u64()
        .or_else(|| value.as_f64().filter(|f| f.fract() == 0.0 && (0.0..1e15).contains(f)).map(|f| f as u64))
}

impl Script {
    /// Reads and checks a configuration. Bytes that are not JSON as a whole, or make no sense, are refused with their place.
    pub fn check(bytes: &[u8]) -> Result<Script, Refusal> {
        if std::str::from_utf8(bytes).is_err() {
            return refuse("body", "is not UTF-8");
        }
        let mut own = bytes.to_vec();
        let value = simd_json::to_owned_value(&mut own)
            .map_err(|e| Refusal { place: "body".into(), why: format!("can't be read whole: {e}") })?;
        if value.as_object().is_none() {
            return refuse("body", "is no table");
        }
        let Some(version) = whole(value.get("version")) else {
            return refuse("version", "is missing or no whole number");
        };
        let mut script = Script { version, ..Script::default() };
        let Some(services) = value.get("services").and_then(|s| s.as_object()) else {
            return refuse("services", "is missing or no table");
        };
        for (name, service) in services.iter() {
            script.services.insert(name.clone(), one_service(name, service)?);
        }
        let Some(routes) = value.get("routes").and_then(|r| r.as_object()) else {
            return refuse("routes", "is missing or no table");
        };
        if routes.len() > MOST_ROUTES {
            return refuse("routes", format!("holds {} of {MOST_ROUTES} allowed", routes.len()));
        }
        for (name, route) in routes.iter() {
            script.routes.push(one_route(name, route, &script.services)?);
        }
        script.routes.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(limits) = value.get("limits") {
            script.limits = one_limits(limits)?;
        }
        for (at, route) in script.routes.iter().enumerate() {
            script.by_host.entry(route.host.to_ascii_lowercase()).or_default().push(at);
        }
        for all in script.by_host.values_mut() {
            all.sort_by_key(|&at| std::cmp::Reverse(script.routes[at].prefix.len()));
        }
        Ok(script)
    }

    /// Of the routes of this host, the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.strip_suffix(':').unwrap_or(host);
        let found = self.by_host.get(host).or_else(|| {
            let bare = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
            self.by_host.get(&bare.map_or(host, |(name, _)| name).to_ascii_lowercase())
        });
        let mut all = found?.iter().map(|&at| &self.routes[at]);
        all.find(|r| path.starts_with(&r.prefix))
    }
}

fn one_service(name: &str, value: &OwnedValue) -> Result<Service, Refusal> {
    let place = |field: &str| format!("services.{name}.{field}");
    if value.as_object().is_none() {
        return refuse(format!("services.{name}"), "is no table");
    }
    let health = match value.get("healthPath") {
        None => "/health".to_string(),
        Some(v) => match v.as_str() {
            Some(s) if s.starts_with('/') => s.to_string(),
            _ => return refuse(place("healthPath"), "is no path"),
        },
    };
    let max_conns = match value.get("maxConns") {
        None => 100,
        some => match whole(some) {
            Some(n) => n.min(u64::from(u32::MAX)) as u32,
            None => return refuse(place("maxConns"), "is no whole number"),
        },
    };
    let dedupes = value.get("selfDedupes").and_then(|v| v.as_bool()).unwrap_or(false);
    Ok(Service { health, max_conns, dedupes })
}

fn one_route(name: &str, value: &OwnedValue, services: &BTreeMap<String, Service>) -> Result<Route, Refusal> {
    let place = |field: &str| format!("routes.{name}.{field}");
    if value.as_object().is_none() {
        return refuse(format!("routes.{name}"), "is no table");
    }
    let host = match value.get("host").and_then(|v| v.as_str()) {
        Some(host) if !host.trim().is_empty() => host.to_string(),
        _ => return refuse(place("host"), "is missing or empty"),
    };
    let prefix = match value.get("pathPrefix").and_then(|v| v.as_str()) {
        Some(prefix) if prefix.starts_with('/') => prefix.to_string(),
        _ => return refuse(place("pathPrefix"), "is missing or does not begin with a slash"),
    };
    let kind = match value.get("routeKind").and_then(|v| v.as_str()) {
        Some("safe") => RouteKind::Safe,
        Some("unsafe") => RouteKind::Unsafe,
        Some("keyed") => RouteKind::Keyed,
        Some("download") => RouteKind::Download,
        Some(other) => {
            return refuse(place("routeKind"), format!("{other:?} is none of safe, unsafe, keyed, download"));
        }
        None => return refuse(place("routeKind"), "is missing"),
    };
    let timeout = match value.get("timeoutS").and_then(seconds) {
        Some(t) if t.0 > (LONGEST * 1e6) as i64 => return refuse(place("timeoutS"), "is over ten minutes"),
        Some(t) if t > Micros(0) => t,
        _ => return refuse(place("timeoutS"), "is missing or not above 0"),
    };
    let target = value.get("targetS").and_then(seconds).filter(|t| t.0 > 0).unwrap_or(timeout);
    let attempts = match whole(value.get("maxAttempts")) {
        Some(0) => return refuse(place("maxAttempts"), "is 0: the route could serve nothing"),
        Some(n) => n.min(100) as u32,
        None => return refuse(place("maxAttempts"), "is missing or no whole number"),
    };
    let priority = whole(value.get("priority")).unwrap_or(2).min(255) as u32;
    let mut split = Vec::new();
    if let Some(parts) = value.get("trafficSplit").and_then(|v| v.as_array()) {
        for (at, part) in parts.iter().enumerate() {
            let service = part.get("service").and_then(|v| v.as_str());
            let weight = part.get("weight").and_then(|v| v.cast_f64());
            match (service, weight) {
                (Some(service), Some(weight)) if weight.is_finite() && weight >= 0.0 => {
                    split.push((service.to_string(), weight));
                }
                _ => {
                    return refuse(
                        place(&format!("trafficSplit[{at}]")),
                        "wants a service and a weight of 0 or more",
                    );
                }
            }
        }
    }
    if split.is_empty() {
        match value.get("service").and_then(|v| v.as_str()) {
            Some(service) => split.push((service.to_string(), 1.0)),
            None => return refuse(place("service"), "is missing, and there is no trafficSplit"),
        }
    }
    if let Some((unknown, _)) = split.iter().find(|s| !services.contains_key(&s.0)) {
        return refuse(place("service"), format!("{unknown:?} is not among the services"));
    }
    if split.iter().map(|s| s.1).sum::<f64>() <= 0.0 {
        return refuse(place("trafficSplit"), "has no weight at all");
    }
    Ok(Route { name: name.to_string(), host, prefix, kind, timeout, target, priority, attempts, split })
}

fn one_limits(value: &OwnedValue) -> Result<Limits, Refusal> {
    let mut limits = Limits::default();
    if value.as_object().is_none() {
        return refuse("limits", "is no table");
    }
    let bytes = |field: &str, old: usize| match value.get(field) {
        None => Ok(old),
        some => match whole(some) {
            Some(n) => Ok(n.min(1 << 40) as usize),
            None => refuse(format!("limits.{field}"), "is no whole number"),
        },
    };
    let time = |field: &str, old: Micros| match value.get(field) {
        None => Ok(old),
        Some(v) => seconds(v).map_or_else(|| refuse(format!("limits.{field}"), "is no time in seconds"), Ok),
    };
    limits.header_bytes = bytes("maxHeaderBytes", limits.header_bytes)?;
    limits.body_bytes = bytes("maxBodyBytes", limits.body_bytes)?;
    limits.header_time = time("headerTimeoutS", limits.header_time)?;
    limits.idle_time = time("idleTimeoutS", limits.idle_time)?;
    Ok(limits)
}

#[cfg(test)]
mod tests {
    use super::*;

    const SOUND: &str = r#"{"version":7,"routes":{
        "a":{"host":"x.example","pathPrefix":"/a/","routeKind":"safe","timeoutS":2.5,"targetS":0.6,"priority":2,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2},
        "b":{"host":"x.example","pathPrefix":"/a/b/","routeKind":"keyed","timeoutS":3,"targetS":0.8,"priority":1,"service":"s2","maxAttempts":2}},
        "services":{"s1":{"healthPath":"/h","maxConns":130,"protocol":"h1","usesTls":false,"selfDedupes":false},"s2":{}},
        "limits":{"maxHeaderBytes":16384,"headerTimeoutS":3}}"#;

    #[test]
    fn the_longest_prefix_of_the_host_decides() {
        let script = Script::check(SOUND.as_bytes()).unwrap();
        let name = |host: &str, path: &str| script.route(host, path).map(|r| r.name.clone());
        assert_eq!(name("x.example", "/a/1").as_deref(), Some("a"));
        assert_eq!(name("X.example:80", "/a/b/1").as_deref(), Some("b"));
        assert_eq!(name("x.example", "/a/b").as_deref(), Some("a"));
        assert_eq!(name("x.example", "/b/"), None);
        assert_eq!(name("y.example", "/a/1"), None);
        let route = &script.routes[0];
        assert_eq!((route.service(0.0), route.service(0.89), route.service(0.91)), ("s1", "s1", "s2"));
        assert_eq!(script.limits.header_time, Micros::ms(3_000));
        assert_eq!(route.timeout, Micros::ms(2_500));
    }

    #[test]
    fn each_kind_of_nonsense_is_refused_with_its_place() {
        let rows = [
            ("\"version\":7,", "", "version"),
            (
                "\"host\":\"x.example\",\"pathPrefix\":\"/a/\"",
                "\"host\":\"\",\"pathPrefix\":\"/a/\"",
                "routes.a.host",
            ),
            ("\"timeoutS\":2.5", "\"timeoutS\":600.5", "routes.a.timeoutS"),
            ("\"timeoutS\":2.5", "\"timeoutS\":0", "routes.a.timeoutS"),
            (
                "\"service\":\"s2\",\"maxAttempts\":2",
                "\"service\":\"s3\",\"maxAttempts\":2",
                "routes.b.service",
            ),
            (
                "\"service\":\"s2\",\"maxAttempts\":2",
                "\"service\":\"s2\",\"maxAttempts\":0",
                "routes.b.maxAttempts",
            ),
            ("\"weight\":90", "\"weight\":-1", "routes.a.trafficSplit[0]"),
            ("\"routeKind\":\"safe\"", "\"routeKind\":\"odd\"", "routes.a.routeKind"),
            ("\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":\"x\"", "limits.maxHeaderBytes"),
        ];
        for (old, new, place) in rows {
            assert!(SOUND.contains(old), "{old}");
            let refusal = Script::check(SOUND.replacen(old, new, 1).as_bytes()).unwrap_err();
            assert_eq!(refusal.place, place, "{refusal}");
        }
    }

    #[test]
    fn a_body_cut_short_anywhere_is_refused() {
        for end in 0..SOUND.len() {
            assert!(Script::check(&SOUND.as_bytes()[..end]).is_err(), "cut at {end}");
        }
    }

    #[test]
    fn any_bytes_are_a_configuration_or_a_refusal() {
        fn holds(at: usize, byte: u8) -> bool {
            let mut bytes = SOUND.as_bytes().to_vec();
            let at = at % bytes.len();
            bytes[at] = byte;
            Script::check(&bytes).is_ok_and(|s| !s.routes.is_empty()) || Script::check(&bytes).is_err()
        }
        quickcheck::QuickCheck::new()
            .rng(quickcheck::Gen::from_size_and_seed(1 << 20, 7))
            .tests(3_000)
            .quickcheck(holds as fn(usize, u8) -> bool);
    }
}
