//! Frames: four bytes of length, big end first, and one message.
use bytes::{Buf, BufMut, BytesMut};
use prost::Message;

use crate::{
    BodyChunk, BodyConsumed, CallerShutdown, Cancel, Claim, ClaimReply, ConfigRequest, ConfigUpdate,
    DepartureReport, Endpoint, EndpointUpdate, FetchResponse, GoAway, HandoverReply, Hello, KnownVersion,
    LivenessReport, MissingText, Ping, ReconfigReply, ReconfigRequest, Request, Response, SnapshotChunk,
    SnapshotRequest, StateRequest, TextEnvelope, UnwatchEndpoints, VoteReply, VoteRequest, VoterState,
    WatchEndpoints, Welcome, WithdrawClaim,
};

/// Bytes of one frame at most: a body of the largest size that goes in one piece, and its head.
pub const MAX_FRAME_BYTES: usize = 72 << 20;
/// Headers of one message at most.
pub const MAX_HEADERS: usize = 1_024;
/// Headers that every build takes.
pub const MIN_HEADERS: usize = 128;
/// Bytes of the length in front.
const LENGTH_BYTES: usize = 4;
/// While a frame is incomplete, room for this much of it is made at a time.
const RESERVE_BYTES: usize = 1 << 16;

/// Why bytes are no frame.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum FrameError {
    /// Longer than [`MAX_FRAME_BYTES`]: where the next frame begins is not known.
    #[display("a frame of {_0} bytes is over the limit")]
    TooLong(#[error(not(source))] usize),
    /// Not a message of a known form.
    #[display("no message of a known form: {_0}")]
    Malformed(prost::DecodeError),
    /// A message without a payload, or with more than [`MAX_HEADERS`] headers.
    #[display("an empty or overfull message")]
    EmptyOrOverfull,
}

/// One message.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// What it carries.
    #[prost(
        oneof = "Payload",
        tags = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,22,24,25,26,27,28,29,40,41,42,43,44,50,51,52,53,54"
    )]
    pub payload: Option<Payload>,
}

