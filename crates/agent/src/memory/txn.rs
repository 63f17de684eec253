//! A txn in hand: what goes on unchanged, and who waits for its answer.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::{Method, StatusCode};
use awc::http::header::{HeaderName, HeaderValue};
use awc::http::uri::PathAndQuery;
use bytes::Bytes;
use notchspool::units::{BackendId, Micros};
use notchspool_routes::budget::Budget;
use tokio::sync::oneshot;

use super::flow::{Flow, Rest};
use super::pot::Drawn;

/// Which answers of a backend settle a txn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The platform's: 200 alone; a 4xx says that no backend can use the txn.
    Platform,
    /// Any that is not the backend's own failure: all below 500 but 408 and 429.
    Plain,
}

/// What a posting takes to a backend, as it came.
pub struct Carried {
    pub method: Method,
    pub path: PathAndQuery,
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The header that tells the backend how many milliseconds are left.
    pub expires: Option<HeaderName>,
    /// All of the body, or what is held of it where the rest passes through.
    pub body: Bytes,
    /// What of it is held out of the shared pot.
    pub drawn: Option<Drawn>,
    pub rest: Option<Rest>,
    pub reading: Reading,
    /// Whether a large answer may pass through in pieces.
    pub flows: bool,
}

/// What a backend made of it.
pub struct Made {
    pub status: StatusCode,
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// All of the body, or its beginning.
    pub body: Bytes,
    pub more: Option<More>,
}

/// What follows of an answer that passes through.
pub struct More {
    pub flow: Flow,
    /// Bytes of the whole body, where that was told.
    pub length: Option<usize>,
}

impl Made {
    /// Whether a failure may go back in the backend's own words: not where they would say that all is well, or, as 429 and
    /// 503 do, that asking again is harmless.
    pub fn tells_of_failure(&self) -> bool {
        self.status.is_server_error() && self.status != StatusCode::SERVICE_UNAVAILABLE
    }
}

/// What is known of a txn that was not served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unserved {
    pub postings: u32,
    pub may_have_run: bool,
    /// Backends of this pool that were sound then.
    pub sound: usize,
}

/// The final answer.
pub enum Answer {
    Settled(Made),
    Declined(Option<Micros>, Unserved),
    /// With the last answer of a backend, where there was one.
    Reversed(Option<Made>, Unserved),
}

/// A route, by a number that it keeps over changes of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId(pub usize);

/// The budgets of all routes, shared by all pools.
pub type Budgets = Rc<RefCell<BTreeMap<RouteId, Budget>>>;

pub struct InHand {
    pub carried: Arc<Carried>,
    /// None once answered, or once the application has left.
    pub caller: Option<oneshot::Sender<Answer>>,
    pub postings: u32,
    pub out: Option<BackendId>,
    pub may_have_run: bool,
    pub last: Option<Made>,
    /// Postings of this txn elsewhere, before it came here.
    pub earlier: u32,
    /// Whose budget pays for all postings but the first; none: nobody has to.
    pub payer: Option<RouteId>,
}
