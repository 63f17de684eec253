//! The settings file of a process, checked: what is missing or makes no sense is named by its field. Unknown fields are ignored.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use notchspool::units::Micros;
use serde_json::Value;

/// Why a settings file is of no use.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{}: {field}: {why}", file.display())]
pub struct Senseless {
    pub file: PathBuf,
    pub field: String,
    pub why: String,
}

/// Figures of the rules in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub drain: Micros,
    pub grace: Micros,
    pub config_apply: Micros,
    pub key_window: Micros,
    pub retry_ratio: f64,
    pub retry_window: Micros,
    pub retry_slack: f64,
    pub contact: Micros,
    pub address_reuse: Micros,
}

/// What may be lost at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerate {
    pub machines: usize,
    /// Zones, or regions: any one of them at least where this is not nought.
    pub zones: usize,
}

/// What a process is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub node: String,
    pub zone: String,
    pub ip: String,
    pub ports: (u16, u16),
    pub seeds: Vec<SocketAddr>,
    pub first_start: bool,
    /// Its loss counts against what is tolerated.
    pub counted: bool,
    pub tolerate: Tolerate,
    pub listen: BTreeMap<String, SocketAddr>,
    pub data: Option<PathBuf>,
    pub beat_interval: Micros,
    pub bounds: Bounds,
    pub memory_mb: u64,
    /// Speed of the machine's link, millions of bits a second.
    pub link_mbps: f64,
    pub app: Option<SocketAddr>,
    pub service: String,
}

struct Reader<'a> {
    file: &'a Path,
    value: Value,
}

impl Reader<'_> {
    fn wrong<T>(&self, field: &str, why: impl Into<String>) -> Result<T, Senseless> {
        Err(Senseless { file: self.file.to_path_buf(), field: field.to_string(), why: why.into() })
    }
    fn text(&self, field: &str) -> Result<String, Senseless> {
        match self.value.get(field) {
            Some(Value::String(s)) if !s.is_empty() => Ok(s.clone()),
            Some(_) => self.wrong(field, "is no text"),
            None => self.wrong(field, "is missing"),
        }
    }
    fn address(&self, field: &str, value: &Value) -> Result<SocketAddr, Senseless> {
        match value.as_str().map(str::parse) {
            Some(Ok(address)) => Ok(address),
            _ => self.wrong(field, format!("{value} is no address and port")),
        }
    }
}

impl Told {
    /// Reads and checks the file.
    pub fn read(file: &Path) -> Result<Told, Senseless> {
        let senseless =
            |field: &str, why: String| Senseless { file: file.to_path_buf(), field: field.into(), why };
        let bytes = std::fs::read(file).map_err(|e| senseless("file", format!("can't be read: {e}")))?;
        Told::of(file, &bytes)
    }

