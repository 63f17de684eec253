//! Leases by random histories and by the cases they are made for.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_commands::{Epoch, InstanceId};
use notchspool_leases::admission::Admission;
use notchspool_leases::lease_table::{LeasePolicy, LeaseState, LeaseTable, Renewal};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn terms() -> LeasePolicy {
    LeasePolicy { rate: 1e6, burst: 1e6, ..LeasePolicy::default() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::with_cases(300)
    })]

    #[test]
    fn epochs_grow_and_an_earlier_epoch_is_fenced_off(
        steps in vec((0u8..4, 0usize..5, 0i64..9_000), 1..120),
    ) {
        let mut leases = LeaseTable::new(terms(), Epoch(0), 1, Micros(0));
        let mut epochs: Vec<Vec<(InstanceId, Epoch)>> = vec![Vec::new(); 5];
        let mut last = BTreeMap::new();
        let mut now = Micros(0);
        for (what, who, wait) in steps {
            now = now + Micros::ms(wait);
            leases.tick(now);
            let name = format!("n{who}");
            match what {
                0 => {
                    let got = leases.register(now, &name).expect("there is room");
                    prop_assert!(last.insert(name, got.epoch).is_none_or(|before| before < got.epoch));
                    epochs[who].push((got.id, got.epoch));
                }
                1 | 2 => {
                    for (nth, &(id, epoch)) in epochs[who].iter().enumerate() {
                        let latest = nth + 1 == epochs[who].len();
                        match leases.renew(now, id, epoch) {
                            Renewal::Renewed { until, renew_in } => {
                                prop_assert!(latest, "an earlier life was renewed");
                                prop_assert!(until == now + terms().duration && renew_in < terms().duration.times(0.5));
                            }
                            Renewal::Fenced(by) => prop_assert!(by > epoch && !latest),
                            Renewal::Unknown => {}
                            Renewal::RetryAfter(_) => prop_assert!(false, "there is room"),
                        }
                    }
                }
                _ => {
                    if let Some(&(id, epoch)) = epochs[who].first() {
                        let went = leases.leave(now, id, epoch);
                        prop_assert!(!went || epochs[who].len() == 1, "an earlier life can't take a later one along");
                    }
                }
            }
            prop_assert!(leases.members().count() <= 5);
        }
    }
}

fn many(n: u32) -> (LeaseTable, Vec<(InstanceId, Epoch)>) {
    let mut leases = LeaseTable::new(terms(), Epoch(0), 1, Micros(0));
    let all =
        (0..n).map(|n| leases.register(Micros(0), &format!("n{n}")).map(|r| (r.id, r.epoch)).expect("room"));
    let all = all.collect();
    (leases, all)
}

/// Renews all but the first `silent` each second, from one second to another; tells who was declared gone, and when.
fn live(
    leases: &mut LeaseTable,
    all: &[(InstanceId, Epoch)],
    silent: usize,
    from: i64,
    until: i64,
) -> Vec<(i64, InstanceId)> {
    let mut gone = Vec::new();
    for second in from..until {
        let now = Micros::ms(second * 1000);
        all[silent..].iter().for_each(|(id, epoch)| drop(format!("{:?}", leases.renew(now, *id, *epoch))));
        gone.extend(leases.tick(now).into_iter().map(|id| (second, id)));
    }
    gone
}

#[test]
fn few_that_fall_silent_are_gone_and_many_are_held() {
    let (mut leases, all) = many(100);
    let gone = live(&mut leases, &all, 5, 1, 40);
    assert_eq!(gone.len(), 5);
    assert!(gone.iter().all(|(at, _)| (25..=26).contains(at)), "a lease and a window: {gone:?}");
    // A network cut hides 40 of 100 for half a minute: none is declared gone, and all are back at once.
    let (mut leases, all) = many(100);
    assert_eq!(live(&mut leases, &all, 40, 1, 45), []);
    assert!(matches!(leases.member(all[0].0).expect("there").state, LeaseState::Held(_)));
    assert_eq!(live(&mut leases, &all, 0, 45, 60), []);
    assert!(leases.members().all(|(_, m)| m.state == LeaseState::Live));
    // One that stays away is gone in the end, when nobody holds a hand over it any more.
    let (mut leases, all) = many(100);
    let gone = live(&mut leases, &all, 40, 1, 90);
    assert!(
        gone.len() == 40 && gone.iter().all(|(at, _)| *at >= 75),
        "held for a minute: {:?}",
        gone.first()
    );
    assert_eq!(leases.renew(Micros::ms(91_000), all[0].0, all[0].1), Renewal::Unknown, "it has to come anew");
}

#[test]
fn after_an_outage_all_have_a_full_lease_and_the_known_come_first() {
    let mut leases = LeaseTable::new(
        LeasePolicy { rate: 50.0, burst: 20.0, ..LeasePolicy::default() },
        Epoch(1000),
        1,
        Micros(0),
    );
    for n in 0..1000 {
        leases.restore(Micros(0), InstanceId(n), &format!("n{n}"), Epoch(u64::from(n) + 1));
    }
    assert_eq!(leases.tick(Micros::ms(14_999)), []);
    // All wake at once and keep to what they are told; new names press in between.
    let mut waits: Vec<(i64, u32)> = (0..1000).map(|n| (0, n)).collect();
    let (mut renewed, mut new, mut ms) = (0, 0, 0);
    while renewed < 1000 && ms < 60_000 {
        let now = Micros::ms(ms);
        if leases.register(now, &format!("new{ms}")).is_ok() {
            new += 1;
        }
        let (due, rest): (Vec<_>, Vec<_>) = waits.into_iter().partition(|w| w.0 <= ms);
        waits = rest;
        for (_, n) in due {
            match leases.renew(now, InstanceId(n), Epoch(u64::from(n) + 1)) {
                Renewal::Renewed { .. } => renewed += 1,
                Renewal::RetryAfter(wait) => waits.push((ms + wait.0 / 1000 + 1, n)),
                other => panic!("{other:?}"),
            }
        }
        leases.tick(now);
        ms += 10;
    }
    assert_eq!(renewed, 1000);
    assert!((19_000..=22_000).contains(&ms), "at the stated rate: {ms} ms");
    assert!(new <= 11, "the known come first: {new}");
}

#[test]
fn what_is_admitted_never_goes_over_the_rate() {
    let mut admission = Admission::new(10.0, 5.0, Micros(0));
    let let_in = (0..10_000).filter(|ms| admission.admit(Micros::ms(*ms), ms % 2 == 0).is_ok()).count();
    assert!((100..=105).contains(&let_in), "{let_in}");
}

#[test]
fn who_is_long_gone_is_forgotten_but_its_epoch_is_not_given_again() {
    let (mut leases, all) = many(1);
    assert!(leases.leave(Micros::ms(1), all[0].0, all[0].1));
    leases.tick(Micros::ms(700_000));
    assert_eq!(leases.members().count(), 0);
    let again = leases.register(Micros::ms(700_001), "n0").expect("room");
    assert!(again.epoch > all[0].1 && again.id != all[0].0);
}
