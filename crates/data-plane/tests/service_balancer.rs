//! The design on the ordinary path of a caller: weights from what doors report, means for who is unreported, newcomers that rise, lists whose
//! versions only go up.
use std::collections::BTreeMap;

use notchspool::units::{AttemptOutcome, Micros, RequestId};
use notchspool_data_plane::retry_budget::RetryBudget;
use notchspool_data_plane::service_balancer::{AttemptEnd, BalancerAction, ServiceBalancer};
use notchspool_endpoint_registry::endpoint_list::{Changes, EndpointList};
use notchspool_mesh_config::route_config::{Route, RouteKind, WeightedService};
use notchspool_mesh_protocol::{Endpoint, EndpointState, EndpointUpdate};

fn endpoint(instance: &str, slots: u32, warmup_ms: u32, state: EndpointState, calls: u64) -> Endpoint {
    Endpoint {
        instance: instance.into(),
        service: "s".into(),
        proxy: format!("{instance}:1"),
        zone: "a".into(),
        slots,
        state: state.into(),
        warmup_ms,
        call_count: calls,
        ..Endpoint::default()
    }
}

fn route(kind: RouteKind) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind,
        timeout: Micros::ms(1_000),
        latency_target: Micros::ms(200),
        priority: 1,
        max_attempts: 2,
        traffic_split: vec![WeightedService { service: "s".into(), weight: 1.0 }],
    }
}

struct Caller {
    balancer: ServiceBalancer,
    now: Micros,
    next: u64,
}

impl Caller {
    fn with(endpoints: Vec<Endpoint>) -> Caller {
        let now = Micros::ms(10_000);
        let retry_budget = RetryBudget::new(0.2, 60.0, Micros::ms(10_000), 8, now);
        let mut balancer = ServiceBalancer::new("a", Micros::ms(2_000), 7, retry_budget, now);
        balancer.apply_changes(now, 1, &Changes { updated: endpoints, removed: Vec::new() });
        Caller { balancer, now, next: 0 }
    }
    /// Where so many requests go; each is settled at once, and `busy` says what each door reports, in thousandths.
    fn draws(&mut self, n: usize, busy: &[(&str, u32)]) -> BTreeMap<String, usize> {
        let mut found = BTreeMap::new();
        for _ in 0..n {
            self.next += 1;
            let request = RequestId(self.next);
            let route = route(RouteKind::Safe);
            let actions = self.balancer.begin(self.now, request, &route, self.now + Micros::ms(1_000));
            let Some(BalancerAction::Send(_, to)) = actions.first() else { continue };
            let name = self.balancer.endpoint(*to).map_or(String::new(), |s| s.instance.clone());
            let utilisation = busy.iter().find(|b| b.0 == name).map_or(0, |b| b.1 + 1);
            self.balancer.on_load_report(self.now, *to, utilisation);
            let end = AttemptEnd {
                attempt: 0,
                outcome: AttemptOutcome::Succeeded,
                took: Micros::ms(20),
                is_final: true,
            };
            self.balancer.on_attempt_end(self.now, request, end);
            *found.entry(name).or_insert(0) += 1;
        }
        found
    }
}

fn ready(instance: &str) -> Endpoint {
    endpoint(instance, 6, 0, EndpointState::Ready, 1)
}

#[test]
fn what_is_left_of_a_backend_decides_and_a_floor_keeps_the_full_one_in() {
    let mut caller = Caller::with(vec![ready("a"), ready("b"), ready("c")]);
    let busy = [("a", 1_000), ("b", 500), ("c", 0)];
    caller.draws(300, &busy);
    let found = caller.draws(3_000, &busy);
    let part = |name: &str| found[name] as f64 / 3_000.0;
    // 0.1 : 0.5 : 1
    assert!((part("a") - 0.0625).abs() < 0.03, "{found:?}");
    assert!((part("b") - 0.3125).abs() < 0.04, "{found:?}");
}

#[test]
fn without_reports_weights_follow_the_slots() {
    let mut caller = Caller::with(vec![
        endpoint("a", 2, 0, EndpointState::Ready, 1),
        endpoint("b", 6, 0, EndpointState::Ready, 1),
    ]);
    let found = caller.draws(4_000, &[]);
    assert!((found["b"] as f64 / 4_000.0 - 0.75).abs() < 0.04, "{found:?}");
}

