//! The clients' listening socket, where the platform holds it and every process inherits it.
use std::net::TcpListener;

use rustix::net::{SocketType, sockopt};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};

/// The socket under descriptor `number`, as a descriptor of our own: not blocking, and closed in whatever this process starts.
/// All that is none is a clear error.
pub fn listener(number: &str) -> Result<TcpListener, String> {
    let wrong = |why: String| format!("ROUTER_INHERITED_FD: `{number}`: {why}");
    let fd: i32 = number.trim().parse().map_err(|_| wrong("no number of a descriptor".into()))?;
    if fd < 3 {
        return Err(wrong("the first three are no sockets of clients".into()));
    }
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| wrong(format!("this process: {e}")))?;
    let held = pidfd_getfd(&own, fd, PidfdGetfdFlags::empty())
        .map_err(|e| wrong(format!("no such descriptor: {e}")))?;
    let kind = sockopt::socket_type(&held).map_err(|e| wrong(format!("no socket: {e}")))?;
    let listens = sockopt::socket_acceptconn(&held).map_err(|e| wrong(format!("no socket: {e}")))?;
    if kind != SocketType::STREAM || !listens {
        return Err(wrong("no listening TCP socket".into()));
    }
    let listener = TcpListener::from(held);
    listener.local_addr().map_err(|e| wrong(format!("no TCP socket: {e}")))?;
    listener.set_nonblocking(true).map_err(|e| wrong(e.to_string()))?;
    Ok(listener)
}

#[cfg(test)]
mod tests {
    use std::net::UdpSocket;
    use std::os::fd::AsRawFd;

    use rstest::rstest;

    use super::*;

    #[test]
    fn a_listening_socket_is_taken_and_accepts() {
        let ours = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let theirs = listener(&ours.as_raw_fd().to_string()).expect("it listens");
        assert_eq!(theirs.local_addr().expect("bound"), ours.local_addr().expect("bound"));
        let none = theirs.accept().expect_err("nobody comes, and nothing blocks");
        assert_eq!(none.kind(), std::io::ErrorKind::WouldBlock);
    }

    #[rstest]
    #[case("three", "no number")]
    #[case("-1", "the first three")]
    #[case("1", "the first three")]
    #[case("9999", "no such descriptor")]
    fn what_makes_no_sense_is_named(#[case] number: &str, #[case] why: &str) {
        let told = listener(number).expect_err("no listener");
        assert!(told.contains(why) && told.contains("ROUTER_INHERITED_FD"), "{told}");
    }

    #[test]
    fn neither_a_file_nor_a_socket_that_does_not_listen_will_do() {
        let file = std::fs::File::open("/dev/null").expect("a file");
        assert!(listener(&file.as_raw_fd().to_string()).expect_err("a file").contains("no socket"));
        let udp = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let told = listener(&udp.as_raw_fd().to_string()).expect_err("no stream");
        assert!(told.contains("no listening TCP socket"), "{told}");
    }
}
