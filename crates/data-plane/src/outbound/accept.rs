//! The first step of a request: its route is found, and it is read completely.
use hyper::body::Incoming;
use notchspool::units::Micros;
use notchspool_mesh_config::route_config::{Route, RouteConfig, RouteKind};
use notchspool_mesh_protocol::Header;

use super::{MAX_TIME_MS, Outbound};
use crate::body_budget::BodyReservation;
use crate::body_reader::{self, BodyError};
use crate::client_response::{self, ClientResponse};
use crate::headers::{self, ATTEMPT_ID, OPERATION_KEY, TIME_LEFT};
use crate::request_body::RequestBody;
use crate::response_cutoff::ResponseCutoff;
use crate::running_requests::Origin;
use crate::shutdown::Need;
use crate::stall_detector::LONG_STALL;

/// A client that names no time waits for this.
const DEFAULT_TIME_LEFT: Micros = Micros::ms(30_000);
/// When to come back after a body for which there was no memory.
const BODIES_FULL_RETRY_AFTER: Micros = Micros::ms(500);
/// When to come back where this proxy ends: to another one, which the platform names.
const ENDING_RETRY_AFTER: Micros = Micros::ms(100);

/// A request that was read completely.
pub(super) struct ClientRequest {
    pub method: String,
    pub target: String,
    pub host: String,
    pub headers: Vec<Header>,
    pub body: RequestBody,
    /// The memory that its body takes.
    pub _reservation: BodyReservation,
    pub attempt_id: String,
    pub key: String,
    /// Since when it stands here.
    pub received_at: Micros,
    /// For whom it is served: its own client, or the one for whose request the backend here makes this call.
    pub origin: Origin,
    pub deadline: Micros,
    /// It can be told the end of a body whose length it does not know.
    pub takes_unknown_length: bool,
}

/// The head of a request, and what follows from it.
struct RequestHead {
    parts: hyper::http::request::Parts,
    host: String,
}

impl RequestHead {
    fn new(parts: hyper::http::request::Parts) -> RequestHead {
        let named = parts.headers.get("host").and_then(|host| host.to_str().ok()).unwrap_or_default();
        let host = match named {
            "" => parts.uri.host().unwrap_or_default(),
            named => named,
        };
        RequestHead { host: host.to_string(), parts }
    }

    /// The time that the client has left.
    fn time_left(&self) -> Micros {
        let value = self.parts.headers.get(TIME_LEFT).and_then(|value| value.to_str().ok());
        let time_left = value.and_then(headers::milliseconds);
        time_left.map_or(DEFAULT_TIME_LEFT, |time_left| time_left.min(Micros::ms(MAX_TIME_MS)))
    }
}

impl Outbound {
    /// Finds the route, and reads the request completely.
    pub(super) async fn accept(
        &self,
        config: &RouteConfig,
        request: hyper::Request<Incoming>,
    ) -> Result<(Route, ClientRequest), ClientResponse> {
        // Where this process stood still the request may have come as long ago.
        let (now, age) = (self.context.now(), self.context.observe_running());
        let received_at = now - age;
        let (parts, body) = request.into_parts();
        let head = RequestHead::new(parts);
        let Some(route) = config.route(&head.host, head.parts.uri.path()) else {
            self.context.count("no_route");
            return Err(client_response::plain(404, "no route leads there"));
        };
        let time_left = head.time_left().min(route.timeout);
        let deadline = if age >= LONG_STALL { received_at } else { now } + time_left;
        // What must not be repeated is refused beside its backend, where it is known whether it ran.
        let need = Need { deadline, must_be_complete: route.kind == RouteKind::Download };
        if self.end.get().is_some_and(|end| !end.allows(need)) {
            return Err(self.refuse_at_end());
        }
        let headers = headers::forwarded(&head.parts.headers);
        let attempt_id = headers::single_value(&head.parts.headers, ATTEMPT_ID);
        let Some(attempt_id) = attempt_id.filter(|id| !id.is_empty()) else {
            return Err(client_response::plain(400, "a request needs its Notchspool-Attempt-Id, and one"));
        };
        let Some(key) = headers::single_value(&head.parts.headers, OPERATION_KEY) else {
            return Err(client_response::plain(400, "the Notchspool-Operation-Key can't be told"));
        };
        let (body, reservation) = self.read_body(body, config.limits.max_body_bytes, deadline).await?;
        let own = Origin { call_depth: 0, priority: route.priority, target_at: now + route.latency_target };
        let origin = self.running.origin_of_call(&attempt_id).unwrap_or(own);
        let client = ClientRequest {
            target: head.parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_string(),
            method: head.parts.method.to_string(),
            takes_unknown_length: head.parts.version >= hyper::Version::HTTP_11,
            host: head.host,
            headers,
            body,
            _reservation: reservation,
            attempt_id,
            key,
            received_at,
            origin,
            deadline,
        };
        Ok((route.clone(), client))
    }

    /// Reads the body of a request, unless this proxy ends before it has come.
    async fn read_body(
        &self,
        body: Incoming,
        max_bytes: usize,
        deadline: Micros,
    ) -> Result<(RequestBody, BodyReservation), ClientResponse> {
        let cutoff = ResponseCutoff::new(self.answer_by.subscribe());
        tokio::select! {
            biased;
            read = body_reader::read(&self.context, body, max_bytes, deadline) => {
                read.map_err(|error| self.answer_to_body_error(error))
            }
            () = cutoff.wait_until_too_late(&self.context, || Micros(0)) => Err(self.refuse_at_end()),
        }
    }

    /// This proxy ends before the request could be answered.
    fn refuse_at_end(&self) -> ClientResponse {
        self.context.count("refused_at_end");
        self.refuse("the proxy here ends", ENDING_RETRY_AFTER)
    }

    fn answer_to_body_error(&self, error: BodyError) -> ClientResponse {
        match error {
            BodyError::TooLong => client_response::plain(413, "the body is over the limit"),
            BodyError::CutShort => client_response::plain(400, "the body was cut short"),
            BodyError::TooSlow => {
                self.context.count("bodies_slow");
                client_response::plain(408, "the body has not come in time")
            }
            BodyError::BudgetExhausted => {
                self.context.count("bodies_full");
                self.refuse("there is no memory for its body here", BODIES_FULL_RETRY_AFTER)
            }
        }
    }
}
