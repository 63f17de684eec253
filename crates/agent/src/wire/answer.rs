//! What an answer's head says: what the attempt came to, which headers go on, the load of the backend.
use actix_http::StatusCode;
use awc::http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use notchspool::units::{AttemptOutcome, LoadReport};
use notchspool_settings::load_report;

use crate::state::request::{AnswerRules, BackendAnswer, Headers};

/// By which a backend says that it did not run a request.
const NEVER_RAN_HEADER: &str = "x-never-ran";
/// By which a backend reports its load.
const LOAD_HEADER: &str = "endpoint-load-metrics";
/// Headers that belong to one connection (RFC 9110, 7.6.1), or are framing.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// What an attempt came to, with all that the backend said.
pub struct AttemptResult {
    /// What it came to.
    pub outcome: AttemptOutcome,
    /// The load of the backend.
    pub report: Option<LoadReport>,
    /// The answer, where it may go back to the client.
    pub answer: Option<BackendAnswer>,
}

impl AttemptResult {
    /// Without anything that the backend said.
    pub fn only(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, report: None, answer: None }
    }
}

/// How long a body is to be, by its head.
pub fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get("content-length").and_then(|value| value.to_str().ok()?.parse().ok())
}

/// Headers of an answer that go back to the client: of the platform's only the type of the body; of others all but those of the connection.
pub fn forwarded_headers(headers: &HeaderMap, rules: AnswerRules) -> Headers {
    let is_forwarded = |name: &HeaderName| match rules {
        AnswerRules::Platform => *name == CONTENT_TYPE,
        AnswerRules::Plain => !is_connection_header(name, headers),
    };
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Whether a header belongs to one connection and goes no further, or is framing.
pub fn is_connection_header(name: &HeaderName, headers: &HeaderMap) -> bool {
    let names_it = |value: &HeaderValue| {
        let mut names = value.to_str().unwrap_or_default().split(',');
        names.any(|listed| listed.trim().eq_ignore_ascii_case(name.as_str()))
    };
    CONNECTION_HEADERS.contains(&name.as_str()) || headers.get_all("connection").any(names_it)
}

/// What an answer of this status means for the attempt.
pub fn classify(status: StatusCode, headers: &HeaderMap, rules: AnswerRules) -> AttemptOutcome {
    let never_ran = headers.get(NEVER_RAN_HEADER).is_some_and(|value| value.as_bytes() == b"1");
    match status.as_u16() {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if never_ran => AttemptOutcome::Rejected,
        408 | 429 => AttemptOutcome::Failed,
        _ if rules == AnswerRules::Plain && status.as_u16() < 500 => AttemptOutcome::Succeeded,
        400..=499 => AttemptOutcome::Unusable,
        _ => AttemptOutcome::Failed,
    }
}

/// The load that a backend reports with an answer.
pub fn header_report(headers: &HeaderMap) -> Option<LoadReport> {
    headers.get(LOAD_HEADER).and_then(|line| load_report::parse_line(line.to_str().ok()?))
}
