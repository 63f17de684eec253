//! The messages between the state and whoever is around it. A backend's actor takes [`ToBackend`] and answers with `AttemptEnded` and
//! `ProbeEnded` of [`super::balancer_actor`], whatever protocol it speaks; a registry takes [`StartWatch`] and tells the list.
use std::net::SocketAddr;
use std::sync::Arc;

use actix::{Message, Recipient};
use notchspool::units::{BackendId, Micros, RequestId};

use super::request::OutgoingRequest;

/// To a backend's actor.
#[derive(Message)]
#[rtype(result = "()")]
pub enum ToBackend {
    /// Send a request.
    Send {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The attempt ends by then at the latest.
        until: Micros,
        /// What it takes along.
        outgoing: Arc<OutgoingRequest>,
        /// An answer that has begun and stands still for so long is given up for a retry; nothing where none may follow.
        stalled_answer_wait: Option<Micros>,
    },
    /// Give an attempt up: its connection closes.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ask for health and load.
    Probe,
    /// Capacity is short: close idle connections if nothing is out.
    CloseIdle,
    /// Whether the list has it no more. What is idle then ends soon, as the process at the other end has.
    SetGone(bool),
    /// Its number is another backend's now.
    Retire,
    /// It is now at another address. What is out stays out; idle connections are closed.
    Move(SocketAddr),
}

/// Where a backend's actor takes its messages.
pub type BackendHandle = Recipient<ToBackend>;

/// Makes the actor of a backend that the list names for the first time.
pub type BackendFactory = Box<dyn Fn(BackendId, SocketAddr) -> BackendHandle>;

/// The pool is gone, and the last request of it is answered.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Shutdown;

/// Start the watch, again if there is one.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StartWatch;
