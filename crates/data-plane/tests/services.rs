//! The balancers of the services that are called from here.
use std::path::Path;
use std::rc::Rc;

use notchspool::units::{AttemptOutcome, Micros, RequestId};
use notchspool_data_plane::context::Context;
use notchspool_data_plane::service_balancer::{AttemptEnd, BalancerAction};
use notchspool_data_plane::services::Services;
use notchspool_endpoint_registry::endpoint_list::Changes;
use notchspool_mesh_config::route_config::{Route, RouteKind, WeightedService};
use notchspool_mesh_protocol::{Endpoint, EndpointState};
use notchspool_runtime::node_settings::NodeSettings;

const SETTINGS: &str = r#"{"node":"n","zone":"a","ipAddress":"127.0.0.1","portRange":[7620,7635],"listenAddresses":{},"seedNodes":[],
    "firstStart":true,"dataPath":null,"beatIntervalS":1.5,"bounds":["drainS=2","graceS=6","retryRatio=0.2","retryWindowS=10","retrySlack=60"],
    "limits":{"memoryMb":64},"appAddress":"127.0.0.1:8301","service":"s"}"#;
const OPEN: RequestId = RequestId(1);

fn services() -> Services {
    let settings = NodeSettings::parse(Path::new("settings"), SETTINGS.as_bytes()).unwrap();
    Services::new(Rc::new(Context::new(settings, 1)))
}

fn named(services: &Services) -> Vec<String> {
    let figures = services.figures();
    let named = figures.iter().filter_map(|line| line.strip_prefix("requests_open ")?.split(' ').next());
    named.map(str::to_string).collect()
}

/// A request at the only backend of a service.
fn begin_request(services: &Services, service: &str) {
    let endpoint = Endpoint {
        instance: "i".into(),
        service: service.into(),
        proxy: "i:1".into(),
        zone: "a".into(),
        slots: 4,
        state: EndpointState::Ready.into(),
        ..Endpoint::default()
    };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Safe,
        timeout: Micros::ms(1_000),
        latency_target: Micros::ms(200),
        priority: 1,
        max_attempts: 2,
        traffic_split: vec![WeightedService { service: service.into(), weight: 1.0 }],
    };
    let now = Micros::ms(10);
    let actions = services.with(service, |balancer| {
        balancer.apply_changes(now, 1, &Changes { updated: vec![endpoint], removed: Vec::new() });
        balancer.begin(now, OPEN, &route, now + Micros::ms(900))
    });
    assert!(matches!(actions[..], [BalancerAction::Send(OPEN, _)]), "{actions:?}");
}

/// Guards against a table that grows by every service that any configuration has ever named.
#[test]
fn services_that_are_named_no_more_are_forgotten_once_their_requests_are_done() {
    let services = services();
    for version in 0..50 {
        services.with(&format!("s{version}"), |_| ());
    }
    begin_request(&services, "open");
    services.forget_unnamed(|service| service == "s7");
    assert_eq!(named(&services), ["open", "s7"]);
    let end =
        AttemptEnd { attempt: 0, outcome: AttemptOutcome::Succeeded, took: Micros::ms(5), is_final: true };
    services.with("open", |balancer| balancer.on_attempt_end(Micros::ms(20), OPEN, end));
    services.forget_unnamed(|service| service == "s7");
    assert_eq!(named(&services), ["s7"]);
}
