//! What a proxy that starts takes from the replicas about the backend beside it, before that backend beats again: the real program, stand-in
//! replicas, and a peer that sends requests for the backend whatever it has heard.
use std::time::Duration;

use notchspool_mesh_protocol::{DepartedInstance, DepartureReport, Endpoint, EndpointState, Verdict};

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

/// Guards against: a proxy takes its backend for ready because one replica does, which was cut off while the others were told that it drains.
#[test]
fn a_backend_is_ready_again_once_a_majority_recalls_it_so() {
    run(async {
        let addresses = Addresses::new(3);
        let log = start_backend(&format!("{}:8301", addresses.proxy));
        let ready = Some(addresses.endpoint(EndpointState::Ready));
        let first = StandInReplica::start(&addresses.replicas, 0, ready.clone()).await;
        let _forgetful = StandInReplica::start(&addresses.replicas, 1, None).await;
        let proxy = Proxy::start(addresses.site());
        let peer = connect(&proxy).await;
        // Both are connected well before the last of these is answered.
        for id in 1..=20 {
            assert!(peer.send(id, 1, 1));
            peer.wait_for_responses(id as usize).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(peer.ids(Verdict::NotRun).len(), 20, "refused, to go elsewhere");
        assert_eq!((log.lock().unwrap().begun, first.reported().len()), (0, 0));
        let _third = StandInReplica::start(&addresses.replicas, 2, ready).await;
        wait_for_report(&first, EndpointState::Ready).await;
        assert!(peer.send(21, 1, 1));
        peer.wait_for_responses(21).await;
        assert_eq!(peer.ids(Verdict::Answered).len(), 1);
    });
}

/// Guards against: a backend that warms up is taken for warm once its proxy was restarted, and gets its whole part at once.
#[test]
fn a_recalled_backend_goes_on_warming_up() {
    run(async {
        let addresses = Addresses::new(6);
        let cold = Endpoint { warmup_ms: 20_000, ..addresses.endpoint(EndpointState::Ready) };
        let first = StandInReplica::start(&addresses.replicas, 0, Some(cold.clone())).await;
        let _second = StandInReplica::start(&addresses.replicas, 1, Some(cold)).await;
        let _proxy = Proxy::start(addresses.site());
        wait_for_report(&first, EndpointState::Ready).await;
        let warmup_ms = first.reported()[0].warmup_ms;
        assert!((10_000..=20_000).contains(&warmup_ms), "{warmup_ms} ms of warm-up are left");
    });
}

/// Guards against: a drain or a leave is acknowledged, its proxy loses power, and its next run finds nobody who knows of it.
#[test]
fn a_departure_is_acknowledged_once_a_majority_knows_of_it() {
    run(async {
        let addresses = Addresses::new(4);
        start_backend(&format!("{}:8301", addresses.proxy));
        let first = StandInReplica::start(&addresses.replicas, 0, None).await;
        let second = StandInReplica::start(&addresses.replicas, 1, None).await;
        second.set_answers(false);
        let proxy = Proxy::start_with_backend(addresses.site());
        wait_for_report(&second, EndpointState::Ready).await;
        assert!(!heartbeat(&proxy, "draining", 2).await, "one of three knows of it");
        // It drains all the same.
        wait_for_report(&first, EndpointState::Draining).await;
        second.set_answers(true);
        assert!(heartbeat(&proxy, "draining", 3).await, "two of three know of it");
        second.set_answers(false);
        assert!(heartbeat(&proxy, "draining", 4).await, "it has been confirmed");
        assert!(!leave(&proxy).await, "one of three knows of it");
        second.set_answers(true);
        assert!(leave(&proxy).await, "two of three know of it");
        assert_eq!(second.reported().last().map(Endpoint::state), Some(EndpointState::Left));
    });
}

/// Guards against: a proxy that has just started acknowledges the leave of a backend that it does not know, and takes it for ready as soon as it
/// is recalled.
#[test]
fn a_leave_counts_though_the_backend_is_recalled_after_it() {
    run(async {
        let addresses = Addresses::new(5);
        let log = start_backend(&format!("{}:8301", addresses.proxy));
        let proxy = Proxy::start(addresses.site());
        let peer = connect(&proxy).await;
        assert!(!leave(&proxy).await, "no replica knows of it");
        let ready = Some(addresses.endpoint(EndpointState::Ready));
        let first = StandInReplica::start(&addresses.replicas, 0, ready.clone()).await;
        let _second = StandInReplica::start(&addresses.replicas, 1, ready).await;
        wait_for_report(&first, EndpointState::Left).await;
        assert!(leave(&proxy).await);
        assert!(peer.send(1, 1, 1));
        peer.wait_for_responses(1).await;
        assert_eq!(peer.ids(Verdict::OtherInstance).len(), 1, "refused, to go elsewhere");
        assert_eq!(log.lock().unwrap().begun, 0);
    });
}

/// Guards against: a late heartbeat makes a backend ready again whose leave only the disks of the replicas know of
/// (`docs/incidents/departure-known-to-nobody.md`).
#[test]
fn a_late_heartbeat_brings_back_nobody_who_has_left_by_the_disk_of_a_replica() {
    run(async {
        let addresses = Addresses::new(7);
        let log = start_backend(&format!("{}:8301", addresses.proxy));
        let left = DepartedInstance { instance: INSTANCE.into(), state: EndpointState::Left.into() };
        let told = [vec![], vec![left]].map(|departed| DepartureReport { departed, complete: true });
        let [none, one] = told;
        let first = StandInReplica::start_telling(&addresses.replicas, 0, None, Some(none)).await;
        let proxy = Proxy::start(addresses.site());
        let peer = connect(&proxy).await;
        while !heartbeat(&proxy, "ready", 4).await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(peer.send(1, 1, 1));
        peer.wait_for_responses(1).await;
        assert_eq!(peer.ids(Verdict::NotRun).len(), 1, "one replica of three has told what it knows");
        let _second = StandInReplica::start_telling(&addresses.replicas, 1, None, Some(one)).await;
        // The next instance is believed, so the majority has told.
        let next = ProxySite { instance: "i-next".into(), ..proxy.site.clone() };
        assert!(tokio::task::spawn_blocking(move || next.send_heartbeat(1)).await.unwrap());
        wait_for_report(&first, EndpointState::Ready).await;
        assert!(
            first.reported().iter().all(|endpoint| endpoint.instance == "i-next"),
            "{:?}",
            first.reported()
        );
        assert_eq!(log.lock().unwrap().begun, 0);
    });
}

/// Whether a heartbeat is acknowledged; the stand-ins go on meanwhile.
async fn heartbeat(proxy: &Proxy, state: &'static str, call_count: u64) -> bool {
    let site = proxy.site.clone();
    let call = move || site.send_heartbeat_as(state, call_count);
    tokio::task::spawn_blocking(call).await.unwrap()
}

/// Whether the backend's leave is acknowledged.
async fn leave(proxy: &Proxy) -> bool {
    let site = proxy.site.clone();
    let path = format!("POST /notchspool/rpc?call=instances.leave&of={INSTANCE}");
    let call = move || site.http("8306", &path, "{}").as_deref() == Some("200");
    tokio::task::spawn_blocking(call).await.unwrap()
}
