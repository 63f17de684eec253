//! Idle connections to the backend here.
use std::cell::RefCell;

use notchspool::units::Micros;
use notchspool_runtime::frame_connection::is_quiet;
use tokio::net::TcpStream;

use crate::backend_connection::{Action, BackendConnection, Event};

/// Idle connections at most.
const MAX_IDLE: usize = 64;

/// A connection to the backend: the socket, and what is known of it.
pub struct PooledConnection {
    /// The socket.
    pub stream: TcpStream,
    /// What is open on it.
    pub connection: BackendConnection,
}

/// Connections that can be used again.
#[derive(Default)]
pub struct BackendPool {
    idle: RefCell<Vec<PooledConnection>>,
}

impl BackendPool {
    /// An idle connection that can be used, with this request as the open one.
    pub fn take(&self, now: Micros, attempt_id: &str) -> Option<PooledConnection> {
        while let Some(mut pooled) = self.idle.borrow_mut().pop() {
            let quiet = is_quiet(&pooled.stream);
            let action = pooled.connection.apply(Event::Begin { now, attempt_id, quiet });
            if action == Action::Continue {
                return Some(pooled);
            }
        }
        None
    }

    /// Keeps a connection for later requests.
    pub fn keep(&self, pooled: PooledConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(pooled);
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self, now: Micros) {
        self.idle.borrow_mut().retain(|pooled| !pooled.connection.is_expired(now));
    }
}
