//! A proxy of an earlier build at the other end: real sockets, a stand-in.
use notchspool_data_plane::request_body::RequestBody;
use notchspool_mesh_protocol::{
    Header, Hello, MAX_HEADERS, MIN_HEADERS, Payload, Request, Response, Verdict,
};

mod support;

use support::{StandInPeer, nowhere, peer, proxy, request, run_test};

/// Answers all requests of a proxy, and says that it takes so many headers; 0: nothing of that.
fn answer_all(mut other: StandInPeer, max_headers: u32) {
    other.send(Payload::Hello(Hello { max_headers, ..Hello::default() }));
    while let Some(payload) = other.next() {
        if let Payload::Request(Request { id, .. }) = payload {
            let verdict = Verdict::Answered.into();
            other.send(Payload::Response(Response { id, verdict, status: 200, ..Response::default() }));
        }
    }
}

fn with_headers(id: &str, count: usize) -> Request {
    let header = |nth: usize| Header { name: format!("x-{nth}"), value: "v".into() };
    Request { headers: (0..count).map(header).collect(), ..request(id, 0) }
}

/// More headers than it takes would end the connection, with all that is open on it.
#[test]
fn a_proxy_gets_no_more_headers_than_it_takes() {
    run_test(async {
        for (announced, most) in [(0, MIN_HEADERS), (MAX_HEADERS as u32, MAX_HEADERS)] {
            let (address, _other) = peer(move |other| answer_all(other, announced));
            let proxy = proxy(nowhere());
            let send = async |count: usize| {
                let request = with_headers(&format!("a{count}"), count);
                proxy.peers.send(&address, request, &RequestBody::default()).await.response.verdict()
            };
            assert_eq!(send(most + 1).await, Verdict::NotRun, "{announced}");
            assert_eq!(send(most).await, Verdict::Answered, "{announced}");
        }
    });
}
