//! What one balancer has learnt stands in its heir, but for backends that started anew since.
use notchspool::balancer::Balancer;
use notchspool::state_transfer::LearnedState;
use notchspool::units::*;

struct Nobody;
impl Effects for Nobody {
    fn send(&mut self, _: RequestId, _: BackendId, _: Micros) {}
    fn cancel(&mut self, _: RequestId, _: u32) {}
    fn reject(&mut self, _: RequestId, _: Option<Micros>) {}
    fn fail(&mut self, _: RequestId) {}
    fn probe(&mut self, _: BackendId) {}
    fn watch(&mut self) {}
    fn wake_after(&mut self, _: Micros) {}
    fn increment(&mut self, _: &'static str) {}
    fn log(&mut self, _: &str) {}
}

fn policy() -> Policy {
    let (kind, group) = (RequestKind::Idempotent, DeduplicationScope::All);
    Policy {
        agent_count: 1,
        zone: ZoneId(0),
        classes: vec![RequestClass {
            kind,
            scope: group,
            deduplication_window: Micros::ms(3_000),
            latency_target: Micros::ms(600),
            late_value: 1.0,
        }],
        max_attempts: 3,
        drain_grace: Some(Micros::ms(2_000)),
        watch_within: Micros::ms(1_000),
        list_on_request: true,
        warmup_floor: 0.1,
        warmup_span: Micros::ms(5_000),
        warmup_multiple: 2.0,
        warmup_window: Micros::ms(1_000),
        retry_after: None,
        may_probe: false,
        may_cancel: true,
        report_by_probe: false,
        probe_price: 0.0,
        tick: Micros::ms(5),
        ..Policy::default()
    }
}

fn list(balancer: &mut Balancer, started: [i64; 2]) {
    let entry = |n: usize| ListEntry {
        backend: BackendId(n as u32),
        started: Micros::ms(started[n]),
        size: 1.0,
        ..ListEntry::default()
    };
    balancer.on_list(Refresh::Restored, Generation(1), &[entry(0), entry(1)], &mut Nobody);
}

/// Counts postings by backend; all are answered, those of the first backend late.
#[derive(Default)]
struct Switched {
    out: Vec<(RequestId, BackendId)>,
    to: [usize; 2],
    declined: usize,
}
impl Effects for Switched {
    fn send(&mut self, request: RequestId, to: BackendId, _: Micros) {
        self.to[to.0 as usize] += 1;
        self.out.push((request, to));
    }
    fn cancel(&mut self, _: RequestId, _: u32) {}
    fn reject(&mut self, _: RequestId, _: Option<Micros>) {
        self.declined += 1;
    }
    fn fail(&mut self, _: RequestId) {}
    fn probe(&mut self, _: BackendId) {}
    fn watch(&mut self) {}
    fn wake_after(&mut self, _: Micros) {}
    fn log(&mut self, _: &str) {}
}

/// The first two seconds after a switch: a txn each 50 ms; the first backend answers none in time.
fn first_seconds(mut balancer: Balancer) -> Switched {
    let mut seen = Switched::default();
    for n in 0..40 {
        let now = Micros::ms(9_000 + 50 * n as i64);
        balancer.set_clock(now);
        balancer.on_wake(&mut seen);
        balancer.begin(RequestId(n), ClassId(0), now + Micros::ms(2_000)).route(&mut seen);
        for (request, to) in std::mem::take(&mut seen.out) {
            let (outcome, took) =
                [(AttemptOutcome::TimedOut, 2_000), (AttemptOutcome::Succeeded, 10)][to.0 as usize];
            if let Some(request) = balancer.request(request) {
                request.on_attempt_end(0, outcome, Micros::ms(took), true, &mut seen);
            }
        }
    }
    seen
}

/// Across a move to a fleet of another shape: what was learnt of a backend itself spares the first seconds its failures, and
/// windows begin as at a cold start.
#[test]
fn after_a_move_doubts_stay_and_windows_begin_afresh() {
    let moved = || {
        let mut balancer = Balancer::new(
            Policy { agent_count: 3, weights_follow_load: true, ..policy() },
            8,
            Micros::ms(9_000),
        );
        list(&mut balancer, [1, 1]);
        balancer
    };
    let mut predecessor = Balancer::new(policy(), 7, Micros::ms(9_000));
    list(&mut predecessor, [1, 1]);
    let mut learned = LearnedState {
        same_shape: false,
        window: 50.0,
        saved: -3.0,
        pressure: 0.9,
        ..predecessor.learned_state()
    };
    learned.backends[0].1.failure_score = 0.9;
    learned.backends[0].1.size = 4.0;
    let mut successor = moved();
    successor.adopt(learned);
    let (after, cold) = (successor.learned_state(), moved().learned_state());
    assert_eq!((after.window, after.saved, after.pressure), (cold.window, cold.saved, cold.pressure));
    assert_eq!(after.backends[1].1.size, 4.0, "a size is its machine type's");
    let (successor, cold) = (first_seconds(successor), first_seconds(moved()));
    assert!(successor.to[0] < cold.to[0], "{:?} and at a cold start {:?}", successor.to, cold.to);
    assert_eq!(successor.to[0] + successor.to[1] + successor.declined, 40);
    assert!(successor.declined <= cold.declined, "{} and {}", successor.declined, cold.declined);
}

#[test]
fn an_heir_begins_where_the_elder_stands() {
    let mut predecessor = Balancer::new(policy(), 7, Micros::ms(9_000));
    list(&mut predecessor, [1, 1]);
    for round in 0..60 {
        let all = 8 * round..8 * round + 8;
        predecessor.set_clock(Micros::ms(9_000 + 50 * round as i64));
        predecessor.on_wake(&mut Nobody);
        for request in all.clone().map(RequestId) {
            predecessor.begin(request, ClassId(0), Micros::ms(9_000_000)).route(&mut Nobody);
        }
        for request in all.map(RequestId) {
            if let Some(request) = predecessor.request(request) {
                request.on_attempt_end(0, AttemptOutcome::Succeeded, Micros::ms(10), false, &mut Nobody);
            }
        }
    }
    let learned = predecessor.learned_state();
    let mut successor = Balancer::new(policy(), 8, Micros::ms(9_000));
    list(&mut successor, [1, 8_000]);
    let fresh = successor.learned_state();
    assert!(learned.window > 2.0 * fresh.window, "{} and {}", learned.window, fresh.window);
    successor.adopt(learned.clone());
    let after = successor.learned_state();
    assert_eq!((after.window, &after.latencies), (learned.window, &learned.latencies));
    assert_eq!(after.backends[0], learned.backends[0]);
    assert_eq!(after.backends[1], fresh.backends[1], "it started anew: nothing counts");
    // Nothing learnt changes nothing.
    let mut other = Balancer::new(policy(), 8, Micros::ms(9_000));
    other.adopt(LearnedState::default());
    assert!(other.learned_state().window >= 1.0);
}
