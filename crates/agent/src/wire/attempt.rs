//! One attempt over HTTP, from its first byte to what became of it.
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::error::PayloadError;
use actix_http::{Method, StatusCode};
use awc::error::{ConnectError, SendRequestError};
use awc::http::Uri;
use awc::{Client, ClientResponse};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use notchspool::units::{AttemptOutcome, LoadReport};
use notchspool_settings::load_report;

use super::answer::{AttemptResult, classify, content_length, forwarded_headers, header_report};
use super::attempt_body::AttemptBody;
use super::attempt_progress::{AttemptProgress, CURRENT_ATTEMPT};
use super::http_client::NO_ROOM;
use crate::base::limits::{SMALL_BODY_BYTES, STALLED_ANSWER_TIMEOUT};
use crate::state::body_stream::{BodyBroken, BodySender, MAX_BODY_BYTES, body_stream};
use crate::state::counters::Counters;
use crate::state::request::{AnswerRules, BackendAnswer, OutgoingRequest, RemainingAnswer};

/// A backend that takes nothing of a body for so long will not: longer than a client may take to give more of it.
const UNTAKEN_BODY_TIMEOUT: Duration = Duration::from_millis(3_500);
/// How often an attempt is looked at whose body passes through: its deadline moves when the body ends.
const BODY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// What an attempt waits at most for its body to pass.
const MAX_BODY_TIME: Duration = Duration::from_secs(600);

/// Where and for how long an attempt is made.
#[derive(Clone)]
pub struct AttemptTarget {
    /// Opens connections.
    pub client: Client,
    /// The backend.
    pub backend: SocketAddr,
    /// The attempt's time.
    pub timeout: Duration,
    /// An answer that has begun and stands still for so long, since its last byte, is given up.
    pub stall_timeout: Duration,
    /// The counters.
    pub counters: Rc<Counters>,
}

/// When an attempt is over: where the body passes through, its time runs from the body's last byte.
struct AttemptDeadline {
    outgoing: Arc<OutgoingRequest>,
    began: Instant,
    timeout: Duration,
}

impl AttemptDeadline {
    fn now(&self) -> Instant {
        let Some(remaining) = &self.outgoing.remaining else { return self.began + self.timeout };
        match remaining.completed_at() {
            Some(completed_at) => completed_at + remaining.answer_timeout,
            None => self.began + MAX_BODY_TIME,
        }
    }
}

/// Sends a request to a backend and waits for its answer until the attempt's time is up.
pub async fn send(target: AttemptTarget, outgoing: Arc<OutgoingRequest>) -> AttemptResult {
    let (backend, stall_timeout) = (target.backend, target.stall_timeout);
    let body_length = match &outgoing.remaining {
        None => Some(outgoing.body.len()),
        Some(remaining) => remaining.length,
    };
    let progress = AttemptProgress::new(body_length, outgoing.method == Method::HEAD);
    let deadline =
        AttemptDeadline { outgoing: outgoing.clone(), began: Instant::now(), timeout: target.timeout };
    let passes_body = outgoing.remaining.is_some();
    let mut body_watch = BodyWatch { written: 0, since: Instant::now() };
    let exchange = exchange(target, outgoing, progress.clone());
    let mut exchange = pin!(CURRENT_ATTEMPT.scope(progress.clone(), exchange));
    loop {
        let now = Instant::now();
        let mut check_at = progress.arrival().next_check(stall_timeout, deadline.now(), now);
        if passes_body {
            check_at = check_at.min(now + BODY_CHECK_INTERVAL);
        }
        let wait = check_at.saturating_duration_since(now);
        if let Ok(result) = actix_rt::time::timeout(wait, &mut exchange).await {
            return result;
        }
        let now = Instant::now();
        if now >= deadline.now() {
            return AttemptResult::only(if progress.is_fully_written() {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::ConnectFailed
            });
        }
        let arrival = progress.arrival();
        if arrival.is_stalled(stall_timeout, now) {
            let (bytes, waited) = (arrival.bytes(), stall_timeout.as_millis());
            log::warn!("backend {backend}: an answer that stands still after {bytes} bytes, for {waited} ms");
            return AttemptResult::only(AttemptOutcome::ConnectionLost);
        }
        if body_watch.is_stuck(&progress, passes_body) {
            log::warn!("backend {backend}: it takes no more after {} bytes", body_watch.written);
            return AttemptResult::only(AttemptOutcome::ConnectFailed);
        }
    }
}

