//! The side that asks: requests of several ids on one connection, and the answers that come back cut and mixed.
//!
//! Invariants (`tests/both_sides.rs`): an answer belongs to the request of its id alone; it is complete only after the end of its stdout and its own end;
//! what is held is bounded.
use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

use crate::error::ProtocolError;
use crate::pairs::{self, Pair};
use crate::protocol::{
    MANAGEMENT, MAX_CONNS, MAX_REQS, MPXS_CONNS, ProtocolStatus, REQUEST_CONTENT_BYTES, ROLE_RESPONDER,
    RecordType, RequestId,
};
use crate::record::{self, Record, end_stream, put, put_begin, put_stream};

/// What one answer may hold, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Its stdout.
    pub stdout: usize,
    /// Its stderr.
    pub stderr: usize,
}

/// What came of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first bytes of an answer have come.
    Begun(RequestId),
    /// An answer has come.
    Answered(Answer),
    /// What the server says of itself.
    Values(Vec<Pair>),
    /// It does not know a management type.
    UnknownType(u8),
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its request.
    pub id: RequestId,
    /// Its head and body.
    pub stdout: Bytes,
    /// What the server wants logged.
    pub stderr: Bytes,
    /// What the application says of its end.
    pub app_status: u32,
    /// What the protocol says of its end.
    pub status: ProtocolStatus,
    /// Its stdout was ended before its end: else what came may be cut short.
    pub is_complete: bool,
}

#[derive(Debug, Default)]
struct Stream {
    bytes: BytesMut,
    has_ended: bool,
}

#[derive(Debug, Default)]
struct PartialAnswer {
    stdout: Stream,
    stderr: Stream,
}

/// See the module.
#[derive(Debug)]
pub struct ClientSide {
    limits: ClientLimits,
    received: BytesMut,
    answers: BTreeMap<RequestId, PartialAnswer>,
}

/// A request as bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedRequest {
    /// Its records.
    pub bytes: Bytes,
    /// So many of them hold all up to the end of params. While fewer are written no server can have begun: it does not know yet what is asked. From
    /// there on it may, though its input is still on its way.
    pub begins_at: usize,
}

/// The records of one request.
pub fn encode_request(id: RequestId, keep_connection: bool, params: &[Pair], body: &[u8]) -> EncodedRequest {
    let mut bytes = BytesMut::new();
    put_begin(&mut bytes, id, ROLE_RESPONDER, keep_connection);
    let mut encoded_params = BytesMut::new();
    params.iter().for_each(|pair| pairs::put(&mut encoded_params, &pair.name, &pair.value));
    put_stream(&mut bytes, RecordType::Params, id, &encoded_params);
    end_stream(&mut bytes, RecordType::Params, id);
    let begins_at = bytes.len();
    put_stream(&mut bytes, RecordType::Stdin, id, body);
    end_stream(&mut bytes, RecordType::Stdin, id);
    EncodedRequest { bytes: bytes.freeze(), begins_at }
}

/// Asks a server what it can do.
pub fn encode_get_values() -> Bytes {
    let mut names = BytesMut::new();
    for name in [MAX_CONNS, MAX_REQS, MPXS_CONNS] {
        pairs::put(&mut names, name.as_bytes(), b"");
    }
    let mut bytes = BytesMut::new();
    put(&mut bytes, RecordType::GetValues, MANAGEMENT, &names);
    bytes.freeze()
}

/// Gives a request up.
pub fn encode_abort(id: RequestId) -> Bytes {
    let mut bytes = BytesMut::new();
    put(&mut bytes, RecordType::Abort, id, &[]);
    bytes.freeze()
}

impl ClientSide {
    /// A connection without requests.
    pub fn new(limits: ClientLimits) -> ClientSide {
        ClientSide { limits, received: BytesMut::new(), answers: BTreeMap::new() }
    }

    /// A request of this id goes out; its answer is waited for.
    pub fn expect_answer(&mut self, id: RequestId) {
        self.answers.insert(id, PartialAnswer::default());
    }

