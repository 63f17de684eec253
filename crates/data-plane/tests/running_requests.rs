//! What is known of calls that the backend here makes for requests that it works on.
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_data_plane::running_requests::{Origin, RunningRequests};

const CLIENTS_OWN: Origin = Origin { call_depth: 0, priority: 1, target_at: Micros(700) };

#[test]
fn a_call_is_known_by_the_request_that_is_at_work_and_inherits_from_it() {
    let running = Rc::new(RunningRequests::default());
    assert_eq!(running.origin_of_call("a1.b2"), None, "nothing is at work");
    let guard = running.begin("a1", CLIENTS_OWN);
    let call = running.origin_of_call("a1.b2").unwrap();
    assert_eq!(call, Origin { call_depth: 1, ..CLIENTS_OWN });
    // A client that names its own requests with separators, or begins an id like another's, makes no call.
    for own in ["a1", "a1b2", "a2.b2", "b.a1", "", ".", "a.1.b"] {
        assert_eq!(running.origin_of_call(own), None, "{own:?}");
    }
    drop(guard);
    assert_eq!(running.origin_of_call("a1.b2"), None, "it is done");
    assert_eq!(running.count(), 0);
}

#[test]
fn calls_of_calls_are_deeper_and_the_nearest_caller_counts() {
    let running = Rc::new(RunningRequests::default());
    let _first = running.begin("a1-7", CLIENTS_OWN);
    let second = Origin { call_depth: 1, ..CLIENTS_OWN };
    let _second = running.begin("a1-7/b", second);
    assert_eq!(running.origin_of_call("a1-7/b:c").unwrap().call_depth, 2);
    assert_eq!(running.origin_of_call("a1-7/x:c").unwrap().call_depth, 1);
    let long = format!("a1-7{}", "/x".repeat(40));
    assert_eq!(running.origin_of_call(&long), None, "so many parts are not looked at");
}

#[test]
fn a_failed_call_is_told_to_the_request_that_made_it_alone() {
    let running = Rc::new(RunningRequests::default());
    let (mine, other) = (running.begin("a1", CLIENTS_OWN), running.begin("a2", CLIENTS_OWN));
    running.on_call_failed("a1.x");
    running.on_call_failed("a3.x");
    assert_eq!((mine.has_failed_call(), other.has_failed_call()), (true, false));
    // The same attempt once more begins anew.
    drop(mine);
    assert!(!running.begin("a1", CLIENTS_OWN).has_failed_call());
}

#[test]
fn an_attempt_that_is_at_work_twice_is_known_until_both_are_done() {
    let running = Rc::new(RunningRequests::default());
    let (one, two) = (running.begin("a1", CLIENTS_OWN), running.begin("a1", CLIENTS_OWN));
    assert_eq!(running.count(), 2);
    drop(one);
    assert!(running.origin_of_call("a1.x").is_some());
    drop(two);
    assert!(running.origin_of_call("a1.x").is_none());
}