/// How much of a body was taken, and since when no more.
struct BodyWatch {
    written: usize,
    since: Instant,
}

impl BodyWatch {
    /// Whether the backend takes no more of a body that passes through.
    fn is_stuck(&mut self, progress: &AttemptProgress, passes_body: bool) -> bool {
        if passes_body && !progress.is_fully_written() && progress.written() == self.written {
            return self.since.elapsed() > UNTAKEN_BODY_TIMEOUT;
        }
        *self = BodyWatch { written: progress.written(), since: Instant::now() };
        false
    }
}

/// What the head of an answer says of its body.
#[derive(Clone, Copy)]
struct AnswerFraming {
    /// Bytes of the body, where they are stated.
    length: Option<usize>,
    is_chunked: bool,
}

impl AnswerFraming {
    fn of<S>(answer: &ClientResponse<S>, method: &Method) -> AnswerFraming {
        let has_no_body = *method == Method::HEAD || answer.status() == 204 || answer.status() == 304;
        let is_chunked = answer.headers().contains_key("transfer-encoding");
        let length = content_length(answer.headers()).filter(|_| !has_no_body && !is_chunked);
        AnswerFraming { length, is_chunked }
    }

    /// Whether a body of so many bytes, after which the backend's sending ended, is complete: an answer that stops short of its length, or
    /// between chunks, is not.
    fn is_complete(self, bytes: usize, progress: &AttemptProgress) -> bool {
        self.length.is_none_or(|length| length == bytes)
            && !(self.is_chunked && progress.ended_by_backend.get())
    }
}

/// The beginning of an answer's body.
enum AnswerStart {
    Complete,
    Large,
    Broken,
}

async fn exchange(
    target: AttemptTarget,
    outgoing: Arc<OutgoingRequest>,
    progress: Rc<AttemptProgress>,
) -> AttemptResult {
    let (backend, counters) = (target.backend, target.counters.clone());
    let mut answer = match send_request(target, &outgoing, &progress).await {
        Ok(answer) => answer,
        Err(result) => return result,
    };
    let report = header_report(answer.headers());
    let outcome = classify(answer.status(), answer.headers(), outgoing.rules);
    let (status, headers) = (answer.status(), forwarded_headers(answer.headers(), outgoing.rules));
    let framing = AnswerFraming::of(&answer, &outgoing.method);
    let succeeded = outcome == AttemptOutcome::Succeeded;
    let mut body = BytesMut::new();
    let start = read_start(&mut answer, &mut body, framing, &progress).await;
    if let AnswerStart::Complete = start {
        progress.on_answer_end(framing.length, framing.is_chunked);
        let may_go_back = succeeded || outgoing.rules == AnswerRules::Plain;
        let body = body.freeze();
        let answer = may_go_back.then(|| BackendAnswer { status, headers, body, remaining: None });
        return AttemptResult { outcome, report, answer };
    }
    let is_streamable = matches!(start, AnswerStart::Large)
        && outgoing.may_stream_answer
        && framing.length.is_none_or(|length| length <= MAX_BODY_BYTES);
    if !is_streamable {
        log::warn!("backend {backend}: an answer that stops short or is too large");
        let outcome = if succeeded { AttemptOutcome::ConnectionLost } else { outcome };
        return AttemptResult { report, ..AttemptResult::only(outcome) };
    }
    if !succeeded {
        return AttemptResult { report, ..AttemptResult::only(outcome) };
    }
    let (sender, stream) = body_stream();
    let streamed = StreamedAnswer { backend, framing, progress, passed: body.len() };
    actix_rt::spawn(CURRENT_ATTEMPT.scope(
        CURRENT_ATTEMPT.with(Rc::clone),
        streamed.run(answer, sender, StreamingCount::begin(counters)),
    ));
    let remaining = Some(RemainingAnswer { stream, length: framing.length });
    let answer = Some(BackendAnswer { status, headers, body: body.freeze(), remaining });
    AttemptResult { outcome, report, answer }
}

