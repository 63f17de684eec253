//! A request in flight: what goes on to backends unchanged, and who waits for its answer.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::{Method, StatusCode};
use awc::http::header::{HeaderName, HeaderValue};
use awc::http::uri::PathAndQuery;
use bytes::Bytes;
use notchspool::stalled_answers::StalledAnswerRule;
use notchspool::units::{BackendId, Micros};
use notchspool_routes::retry_budget::RetryBudget;
use tokio::sync::oneshot;

use super::body_budget::BodyReservation;
use super::body_stream::{BodyStream, RemainingBody};

/// Headers as they go out.
pub type Headers = Vec<(HeaderName, HeaderValue)>;

/// Which answers of a backend are successes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerRules {
    /// The platform's: 200 alone; a 4xx says that no backend can use the request.
    Platform,
    /// Any that is not the backend's own failure: all below 500 but 408 and 429.
    Plain,
}

/// What an attempt takes to a backend, as it came.
pub struct OutgoingRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its headers, without those of one connection.
    pub headers: Headers,
    /// The header that tells the backend how many milliseconds are left.
    pub deadline_header: Option<HeaderName>,
    /// All of the body, or what is held of it where the rest passes through.
    pub body: Bytes,
    /// What of the body is held out of the body budget.
    pub reservation: Option<BodyReservation>,
    /// What follows of the body.
    pub remaining: Option<RemainingBody>,
    /// Which answers are successes.
    pub rules: AnswerRules,
    /// Whether a large answer may pass through in chunks.
    pub may_stream_answer: bool,
}

/// What a backend answered.
pub struct BackendAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of one connection.
    pub headers: Headers,
    /// All of the body, or its beginning.
    pub body: Bytes,
    /// What follows of the body.
    pub remaining: Option<RemainingAnswer>,
}

/// What follows of an answer that passes through.
pub struct RemainingAnswer {
    /// Its chunks.
    pub stream: BodyStream,
    /// Bytes of the complete body, where that was stated.
    pub length: Option<usize>,
}

impl BackendAnswer {
    /// Whether a failure may go back in the backend's own words: not where they would say that all is well, or, as 429 and 503 do, that
    /// asking again is harmless.
    pub fn tells_of_failure(&self) -> bool {
        self.status.is_server_error() && self.status != StatusCode::SERVICE_UNAVAILABLE
    }
}

/// What is known of a request that was not served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnservedFacts {
    /// Attempts that were made in this pool.
    pub attempts: u32,
    /// One of them may have run.
    pub may_have_run: bool,
    /// Backends of this pool that were healthy then.
    pub healthy_backends: usize,
}

/// The final answer.
pub enum FinalAnswer {
    /// A backend's success.
    Succeeded(BackendAnswer),
    /// Not run, or harmless to repeat; when to come back, if the client is to know.
    Rejected(Option<Micros>, UnservedFacts),
    /// With the last answer of a backend, where there was one.
    Failed(Option<BackendAnswer>, UnservedFacts),
}

/// A route, by a number that it keeps over changes of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId(pub usize);

/// The retry budgets of all routes, shared by all pools.
pub type RetryBudgets = Rc<RefCell<BTreeMap<RouteId, RetryBudget>>>;

/// A request between its arrival and its final answer, and as long as an attempt of it is out.
pub struct InFlight {
    /// What its attempts take along.
    pub outgoing: Arc<OutgoingRequest>,
    /// Nothing once it is answered, or once the client has left.
    pub client: Option<oneshot::Sender<FinalAnswer>>,
    /// Attempts so far, in this pool.
    pub attempts: u32,
    /// The backend that its present attempt is at.
    pub backend: Option<BackendId>,
    /// An attempt of it may have run.
    pub may_have_run: bool,
    /// The last answer that was no success.
    pub last_answer: Option<BackendAnswer>,
    /// Attempts in other pools, before it came here.
    pub earlier_attempts: u32,
    /// Whose budget pays for all attempts but the first; nothing: nobody has to.
    pub payer: Option<RouteId>,
    /// When its attempts are given up for an answer that stands still.
    pub stalled_answer_rule: StalledAnswerRule,
}
