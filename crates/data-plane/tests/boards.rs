//! Which replica's board a proxy follows.
use notchspool_data_plane::callboy::board;

const OPEN: [(&str, &str); 4] = [("p-1", "west"), ("p-2", "east"), ("p-3", "east"), ("p-4", "north")];

#[test]
fn a_near_board_is_followed_before_others() {
    for dart in [0.0, 0.3, 0.6, 0.999] {
        let found = board("east", None, &OPEN, dart).unwrap();
        assert!(["p-2", "p-3"].contains(&found), "{found}");
        assert_eq!(board("west", None, &OPEN, dart), Some("p-1"));
    }
}

#[test]
fn without_a_near_one_any_is_followed_and_kept() {
    let found: Vec<&str> =
        [0.0, 0.3, 0.6, 0.999].iter().filter_map(|d| board("south", None, &OPEN, *d)).collect();
    assert_eq!(found, ["p-1", "p-2", "p-3", "p-4"]);
    assert_eq!(board("south", Some("p-3"), &OPEN, 0.0), None);
    assert_eq!(board("south", None, &[], 0.5), None);
}

#[test]
fn a_far_one_is_left_for_a_near_one_and_a_near_one_is_kept() {
    assert_eq!(board("west", Some("p-2"), &OPEN, 0.7), Some("p-1"));
    assert_eq!(board("east", Some("p-3"), &OPEN, 0.0), None);
    assert_eq!(board("west", Some("p-2"), &OPEN[1..], 0.7), None);
}
