//! How messages lie on a connection.
use bytes::{BufMut, BytesMut};
use notchspool_mesh_protocol::{ConfigRequest, FrameError, Payload, Ping, decode, encode};

#[test]
fn a_frame_comes_full_or_not_at_all() {
    let mut all = BytesMut::new();
    encode(Payload::Ping(Ping { number: 7 }), &mut all);
    encode(Payload::ConfigRequest(ConfigRequest { version: 9 }), &mut all);
    let mut got = BytesMut::new();
    let mut seen = Vec::new();
    for byte in &all {
        got.put_u8(*byte);
        while let Some(payload) = decode(&mut got).unwrap() {
            seen.push(payload);
        }
    }
    assert_eq!(
        seen,
        [Payload::Ping(Ping { number: 7 }), Payload::ConfigRequest(ConfigRequest { version: 9 })]
    );
}

#[test]
fn what_follows_a_frame_without_sense_is_read() {
    let senseless: [&[u8]; 4] = [
        b"\xff\xff\xff",
        // A form that is not known here: tag 99.
        b"\x9a\x06\x02\x08\x01",
        b"",
        // A known tag with a wrong content.
        b"\x42\x7f\x01",
    ];
    for bytes in senseless {
        let mut got = BytesMut::new();
        got.put_u32(bytes.len() as u32);
        got.put_slice(bytes);
        encode(Payload::Ping(Ping { number: 7 }), &mut got);
        assert!(
            matches!(decode(&mut got), Err(FrameError::Malformed(_) | FrameError::EmptyOrOverfull)),
            "{bytes:?}"
        );
        assert_eq!(decode(&mut got).unwrap(), Some(Payload::Ping(Ping { number: 7 })), "{bytes:?}");
    }
}

#[test]
fn any_bytes_are_a_message_an_error_or_not_yet_full() {
    fn holds(bytes: Vec<u8>) -> bool {
        let mut from = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = decode(&mut from) {}
        let mut framed = BytesMut::new();
        framed.put_u32(bytes.len() as u32);
        framed.put_slice(&bytes);
        while let Ok(Some(_)) = decode(&mut framed) {}
        true
    }
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(64, 7))
        .tests(5_000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}
