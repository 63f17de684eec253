//! The end of a proxy on SIGTERM: the real program, a stand-in backend beside it, and a peer that has not heard that it ends and goes on
//! sending. Nothing that the backend has begun may be cut off.
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use notchspool_mesh_protocol::Verdict;

mod support;

use support::peer::{INSTANCE, Peer, SERVICE, run};
use support::{BOUND, Proxy, ProxySite, start_backend, start_replicas};

/// Starts a proxy whose backend has so many slots, and a replica.
fn start_proxy(ip: &str, slots: u32) -> Proxy {
    let replica = format!("{ip}0");
    let data = std::env::temp_dir().join(format!("notchspool-end-{ip}-{}", std::process::id()));
    start_replicas(std::slice::from_ref(&replica), &data);
    let seed = format!("{replica}:8306");
    let site = ProxySite { ip: ip.into(), service: SERVICE.into(), instance: INSTANCE.into(), slots, seed };
    Proxy::start_with_ready_backend(site)
}

#[test]
fn a_displaced_request_gives_back_no_slot() {
    run(async {
        let log = start_backend("127.77.3.1:8301");
        let proxy = start_proxy("127.77.3.1", 1);
        let peer = Peer::connect(proxy.peer_address()).await;
        // One slot; then the queue is filled.
        (1..=5).for_each(|id| assert!(peer.send(id, 400, 2)));
        // Each of these goes before one that is queued, which makes way.
        (6..=8).for_each(|id| assert!(peer.send(id, 400, 0)));
        peer.wait_for_responses(8).await;
        assert_eq!(peer.ids(Verdict::NotRun).len(), 3, "three make way");
        let log = log.lock().unwrap();
        assert_eq!((log.begun, log.most_running), (5, 1), "requests begun, and at once");
    });
}

#[test]
fn nothing_is_cut_off_at_the_end_while_requests_go_on_coming() {
    run(async {
        let log = start_backend("127.77.3.2:8301");
        let mut proxy = start_proxy("127.77.3.2", 6);
        let peer = Peer::connect(proxy.peer_address()).await;
        let began = Instant::now();
        let mut sent = 0;
        let mut is_terminated = false;
        while peer.sender.is_open() && began.elapsed() < BOUND {
            sent += 1;
            peer.send(sent, 60, 1);
            if !is_terminated && sent == 20 {
                proxy.signal("TERM");
                is_terminated = true;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        proxy.wait_for_end();
        // A run that was cut is noticed by its backend once its work is done.
        std::thread::sleep(Duration::from_millis(200));
        let log = log.lock().unwrap();
        assert_eq!(log.cut_off, Vec::<String>::new(), "cut off, of {} begun", log.begun);
        assert_eq!(peer.ids(Verdict::Answered).len(), log.begun, "answers, and requests begun");
        assert!(!peer.ids(Verdict::NotRun).is_empty(), "what comes late is refused");
    });
}

#[test]
fn a_request_at_the_backend_can_make_calls_while_the_proxy_ends() {
    run(async {
        let log = start_backend("127.77.3.3:8301");
        let mut proxy = start_proxy("127.77.3.3", 6);
        let peer = Peer::connect(proxy.peer_address()).await;
        proxy.signal("TERM");
        assert!(peer.send(1, 3_000, 1));
        // Clients are sent here for two seconds more. A call after that comes from the backend, whose run needs it.
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        let answer = proxy.site.http("8304", "GET /x", "");
        // It has no configuration, and says so.
        assert_eq!(answer.as_deref(), Some("503"), "a call of a running request");
        peer.wait_for_responses(1).await;
        assert_eq!(peer.ids(Verdict::Answered).len(), 1);
        proxy.wait_for_end();
        assert_eq!(log.lock().unwrap().cut_off, Vec::<String>::new());
    });
}

#[test]
fn a_large_response_that_may_not_be_complete_before_the_end_is_not_begun() {
    run(async {
        let log = start_backend("127.77.3.4:8301");
        let mut proxy = start_proxy("127.77.3.4", 6);
        let peer = Peer::connect(proxy.peer_address()).await;
        // From the first one on it is known that responses of this kind are large.
        assert!(peer.send_large(1));
        peer.wait_for_responses(1).await;
        proxy.signal("TERM");
        tokio::time::sleep(Duration::from_millis(300)).await;
        // Both have twenty seconds, and the proxy has six.
        assert!(peer.send_large(2) && peer.send(3, 0, 1));
        peer.wait_for_responses(3).await;
        assert_eq!(peer.ids(Verdict::NotRun), BTreeSet::from([2]), "refused, to go elsewhere at once");
        assert_eq!(peer.ids(Verdict::Answered), BTreeSet::from([1, 3]));
        peer.sender.finish();
        proxy.wait_for_end();
        assert_eq!(log.lock().unwrap().begun, 2);
    });
}
