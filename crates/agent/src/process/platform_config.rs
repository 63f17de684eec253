//! What the platform configures an agent with: the environment and the configuration file. Anything senseless ends the start.
use std::net::SocketAddr;

use notchspool_settings::json_fields::{FieldError, FieldResult, number, text};
use notchspool_settings::platform_settings::PlatformSettings;
use serde_json::Value;

use crate::base::limits::SharedLimits;

const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
const DEFAULT_DESCRIPTORS: f64 = 1024.0;
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// The configuration of one process.
pub struct PlatformConfig {
    /// Name of the agent.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The registry.
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub management: Option<SocketAddr>,
    /// Seed of all randomness.
    pub seed: u64,
    /// The limits of the process.
    pub limits: SharedLimits,
    /// The list as it was known before this start.
    pub known_list: Value,
    /// The settings.
    pub settings: PlatformSettings,
}

impl PlatformConfig {
    /// Reads environment and file.
    ///
    /// # Errors
    ///
    /// What makes no sense, with the file's name.
    pub fn load() -> FieldResult<PlatformConfig> {
        read_file(|file| parse(file, |name| std::env::var(name).ok()))
    }
}

/// Where the file, as it is now, places discovery. All of it must make sense, or none of it counts.
///
/// # Errors
///
/// What makes no sense, with the file's name.
pub fn load_discovery() -> FieldResult<SocketAddr> {
    read_file(|file| parse(file, |_| None)).map(|config| config.discovery)
}

/// What `parse` makes of the configuration file. An error names the file.
fn read_file<T>(parse: impl Fn(&[u8]) -> FieldResult<T>) -> FieldResult<T> {
    let path = std::env::var(CONFIG_VARIABLE);
    let path = path.map_err(|_| FieldError::from(format!("{CONFIG_VARIABLE} is not set")))?;
    let file = std::fs::read(&path).map_err(|e| FieldError::from(format!("{path}: {e}")))?;
    parse(&file).map_err(|error| format!("{path}: {error}").into())
}

/// The environment outranks the file where both name a thing.
fn parse(file: &[u8], env: impl Fn(&str) -> Option<String>) -> FieldResult<PlatformConfig> {
    let mut root: Value = serde_json::from_slice(file).map_err(|e| format!("not JSON: {e}"))?;
    let either = |variable: &str, field: &str| match env(variable) {
        Some(value) => Ok(value),
        None => text(&root, field).map(str::to_owned),
    };
    let address = |variable: &str, field: &str| -> FieldResult<SocketAddr> {
        let value = either(variable, field)?;
        value.parse().map_err(|_| format!("field `{field}`: `{value}` is no address and port").into())
    };
    let has_management = env("ROUTER_MANAGEMENT").is_some() || !root["management"].is_null();
    let management = has_management.then(|| address("ROUTER_MANAGEMENT", "management")).transpose()?;
    let seed = text(&root, "seed")?;
    let descriptors = limit(&root["limits"], "sockets", DEFAULT_DESCRIPTORS)?;
    let memory_mb = limit(&root["limits"], "memory_mb", DEFAULT_MEMORY_MB)?;
    Ok(PlatformConfig {
        name: either("ROUTER_NAME", "name")?,
        listen: address("ROUTER_LISTEN", "listen")?,
        discovery: address("ROUTER_DISCOVERY", "discovery")?,
        management,
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| format!("field `seed`: `{seed}` is not hexadecimal"))?,
        limits: SharedLimits::within(descriptors, memory_mb),
        settings: PlatformSettings::read(&root["settings"])?,
        known_list: root["known"].take(),
    })
}

fn limit(limits: &Value, field: &str, default: f64) -> FieldResult<usize> {
    match number(limits, field, Some(default))? {
        limit if limit >= 1.0 => Ok(limit as usize),
        _ => Err(format!("field `{field}` is below 1").into()),
    }
}
