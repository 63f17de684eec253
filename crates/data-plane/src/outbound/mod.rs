//! Requests that begin on this machine, from a client or from the backend here. Its way: `accept` (route, and read completely), `deliver`
//! (pick, attempt, retry), and the answer of a backend, or one of this proxy's own (`answer`).
//!
//! 429 and 503 are answered only where nothing ran nor will, or where the request may be repeated anyway; what is given up is answered at
//! once.
mod accept;
mod answer;
mod deliver;
mod in_flight;

use std::cell::Cell;
use std::rc::Rc;

use hyper::body::Incoming;
use notchspool::units::{Micros, RequestId};
use notchspool_mesh_config::route_config::Route;
use tokio::sync::watch;

use crate::claim_client::ClaimClient;
use crate::client_response::ClientResponse;
use crate::config_store::ConfigStore;
use crate::context::Context;
use crate::peer_connections::PeerConnections;
use crate::response_cutoff::AnswerBy;
use crate::running_requests::RunningRequests;
use crate::services::Services;
use crate::shutdown::KnownEnd;
use accept::ClientRequest;
use deliver::Delivery;
use in_flight::InFlight;

const MAX_TIME_MS: i64 = 600_000;
/// Requests at once.
const MAX_IN_FLIGHT: usize = 4_000;
/// When to come back while no configuration is known, or too many requests are in flight.
const NO_CONFIG_RETRY_AFTER: Micros = Micros::ms(200);
const IN_FLIGHT_FULL_RETRY_AFTER: Micros = Micros::ms(300);

/// Serves requests that begin on this machine.
pub struct Outbound {
    context: Rc<Context>,
    config: Rc<ConfigStore>,
    services: Rc<Services>,
    claims: Rc<ClaimClient>,
    peers: Rc<PeerConnections>,
    running: Rc<RunningRequests>,
    in_flight: Cell<usize>,
    /// The end of this proxy, once it is known.
    end: Cell<Option<KnownEnd>>,
    /// The same for those that wait for something.
    answer_by: watch::Sender<AnswerBy>,
    /// The part of requests that were refused lately, smoothed.
    refused_part: Cell<f64>,
}

/// Counts a request while it is served.
struct InFlightCount(Rc<Outbound>);

impl Drop for InFlightCount {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Outbound {
    /// Routes by `config`, picks backends with `services`, and sends over `peers`.
    pub fn new(
        context: Rc<Context>,
        config: Rc<ConfigStore>,
        services: Rc<Services>,
        claims: Rc<ClaimClient>,
        peers: Rc<PeerConnections>,
        running: Rc<RunningRequests>,
    ) -> Outbound {
        Outbound {
            context,
            config,
            services,
            claims,
            peers,
            running,
            in_flight: Cell::new(0),
            end: Cell::new(None),
            answer_by: watch::Sender::new(None),
            refused_part: Cell::new(0.0),
        }
    }

    /// This proxy ends: what may not be answered completely before is refused.
    pub fn set_end(&self, end: KnownEnd) {
        self.end.set(Some(end));
        self.answer_by.send_if_modified(|answer_by| answer_by.replace(end.answer_by()).is_none());
    }

    /// Requests that are served now.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Serves one request.
    pub async fn serve(self: Rc<Outbound>, request: hyper::Request<Incoming>) -> ClientResponse {
        self.context.event_log.on_request();
        let Some(config) = self.config.current() else {
            self.context.count("no_configuration");
            return self.refuse("no configuration is known here yet", NO_CONFIG_RETRY_AFTER);
        };
        if self.in_flight.get() >= MAX_IN_FLIGHT {
            self.context.count("in_hand_full");
            return self.refuse("too many requests are in hand here", IN_FLIGHT_FULL_RETRY_AFTER);
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let _counted = InFlightCount(self.clone());
        match self.accept(&config, request).await {
            Ok((route, client)) => self.route(&route, client).await,
            Err(response) => response,
        }
    }

    async fn route(self: &Rc<Outbound>, route: &Route, client: ClientRequest) -> ClientResponse {
        let service = route.pick_service(self.context.random()).to_string();
        let request = RequestId(self.context.next_id());
        let in_flight = InFlight {
            outbound: self.clone(),
            service: service.clone(),
            request,
            attempt: Cell::new(None),
            is_answered: Cell::new(false),
        };
        let now = self.context.now();
        let actions = self.services.with(&service, |b| b.begin(now, request, route, client.deadline));
        let delivery = Delivery { route, service: &service, request, client: &client, in_flight: &in_flight };
        let response = self.deliver(&delivery, actions).await;
        if client.origin.call_depth > 0 {
            self.context.count("calls");
            if response.status().is_client_error() || response.status().is_server_error() {
                self.context.count("calls_failed");
                self.running.on_call_failed(&client.attempt_id);
            }
        }
        in_flight.is_answered.set(true);
        response
    }
}
