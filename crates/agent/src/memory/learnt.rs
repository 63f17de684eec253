//! What an elder process leaves for the one that takes over, as text: figures of the module, and of backends by their names, as numbers
//! differ from process to process. Read defensively: what makes no sense is left out, and the whole where it is none of ours.
use std::collections::BTreeMap;

use notchspool::histogram::Histogram;
use notchspool::state_transfer::{LearnedBackend, LearnedState};
use notchspool::units::{BackendId, Micros};
use serde_json::{Map, Value, json};

const FORM: &str = "notchspool learnt 2";
/// What an older version leaves: nothing in it says of what fleet, nor of which schemes.
const OLDER: &str = "notchspool learnt 1";
/// Postings to one cold backend that count.
const COLD: usize = 1024;

/// The shape of the fleet that figures are of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shape {
    /// As many agents.
    pub agents: u32,
    /// Sizes are told as weights that move with load.
    pub live: bool,
    /// Names and SLA times.
    pub schemes: Vec<(String, Micros)>,
}

impl Shape {
    fn told(&self) -> Value {
        let schemes: Vec<Value> = self.schemes.iter().map(|(name, sla)| json!([name, sla.0])).collect();
        json!({"agents": self.agents, "live": self.live, "schemes": schemes})
    }
}

/// `at`: when, Unix time in microseconds.
pub fn written(
    learnt: &LearnedState,
    names: &BTreeMap<BackendId, String>,
    shape: &Shape,
    at: Micros,
) -> String {
    let backends: Map<String, Value> = (learnt.backends.iter())
        .filter_map(|(id, known)| {
            let cold: Vec<i64> = known.sent_while_warming.iter().map(|at| at.0).collect();
            let told = json!({"started": known.started.0, "pace": known.relative_latency, "doubt": known.failure_score,
                              "size": known.size, "flow": known.throughput, "cold_sent": cold});
            Some((names.get(id)?.clone(), told))
        })
        .collect();
    let took: Map<String, Value> = (shape.schemes.iter().zip(&learnt.latencies))
        .map(|((name, _), took)| (name.clone(), json!(took.to_parts())))
        .collect();
    json!({"form": FORM, "at": at.0, "shape": shape.told(), "keep": learnt.idle_trust.0,
           "window": learnt.window, "saved": learnt.saved, "stress": learnt.pressure,
           "rest": learnt.base_pressure, "fails": learnt.failure_rate, "held": learnt.in_flight_per_size, "busy": learnt.utilisation,
           "opening": learnt.fast_start, "took": took, "backends": backends})
    .to_string()
}