#[test]
fn who_is_unreported_takes_the_mean() {
    let mut caller = Caller::with(vec![ready("a"), ready("b"), ready("c")]);
    let busy = [("a", 800), ("b", 0)];
    caller.draws(300, &busy);
    let found = caller.draws(3_000, &busy);
    // 0.2 : 1 : 0.6
    assert!((found["c"] as f64 / 3_000.0 - 0.333).abs() < 0.04, "{found:?}");
}

#[test]
fn a_newcomer_is_capped_at_the_mean_and_rises() {
    let cold = endpoint("c", 6, 3_500, EndpointState::Ready, 1);
    let mut caller = Caller::with(vec![ready("a"), ready("b"), cold]);
    let busy = [("a", 900), ("b", 900), ("c", 0)];
    caller.draws(300, &busy);
    let young = caller.draws(2_000, &busy)["c"];
    caller.now = caller.now + Micros::ms(2_000);
    caller.draws(300, &busy);
    let older = caller.draws(2_000, &busy)["c"];
    caller.now = caller.now + Micros::ms(3_000);
    caller.draws(300, &busy);
    let warm = caller.draws(2_000, &busy)["c"];
    // 0.1 : 0.1 : 1. Cold, it has the mean of the three at most (0.4, two thirds of all), less the younger it is; then its own part.
    assert!(young < older && older <= 1_380 && warm > 1_550, "{young} {older} {warm}");
}

#[test]
fn who_drains_or_is_away_gets_nothing_while_another_stands() {
    let mut caller = Caller::with(vec![ready("a"), ready("b"), ready("c")]);
    let gone =
        vec![endpoint("b", 6, 0, EndpointState::Draining, 2), endpoint("c", 6, 0, EndpointState::Away, 2)];
    caller.balancer.apply_changes(caller.now, 2, &Changes { updated: gone, removed: Vec::new() });
    assert_eq!(caller.draws(200, &[]).keys().collect::<Vec<_>>(), ["a"]);
    let back = vec![endpoint("c", 6, 0, EndpointState::Ready, 3)];
    caller.balancer.apply_changes(caller.now, 3, &Changes { updated: back, removed: Vec::new() });
    assert_eq!(caller.draws(200, &[]).keys().collect::<Vec<_>>(), ["a", "c"]);
}

#[test]
fn an_address_taken_over_by_another_instance_is_another_backend() {
    let mut caller = Caller::with(vec![ready("a"), ready("b")]);
    for n in 0..50 {
        let left = endpoint(&format!("x{n}"), 6, 0, EndpointState::Left, 9);
        let next = ready(&format!("x{}", n + 1));
        caller.balancer.apply_changes(
            caller.now,
            2 + n,
            &Changes { updated: vec![left, next], removed: Vec::new() },
        );
        let found = caller.draws(60, &[]);
        assert_eq!(
            found.keys().cloned().collect::<Vec<_>>(),
            ["a".to_string(), "b".into(), format!("x{}", n + 1)]
        );
    }
}

#[test]
fn an_older_list_changes_nothing_and_an_older_report_on_one_neither() {
    let mut list = EndpointList::default();
    let update =
        |version, complete, endpoints| EndpointUpdate { version, complete, endpoints, numbered_by: 1 };
    let take = list
        .apply(update(5, true, vec![ready("a"), endpoint("b", 6, 0, EndpointState::Draining, 7), ready("c")]))
        .unwrap();
    assert_eq!(take.updated.len(), 3);
    assert_eq!(list.apply(update(4, true, vec![])), None);
    // Another replica, a later number, but what it says of b is older.
    let take = list.apply(update(6, false, vec![endpoint("b", 6, 0, EndpointState::Ready, 3)])).unwrap();
    assert_eq!((take.updated.len(), list.get("b").map(Endpoint::state)), (0, Some(EndpointState::Draining)));
    let take = list.apply(update(7, true, vec![ready("a")])).unwrap();
    assert_eq!(
        take.removed.iter().map(|s| (s.instance.as_str(), s.state())).collect::<Vec<_>>(),
        [("b", EndpointState::Left), ("c", EndpointState::Missing)]
    );
    assert_eq!(list.version(), 7);
}