/// What a message carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// First on each connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Proxy to proxy: a request for the backend there.
    #[prost(message, tag = "2")]
    Request(Request),
    /// Proxy to proxy: the response to it, or its first part.
    #[prost(message, tag = "3")]
    Response(Response),
    /// Proxy to proxy: the client left, or a response is of no use any more.
    #[prost(message, tag = "4")]
    Cancel(Cancel),
    /// Proxy to proxy: asks for the response to a key that is held there.
    #[prost(message, tag = "5")]
    FetchResponse(FetchResponse),
    /// Proxy to proxy: more bytes of a streamed response.
    #[prost(message, tag = "6")]
    BodyChunk(BodyChunk),
    /// Proxy to proxy: the reader of a streamed response has taken so much.
    #[prost(message, tag = "7")]
    BodyConsumed(BodyConsumed),
    /// To be answered by [`Payload::Pong`].
    #[prost(message, tag = "8")]
    Ping(Ping),
    /// The answer to a [`Payload::Ping`].
    #[prost(message, tag = "9")]
    Pong(Ping),
    /// Replica to proxy or replica, after its hello.
    #[prost(message, tag = "10")]
    Welcome(Welcome),
    /// Proxy to replica: the backend beside it.
    #[prost(message, tag = "11")]
    Endpoint(Endpoint),
    /// Proxy to replica: to be told of endpoints from now on.
    #[prost(message, tag = "12")]
    WatchEndpoints(WatchEndpoints),
    /// Replica to proxy: endpoints, all or those that changed.
    #[prost(message, tag = "13")]
    EndpointUpdate(EndpointUpdate),
    /// The configuration that was chosen.
    #[prost(message, tag = "14")]
    ConfigUpdate(ConfigUpdate),
    /// Proxy to replica: claims an idempotency key.
    #[prost(message, tag = "15")]
    Claim(Claim),
    /// Replica to proxy: the vote on a claim.
    #[prost(message, tag = "16")]
    ClaimReply(ClaimReply),
    /// Proxy to replica: takes a claim back.
    #[prost(message, tag = "17")]
    WithdrawClaim(WithdrawClaim),
    /// Replica to replica: a request on the register of configurations.
    #[prost(message, tag = "18")]
    VoteRequest(VoteRequest),
    /// Replica to replica: the reply to it.
    #[prost(message, tag = "19")]
    VoteReply(VoteReply),
    /// Replica to replica: when each proxy and voter was heard last.
    #[prost(message, tag = "22")]
    LivenessReport(LivenessReport),
    /// What a voter has, for one that has to install it.
    #[prost(message, tag = "24")]
    VoterState(VoterState),
    /// The version that a replica knows to be chosen.
    #[prost(message, tag = "25")]
    KnownVersion(KnownVersion),
    /// Asks for a version.
    #[prost(message, tag = "26")]
    ConfigRequest(ConfigRequest),
    /// Proxy to proxy: the speaker ends.
    #[prost(message, tag = "27")]
    GoAway(GoAway),
    /// Proxy to proxy: the speaker ends, and its requests on this connection with it.
    #[prost(message, tag = "28")]
    CallerShutdown(CallerShutdown),
    /// Replica to proxy: backends beside it that are on their way out.
    #[prost(message, tag = "29")]
    DepartureReport(DepartureReport),
    /// A message whose text stands beside it.
    #[prost(message, tag = "40")]
    TextEnvelope(TextEnvelope),
    /// A text could not be made out.
    #[prost(message, tag = "41")]
    MissingText(MissingText),
    /// Proxy to replica: not to be told of endpoints any more.
    #[prost(message, tag = "42")]
    UnwatchEndpoints(UnwatchEndpoints),
    /// A part of a snapshot.
    #[prost(message, tag = "43")]
    SnapshotChunk(SnapshotChunk),
    /// Asks for a part of a snapshot.
    #[prost(message, tag = "44")]
    SnapshotRequest(SnapshotRequest),
    /// Replica to replica: a request on the successor of a voter set.
    #[prost(message, tag = "50")]
    ReconfigRequest(ReconfigRequest),
    /// Replica to replica: the reply to it.
    #[prost(message, tag = "51")]
    ReconfigReply(ReconfigReply),
    /// A member of a voter set that has to install it asks for the state.
    #[prost(message, tag = "52")]
    StateRequest(StateRequest),
    /// A voter that leaves hands over what it has.
    #[prost(message, tag = "53")]
    Handover(VoterState),
    /// What was handed over is on the disk of the receiver.
    #[prost(message, tag = "54")]
    HandoverReply(HandoverReply),
}

impl Payload {
    fn header_count(&self) -> usize {
        match self {
            Payload::Request(request) => request.headers.len(),
            Payload::Response(response) => response.headers.len(),
            _ => 0,
        }
    }
}

/// Appends one frame.
pub fn encode(payload: Payload, into: &mut BytesMut) {
    let frame = Frame { payload: Some(payload) };
    let length = frame.encoded_len();
    into.reserve(LENGTH_BYTES + length);
    into.put_u32(length as u32);
    // Only a buffer without room refuses, and this one grows.
    let _ = frame.encode(into);
}

/// Takes one frame off the front, once all of it is there; `None` before.
///
/// # Errors
///
/// A malformed frame is taken off as well, so that what follows it can be read; after [`FrameError::TooLong`] it can't.
pub fn decode(from: &mut BytesMut) -> Result<Option<Payload>, FrameError> {
    let Some(head) = from.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let end = LENGTH_BYTES + length;
    if from.len() < end {
        from.reserve((end - from.len()).min(RESERVE_BYTES));
        return Ok(None);
    }
    from.advance(LENGTH_BYTES);
    let frame = Frame::decode(from.split_to(length).freeze()).map_err(FrameError::Malformed)?;
    match frame.payload {
        Some(payload) if payload.header_count() <= MAX_HEADERS => Ok(Some(payload)),
        _ => Err(FrameError::EmptyOrOverfull),
    }
}
