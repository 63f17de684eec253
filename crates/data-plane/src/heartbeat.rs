//! Parsing of a backend's heartbeat (`instances.heartbeat`).
use notchspool::units::Micros;
use notchspool_endpoint_registry::heartbeats::Heartbeat;
use serde_json::Value;

const MAX_INSTANCE_BYTES: usize = 256;
const MAX_SLOTS: u64 = 100_000;
const MAX_WARMUP_S: f64 = 3_600.0;

/// Parses and checks the body of a heartbeat.
///
/// # Errors
///
/// The field that is wrong, and what is wrong with it.
pub fn parse(instance: &str, bytes: &[u8]) -> Result<Heartbeat, String> {
    let value: Value = serde_json::from_slice(bytes).map_err(|e| format!("body: is no JSON: {e}"))?;
    let field = |path: &str| value.pointer(path).ok_or_else(|| format!("{path}: is missing"));
    let text =
        |path: &str| field(path)?.as_str().map(str::to_string).ok_or_else(|| format!("{path}: is no text"));
    let integer = |path: &str| field(path)?.as_u64().ok_or_else(|| format!("{path}: is no whole number"));
    let state = text("/status/state")?;
    let warmup_s = value.pointer("/status/coldLeftS").and_then(Value::as_f64).unwrap_or(0.0);
    if !matches!(state.as_str(), "ready" | "draining") {
        return Err(format!("/status/state: {state:?} is neither ready nor draining"));
    }
    if instance.is_empty() || instance.len() > MAX_INSTANCE_BYTES {
        return Err("of: is no id".into());
    }
    Ok(Heartbeat {
        instance: instance.to_string(),
        service: text("/details/service")?,
        address: text("/address")?,
        zone: text("/details/zone")?,
        slots: integer("/details/freeSlots")?.min(MAX_SLOTS) as u32,
        draining: state == "draining",
        warmup: Micros((warmup_s.clamp(0.0, MAX_WARMUP_S) * 1e6) as i64),
        call_count: integer("/status/callCount")?,
    })
}
