//! Plays the corpus: bytes as hex, cut in pieces of every length from one byte to all; the outcome is the one that the
//! first line says, whatever the cut.
use std::path::PathBuf;

use notchspool_fastcgi::client::{self, ClientLimits, ClientSide};
use notchspool_fastcgi::protocol::RequestId;
use notchspool_fastcgi::server::{self, Event, ServerLimits, ServerSide};
use rstest::rstest;

fn taken(bytes: &[u8], piece: usize) -> String {
    let mut server = ServerSide::new(ServerLimits { requests: 4, params: 1000, body: 1000 });
    let mut events = Vec::new();
    let ended = bytes.chunks(piece).try_for_each(|p| server.receive(p, &mut events));
    let word = |event: &Event| match event {
        server::Event::Request(r) => {
            format!("asked {} ({} params, {} bytes)", r.id.0, r.params.len(), r.body.len())
        }
        server::Event::Aborted(id) => format!("aborted {}", id.0),
        server::Event::Send(bytes) => format!("says {} bytes", bytes.len()),
        server::Event::Close => "closes".into(),
    };
    outcome(events.iter().map(word).collect(), ended.err().map(|w| w.to_string()))
}

fn read_by_client(bytes: &[u8], piece: usize) -> String {
    let mut client = ClientSide::new(ClientLimits { stdout: 1000, stderr: 1000 });
    client.expect_answer(RequestId(1));
    let mut events = Vec::new();
    let ended = bytes.chunks(piece).try_for_each(|p| client.receive(p, &mut events));
    let word = |event: &client::Event| match event {
        client::Event::Begun(id) => format!("begun {}", id.0),
        client::Event::Answered(a) => {
            format!("answered {} ({} bytes, whole {}, {:?})", a.id.0, a.stdout.len(), a.is_complete, a.status)
        }
        client::Event::Values(v) => format!("{} values", v.len()),
        client::Event::UnknownType(kind) => format!("unknown {kind}"),
    };
    let mut words: Vec<String> = events.iter().map(word).collect();
    words.dedup();
    outcome(words, ended.err().map(|w| w.to_string()))
}

fn outcome(mut words: Vec<String>, error: Option<String>) -> String {
    words.extend(error.map(|w| format!("wrong: {w}")));
    if words.is_empty() { "nothing yet".into() } else { words.join("; ") }
}

#[rstest]
fn comes_to_the_same_however_it_is_cut(#[files("tests/corpus/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a file");
    let (head, hex) = text.split_once('\n').expect("a head");
    let (side, wanted) = head.trim_start_matches("# ").split_once(": ").expect("SIDE: OUTCOME");
    let hex: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).expect("hex"), 16).expect("hex");
    let bytes: Vec<u8> = hex.chunks(2).map(byte).collect();
    for piece in 1..=bytes.len() {
        let found = if side == "take" { taken(&bytes, piece) } else { read_by_client(&bytes, piece) };
        assert_eq!(found, wanted, "in pieces of {piece}");
    }
}
