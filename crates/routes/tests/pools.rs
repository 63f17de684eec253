//! Weighted pools, retry budget and failover.
use notchspool::units::{DeduplicationScope, Micros, RequestKind};
use notchspool_routes::failover::{Failover, UnservedRequest};
use notchspool_routes::retry_budget::RetryBudget;
use notchspool_routes::weighted_pools::{WeightedPool, pool_for_key};
use rstest::rstest;

fn pools(weights: &[f64]) -> Vec<WeightedPool> {
    let pool = |(n, &weight): (usize, &f64)| WeightedPool { name: format!("pool-{n}"), weight };
    weights.iter().enumerate().map(pool).collect()
}

#[test]
fn weights_are_kept_and_only_as_many_keys_move_as_they_say() {
    let (before, after) = (pools(&[0.9, 0.1]), pools(&[0.7, 0.3]));
    let keys: Vec<String> = (0..20_000).map(|n| format!("customer {n}")).collect();
    let part = |pools: &[WeightedPool]| {
        keys.iter().filter(|k| pool_for_key(k.as_bytes(), pools) == Some(1)).count() as f64
            / keys.len() as f64
    };
    assert!((part(&before) - 0.1).abs() < 0.01 && (part(&after) - 0.3).abs() < 0.01);
    let back = keys.iter().filter(|k| {
        pool_for_key(k.as_bytes(), &before) == Some(1) && pool_for_key(k.as_bytes(), &after) == Some(0)
    });
    assert_eq!(back.count(), 0, "a pool that gets more loses nobody");
    assert_eq!(pool_for_key(b"any", &pools(&[0.0, 0.0])), None);
}

#[test]
fn retries_stay_within_the_multiple() {
    let mut budget = RetryBudget::new(1.1);
    let mut attempts = 0;
    for _ in 0..10_000 {
        budget.on_request();
        attempts += 1;
        // Everything fails, and each request would be sent four times.
        attempts += (0..3).filter(|_| budget.try_spend()).count();
    }
    assert!((10_990..=11_010).contains(&attempts), "{attempts}");
    let mut none = RetryBudget::new(1.0);
    none.on_request();
    assert!(!none.try_spend());
}

fn failed(kind: RequestKind, may_have_run: bool, healthy_backends: usize) -> UnservedRequest {
    UnservedRequest {
        kind,
        scope: DeduplicationScope::All,
        may_have_run,
        healthy_backends,
        was_attempted: true,
    }
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
    #[case] healthy: usize,
    #[case] moves: bool,
) {
    let mut failover = Failover::new(1);
    assert!(failover.choose_primary(Micros::ms(0)));
    assert_eq!(failover.on_unserved(Micros::ms(0), failed(kind, ran, healthy)), moves);
}

#[test]
fn a_primary_returns_gradually_and_one_that_flaps_is_left_alone_for_longer() {
    let mut failover = Failover::new(1);
    let mut now = Micros::ms(0);
    assert!(failover.on_unserved(now, failed(RequestKind::Idempotent, false, 0)));
    let part = |failover: &mut Failover, from: Micros, serves: bool| {
        let mut first = 0;
        for n in 0..1000 {
            let now = from + Micros::ms(n);
            if failover.choose_primary(now) {
                first += 1;
                match serves {
                    true => failover.on_served(now),
                    false => drop(failover.on_unserved(now, failed(RequestKind::Idempotent, false, 0))),
                }
            }
        }
        first
    };
    assert_eq!(part(&mut failover, now, true), 0, "left alone for a second");
    now = Micros::ms(1000);
    let parts: Vec<i32> = (0..9).map(|s| part(&mut failover, now + Micros::ms(s * 1000), true)).collect();
    assert!(parts[0] < 60, "{parts:?}");
    assert!(parts.windows(2).all(|w| w[1] >= w[0] / 2), "{parts:?}");
    assert!(parts[2] < 300, "not all at once: {parts:?}");
    assert_eq!(*parts.last().expect("some"), 1000, "all the way back: {parts:?}");
    // It flaps: out, tried, out again; each wait is twice the one before.
    now = Micros::ms(20_000);
    assert!(failover.on_unserved(now, failed(RequestKind::Idempotent, false, 0)));
    let tried: Vec<i32> = (0..32).map(|s| part(&mut failover, now + Micros::ms(s * 1000), false)).collect();
    let seconds: Vec<usize> = tried.iter().enumerate().filter(|t| *t.1 > 0).map(|t| t.0).collect();
    assert!(seconds.len() <= 5 && seconds.iter().all(|s| tried[*s] <= 2), "{tried:?}");
    assert!(seconds.windows(3).all(|w| w[2] - w[1] > w[1] - w[0]), "{seconds:?}");
}
