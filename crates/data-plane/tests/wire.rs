//! The decisions on real sockets: stand-in backends and stand-in proxies on loopback. Nothing sleeps: who waits, waits for bytes, within a
//! generous bound.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use notchspool::units::Micros;
use notchspool_data_plane::proxy::Proxy;
use notchspool_mesh_protocol::{
    BodyChunk, Cancel, ClaimReply, Member, Payload, Request, Response, Verdict, VoterSet, Welcome, decode,
    encode,
};
use notchspool_runtime::frame_connection::is_quiet;
use notchspool_runtime::node_settings::NodeSettings;

const BOUND: Duration = Duration::from_secs(20);

fn proxy(app: SocketAddr) -> Rc<Proxy> {
    let text = format!(
        r#"{{"node":"n","zone":"a","ipAddress":"127.0.0.1","portRange":[7620,7635],"listenAddresses":{{"inbound":"127.0.0.1:1",
        "outbound":"127.0.0.1:2","readiness":"127.0.0.1:3","controlPlane":"127.0.0.1:4"}},"seedNodes":["127.0.0.1:4"],"firstStart":true,
        "dataPath":null,"beatIntervalS":1.5,"bounds":["drainS=2","graceS=6","keyWindowS=60","retryRatio=0.2","retryWindowS=10",
        "retrySlack=60"],"limits":{{"memoryMb":64}},"appAddress":"{app}","service":"s"}}"#
    );
    Rc::new(Proxy::new(NodeSettings::parse(Path::new("x"), text.as_bytes()).unwrap(), 7))
}

fn plays<F: Future<Output = ()>>(run: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new()
        .block_on(&runtime, async { tokio::time::timeout(BOUND, run).await.unwrap() });
}

fn ask(attempt: &str, body: usize) -> Request {
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

/// A backend that answers the nth request on its nth connection with these; and a word for each connection that it took. After its last
/// answer it closes, or stays open and reads no more.
fn backend(conns: Vec<Vec<String>>, closes: bool) -> (SocketAddr, std::sync::mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (took, taken) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for (mut stream, answers) in listener.incoming().flatten().zip(conns) {
            let took = took.clone();
            std::thread::spawn(move || {
                took.send(()).ok();
                for answer in answers {
                    let (mut got, mut part) = (Vec::new(), [0u8; 4096]);
                    while !got.windows(4).any(|w| w == b"\r\n\r\n") {
                        match stream.read(&mut part) {
                            Ok(n) if n > 0 => got.extend_from_slice(&part[..n]),
                            _ => return,
                        }
                    }
                    stream.write_all(answer.as_bytes()).ok();
                }
                while !closes && stream.peek(&mut [0u8; 1]).is_ok_and(|n| n > 0) {
                    std::thread::yield_now();
                }
            });
        }
    });
    (at, taken)
}

fn answer(status: u16, id: &str, more: &str) -> String {
    let id = if id.is_empty() { String::new() } else { format!("notchspool-attempt-id: {id}\r\n") };
    format!("HTTP/1.1 {status} X\r\n{id}{more}content-length: 2\r\n\r\nok")
}
const SEAL: &str = "notchspool-server-seal: z\r\n";
const NOT_RUN: &str = "notchspool-not-run: 1\r\n";

async fn send(proxy: &Rc<Proxy>, request: Request) -> Verdict {
    let deadline = proxy.context.now() + Micros::ms(15_000);
    proxy.client.send(&request, deadline).await.response.verdict()
}

#[test]
fn what_came_since_is_seen_before_a_connection_is_used_again() {
    plays(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut other, _) = listener.accept().unwrap();
        assert!(is_quiet(&stream));
        // The runtime is not asked meanwhile, as right after a standstill.
        other.write_all(b"x").unwrap();
        let began = Instant::now();
        while is_quiet(&stream) {
            assert!(began.elapsed() < BOUND);
            std::thread::yield_now();
        }
    });
}

