//! What the platform and the backend here call: readiness, heartbeats, leave calls, figures.
use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use notchspool::units::Micros;
use notchspool_endpoint_registry::heartbeats::{Departure, Event};

use crate::body_pipe::ResponseBody;
use crate::client_response::ClientResponse;
use crate::config_store::ConfigStore;
use crate::context::Context;
use crate::control_client::ControlClient;
use crate::heartbeat;
use crate::inbound::Inbound;
use crate::outbound::Outbound;
use crate::replicas::Replicas;
use crate::services::Services;

/// A heartbeat may be this large.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Without a majority that confirms a version, this proxy is ready on what it has after this.
const READY_UNCONFIRMED_AFTER: Micros = Micros::ms(4_000);

const READY_PATH: &str = "/notchspool/ready";
const FIGURES_PATH: &str = "/notchspool/figures";
const CALL_PATH: &str = "/notchspool/rpc";

/// The parts of the proxy that it asks.
pub struct LocalApi {
    /// Identity, clock and counters.
    pub context: Rc<Context>,
    /// The configuration in force.
    pub config: Rc<ConfigStore>,
    /// Endpoints and balancers.
    pub services: Rc<Services>,
    /// The control plane.
    pub replicas: Rc<Replicas>,
    /// Requests that begin here.
    pub outbound: Rc<Outbound>,
    /// Requests for the backend here.
    pub inbound: Rc<Inbound>,
    /// Connections to the replicas.
    pub control: Rc<ControlClient>,
    /// What was acknowledged last of a backend on its way out.
    pub confirmed_departure: RefCell<Option<(String, Departure)>>,
    /// The process ends.
    pub is_stopping: Cell<bool>,
}

fn respond(status: u16, body: &str) -> ClientResponse {
    let mut response = Response::new(ResponseBody::text(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = if body.starts_with('{') { "application/json" } else { "text/plain" };
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// The value of a parameter of a query; empty where there is none.
fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or_default()
}

impl LocalApi {
    /// Serves one call.
    pub async fn serve(self: Rc<LocalApi>, request: Request<Incoming>) -> ClientResponse {
        match request.uri().path() {
            READY_PATH => self.readiness(),
            FIGURES_PATH => respond(200, &self.figures()),
            CALL_PATH if request.method() != Method::POST => respond(405, "calls are POST\n"),
            CALL_PATH => self.call(request).await,
            _ => respond(404, "no such place\n"),
        }
    }

    async fn call(&self, request: Request<Incoming>) -> ClientResponse {
        let query = request.uri().query().unwrap_or_default().to_string();
        let instance = parameter(&query, "of");
        let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
            return self.invalid_call(400, "the body is too large or cut short\n");
        };
        match parameter(&query, "call") {
            "instances.heartbeat" => match heartbeat::parse(instance, &body.to_bytes()) {
                Ok(heartbeat) => {
                    self.inbound.on_backend_event(Event::Heartbeat(heartbeat));
                    self.acknowledge(instance).await
                }
                Err(reason) => self.invalid_call(400, &format!("{reason}\n")),
            },
            "instances.leave" => {
                self.inbound.on_backend_event(Event::Leave(instance.to_string()));
                self.acknowledge(instance).await
            }
            _ => self.invalid_call(404, "no such call here\n"),
        }
    }

    /// Acknowledges a call of a backend. That it drains or leaves binds once it is acknowledged, also the next run of this process, which has
    /// nothing but the replicas to know it from: a majority has to have it on disk first.
    async fn acknowledge(&self, instance: &str) -> ClientResponse {
        let Some(departure) = self.inbound.departure(instance) else { return respond(200, "{}") };
        let departed = Some((instance.to_string(), departure));
        if *self.confirmed_departure.borrow() == departed {
            return respond(200, "{}");
        }
        if !self.control.confirm_departure(instance, departure).await {
            self.context.count("departures_unconfirmed");
            return respond(503, "no majority of replicas knows of it yet\n");
        }
        self.confirmed_departure.replace(departed);
        respond(200, "{}")
    }

    fn invalid_call(&self, status: u16, reason: &str) -> ClientResponse {
        self.context.count("calls_senseless");
        respond(status, reason)
    }

    fn readiness(&self) -> ClientResponse {
        match (self.is_ready(), self.replicas.confirmed_version()) {
            (true, Some(_)) => respond(200, "ready\n"),
            (true, None) => {
                respond(200, "ready, on a configuration that no majority of replicas vouches for\n")
            }
            (false, _) => respond(503, "not ready\n"),
        }
    }

    /// Whether clients may be sent here: a configuration, a list, and nothing newer known.
    fn is_ready(&self) -> bool {
        if self.is_stopping.get() || self.services.list_version() == 0 {
            return false;
        }
        let Some(version) = self.config.version() else { return false };
        match self.replicas.confirmed_version() {
            Some(newest) => version >= newest,
            None => self.context.now() >= READY_UNCONFIRMED_AFTER,
        }
    }

    /// Sums since the start and what is held now, a line each.
    pub fn figures(&self) -> String {
        let reach = self.replicas.reach();
        let mut lines = vec![
            format!("configuration_version {}", self.config.version().unwrap_or(0)),
            format!("list_version {}", self.services.list_version()),
            format!("replicas_reached {} of {}", reach.reached, reach.voters),
            format!("in_hand {}", self.outbound.in_flight()),
            format!("body_memory_free {}", self.context.body_budget.free_bytes()),
            format!("answer_memory_free {}", self.context.answer_budget.free_bytes()),
            format!("kept_answer_bytes {}", self.inbound.cached_response_bytes()),
        ];
        lines.extend(self.inbound.backend_figure());
        lines.extend(self.services.figures());
        let counters = self.context.counters().into_iter();
        lines.extend(counters.map(|(name, count)| format!("{name} {count}")));
        lines.join("\n") + "\n"
    }
}
