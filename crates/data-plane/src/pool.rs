//! Connections to the backend here that stand unused.
use std::cell::RefCell;

use notchspool::units::Micros;
use notchspool_runtime::frame_connection::is_quiet;
use tokio::net::TcpStream;

use crate::connection::{Connection, Event, Step};

/// Connections that stand unused at most.
const MOST_IDLE: usize = 64;

struct Kept {
    stream: TcpStream,
    connection: Connection,
}

#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<Kept>>,
}

impl Pool {
    /// A connection that stood unused and is sound, with this request as its open question.
    pub fn take(&self, now: Micros, attempt: &str) -> Option<(TcpStream, Connection)> {
        while let Some(mut kept) = self.idle.borrow_mut().pop() {
            let quiet = is_quiet(&kept.stream);
            if kept.connection.turn(Event::Ask { now, attempt, quiet }) == Step::Go {
                return Some((kept.stream, kept.connection));
            }
        }
        None
    }

    pub fn keep(&self, stream: TcpStream, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MOST_IDLE {
            idle.push(Kept { stream, connection });
        }
    }

    /// Lets connections go that stood unused for long.
    pub fn tidy(&self, now: Micros) {
        self.idle.borrow_mut().retain(|k| !k.connection.past(now));
    }
}
