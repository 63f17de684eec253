//! What can be wrong with what the other side sent.
use std::fmt;

use crate::record::{Id, Kind};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Not version 1.
    Version(u8),
    /// An application record of a type that there is not, or not from this side.
    Type(u8, Id),
    /// A management record under a request's id, or the other way round.
    Place(Kind, Id),
    /// A body of a length that its type can't have.
    Length(Kind, usize),
    /// A record for a request that was never begun.
    NotOpen(Kind, Id),
    /// Begun a second time.
    BegunTwice(Id),
    /// More of a stream that has ended.
    AfterEnd(Kind, Id),
    /// Input before all params have come.
    BeforeParams(Id),
    /// An answer's end before the end of its stdout.
    EndTooSoon(Id),
    /// Pairs that end in the middle of one.
    Pairs(Id),
    TooManyRequests(usize),
    ParamsTooLong(Id, usize),
    BodyTooLong(Id, usize),
    StderrTooLong(Id, usize),
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wrong::Version(v) => write!(f, "version {v}, not 1"),
            Wrong::Type(kind, id) => write!(f, "request {}: no record type {kind} here", id.0),
            Wrong::Place(kind, id) => write!(f, "{kind:?} under id {}", id.0),
            Wrong::Length(kind, n) => write!(f, "{kind:?} of {n} bytes"),
            Wrong::NotOpen(kind, id) => write!(f, "{kind:?} for request {}, which is not open", id.0),
            Wrong::BegunTwice(id) => write!(f, "request {} begun twice", id.0),
            Wrong::AfterEnd(kind, id) => write!(f, "request {}: {kind:?} after its end", id.0),
            Wrong::BeforeParams(id) => write!(f, "request {}: stdin before the end of params", id.0),
            Wrong::EndTooSoon(id) => write!(f, "request {}: its end before that of stdout", id.0),
            Wrong::Pairs(id) => write!(f, "request {}: params end in the middle of a pair", id.0),
            Wrong::TooManyRequests(most) => write!(f, "more than {most} requests at once"),
            Wrong::ParamsTooLong(id, most) => write!(f, "request {}: params over {most} bytes", id.0),
            Wrong::BodyTooLong(id, most) => write!(f, "request {}: a body over {most} bytes", id.0),
            Wrong::StderrTooLong(id, most) => write!(f, "request {}: stderr over {most} bytes", id.0),
        }
    }
}

impl std::error::Error for Wrong {}
