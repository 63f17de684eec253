//! What is believed of what replicas recall.
use std::collections::BTreeMap;

use notchspool_endpoint_registry::recall::Recollection;
use notchspool_mesh_protocol::{Endpoint, EndpointState};
use quickcheck::quickcheck;

const REPLICAS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn endpoint(instance: &str, state: EndpointState, call_count: u64) -> Endpoint {
    Endpoint { instance: instance.into(), state: state.into(), call_count, ..Endpoint::default() }
}

fn voters(count: usize) -> Vec<String> {
    REPLICAS[..count].iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_majority_that_recalls_it_ready_is_believed() {
    let (mut recollection, voters) = (Recollection::default(), voters(3));
    let ready = |calls| endpoint("i-1", EndpointState::Ready, calls);
    assert_eq!(recollection.on_told("a", Some(&ready(3)), &voters), None);
    // The same replica again, another instance, and one that does not vote.
    assert_eq!(recollection.on_told("a", Some(&ready(3)), &voters), None);
    assert_eq!(recollection.on_told("b", Some(&endpoint("i-0", EndpointState::Away, 9)), &voters), None);
    assert_eq!(recollection.on_told("spare", Some(&ready(3)), &voters), None);
    let away = endpoint("i-1", EndpointState::Away, 4);
    assert_eq!(recollection.on_told("c", Some(&away), &voters), Some(away));
}

#[test]
fn one_replica_that_recalls_a_drain_is_believed() {
    let (mut recollection, voters) = (Recollection::default(), voters(3));
    let draining = endpoint("i-1", EndpointState::Draining, 4);
    assert_eq!(recollection.on_told("spare", Some(&draining), &voters), Some(draining));
}

#[test]
fn what_a_replica_has_forgotten_counts_no_more() {
    let (mut recollection, voters) = (Recollection::default(), voters(3));
    let ready = endpoint("i-1", EndpointState::Ready, 3);
    recollection.on_told("a", Some(&ready), &voters);
    // It has started again, with nothing.
    recollection.on_told("a", None, &voters);
    assert_eq!(recollection.on_told("b", Some(&ready), &voters), None);
}

quickcheck! {
    /// Whatever majority of the voters took a drain before it was acknowledged, and whichever of the replicas have started again with nothing
    /// or were cut off since before it, in whatever order they tell: the backend is never believed to be ready.
    fn an_acknowledged_drain_is_never_believed_ready(told: Vec<u8>, restarted: u8, first: u8, five: bool) -> bool {
        let count = if five { 5 } else { 3 };
        let voters = voters(count);
        let knowing: Vec<usize> = (0..=count / 2).map(|n| (usize::from(first) + n) % count).collect();
        let recalls: BTreeMap<usize, Option<Endpoint>> = (0..count)
            .map(|replica| {
                let state = if knowing.contains(&replica) { EndpointState::Draining } else { EndpointState::Ready };
                let has_restarted = restarted >> replica & 1 == 1;
                (replica, (!has_restarted).then(|| endpoint("i-1", state, 3)))
            })
            .collect();
        let mut recollection = Recollection::default();
        told.into_iter().all(|replica| {
            let replica = usize::from(replica) % count;
            let believed = recollection.on_told(REPLICAS[replica], recalls[&replica].as_ref(), &voters);
            believed.is_none_or(|endpoint| endpoint.state() == EndpointState::Draining)
        })
    }
}
