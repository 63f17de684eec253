//! What may begin at a backend, and in which order.
use notchspool::units::Micros;
use notchspool_data_plane::admission::{Admission, AdmissionQueue, Candidate, Decision, QueueTicket};
use notchspool_data_plane::work_kind::WorkKind;

fn busy_queue(slots: u32) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(Micros(1));
    queue.set_slots(slots);
    for _ in 0..slots {
        let admission = queue.admit(Micros(1), candidate(1, 800, 0));
        assert_eq!(admission.decision, Decision::Admitted);
    }
    queue
}
fn kind_of(priority: u32, latency_target_ms: u32) -> WorkKind {
    WorkKind { priority, latency_target_ms }
}

fn candidate(priority: u32, target: i64, now: i64) -> Candidate {
    let at = |ms: i64| Micros::ms(now + ms);
    Candidate {
        call_depth: 0,
        priority,
        kind: kind_of(priority, target as u32),
        target_at: at(target),
        deadline: at(3 * target),
    }
}
fn ticket(admission: Admission) -> QueueTicket {
    match admission.decision {
        Decision::Queued(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn priority_goes_first_then_the_nearest_target_then_what_is_late() {
    let mut queue = busy_queue(2);
    let now = Micros::ms(1);
    let order = ticket(queue.admit(now, candidate(1, 800, 1)));
    let check = ticket(queue.admit(now, candidate(1, 200, 1)));
    let first = ticket(queue.admit(now, candidate(0, 900, 1)));
    let ended = |queue: &mut AdmissionQueue| queue.release(now, kind_of(1, 800), None);
    assert_eq!(
        [ended(&mut queue), ended(&mut queue), ended(&mut queue)],
        [Some(first), Some(check), Some(order)]
    );
}

#[test]
fn a_full_queue_gives_up_its_last_for_one_that_goes_before() {
    let mut queue = busy_queue(1);
    let now = Micros::ms(1);
    let waits: Vec<u64> = (0..4).map(|_| ticket(queue.admit(now, candidate(2, 800, 1)))).collect();
    let admission = queue.admit(now, candidate(2, 800, 1));
    assert!(matches!(admission, Admission { decision: Decision::Rejected(_), displaced: None }));
    let admission = queue.admit(now, candidate(0, 800, 1));
    assert!(matches!(admission.decision, Decision::Queued(_)));
    assert_eq!(admission.displaced, waits.last().copied());
}

#[test]
fn who_would_be_late_by_waiting_is_turned_away_at_once() {
    let (mut queue, now) = (busy_queue(1), Micros::ms(300));
    queue.release(now, kind_of(1, 2_000), Some(now));
    assert_eq!(queue.admit(now, candidate(1, 2_000, 300)).decision, Decision::Admitted);
    // Work takes 300 ms, one place at a time: the third would begin after 900 ms, and a few such would miss their target.
    ticket(queue.admit(now, candidate(1, 2_000, 300)));
    ticket(queue.admit(now, candidate(1, 2_000, 300)));
    assert!(matches!(queue.admit(now, candidate(1, 2_000, 300)).decision, Decision::Rejected(_)));
    // But one of higher priority goes before them.
    ticket(queue.admit(now, candidate(0, 2_000, 300)));
}

#[test]
fn new_work_never_passes_the_slots_and_calls_no_more_than_two_over() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let (mut queue, mut inside, mut now) = (AdmissionQueue::new(Micros(1)), 0usize, 1);
        queue.set_slots(3);
        for (kind, what) in steps {
            now += i64::from(what);
            if kind % 3 > 0 {
                let call_depth = u32::from(kind % 5 == 0);
                let candidate = Candidate { call_depth, ..candidate(u32::from(what % 3), 200, now) };
                let before = inside;
                let admission = queue.admit(Micros::ms(now), candidate);
                inside += usize::from(admission.decision == Decision::Admitted);
                if call_depth == 0 && before >= 3 && inside > before {
                    return false;
                }
            } else if inside > 0 {
                inside -= 1;
                inside += usize::from(
                    queue.release(Micros::ms(now), kind_of(1, 200), Some(Micros::ms(40))).is_some(),
                );
            }
            if inside > 5 || queue.in_flight() != inside || queue.queued() > 12 {
                return false;
            }
        }
        true
    }
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(200, 7))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn calls_go_before_new_work_of_any_priority_the_deepest_first() {
    let mut queue = busy_queue(2);
    let now = Micros::ms(1);
    let call = |call_depth, priority| Candidate { call_depth, ..candidate(priority, 800, 1) };
    // Two calls begin beside the slots, before any new work that is queued.
    let patient = ticket(queue.admit(now, call(0, 0)));
    for _ in 0..2 {
        assert_eq!(queue.admit(now, call(1, 2)).decision, Decision::Admitted);
    }
    let urgent = ticket(queue.admit(now, call(0, 0)));
    let of_order = ticket(queue.admit(now, call(1, 1)));
    let of_lookup = ticket(queue.admit(now, call(1, 2)));
    let deep = ticket(queue.admit(now, call(2, 2)));
    let order: Vec<_> = (0..7).filter_map(|_| queue.release(now, kind_of(1, 800), None)).collect();
    assert_eq!(order, [deep, of_order, of_lookup, patient, urgent]);
}

#[test]
fn a_call_waits_where_a_request_of_the_same_target_is_turned_away() {
    let (mut queue, now) = (busy_queue(1), Micros::ms(300));
    queue.release(now, kind_of(1, 300), Some(Micros::ms(300)));
    assert_eq!(queue.admit(now, candidate(1, 300, 300)).decision, Decision::Admitted);
    let deadline = now + Micros::ms(600);
    let short = Candidate {
        call_depth: 0,
        priority: 1,
        kind: kind_of(1, 200),
        target_at: now + Micros::ms(200),
        deadline,
    };
    assert!(matches!(queue.admit(now, short).decision, Decision::Rejected(_)));
    let call = Candidate { call_depth: 1, ..short };
    for _ in 0..2 {
        assert_eq!(queue.admit(now, call).decision, Decision::Admitted);
    }
    assert!(matches!(queue.admit(now, call).decision, Decision::Queued(_)));
    // But not for longer than its time allows.
    let hurried = Candidate { call_depth: 1, deadline: now + Micros::ms(300), ..short };
    assert!(matches!(queue.admit(now, hurried).decision, Decision::Rejected(_)));
}

/// Two kinds of these latency targets, each with as much work as the backend bears twice over; the part of each that begins.
fn begun_parts(seed: u64, targets_ms: [i64; 2]) -> [f64; 2] {
    const WORK_MS: i64 = 40;
    const LAST_MS: i64 = 60_000;
    let mut chance = seed.wrapping_mul(6_364_136_223_846_793_005) | 1;
    let mut below = |bound: u64| {
        chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (chance >> 33) % bound
    };
    let kinds = [candidate(0, targets_ms[0], 0), candidate(3, targets_ms[1], 0)];
    let mut queue = AdmissionQueue::new(Micros(1));
    queue.set_slots(2);
    let (mut offered, mut begun) = ([0f64; 2], [0f64; 2]);
    let mut at_work: Vec<(i64, usize)> = Vec::new();
    let mut waiting: Vec<(QueueTicket, usize)> = Vec::new();
    for now_ms in 1..LAST_MS {
        let now = Micros::ms(now_ms);
        let done: Vec<(i64, usize)> = at_work.extract_if(.., |(ends, _)| *ends <= now_ms).collect();
        for (_, kind) in done {
            let mut next = queue.release(now, kinds[kind].kind, Some(Micros::ms(WORK_MS)));
            while let Some(ticket) = next {
                let at = waiting.iter().position(|(waits, _)| *waits == ticket).expect("it waits");
                let (_, kind) = waiting.swap_remove(at);
                begun[kind] += 1.0;
                at_work.push((now_ms + WORK_MS, kind));
                next = queue.admit_next(now);
            }
        }
        for (kind, row) in kinds.iter().enumerate() {
            // Two slots of 40 ms bear one in 20 ms; of each kind comes one in 10 ms.
            if below(10) != 0 {
                continue;
            }
            offered[kind] += 1.0;
            let (target_at, deadline) = (now + row.target_at, now + row.deadline);
            let admission = queue.admit(now, Candidate { target_at, deadline, ..*row });
            waiting.retain(|(ticket, _)| Some(*ticket) != admission.displaced);
            match admission.decision {
                Decision::Admitted => {
                    begun[kind] += 1.0;
                    at_work.push((now_ms + WORK_MS, kind));
                }
                Decision::Queued(ticket) => waiting.push((ticket, kind)),
                Decision::Rejected(_) => {}
            }
        }
    }
    [begun[0] / offered[0], begun[1] / offered[1]]
}

#[test]
fn where_there_is_less_room_than_work_the_last_kind_keeps_a_quarter_of_the_rate_of_all() {
    // By their latency targets alone the kinds of the second pair are the same.
    for targets_ms in [[400, 800], [800, 800]] {
        for seed in 0..20 {
            let [first, last] = begun_parts(seed, targets_ms);
            let all = f64::midpoint(first, last);
            assert!(
                last >= all / 4.0,
                "seed {seed}, {targets_ms:?} ms: {last:.3} of the last kind begin, {all:.3} of all"
            );
            assert!(
                first > last,
                "seed {seed}, {targets_ms:?} ms: priority decides the order, {first:.3} and {last:.3}"
            );
        }
    }
}

#[test]
fn work_is_likely_to_take_somewhat_longer_than_usual() {
    let mut queue = busy_queue(2);
    let (measured, other) = (kind_of(1, 800), kind_of(2, 100));
    assert_eq!(queue.likely_work(measured), Micros(0), "nothing was measured");
    queue.release(Micros::ms(100), measured, Some(Micros::ms(100)));
    for kind in [measured, other] {
        assert_eq!(queue.likely_work(kind), Micros::ms(130), "{kind:?}");
    }
}
