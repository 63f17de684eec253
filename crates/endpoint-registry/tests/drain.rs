//! An instance that drains does so until it has left, whatever is said of it later, in whatever order, and by proxies and replicas of earlier
//! builds too.
use notchspool::units::Micros;
use notchspool_endpoint_registry::endpoint_list::{EndpointList, MAX_DEPARTED};
use notchspool_endpoint_registry::heartbeats::{Event, Heartbeat, HeartbeatTracker};
use notchspool_endpoint_registry::registry::{FORGET_AFTER, MISSING_AFTER, Registry};
use notchspool_mesh_protocol::{Endpoint, EndpointState, EndpointUpdate};
use quickcheck::{Arbitrary, Gen, quickcheck};

const INTERVAL: Micros = Micros::ms(1_500);
const PROXY: &str = "127.0.0.1:7620";

fn heartbeat(draining: bool, call_count: u64) -> Heartbeat {
    Heartbeat { instance: "i-1".into(), service: "s".into(), draining, call_count, ..Heartbeat::default() }
}

fn endpoint(state: EndpointState, call_count: u64) -> Endpoint {
    Endpoint {
        instance: "i-1".into(),
        service: "s".into(),
        proxy: PROXY.into(),
        state: state.into(),
        call_count,
        ..Endpoint::default()
    }
}

fn state_in(registry: &Registry) -> Option<EndpointState> {
    registry.endpoints().find(|endpoint| endpoint.instance == "i-1").map(Endpoint::state)
}

/// Guards against: a proxy that ends in order reports its backend as away, and the replicas forget that it drains (review, case 1).
#[test]
fn a_drain_outlasts_the_end_of_its_proxy() {
    let mut registry = Registry::default();
    registry.report(Micros(0), endpoint(EndpointState::Ready, 1));
    registry.report(Micros::ms(1), endpoint(EndpointState::Draining, 2));
    // The proxy of an earlier build reports this as it ends, and this as it is back.
    assert!(!registry.report(Micros::ms(2), endpoint(EndpointState::Away, 2)));
    assert!(!registry.report(Micros::ms(3), endpoint(EndpointState::Ready, 3)));
    let recalled = registry.endpoint_beside(Micros::ms(4), PROXY).map(|endpoint| endpoint.state());
    assert_eq!(recalled, Some(EndpointState::Draining));
    assert!(registry.report(Micros::ms(4), endpoint(EndpointState::Left, 2)));
    assert!(!registry.report(Micros::ms(5), endpoint(EndpointState::Draining, 9)));
    assert_eq!(state_in(&registry), Some(EndpointState::Left));
}

/// Guards against: a proxy that is silent for some seconds is marked as missing, and the mark hides that its backend drains.
#[test]
fn a_drain_outlasts_the_silence_of_its_proxy() {
    let mut registry = Registry::default();
    registry.report(Micros(0), endpoint(EndpointState::Draining, 2));
    let mut now = Micros(0);
    while now < FORGET_AFTER - Micros::ms(500) {
        now = now + Micros::ms(500);
        registry.tick(now, true);
        assert_eq!(state_in(&registry), Some(EndpointState::Draining), "at {now:?}");
    }
    // Nobody has heard of it for so long: it has ended, and the lists that have it are told.
    let listed = registry.version();
    registry.tick(now + Micros::ms(500), true);
    assert_eq!(state_in(&registry), Some(EndpointState::Left));
    assert_eq!(registry.update_since(now, listed).endpoints.len(), 1);
}

#[test]
fn silence_hides_no_drain_from_the_proxy_beside_it() {
    let mut tracker = HeartbeatTracker::new(INTERVAL, Micros(0));
    tracker.apply(Micros(0), Event::Heartbeat(heartbeat(false, 1)));
    tracker.apply(Micros::ms(500), Event::Heartbeat(heartbeat(true, 2)));
    for second in 1..20 {
        assert!(!tracker.apply(Micros::ms(500 + 900 * second), Event::Tick));
    }
    assert_eq!(tracker.backend.map(|backend| backend.state), Some(EndpointState::Draining));
}

/// Guards against: a proxy that starts again begins the drain of its backend anew, and lets in what was sent too late.
#[test]
fn a_drain_of_before_this_run_is_over() {
    let drain_time = Micros::ms(1_200);
    let told: [Event; 2] = [Event::Recalled(heartbeat(true, 2)), Event::Heartbeat(heartbeat(true, 3))];
    for event in told {
        let mut tracker = HeartbeatTracker::new(INTERVAL, Micros(0));
        assert!(tracker.apply(Micros::ms(1), event));
        assert!(tracker.backend.unwrap().is_drained(Micros::ms(1), drain_time));
    }
    // One that was ready here drains for its time.
    let mut tracker = HeartbeatTracker::new(INTERVAL, Micros(0));
    tracker.apply(Micros(0), Event::Heartbeat(heartbeat(false, 1)));
    tracker.apply(Micros::ms(500), Event::Heartbeat(heartbeat(true, 2)));
    let backend = tracker.backend.unwrap();
    assert!(
        !backend.is_drained(Micros::ms(1_600), drain_time)
            && backend.is_drained(Micros::ms(1_700), drain_time)
    );
}

