//! A backend whose answer comes in a trickle, for a caller that takes nothing of it: the real program beside the backend.
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::{Duration, Instant};

mod support;

use support::peer::{INSTANCE, Peer, SERVICE, run};
use support::{BOUND, MEMORY_MB, Proxy, ProxySite, read_headers, start_replicas};

const IP: &str = "127.87.1.1";
const REPLICA_IP: &str = "127.87.1.250";
const ANSWER_BYTES: usize = 1 << 20;
/// More than may be on its way to a caller that takes nothing.
const FIRST_BYTES: usize = 300 << 10;
/// These come one by one.
const SINGLE_BYTES: usize = 30_000;
const PAUSE: Duration = Duration::from_micros(60);

/// Answers one request, and says when all that it sends has been sent. The answer is never complete.
fn start_trickling_backend() -> mpsc::Receiver<()> {
    let listener = TcpListener::bind((IP, 8301)).unwrap();
    let (done, is_done) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        reader.read_line(&mut String::new()).unwrap();
        let headers = read_headers(&mut reader).unwrap();
        let attempt_id = &headers["notchspool-attempt-id"];
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-server-seal: seal\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n"
        )
        .unwrap();
        stream.write_all(&[b'x'; FIRST_BYTES]).unwrap();
        for _ in 0..SINGLE_BYTES {
            stream.write_all(b"x").unwrap();
            let wrote_at = Instant::now();
            while wrote_at.elapsed() < PAUSE {
                std::hint::spin_loop();
            }
        }
        done.send(()).unwrap();
        // Open until the proxy ends.
        let _ = reader.read_line(&mut String::new());
    });
    is_done
}

/// Guards against an answer of which each byte takes a buffer of its own (`docs/incidents/body-in-small-chunks.md`).
#[test]
fn an_answer_that_trickles_takes_no_more_memory_than_the_proxy_may_have() {
    let is_done = start_trickling_backend();
    let data = std::env::temp_dir().join(format!("notchspool-trickle-{}", std::process::id()));
    start_replicas(&[REPLICA_IP.to_string()], &data);
    let seed = format!("{REPLICA_IP}:8306");
    let (service, instance) = (SERVICE.into(), INSTANCE.into());
    let proxy =
        Proxy::start_with_ready_backend(ProxySite { ip: IP.into(), service, instance, slots: 1, seed });
    run(async {
        let peer = Peer::connect(proxy.peer_address()).await;
        assert!(peer.send_large(1));
        peer.wait_for_responses(1).await;
        is_done.recv_timeout(BOUND).unwrap();
        let peak = proxy.peak_memory_bytes();
        assert!(peak <= MEMORY_MB << 20, "{} MiB of {MEMORY_MB}", peak >> 20);
    });
}
