//! Clients that send the body of a request slowly, not at all, or in small chunks: the real program, a replica and a backend.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

mod support;

use support::{BOUND, MEMORY_MB, Proxy, ProxySite, read_headers, start_replicas, wait_until};

/// More than half of what a proxy of 64 MB has for large bodies, and less than all.
const LARGE_BYTES: usize = 20 << 20;
const TIME_LEFT: Duration = Duration::from_millis(1_000);
/// Chunks that a client writes at once.
const CHUNKS_A_WRITE: usize = 1_024;
/// The answer comes within this after its time is over.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);
const CONFIG: &str = r#"{"version":1,"routes":{"upload":{"host":"h.example","pathPrefix":"/","routeKind":"safe","timeoutS":60,"targetS":1,
    "priority":1,"service":"store","maxAttempts":2}},"services":{"store":{}},"limits":{"maxBodyBytes":67108864}}"#;

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

/// A proxy with its backend, and a configuration that lets requests with bodies through.
struct UploadSite {
    site: ProxySite,
    proxy: Proxy,
    data: PathBuf,
}

impl Drop for UploadSite {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.data);
    }
}

impl UploadSite {
    fn start(net: u8) -> UploadSite {
        let data = std::env::temp_dir().join(format!("notchspool-uploads-{net}-{}", std::process::id()));
        let replica_ip = format!("127.86.{net}.250");
        start_replicas(std::slice::from_ref(&replica_ip), &data);
        let site = ProxySite {
            ip: format!("127.86.{net}.1"),
            service: "store".into(),
            instance: "i-1".into(),
            slots: 4,
            seed: format!("{replica_ip}:8306"),
        };
        let replica = ProxySite { ip: replica_ip, ..site.clone() };
        start_reading_backend(&format!("{}:8301", site.ip));
        let proxy = Proxy::start_with_backend(site.clone());
        let put = || replica.http("8306", "POST /notchspool/rpc?call=config.replace", CONFIG);
        wait_until("a configuration is taken", || put().as_deref() == Some("200"));
        wait_until("a body is served", || {
            status(&mut begin_upload(&site, "warm-up", &[b'x'; LARGE_BYTES])) == "200"
        });
        UploadSite { site, proxy, data }
    }
}

/// Guards against: clients that announce large bodies and never send them keep their memory, and all other large bodies are refused for good.
#[test]
fn a_body_that_does_not_come_in_time_gives_its_memory_back() {
    let uploads = UploadSite::start(1);
    let site = &uploads.site;
    let complete = vec![b'x'; LARGE_BYTES];
    for round in 0..2 {
        let began = Instant::now();
        let mut stalled = begin_upload(site, &format!("stalled-{round}"), b"x");
        assert_eq!(status(&mut stalled), "408", "round {round}");
        let took = began.elapsed();
        assert!(took < TIME_LEFT + ANSWER_MARGIN, "round {round}: {took:?}");
        // Its connection is still open on this side.
        assert_eq!(
            status(&mut begin_upload(site, &format!("complete-{round}"), &complete)),
            "200",
            "round {round}"
        );
    }
}

/// Sends a body in chunks of so many bytes; the status of the answer.
fn upload_in_chunks(site: &ProxySite, attempt_id: &str, body_bytes: usize, chunk_bytes: usize) -> String {
    let mut stream = TcpStream::connect(format!("{}:8304", site.ip)).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    write!(
        stream,
        "POST /u HTTP/1.1\r\nhost: h.example\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-time-left-ms: 60000\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .unwrap();
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let batch = chunk.repeat(CHUNKS_A_WRITE);
    for _ in 0..body_bytes / (chunk_bytes * CHUNKS_A_WRITE) {
        stream.write_all(batch.as_bytes()).unwrap();
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
    status(&mut stream)
}

/// Guards against bodies that take a multiple of their bytes, since they come in small chunks (`docs/incidents/body-in-small-chunks.md`).
#[test]
fn a_body_in_small_chunks_takes_no_more_memory_than_one_with_a_length() {
    let uploads = UploadSite::start(2);
    for (body_bytes, chunk_bytes) in [(8 << 20, 4), (LARGE_BYTES, 1_000)] {
        let attempt_id = format!("chunks-{chunk_bytes}");
        assert_eq!(
            upload_in_chunks(&uploads.site, &attempt_id, body_bytes, chunk_bytes),
            "200",
            "{chunk_bytes}"
        );
        let peak = uploads.proxy.peak_memory_bytes();
        assert!(
            peak <= MEMORY_MB << 20,
            "{} MiB of {MEMORY_MB} after chunks of {chunk_bytes} bytes",
            peak >> 20
        );
    }
}
