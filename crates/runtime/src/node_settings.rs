//! The settings file of a process (`NOTCHSPOOL_SETTINGS`), checked. The names of its fields are the operators'; fields that are not known
//! are ignored, and what is missing or makes no sense is named by its field.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use notchspool::units::Micros;
use serde_json::Value;

/// What a field may be, at most, where more would be a mistake.
const MAX_HEARTBEAT_INTERVAL_S: f64 = 3_600.0;
const MAX_TOLERATED: u64 = 64;
const DEFAULT_MEMORY_MB: f64 = 128.0;
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
const MICROS_A_SECOND: f64 = 1e6;

/// Why a settings file is of no use.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{}: {field}: {reason}", file.display())]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// The field concerned, or `file`.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Figures of the operators' rules (`bounds`), with their defaults where a file gives none.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleBounds {
    /// `drainS`: nothing new to a backend this long after its drain was acknowledged.
    pub drain: Micros,
    /// `graceS`: a process ends within this of SIGTERM.
    pub grace: Micros,
    /// `configApplyS`: an acknowledged configuration is in force everywhere within this.
    pub config_apply: Micros,
    /// `keyWindowS`: an idempotency key is known for this long.
    pub key_window: Micros,
    /// `retryRatio`: retries for each request, over all proxies.
    pub retry_ratio: f64,
    /// `retryWindowS`: over which `retry_ratio` is counted.
    pub retry_window: Micros,
    /// `retrySlack`: retries in a window beside that.
    pub retry_slack: f64,
    /// `contactS`: a machine counts as in touch only after this long without trouble.
    pub contact: Micros,
    /// `addressReuseS`: an address may belong to another backend after this.
    pub address_reuse: Micros,
}

/// What may be lost at once (`tolerate`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Machines that count.
    pub machines: usize,
    /// Zones or regions: any one of them at least where this is not 0.
    pub zones: usize,
}

/// Ports that a process may listen at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first; the mesh's own connections come here.
    pub first: u16,
    /// The last.
    pub last: u16,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The machine's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub ip: String,
    /// Ports that the process may listen at.
    pub ports: PortRange,
    /// Machines that serve control, as the platform knows them.
    pub seeds: Vec<SocketAddr>,
    /// The first start of all: there is no disk anywhere yet.
    pub first_start: bool,
    /// Its loss counts against what is tolerated.
    pub counted: bool,
    /// What may be lost at once.
    pub tolerate: Tolerance,
    /// Where the process has to listen, by name.
    pub listen: BTreeMap<String, SocketAddr>,
    /// Its disk, if it has one.
    pub data_path: Option<PathBuf>,
    /// The time between two heartbeats of a backend.
    pub heartbeat_interval: Micros,
    /// Figures of the rules.
    pub bounds: RuleBounds,
    /// Memory of the process.
    pub memory_mb: u64,
    /// Speed of the machine's link, in millions of bits a second.
    pub link_mbps: f64,
    /// The backend of this machine, if there is one.
    pub app_address: Option<SocketAddr>,
    /// Its service; empty where there is none.
    pub service: String,
}

impl NodeSettings {
    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or a field makes no sense; the file and the field are named.
    pub fn read(file: &Path) -> Result<NodeSettings, SettingsError> {
        let bytes = std::fs::read(file).map_err(|e| file_error(file, format!("can't be read: {e}")))?;
        NodeSettings::parse(file, &bytes)
    }

    /// Checks the bytes of a file; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// A field makes no sense; the file and the field are named.
    pub fn parse(file: &Path, bytes: &[u8]) -> Result<NodeSettings, SettingsError> {
        let value =
            serde_json::from_slice(bytes).map_err(|e| file_error(file, format!("is no JSON: {e}")))?;
        let fields = Fields { file, value };
        Ok(NodeSettings {
            listen: fields.listen_addresses()?,
            ports: fields.port_range()?,
            seeds: fields.seeds()?,
            first_start: fields.first_start()?,
            data_path: fields.data_path()?,
            heartbeat_interval: fields.heartbeat_interval()?,
            counted: fields.counted()?,
            tolerate: fields.tolerance(),
            app_address: fields.app_address()?,
            service: fields.value.get("service").and_then(Value::as_str).unwrap_or_default().to_string(),
            memory_mb: fields.limit("memoryMb").unwrap_or(DEFAULT_MEMORY_MB) as u64,
            link_mbps: fields.limit("linkMbps").filter(|m| *m > 0.0).unwrap_or(DEFAULT_LINK_MBPS),
            node: fields.text("node")?,
            zone: fields.text("zone")?,
            ip: fields.text("ipAddress")?,
            bounds: fields.bounds()?,
        })
    }

