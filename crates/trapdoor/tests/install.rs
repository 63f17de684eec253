//! A set that is installed on a disk that has something of an older one: half of it is no seat.
use std::path::PathBuf;
use std::time::Duration;

use notchspool_cues::{Claim, Ticket};
use notchspool_election::sets::VoterSet;
use notchspool_election::{Ballot, ContenderId, Entry};
use notchspool_trapdoor::{Deed, Found, Seat, Trapdoor};

const WINDOW: Duration = Duration::from_secs(60);

fn ballot(round: u64) -> Ballot {
    Ballot { round, by: ContenderId(1), ..Ballot::default() }
}

fn word(version: u64, round: u64) -> Deed {
    Deed::Word(version, Entry { at: ballot(round), nth: 1, value: format!("{version}\nbody") })
}

fn claim(key: &str) -> Deed {
    let ticket = Some(Ticket { life: 1, number: 1, turn: 0 });
    Deed::Claim(Claim { key: key.into(), ticket, holder: "h".into(), holder_life: 1, ..Claim::default() })
}

fn seat(number: u64) -> Deed {
    let set = VoterSet { number, ..VoterSet::first(&["10.0.0.1:1".into()]) };
    Deed::Seat(Seat { incarnation: 5, set, ..Seat::default() })
}

struct Folder(PathBuf);
impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("notchspool-install-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
    fn write(&self, deeds: &[Deed]) {
        Trapdoor::open(&self.0, WINDOW).unwrap().0.write(deeds).unwrap();
    }
    fn found(&self) -> Found {
        Trapdoor::open(&self.0, WINDOW).unwrap().1
    }
}
impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn number(found: &Found) -> Option<u64> {
    found.seat.as_ref().map(|s| s.set.number)
}

#[test]
fn what_an_older_set_left_does_not_come_back() {
    let folder = Folder::new("older");
    // Accepted under a high ballot by this one alone, and a key that others know nothing of.
    folder.write(&[seat(1), Deed::Promise(ballot(40)), word(9, 40), claim("old")]);
    folder.write(&[claim("older"), Deed::Clear, claim("new"), word(7, 3), Deed::Promise(ballot(4)), seat(5)]);
    let found = folder.found();
    assert_eq!((number(&found), found.promised), (Some(5), ballot(4)));
    assert_eq!(found.entry.map(|e| e.at), Some(ballot(3)));
    assert_eq!(found.claims.iter().map(|c| c.key.as_str()).collect::<Vec<_>>(), ["new"]);
}

#[test]
fn half_of_it_is_an_empty_disk() {
    let folder = Folder::new("half");
    folder.write(&[seat(1), Deed::Promise(ballot(40)), word(9, 40), claim("old")]);
    folder.write(&[Deed::Clear, claim("new"), word(7, 3)]);
    let found = folder.found();
    assert_eq!((number(&found), found.torn.len()), (None, 0));
}

#[test]
fn one_that_goes_on_keeps_its_seat_till_the_next_is_there() {
    let folder = Folder::new("next");
    folder.write(&[seat(1), Deed::Promise(ballot(2)), word(3, 2), claim("own")]);
    folder.write(&[claim("told")]);
    assert_eq!(number(&folder.found()), Some(1));
    folder.write(&[word(4, 3), Deed::Promise(ballot(3)), seat(2)]);
    let found = folder.found();
    assert_eq!(
        (number(&found), found.claims.len(), found.entry.map(|e| e.at)),
        (Some(2), 2, Some(ballot(3)))
    );
}
