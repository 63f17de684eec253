//! Final answers as HTTP responses.
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{Response, StatusCode};
use awc::http::header::{HeaderValue, RETRY_AFTER};
use bytes::Bytes;
use futures_util::Stream;

use super::client_connections::RequestHold;
use crate::state::body_stream::BodyBroken;
use crate::state::request::{BackendAnswer, FinalAnswer, RemainingAnswer};

/// A response of any front.
pub type HttpResponse = Response<BoxBody>;

/// A response with this body and no headers.
pub fn plain(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    Response::with_body(status, BoxBody::new(body.into()))
}

/// An answer that passes through in chunks. Its connection counts as busy until the end.
struct StreamedBody {
    first: Option<Bytes>,
    remaining: RemainingAnswer,
    _hold: Option<RequestHold>,
}

impl MessageBody for StreamedBody {
    type Error = BodyBroken;

    fn size(&self) -> BodySize {
        self.remaining.length.map_or(BodySize::Stream, |length| BodySize::Sized(length as u64))
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyBroken>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(first))),
            None => Pin::new(&mut self.remaining.stream).poll_next(cx),
        }
    }
}

/// The response of a final answer. `hold`: the request's hold on its connection, which an answer that passes through keeps.
pub fn response(answer: FinalAnswer, hold: Option<RequestHold>) -> HttpResponse {
    match answer {
        FinalAnswer::Succeeded(answer) => backend_response(answer, hold),
        FinalAnswer::Rejected(retry_after, _) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "declined\n");
            let seconds = retry_after.map(|span| format!("{:.3}", span.0 as f64 / 1e6));
            if let Some(Ok(seconds)) = seconds.map(HeaderValue::try_from) {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        // A failure in the backend's own words goes back as it came.
        FinalAnswer::Failed(Some(answer), _) => backend_response(answer, None),
        FinalAnswer::Failed(None, _) => plain(StatusCode::BAD_GATEWAY, "reversed\n"),
    }
}

fn backend_response(answer: BackendAnswer, hold: Option<RequestHold>) -> HttpResponse {
    let mut response = match answer.remaining {
        None => plain(answer.status, answer.body),
        Some(remaining) => {
            hold.iter().for_each(RequestHold::begin_streaming_answer);
            let first = Some(answer.body).filter(|body| !body.is_empty());
            let body = BoxBody::new(StreamedBody { first, remaining, _hold: hold });
            Response::with_body(answer.status, body)
        }
    };
    for (name, value) in answer.headers {
        response.headers_mut().append(name, value);
    }
    response
}
