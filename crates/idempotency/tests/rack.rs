//! One voter's claims.
use notchspool::units::Micros;
use notchspool_idempotency::rack::{Rack, Vote};
use notchspool_mesh_protocol::{Claim, Ticket};

fn claim(key: &str, life: u64, turn: u32) -> Claim {
    let ticket = Some(Ticket { life, number: 1, turn });
    Claim { key: key.into(), ticket, holder: format!("h-{life}"), holder_life: life, ..Claim::default() }
}

#[test]
fn two_tickets_told_by_others_both_stand_till_taken_back_or_past() {
    let mut rack = Rack::open(Micros::ms(1_000));
    rack.put(Micros::ms(1), &claim("k", 1, 0));
    rack.put(Micros::ms(1), &claim("k", 2, 0));
    assert!(rack.withdraw("k", claim("k", 1, 0).ticket.unwrap_or_default()));
    assert!(matches!(rack.claim(Micros::ms(2), &claim("k", 3, 0)), Vote::Taken { holder_life: 2, .. }));
    rack.wake(Micros::ms(900));
    assert_eq!(rack.len(), 1);
    rack.wake(Micros::ms(1_100));
    assert_eq!(rack.claim(Micros::ms(1_100), &claim("k", 3, 0)), Vote::Granted);
}

#[test]
fn a_request_goes_on_to_its_next_backend_and_never_back() {
    let mut rack = Rack::open(Micros::ms(1_000));
    assert_eq!(rack.claim(Micros::ms(1), &claim("k", 1, 0)), Vote::Granted);
    assert_eq!(rack.claim(Micros::ms(2), &claim("k", 1, 1)), Vote::Granted);
    assert!(matches!(rack.claim(Micros::ms(3), &claim("k", 1, 0)), Vote::Taken { .. }));
    assert!(!rack.withdraw("k", claim("k", 1, 0).ticket.unwrap_or_default()));
    assert!(rack.withdraw("k", claim("k", 1, 1).ticket.unwrap_or_default()));
}
