//! One voter's claims.
use notchspool::units::Micros;
use notchspool_idempotency::claim_table::{ClaimTable, Decision};
use notchspool_mesh_protocol::{Claim, Ticket};

fn claim(key: &str, boot_id: u64, turn: u32) -> Claim {
    let ticket = Some(Ticket { boot_id, number: 1, attempt: turn });
    Claim {
        key: key.into(),
        ticket,
        holder: format!("h-{boot_id}"),
        holder_boot_id: boot_id,
        ..Claim::default()
    }
}

#[test]
fn two_tickets_learned_from_others_both_stand_until_withdrawn_or_expired() {
    let mut table = ClaimTable::new(Micros::ms(1_000));
    table.insert(Micros::ms(1), &claim("k", 1, 0));
    table.insert(Micros::ms(1), &claim("k", 2, 0));
    assert!(table.withdraw("k", claim("k", 1, 0).ticket.unwrap_or_default()));
    assert!(matches!(
        table.claim(Micros::ms(2), &claim("k", 3, 0)),
        Decision::HeldByOther { holder_boot_id: 2, .. }
    ));
    table.tick(Micros::ms(900));
    assert_eq!(table.len(), 1);
    table.tick(Micros::ms(1_100));
    assert_eq!(table.claim(Micros::ms(1_100), &claim("k", 3, 0)), Decision::Granted);
}

#[test]
fn a_request_goes_on_to_its_next_backend_and_never_back() {
    let mut table = ClaimTable::new(Micros::ms(1_000));
    assert_eq!(table.claim(Micros::ms(1), &claim("k", 1, 0)), Decision::Granted);
    assert_eq!(table.claim(Micros::ms(2), &claim("k", 1, 1)), Decision::Granted);
    assert!(matches!(table.claim(Micros::ms(3), &claim("k", 1, 0)), Decision::HeldByOther { .. }));
    assert!(!table.withdraw("k", claim("k", 1, 0).ticket.unwrap_or_default()));
    assert!(table.withdraw("k", claim("k", 1, 1).ticket.unwrap_or_default()));
}

#[test]
fn keys_of_the_mesh_itself_are_found_by_their_holder_for_as_long_as_they_stand() {
    let mut table = ClaimTable::new(Micros::ms(1_000));
    for (key, boot_id) in [("k", 1), ("\u{1}a", 1), ("\u{1}b", 2), ("\u{1}c", 1)] {
        assert_eq!(table.claim(Micros::ms(1), &claim(key, boot_id, 0)), Decision::Granted);
    }
    let of_first = |table: &ClaimTable| table.own_keys_of("h-1").map(str::to_string).collect::<Vec<_>>();
    assert_eq!(of_first(&table), ["\u{1}a", "\u{1}c"]);
    table.withdraw("\u{1}a", claim("", 1, 0).ticket.unwrap_or_default());
    assert_eq!(of_first(&table), ["\u{1}c"]);
    // One that is claimed again stands longer.
    table.claim(Micros::ms(900), &claim("\u{1}c", 1, 0));
    table.tick(Micros::ms(1_100));
    assert_eq!(of_first(&table), ["\u{1}c"]);
    table.tick(Micros::ms(2_000));
    assert_eq!((of_first(&table).len(), table.own_keys_of("h-2").count(), table.len()), (0, 0, 0));
}
