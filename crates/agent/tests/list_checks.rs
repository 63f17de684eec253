//! Figures of a list that can't be true.
use std::net::SocketAddr;

use notchspool::units::{BackendId, ListEntry, Micros};
use notchspool_agent::state::list_checks::{ClockReading, EntryChecker};
use notchspool_agent::state::list_row::ListRow;
use rstest::rstest;

fn clock(now_ms: i64, ahead_ms: i64) -> ClockReading {
    ClockReading { now: Micros::ms(now_ms), machine_ahead: Micros::ms(ahead_ms) }
}

fn row(size: f64, started: i64) -> ListRow {
    let entry = ListEntry { size, started: Micros::ms(started), ..ListEntry::default() };
    ListRow {
        name: "b".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: String::new(),
        model: String::new(),
        entry,
    }
}

/// The machine's clock was set a minute ahead: what starts then starts now by ours, and is warming up.
#[test]
fn a_clock_that_was_set_moves_no_start() {
    let mut checker = EntryChecker::default();
    let (mut first, mut again, mut next) = (row(1.0, 9_000), row(1.0, 9_000), row(1.0, 70_000));
    checker.correct(BackendId(0), true, &mut first, clock(9_500, 0));
    checker.correct(BackendId(0), false, &mut again, clock(10_000, 60_000));
    assert_eq!(again.entry.started, Micros::ms(9_000), "the same process");
    assert!(checker.correct(BackendId(0), false, &mut next, clock(10_100, 60_000)).is_empty());
    assert_eq!(next.entry.started, Micros::ms(10_000), "a new one");
}

#[rstest]
#[case::nothing(0.0)]
#[case::below(-4.0)]
#[case::huge(1e300)]
#[case::none(f64::NAN)]
fn an_impossible_size_leaves_the_last_good_one(#[case] size: f64) {
    let mut checker = EntryChecker::default();
    let mut first = row(size, 0);
    assert_eq!(checker.correct(BackendId(0), true, &mut first, clock(5, 0)).len(), 1);
    assert_eq!(first.entry.size, 1.0);
    assert!(checker.correct(BackendId(0), false, &mut row(2.5, 0), clock(5, 0)).is_empty());
    let mut again = row(size, 0);
    checker.correct(BackendId(0), false, &mut again, clock(5, 0));
    assert_eq!(again.entry.size, 2.5);
}

#[test]
fn a_start_in_the_future_counts_from_when_it_was_first_check() {
    let mut checker = EntryChecker::default();
    let mut check = |stated, now| {
        let mut row = row(1.0, stated);
        let complaints = checker.correct(BackendId(0), false, &mut row, clock(now, 0)).len();
        (row.entry.started, complaints)
    };
    assert_eq!(check(90_000, 5_000), (Micros::ms(5_000), 1));
    assert_eq!(check(90_000, 7_000), (Micros::ms(5_000), 0), "the same process");
    assert_eq!(check(8_400, 8_000), (Micros::ms(8_400), 0), "clocks differ a little");
}
