//! Which replica's endpoints a proxy watches.
use notchspool_data_plane::watched_replica::{Candidate, pick};

const fn candidate(address: &'static str, zone: &'static str) -> Candidate<'static> {
    Candidate { address, zone }
}

const REACHED: [Candidate<'_>; 4] =
    [candidate("p-1", "west"), candidate("p-2", "east"), candidate("p-3", "east"), candidate("p-4", "north")];

#[test]
fn a_near_replica_is_watched_before_others() {
    for draw in [0.0, 0.3, 0.6, 0.999] {
        let found = pick("east", None, &REACHED, draw).unwrap();
        assert!(["p-2", "p-3"].contains(&found), "{found}");
        assert_eq!(pick("west", None, &REACHED, draw), Some("p-1"));
    }
}

#[test]
fn without_a_near_one_any_is_watched_and_kept() {
    let found: Vec<&str> =
        [0.0, 0.3, 0.6, 0.999].iter().filter_map(|d| pick("south", None, &REACHED, *d)).collect();
    assert_eq!(found, ["p-1", "p-2", "p-3", "p-4"]);
    assert_eq!(pick("south", Some("p-3"), &REACHED, 0.0), None);
    assert_eq!(pick("south", None, &[], 0.5), None);
}

#[test]
fn a_far_one_is_left_for_a_near_one_and_a_near_one_is_kept() {
    assert_eq!(pick("west", Some("p-2"), &REACHED, 0.7), Some("p-1"));
    assert_eq!(pick("east", Some("p-3"), &REACHED, 0.0), None);
    assert_eq!(pick("west", Some("p-2"), &REACHED[1..], 0.7), None);
}
