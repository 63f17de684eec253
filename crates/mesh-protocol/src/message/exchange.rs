//! A request for a backend beside another proxy, and its response.
use bytes::Bytes;
use prost::Message;

use super::claim::Ticket;

/// One HTTP header.
#[derive(Clone, PartialEq, Message)]
pub struct Header {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value, as the bytes that came.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// A request, with all that the proxy beside the backend needs to admit it.
#[derive(Clone, PartialEq, Message)]
pub struct Request {
    /// Its number on this connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The service that is called.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The instance of it that was chosen.
    #[prost(string, tag = "3")]
    pub instance: String,
    /// The HTTP method.
    #[prost(string, tag = "4")]
    pub method: String,
    /// Path and query, as the client sent them.
    #[prost(string, tag = "5")]
    pub target: String,
    /// Headers.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<Header>,
    /// The whole body, unless [`Request::remote_body`].
    #[prost(bytes = "bytes", tag = "7")]
    pub body: Bytes,
    /// Milliseconds until its deadline, when it is sent.
    #[prost(uint32, tag = "8")]
    pub time_left_ms: u32,
    /// Priority of its route; 0 is the highest.
    #[prost(uint32, tag = "9")]
    pub priority: u32,
    /// It may run more than once.
    #[prost(bool, tag = "10")]
    pub idempotent: bool,
    /// Its idempotency key; empty where it has none.
    #[prost(string, tag = "11")]
    pub key: String,
    /// Under which the key is claimed.
    #[prost(message, optional, tag = "12")]
    pub ticket: Option<Ticket>,
    /// The client's `Notchspool-Attempt-Id`.
    #[prost(string, tag = "13")]
    pub attempt_id: String,
    /// Who calls.
    #[prost(string, tag = "14")]
    pub caller: String,
    /// The host that the client named.
    #[prost(string, tag = "15")]
    pub host: String,
    /// Milliseconds in which a response has its full value; 0 where that is over.
    #[prost(uint32, tag = "16")]
    pub target_left_ms: u32,
    /// The route's latency target in milliseconds, by which the receiver tells kinds of work apart.
    #[prost(uint32, tag = "17")]
    pub latency_target_ms: u32,
    /// Milliseconds since its client sent it, as far as is known.
    #[prost(uint32, tag = "18")]
    pub age_ms: u32,
    /// How many requests wait for this one to be done: 0 for a client's own, 1 for a call made for such a one.
    #[prost(uint32, tag = "19")]
    pub call_depth: u32,
    /// The body comes as [`BodyChunk`]s, as the receiver asks for them by [`BodyConsumed`]. Only to those that said that they do so.
    #[prost(bool, tag = "20")]
    pub remote_body: bool,
    /// Of such a body: its bytes.
    #[prost(uint64, tag = "21")]
    pub body_length: u64,
    /// A streamed response may have a body whose length is not known before its end. Earlier builds, which do not say so, get such a body whole.
    #[prost(bool, tag = "22")]
    pub takes_unknown_length: bool,
}

/// What became of a request at the proxy beside the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// Not known, for instance since a process ended.
    MayHaveRun = 0,
    /// The backend answered.
    Answered = 1,
    /// It has not run there and never will.
    NotRun = 2,
    /// A request with its key is running.
    InProgress = 3,
    /// Its key is held by another proxy: to be asked there.
    HeldElsewhere = 4,
    /// A request with its key ran, but its response is not known.
    ResponseLost = 5,
    /// Not run, and the instance that was meant is not here any more.
    OtherInstance = 6,
}

/// The response to a [`Request`], or the first part of one that is streamed.
#[derive(Clone, PartialEq, Message)]
pub struct Response {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What became of the request.
    #[prost(enumeration = "Verdict", tag = "2")]
    pub verdict: i32,
    /// The HTTP status.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Headers.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<Header>,
    /// The body, or its first bytes.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// More of the body comes as [`BodyChunk`]s.
    #[prost(bool, tag = "6")]
    pub more: bool,
    /// Of a streamed one: bytes of the whole body; 0 where they are not known before its end.
    #[prost(uint64, tag = "7")]
    pub length: u64,
    /// Why it was refused, for people.
    #[prost(string, tag = "8")]
    pub reason: String,
    /// The proxy that holds the key.
    #[prost(string, tag = "9")]
    pub holder: String,
    /// That proxy's boot id.
    #[prost(uint64, tag = "10")]
    pub holder_boot_id: u64,
    /// Utilisation of the backend in thousandths, plus 1; 0 where it is not reported.
    #[prost(uint32, tag = "11")]
    pub utilisation: u32,
    /// Requests in flight at the backend.
    #[prost(uint32, tag = "12")]
    pub in_flight: u32,
    /// Requests queued for the backend.
    #[prost(uint32, tag = "13")]
    pub queued: u32,
    /// The backend was reached: this counts as an attempt there.
    #[prost(bool, tag = "14")]
    pub reached_backend: bool,
    /// When to come back, in milliseconds; 0 where it is not told.
    #[prost(uint32, tag = "15")]
    pub retry_after_ms: u32,
    /// Microseconds that the backend took.
    #[prost(uint64, tag = "16")]
    pub backend_us: u64,
    /// Not run, and no other backend would do better now: to be answered without a retry.
    #[prost(bool, tag = "17")]
    pub final_refusal: bool,
    /// The backend failed since a call that it made failed: that says nothing of the backend.
    #[prost(bool, tag = "18")]
    pub call_failed: bool,
}

/// A request is of no use any more.
#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// Asks for the response to a key that is held by the receiver.
#[derive(Clone, PartialEq, Message)]
pub struct FetchResponse {
    /// Its number on this connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// The boot id of the proxy that claimed it.
    #[prost(uint64, tag = "3")]
    pub holder_boot_id: u64,
}

/// More bytes of a streamed body.
#[derive(Clone, PartialEq, Message)]
pub struct BodyChunk {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
    /// Nothing follows.
    #[prost(bool, tag = "3")]
    pub last: bool,
    /// The body broke off: it is not complete.
    #[prost(bool, tag = "4")]
    pub truncated: bool,
}

/// Flow control: the reader of a streamed response has taken bytes, or asks for bytes of a request's body.
#[derive(Clone, PartialEq, Message)]
pub struct BodyConsumed {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Bytes taken, or asked for, since the last such message.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}
