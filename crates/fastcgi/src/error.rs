//! What can be wrong with what the other side sent.
use std::fmt;

use crate::protocol::{RecordType, RequestId};

/// A breach of the protocol, or of a limit of the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// Not version 1.
    Version(u8),
    /// An application record of a type that there is not, or not from this side.
    UnexpectedType(u8, RequestId),
    /// A management record under a request's id, or the other way round.
    UnexpectedId(RecordType, RequestId),
    /// A content of a length that its type can't have.
    ContentLength(RecordType, usize),
    /// A record for a request that was never begun.
    NotOpen(RecordType, RequestId),
    /// Begun a second time.
    BegunTwice(RequestId),
    /// More of a stream that has ended.
    AfterEnd(RecordType, RequestId),
    /// Input before all params have come.
    StdinBeforeParams(RequestId),
    /// Pairs that end in the middle of one.
    BrokenPair(RequestId),
    /// More requests than the reader takes.
    TooManyRequests(usize),
    /// Params of more bytes than the reader takes.
    ParamsTooLong(RequestId, usize),
    /// A body of more bytes than the reader takes.
    BodyTooLong(RequestId, usize),
    /// More of stderr, in bytes, than the reader takes.
    StderrTooLong(RequestId, usize),
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProtocolError::Version(version) => write!(f, "version {version}, not 1"),
            ProtocolError::UnexpectedType(number, id) => {
                write!(f, "request {}: no record type {number} here", id.0)
            }
            ProtocolError::UnexpectedId(kind, id) => write!(f, "{kind:?} under id {}", id.0),
            ProtocolError::ContentLength(kind, length) => write!(f, "{kind:?} of {length} bytes"),
            ProtocolError::NotOpen(kind, id) => {
                write!(f, "{kind:?} for request {}, which is not open", id.0)
            }
            ProtocolError::BegunTwice(id) => write!(f, "request {} begun twice", id.0),
            ProtocolError::AfterEnd(kind, id) => write!(f, "request {}: {kind:?} after its end", id.0),
            ProtocolError::StdinBeforeParams(id) => {
                write!(f, "request {}: stdin before the end of params", id.0)
            }
            ProtocolError::BrokenPair(id) => {
                write!(f, "request {}: params end in the middle of a pair", id.0)
            }
            ProtocolError::TooManyRequests(limit) => write!(f, "more than {limit} requests at once"),
            ProtocolError::ParamsTooLong(id, limit) => {
                write!(f, "request {}: params over {limit} bytes", id.0)
            }
            ProtocolError::BodyTooLong(id, limit) => {
                write!(f, "request {}: a body over {limit} bytes", id.0)
            }
            ProtocolError::StderrTooLong(id, limit) => {
                write!(f, "request {}: stderr over {limit} bytes", id.0)
            }
        }
    }
}

impl std::error::Error for ProtocolError {}
