//! Clients send bodies in chunks, inside all limits of the configuration. The platform kills a process that exceeds its `memoryMb`.
#[path = "../standin/harness.rs"]
mod harness;
use harness::*;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// `memoryMb` of the settings, as a platform counts it.
const MEMORY_BYTES: u64 = 260 << 20;
/// `maxBodyBytes` of the configuration is 67,108,864.
const MAX_BODY_BYTES: usize = 67_108_864;
const HOST: &str = "files.example";
/// Clients at each of two machines; what they send at once is less than half of the memory.
const AT_ONCE: usize = 4;

fn number(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// One request with a body; the status, or what went wrong.
fn upload(ip: &str, body_bytes: usize, chunk_bytes: Option<usize>) -> Result<u16, String> {
    let stream = connect(&format!("{ip}:8304"), 30.0).ok_or("no connection")?;
    stream.set_write_timeout(Some(Duration::from_secs(30))).map_err(|e| e.to_string())?;
    let framing = match chunk_bytes {
        Some(_) => "transfer-encoding: chunked".to_string(),
        None => format!("content-length: {body_bytes}"),
    };
    let head = format!(
        "POST /put/file HTTP/1.1\r\nhost: {HOST}\r\nnotchspool-attempt-id: {}\r\nnotchspool-time-left-ms: 25000\r\n{framing}\r\n\r\n",
        new_attempt()
    );
    let mut writer = &stream;
    let wrote = writer.write_all(head.as_bytes()).and_then(|()| write_body(writer, body_bytes, chunk_bytes));
    // The answer may have come before the body was written.
    let status = read_status(&stream);
    match (status, wrote) {
        (Some(status), _) => Ok(status),
        (None, Err(e)) => Err(format!("writing: {e}")),
        (None, Ok(())) => Err("no answer".into()),
    }
}

fn write_body(mut writer: &TcpStream, body_bytes: usize, chunk_bytes: Option<usize>) -> std::io::Result<()> {
    let Some(chunk_bytes) = chunk_bytes else {
        let piece = vec![b'x'; 64 << 10];
        let mut left = body_bytes;
        while left > 0 {
            let bytes = left.min(piece.len());
            writer.write_all(&piece[..bytes])?;
            left -= bytes;
        }
        return Ok(());
    };
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let at_once = 4_096;
    let piece = chunk.repeat(at_once);
    let mut left = body_bytes / chunk_bytes;
    while left > 0 {
        let chunks = left.min(at_once);
        writer.write_all(&piece.as_bytes()[..chunks * chunk.len()])?;
        left -= chunks;
    }
    writer.write_all(b"0\r\n\r\n")
}

fn read_status(stream: &TcpStream) -> Option<u16> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|bytes| *bytes > 0)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(status)
}

fn main() {
    std::process::exit(run().unwrap_or(NO_RUN));
}

fn run() -> Option<i32> {
    let record = Record::open();
    let body_bytes = number("BODY_MB", 24) << 20;
    let chunk_bytes = number("CHUNK", 16);
    assert!(body_bytes <= MAX_BODY_BYTES);
    let framing = has_trouble().then_some(chunk_bytes);
    let deployment = Deployment::start(&record, &[("z1", "files"), ("z2", "files"), ("z3", "files")])?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut backends = Vec::new();
    for (n, process) in deployment.sidecars.iter().enumerate() {
        backends.push(Backend::start(&process.machine, &format!("i-{n}"), 6, 20, &record, &runs, true)?);
    }
    let config = config(1, &[("put", HOST, "unsafe", "files", 30.0, 5.0)], &["files"]);
    if !deployment.replace_config(&config, 15.0) || !deployment.wait_ready(15.0) {
        record.say("the deployment did not start");
        return None;
    }
    std::thread::sleep(Duration::from_secs(2));
    let ending = Arc::new(AtomicBool::new(false));
    let kills: Vec<Arc<AtomicUsize>> = deployment.sidecars.iter().map(|_| Arc::default()).collect();
    // The platform: a process that exceeds its memory is killed.
    let watch: Vec<_> = deployment.sidecars.iter().cloned().zip(kills.iter().cloned()).collect();
    let (watch_record, watch_ending) = (record.clone(), ending.clone());
    std::thread::spawn(move || {
        let mut peaks = vec![0u64; watch.len()];
        while !watch_ending.load(Ordering::SeqCst) {
            for (n, (process, kills)) in watch.iter().enumerate() {
                let bytes = process.resident_bytes();
                if bytes > peaks[n] + (16 << 20) {
                    peaks[n] = bytes;
                    watch_record.say(&format!("{} has {} MiB", process.machine.name, bytes >> 20));
                }
                if bytes > MEMORY_BYTES {
                    watch_record.say(&format!("{} has {} MiB of 260: it is killed", process.machine.name, bytes >> 20));
                    kills.fetch_add(1, Ordering::SeqCst);
                    process.signal(&watch_record, SIGKILL);
                    peaks[n] = 0;
                    std::thread::sleep(Duration::from_millis(300));
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    let served = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..2 * AT_ONCE)
        .map(|n| {
            let (process, kills) = (deployment.sidecar(n % 2).clone(), kills[n % 2].clone());
            let (record, served) = (record.clone(), served.clone());
            std::thread::spawn(move || {
                let mut asked = 0;
                let goes_on = |asked: usize| match kills.load(Ordering::SeqCst) {
                    0 => asked < 3,
                    kills => kills < 3,
                };
                while goes_on(asked) && record.now() < 85.0 {
                    while !is_ready(&process.machine.ip) && record.now() < 85.0 {
                        std::thread::sleep(Duration::from_millis(100));
                    }
                    asked += 1;
                    let framed = framing.map_or("with a length".to_string(), |bytes| format!("in chunks of {bytes} bytes"));
                    record.say(&format!("client {n} sends {body_bytes} bytes {framed} to {}", process.machine.name));
                    let result = upload(&process.machine.ip, body_bytes, framing);
                    if result == Ok(200) {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    record.say(&format!("client {n} at {} gets {result:?}", process.machine.name));
                    std::thread::sleep(Duration::from_millis(500));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    ending.store(true, Ordering::SeqCst);
    let counts: Vec<usize> = kills.iter().map(|kills| kills.load(Ordering::SeqCst)).collect();
    let broken = counts.iter().filter(|kills| **kills >= 3).count() >= 2;
    record.say(&format!("ends by memory, by machine: {counts:?}; served {}", served.load(Ordering::SeqCst)));
    if !broken && served.load(Ordering::SeqCst) == 0 {
        return None;
    }
    record.say(if broken { "BROKEN: Fault" } else { "held" });
    backends.iter().for_each(|backend| backend.end());
    Some(if broken { BROKEN } else { HELD })
}
