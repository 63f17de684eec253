//! A set that is installed on a disk that has something of an older one: whole, or not at all.
use std::path::PathBuf;
use std::time::Duration;

use notchspool_consensus::voter_set::VoterSet;
use notchspool_consensus::{Ballot, ContenderId, Entry};
use notchspool_mesh_protocol::snapshot::encode;
use notchspool_mesh_protocol::{Snapshot, Ticket};
use notchspool_storage::file_store::with_checksum;
use notchspool_storage::{MembershipRecord, Recovered, Storage, WriteOp};

mod support;

use support::claim;

const WINDOW: Duration = Duration::from_secs(60);

fn ballot(round: u64) -> Ballot {
    Ballot { round, by: ContenderId(1), ..Ballot::default() }
}

fn word(version: u64, round: u64) -> WriteOp {
    WriteOp::Accept {
        version,
        entry: Entry { ballot: ballot(round), sequence: 1, value: format!("{version}\nbody") },
    }
}

fn seat(number: u64) -> WriteOp {
    let set = VoterSet { number, ..VoterSet::first(&["10.0.0.1:1".into()]) };
    WriteOp::Membership(MembershipRecord { incarnation: 5, set, ..MembershipRecord::default() })
}

fn withdraw(key: &str) -> WriteOp {
    WriteOp::WithdrawClaim(key.into(), Ticket { boot_id: 1, number: 1, attempt: 0 })
}

fn snapshot(number: u64) -> Snapshot {
    let promised = |round| Some(notchspool_mesh_protocol::Ballot { round, proposer: 1 });
    let (WriteOp::Membership(seat), WriteOp::Claim(claim)) = (seat(number), claim("new")) else {
        unreachable!()
    };
    Snapshot {
        set_number: number,
        membership: serde_json::to_vec(&seat).unwrap().into(),
        promised: promised(4),
        accepted_ballot: promised(3),
        body: Some("7\nbody".into()),
        claims: vec![claim],
        voter: 0,
    }
}

fn install(number: u64) -> WriteOp {
    WriteOp::InstallSnapshot(Box::new(snapshot(number)))
}

struct Folder(PathBuf);
impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("notchspool-install-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
    fn write(&self, batch: &[WriteOp]) {
        Storage::open(&self.0, WINDOW).unwrap().0.write(batch).unwrap();
    }
    fn found(&self) -> Recovered {
        Storage::open(&self.0, WINDOW).unwrap().1
    }
}
impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn number(found: &Recovered) -> Option<u64> {
    found.membership.as_ref().map(|s| s.set.number)
}

#[test]
fn what_an_older_set_left_does_not_come_back() {
    let folder = Folder::new("older");
    // Accepted under a high ballot by this one alone, and a key that others know nothing of.
    folder.write(&[seat(1), WriteOp::Promise(ballot(40)), word(9, 40), claim("old")]);
    folder.write(&[claim("older"), withdraw("old"), withdraw("older"), install(5)]);
    let found = folder.found();
    assert_eq!((number(&found), found.promised), (Some(5), ballot(4)));
    assert_eq!(found.accepted.map(|e| e.ballot), Some(ballot(3)));
    assert_eq!(found.claims.iter().map(|c| c.key.as_str()).collect::<Vec<_>>(), ["new"]);
}

#[test]
fn half_of_it_changes_nothing() {
    let folder = Folder::new("half");
    folder.write(&[seat(1), WriteOp::Promise(ballot(40)), word(9, 40), claim("old")]);
    let complete = with_checksum(&encode(&snapshot(5)).unwrap());
    for end in [0, 1, complete.len() / 2, complete.len() - 1] {
        std::fs::write(folder.0.join("installed"), &complete[..end]).unwrap();
        let found = folder.found();
        assert_eq!(
            (number(&found), found.promised, found.claims.len()),
            (Some(1), ballot(40), 1),
            "at {end}"
        );
    }
    std::fs::write(folder.0.join("installed"), &complete).unwrap();
    let found = folder.found();
    assert_eq!((number(&found), found.promised), (Some(5), ballot(4)));
    assert!(found.claims.iter().any(|c| c.key == "new"));
}

#[test]
fn a_voter_that_goes_on_keeps_its_membership_until_the_next_is_there() {
    let folder = Folder::new("next");
    folder.write(&[seat(1), WriteOp::Promise(ballot(2)), word(3, 2), claim("own")]);
    folder.write(&[claim("told")]);
    assert_eq!(number(&folder.found()), Some(1));
    folder.write(&[word(4, 3), WriteOp::Promise(ballot(3)), seat(2)]);
    let found = folder.found();
    assert_eq!(
        (number(&found), found.claims.len(), found.accepted.map(|e| e.ballot)),
        (Some(2), 2, Some(ballot(3)))
    );
}

#[test]
fn a_seat_of_the_form_before_sets_had_numbers_is_set_1() {
    let folder = Folder::new("older-form");
    folder.write(&[WriteOp::Promise(ballot(4)), word(7, 3), claim("own")]);
    let text = br#"{"voters":["10.0.0.2:1","10.0.0.1:1","10.0.0.3:1"],"boot_id":1,"lives":{"0":2}}"#;
    std::fs::write(folder.0.join("seat"), with_checksum(text)).unwrap();
    let found = folder.found();
    let all = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"].map(String::from);
    let seat = found.membership.unwrap();
    assert_eq!((seat.incarnation, seat.set, seat.previous), (0, VoterSet::first(&all), None));
    assert_eq!((found.promised, found.accepted.map(|e| e.ballot)), (ballot(4), Some(ballot(3))));
    std::fs::write(folder.0.join("seat"), with_checksum(br#"{"voters":[]}"#)).unwrap();
    assert_eq!(folder.found().membership, None);
}
