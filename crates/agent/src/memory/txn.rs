//! A txn in hand: what goes on unchanged, and who waits for its answer.
use std::sync::Arc;

use actix_http::Method;
use awc::http::header::HeaderValue;
use awc::http::uri::PathAndQuery;
use bytes::Bytes;
use notchspool::units::{BackendId, Micros};
use tokio::sync::oneshot;

/// What a posting takes to a backend, as it came.
pub struct Carried {
    pub method: Method,
    pub path: PathAndQuery,
    pub trace: HeaderValue,
    pub reference: Option<HeaderValue>,
    pub form: Option<HeaderValue>,
    pub body: Bytes,
}

/// What a backend made of it.
pub struct Made {
    pub body: Bytes,
    pub form: Option<HeaderValue>,
}

/// The final answer.
pub enum Answer {
    Settled(Made),
    Declined(Option<Micros>),
    Reversed,
}

pub struct InHand {
    pub carried: Arc<Carried>,
    /// None once answered, or once the application has left.
    pub caller: Option<oneshot::Sender<Answer>>,
    pub postings: u32,
    pub out: Option<BackendId>,
}