/// None where it is no such text, or older than `since`. What was learnt of a fleet of another shape, or written by an
/// older version, keeps only what means the same: response times by scheme, and what is known of each backend itself.
pub fn read(
    text: &str,
    names: &BTreeMap<String, BackendId>,
    shape: &Shape,
    since: Micros,
) -> Option<LearnedState> {
    let told: Value = serde_json::from_str(text).ok()?;
    let older = told["form"] == OLDER;
    if !older && told["form"] != FORM || told["at"].as_i64()? < since.0 {
        return None;
    }
    let within = |value: &Value, least: f64, most: f64| {
        value.as_f64().filter(|figure| (least..=most).contains(figure))
    };
    let figure = |name: &str, least, most| within(&told[name], least, most);
    let backends = told["backends"].as_object()?.iter().filter_map(|(name, told)| {
        let sent = told["cold_sent"].as_array()?.iter().take(COLD).filter_map(Value::as_i64);
        let known = LearnedBackend {
            started: Micros(told["started"].as_i64()?),
            relative_latency: within(&told["pace"], 0.0, 100.0)?,
            failure_score: within(&told["doubt"], 0.0, 1.0)?,
            size: within(&told["size"], 0.0, 1e6).unwrap_or(0.0),
            throughput: within(&told["flow"], 0.0, 1e9)?,
            sent_while_warming: sent.map(Micros).collect(),
        };
        Some((*names.get(name)?, known))
    });
    let took = shape.schemes.iter().map(|(name, _)| match told["took"].get(name) {
        None => Some(Histogram::default()),
        Some(parts) => {
            let parts: Vec<f64> = parts.as_array()?.iter().filter_map(Value::as_f64).collect();
            Histogram::from_parts(&parts)
        }
    });
    Some(LearnedState {
        same_shape: !older && told["shape"] == shape.told(),
        idle_trust: Micros(told["keep"].as_i64().unwrap_or(0).max(0)),
        window: figure("window", 0.0, 1e6)?,
        saved: figure("saved", -1e3, 1e3)?,
        pressure: figure("stress", 0.0, 10.0)?,
        base_pressure: figure("rest", 0.0, 100.0)?,
        failure_rate: figure("fails", 0.0, 1.0)?,
        in_flight_per_size: figure("held", 0.0, 1e9)?,
        utilisation: figure("busy", 0.0, 1.0)?,
        fast_start: told["opening"].as_bool()?,
        latencies: took.collect::<Option<_>>()?,
        backends: backends.collect(),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn some() -> (LearnedState, BTreeMap<BackendId, String>) {
        let mut took = Histogram::default();
        (0..300).for_each(|n| took.add(1_000 * n));
        let known = LearnedBackend {
            started: Micros(7),
            relative_latency: 1.5,
            failure_score: 0.25,
            size: 2.0,
            throughput: 9.0,
            sent_while_warming: vec![Micros(8)],
        };
        let learnt = LearnedState {
            same_shape: true,
            idle_trust: Micros::ms(300),
            window: 12.5,
            saved: -0.5,
            pressure: 0.1,
            utilisation: 0.7,
            latencies: vec![took, Histogram::default()],
            backends: vec![(BackendId(3), known)],
            ..LearnedState::default()
        };
        (learnt, BTreeMap::from([(BackendId(3), "s-3".to_owned())]))
    }

    fn shape() -> Shape {
        let schemes = vec![("quote".to_owned(), Micros::ms(600)), ("pay".to_owned(), Micros::ms(800))];
        Shape { agents: 4, live: false, schemes }
    }

    /// Across a move: another number of agents, live weights, and one of the schemes still there, at another place.
    #[test]
    fn of_another_shape_only_what_means_the_same_is_kept() {
        let (learnt, names) = some();
        let text = written(&learnt, &names, &shape(), Micros(50));
        let numbers = BTreeMap::from([("s-3".to_owned(), BackendId(0))]);
        let schemes = vec![("order".to_owned(), Micros::ms(300)), ("quote".to_owned(), Micros::ms(600))];
        let moved = Shape { agents: 400, live: true, schemes };
        let read = read(&text, &numbers, &moved, Micros(0)).expect("it is ours");
        assert!(!read.same_shape);
        assert_eq!(read.latencies[0], Histogram::default(), "nothing was known of that scheme");
        assert_eq!(read.latencies[1].quantile(0.5), learnt.latencies[0].quantile(0.5));
        assert_eq!(read.backends[0].1, learnt.backends[0].1);
        assert_eq!(read.idle_trust, learnt.idle_trust);
    }

    #[test]
    fn what_an_older_version_left_tells_of_backends_alone() {
        let text = r#"{"form":"notchspool learnt 1","at":50,"window":12.5,"saved":-0.5,"stress":0.1,"rest":0.0,
            "fails":0.0,"held":0.0,"busy":0.7,"opening":false,"took":[[1.0,2.0]],
            "backends":{"s-3":{"started":7,"pace":1.5,"doubt":0.25,"flow":9.0,"cold_sent":[8]}}}"#;
        let numbers = BTreeMap::from([("s-3".to_owned(), BackendId(0))]);
        let read = read(text, &numbers, &shape(), Micros(50)).expect("an older form is read");
        assert!(!read.same_shape && read.latencies.iter().all(|took| *took == Histogram::default()));
        let known = &read.backends[0].1;
        assert_eq!(
            (known.relative_latency, known.failure_score, known.size, &known.sent_while_warming),
            (1.5, 0.25, 0.0, &vec![Micros(8)])
        );
    }

    #[test]
    fn it_is_read_as_it_was_written_under_the_numbers_of_who_reads() {
        let (learnt, names) = some();
        let text = written(&learnt, &names, &shape(), Micros(50));
        let numbers = BTreeMap::from([("s-3".to_owned(), BackendId(0))]);
        let mut read = read(&text, &numbers, &shape(), Micros(50)).expect("it is ours");
        assert_eq!(read.backends[0].0, BackendId(0));
        read.backends[0].0 = BackendId(3);
        // A halved tally keeps its count apart from its bins: the sum of them is as good.
        assert_eq!(read.latencies[0].quantile(0.5), learnt.latencies[0].quantile(0.5));
        read.latencies = learnt.latencies.clone();
        assert_eq!(read, learnt);
    }

    #[test]
    fn what_is_old_cut_or_senseless_is_left() {
        let (learnt, names) = some();
        let numbers = BTreeMap::from([("s-3".to_owned(), BackendId(3))]);
        let text = written(&learnt, &names, &shape(), Micros(50));
        assert!(read(&text, &numbers, &shape(), Micros(51)).is_none(), "of an earlier upgrade");
        for end in 0..text.len() {
            assert!(read(&text[..end], &numbers, &shape(), Micros(0)).is_none());
        }
        let wild = text.replace("\"window\":12.5", "\"window\":-1e300");
        assert!(wild != text && read(&wild, &numbers, &shape(), Micros(0)).is_none());
    }
}