    /// A listener that this role must have.
    ///
    /// # Errors
    ///
    /// The settings have no listener of this name.
    pub fn listener(&self, file: &Path, name: &str) -> Result<SocketAddr, SettingsError> {
        let address = self.listen.get(name).copied();
        address.ok_or_else(|| SettingsError::missing_for_role(file, &format!("listenAddresses.{name}")))
    }

    /// Where this process listens to the mesh's own others, `ip:port`.
    pub fn peer_address(&self) -> String {
        format!("{}:{}", self.ip, self.ports.first)
    }

    /// Where a seed does.
    pub fn peer_address_of(&self, seed: &SocketAddr) -> String {
        format!("{}:{}", seed.ip(), self.ports.first)
    }

    /// Where all seeds do.
    pub fn seed_peer_addresses(&self) -> Vec<String> {
        self.seeds.iter().map(|seed| self.peer_address_of(seed)).collect()
    }
}

impl SettingsError {
    /// A field that a role must have is not there.
    pub fn missing_for_role(file: &Path, field: &str) -> SettingsError {
        let reason = "is missing for this role".to_string();
        SettingsError { file: file.to_path_buf(), field: field.to_string(), reason }
    }
}

fn file_error(file: &Path, reason: String) -> SettingsError {
    SettingsError { file: file.to_path_buf(), field: "file".into(), reason }
}

/// The fields of one file.
struct Fields<'a> {
    file: &'a Path,
    value: Value,
}