#[test]
fn an_answer_that_comes_before_the_body_is_sent_is_read_at_once() {
    plays(async {
        let (at, _) = backend(vec![vec![answer(503, "a", NOT_RUN)]], false);
        let proxy = proxy(at);
        let began = proxy.context.now();
        assert_eq!(send(&proxy, ask("a", 32 << 20)).await, Verdict::NotRun);
        assert!(proxy.context.now() - began < Micros::ms(10_000), "it was held up till the end of its time");
    });
}

#[test]
fn a_connection_that_brought_a_strangers_answer_is_not_used_again() {
    plays(async {
        let stray = answer(200, "z", SEAL) + &answer(200, "a", SEAL);
        let (at, taken) =
            backend(vec![vec![stray, answer(200, "b", SEAL)], vec![answer(200, "b", SEAL)]], false);
        let proxy = proxy(at);
        assert_eq!(send(&proxy, ask("a", 0)).await, Verdict::Answered);
        assert_eq!(send(&proxy, ask("b", 0)).await, Verdict::Answered);
        assert_eq!(taken.iter().take(2).count(), 2);
    });
}

#[test]
fn a_connection_whose_answers_were_its_own_is_used_again() {
    plays(async {
        let (at, taken) = backend(vec![vec![answer(200, "a", SEAL), answer(200, "b", SEAL)]], false);
        let proxy = proxy(at);
        assert_eq!(send(&proxy, ask("a", 0)).await, Verdict::Answered);
        assert_eq!(send(&proxy, ask("b", 0)).await, Verdict::Answered);
        assert!(taken.try_recv().is_ok() && taken.try_recv().is_err());
    });
}

#[test]
fn a_refusal_without_an_id_is_believed_on_a_new_connection_only() {
    plays(async {
        let (at, _) = backend(vec![vec![answer(503, "", NOT_RUN)]], true);
        assert_eq!(send(&proxy(at), ask("a", 0)).await, Verdict::NotRun);
        let (at, _) = backend(vec![vec![answer(200, "a", SEAL), answer(503, "", NOT_RUN)]], true);
        let proxy = proxy(at);
        assert_eq!(send(&proxy, ask("a", 0)).await, Verdict::Answered);
        assert_eq!(send(&proxy, ask("b", 0)).await, Verdict::MayHaveRun);
    });
}

#[test]
fn a_promise_that_the_backend_does_not_make_is_not_passed_on() {
    plays(async {
        for status in [503, 429, 408] {
            let (at, _) = backend(vec![vec![answer(status, "a", "")]], true);
            assert_eq!(send(&proxy(at), ask("a", 0)).await, Verdict::MayHaveRun, "{status}");
        }
    });
}

/// A stand-in for another proxy: what comes from the one that is tested, and what is said to it.
struct Other {
    stream: TcpStream,
    got: BytesMut,
}