/// Writes the request and waits for the head of its answer.
async fn send_request(
    target: AttemptTarget,
    outgoing: &Arc<OutgoingRequest>,
    progress: &Rc<AttemptProgress>,
) -> Result<ClientResponse, AttemptResult> {
    let uri = Uri::builder().scheme("http").authority(target.backend.to_string());
    let uri = uri.path_and_query(outgoing.path.clone()).build();
    let uri = uri.map_err(|_| AttemptResult::only(AttemptOutcome::NotSent))?;
    let mut request = target.client.request(outgoing.method.clone(), uri).no_decompress();
    for (name, value) in &outgoing.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    let time_left = outgoing.remaining.as_ref().map_or(target.timeout, |remaining| remaining.answer_timeout);
    if let Some(header) = &outgoing.deadline_header {
        request = request.insert_header((header.clone(), time_left.as_millis().to_string()));
    }
    let may_have_body = matches!(outgoing.method, Method::POST | Method::PUT | Method::PATCH);
    let sent = if outgoing.remaining.is_some() || outgoing.body.len() > SMALL_BODY_BYTES {
        request.send_body(AttemptBody::new(outgoing.clone(), progress.clone()))
    } else if outgoing.body.is_empty() && !may_have_body {
        request.send()
    } else {
        request.send_body(outgoing.body.clone())
    };
    sent.await.map_err(|error| {
        AttemptResult::only(if progress.body_broken.get() {
            AttemptOutcome::Cancelled
        } else {
            classify_error(&error, progress.is_fully_written())
        })
    })
}

/// Reads an answer's body to its end, or until it is large.
async fn read_start(
    answer: &mut (impl Stream<Item = Result<Bytes, PayloadError>> + Unpin),
    body: &mut BytesMut,
    framing: AnswerFraming,
    progress: &AttemptProgress,
) -> AnswerStart {
    loop {
        if framing.length.is_some_and(|length| length > SMALL_BODY_BYTES) || body.len() > SMALL_BODY_BYTES {
            return AnswerStart::Large;
        }
        match answer.next().await {
            Some(Ok(chunk)) => body.extend_from_slice(&chunk),
            None if framing.is_complete(body.len(), progress) => return AnswerStart::Complete,
            Some(Err(_)) | None => return AnswerStart::Broken,
        }
    }
}

/// An answer that passes through counts as such while this lives.
struct StreamingCount(Rc<Counters>);

impl StreamingCount {
    fn begin(counters: Rc<Counters>) -> StreamingCount {
        counters.add("flows");
        counters.streamed_answers.set(counters.streamed_answers.get() + 1);
        StreamingCount(counters)
    }
}

impl Drop for StreamingCount {
    fn drop(&mut self) {
        self.0.streamed_answers.set(self.0.streamed_answers.get().saturating_sub(1));
    }
}

/// How an answer that passes through ended: the reason codes in the log.
mod stream_end {
    /// All of it went on.
    pub const COMPLETE: &str = "FLOW_WHOLE";
    /// The client left before its end.
    pub const CLIENT_LEFT: &str = "FLOW_LEFT";
    /// It is over the limit for bodies.
    pub const TOO_LARGE: &str = "FLOW_TOO_LARGE";
    /// It could not be read.
    pub const BROKEN: &str = "FLOW_BROKEN";
    /// The backend closed the connection before its end.
    pub const CUT_SHORT: &str = "FLOW_CUT_SHORT";
    /// Nothing came for [`STALLED_ANSWER_TIMEOUT`](crate::base::limits::STALLED_ANSWER_TIMEOUT).
    pub const STALLED: &str = "FLOW_STANDS_STILL";
}

/// An answer that passes through.
struct StreamedAnswer {
    backend: SocketAddr,
    framing: AnswerFraming,
    progress: Rc<AttemptProgress>,
    /// Bytes of its body so far.
    passed: usize,
}

impl StreamedAnswer {
    async fn run(
        mut self,
        mut answer: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
        sender: BodySender,
        count: StreamingCount,
    ) {
        let code = self.pass(&mut answer, &sender).await;
        if code == stream_end::COMPLETE {
            self.progress.on_answer_end(self.framing.length, self.framing.is_chunked);
        }
        drop(count);
        log::info!("answer of backend {} ended: {code}", self.backend);
    }

