//! A backend warms up for as long as it said, whoever is told of it when.
use notchspool::units::Micros;
use notchspool_endpoint_registry::registry::Registry;
use notchspool_mesh_protocol::{Endpoint, EndpointState};

const PROXY: &str = "127.0.0.1:7620";

/// Guards against: a proxy that starts is told of the warm-up that a backend had when it was reported, however long ago that was.
#[test]
fn a_warm_up_that_is_told_later_is_shorter() {
    let mut registry = Registry::default();
    registry.report(
        Micros::ms(100),
        Endpoint {
            instance: "i-1".into(),
            proxy: PROXY.into(),
            state: EndpointState::Ready.into(),
            warmup_ms: 4_000,
            ..Endpoint::default()
        },
    );
    for (at_ms, left_ms) in [(100, 4_000), (3_100, 1_000), (4_100, 0), (900_000, 0)] {
        let now = Micros::ms(at_ms);
        let told = registry.update_since(now, 0).endpoints;
        assert_eq!(told[0].warmup_ms, left_ms, "in an update at {at_ms} ms");
        let recalled = registry.endpoint_beside(now, PROXY).unwrap();
        assert_eq!(recalled.warmup_ms, left_ms, "recalled at {at_ms} ms");
    }
}
