//! The core against plain references, by random operations.
use std::collections::BTreeMap;

use notchspool_lab::core::backend::{Backend, Build, Came, Choke, Cold, Event};
use notchspool_lab::core::kit::*;
use notchspool_lab::core::ledger::Standing;
use notchspool_lab::core::memory::Memory;
use notchspool_lab::core::register::{Listing, Register, Row};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn build(cores: usize) -> Build {
    Build {
        cores,
        speed: 1.0,
        room: 1000,
        choke: None,
        cold: Cold { from: 0.3, span: Micros::ms(4000), multiple: 3.0, within: Micros::ms(1500) },
        drops_waiting: true,
        link_work: Micros(0),
        refresh: Micros::ms(100),
        noise: 0.0,
    }
}

/// Plays arrivals at a backend, with looks at it in between at moments that must not matter.
fn play(mut b: Backend, arrivals: &[(i64, i64)], looks: &[i64]) -> BTreeMap<PostingId, i64> {
    let mut moments: Vec<(i64, Option<(usize, i64)>)> =
        arrivals.iter().enumerate().map(|(n, &(at, work))| (at, Some((n, work)))).collect();
    moments.extend(looks.iter().map(|&at| (at, None)));
    moments.push((100_000_000_000, None));
    moments.sort();
    let mut done = BTreeMap::new();
    for (at, came) in moments {
        let now = Micros(at);
        for event in b.advance(now) {
            if let Event::Done(posting, at) = event {
                assert!(done.insert(posting, at.0).is_none(), "done twice");
            }
        }
        if let Some((n, work)) = came {
            assert_eq!(b.came(now, PostingId(n as u64), Micros(work)), Came::Waits);
        }
    }
    done
}

/// The same cases every time.
fn steady() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    }
}

proptest! {
    #![proptest_config(steady())]

    #[test]
    fn a_queue_is_worked_off_in_order_by_all_cores(
        cores in 1usize..5,
        mut arrivals in vec((0i64..5_000_000, 1i64..400_000), 1..60),
        looks in vec(0i64..6_000_000, 0..20),
    ) {
        arrivals.sort();
        let done = play(Backend::new(build(cores), 7, Micros(0)), &arrivals, &looks);
        // The textbook: each takes the core that is free first.
        let mut free = vec![0i64; cores];
        for (n, &(at, work)) in arrivals.iter().enumerate() {
            let core = (0..cores).min_by_key(|&c| free[c]).expect("a core");
            free[core] = free[core].max(at) + work;
            prop_assert_eq!(done[&PostingId(n as u64)], free[core]);
        }
    }

    #[test]
    fn a_cold_one_is_slower_but_never_than_its_start(
        arrivals in vec((0i64..2_000_000, 1i64..50_000), 1..12),
    ) {
        let mut sorted = arrivals.clone();
        sorted.sort();
        let warm = play(Backend::new(build(2), 7, Micros(0)), &sorted, &[]);
        let mut cold = Backend::new(Build {
            cold: Cold { multiple: 1e9, ..build(2).cold }, ..build(2) }, 7, Micros(0));
        cold.start(Micros(0));
        let cold = play(cold, &sorted, &[]);
        for (posting, at) in warm {
            let came = sorted[posting.0 as usize].0;
            prop_assert!(cold[&posting] >= at);
            // A queue with 0.3 of the speed from the first moment to the last is the worst there is.
            let all: i64 = sorted.iter().map(|a| a.1).sum();
            prop_assert!((cold[&posting] - came) as f64 <= all as f64 / 0.3 + 20.0);
        }
    }

    #[test]
    fn who_follows_the_register_holds_what_it_holds(
        changes in vec((0usize..8, 0u8..3, 0i64..50), 1..60),
        keep in 1usize..10,
        asks in vec(0usize..60, 1..20),
    ) {
        let mut register = Register::new(8, Micros::ms(10), keep);
        let mut held: BTreeMap<BackId, Row> = BTreeMap::new();
        let mut version = None;
        let mut now = Micros(0);
        for (n, &(back, standing, wait)) in changes.iter().enumerate() {
            now = now + Micros::ms(wait);
            register.advance(now);
            let standing = [Standing::Ready, Standing::Draining, Standing::Gone][standing as usize];
            register.note(now, BackId(back), Row { standing, started: None });
            if asks.contains(&n) {
                let Listing { version: at, complete, rows } = register.since(version);
                if complete {
                    held.clear();
                }
                for (back, row) in rows {
                    if row.standing == Standing::Gone { held.remove(&back); } else { held.insert(back, row); }
                }
                version = Some(at);
                let whole: BTreeMap<BackId, Row> = register.whole().rows.into_iter().collect();
                prop_assert_eq!(&held, &whole);
            }
        }
    }

    #[test]
    fn a_repeat_is_known_for_its_window_and_no_longer(
        runs in vec((0i64..300, 0u64..4, 0u64..2), 1..80),
    ) {
        let (mut memory, mut plain) = (Memory::default(), BTreeMap::new());
        let (mut now, window) = (Micros(0), Micros::ms(500));
        for (wait, of, group) in runs {
            now = now + Micros::ms(wait);
            let known = plain.get(&(group, of)).is_some_and(|&at| now - at < window);
            prop_assert_eq!(memory.first(now, (0, group), RefId(of), window), !known);
            if !known {
                plain.insert((group, of), now);
            }
            prop_assert!(memory.len() <= 8);
        }
    }
}