    /// Passes it on to its end, and gives back the reason code. The client may leave at any time.
    async fn pass(
        &mut self,
        answer: &mut (impl Stream<Item = Result<Bytes, PayloadError>> + Unpin),
        sender: &BodySender,
    ) -> &'static str {
        loop {
            let chunk = tokio::select! {
                chunk = actix_rt::time::timeout(STALLED_ANSWER_TIMEOUT, answer.next()) => chunk,
                () = sender.closed() => return stream_end::CLIENT_LEFT,
            };
            let (chunk, end) = match chunk {
                Ok(Some(Ok(chunk))) if self.passed + chunk.len() <= MAX_BODY_BYTES => {
                    self.passed += chunk.len();
                    (Ok(chunk), None)
                }
                Ok(Some(Ok(_))) => (Err(BodyBroken), Some(stream_end::TOO_LARGE)),
                Ok(Some(Err(_))) => (Err(BodyBroken), Some(stream_end::BROKEN)),
                Ok(None) if self.framing.is_complete(self.passed, &self.progress) => {
                    (Ok(Bytes::new()), Some(stream_end::COMPLETE))
                }
                Ok(None) => (Err(BodyBroken), Some(stream_end::CUT_SHORT)),
                Err(_) => (Err(BodyBroken), Some(stream_end::STALLED)),
            };
            // An empty chunk would say that the body is complete.
            if end.is_none() && chunk.as_ref().is_ok_and(Bytes::is_empty) {
                continue;
            }
            if sender.send(chunk).await.is_err() {
                return stream_end::CLIENT_LEFT;
            }
            if let Some(code) = end {
                return code;
            }
        }
    }
}

/// A break before the last byte was written never ran; after it, it may have.
fn classify_error(error: &SendRequestError, is_fully_written: bool) -> AttemptOutcome {
    match error {
        SendRequestError::Connect(ConnectError::Io(e)) if e.to_string() == NO_ROOM => AttemptOutcome::NotSent,
        _ if is_fully_written => AttemptOutcome::ConnectionLost,
        _ => AttemptOutcome::ConnectFailed,
    }
}

/// What a health check came to.
#[derive(Clone, Debug)]
pub struct ProbeResult {
    /// What it came to.
    pub outcome: AttemptOutcome,
    /// The load of the backend.
    pub report: Option<LoadReport>,
}

impl ProbeResult {
    /// Without a report.
    pub fn only(outcome: AttemptOutcome) -> ProbeResult {
        ProbeResult { outcome, report: None }
    }
}

/// Asks a backend for its health and load.
pub async fn probe(client: Client, backend: SocketAddr, timeout: Duration) -> ProbeResult {
    let progress = AttemptProgress::new(Some(0), false);
    let exchange = probe_exchange(client, backend, &progress);
    let exchange = CURRENT_ATTEMPT.scope(progress.clone(), exchange);
    let result = actix_rt::time::timeout(timeout, exchange).await;
    result.unwrap_or_else(|_| ProbeResult::only(AttemptOutcome::TimedOut))
}

async fn probe_exchange(client: Client, backend: SocketAddr, progress: &AttemptProgress) -> ProbeResult {
    let sent = client.get(format!("http://{backend}/load")).no_decompress().send().await;
    let mut answer = match sent {
        Ok(answer) => answer,
        Err(error) => return ProbeResult::only(classify_error(&error, progress.is_fully_written())),
    };
    let is_healthy = answer.status() == StatusCode::OK;
    let outcome = if is_healthy { AttemptOutcome::Succeeded } else { AttemptOutcome::Failed };
    let by_header = header_report(answer.headers());
    let length = content_length(answer.headers());
    let is_chunked = answer.headers().contains_key("transfer-encoding");
    let body = answer.body().limit(SMALL_BODY_BYTES).await;
    progress.on_answer_end(length, is_chunked);
    match body {
        Ok(body) => {
            let by_body = std::str::from_utf8(&body).ok().and_then(load_report::parse_line);
            ProbeResult { outcome, report: by_body.or(by_header) }
        }
        Err(_) => ProbeResult { outcome: AttemptOutcome::ConnectionLost, report: by_header },
    }
}
