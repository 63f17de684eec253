//! What an agent is told: the environment and the configuration file. Anything senseless ends the start.
use std::net::SocketAddr;

use notchspool_settings::read::{Read, number, text};
use notchspool_settings::{Agreed, agreed};
use serde_json::Value;

use crate::base::bounds::Room;

pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The door for operators, where there is to be one.
    pub management: Option<SocketAddr>,
    pub seed: u64,
    pub room: Room,
    pub known: Value,
    pub agreed: Agreed,
}

pub fn told() -> Read<Told> {
    within(|file| read(file, |name| std::env::var(name).ok()))
}

/// Where the file, as it is now, places discovery. All of it must make sense, or none of it counts.
pub fn discovery() -> Read<SocketAddr> {
    within(|file| read(file, |_| None)).map(|told| told.discovery)
}

/// What `read` makes of the configuration file. An error names the file.
fn within<T>(read: impl Fn(&[u8]) -> Read<T>) -> Read<T> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_owned())?;
    let file = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    read(&file).map_err(|why| format!("{path}: {why}"))
}

/// The environment outranks the file where both name a thing.
fn read(file: &[u8], env: impl Fn(&str) -> Option<String>) -> Read<Told> {
    let mut all: Value = serde_json::from_slice(file).map_err(|e| format!("not JSON: {e}"))?;
    let either = |var: &str, field: &str| match env(var) {
        Some(value) => Ok(value),
        None => text(&all, field).map(str::to_owned),
    };
    let address = |var: &str, field: &str| {
        let value = either(var, field)?;
        value.parse::<SocketAddr>().map_err(|_| format!("field `{field}`: `{value}` is no address and port"))
    };
    let management = match env("ROUTER_MANAGEMENT").is_some() || !all["management"].is_null() {
        true => Some(address("ROUTER_MANAGEMENT", "management")?),
        false => None,
    };
    let seed = text(&all, "seed")?;
    let limit = |field: &str, default: f64| match number(&all["limits"], field, Some(default))? {
        limit if limit >= 1.0 => Ok(limit as usize),
        _ => Err(format!("field `{field}` is below 1")),
    };
    Ok(Told {
        name: either("ROUTER_NAME", "name")?,
        listen: address("ROUTER_LISTEN", "listen")?,
        discovery: address("ROUTER_DISCOVERY", "discovery")?,
        management,
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| format!("field `seed`: `{seed}` is not hexadecimal"))?,
        room: Room::within(limit("sockets", 1024.0)?, limit("memory_mb", 192.0)?),
        agreed: agreed(&all["settings"])?,
        known: all["known"].take(),
    })
}
