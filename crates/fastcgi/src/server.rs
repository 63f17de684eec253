//! The side that takes requests. Several may be on their way at once, by id; each is handed out once it is complete.
//!
//! Invariants (`tests/both_sides.rs`): bytes cut anywhere give the same events; no more requests, params or body are held than the limits say; a request
//! is handed out once, and an abort only after it was begun.
use std::collections::{BTreeMap, BTreeSet};

use bytes::{Bytes, BytesMut};

use crate::error::ProtocolError;
use crate::pairs::{self, Pair};
use crate::protocol::{
    FLAG_KEEP_CONNECTION, MANAGEMENT, MAX_CONNS, MAX_REQS, MPXS_CONNS, ProtocolStatus, REQUEST_CONTENT_BYTES,
    ROLE_RESPONDER, RecordType, RequestId,
};
use crate::record::{self, Record, end_stream, put, put_end, put_stream};

/// Requests of which the rest is passed over: so many for each that may be open, and so many at the least.
const PASSED_OVER_PER_REQUEST: usize = 4;
const MIN_PASSED_OVER: usize = 16;

/// What one connection may hold.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Requests at once.
    pub requests: usize,
    /// Bytes of params of one request.
    pub params: usize,
    /// Bytes of its body.
    pub body: usize,
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The connection stays open after its answer.
    pub keep_connection: bool,
    /// Its params.
    pub params: Vec<Pair>,
    /// Its body.
    pub body: Bytes,
}

/// What came of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A complete request.
    Request(Request),
    /// The client gives up one that was handed out; it still gets its end.
    Aborted(RequestId),
    /// Something to write at once: an answer of management, or the end of a request that can't be taken.
    Send(Bytes),
    /// After what was sent the connection is to close: the client did not ask to keep it.
    Close,
}

/// The answer of a request, as bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedAnswer {
    /// Its records.
    pub bytes: Bytes,
    /// The connection is to close after them.
    pub closes_connection: bool,
}

#[derive(Debug, Default)]
struct PartialRequest {
    keep_connection: bool,
    params: BytesMut,
    pairs: Option<Vec<Pair>>,
    body: BytesMut,
}

impl PartialRequest {
    fn held_bytes(&self) -> usize {
        let pairs = self.pairs.iter().flatten();
        let pairs: usize = pairs.map(|pair| pair.name.len() + pair.value.len()).sum();
        self.params.len() + pairs + self.body.len()
    }
}

/// See the module.
#[derive(Debug)]
pub struct ServerSide {
    limits: ServerLimits,
    received: BytesMut,
    partial: BTreeMap<RequestId, PartialRequest>,
    /// Handed out, not yet ended; whether the connection is kept after each.
    running: BTreeMap<RequestId, bool>,
    /// Ended here before all had come: what still comes of them is passed over until their stdin ends.
    passed_over: BTreeSet<RequestId>,
}

impl ServerSide {
    /// A connection without requests.
    pub fn new(limits: ServerLimits) -> ServerSide {
        ServerSide {
            limits,
            received: BytesMut::new(),
            partial: BTreeMap::new(),
            running: BTreeMap::new(),
            passed_over: BTreeSet::new(),
        }
    }

    /// Requests begun or handed out.
    pub fn open_requests(&self) -> usize {
        self.partial.len() + self.running.len()
    }

    /// Bytes of requests that are not complete.
    pub fn held_bytes(&self) -> usize {
        self.received.len() + self.partial.values().map(PartialRequest::held_bytes).sum::<usize>()
    }

    /// More bytes have come. What was complete before a breach is handed out; after it nothing more is read.
    ///
    /// # Errors
    ///
    /// They breach the protocol or a limit.
    pub fn receive(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), ProtocolError> {
        self.received.extend_from_slice(bytes);
        while let Some(record) = record::next(&mut self.received)? {
            self.on_record(record, events)?;
        }
        Ok(())
    }

