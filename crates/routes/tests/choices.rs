//! Shares, budget and backup.
use notchspool::units::{DeduplicationScope, Micros, RequestKind};
use notchspool_routes::backup::{Backup, Unserved};
use notchspool_routes::budget::Budget;
use notchspool_routes::share::pool_of;
use rstest::rstest;

fn pools(shares: &[f64]) -> Vec<(String, f64)> {
    shares.iter().enumerate().map(|(n, &share)| (format!("pool-{n}"), share)).collect()
}

#[test]
fn shares_are_kept_and_only_as_many_keys_move_as_they_say() {
    let (before, after) = (pools(&[0.9, 0.1]), pools(&[0.7, 0.3]));
    let keys: Vec<String> = (0..20_000).map(|n| format!("customer {n}")).collect();
    let part = |shares: &[(String, f64)]| {
        keys.iter().filter(|k| pool_of(k.as_bytes(), shares) == Some(1)).count() as f64 / keys.len() as f64
    };
    assert!((part(&before) - 0.1).abs() < 0.01 && (part(&after) - 0.3).abs() < 0.01);
    let back = keys
        .iter()
        .filter(|k| pool_of(k.as_bytes(), &before) == Some(1) && pool_of(k.as_bytes(), &after) == Some(0));
    assert_eq!(back.count(), 0, "a pool that gets more loses nobody");
    assert_eq!(pool_of(b"any", &pools(&[0.0, 0.0])), None);
}

#[test]
fn repeats_stay_within_the_multiple() {
    let mut budget = Budget::new(1.1);
    let mut postings = 0;
    for _ in 0..10_000 {
        budget.taken();
        postings += 1;
        // Everything fails, and each txn would be sent four times.
        postings += (0..3).filter(|_| budget.repeat()).count();
    }
    assert!((10_990..=11_010).contains(&postings), "{postings}");
    let mut none = Budget::new(1.0);
    none.taken();
    assert!(!none.repeat());
}

fn failed(kind: RequestKind, may_have_run: bool, sound: usize) -> Unserved {
    Unserved { kind, group: DeduplicationScope::All, may_have_run, sound, posted: true }
}

#[rstest]
#[case(RequestKind::NonIdempotent, true, 0, false)]
#[case(RequestKind::NonIdempotent, false, 0, true)]
#[case(RequestKind::Keyed, true, 0, false)]
#[case(RequestKind::Keyed, false, 0, true)]
#[case(RequestKind::Idempotent, true, 0, true)]
#[case(RequestKind::Idempotent, false, 2, false)] // overload is no reason
fn only_what_can_not_run_twice_moves(
    #[case] kind: RequestKind,
    #[case] ran: bool,
    #[case] sound: usize,
    #[case] moves: bool,
) {
    let mut backup = Backup::new(1);
    assert!(backup.primary_first(Micros::ms(0)));
    assert_eq!(backup.unserved(Micros::ms(0), failed(kind, ran, sound)), moves);
}

#[test]
fn the_way_back_is_gradual_and_a_primary_that_flaps_is_left_alone_for_longer() {
    let mut backup = Backup::new(1);
    let mut now = Micros::ms(0);
    assert!(backup.unserved(now, failed(RequestKind::Idempotent, false, 0)));
    let part = |backup: &mut Backup, from: Micros, serves: bool| {
        let mut first = 0;
        for n in 0..1000 {
            let now = from + Micros::ms(n);
            if backup.primary_first(now) {
                first += 1;
                match serves {
                    true => backup.served(now),
                    false => drop(backup.unserved(now, failed(RequestKind::Idempotent, false, 0))),
                }
            }
        }
        first
    };
    assert_eq!(part(&mut backup, now, true), 0, "left alone for a second");
    now = Micros::ms(1000);
    let parts: Vec<i32> = (0..9).map(|s| part(&mut backup, now + Micros::ms(s * 1000), true)).collect();
    assert!(parts[0] < 60, "{parts:?}");
    assert!(parts.windows(2).all(|w| w[1] >= w[0] / 2), "{parts:?}");
    assert!(parts[2] < 300, "not all at once: {parts:?}");
    assert_eq!(*parts.last().expect("some"), 1000, "all the way back: {parts:?}");
    // It flaps: out, tried, out again; each wait is twice the one before.
    now = Micros::ms(20_000);
    assert!(backup.unserved(now, failed(RequestKind::Idempotent, false, 0)));
    let tried: Vec<i32> = (0..32).map(|s| part(&mut backup, now + Micros::ms(s * 1000), false)).collect();
    let seconds: Vec<usize> = tried.iter().enumerate().filter(|t| *t.1 > 0).map(|t| t.0).collect();
    assert!(seconds.len() <= 5 && seconds.iter().all(|s| tried[*s] <= 2), "{tried:?}");
    assert!(seconds.windows(3).all(|w| w[2] - w[1] > w[1] - w[0]), "{seconds:?}");
}
