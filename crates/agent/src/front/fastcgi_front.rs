//! A connection of a `FastCGI` client: several requests at once, by id, each through the front like any other.
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use actix_http::body::MessageBody;
use actix_http::{Method, StatusCode};
use awc::http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use awc::http::uri::PathAndQuery;
use bytes::{Bytes, BytesMut};
use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use notchspool_fastcgi::cgi;
use notchspool_fastcgi::protocol::{ProtocolStatus, RequestId};
use notchspool_fastcgi::server::{Event, Request, ServerLimits, ServerSide};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::routed_front::{IncomingRequest, Refusal, RoutedFront};
use crate::base::limits::SMALL_BODY_BYTES;
use crate::state::request::FinalAnswer;
use crate::wire::client_connections::{ClientState, reason};
use crate::wire::client_stream::ClientStream;
use crate::wire::front_state::FrontState;
use crate::wire::response::{HttpResponse, response};

/// Requests at once on a connection.
const MAX_REQUESTS: usize = 32;
/// Bytes of the params of a connection's requests.
const MAX_PARAMS_BYTES: usize = 64 * 1024;
/// Free space for each read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// What this connection holds of requests that came in part; given back when it goes.
struct PartialRequests {
    state: Rc<FrontState>,
    bytes: usize,
}

impl PartialRequests {
    fn set(&mut self, bytes: usize) {
        let all = self.state.partial_request_bytes.get() + bytes;
        self.state.partial_request_bytes.set(all.saturating_sub(self.bytes));
        self.bytes = bytes;
    }

    /// All together hold more than there is room for, and this one more than its equal part.
    fn is_too_much(&self) -> bool {
        let limit = self.state.limits.now().partial_request_bytes;
        let equal_part = limit / self.state.counters.clients.get().max(1);
        self.state.partial_request_bytes.get() > limit && self.bytes > equal_part
    }
}

impl Drop for PartialRequests {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// What is sent back for one request.
struct RequestAnswer {
    stdout: Bytes,
    status: ProtocolStatus,
}

/// A request that ran, with its answer; nothing where it was aborted.
type RunningRequest = LocalBoxFuture<'static, (RequestId, Option<RequestAnswer>)>;

/// Serves a connection until it ends.
///
/// # Errors
///
/// The connection broke.
pub async fn serve_fastcgi(
    front: Rc<RoutedFront>,
    listener: usize,
    mut stream: ClientStream,
) -> io::Result<()> {
    stream.multiplexes = true;
    FastcgiConnection::new(front, listener, stream).serve().await
}

struct FastcgiConnection {
    front: Rc<RoutedFront>,
    listener: usize,
    client: Rc<ClientState>,
    stream: ClientStream,
    server: ServerSide,
    running: FuturesUnordered<RunningRequest>,
    aborts: BTreeMap<RequestId, AbortHandle>,
    is_closing: bool,
    partial: PartialRequests,
}

impl FastcgiConnection {
    fn new(front: Rc<RoutedFront>, listener: usize, stream: ClientStream) -> FastcgiConnection {
        let limits = ServerLimits {
            requests: MAX_REQUESTS.min(front.state.limits.now().requests),
            params: MAX_PARAMS_BYTES,
            body: SMALL_BODY_BYTES,
        };
        FastcgiConnection {
            partial: PartialRequests { state: front.state.clone(), bytes: 0 },
            front,
            listener,
            client: stream.state.clone(),
            stream,
            server: ServerSide::new(limits),
            running: FuturesUnordered::new(),
            aborts: BTreeMap::new(),
            is_closing: false,
        }
    }

