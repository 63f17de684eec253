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
