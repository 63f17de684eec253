//! What connections and the node tell each other.
use notchspool_fleet_protocol::Message;
use tokio::sync::mpsc;

/// The one job that there is so far.
pub const JOB: &str = "orders";

/// A connection that another process opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Where an answer goes.
#[derive(Clone, Copy, Debug)]
pub struct ReplyTo {
    /// The connection.
    pub connection: ConnectionId,
    /// Number of the message that is answered.
    pub number: u64,
}

/// What happens on connections that others opened.
pub enum ConnectionEvent {
    /// It was accepted; lines are written to it through the channel.
    Opened(ConnectionId, mpsc::Sender<String>),
    /// A message came.
    Received(ConnectionId, Box<Message>),
    /// It is over.
    Closed(ConnectionId),
    /// A line was no message; the name of the counter for why.
    Undecodable(&'static str),
}
