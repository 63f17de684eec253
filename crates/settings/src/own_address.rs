//! Whether an address is the agent's own.
use std::net::SocketAddr;

/// Whether what is sent to `address` comes to a listener at `own`.
pub fn reaches_listener(own: SocketAddr, address: SocketAddr) -> bool {
    let unspecified =
        own.ip().is_unspecified() && address.ip().is_loopback() || address.ip().is_unspecified();
    own.port() == address.port() && (own.ip() == address.ip() || unspecified)
}
