//! A connection between two processes, over loopback.
use std::cell::RefCell;
use std::rc::Rc;

use notchspool_mesh_protocol::{Ping, What, write};
use notchspool_runtime::rope::{End, Rope, run};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// What is heard of these bytes, how the connection ends, and how many messages nothing could be made of.
async fn heard(bytes: Vec<u8>) -> (Vec<What>, End, u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut other = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (rope, seen) = (Rope::default(), Rc::new(RefCell::new(Vec::new())));
    other.write_all(&bytes).await.unwrap();
    other.shutdown().await.unwrap();
    let end = run(stream, rope.clone(), None, |what| seen.borrow_mut().push(what)).await;
    (seen.take(), end, rope.senseless())
}

fn ping(number: u64, into: &mut Vec<u8>) {
    let mut out = bytes::BytesMut::new();
    write(What::Ping(Ping { number }), &mut out);
    into.extend_from_slice(&out);
}

#[tokio::test]
async fn a_message_of_unknown_form_is_counted_and_left_out() {
    let mut all = Vec::new();
    ping(1, &mut all);
    all.extend_from_slice(b"\0\0\0\x05\x9a\x06\x02\x08\x01\0\0\0\x03\xff\xff\xff");
    ping(2, &mut all);
    let (seen, end, senseless) = heard(all).await;
    assert_eq!(seen, [What::Ping(Ping { number: 1 }), What::Ping(Ping { number: 2 })]);
    assert!(matches!(end, End::Closed), "{end}");
    assert_eq!(senseless, 2);
}

#[tokio::test]
async fn a_frame_over_the_limit_ends_it() {
    let mut all = b"\xff\xff\xff\xff".to_vec();
    ping(1, &mut all);
    let (seen, end, _) = heard(all).await;
    assert_eq!(seen, []);
    assert!(matches!(end, End::Wrong(_)), "{end}");
}
