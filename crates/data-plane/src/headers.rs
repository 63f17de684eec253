//! HTTP headers that the mesh knows by name. The names are the operators'.
use notchspool::units::Micros;
use notchspool_mesh_protocol::Header;

const MICROS_A_MILLISECOND: f64 = 1e3;

/// The id of one attempt of a client.
pub const ATTEMPT_ID: &str = "notchspool-attempt-id";
/// Milliseconds until the client's deadline.
pub const TIME_LEFT: &str = "notchspool-time-left-ms";
/// The instance that a request is meant for.
pub const TARGET_INSTANCE: &str = "notchspool-target-instance";
/// The service that calls.
pub const CALLING_SERVICE: &str = "notchspool-calling-service";
/// The idempotency key.
pub const OPERATION_KEY: &str = "notchspool-operation-key";
/// The seal of the operators' backends.
pub const SERVER_SEAL: &str = "notchspool-server-seal";
/// The backend has not run the request.
pub const NOT_RUN: &str = "notchspool-not-run";

/// Whether a header concerns one connection only, or is set anew at each step (RFC 9110, section 7.6.1).
pub fn is_hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
    ];
    NAMES.contains(&name)
}

/// The one value of a header that says what the request is: an empty one where there is none, `None` where it can't be told.
pub fn single_value(headers: &hyper::HeaderMap, name: &str) -> Option<String> {
    let mut values = headers.get_all(name).iter();
    let first = match values.next() {
        None => return Some(String::new()),
        Some(first) => first.to_str().ok()?,
    };
    values.all(|other| other == first).then(|| first.to_string())
}

/// A time in milliseconds, which may have a fraction; `None` where it is no such time, or none is left.
pub fn milliseconds(text: &str) -> Option<Micros> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let milliseconds = text.parse::<f64>().ok().filter(|_| is_decimal)?;
    let time = Micros((milliseconds * MICROS_A_MILLISECOND) as i64);
    (time > Micros(0)).then_some(time)
}

/// The headers of a client's request that go along to a backend.
pub fn forwarded(headers: &hyper::HeaderMap) -> Vec<Header> {
    let connection = headers.get("connection").and_then(|value| value.to_str().ok()).unwrap_or_default();
    let connection = connection.to_ascii_lowercase();
    let is_listed =
        |name: &str| !connection.is_empty() && connection.split(',').any(|listed| listed.trim() == name);
    let is_own =
        |name: &str| matches!(name, "host" | TIME_LEFT | TARGET_INSTANCE | CALLING_SERVICE | "expect");
    let goes_along = |name: &str| !is_own(name) && !is_listed(name) && !is_hop_by_hop(name);
    let forwarded = headers.iter().filter(|(name, _)| goes_along(name.as_str()));
    let header = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| Header {
        name: name.to_string(),
        value: bytes::Bytes::copy_from_slice(value.as_bytes()),
    };
    forwarded.map(header).collect()
}
