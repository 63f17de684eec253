//! Whose answers confirm a report.
use notchspool_data_plane::report_confirmation::ReportConfirmations;

fn voters(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_majority_of_the_voters_of_now_confirms() {
    let mut confirmations = ReportConfirmations::default();
    let number = confirmations.begin();
    let three = voters(&["a", "b", "c"]);
    assert!(confirmations.on_pong(number.as_u64(), "a"));
    assert!(!confirmations.on_pong(number.as_u64(), "a"), "no news");
    assert!(!confirmations.is_confirmed(number, &three));
    // One that votes no more does not count, nor does an answer to another ping.
    confirmations.on_pong(number.as_u64(), "gone");
    let later = confirmations.begin();
    confirmations.on_pong(later.as_u64(), "b");
    assert!(!confirmations.is_confirmed(number, &three));
    confirmations.on_pong(number.as_u64(), "c");
    assert!(confirmations.is_confirmed(number, &three) && !confirmations.is_confirmed(later, &three));
    assert!(!confirmations.is_confirmed(number, &voters(&["a", "b", "d", "e"])));
}

#[test]
fn nothing_is_confirmed_while_nobody_votes_or_waits() {
    let mut confirmations = ReportConfirmations::default();
    let number = confirmations.begin();
    assert!(!confirmations.is_confirmed(number, &[]));
    confirmations.end(number);
    assert!(!confirmations.on_pong(number.as_u64(), "a"));
    assert!(!confirmations.is_confirmed(number, &voters(&["a"])));
    assert_eq!(confirmations.open().count(), 0);
    // A ping that only tells that a proxy lives is none of these.
    assert!(!confirmations.on_pong(1, "a"));
}