#[test]
fn too_many_waiting_for_too_long_chokes_it_until_it_has_rested() {
    let choke = Choke { per_core: 2.0, after: Micros::ms(500), slower: 4.0, rest: Micros::ms(1000) };
    let mut b = Backend::new(Build { choke: Some(choke), ..build(1) }, 7, Micros(0));
    for n in 0..10 {
        b.came(Micros(0), PostingId(n), Micros::ms(100));
    }
    b.advance(Micros::ms(499));
    assert!(!b.is_choked());
    // Five are done after 500 ms; the other five take four times as long, and choked it stays.
    let mut last = Micros(0);
    for event in b.advance(Micros::ms(2600)) {
        if let Event::Done(_, at) = event {
            last = at;
        }
    }
    assert_eq!(last, Micros::ms(2500));
    assert!(b.is_choked());
    b.came(Micros::ms(2600), PostingId(20), Micros::ms(100));
    b.advance(Micros::ms(3499));
    assert!(b.is_choked(), "one that runs on half of the cores or more is no rest");
    b.advance(Micros::ms(4100));
    assert!(!b.is_choked());
}

#[test]
fn a_cold_one_falls_over_when_pushed_and_a_warm_one_does_not() {
    // One core at 0.3 for 1.5 s, three times over: 1350 ms of work. It warms by 0.175 a second meanwhile.
    let push = |b: &mut Backend| {
        (0..20).map(|n| b.came(Micros::ms(1 + n), PostingId(n as u64), Micros::ms(100))).collect::<Vec<_>>()
    };
    let mut warm = Backend::new(build(1), 7, Micros(0));
    assert!(push(&mut warm).iter().all(|came| *came == Came::Waits));
    let mut cold = Backend::new(build(1), 7, Micros(0));
    cold.start(Micros(0));
    let came = push(&mut cold);
    assert_eq!(came.iter().position(|c| *c == Came::Fell), Some(13));
    assert_eq!(came[14], Came::Down);
    assert_eq!((cold.holds(), cold.next()), (0, None));
}

#[test]
fn what_hangs_goes_on_where_it_stood() {
    let mut b = Backend::new(build(1), 7, Micros(0));
    b.came(Micros(0), PostingId(0), Micros::ms(100));
    b.advance(Micros::ms(40));
    b.hang(Micros::ms(40), true);
    assert!(b.advance(Micros::ms(5000)).is_empty());
    b.hang(Micros::ms(5000), false);
    assert_eq!(b.advance(Micros::ms(6000)), [Event::Done(PostingId(0), Micros::ms(5060))]);
}
