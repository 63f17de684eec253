//! What operators ask a replica over HTTP: `config.replace`, `config.read`, whether its version is the newest, and its figures.
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, LOCATION};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use notchspool_runtime::random_id;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::Server;

/// Bytes of a configuration at most.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Calls at once.
const MAX_CALLS: usize = 1_000;
/// A request's head has to be complete within this.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_HEADER_BYTES: usize = 64 << 10;

const READY_PATH: &str = "/notchspool/ready";
const FIGURES_PATH: &str = "/notchspool/figures";
const CALL_PATH: &str = "/notchspool/rpc";

/// The answer to a call.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

impl Answer {
    fn new(status: u16, body: impl Into<String>) -> Answer {
        Answer { status, body: body.into() }
    }
}

impl Server {
    /// Serves one connection of an operator.
    pub(super) async fn serve_operator(self: Rc<Server>, stream: TcpStream) {
        // Without it the connection works all the same.
        let _ = stream.set_nodelay(true);
        let service = hyper::service::service_fn(move |request| self.clone().respond(request));
        let mut http = hyper::server::conn::http1::Builder::new();
        http.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(MAX_HEADER_BYTES);
        // An operator that leaves early is no fault of ours.
        let _ = http.serve_connection(TokioIo::new(stream), service).await;
    }

    async fn respond(
        self: Rc<Server>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let target = request.uri().path_and_query().map_or(String::new(), ToString::to_string);
        let Answer { status, body } = self.answer(request).await;
        let content_type = if body.starts_with('{') { "application/json" } else { "text/plain" };
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        if status == 503
            && let Some(other) = self.other_operator_addresses().first()
            && let Ok(location) = HeaderValue::try_from(format!("http://{other}{target}"))
        {
            response.headers_mut().insert(LOCATION, location);
        }
        Ok(response)
    }

    async fn answer(self: &Rc<Server>, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            READY_PATH => return self.readiness(),
            FIGURES_PATH => return Answer::new(200, self.replica.borrow().figures(self.clock.now())),
            CALL_PATH => {}
            _ => return Answer::new(404, "no such place"),
        }
        if request.method() != Method::POST {
            return Answer::new(405, "calls are POST");
        }
        let query = request.uri().query().unwrap_or_default();
        let name = query.split('&').find_map(|part| part.strip_prefix("call="));
        let name = name.unwrap_or_default().to_string();
        let body = match Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => return Answer::new(413, "the body is too large"),
            Err(_) => return Answer::new(400, "the body was cut short"),
        };
        self.call(&name, &body).await
    }

    async fn call(self: &Rc<Server>, name: &str, body: &[u8]) -> Answer {
        if self.calls.borrow().len() >= MAX_CALLS {
            return Answer::new(503, "too many calls at once");
        }
        let (id, now) = (self.next_id(), self.clock.now());
        let (done, answered) = oneshot::channel();
        self.calls.borrow_mut().insert(id, done);
        let effects = match name {
            "config.replace" => self.replica.borrow_mut().replace_config(now, id, body),
            "config.read" => self.replica.borrow_mut().read_config(now, id),
            _ => {
                self.calls.borrow_mut().remove(&id);
                return Answer::new(404, "no such call here");
            }
        };
        self.carry_out(effects);
        let answer = answered.await.unwrap_or_else(|_| Answer::new(503, "given up"));
        match answer.status {
            503 => Answer::new(503, self.with_others(&answer.body)),
            _ => answer,
        }
    }

    /// Whether what this replica has of the operator's configuration is the newest.
    fn readiness(&self) -> Answer {
        let known = self.replica.borrow_mut().confirmed_version(self.clock.now());
        let version = known.version;
        if known.confirmed {
            return Answer::new(200, format!("version {version} is the newest"));
        }
        let reason = format!("it is not known whether version {version} is the newest");
        Answer::new(503, self.with_others(&reason))
    }

    fn with_others(&self, reason: &str) -> String {
        let others = self.other_operator_addresses();
        let whom = if others.is_empty() { "another replica".into() } else { others.join(" or ") };
        format!("{reason}; ask {whom}")
    }

    /// Where else an operator may call, in an order drawn anew: the other voters, at the port where this one is called.
    fn other_operator_addresses(&self) -> Vec<String> {
        let own_address = self.settings.borrow().peer_address();
        let port = self.operator_address.port();
        let voters = self.replica.borrow().voter_addresses();
        let others = voters.into_iter().filter(|address| *address != own_address);
        let others = others.filter_map(|address| address.parse::<SocketAddr>().ok());
        let mut addresses: Vec<String> =
            others.map(|address| SocketAddr::new(address.ip(), port).to_string()).collect();
        let first = (random_id() % addresses.len().max(1) as u64) as usize;
        addresses.rotate_left(first);
        addresses
    }
}