    /// Whether an answer is waited for.
    pub fn expects_answer(&self, id: RequestId) -> bool {
        self.answers.contains_key(&id)
    }

    /// Bytes of this answer that have come in complete records.
    pub fn received(&self, id: RequestId) -> usize {
        let bytes = |answer: &PartialAnswer| answer.stdout.bytes.len() + answer.stderr.bytes.len();
        self.answers.get(&id).map_or(0, bytes)
    }

    /// Whether bytes have come that are no complete record yet.
    pub fn has_partial_record(&self) -> bool {
        !self.received.is_empty()
    }

    /// More bytes have come.
    ///
    /// # Errors
    ///
    /// They breach the protocol or a limit; what was complete before that is in `events`.
    pub fn receive(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), ProtocolError> {
        self.received.extend_from_slice(bytes);
        while let Some(record) = record::next(&mut self.received)? {
            self.on_record(record, events)?;
        }
        Ok(())
    }

    fn on_record(&mut self, record: Record, events: &mut Vec<Event>) -> Result<(), ProtocolError> {
        let Record { kind, id, content } = record;
        match kind {
            RecordType::GetValuesResult if id == MANAGEMENT => {
                let values = pairs::parse_all(content).ok_or(ProtocolError::BrokenPair(id))?;
                events.push(Event::Values(values));
                Ok(())
            }
            RecordType::UnknownType if id == MANAGEMENT => {
                let unknown = content.first().copied().ok_or(ProtocolError::ContentLength(kind, 0))?;
                events.push(Event::UnknownType(unknown));
                Ok(())
            }
            RecordType::Stdout | RecordType::Stderr if id != MANAGEMENT => {
                self.on_output(kind, id, &content, events)
            }
            RecordType::End if id != MANAGEMENT => self.on_end(id, &content, events),
            RecordType::Stdout
            | RecordType::Stderr
            | RecordType::End
            | RecordType::GetValuesResult
            | RecordType::UnknownType => Err(ProtocolError::UnexpectedId(kind, id)),
            other => Err(ProtocolError::UnexpectedType(other.number(), id)),
        }
    }

    fn on_output(
        &mut self,
        kind: RecordType,
        id: RequestId,
        content: &[u8],
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        let limits = self.limits;
        let answer = self.answers.get_mut(&id).ok_or(ProtocolError::NotOpen(kind, id))?;
        let PartialAnswer { stdout, stderr } = answer;
        if stdout.bytes.is_empty() && stderr.bytes.is_empty() && !stdout.has_ended {
            events.push(Event::Begun(id));
        }
        let (stream, limit, too_long) = if kind == RecordType::Stdout {
            (stdout, limits.stdout, ProtocolError::BodyTooLong(id, limits.stdout))
        } else {
            (stderr, limits.stderr, ProtocolError::StderrTooLong(id, limits.stderr))
        };
        if stream.has_ended {
            return Err(ProtocolError::AfterEnd(kind, id));
        }
        stream.has_ended = content.is_empty();
        if stream.bytes.len() + content.len() > limit {
            return Err(too_long);
        }
        stream.bytes.extend_from_slice(content);
        Ok(())
    }

    fn on_end(
        &mut self,
        id: RequestId,
        content: &[u8],
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        if !self.answers.contains_key(&id) {
            return Err(ProtocolError::NotOpen(RecordType::End, id));
        }
        let content: [u8; REQUEST_CONTENT_BYTES] =
            content.try_into().map_err(|_| ProtocolError::ContentLength(RecordType::End, content.len()))?;
        let [a, b, c, d, status, ..] = content;
        let answer = self.answers.remove(&id).unwrap_or_default();
        events.push(Event::Answered(Answer {
            id,
            is_complete: answer.stdout.has_ended,
            stdout: answer.stdout.bytes.freeze(),
            stderr: answer.stderr.bytes.freeze(),
            app_status: u32::from_be_bytes([a, b, c, d]),
            status: ProtocolStatus::from_number(status),
        }));
        Ok(())
    }
}
