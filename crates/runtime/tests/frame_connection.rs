//! A connection between two processes, over loopback.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use notchspool_mesh_protocol::{Payload, Ping, encode};
use notchspool_runtime::frame_connection::{CloseReason, FrameSender, configure_socket, connect, run};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Payload is heard of these bytes, how the connection ends, and how many messages nothing could be made of.
async fn received(bytes: Vec<u8>) -> (Vec<Payload>, CloseReason, u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut other = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (sender, messages) = (FrameSender::default(), Rc::new(RefCell::new(Vec::new())));
    other.write_all(&bytes).await.unwrap();
    other.shutdown().await.unwrap();
    let end = run(stream, sender.clone(), None, |what| messages.borrow_mut().push(what)).await;
    (messages.take(), end, sender.malformed_frames())
}

fn ping(number: u64, into: &mut Vec<u8>) {
    let mut out = bytes::BytesMut::new();
    encode(Payload::Ping(Ping { number }), &mut out);
    into.extend_from_slice(&out);
}

/// A connection whose other machine had lost power while nothing was sent stayed for good, and counted against the bound.
#[tokio::test]
async fn an_idle_connection_is_probed_on_both_sides() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let here = connect(listener.local_addr().unwrap(), Duration::from_secs(1)).await.unwrap();
    let (there, _) = listener.accept().await.unwrap();
    configure_socket(&there);
    for stream in [&here, &there] {
        let socket = SockRef::from(stream);
        assert!(socket.keepalive().unwrap());
        let silence = socket.tcp_keepalive_time().unwrap() + socket.tcp_keepalive_interval().unwrap();
        assert!(silence <= Duration::from_secs(30), "{silence:?}");
    }
}

#[tokio::test]
async fn a_message_of_unknown_form_is_counted_and_left_out() {
    let mut all = Vec::new();
    ping(1, &mut all);
    all.extend_from_slice(b"\0\0\0\x05\x9a\x06\x02\x08\x01\0\0\0\x03\xff\xff\xff");
    ping(2, &mut all);
    let (messages, end, malformed) = received(all).await;
    assert_eq!(messages, [Payload::Ping(Ping { number: 1 }), Payload::Ping(Ping { number: 2 })]);
    assert!(matches!(end, CloseReason::ClosedByPeer), "{end}");
    assert_eq!(malformed, 2);
}

#[tokio::test]
async fn a_frame_over_the_limit_ends_it() {
    let mut all = b"\xff\xff\xff\xff".to_vec();
    ping(1, &mut all);
    let (messages, end, _) = received(all).await;
    assert_eq!(messages, []);
    assert!(matches!(end, CloseReason::InvalidFrame(_)), "{end}");
}
