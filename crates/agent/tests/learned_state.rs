//! What a process leaves for the one that takes over.
use std::collections::BTreeMap;

use notchspool::histogram::Histogram;
use notchspool::state_transfer::{LearnedBackend, LearnedState};
use notchspool::units::{BackendId, Micros};
use notchspool_agent::state::learned_state::{FleetShape, decode, encode};

fn learned() -> (LearnedState, BTreeMap<BackendId, String>) {
    let mut latency = Histogram::default();
    (0..300).for_each(|n| latency.add(1_000 * n));
    let known = LearnedBackend {
        started: Micros(7),
        relative_latency: 1.5,
        failure_score: 0.25,
        size: 2.0,
        throughput: 9.0,
        sent_while_warming: vec![Micros(8)],
    };
    let state = LearnedState {
        same_shape: true,
        idle_trust: Micros::ms(300),
        window: 12.5,
        saved: -0.5,
        pressure: 0.1,
        utilisation: 0.7,
        latencies: vec![latency, Histogram::default()],
        backends: vec![(BackendId(3), known)],
        ..LearnedState::default()
    };
    (state, BTreeMap::from([(BackendId(3), "s-3".to_owned())]))
}

fn shape() -> FleetShape {
    let classes = vec![("quote".to_owned(), Micros::ms(600)), ("pay".to_owned(), Micros::ms(800))];
    FleetShape { agents: 4, weights_follow_load: false, classes }
}

/// Across a move: another number of agents, live weights, and one of the classes still there, at another place.
#[test]
fn of_another_shape_only_what_means_the_same_is_kept() {
    let (state, names) = learned();
    let text = encode(&state, &names, &shape(), Micros(50));
    let numbers = BTreeMap::from([("s-3".to_owned(), BackendId(0))]);
    let classes = vec![("order".to_owned(), Micros::ms(300)), ("quote".to_owned(), Micros::ms(600))];
    let moved = FleetShape { agents: 400, weights_follow_load: true, classes };
    let decoded = decode(&text, &numbers, &moved, Micros(0)).expect("it is ours");
    assert!(!decoded.same_shape);
    assert_eq!(decoded.latencies[0], Histogram::default(), "nothing was known of that class");
    assert_eq!(decoded.latencies[1].quantile(0.5), state.latencies[0].quantile(0.5));
    assert_eq!(decoded.backends[0].1, state.backends[0].1);
    assert_eq!(decoded.idle_trust, state.idle_trust);
}

#[test]
fn a_state_of_an_older_version_is_read_for_backends_alone() {
    let text = r#"{"form":"notchspool learnt 1","at":50,"window":12.5,"saved":-0.5,"stress":0.1,"rest":0.0,
        "fails":0.0,"held":0.0,"busy":0.7,"opening":false,"took":[[1.0,2.0]],
        "backends":{"s-3":{"started":7,"pace":1.5,"doubt":0.25,"flow":9.0,"cold_sent":[8]}}}"#;
    let numbers = BTreeMap::from([("s-3".to_owned(), BackendId(0))]);
    let decoded = decode(text, &numbers, &shape(), Micros(50)).expect("an older form is read");
    assert!(!decoded.same_shape && decoded.latencies.iter().all(|latency| *latency == Histogram::default()));
    let known = &decoded.backends[0].1;
    assert_eq!(
        (known.relative_latency, known.failure_score, known.size, &known.sent_while_warming),
        (1.5, 0.25, 0.0, &vec![Micros(8)])
    );
}

#[test]
fn a_state_is_decoded_as_it_was_encoded_under_the_numbers_of_the_reader() {
    let (state, names) = learned();
    let text = encode(&state, &names, &shape(), Micros(50));
    let numbers = BTreeMap::from([("s-3".to_owned(), BackendId(0))]);
    let mut decoded = decode(&text, &numbers, &shape(), Micros(50)).expect("it is ours");
    assert_eq!(decoded.backends[0].0, BackendId(0));
    decoded.backends[0].0 = BackendId(3);
    // A halved histogram keeps its count apart from its bins: the sum of them is as good.
    assert_eq!(decoded.latencies[0].quantile(0.5), state.latencies[0].quantile(0.5));
    decoded.latencies = state.latencies.clone();
    assert_eq!(decoded, state);
}

#[test]
fn an_old_cut_or_senseless_state_is_left() {
    let (state, names) = learned();
    let numbers = BTreeMap::from([("s-3".to_owned(), BackendId(3))]);
    let text = encode(&state, &names, &shape(), Micros(50));
    assert!(decode(&text, &numbers, &shape(), Micros(51)).is_none(), "of an earlier upgrade");
    for end in 0..text.len() {
        assert!(decode(&text[..end], &numbers, &shape(), Micros(0)).is_none());
    }
    let wild = text.replace("\"window\":12.5", "\"window\":-1e300");
    assert!(wild != text && decode(&wild, &numbers, &shape(), Micros(0)).is_none());
}