impl Fields<'_> {
    fn error<T>(&self, field: &str, reason: impl Into<String>) -> Result<T, SettingsError> {
        let (file, field) = (self.file.to_path_buf(), field.to_string());
        Err(SettingsError { file, field, reason: reason.into() })
    }

    fn text(&self, field: &str) -> Result<String, SettingsError> {
        match self.value.get(field) {
            Some(Value::String(text)) if !text.is_empty() => Ok(text.clone()),
            Some(_) => self.error(field, "is no text"),
            None => self.error(field, "is missing"),
        }
    }

    fn address(&self, field: &str, value: &Value) -> Result<SocketAddr, SettingsError> {
        match value.as_str().map(str::parse) {
            Some(Ok(address)) => Ok(address),
            _ => self.error(field, format!("{value} is no address and port")),
        }
    }

    fn listen_addresses(&self) -> Result<BTreeMap<String, SocketAddr>, SettingsError> {
        match self.value.get("listenAddresses") {
            Some(Value::Object(addresses)) => addresses
                .iter()
                .map(|(name, value)| {
                    Ok((name.clone(), self.address(&format!("listenAddresses.{name}"), value)?))
                })
                .collect(),
            Some(_) => self.error("listenAddresses", "is no table"),
            None => self.error("listenAddresses", "is missing"),
        }
    }

    fn port_range(&self) -> Result<PortRange, SettingsError> {
        let ports = self.value.get("portRange").and_then(Value::as_array).map(std::vec::Vec::as_slice);
        let Some([first, last]) = ports else {
            return self.error("portRange", "is missing or not two ports");
        };
        match (first.as_u64(), last.as_u64()) {
            (Some(first), Some(last)) if first > 0 && first <= last && u16::try_from(last).is_ok() => {
                Ok(PortRange { first: first as u16, last: last as u16 })
            }
            _ => self.error("portRange", "is no range of ports"),
        }
    }

    fn seeds(&self) -> Result<Vec<SocketAddr>, SettingsError> {
        let Some(Value::Array(seeds)) = self.value.get("seedNodes") else {
            return self.error("seedNodes", "is missing or no list");
        };
        let seeds = seeds.iter().enumerate();
        seeds.map(|(index, value)| self.address(&format!("seedNodes[{index}]"), value)).collect()
    }

    fn first_start(&self) -> Result<bool, SettingsError> {
        match self.value.get("firstStart").and_then(Value::as_bool) {
            Some(first_start) => Ok(first_start),
            None => self.error("firstStart", "is missing or neither true nor false"),
        }
    }

    fn data_path(&self) -> Result<Option<PathBuf>, SettingsError> {
        match self.value.get("dataPath") {
            None | Some(Value::Null) => Ok(None),
            Some(Value::String(path)) => Ok(Some(PathBuf::from(path))),
            Some(_) => self.error("dataPath", "is no path"),
        }
    }

    fn heartbeat_interval(&self) -> Result<Micros, SettingsError> {
        match self.value.get("beatIntervalS").and_then(Value::as_f64) {
            Some(seconds) if seconds > 0.0 && seconds < MAX_HEARTBEAT_INTERVAL_S => {
                Ok(Micros((seconds * MICROS_A_SECOND) as i64))
            }
            _ => self.error("beatIntervalS", "is missing or no time"),
        }
    }

    fn counted(&self) -> Result<bool, SettingsError> {
        match self.value.get("counted") {
            None | Some(Value::Null) => Ok(true),
            Some(Value::Bool(counted)) => Ok(*counted),
            Some(_) => self.error("counted", "is neither true nor false"),
        }
    }

    fn tolerance(&self) -> Tolerance {
        let number = |name: &str| {
            let number = self.value.pointer(&format!("/tolerate/{name}")).and_then(Value::as_u64);
            number.map_or(0, |number| number.min(MAX_TOLERATED) as usize)
        };
        Tolerance { machines: number("machines"), zones: number("zones").max(number("regions")) }
    }

    fn app_address(&self) -> Result<Option<SocketAddr>, SettingsError> {
        match self.value.get("appAddress") {
            None | Some(Value::Null) => Ok(None),
            Some(value) => self.address("appAddress", value).map(Some),
        }
    }

    fn limit(&self, name: &str) -> Option<f64> {
        self.value.pointer(&format!("/limits/{name}")).and_then(Value::as_f64)
    }

    /// `bounds`, a list of `name=value` or one line of them.
    fn bounds(&self) -> Result<RuleBounds, SettingsError> {
        let given = self.given_bounds()?;
        let number = |name: &str, default: f64| match given.get(name).map(|value| value.parse::<f64>()) {
            None => Ok(default),
            Some(Ok(value)) if value.is_finite() && value >= 0.0 => Ok(value),
            Some(_) => self.error(&format!("bounds.{name}"), format!("{:?} is no figure", given[name])),
        };
        let seconds = |name: &str, default: f64| {
            number(name, default).map(|seconds| Micros((seconds * MICROS_A_SECOND) as i64))
        };
        Ok(RuleBounds {
            drain: seconds("drainS", 2.0)?,
            grace: seconds("graceS", 6.0)?,
            config_apply: seconds("configApplyS", 2.0)?,
            key_window: seconds("keyWindowS", 60.0)?,
            retry_ratio: number("retryRatio", 0.1)?,
            retry_window: seconds("retryWindowS", 10.0)?,
            retry_slack: number("retrySlack", 0.0)?,
            contact: seconds("contactS", 3.0)?,
            address_reuse: seconds("addressReuseS", 2.0)?,
        })
    }

    fn given_bounds(&self) -> Result<BTreeMap<String, String>, SettingsError> {
        let texts: Vec<&str> = match self.value.get("bounds") {
            Some(Value::Array(list)) => list.iter().map(|v| v.as_str().unwrap_or_default()).collect(),
            Some(Value::String(line)) => line.split(',').collect(),
            _ => return self.error("bounds", "is missing or no list"),
        };
        let mut given = BTreeMap::new();
        for (index, text) in texts.into_iter().enumerate() {
            let Some((name, value)) = text.split_once('=') else {
                return self.error(&format!("bounds[{index}]"), format!("{text:?} is not name=value"));
            };
            given.insert(name.trim().to_string(), value.trim().to_string());
        }
        Ok(given)
    }
}
