//! A listening socket that the platform holds.
use std::net::{TcpListener, UdpSocket};
use std::os::fd::AsRawFd;

use notchspool_agent::process::inherited_listener::inherited_listener;
use rstest::rstest;

#[test]
fn a_listening_socket_is_taken_and_accepts() {
    let ours = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let theirs = inherited_listener(&ours.as_raw_fd().to_string()).expect("it listens");
    assert_eq!(theirs.local_addr().expect("bound"), ours.local_addr().expect("bound"));
    let none = theirs.accept().expect_err("nobody comes, and nothing blocks");
    assert_eq!(none.kind(), std::io::ErrorKind::WouldBlock);
}

#[rstest]
#[case("three", "no number")]
#[case("-1", "the first three")]
#[case("1", "the first three")]
#[case("9999", "no such descriptor")]
fn a_senseless_number_is_named(#[case] number: &str, #[case] why: &str) {
    let error = inherited_listener(number).expect_err("no listener").to_string();
    assert!(error.contains(why) && error.contains("ROUTER_INHERITED_FD"), "{error}");
}

#[test]
fn neither_a_file_nor_a_socket_that_does_not_listen_will_do() {
    let file = std::fs::File::open("/dev/null").expect("a file");
    assert!(
        inherited_listener(&file.as_raw_fd().to_string())
            .expect_err("a file")
            .to_string()
            .contains("no socket")
    );
    let udp = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let error = inherited_listener(&udp.as_raw_fd().to_string()).expect_err("no stream").to_string();
    assert!(error.contains("no listening TCP socket"), "{error}");
}