    async fn serve(mut self) -> io::Result<()> {
        loop {
            let is_full = self.partial.is_too_much();
            if is_full && self.running.is_empty() {
                // Nothing of it is in flight. With something in flight no more is read until that is answered.
                self.front.state.counters.add("halves_full");
                self.client.close(reason::MADE_WAY);
                return Ok(());
            }
            if self.is_closing && self.running.is_empty() {
                return self.stream.shutdown().await;
            }
            let mut received = BytesMut::new();
            tokio::select! {
                Some((id, answer)) = self.running.next(), if !self.running.is_empty() => {
                    self.on_answer(id, answer).await?;
                }
                read = read(&mut self.stream, &mut received), if !self.is_closing && !is_full => {
                    // Where the client is gone, what runs for it ends with this.
                    if read? == 0 || !self.on_received(&received).await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    async fn on_answer(&mut self, id: RequestId, answer: Option<RequestAnswer>) -> io::Result<()> {
        self.aborts.remove(&id);
        // One that was given up gets its end, and nothing of an answer.
        let aborted = RequestAnswer { stdout: Bytes::new(), status: ProtocolStatus::Complete };
        let RequestAnswer { stdout, status } = answer.unwrap_or(aborted);
        if let Some(answered) = self.server.answer(id, &stdout, status) {
            self.is_closing |= answered.closes_connection || self.front.state.closes_connections();
            self.stream.write_all(&answered.bytes).await?;
            self.stream.flush().await?;
        }
        Ok(())
    }

    /// False where what came is no `FastCGI`.
    async fn on_received(&mut self, received: &[u8]) -> io::Result<bool> {
        let mut events = Vec::new();
        let taken = self.server.receive(received, &mut events);
        self.partial.set(self.server.held_bytes());
        for event in events {
            self.on_event(event).await?;
        }
        self.stream.flush().await?;
        if let Err(error) = taken {
            self.front.state.counters.add("bad_requests");
            log::info!("FastCGI: {error}");
            self.client.refuse("no FastCGI");
            return Ok(false);
        }
        Ok(true)
    }

    async fn on_event(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Request(request) => self.start(request),
            Event::Aborted(id) => {
                self.front.state.counters.add("fcgi_aborted");
                self.aborts.remove(&id).into_iter().for_each(|handle| handle.abort());
            }
            Event::Send(bytes) => self.stream.write_all(&bytes).await?,
            Event::Close => self.is_closing = true,
        }
        Ok(())
    }

    fn start(&mut self, request: Request) {
        let (handle, registration) = AbortHandle::new_pair();
        let id = request.id;
        self.aborts.insert(id, handle);
        let answer = answer(self.front.clone(), self.listener, request, self.client.clone());
        let answer = Abortable::new(answer, registration);
        self.running.push(Box::pin(async move { (id, answer.await.ok()) }));
    }
}

async fn read(stream: &mut ClientStream, received: &mut BytesMut) -> io::Result<usize> {
    received.reserve(READ_BYTES);
    stream.read_buf(received).await
}

/// One request to its answer. Where it was rejected, and nothing can have run, the protocol has a status for that; its stdout has the answer that HTTP would
/// give: when to come back, and why.
async fn answer(
    front: Rc<RoutedFront>,
    listener: usize,
    request: Request,
    client: Rc<ClientState>,
) -> RequestAnswer {
    let answer = match incoming_request(listener, request) {
        Ok(incoming) => front.forward(incoming, Some(client)).await,
        Err(refusal) => Err(refusal),
    };
    match answer {
        Ok(answer) => {
            let is_harmless = matches!(&answer, FinalAnswer::Rejected(_, unserved) if !unserved.may_have_run);
            let status = if is_harmless { ProtocolStatus::Overloaded } else { ProtocolStatus::Complete };
            RequestAnswer { stdout: stdout(response(answer, None)), status }
        }
        Err(refusal) => {
            front.state.counters.add(refusal.code);
            let is_overload = refusal.status == StatusCode::SERVICE_UNAVAILABLE;
            let status = if is_overload { ProtocolStatus::Overloaded } else { ProtocolStatus::Complete };
            RequestAnswer { stdout: stdout(refusal.response()), status }
        }
    }
}

fn stdout(response: HttpResponse) -> Bytes {
    let (head, body) = response.into_parts();
    let body = body.try_into_bytes().unwrap_or_default();
    let headers = head.headers().iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    cgi::encode_answer(head.status().as_u16(), headers, &body)
}

/// Params to what any front hands in.
fn incoming_request(listener: usize, request: Request) -> Result<IncomingRequest, Refusal> {
    let bad = |text: String| Refusal::bad_request(text);
    let cgi_request = cgi::parse_request(&request.params).map_err(|error| bad(error.to_string()))?;
    let mut headers = HeaderMap::new();
    for (name, value) in &cgi_request.headers {
        let name =
            HeaderName::try_from(name.as_str()).map_err(|_| bad(format!("param HTTP_ of `{name}`")))?;
        let value = HeaderValue::from_maybe_shared(value.clone());
        headers.append(name.clone(), value.map_err(|_| bad(format!("the value of {name}")))?);
    }
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::try_from(cgi_request.host.as_str())
    {
        headers.insert(HOST, host);
    }
    let method = Method::from_bytes(cgi_request.method.as_bytes());
    let path = PathAndQuery::try_from(cgi_request.path.as_str());
    Ok(IncomingRequest {
        listener,
        method: method.map_err(|_| bad("REQUEST_METHOD".into()))?,
        path: path.map_err(|_| bad("the path".into()))?,
        headers,
        client: cgi_request.client_address,
        body: request.body,
    })
}
