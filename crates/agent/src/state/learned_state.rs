//! What a process learned, for the one that takes over, as text: figures of the decision module, and of backends by their names, as numbers differ from
//! process to process. Read defensively: what makes no sense is left out, and all of it where it is none of ours. Names of fields are those of the
//! first release.
use std::collections::BTreeMap;

use notchspool::histogram::Histogram;
use notchspool::state_transfer::{LearnedBackend, LearnedState};
use notchspool::units::{BackendId, Micros};
use serde_json::{Map, Value, json};

const FORMAT: &str = "notchspool learnt 2";
/// What an older version leaves: nothing in it says of what fleet, nor of which request classes.
const OLDER_FORMAT: &str = "notchspool learnt 1";
/// Attempts at one backend that is warming up that are read.
const MAX_SENT_WHILE_WARMING: usize = 1024;

/// The shape of the fleet that figures are of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetShape {
    /// How many agents.
    pub agents: u32,
    /// Sizes are stated as weights that move with load.
    pub weights_follow_load: bool,
    /// Names and latency targets of the request classes.
    pub classes: Vec<(String, Micros)>,
}

impl FleetShape {
    fn to_json(&self) -> Value {
        let classes: Vec<Value> = self.classes.iter().map(|(name, target)| json!([name, target.0])).collect();
        json!({"agents": self.agents, "live": self.weights_follow_load, "schemes": classes})
    }
}

/// The text. `at`: now, Unix time in microseconds.
pub fn encode(
    state: &LearnedState,
    names: &BTreeMap<BackendId, String>,
    shape: &FleetShape,
    at: Micros,
) -> String {
    to_json(state, names, shape, at).to_string()
}

/// The same as a JSON object.
pub fn to_json(
    state: &LearnedState,
    names: &BTreeMap<BackendId, String>,
    shape: &FleetShape,
    at: Micros,
) -> Value {
    let backend = |(id, known): &(BackendId, LearnedBackend)| {
        let sent_while_warming: Vec<i64> = known.sent_while_warming.iter().map(|at| at.0).collect();
        let value = json!({
            "started": known.started.0, "pace": known.relative_latency, "doubt": known.failure_score,
            "size": known.size, "flow": known.throughput, "cold_sent": sent_while_warming,
        });
        Some((names.get(id)?.clone(), value))
    };
    let backends: Map<String, Value> = state.backends.iter().filter_map(backend).collect();
    let latencies = shape.classes.iter().zip(&state.latencies);
    let latencies: Map<String, Value> =
        latencies.map(|((name, _), latency)| (name.clone(), json!(latency.to_parts()))).collect();
    json!({
        "form": FORMAT, "at": at.0, "shape": shape.to_json(), "keep": state.idle_trust.0,
        "window": state.window, "saved": state.saved, "stress": state.pressure,
        "rest": state.base_pressure, "fails": state.failure_rate, "held": state.in_flight_per_size,
        "busy": state.utilisation, "opening": state.fast_start, "took": latencies, "backends": backends,
    })
}

/// Nothing where it is no such text, or older than `since`. What was learned of a fleet of another shape, or written by an older version, keeps only
/// what means the same: response times by class, and what is known of each backend itself.
pub fn decode(
    text: &str,
    names: &BTreeMap<String, BackendId>,
    shape: &FleetShape,
    since: Micros,
) -> Option<LearnedState> {
    from_json(&serde_json::from_str(text).ok()?, names, shape, since)
}

/// The same of a JSON object.
pub fn from_json(
    root: &Value,
    names: &BTreeMap<String, BackendId>,
    shape: &FleetShape,
    since: Micros,
) -> Option<LearnedState> {
    let is_older = root["form"] == OLDER_FORMAT;
    if !is_older && root["form"] != FORMAT || root["at"].as_i64()? < since.0 {
        return None;
    }
    let figure = |name: &str, least, most| bounded(&root[name], least, most);
    let backends = root["backends"].as_object()?.iter();
    let backends = backends.filter_map(|(name, value)| Some((*names.get(name)?, decode_backend(value)?)));
    let latencies = shape.classes.iter().map(|(name, _)| decode_latency(root["took"].get(name)));
    Some(LearnedState {
        same_shape: !is_older && root["shape"] == shape.to_json(),
        idle_trust: Micros(root["keep"].as_i64().unwrap_or(0).max(0)),
        window: figure("window", 0.0, 1e6)?,
        saved: figure("saved", -1e3, 1e3)?,
        pressure: figure("stress", 0.0, 10.0)?,
        base_pressure: figure("rest", 0.0, 100.0)?,
        failure_rate: figure("fails", 0.0, 1.0)?,
        in_flight_per_size: figure("held", 0.0, 1e9)?,
        utilisation: figure("busy", 0.0, 1.0)?,
        fast_start: root["opening"].as_bool()?,
        latencies: latencies.collect::<Option<_>>()?,
        backends: backends.collect(),
    })
}

fn bounded(value: &Value, least: f64, most: f64) -> Option<f64> {
    value.as_f64().filter(|figure| (least..=most).contains(figure))
}

fn decode_backend(value: &Value) -> Option<LearnedBackend> {
    let sent = value["cold_sent"].as_array()?.iter().take(MAX_SENT_WHILE_WARMING);
    Some(LearnedBackend {
        started: Micros(value["started"].as_i64()?),
        relative_latency: bounded(&value["pace"], 0.0, 100.0)?,
        failure_score: bounded(&value["doubt"], 0.0, 1.0)?,
        size: bounded(&value["size"], 0.0, 1e6).unwrap_or(0.0),
        throughput: bounded(&value["flow"], 0.0, 1e9)?,
        sent_while_warming: sent.filter_map(Value::as_i64).map(Micros).collect(),
    })
}

/// The response times of one class; none known where the text has nothing of it.
fn decode_latency(parts: Option<&Value>) -> Option<Histogram> {
    let Some(parts) = parts else { return Some(Histogram::default()) };
    let parts: Vec<f64> = parts.as_array()?.iter().filter_map(Value::as_f64).collect();
    Histogram::from_parts(&parts)
}
