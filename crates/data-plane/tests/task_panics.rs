//! A task that ends by a panic leaves nothing behind that waits for it. Panics are made by what a test hands in, or holds borrowed.
use std::net::{TcpListener, TcpStream};

use notchspool_data_plane::body_pipe::BodyPipe;
use notchspool_data_plane::request_body::{BodySource, RemoteBody};
use notchspool_data_plane::response_cutoff::ResponseCutoff;
use notchspool_endpoint_registry::heartbeats::{Event, Heartbeat};
use notchspool_mesh_protocol::{Payload, Request, Ticket, Verdict};

mod support;

use support::{INSTANCE, SERVICE, StandInPeer, nowhere, proxy, request, run_test, start_granting_voter};

fn heartbeat() -> Event {
    let slots = 2;
    Event::Heartbeat(Heartbeat {
        instance: INSTANCE.into(),
        service: SERVICE.into(),
        slots,
        ..Heartbeat::default()
    })
}

fn keyed_request(number: u64) -> Request {
    Request {
        id: number,
        key: "k".into(),
        ticket: Some(Ticket { boot_id: 7, number, attempt: 0 }),
        service: SERVICE.into(),
        time_left_ms: 10_000,
        ..request("a", 0)
    }
}

/// A body that panics as soon as the backend is to have it.
fn body_that_panics() -> BodySource {
    BodySource::Remote(RemoteBody::new(10, BodyPipe::default(), Box::new(|_| panic!("by the test"))))
}

/// Guards against a key that is answered "at work" after its only run has ended by a panic (`docs/incidents/key-held-by-a-panic.md`).
#[test]
fn an_operation_whose_task_panics_has_ended_for_its_repeats() {
    let backend = TcpListener::bind("127.0.0.1:0").unwrap();
    run_test(async move {
        let proxy = proxy(backend.local_addr().unwrap());
        proxy.backend.apply(heartbeat());
        proxy.control.keep_connected(start_granting_voter());
        while proxy.api.replicas.reach().reached == 0 {
            tokio::task::yield_now().await;
        }
        let serve =
            |number, body| proxy.inbound.clone().serve(keyed_request(number), body, ResponseCutoff::none());
        let first = serve(1, body_that_panics()).await.response;
        assert_eq!(first.verdict(), Verdict::MayHaveRun, "{first:?}");
        let repeat = serve(2, BodySource::inline("".into())).await.response;
        assert_eq!(repeat.verdict(), Verdict::ResponseLost, "{repeat:?}");
    });
}

/// Guards against a caller that waits for its whole time for a request whose task has panicked (`docs/incidents/key-held-by-a-panic.md`).
#[test]
#[expect(clippy::await_holding_refcell_ref, reason = "this makes the panic")]
fn a_request_of_another_proxy_whose_task_panics_is_answered() {
    run_test(async move {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let to = listener.local_addr().unwrap();
        let proxy = proxy(nowhere());
        proxy.backend.apply(Event::HistoryKnown);
        proxy.backend.apply(heartbeat());
        let peers = proxy.peers.clone();
        tokio::task::spawn_local(
            async move { peers.carry_incoming(listener.accept().await.unwrap().0).await },
        );
        let (ask, answered) = (std::sync::mpsc::channel(), tokio::sync::mpsc::unbounded_channel());
        let peer = std::thread::spawn(move || {
            let mut peer = StandInPeer::new(TcpStream::connect(to).unwrap());
            for id in ask.1 {
                peer.send(Payload::Request(Request {
                    id,
                    service: SERVICE.into(),
                    time_left_ms: 10_000,
                    ..request("a", 0)
                }));
                let response = std::iter::from_fn(|| peer.next()).find_map(|payload| match payload {
                    Payload::Response(response) => Some(response),
                    _ => None,
                });
                answered.0.send(response).unwrap();
            }
        });
        let mut answered = answered.1;
        // Whoever looks at it meanwhile panics.
        let admission = proxy.backend.admission();
        ask.0.send(1).unwrap();
        let response = answered.recv().await.unwrap().unwrap();
        assert_eq!((response.id, response.verdict()), (1, Verdict::MayHaveRun), "{response:?}");
        drop(admission);
        // The connection goes on.
        ask.0.send(2).unwrap();
        let response = answered.recv().await.unwrap().unwrap();
        assert_eq!(response.id, 2, "{response:?}");
        drop(ask.0);
        peer.join().unwrap();
    });
}