impl Other {
    fn of(stream: TcpStream) -> Other {
        stream.set_read_timeout(Some(BOUND)).unwrap();
        Other { stream, got: BytesMut::new() }
    }
    /// The next message; none where the connection ended.
    fn next(&mut self) -> Option<Payload> {
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
    fn say(&mut self, what: Payload) {
        let mut out = BytesMut::new();
        encode(what, &mut out);
        self.stream.write_all(&out).unwrap();
    }
    fn requested(&mut self) -> u64 {
        loop {
            if let Payload::Request(ask) = self.next().unwrap() {
                return ask.id;
            }
        }
    }
}

fn peer(then: impl FnOnce(Other) + Send + 'static) -> (String, std::thread::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    (at, std::thread::spawn(move || then(Other::of(listener.accept().unwrap().0))))
}

fn nowhere() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

#[test]
fn an_answer_to_no_question_ends_the_link_and_is_given_to_nobody() {
    plays(async {
        let (at, hand) = peer(|mut other| {
            let id = other.requested();
            other.say(Payload::Response(Response { id: id + 1, status: 200, ..Response::default() }));
            while other.next().is_some() {}
        });
        let proxy = proxy(nowhere());
        let response = proxy.peers.send(&at, Request { id: proxy.context.next_id(), ..ask("a", 0) }).await;
        assert_eq!((response.response.verdict(), response.response.status), (Verdict::MayHaveRun, 0));
        tokio::task::spawn_blocking(move || hand.join().unwrap()).await.unwrap();
    });
}

#[test]
fn the_rest_of_an_answer_is_given_up_as_soon_as_nobody_wants_it() {
    plays(async {
        let (at, hand) = peer(|mut other| {
            let id = other.requested();
            let verdict = Verdict::Answered.into();
            other.say(Payload::Response(Response {
                id,
                verdict,
                more: true,
                length: 90_000,
                ..Response::default()
            }));
            other.say(Payload::BodyChunk(BodyChunk {
                id,
                bytes: Bytes::from_static(b"some"),
                ..BodyChunk::default()
            }));
            // No more is sent before some is taken, and nobody takes any.
            while other.next().expect("it was not given up") != Payload::Cancel(Cancel { id }) {}
        });
        let proxy = proxy(nowhere());
        let response = proxy.peers.send(&at, Request { id: proxy.context.next_id(), ..ask("a", 0) }).await;
        assert!(response.rest.is_some());
        drop(response);
        tokio::task::spawn_blocking(move || hand.join().unwrap()).await.unwrap();
    });
}

#[test]
fn a_request_that_comes_twice_on_a_link_ends_it_and_begins_nothing() {
    plays(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let hand = std::thread::spawn(move || {
            let mut other = Other::of(TcpStream::connect(at).unwrap());
            other.say(Payload::Request(Request { id: 5, time_left_ms: 1_000, ..ask("a", 0) }));
            assert!(matches!(other.next(), Some(Payload::Response(Response { id: 5, .. }))));
            other.say(Payload::Request(Request { id: 5, time_left_ms: 1_000, ..ask("a", 0) }));
            assert!(other.next().is_none(), "the same id was answered again");
        });
        let proxy = proxy(nowhere());
        let (stream, _) = listener.accept().await.unwrap();
        proxy.peers.clone().carry_incoming(stream).await;
        tokio::task::spawn_blocking(move || hand.join().unwrap()).await.unwrap();
    });
}

#[test]
fn a_vote_counts_for_the_replica_that_it_came_from() {
    plays(async {
        let listeners = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
        let voters = listeners.each_ref().map(|l| l.local_addr().unwrap().to_string()).to_vec();
        for (own, listener) in listeners.into_iter().enumerate() {
            let voters = voters.clone();
            std::thread::spawn(move || {
                let mut other = Other::of(listener.accept().unwrap().0);
                let member = |address: &String| Member { address: address.clone(), ..Member::default() };
                let set = Some(VoterSet { number: 1, members: voters.iter().map(member).collect() });
                other.say(Payload::Welcome(Welcome {
                    voters,
                    own_position: own as u32,
                    voter_set: set,
                    ..Welcome::default()
                }));
                while let Some(what) = other.next() {
                    // The first votes for the second, too, which says nothing.
                    if let (Payload::Claim(claim), 0) = (what, own) {
                        for voter in [0, 1] {
                            let (id, ticket) = (claim.id, claim.ticket);
                            other.say(Payload::ClaimReply(ClaimReply {
                                id,
                                vote: 1,
                                ticket,
                                voter,
                                set_number: 1,
                                ..ClaimReply::default()
                            }));
                        }
                    }
                }
            });
        }
        let proxy = proxy(nowhere());
        proxy.control.keep_connected(voters[0].clone());
        while {
            let reach = proxy.api.replicas.reach();
            (reach.reached, reach.voters) != (2, 2)
        } {
            tokio::task::yield_now().await;
        }
        let ticket = notchspool_mesh_protocol::Ticket { boot_id: 7, number: 1, attempt: 0 };
        assert_eq!(
            proxy.claims.claim("k", ticket).await,
            notchspool_idempotency::claim_proposal::Outcome::Undecided
        );
    });
}