    fn on_record(&mut self, record: Record, events: &mut Vec<Event>) -> Result<(), ProtocolError> {
        let Record { kind, id, content } = record;
        if id == MANAGEMENT {
            return self.on_management(kind, content, events);
        }
        if self.passed_over.contains(&id) && kind != RecordType::Begin {
            // Its stdin ends it, or an abort; then the id may be used again.
            if (kind == RecordType::Stdin && content.is_empty()) || kind == RecordType::Abort {
                self.passed_over.remove(&id);
            }
            return Ok(());
        }
        match kind {
            RecordType::Begin => self.on_begin(id, &content, events),
            RecordType::Abort => self.on_abort(id, events),
            RecordType::Params => self.on_params(id, &content),
            RecordType::Stdin => self.on_stdin(id, &content, events),
            RecordType::Data if !self.partial.contains_key(&id) => Err(ProtocolError::NotOpen(kind, id)),
            RecordType::GetValues => Err(ProtocolError::UnexpectedId(kind, id)),
            // Also data, which is of a role that is not taken.
            other => Err(ProtocolError::UnexpectedType(other.number(), id)),
        }
    }

    fn on_management(
        &mut self,
        kind: RecordType,
        content: Bytes,
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        let mut bytes = BytesMut::new();
        match kind {
            RecordType::GetValues => {
                let names = pairs::parse_all(content).ok_or(ProtocolError::BrokenPair(MANAGEMENT))?;
                put(&mut bytes, RecordType::GetValuesResult, MANAGEMENT, &self.values(&names));
            }
            RecordType::Begin
            | RecordType::Abort
            | RecordType::Params
            | RecordType::Stdin
            | RecordType::Data => {
                return Err(ProtocolError::UnexpectedId(kind, MANAGEMENT));
            }
            other => {
                let content = [other.number(), 0, 0, 0, 0, 0, 0, 0];
                put(&mut bytes, RecordType::UnknownType, MANAGEMENT, &content);
            }
        }
        events.push(Event::Send(bytes.freeze()));
        Ok(())
    }

    /// What this server says of itself, of the names that were asked for.
    fn values(&self, names: &[Pair]) -> BytesMut {
        let requests = self.limits.requests;
        let mut values = BytesMut::new();
        for Pair { name, .. } in names {
            let value = match std::str::from_utf8(name) {
                Ok(MAX_CONNS | MAX_REQS) => requests.to_string(),
                Ok(MPXS_CONNS) => u8::from(requests > 1).to_string(),
                _ => continue,
            };
            pairs::put(&mut values, name, value.as_bytes());
        }
        values
    }

    fn on_begin(
        &mut self,
        id: RequestId,
        content: &[u8],
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        let content: [u8; REQUEST_CONTENT_BYTES] =
            content.try_into().map_err(|_| ProtocolError::ContentLength(RecordType::Begin, content.len()))?;
        let [high, low, flags, ..] = content;
        if self.partial.contains_key(&id) || self.running.contains_key(&id) {
            return Err(ProtocolError::BegunTwice(id));
        }
        self.passed_over.remove(&id);
        let keep_connection = flags & FLAG_KEEP_CONNECTION != 0;
        let Some(status) = self.refusal(u16::from_be_bytes([high, low])) else {
            self.partial.insert(id, PartialRequest { keep_connection, ..PartialRequest::default() });
            return Ok(());
        };
        self.pass_over(id)?;
        events.push(Event::Send(encode_end(id, status)));
        if !keep_connection {
            events.push(Event::Close);
        }
        Ok(())
    }

    /// Why one more request of this role is not taken, if so.
    fn refusal(&self, role: u16) -> Option<ProtocolStatus> {
        match role {
            ROLE_RESPONDER if self.open_requests() < self.limits.requests => None,
            ROLE_RESPONDER if self.limits.requests == 1 => Some(ProtocolStatus::CantMultiplex),
            ROLE_RESPONDER => Some(ProtocolStatus::Overloaded),
            _ => Some(ProtocolStatus::UnknownRole),
        }
    }

