//! A voter's disk over restarts, of other fleets and torn.
use std::path::PathBuf;

use notchspool_consensus::acceptor::{DiskWrite, DurableState};
use notchspool_consensus::{Ballot, ContenderId, Entries, Entry, Space, SpaceState, Token, VoterId};
use notchspool_fleet_controller::acceptor_store::{AcceptorStore, StoredState};

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("notchspool-disk-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}
fn state_entry() -> (Space, Ballot, Entry) {
    let ballot = Ballot { token: Token(3), round: 1, by: ContenderId(u64::MAX) };
    (Space::State("orders".into()), ballot, Entry { ballot, sequence: 9, value: "{\"a\": 1}".into() })
}

#[test]
fn what_is_written_is_there_after_a_restart_and_another_fleet_s_is_refused() {
    let folder = folder("kept");
    let store =
        AcceptorStore::create(&folder, "f", 1, &DurableState { incarnation: 4, ..DurableState::default() })
            .expect("created");
    let (space, ballot, entry) = state_entry();
    store
        .write(&[
            DiskWrite::Promise(space.clone(), ballot),
            DiskWrite::Entry(space.clone(), "o/1".into(), entry.clone()),
            DiskWrite::Incarnation(VoterId(2), 7),
        ])
        .expect("written");
    drop(store);
    let StoredState::Found(store, disk) = AcceptorStore::find(&folder, "f", 1).expect("found") else {
        panic!("it is there")
    };
    assert_eq!((disk.incarnation, disk.known_incarnations.get(&VoterId(2))), (4, Some(&7)));
    assert_eq!(
        disk.spaces,
        [SpaceState {
            space,
            promised: ballot,
            entries: Entries::from([("o/1".into(), entry)]),
            lease: None
        }]
    );
    drop(store);
    assert!(AcceptorStore::find(&folder, "g", 1).is_err());
    assert!(AcceptorStore::find(&folder, "f", 2).is_err());
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_file_that_can_not_be_read_counts_as_lost_and_is_put_aside() {
    let folder = folder("torn");
    drop(AcceptorStore::create(&folder, "f", 0, &DurableState::default()).expect("created"));
    let path = folder.join("voter");
    std::fs::write(&path, vec![7_u8; 5000]).expect("spoilt");
    assert!(matches!(AcceptorStore::find(&folder, "f", 0), Ok(StoredState::Missing)));
    assert!(folder.join("voter.damaged").exists());
    std::fs::remove_dir_all(&folder).expect("removed");
}
