//! What a proxy that has started believes of its backend before and after the replicas have told what is on their disks.
use notchspool::units::Micros;
use notchspool_endpoint_registry::departure_claim;
use notchspool_endpoint_registry::heartbeats::{
    Departure, Event, Heartbeat, HeartbeatTracker, MAX_WAIT_FOR_HISTORY,
};
use notchspool_endpoint_registry::recall::DepartureHistory;
use notchspool_mesh_protocol::EndpointState;

const INTERVAL: Micros = Micros::ms(1_500);
const START: Micros = Micros::ms(1_000);

fn ready(instance: &str, call_count: u64) -> Event {
    Event::Heartbeat(Heartbeat { instance: instance.into(), slots: 6, call_count, ..Heartbeat::default() })
}

fn state(tracker: &HeartbeatTracker) -> Option<(String, EndpointState)> {
    tracker.backend.as_ref().map(|backend| (backend.heartbeat.instance.clone(), backend.state))
}

fn known(instance: &str, state: EndpointState) -> Option<(String, EndpointState)> {
    Some((instance.into(), state))
}

#[test]
fn a_heartbeat_that_says_ready_counts_once_the_history_is_known() {
    let mut tracker = HeartbeatTracker::awaiting_history(INTERVAL, START);
    assert!(!tracker.apply(START, ready("i-1", 4)) && !tracker.apply(START, ready("i-1", 3)));
    assert_eq!(state(&tracker), None);
    assert!(tracker.apply(START, Event::HistoryKnown), "the others are told");
    assert_eq!(tracker.backend.as_ref().unwrap().heartbeat.call_count, 4, "the newest one");
    assert_eq!(state(&tracker), known("i-1", EndpointState::Ready));
    assert!(!tracker.apply(START, Event::HistoryKnown));
}

#[test]
fn a_departure_on_the_disk_of_one_replica_counts_before_and_after_a_late_heartbeat() {
    for is_heard_first in [true, false] {
        for (departure, wanted) in
            [(Departure::Left, None), (Departure::Draining, known("i-1", EndpointState::Draining))]
        {
            let mut tracker = HeartbeatTracker::awaiting_history(INTERVAL, START);
            if is_heard_first {
                tracker.apply(START, ready("i-1", 4));
            }
            tracker.apply(START, Event::RecalledDeparture("i-1".into(), departure));
            tracker.apply(START, Event::HistoryKnown);
            tracker.apply(START, ready("i-1", 5));
            assert_eq!(state(&tracker), wanted, "{departure:?}, heard first: {is_heard_first}");
            if let Some(backend) = &tracker.backend {
                assert!(backend.is_drained(START, Micros::ms(1_200)), "a drain of before this run is over");
            }
            // The next instance on the machine is another one.
            tracker.apply(START, ready("i-2", 1));
            assert_eq!(state(&tracker), known("i-2", EndpointState::Ready));
        }
    }
}

#[test]
fn a_departure_that_is_told_late_takes_back_what_was_believed() {
    for (departure, wanted) in
        [(Departure::Left, EndpointState::Left), (Departure::Draining, EndpointState::Draining)]
    {
        let mut tracker = HeartbeatTracker::awaiting_history(INTERVAL, START);
        tracker.apply(START, Event::HistoryKnown);
        tracker.apply(START, ready("i-1", 4));
        assert!(
            tracker.apply(START, Event::RecalledDeparture("i-1".into(), departure)),
            "the others are told"
        );
        tracker.apply(START, ready("i-1", 5));
        assert_eq!(state(&tracker), known("i-1", wanted));
    }
}

#[test]
fn without_a_majority_what_comes_later_than_late_heartbeats_is_believed() {
    let mut tracker = HeartbeatTracker::awaiting_history(INTERVAL, START);
    tracker.apply(START, ready("i-1", 4));
    let over = START + MAX_WAIT_FOR_HISTORY;
    // Time passes in steps: this process has not stood still.
    let mut now = START;
    while now < over {
        now = now + Micros::ms(500);
        tracker.apply(now, Event::Tick);
    }
    assert_eq!(state(&tracker), None, "what came before may have been late");
    tracker.apply(now, ready("i-1", 5));
    assert_eq!(state(&tracker), known("i-1", EndpointState::Ready));
}

#[test]
fn a_drain_is_believed_at_once() {
    let mut tracker = HeartbeatTracker::awaiting_history(INTERVAL, START);
    let draining = Heartbeat { instance: "i-1".into(), draining: true, ..Heartbeat::default() };
    assert!(tracker.apply(START, Event::Heartbeat(draining)));
    assert_eq!(state(&tracker), known("i-1", EndpointState::Draining));
}

#[test]
fn the_history_is_known_once_a_majority_of_the_voters_has_told_all() {
    let voters = ["a", "b", "c"].map(String::from);
    let mut history = DepartureHistory::default();
    assert!(!history.is_known(&[]) && !history.is_known(&voters));
    history.on_told("a", true);
    history.on_welcome("a");
    history.on_told("spare", true);
    // It has started again on an empty disk, and votes in nothing yet.
    history.on_told("b", false);
    history.on_welcome("b");
    assert!(!history.is_known(&voters));
    // A build that tells no departures.
    history.on_welcome("c");
    assert!(history.is_known(&voters));
    history.on_told("c", false);
    history.on_told("b", true);
    assert!(history.is_known(&voters));
}

#[test]
fn a_key_stands_for_one_departure_and_is_none_of_a_client() {
    for departure in [Departure::Draining, Departure::Left] {
        for instance in ["i-1", "left i-1", "", "draining "] {
            let key = departure_claim::key(instance, departure);
            assert_eq!(departure_claim::parse(&key), Some((instance, departure)));
            assert!(key.starts_with(|first: char| first.is_ascii_control()));
        }
    }
    for key in ["k-1", "departure left i-1", "\u{1}", "\u{1}departure ", "\u{1}departure gone i-1"] {
        assert_eq!(departure_claim::parse(key), None, "{key:?}");
    }
}
