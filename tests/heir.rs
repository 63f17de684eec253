//! What one balancer has learnt stands in its heir, but for backends that started anew since.
use notchspool::heir::Learnt;
use notchspool::logic::Balancer;
use notchspool::units::*;

struct Nobody;
impl Outlet for Nobody {
    fn post(&mut self, _: TxnRef, _: BackendId, _: Micros) {}
    fn cancel(&mut self, _: TxnRef, _: u32) {}
    fn decline(&mut self, _: TxnRef, _: Option<Micros>) {}
    fn reverse(&mut self, _: TxnRef) {}
    fn probe(&mut self, _: BackendId) {}
    fn watch(&mut self) {}
    fn wake_in(&mut self, _: Micros) {}
    fn count(&mut self, _: &'static str) {}
    fn note(&mut self, _: &str) {}
}

fn terms() -> Terms {
    let (kind, group) = (Kind::Repeatable, Group::All);
    Terms {
        agents: 1,
        zone: ZoneId(0),
        schemes: vec![Scheme { kind, group, window: Micros::ms(3_000), sla: Micros::ms(600), overdue: 1.0 }],
        max_postings: 3,
        drain_grace: Some(Micros::ms(2_000)),
        ask_within: Micros::ms(1_000),
        list_on_request: true,
        cold_from: 0.1,
        cold_span: Micros::ms(5_000),
        fall_multiple: 2.0,
        fall_span: Micros::ms(1_000),
        retry_after: None,
        may_probe: false,
        may_cancel: true,
        report_by_probe: false,
        probe_price: 0.0,
        tick: Micros::ms(5),
        ..Terms::default()
    }
}

fn list(balancer: &mut Balancer, started: [i64; 2]) {
    let entry = |n: usize| Entry {
        backend: BackendId(n as u32),
        started: Micros::ms(started[n]),
        size: 1.0,
        ..Entry::default()
    };
    balancer.listed(Refresh::Restored, Generation(1), &[entry(0), entry(1)], &mut Nobody);
}

/// Counts postings by backend; all are answered, those of the first backend late.
#[derive(Default)]
struct Switched {
    out: Vec<(TxnRef, BackendId)>,
    to: [usize; 2],
    declined: usize,
}
impl Outlet for Switched {
    fn post(&mut self, txn: TxnRef, to: BackendId, _: Micros) {
        self.to[to.0 as usize] += 1;
        self.out.push((txn, to));
    }
    fn cancel(&mut self, _: TxnRef, _: u32) {}
    fn decline(&mut self, _: TxnRef, _: Option<Micros>) {
        self.declined += 1;
    }
    fn reverse(&mut self, _: TxnRef) {}
    fn probe(&mut self, _: BackendId) {}
    fn watch(&mut self) {}
    fn wake_in(&mut self, _: Micros) {}
    fn note(&mut self, _: &str) {}
}

/// The first two seconds after a switch: a txn each 50 ms; the first backend answers none in time.
fn first_seconds(mut balancer: Balancer) -> Switched {
    let mut seen = Switched::default();
    for n in 0..40 {
        let now = Micros::ms(9_000 + 50 * n as i64);
        balancer.clock(now);
        balancer.wake(&mut seen);
        balancer.take(TxnRef(n), SchemeId(0), now + Micros::ms(2_000)).route(&mut seen);
        for (txn, to) in std::mem::take(&mut seen.out) {
            let (fate, took) = [(Fate::TimedOut, 2_000), (Fate::Settled, 10)][to.0 as usize];
            if let Some(txn) = balancer.txn(txn) {
                txn.returned(0, fate, Micros::ms(took), true, &mut seen);
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
        let mut balancer =
            Balancer::open(Terms { agents: 3, live_weights: true, ..terms() }, 8, Micros::ms(9_000));
        list(&mut balancer, [1, 1]);
        balancer
    };
    let mut elder = Balancer::open(terms(), 7, Micros::ms(9_000));
    list(&mut elder, [1, 1]);
    let mut learnt = Learnt { same: false, window: 50.0, saved: -3.0, stress: 0.9, ..elder.learnt() };
    learnt.backends[0].1.doubt = 0.9;
    learnt.backends[0].1.size = 4.0;
    let mut heir = moved();
    heir.inherit(learnt);
    let (after, cold) = (heir.learnt(), moved().learnt());
    assert_eq!((after.window, after.saved, after.stress), (cold.window, cold.saved, cold.stress));
    assert_eq!(after.backends[1].1.size, 4.0, "a size is its machine type's");
    let (heir, cold) = (first_seconds(heir), first_seconds(moved()));
    assert!(heir.to[0] < cold.to[0], "{:?} and at a cold start {:?}", heir.to, cold.to);
    assert_eq!(heir.to[0] + heir.to[1] + heir.declined, 40);
    assert!(heir.declined <= cold.declined, "{} and {}", heir.declined, cold.declined);
}

#[test]
fn an_heir_begins_where_the_elder_stands() {
    let mut elder = Balancer::open(terms(), 7, Micros::ms(9_000));
    list(&mut elder, [1, 1]);
    for round in 0..60 {
        let all = 8 * round..8 * round + 8;
        elder.clock(Micros::ms(9_000 + 50 * round as i64));
        elder.wake(&mut Nobody);
        for txn in all.clone().map(TxnRef) {
            elder.take(txn, SchemeId(0), Micros::ms(9_000_000)).route(&mut Nobody);
        }
        for txn in all.map(TxnRef) {
            if let Some(txn) = elder.txn(txn) {
                txn.returned(0, Fate::Settled, Micros::ms(10), false, &mut Nobody);
            }
        }
    }
    let learnt = elder.learnt();
    let mut heir = Balancer::open(terms(), 8, Micros::ms(9_000));
    list(&mut heir, [1, 8_000]);
    let fresh = heir.learnt();
    assert!(learnt.window > 2.0 * fresh.window, "{} and {}", learnt.window, fresh.window);
    heir.inherit(learnt.clone());
    let after = heir.learnt();
    assert_eq!((after.window, &after.took), (learnt.window, &learnt.took));
    assert_eq!(after.backends[0], learnt.backends[0]);
    assert_eq!(after.backends[1], fresh.backends[1], "it started anew: nothing counts");
    // Nothing learnt changes nothing.
    let mut other = Balancer::open(terms(), 8, Micros::ms(9_000));
    other.inherit(Learnt::default());
    assert!(other.learnt().window >= 1.0);
}
