//! Mutates the corpus for a while and feeds it to both sides: `cargo run --release --example fuzz -- SECONDS SEED`. It ends
//! with a panic, and the bytes, if one is found. CI plays the corpus itself; this runs by hand.
use std::time::{Duration, Instant};

use bytes::Bytes;
use notchspool_fastcgi::cgi;
use notchspool_fastcgi::client::{self, ClientLimits, ClientSide};
use notchspool_fastcgi::protocol::RequestId;
use notchspool_fastcgi::server::{Event, ServerLimits, ServerSide};

struct Chance(u64);
impl Chance {
    fn below(&mut self, n: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % n.max(1) as u64) as usize
    }
}

fn corpus() -> Vec<Vec<u8>> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus");
    let mut files: Vec<_> =
        std::fs::read_dir(folder).into_iter().flatten().flatten().map(|f| f.path()).collect();
    files.sort();
    let read = |path: &std::path::PathBuf| {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let hex: Vec<u8> = text.lines().skip(1).collect::<String>().into_bytes();
        hex.chunks(2).filter_map(|p| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok()).collect()
    };
    files.iter().map(read).collect()
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|a| a.parse::<u64>().ok());
    let span = Duration::from_secs(arguments.next().unwrap_or(10));
    let mut chance = Chance(arguments.next().unwrap_or(1).max(1));
    let corpus = corpus();
    assert!(!corpus.is_empty(), "no corpus");
    let (began, mut runs, mut requests, mut answers) = (Instant::now(), 0u64, 0u64, 0u64);
    while began.elapsed() < span {
        let mut bytes = corpus[chance.below(corpus.len())].clone();
        for _ in 0..chance.below(6) {
            let at = chance.below(bytes.len());
            match chance.below(4) {
                0 if !bytes.is_empty() => bytes[at] = chance.below(256) as u8,
                1 => bytes.truncate(at),
                2 => bytes.splice(at..at, corpus[chance.below(corpus.len())].clone()).for_each(drop),
                _ => bytes.insert(at, chance.below(256) as u8),
            }
        }
        let mut server = ServerSide::new(ServerLimits { requests: 4, params: 1000, body: 1000 });
        let mut client = ClientSide::new(ClientLimits { stdout: 1000, stderr: 1000 });
        client.expect_answer(RequestId(1));
        let (mut server_events, mut client_events) = (Vec::new(), Vec::new());
        let piece = 1 + chance.below(64);
        let _ = bytes.chunks(piece).try_for_each(|p| server.receive(p, &mut server_events));
        let _ = bytes.chunks(piece).try_for_each(|p| client.receive(p, &mut client_events));
        assert!(server.open_requests() <= 4, "{bytes:02x?}");
        for event in &server_events {
            if let Event::Request(request) = event {
                requests += 1;
                let _ = cgi::parse_request(&request.params);
            }
        }
        answers += client_events.iter().filter(|e| matches!(e, client::Event::Answered(_))).count() as u64;
        let _ = cgi::parse_answer(&Bytes::from(bytes));
        runs += 1;
    }
    println!("{runs} runs, {requests} requests, {answers} answers, no fault");
}
