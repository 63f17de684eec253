//! Clients that send the body of a request slowly or not at all: the real program, a replica and a backend.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

mod support;

use support::{BOUND, Proxy, ProxySite, read_headers, start_replicas};

const REPLICA: &str = "127.86.1.250";
/// More than half of what a proxy of 64 MB has for large bodies, and less than all.
const LARGE_BYTES: usize = 20 << 20;
const TIME_LEFT: Duration = Duration::from_millis(1_000);
/// The answer comes within this after its time is over.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);
const CONFIG: &str = r#"{"version":1,"routes":{"upload":{"host":"h.example","pathPrefix":"/","routeKind":"safe","timeoutS":4,"targetS":1,
    "priority":1,"service":"store","maxAttempts":2}},"services":{"store":{}},"limits":{"maxBodyBytes":67108864}}"#;

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is_so() {
        assert!(began.elapsed() < BOUND, "not within {BOUND:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A backend that reads each request completely, and answers it.
fn start_reading_backend(address: &str) {
    let listener = TcpListener::bind(address).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || while answer_one(&stream).is_some() {});
        }
    });
}

fn answer_one(mut stream: &TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream);
    reader.read_line(&mut String::new()).ok().filter(|bytes| *bytes > 0)?;
    let headers = read_headers(&mut reader)?;
    let length: u64 = headers.get("content-length").map_or(Some(0), |length| length.parse().ok())?;
    let read = std::io::copy(&mut reader.take(length), &mut std::io::sink()).ok()?;
    let attempt_id = headers.get("notchspool-attempt-id")?;
    let answer = format!(
        "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-server-seal: seal\r\ncontent-length: 2\r\n\r\nok"
    );
    (read == length).then(|| stream.write_all(answer.as_bytes()).ok())?
}

/// Announces a large body, and sends this part of it.
fn begin_upload(site: &ProxySite, attempt_id: &str, part: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(format!("{}:8304", site.ip)).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    let time_left_ms = TIME_LEFT.as_millis();
    write!(
        stream,
        "POST /u HTTP/1.1\r\nhost: h.example\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-time-left-ms: {time_left_ms}\r\ncontent-length: {LARGE_BYTES}\r\n\r\n"
    )
    .unwrap();
    // A refusal may come before all is sent.
    let _ = stream.write_all(part);
    stream
}

fn status(stream: &mut TcpStream) -> String {
    let mut answer = [0u8; 256];
    let length = stream.read(&mut answer).unwrap_or(0);
    let text = String::from_utf8_lossy(&answer[..length]).into_owned();
    text.split(' ').nth(1).unwrap_or("none").to_string()
}

/// Guards against: clients that announce large bodies and never send them keep their memory, and all other large bodies are refused for good.
#[test]
fn a_body_that_does_not_come_in_time_gives_its_memory_back() {
    let data = std::env::temp_dir().join(format!("notchspool-slow-body-{}", std::process::id()));
    start_replicas(&[REPLICA.to_string()], &data);
    let site = ProxySite {
        ip: "127.86.1.1".into(),
        service: "store".into(),
        instance: "i-1".into(),
        slots: 4,
        seed: format!("{REPLICA}:8306"),
    };
    let replica = ProxySite { ip: REPLICA.into(), ..site.clone() };
    start_reading_backend(&format!("{}:8301", site.ip));
    let _proxy = Proxy::start_with_backend(site.clone());
    wait_until("a configuration is taken", || {
        replica.http("8306", "POST /notchspool/rpc?call=config.replace", CONFIG).as_deref() == Some("200")
    });
    let complete = vec![b'x'; LARGE_BYTES];
    wait_until("a large body is served", || status(&mut begin_upload(&site, "warm-up", &complete)) == "200");
    for round in 0..2 {
        let began = Instant::now();
        let mut stalled = begin_upload(&site, &format!("stalled-{round}"), b"x");
        assert_eq!(status(&mut stalled), "408", "round {round}");
        let took = began.elapsed();
        assert!(took < TIME_LEFT + ANSWER_MARGIN, "round {round}: {took:?}");
        // Its connection is still open on this side.
        assert_eq!(
            status(&mut begin_upload(&site, &format!("complete-{round}"), &complete)),
            "200",
            "round {round}"
        );
    }
    let _ = std::fs::remove_dir_all(data);
}
