//! A connection to another proxy that was told to go away, and replaced, while requests on it are open: real sockets, stand-ins.
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use notchspool_data_plane::proxy::Proxy;
use notchspool_data_plane::request_body::RequestBody;
use notchspool_mesh_protocol::{GoAway, Payload, Response, Verdict};

mod support;

use support::{StandInPeer, nowhere, proxy, request, run_test};

/// How often connections are looked after.
const TICK: Duration = Duration::from_millis(50);

/// A proxy that never answers the request on its first connection, and tells that to go away; it answers all on its second one. What it is
/// told on the first after that.
fn start_leaving_peer() -> (String, mpsc::Receiver<Payload>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        let mut first = StandInPeer::new(listener.accept().unwrap().0);
        first.next_request();
        first.send(Payload::GoAway(GoAway {}));
        let mut second = StandInPeer::new(listener.accept().unwrap().0);
        let id = second.next_request().id;
        let answered = Verdict::Answered.into();
        second.send(Payload::Response(Response {
            id,
            verdict: answered,
            status: 200,
            ..Response::default()
        }));
        while let Some(payload) = first.next() {
            let _ = tell.send(payload);
        }
    });
    (address, told)
}

/// Sends a request that is never answered on a connection, and one on the connection that takes its place.
async fn replace_link(proxy: &Rc<Proxy>, address: &str) -> tokio::task::JoinHandle<Verdict> {
    let send = |id: &'static str| {
        let (peers, address) = (proxy.peers.clone(), address.to_string());
        async move { peers.send(&address, request(id, 0), &RequestBody::default()).await.response.verdict() }
    };
    let first = tokio::task::spawn_local(send("first"));
    // Until the first connection has been told to go away, others go on it as well, and are not answered either.
    loop {
        if let Ok(verdict) = tokio::time::timeout(TICK, send("second")).await {
            assert_eq!(verdict, Verdict::Answered);
            return first;
        }
    }
}

/// Guards against a request whose client waits for all of its time, as nobody notices that its connection is silent
/// (`docs/incidents/replaced-link-unwatched.md`).
#[test]
fn a_replaced_connection_that_falls_silent_ends() {
    run_test(async {
        let proxy = proxy(nowhere());
        let (address, _told) = start_leaving_peer();
        let mut first = replace_link(&proxy, &address).await;
        let verdict = loop {
            proxy.peers.tick();
            match tokio::time::timeout(TICK, &mut first).await {
                Ok(verdict) => break verdict.unwrap(),
                Err(_) => continue,
            }
        };
        assert_eq!(verdict, Verdict::MayHaveRun);
    });
}

/// The requests on it are given back in time as well (`docs/incidents/queued-at-end.md`).
#[test]
fn a_replaced_connection_is_told_of_the_end_of_its_proxy() {
    run_test(async {
        let proxy = proxy(nowhere());
        let (address, told) = start_leaving_peer();
        let _first = replace_link(&proxy, &address).await;
        proxy.peers.announce_end(proxy.context.now());
        let is_told = loop {
            tokio::time::sleep(TICK).await;
            match told.try_recv() {
                Ok(Payload::CallerShutdown(_)) => break true,
                Ok(_) | Err(mpsc::TryRecvError::Empty) => continue,
                Err(mpsc::TryRecvError::Disconnected) => break false,
            }
        };
        assert!(is_told);
    });
}
