//! Bans by hand over what the list says.
use std::collections::BTreeSet;

use notchspool::units::{BackendId, EndpointStatus, ListEntry, Micros};
use notchspool_agent::state::bans::{BanChanges, Bans};

fn entry(id: u32, status: EndpointStatus, started: i64) -> ListEntry {
    ListEntry { backend: BackendId(id), status, started: Micros::ms(started), ..ListEntry::default() }
}
fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn a_ban_outlives_all_that_the_list_says_and_then_the_list_counts_again() {
    let mut bans = Bans::default();
    assert_eq!(
        bans.filter("a", entry(0, EndpointStatus::Ready, 1)).map(|e| e.status),
        Some(EndpointStatus::Ready)
    );
    assert_eq!(bans.set(names(&["a"])).banned, ["a"]);
    assert_eq!(bans.set(names(&["a"])), BanChanges::default(), "twice is one ban");
    let reported = bans.begin(BackendId(0)).expect("the module knows it");
    assert_eq!(reported.status, EndpointStatus::Draining);
    for listed in [
        entry(0, EndpointStatus::Ready, 1),
        entry(0, EndpointStatus::Gone, 1),
        entry(0, EndpointStatus::Ready, 99),
        entry(0, EndpointStatus::Draining, 99),
        entry(0, EndpointStatus::Ready, 99),
    ] {
        let reported = bans.filter("a", listed).expect("the module knows it");
        assert_eq!((reported.status, reported.started), (EndpointStatus::Draining, Micros::ms(1)));
    }
    assert_eq!(bans.set(names(&[])).lifted, ["a"]);
    let back = bans.end(BackendId(0)).expect("what the list says");
    assert_eq!((back.status, back.started), (EndpointStatus::Ready, Micros::ms(99)));
}

#[test]
fn a_backend_banned_before_it_was_known_is_not_reported_until_the_ban_is_lifted() {
    let mut bans = Bans::default();
    bans.set(names(&["a"]));
    assert!(bans.filter("a", entry(0, EndpointStatus::Ready, 1)).is_none());
    assert!(bans.on_full_list(&BTreeSet::from([BackendId(0)])).is_empty());
    bans.set(names(&[]));
    assert_eq!(bans.end(BackendId(0)).map(|e| e.status), Some(EndpointStatus::Ready));
}

#[test]
fn a_full_list_without_it_takes_nothing_away_until_the_ban_is_lifted() {
    let mut bans = Bans::default();
    bans.filter("a", entry(0, EndpointStatus::Ready, 1));
    bans.set(names(&["a"]));
    bans.begin(BackendId(0));
    let still = bans.on_full_list(&BTreeSet::new());
    assert_eq!(still.iter().map(|e| e.status).collect::<Vec<_>>(), [EndpointStatus::Draining]);
    bans.set(names(&[]));
    assert_eq!(bans.end(BackendId(0)).map(|e| e.status), Some(EndpointStatus::Gone));
}
