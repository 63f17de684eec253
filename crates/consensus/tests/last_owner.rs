//! Who owns, as one knows that only heard of it: the newest record stays, whatever order they come in.
use notchspool::units::Micros;
use notchspool_consensus::lease_owner::Contender;
use notchspool_consensus::{ContenderId, OwnerRecord, Parameters, Token};

fn record(token: u64, by: u64, released: bool) -> OwnerRecord {
    let by = ContenderId(by);
    OwnerRecord {
        token: Token(token),
        owner: by,
        name: format!("k{}", by.0),
        address: by.0.to_string(),
        released,
    }
}

#[test]
fn the_newest_record_that_came_by_stays_and_gives_no_right_to_own() {
    let terms = Parameters::new(3, Micros::ms(400));
    let mut contender = Contender::new(ContenderId(1), "k1", "1", "orders", terms, Micros(0), 0.5);
    assert_eq!(contender.last_owner(), None);
    contender.observe_owner(record(3, 2, false));
    assert_eq!(contender.last_owner(), Some(&record(3, 2, false)));
    // A late owner's, from before.
    contender.observe_owner(record(2, 3, false));
    assert_eq!(contender.last_owner(), Some(&record(3, 2, false)));
    // The same owner lets go, and the next begins.
    contender.observe_owner(record(3, 2, true));
    assert_eq!(contender.last_owner(), Some(&record(3, 2, true)));
    contender.observe_owner(record(4, 1, false));
    assert_eq!(contender.last_owner(), Some(&record(4, 1, false)));
    assert_eq!(contender.owns(Micros(0)), None);
}
