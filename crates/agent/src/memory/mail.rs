//! The messages between the core and whoever stands round it. A peer is whoever takes [`ToPeer`] and answers with the
//! desk's `Returned` and `Probed`, whatever it speaks; a registry is whoever takes [`Watch`] and tells the list.
use std::net::SocketAddr;
use std::sync::Arc;

use actix::{Message, Recipient};
use notchspool::units::{BackendId, Micros, RequestId};

use super::txn::Carried;

#[derive(Message)]
#[rtype(result = "()")]
pub enum ToPeer {
    /// Send a txn; the posting ends by `until` at the latest.
    Post { txn: RequestId, posting: u32, until: Micros, carried: Arc<Carried> },
    /// Give a posting up: its connection closes.
    Cancel { txn: RequestId, posting: u32 },
    /// Ask for health and load.
    Probe,
    /// Room is short: let idle connections go if nothing is out.
    Trim,
    /// Whether the list has it no more. What is idle then ends soon, as the process at the other end has.
    Gone(bool),
    /// Its number is another backend's now.
    Retire,
    /// It is now at another address. What is out stays out; idle connections are let go.
    Move(SocketAddr),
}

pub type Peer = Recipient<ToPeer>;

/// Makes the peer of a backend that the list names for the first time.
pub type Maker = Box<dyn Fn(BackendId, SocketAddr) -> Peer>;

/// Its pool is gone, and the last txn of it is answered.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Shut;

/// Asks for the watch, anew if there is one.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Watch;
