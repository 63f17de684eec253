//! What is read off a backend's connection is its whole answer, or broken: never a part that looks complete.
use std::io::Write;
use std::net::TcpListener;

use notchspool::units::Micros;
use notchspool_data_plane::answer_parser::{AnswerReader, ReadOptions};

const HEAD: &str = "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: a\r\nnotchspool-server-seal: z\r\n";
/// No byte of it is a digit of a chunk's size, or could stand in the name of a trailer.
const PARTS: [&str; 3] = ["(no one)", "(no two)", "(no three, which is longer than the others)"];

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(test);
}

/// A backend sends these bytes and closes: the body of its answer, or why there is none.
async fn read(listener: &TcpListener, bytes: &[u8]) -> Result<Vec<u8>, String> {
    let to = listener.local_addr().unwrap();
    let mut stream = tokio::net::TcpStream::connect(to).await.unwrap();
    let (mut backend, _) = listener.accept().unwrap();
    backend.write_all(bytes).unwrap();
    drop(backend);
    let answer = AnswerReader::new(&mut stream).read_answer(Micros(0), ReadOptions::default()).await;
    answer.map(|answer| answer.response.body.to_vec()).map_err(|error| error.to_string())
}

fn in_chunks() -> String {
    let chunks = PARTS.map(|part| format!("{:x}\r\n{part}\r\n", part.len()));
    format!("{}0\r\n\r\n", chunks.concat())
}

fn chunked(body: &str) -> Vec<u8> {
    format!("{HEAD}transfer-encoding: chunked\r\n\r\n{body}").into_bytes()
}

#[test]
fn answers_in_chunks_are_read_completely() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let body = in_chunks();
    let sound = [
        body.clone(),
        body.replace("\r\n(", ";name=\"a value\" ; more\r\n("),
        body.replace("8\r\n", "0008 \r\n"),
        body.replace("0\r\n\r\n", "000\r\nx-digest: one, two\r\nx-empty:\r\n\r\n"),
        // What is sent more after a whole answer belongs to no request.
        format!("{body}more"),
    ];
    run(async {
        for body in sound {
            let read = read(&listener, &chunked(&body)).await;
            assert_eq!(read.as_deref(), Ok(PARTS.concat().as_bytes()), "{body:?}");
        }
    });
}

/// Guards against an answer that breaks off in its framing and passes as complete (`docs/incidents/empty-chunk-size.md`).
#[test]
fn an_answer_with_one_spoilt_place_is_never_a_part_that_looks_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let body = in_chunks();
    let whole = PARTS.concat();
    let spoilt_by: [&[u8]; 9] = [b"\r\n", b"\r\n\r\n", b"\r", b"\n", b" ", b";", b"0", b"z", b":"];
    run(async {
        for at in 0..=body.len() {
            // Each is put in, and takes the place of one, two or three bytes; and those are left out.
            for left_out in 0..=3.min(body.len() - at) {
                for put_in in spoilt_by.iter().copied().chain([&b""[..]]) {
                    let bytes = [&body.as_bytes()[..at], put_in, &body.as_bytes()[at + left_out..]].concat();
                    let is_data_changed = bytes.len() == body.len() && read_by_size(&bytes).is_some();
                    let answer = chunked(&String::from_utf8(bytes.clone()).unwrap());
                    if let Ok(read) = read(&listener, &answer).await {
                        let text = String::from_utf8_lossy(&bytes).into_owned();
                        assert!(is_data_changed || read == whole.as_bytes(), "{text:?} is read as {read:?}");
                    }
                }
            }
        }
    });
}

/// The body where all framing is in its place, so that only data was changed: nobody can tell that.
fn read_by_size(bytes: &[u8]) -> Option<Vec<u8>> {
    let (mut rest, mut body) = (bytes, Vec::new());
    for part in PARTS {
        rest = rest.strip_prefix(format!("{:x}\r\n", part.len()).as_bytes())?;
        body.extend_from_slice(rest.get(..part.len())?);
        rest = rest[part.len()..].strip_prefix(b"\r\n")?;
    }
    (rest == b"0\r\n\r\n").then_some(body)
}

#[test]
fn a_head_that_tells_its_framing_in_no_valid_way_is_no_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let framings = [
        "content-length: +2",
        "content-length: 2, 2",
        "content-length: 0x2",
        "content-length:",
        "content-length: 2\r\ncontent-length: 3",
        "content-length: 99999999999999999999",
        "content-length: 18446744073709551615",
        "content-length: 2\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked, chunked",
        "transfer-encoding: gzip",
    ];
    run(async {
        for framing in framings {
            let answer = format!("{HEAD}{framing}\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            assert!(read(&listener, answer.as_bytes()).await.is_err(), "{framing:?}");
        }
        let answer = format!("{HEAD}content-length: 2\r\ncontent-length: 2\r\n\r\nok");
        assert_eq!(read(&listener, answer.as_bytes()).await.as_deref(), Ok(&b"ok"[..]));
    });
}

/// Guards against a size of a chunk that wraps around and panics the task of its request (`docs/incidents/key-held-by-a-panic.md`).
#[test]
fn an_answer_whose_chunk_is_larger_than_any_body_is_broken() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let sizes = [
        "4000001",
        "7fffffffffffffff",
        "8000000000000000",
        "fffffffffffffff7",
        "FFFFFFFFFFFFFFFF",
        "10000000000000000",
    ];
    run(async {
        for size in sizes {
            for before in ["", "8\r\n(no one)\r\n"] {
                let answer = chunked(&format!("{before}{size}\r\n!\r\n0\r\n\r\n"));
                assert!(read(&listener, &answer).await.is_err(), "{before:?} {size}");
            }
        }
    });
}
