//! The division against what it promises, by random operations.
use std::collections::BTreeMap;

use notchspool_quotas::quota_pool::{QuotaPool, QuotaShare};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn party(n: usize, part: f64, weight: f64) -> QuotaShare {
    QuotaShare { name: format!("p{n}"), guaranteed: part, weight }
}

fn steady() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::with_cases(500)
    }
}

proptest! {
    #![proptest_config(steady())]

    #[test]
    fn never_above_the_capacity_and_the_guaranteed_part_is_always_there(
        capacity in 1usize..60,
        parts in vec(0.0f64..0.24, 1..5),
        weights in vec(0.0f64..3.0, 5),
        steps in vec((0usize..5, 0u8..5), 1..300),
    ) {
        let parties: Vec<QuotaShare> =
            parts.iter().enumerate().map(|(n, &part)| party(n, part, weights[n])).collect();
        let mut division = QuotaPool::new(capacity, &parties);
        let mut held: BTreeMap<usize, usize> = BTreeMap::new();
        for (n, what) in steps {
            let name = format!("p{n}");
            let own = held.entry(n).or_default();
            if what < 3 {
                let sure = parts.get(n).map_or(0, |part| (part * capacity as f64).floor() as usize);
                let got = division.try_acquire(&name);
                prop_assert!(n < parts.len() || !got, "no such party");
                prop_assert!(got || *own >= sure, "{own} of {sure} guaranteed were held, and one more was refused");
                *own += usize::from(got);
            } else if *own > 0 {
                division.release(&name);
                *own -= 1;
            }
            prop_assert_eq!(division.held_by(&name), *own);
            prop_assert!(division.held() <= capacity);
            prop_assert_eq!(division.held(), held.values().sum::<usize>());
        }
    }

    #[test]
    fn a_change_of_shares_loses_nothing_and_lends_nothing_above_the_capacity(
        first in 1usize..50, second in 1usize..50,
        before in vec(0usize..3, 0..80), after in vec((0usize..3, any::<bool>()), 0..120),
    ) {
        let three = |part| (0..3).map(|n| party(n, part, 1.0)).collect::<Vec<_>>();
        let mut division = QuotaPool::new(first, &three(0.2));
        let mut held = [0usize; 3];
        for n in before {
            held[n] += usize::from(division.try_acquire(&format!("p{n}")));
        }
        // The third is gone from the file.
        division.set_shares(second, &three(0.3)[..2]);
        for (n, take) in after {
            let (name, all) = (format!("p{n}"), held.iter().sum::<usize>());
            if take {
                let got = division.try_acquire(&name);
                prop_assert!(!got || (n < 2 && all < second));
                held[n] += usize::from(got);
            } else if held[n] > 0 {
                division.release(&name);
                held[n] -= 1;
            }
            prop_assert_eq!(division.held(), held.iter().sum::<usize>());
        }
    }
}

#[test]
fn one_that_holds_all_it_gets_leaves_room_for_who_comes_next() {
    let mut division = QuotaPool::new(100, &[party(0, 0.1, 1.0), party(1, 0.1, 1.0), party(2, 0.0, 1.0)]);
    let hog = (0..1000).filter(|_| division.try_acquire("p0")).count();
    // Its own 10, and two thirds of the 80 that are lent.
    assert!((60..=64).contains(&hog), "{hog}");
    let second = (0..1000).filter(|_| division.try_acquire("p1")).count();
    assert!(second >= 25, "its own 10 and a part of what is free: {second}");
    assert!(
        (0..1000).filter(|_| division.try_acquire("p2")).count() >= 5,
        "nothing guaranteed, and still some room"
    );
}