/// Guards against: a heartbeat from before the drain comes late, at the next run of the proxy, and what the replicas recall is not heard.
#[test]
fn a_recalled_drain_counts_after_a_late_heartbeat() {
    let mut tracker = HeartbeatTracker::new(INTERVAL, Micros(0));
    tracker.apply(Micros(0), Event::Heartbeat(heartbeat(false, 4)));
    assert!(tracker.apply(Micros::ms(5), Event::Recalled(heartbeat(true, 5))));
    // A replica that was cut off knows less.
    assert!(!tracker.apply(Micros::ms(6), Event::Recalled(heartbeat(false, 3))));
    let backend = tracker.backend.clone().unwrap();
    assert_eq!(backend.state, EndpointState::Draining);
    assert!(backend.is_drained(Micros::ms(6), Micros::ms(1_200)));
    // Of another instance it says nothing.
    let other = Heartbeat { instance: "i-2".into(), ..heartbeat(false, 1) };
    tracker.apply(Micros::ms(7), Event::Heartbeat(other));
    assert!(!tracker.apply(Micros::ms(8), Event::Recalled(heartbeat(true, 5))));
    assert_eq!(tracker.backend.map(|backend| backend.state), Some(EndpointState::Ready));
}

/// Guards against: a proxy that starts again is told of the instance before the one beside it, which made more calls.
#[test]
fn the_instance_that_was_reported_last_is_recalled() {
    let mut registry = Registry::default();
    registry.report(Micros(0), endpoint(EndpointState::Draining, 900));
    let successor = Endpoint { instance: "i-2".into(), ..endpoint(EndpointState::Ready, 1) };
    registry.report(Micros::ms(700), successor);
    let recalled = registry.endpoint_beside(Micros::ms(700), PROXY).map(|endpoint| endpoint.instance);
    assert_eq!(recalled.as_deref(), Some("i-2"));
}

/// Guards against: an endpoint that drained and is on no replica's list any more counts as missing, and may be frozen on the list.
#[test]
fn one_that_drained_and_is_listed_no_more_has_left() {
    let mut list = EndpointList::default();
    let update = |version, endpoints| EndpointUpdate { version, complete: true, endpoints, numbered_by: 1 };
    list.apply(update(1, vec![endpoint(EndpointState::Draining, 2)])).unwrap();
    let changes = list.apply(update(2, Vec::new())).unwrap();
    let removed: Vec<EndpointState> = changes.removed.iter().map(Endpoint::state).collect();
    assert_eq!(removed, [EndpointState::Left]);
}

/// Guards against: all replicas start again with nothing, their complete list makes a proxy forget who has left, and the instance is ready again.
#[test]
fn who_has_left_is_remembered_though_no_replica_knows_of_it() {
    for last in [EndpointState::Draining, EndpointState::Left] {
        let mut list = EndpointList::default();
        let update =
            |version, complete, endpoints| EndpointUpdate { version, complete, endpoints, numbered_by: 1 };
        list.apply(update(1, true, vec![endpoint(EndpointState::Ready, 1)])).unwrap();
        list.apply(update(2, false, vec![endpoint(last, 2)])).unwrap();
        list.apply(update(3, true, Vec::new())).unwrap();
        let changes = list.apply(update(4, false, vec![endpoint(EndpointState::Ready, 9)])).unwrap();
        assert_eq!(changes.updated, []);
        assert_eq!(list.get("i-1").map(Endpoint::state), Some(EndpointState::Left));
    }
}

#[test]
fn a_bounded_number_of_departed_instances_is_remembered() {
    let mut list = EndpointList::default();
    for n in 0..2 * MAX_DEPARTED as u64 {
        let left = Endpoint { instance: format!("i-{n}"), ..endpoint(EndpointState::Left, 1) };
        list.apply(EndpointUpdate { version: 1 + n, endpoints: vec![left], ..EndpointUpdate::default() })
            .unwrap();
    }
    assert_eq!(list.endpoints().count(), MAX_DEPARTED);
    assert!(list.get("i-0").is_none() && list.get(&format!("i-{}", 2 * MAX_DEPARTED - 1)).is_some());
}

/// What may be said of an instance, by old and new builds, or happens to a replica.
#[derive(Clone, Copy, Debug)]
enum Step {
    Report(EndpointState, u64),
    Silence,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let states = [
            EndpointState::Unknown,
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Left,
            EndpointState::Missing,
            EndpointState::Away,
        ];
        match *g.choose(&[true, true, true, false]).unwrap() {
            true => Step::Report(*g.choose(&states).unwrap(), u64::arbitrary(g) % 6),
            false => Step::Silence,
        }
    }
}

/// How far an instance has come.
fn stage(state: EndpointState) -> u32 {
    match state {
        EndpointState::Left => 2,
        EndpointState::Draining => 1,
        EndpointState::Unknown | EndpointState::Ready | EndpointState::Missing | EndpointState::Away => 0,
    }
}

quickcheck! {
    /// The registry and a list that follows it hold the furthest stage that was reported, after every step.
    fn the_furthest_stage_stays(steps: Vec<Step>) -> bool {
        let (mut registry, mut list) = (Registry::default(), EndpointList::default());
        let (mut now, mut furthest) = (Micros(0), 0);
        registry.report(now, endpoint(EndpointState::Ready, 0));
        steps.into_iter().all(|step| {
            match step {
                Step::Report(state, call_count) => {
                    registry.report(now, endpoint(state, call_count));
                    furthest = furthest.max(stage(state));
                }
                Step::Silence => {
                    // In steps that are no stall, beyond the time after which it is missing, and below that after which it is forgotten.
                    for _ in 0..4 {
                        now = now + MISSING_AFTER.times(0.3);
                        registry.tick(now, true);
                    }
                }
            }
            if now < FORGET_AFTER {
                list.apply(registry.update_since(now, list.version()));
                let listed = list.get("i-1").map(|endpoint| stage(endpoint.state()));
                return state_in(&registry).map(stage) == Some(furthest) && listed == Some(furthest);
            }
            true
        })
    }
}
