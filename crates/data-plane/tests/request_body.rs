//! The body of a request, in pieces.
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use notchspool_data_plane::body_pipe::{BodyEnd, BodyPipe, CHUNK_BYTES};
use notchspool_data_plane::request_body::{BodyBrokeOff, BodySource, RemoteBody, RequestBody, WINDOW_BYTES};

/// Pieces of uneven lengths, as they come off a connection.
fn body() -> (RequestBody, Vec<u8>) {
    let pieces: Vec<Bytes> = (1..40usize).map(|n| Bytes::from(vec![n as u8; n * 997 % 40_000])).collect();
    let joined = pieces.concat();
    (RequestBody::new(pieces), joined)
}

fn plays<F: Future<Output = ()>>(run: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, run);
}

async fn read(mut source: BodySource) -> Result<Vec<u8>, BodyBrokeOff> {
    let mut read = Vec::new();
    while let Some(piece) = source.next().await? {
        read.extend_from_slice(&piece);
    }
    Ok(read)
}

#[test]
fn it_is_read_from_its_beginning_as_often_as_it_is_sent() {
    plays(async {
        let (body, joined) = body();
        assert_eq!((body.len(), body.to_bytes()), (joined.len(), Bytes::from(joined.clone())));
        assert_eq!(read(body.reader()).await, Ok(joined.clone()));
        assert_eq!(read(body.reader()).await, Ok(joined));
    });
}

#[test]
fn requested_bytes_come_in_chunks_once_and_the_last_is_marked() {
    let (body, joined) = body();
    for step in [1_000u64, 16 << 10, 100_001, u64::MAX] {
        let (mut upload, mut sent, mut last) = (body.upload(), Vec::new(), false);
        while !last {
            let before = sent.len() as u64;
            for (chunk, is_last) in upload.on_requested(step) {
                assert!(!last && !chunk.is_empty() && chunk.len() <= CHUNK_BYTES);
                sent.extend_from_slice(&chunk);
                last = is_last;
            }
            assert!(sent.len() as u64 - before <= step);
        }
        assert_eq!(sent, joined, "in steps of {step}");
        assert!(upload.on_requested(step).is_empty());
    }
}

#[test]
fn a_remote_body_asks_for_a_window_and_then_for_what_was_read() {
    plays(async {
        let (body, joined) = body();
        let (pipe, requested) = (BodyPipe::default(), Rc::new(RefCell::new(Vec::new())));
        let upload = RefCell::new(body.upload());
        let ask = {
            let (pipe, requested) = (pipe.clone(), requested.clone());
            move |bytes| {
                requested.borrow_mut().push(bytes);
                for (chunk, last) in upload.borrow_mut().on_requested(bytes) {
                    pipe.write(chunk);
                    if last {
                        pipe.finish(BodyEnd::Complete);
                    }
                }
            }
        };
        let length = joined.len() as u64;
        let mut source = BodySource::Remote(RemoteBody::new(length, pipe.clone(), Box::new(ask)));
        assert!(requested.borrow().is_empty(), "nothing is asked for before it is wanted");
        let mut read = Vec::new();
        while let Some(piece) = source.next().await.unwrap() {
            read.extend_from_slice(&piece);
            let unread = requested.borrow().iter().sum::<u64>() - read.len() as u64;
            assert!(unread <= WINDOW_BYTES, "{unread}");
        }
        assert_eq!(read, joined);
        assert_eq!(requested.borrow()[0], WINDOW_BYTES);
        assert_eq!(requested.borrow().iter().sum::<u64>(), length);
    });
}

#[test]
fn a_remote_body_that_breaks_off_is_never_complete() {
    plays(async {
        let pipe = BodyPipe::default();
        pipe.write(Bytes::from_static(b"abc"));
        pipe.finish(BodyEnd::Truncated);
        let remote = RemoteBody::new(4, pipe, Box::new(|_| ()));
        assert_eq!(read(BodySource::Remote(remote)).await, Err(BodyBrokeOff));
    });
}
