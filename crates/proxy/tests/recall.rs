//! What a proxy that starts takes from the replicas about the backend beside it, before that backend beats again: the real program, stand-in
//! replicas, and a peer that sends requests for the backend whatever it has heard.
use std::time::Duration;

use notchspool_mesh_protocol::{Endpoint, EndpointState, Verdict};

mod support;

use support::peer::{INSTANCE, Peer, SERVICE, run};
use support::stand_in_replica::StandInReplica;
use support::{Proxy, ProxySite, start_backend};

/// Addresses of the test with this number: the proxy's machine and three replicas.
struct Addresses {
    proxy: String,
    replicas: Vec<String>,
}

impl Addresses {
    fn new(net: u8) -> Addresses {
        let replicas = (250..253).map(|host| format!("127.80.{net}.{host}")).collect();
        Addresses { proxy: format!("127.80.{net}.1"), replicas }
    }

    fn site(&self) -> ProxySite {
        ProxySite {
            ip: self.proxy.clone(),
            service: SERVICE.into(),
            instance: INSTANCE.into(),
            slots: 6,
            seed: format!("{}:8306", self.replicas[0]),
        }
    }

    /// The backend beside the proxy, as a replica may recall it.
    fn endpoint(&self, state: EndpointState) -> Endpoint {
        Endpoint {
            instance: INSTANCE.into(),
            service: SERVICE.into(),
            proxy: format!("{}:7620", self.proxy),
            zone: "a".into(),
            slots: 6,
            state: state.into(),
            address: format!("{}:8301", self.proxy),
            call_count: 7,
            ..Endpoint::default()
        }
    }
}

/// Waits until the proxy has reported its backend in this state.
async fn wait_for_report(replica: &StandInReplica, state: EndpointState) {
    let reported = async {
        while !replica.reported().iter().any(|endpoint| endpoint.state() == state) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(support::BOUND, reported).await.expect("the proxy reports its backend");
}

async fn connect(proxy: &Proxy) -> Peer {
    while tokio::net::TcpStream::connect(proxy.peer_address()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Peer::connect(proxy.peer_address()).await
}

/// Guards against: the next run of a proxy begins the drain of its backend anew, and lets in what was sent too late by one that has not heard.
#[test]
fn nothing_begins_at_a_backend_whose_drain_is_recalled() {
    run(async {
        let addresses = Addresses::new(1);
        let log = start_backend(&format!("{}:8301", addresses.proxy));
        let draining = addresses.endpoint(EndpointState::Draining);
        let replica = StandInReplica::start(&addresses.replicas, 0, Some(draining)).await;
        let proxy = Proxy::start(addresses.site());
        wait_for_report(&replica, EndpointState::Draining).await;
        let peer = connect(&proxy).await;
        assert!(peer.send(1, 10, 1));
        peer.wait_for_responses(1).await;
        assert_eq!(peer.ids(Verdict::OtherInstance).len(), 1, "refused, to go elsewhere");
        assert_eq!(log.lock().unwrap().begun, 0);
    });
}

/// Guards against: a heartbeat from before the drain comes late, at the next run of the proxy, and hides what the replicas recall.
#[test]
fn a_late_heartbeat_hides_no_recalled_drain() {
    run(async {
        let addresses = Addresses::new(2);
        let log = start_backend(&format!("{}:8301", addresses.proxy));
        let proxy = Proxy::start_with_backend(addresses.site());
        let draining = addresses.endpoint(EndpointState::Draining);
        let replica = StandInReplica::start(&addresses.replicas, 0, Some(draining)).await;
        wait_for_report(&replica, EndpointState::Draining).await;
        let peer = connect(&proxy).await;
        assert!(peer.send(1, 10, 1));
        peer.wait_for_responses(1).await;
        assert_eq!(peer.ids(Verdict::OtherInstance).len(), 1, "refused, to go elsewhere");
        assert_eq!(log.lock().unwrap().begun, 0);
    });
}