    /// From the bytes of a file.
    pub fn of(file: &Path, bytes: &[u8]) -> Result<Told, Senseless> {
        let value: Value = serde_json::from_slice(bytes).map_err(|e| Senseless {
            file: file.to_path_buf(),
            field: "file".into(),
            why: format!("is no JSON: {e}"),
        })?;
        let r = Reader { file, value };
        let mut listen = BTreeMap::new();
        match r.value.get("listenAddresses") {
            Some(Value::Object(all)) => {
                for (name, value) in all {
                    listen.insert(name.clone(), r.address(&format!("listenAddresses.{name}"), value)?);
                }
            }
            Some(_) => return r.wrong("listenAddresses", "is no table"),
            None => return r.wrong("listenAddresses", "is missing"),
        }
        let ports = match r.value.get("portRange").and_then(Value::as_array).map(|a| a.as_slice()) {
            Some([a, b]) => match (a.as_u64(), b.as_u64()) {
                (Some(a), Some(b)) if a > 0 && a <= b && b <= 65_535 => (a as u16, b as u16),
                _ => return r.wrong("portRange", "is no range of ports"),
            },
            _ => return r.wrong("portRange", "is missing or not two ports"),
        };
        let mut seeds = Vec::new();
        match r.value.get("seedNodes") {
            Some(Value::Array(all)) => {
                for (at, value) in all.iter().enumerate() {
                    seeds.push(r.address(&format!("seedNodes[{at}]"), value)?);
                }
            }
            _ => return r.wrong("seedNodes", "is missing or no list"),
        }
        let Some(first_start) = r.value.get("firstStart").and_then(Value::as_bool) else {
            return r.wrong("firstStart", "is missing or neither true nor false");
        };
        let data = match r.value.get("dataPath") {
            None | Some(Value::Null) => None,
            Some(Value::String(path)) => Some(PathBuf::from(path)),
            Some(_) => return r.wrong("dataPath", "is no path"),
        };
        let beat_interval = match r.value.get("beatIntervalS").and_then(Value::as_f64) {
            Some(s) if s > 0.0 && s < 3_600.0 => Micros((s * 1e6) as i64),
            _ => return r.wrong("beatIntervalS", "is missing or no time"),
        };
        let counted = match r.value.get("counted") {
            None | Some(Value::Null) => true,
            Some(Value::Bool(counted)) => *counted,
            Some(_) => return r.wrong("counted", "is neither true nor false"),
        };
        let part = |name: &str| {
            let part = r.value.pointer(&format!("/tolerate/{name}")).and_then(Value::as_u64);
            part.map_or(0, |n| n.min(64) as usize)
        };
        let tolerate = Tolerate { machines: part("machines"), zones: part("zones").max(part("regions")) };
        let app = match r.value.get("appAddress") {
            None | Some(Value::Null) => None,
            Some(value) => Some(r.address("appAddress", value)?),
        };
        let service = r.value.get("service").and_then(Value::as_str).unwrap_or_default().to_string();
        let memory_mb = r.value.pointer("/limits/memoryMb").and_then(Value::as_f64).unwrap_or(128.0) as u64;
        let link_mbps = r
            .value
            .pointer("/limits/linkMbps")
            .and_then(Value::as_f64)
            .filter(|m| *m > 0.0)
            .unwrap_or(1_000.0);
        Ok(Told {
            link_mbps,
            node: r.text("node")?,
            zone: r.text("zone")?,
            ip: r.text("ipAddress")?,
            bounds: bounds(&r)?,
            ports,
            seeds,
            first_start,
            counted,
            tolerate,
            listen,
            data,
            beat_interval,
            memory_mb,
            app,
            service,
        })
    }

    /// A listener that this role must have.
    pub fn listener(&self, file: &Path, name: &str) -> Result<SocketAddr, Senseless> {
        let field = format!("listenAddresses.{name}");
        let missing =
            || Senseless { file: file.to_path_buf(), field, why: "is missing for this role".into() };
        self.listen.get(name).copied().ok_or_else(missing)
    }

    /// Where this process listens to the mesh's own others, and where a seed does.
    pub fn inner(&self) -> String {
        format!("{}:{}", self.ip, self.ports.0)
    }
    pub fn inner_of(&self, seed: &SocketAddr) -> String {
        format!("{}:{}", seed.ip(), self.ports.0)
    }
}

fn bounds(r: &Reader<'_>) -> Result<Bounds, Senseless> {
    let mut all = BTreeMap::new();
    let list = match r.value.get("bounds") {
        Some(Value::Array(list)) => list.iter().map(|v| v.as_str().unwrap_or_default().to_string()).collect(),
        Some(Value::String(line)) => line.split(',').map(str::to_string).collect::<Vec<_>>(),
        _ => return r.wrong("bounds", "is missing or no list"),
    };
    for (at, text) in list.iter().enumerate() {
        let Some((name, value)) = text.split_once('=') else {
            return r.wrong(&format!("bounds[{at}]"), format!("{text:?} is not name=value"));
        };
        all.insert(name.trim().to_string(), value.trim().to_string());
    }
    let figure = |name: &str, usual: f64| match all.get(name).map(|v| v.parse::<f64>()) {
        None => Ok(usual),
        Some(Ok(v)) if v.is_finite() && v >= 0.0 => Ok(v),
        Some(_) => r.wrong(&format!("bounds.{name}"), format!("{:?} is no figure", all[name])),
    };
    let time = |name: &str, usual: f64| figure(name, usual).map(|s| Micros((s * 1e6) as i64));
    Ok(Bounds {
        drain: time("drainS", 2.0)?,
        grace: time("graceS", 6.0)?,
        config_apply: time("configApplyS", 2.0)?,
        key_window: time("keyWindowS", 60.0)?,
        retry_ratio: figure("retryRatio", 0.1)?,
        retry_window: time("retryWindowS", 10.0)?,
        retry_slack: figure("retrySlack", 0.0)?,
        contact: time("contactS", 3.0)?,
        address_reuse: time("addressReuseS", 2.0)?,
    })
}
