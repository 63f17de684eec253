//! Numbers of backends: kept, reused, bounded.
use std::cell::Cell;
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_agent::state::backend_ids::{AssignedId, BackendIds, REUSE_AFTER};

#[test]
fn a_number_is_used_again_once_its_backend_is_long_gone() {
    let (mut ids, start) = (BackendIds::default(), Micros::ms(5));
    let [a, b] = ["a", "b"].map(|name| ids.assign(name, start, 2).expect("room").id);
    assert_ne!(a, b);
    ids.on_gone(a, start);
    assert_eq!(ids.assign("c", start + REUSE_AFTER, 2), None, "not yet, and there is no room for more");
    let later = start + REUSE_AFTER + Micros(1);
    assert_eq!(ids.assign("c", later, 2), Some(AssignedId { id: a, is_new: true }));
    assert_eq!(ids.assign("b", later, 2), Some(AssignedId { id: b, is_new: false }));
    assert_eq!(ids.assign("a", later, 2), None, "the old name has lost it");
}

#[test]
fn a_number_is_kept_while_an_attempt_can_be_out() {
    let mut ids = BackendIds::new(Rc::new(Cell::new(Micros::ms(600_000))));
    let a = ids.assign("a", Micros(0), 1).expect("room").id;
    ids.on_gone(a, Micros(0));
    assert_eq!(ids.assign("b", Micros::ms(599_000), 1), None, "an attempt at the first may still be out");
    assert_eq!(ids.assign("b", Micros::ms(631_000), 1), Some(AssignedId { id: a, is_new: true }));
}

#[test]
fn what_comes_back_or_is_on_a_full_list_keeps_its_number() {
    let (mut ids, start) = (BackendIds::default(), Micros::ms(5));
    let [a, b] = ["a", "b"].map(|name| ids.assign(name, start, 2).expect("room").id);
    ids.on_gone(a, start);
    ids.on_present(a);
    ids.on_full_list(|id| id == a, start);
    let later = start + REUSE_AFTER + Micros(1);
    assert_eq!(ids.assign("c", later, 2), Some(AssignedId { id: b, is_new: true }));
    assert_eq!(ids.assign("a", later, 2), Some(AssignedId { id: a, is_new: false }));
}
