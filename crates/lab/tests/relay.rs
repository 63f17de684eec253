//! Links with faults, on sockets.
use std::net::SocketAddr;
use std::time::Duration;

use notchspool_lab::cluster::relay::Relay;
use std::io::{Read, Write};

/// An echo behind a relay, and a stream through it.
fn through(name: u8, test: impl FnOnce(&Relay, std::net::TcpStream)) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let _in = runtime.enter();
    let third = std::process::id() % 200 + 30;
    let at = |last: u8| SocketAddr::from(([127, third as u8, 251, last], 7001));
    let echo = std::net::TcpListener::bind(at(name)).expect("the echo");
    std::thread::spawn(move || {
        let (mut io, _) = echo.accept().expect("a stream");
        let mut buf = [0; 1000];
        while let Ok(n @ 1..) = io.read(&mut buf) {
            if io.write_all(&buf[..n]).is_err() {
                return;
            }
        }
    });
    let relay = Relay::open(at(name + 1), at(name), 1).expect("a relay");
    let io = std::net::TcpStream::connect(at(name + 1)).expect("through it");
    io.set_read_timeout(Some(Duration::from_secs(10))).expect("a bound");
    test(&relay, io);
}
fn say(io: &mut std::net::TcpStream, word: &[u8]) -> std::io::Result<Vec<u8>> {
    io.write_all(word)?;
    let mut received = vec![0; word.len()];
    io.read_exact(&mut received)?;
    Ok(received)
}

#[test]
fn a_way_is_silent_in_one_direction_and_goes_on_with_what_waited() {
    through(10, |relay, mut io| {
        assert_eq!(say(&mut io, b"one").expect("heard"), b"one");
        relay.set(|r| r.backward.silent = true);
        io.write_all(b"two").expect("taken");
        io.set_read_timeout(Some(Duration::from_millis(150))).expect("a bound");
        assert!(io.read(&mut [0; 3]).is_err(), "nothing comes back");
        relay.set(|r| r.backward.silent = false);
        io.set_read_timeout(Some(Duration::from_secs(10))).expect("a bound");
        let mut received = [0; 3];
        io.read_exact(&mut received).expect("what waited");
        assert_eq!(&received, b"two");
    });
}

#[test]
fn a_cut_ends_streams_and_a_chop_ends_them_in_the_middle() {
    through(20, |relay, mut io| {
        assert_eq!(say(&mut io, b"one").expect("heard"), b"one");
        relay.set(|r| r.reset_after = Some(4));
        std::thread::sleep(Duration::from_millis(50));
        assert!(say(&mut io, b"twelve bytes").is_err(), "four bytes and no more");
    });
    through(30, |relay, mut io| {
        relay.set(|r| r.cut = true);
        std::thread::sleep(Duration::from_millis(50));
        assert!(say(&mut io, b"one").is_err());
    });
}
