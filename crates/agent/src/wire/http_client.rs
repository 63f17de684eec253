//! HTTP clients for backends and the registry, on connections of our own.
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpSocket, TcpStream};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};

use super::backend_connection::BackendConnection;
use super::connection_history::{ConnectionHistory, reason};
use crate::base::limits::{SEND_BUFFER_BYTES, SharedLimits};
use crate::state::counters::Counters;

/// Error text of a connection that was not even tried, for want of room.
pub const NO_ROOM: &str = "no room for another connection";
/// Our own time-out for connecting comes before the library's by this.
const LIBRARY_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// No connection is closed for its age alone.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(24 * 3600);

/// What the connections of a client depend on.
#[derive(Clone)]
pub struct ClientConfig {
    /// Limits on connections to all backends; nothing: it opens one whatever others hold.
    pub limits: Option<SharedLimits>,
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Duration,
    /// How long a connection is kept idle.
    pub idle_timeout: Duration,
    /// The counters.
    pub counters: Rc<Counters>,
    /// What became of earlier connections.
    pub history: Rc<ConnectionHistory>,
}

/// A client for one backend. It adds nothing of its own: no time-out but the connect one, no redirects, no decompression, no second sending;
/// connections are dropped before the backend may have closed them.
pub fn http_client(config: ClientConfig) -> Client {
    let (connect_timeout, idle_timeout) = (config.connect_timeout, config.idle_timeout);
    let connect = actix_service::fn_service(move |info: ConnectInfo<Uri>| open(info, config.clone()));
    let connector = Connector::new()
        .connector(connect)
        .timeout(connect_timeout + LIBRARY_TIMEOUT_MARGIN)
        .limit(0)
        .conn_keep_alive(idle_timeout)
        .conn_lifetime(MAX_CONNECTION_AGE)
        .disconnect_timeout(Duration::ZERO);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

async fn open(
    info: ConnectInfo<Uri>,
    config: ClientConfig,
) -> Result<Connection<Uri, BackendConnection>, ConnectError> {
    let ClientConfig { limits, connect_timeout, counters, history, .. } = config;
    let uri = info.request().clone();
    let address = uri.authority().and_then(|authority| authority.as_str().parse::<SocketAddr>().ok());
    let address = address.ok_or(ConnectError::Unresolved)?;
    if limits.is_some_and(|l| counters.backend_connections.get() >= l.now().backend_connections) {
        return Err(ConnectError::Io(io::Error::other(NO_ROOM)));
    }
    match connect_within(address, connect_timeout).await {
        Ok(stream) => Ok(Connection::new(uri, BackendConnection::new(stream, address, counters, history))),
        Err(error) => {
            let is_late = error.kind() == ErrorKind::TimedOut;
            let code = if is_late { reason::NEVER_UP } else { reason::REFUSED };
            counters.add(if is_late { "links_never_up" } else { "links_refused" });
            log::info!("link to {address} ended: {code} ({error})");
            Err(ConnectError::Io(error))
        }
    }
}

/// Connects.
///
/// # Errors
///
/// What the system says; a time-out is an error like any other.
pub async fn connect_within(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connected = actix_rt::time::timeout(timeout, connect(address)).await;
    connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
}

/// Little waits in the system's buffer: it counts as memory, and what is still here when a connection breaks is known not to have been written.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.connect(address).await
}
