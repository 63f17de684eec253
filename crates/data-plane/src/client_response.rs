//! Responses as clients get them.
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use notchspool::units::Micros;

use crate::body_pipe::ResponseBody;
use crate::headers::ATTEMPT_ID;
use crate::peer_link::PeerResponse;

/// A response to a client.
pub type ClientResponse = Response<ResponseBody>;

/// `Retry-After` is no shorter than this, in microseconds.
const MIN_RETRY_AFTER_US: i64 = 10_000;

/// A response of this proxy's own, in plain text.
pub fn plain(status: u16, reason: &str) -> ClientResponse {
    let mut response = Response::new(ResponseBody::text(format!("{reason}\n")));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// 503: it has not run and never will, and is to come back then.
pub fn refused(reason: &str, retry_after: Micros) -> ClientResponse {
    let mut response = plain(503, reason);
    let seconds = format!("{:.3}", retry_after.0.max(MIN_RETRY_AFTER_US) as f64 / 1e6);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// A backend's answer. `attempt_id`: the request's own; what is kept for a key came with that of its first try.
pub fn relayed(answer: PeerResponse, attempt_id: &str) -> ClientResponse {
    let PeerResponse { response: answer, rest, on_consumed, .. } = answer;
    let first = Some(answer.body).filter(|body| !body.is_empty());
    let remaining = Some(answer.length).filter(|length| *length > 0);
    let body = match rest {
        None => ResponseBody::Full(first),
        Some(pipe) => ResponseBody::Streamed { first, pipe, remaining, on_consumed },
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(answer.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(header.value)) {
            response.headers_mut().append(name, value);
        }
    }
    if let Ok(attempt_id) = HeaderValue::from_str(attempt_id) {
        response.headers_mut().insert(ATTEMPT_ID, attempt_id);
    }
    response
}