    fn on_abort(&mut self, id: RequestId, events: &mut Vec<Event>) -> Result<(), ProtocolError> {
        if self.partial.remove(&id).is_some() {
            self.pass_over(id)?;
            events.push(Event::Send(encode_end(id, ProtocolStatus::Complete)));
        } else if self.running.contains_key(&id) {
            events.push(Event::Aborted(id));
        }
        // Else it crossed the answer on its way.
        Ok(())
    }

    /// What still comes of a request is passed over; of so many at once at the most.
    fn pass_over(&mut self, id: RequestId) -> Result<(), ProtocolError> {
        let requests = self.limits.requests;
        let limit = requests.saturating_mul(PASSED_OVER_PER_REQUEST).max(MIN_PASSED_OVER);
        if self.passed_over.len() >= limit {
            return Err(ProtocolError::TooManyRequests(requests));
        }
        self.passed_over.insert(id);
        Ok(())
    }

    fn partial(&mut self, kind: RecordType, id: RequestId) -> Result<&mut PartialRequest, ProtocolError> {
        let error = if self.running.contains_key(&id) {
            ProtocolError::AfterEnd(kind, id)
        } else {
            ProtocolError::NotOpen(kind, id)
        };
        self.partial.get_mut(&id).ok_or(error)
    }

    fn on_params(&mut self, id: RequestId, content: &[u8]) -> Result<(), ProtocolError> {
        let limit = self.limits.params;
        let request = self.partial(RecordType::Params, id)?;
        if request.pairs.is_some() {
            return Err(ProtocolError::AfterEnd(RecordType::Params, id));
        }
        if content.is_empty() {
            let params = std::mem::take(&mut request.params).freeze();
            request.pairs = Some(pairs::parse_all(params).ok_or(ProtocolError::BrokenPair(id))?);
            return Ok(());
        }
        if request.params.len() + content.len() > limit {
            return Err(ProtocolError::ParamsTooLong(id, limit));
        }
        request.params.extend_from_slice(content);
        Ok(())
    }

    fn on_stdin(
        &mut self,
        id: RequestId,
        content: &[u8],
        events: &mut Vec<Event>,
    ) -> Result<(), ProtocolError> {
        let limit = self.limits.body;
        let request = self.partial(RecordType::Stdin, id)?;
        if request.pairs.is_none() {
            return Err(ProtocolError::StdinBeforeParams(id));
        }
        if !content.is_empty() {
            if request.body.len() + content.len() > limit {
                return Err(ProtocolError::BodyTooLong(id, limit));
            }
            request.body.extend_from_slice(content);
            return Ok(());
        }
        if let Some(request) = self.partial.remove(&id) {
            let keep_connection = request.keep_connection;
            self.running.insert(id, keep_connection);
            let (params, body) = (request.pairs.unwrap_or_default(), request.body.freeze());
            events.push(Event::Request(Request { id, keep_connection, params, body }));
        }
        Ok(())
    }

    /// The answer of a request that was handed out; nothing where there is no such request. What was not begun may say more on stdout, for whoever
    /// reads it.
    pub fn answer(&mut self, id: RequestId, stdout: &[u8], status: ProtocolStatus) -> Option<EncodedAnswer> {
        let keep_connection = self.running.remove(&id)?;
        let mut bytes = BytesMut::new();
        if status == ProtocolStatus::Complete || !stdout.is_empty() {
            put_stream(&mut bytes, RecordType::Stdout, id, stdout);
            end_stream(&mut bytes, RecordType::Stdout, id);
        }
        put_end(&mut bytes, id, 0, status);
        Some(EncodedAnswer { bytes: bytes.freeze(), closes_connection: !keep_connection })
    }
}

fn encode_end(id: RequestId, status: ProtocolStatus) -> Bytes {
    let mut bytes = BytesMut::new();
    put_end(&mut bytes, id, 0, status);
    bytes.freeze()
}
