//! What tests on real sockets share: a proxy without its listeners, and stand-ins for other processes. Who waits, waits for bytes, within a
//! generous bound.
#![allow(dead_code)] // each test file uses its own part
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use notchspool_data_plane::proxy::Proxy;
use notchspool_mesh_protocol::{
    ClaimReply, ClaimVote, Member, Payload, Request, VoterSet, Welcome, decode, encode,
};
use notchspool_runtime::node_settings::NodeSettings;

/// The backend of the tests.
pub const INSTANCE: &str = "i";
pub const SERVICE: &str = "s";

pub const BOUND: Duration = Duration::from_secs(20);

pub fn proxy(app: SocketAddr) -> Rc<Proxy> {
    let text = format!(
        r#"{{"node":"n","zone":"a","ipAddress":"127.0.0.1","portRange":[7620,7635],"listenAddresses":{{"inbound":"127.0.0.1:1",
        "outbound":"127.0.0.1:2","readiness":"127.0.0.1:3","controlPlane":"127.0.0.1:4"}},"seedNodes":["127.0.0.1:4"],"firstStart":true,
        "dataPath":null,"beatIntervalS":1.5,"bounds":["drainS=2","graceS=6","keyWindowS=60","retryRatio=0.2","retryWindowS=10",
        "retrySlack=60"],"limits":{{"memoryMb":64}},"appAddress":"{app}","service":"s"}}"#
    );
    Rc::new(Proxy::new(NodeSettings::parse(Path::new("x"), text.as_bytes()).unwrap(), 7))
}

pub fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new()
        .block_on(&runtime, async { tokio::time::timeout(BOUND, test).await.unwrap() });
}

pub fn request(attempt: &str, body: usize) -> Request {
    Request {
        method: "POST".into(),
        target: "/".into(),
        host: "h".into(),
        attempt_id: attempt.into(),
        body: Bytes::from(vec![0; body]),
        instance: "i".into(),
        headers: vec![notchspool_mesh_protocol::Header {
            name: "notchspool-attempt-id".into(),
            value: Bytes::from(attempt.to_string()),
        }],
        ..Request::default()
    }
}

/// A stand-in for another proxy: what comes from the one that is tested, and what is said to it.
pub struct StandInPeer {
    stream: TcpStream,
    got: BytesMut,
}

impl StandInPeer {
    pub fn new(stream: TcpStream) -> StandInPeer {
        stream.set_read_timeout(Some(BOUND)).unwrap();
        StandInPeer { stream, got: BytesMut::new() }
    }
    /// The next message; none where the connection ended.
    pub fn next(&mut self) -> Option<Payload> {
        loop {
            if let Some(what) = decode(&mut self.got).unwrap() {
                return Some(what);
            }
            let mut part = [0u8; 4096];
            match self.stream.read(&mut part) {
                Ok(n) if n > 0 => self.got.extend_from_slice(&part[..n]),
                _ => return None,
            }
        }
    }
    pub fn send(&mut self, what: Payload) {
        let mut out = BytesMut::new();
        encode(what, &mut out);
        self.stream.write_all(&out).unwrap();
    }
    pub fn next_request(&mut self) -> Request {
        loop {
            if let Payload::Request(request) = self.next().unwrap() {
                return request;
            }
        }
    }
    pub fn next_request_id(&mut self) -> u64 {
        self.next_request().id
    }
}

pub fn peer<T: Send + 'static>(
    then: impl FnOnce(StandInPeer) -> T + Send + 'static,
) -> (String, std::thread::JoinHandle<T>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    (at, std::thread::spawn(move || then(StandInPeer::new(listener.accept().unwrap().0))))
}

pub fn nowhere() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

/// The only voter, which grants every claim.
pub fn start_granting_voter() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let voters = vec![address.clone()];
    std::thread::spawn(move || {
        let mut proxy = StandInPeer::new(listener.accept().unwrap().0);
        let members =
            voters.iter().map(|address| Member { address: address.clone(), ..Member::default() }).collect();
        let voter_set = Some(VoterSet { number: 1, members });
        proxy.send(Payload::Welcome(Welcome { voters, voter_set, ..Welcome::default() }));
        while let Some(payload) = proxy.next() {
            if let Payload::Claim(claim) = payload {
                let vote = ClaimVote::Granted.into();
                let reply = ClaimReply {
                    id: claim.id,
                    vote,
                    ticket: claim.ticket,
                    set_number: 1,
                    ..ClaimReply::default()
                };
                proxy.send(Payload::ClaimReply(reply));
            }
        }
    });
    address
}
