//! The clients' listening socket, where the platform holds it and every process inherits it.
use std::io;
use std::net::TcpListener;

use rustix::io::Errno;
use rustix::net::{SocketType, sockopt};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};

/// The variable that holds the descriptor's number.
pub const DESCRIPTOR_VARIABLE: &str = "ROUTER_INHERITED_FD";
/// Below this are standard input, output and error.
const FIRST_DESCRIPTOR: i32 = 3;

/// Why a descriptor is no listener.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{DESCRIPTOR_VARIABLE}: `{number}`: {reason}")]
pub struct InheritError {
    number: String,
    reason: Reason,
}

#[derive(Debug, derive_more::Display, derive_more::Error)]
enum Reason {
    #[display("no number of a descriptor")]
    NoNumber,
    #[display("the first three are no sockets of clients")]
    Standard,
    #[display("this process: {_0}")]
    OwnProcess(Errno),
    #[display("no such descriptor: {_0}")]
    NoDescriptor(Errno),
    #[display("no socket: {_0}")]
    NoSocket(Errno),
    #[display("no listening TCP socket")]
    NotListening,
    #[display("no TCP socket: {_0}")]
    NotTcp(io::Error),
    #[display("{_0}")]
    Blocking(io::Error),
}

/// The socket under descriptor `number`, as a descriptor of our own: not blocking, and closed in whatever this process starts.
///
/// # Errors
///
/// It is no listening TCP socket.
pub fn inherited_listener(number: &str) -> Result<TcpListener, InheritError> {
    duplicate(number).map_err(|reason| InheritError { number: number.to_owned(), reason })
}

fn duplicate(number: &str) -> Result<TcpListener, Reason> {
    let descriptor: i32 = number.trim().parse().map_err(|_| Reason::NoNumber)?;
    if descriptor < FIRST_DESCRIPTOR {
        return Err(Reason::Standard);
    }
    let own_process = pidfd_open(getpid(), PidfdFlags::empty()).map_err(Reason::OwnProcess)?;
    let socket = pidfd_getfd(&own_process, descriptor, PidfdGetfdFlags::empty());
    let socket = socket.map_err(Reason::NoDescriptor)?;
    let kind = sockopt::socket_type(&socket).map_err(Reason::NoSocket)?;
    let is_listening = sockopt::socket_acceptconn(&socket).map_err(Reason::NoSocket)?;
    if kind != SocketType::STREAM || !is_listening {
        return Err(Reason::NotListening);
    }
    let listener = TcpListener::from(socket);
    listener.local_addr().map_err(Reason::NotTcp)?;
    listener.set_nonblocking(true).map_err(Reason::Blocking)?;
    Ok(listener)
}
