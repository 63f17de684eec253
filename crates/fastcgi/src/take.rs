//! The side that takes requests. Several may be on their way at once, by id; each is handed out whole.
//!
//! Held always, and tried by `tests/both.rs`: bytes cut anywhere give the same events; no more requests, params or body
//! are held than the bounds say; a request is handed out once, and an abort only after it was begun.
use std::collections::{BTreeMap, BTreeSet};

use bytes::{Bytes, BytesMut};

use crate::pairs::{self, Pair};
use crate::record::*;
use crate::wrong::Wrong;

/// What one connection may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub requests: usize,
    /// Bytes of params of one request.
    pub params: usize,
    /// Bytes of its body.
    pub body: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub id: Id,
    /// The connection stays open after its answer.
    pub keep: bool,
    pub params: Vec<Pair>,
    pub body: Bytes,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A whole request.
    Asked(Request),
    /// The client gives up one that was handed out; it still gets its end.
    Aborted(Id),
    /// Something to write at once: an answer of management, or the end of a request that can't be taken.
    Say(Bytes),
    /// After what was said the connection is to close: the client did not ask to keep it.
    Close,
}

#[derive(Debug, Default)]
struct Half {
    keep: bool,
    params: BytesMut,
    pairs: Option<Vec<Pair>>,
    body: BytesMut,
}

#[derive(Debug)]
pub struct Taker {
    bounds: Bounds,
    came: BytesMut,
    halves: BTreeMap<Id, Half>,
    /// Handed out, not yet ended.
    out: BTreeMap<Id, bool>,
    /// Ended here before all had come: what still comes of them is passed over till their stdin ends.
    passed: BTreeSet<Id>,
}

impl Taker {
    pub fn new(bounds: Bounds) -> Taker {
        Taker {
            bounds,
            came: BytesMut::new(),
            halves: BTreeMap::new(),
            out: BTreeMap::new(),
            passed: BTreeSet::new(),
        }
    }

    /// Requests begun or handed out.
    pub fn open(&self) -> usize {
        self.halves.len() + self.out.len()
    }

    /// Bytes of requests that have not come whole.
    pub fn held(&self) -> usize {
        let pairs = |pairs: &Vec<Pair>| pairs.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>();
        let half = |h: &Half| h.params.len() + h.pairs.as_ref().map_or(0, pairs) + h.body.len();
        self.came.len() + self.halves.values().map(half).sum::<usize>()
    }

    /// More bytes have come. What was whole before something wrong is handed out; after it nothing more is read.
    pub fn take(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), Wrong> {
        self.came.extend_from_slice(bytes);
        while let Some(record) = next(&mut self.came)? {
            self.record(record, events)?;
        }
        Ok(())
    }

    fn record(&mut self, record: Record, events: &mut Vec<Event>) -> Result<(), Wrong> {
        let Record { kind, id, content } = record;
        if id == MANAGEMENT {
            return self.manage(kind, content, events);
        }
        if self.passed.contains(&id) && kind != Kind::Begin {
            // Its stdin ends it, or an abort; then the id may be used anew.
            if (kind == Kind::Stdin && content.is_empty()) || kind == Kind::Abort {
                self.passed.remove(&id);
            }
            return Ok(());
        }
        match kind {
            Kind::Begin => self.begin(id, content, events),
            Kind::Abort => {
                if self.halves.remove(&id).is_some() {
                    self.pass(id)?;
                    let mut said = BytesMut::new();
                    put_end(&mut said, id, 0, Ended::Complete);
                    events.push(Event::Say(said.freeze()));
                } else if self.out.contains_key(&id) {
                    events.push(Event::Aborted(id));
                } else {
                    // It crossed the answer on its way.
                }
                Ok(())
            }
            Kind::Params => self.params(id, content),
            Kind::Stdin => self.stdin(id, content, events),
            Kind::Data if !self.halves.contains_key(&id) => Err(Wrong::NotOpen(kind, id)),
            // Of a role that is not taken.
            Kind::Data => Err(Wrong::Type(kind.number(), id)),
            Kind::GetValues => Err(Wrong::Place(kind, id)),
            other => Err(Wrong::Type(other.number(), id)),
        }
    }

    fn manage(&mut self, kind: Kind, content: Bytes, events: &mut Vec<Event>) -> Result<(), Wrong> {
        let mut said = BytesMut::new();
        match kind {
            Kind::GetValues => {
                let asked = pairs::all(content).ok_or(Wrong::Pairs(MANAGEMENT))?;
                let mut told = BytesMut::new();
                for (name, _) in asked {
                    let value = match &name[..] {
                        b"FCGI_MAX_CONNS" | b"FCGI_MAX_REQS" => self.bounds.requests.to_string(),
                        b"FCGI_MPXS_CONNS" => u8::from(self.bounds.requests > 1).to_string(),
                        _ => continue,
                    };
                    pairs::put(&mut told, &name, value.as_bytes());
                }
                put(&mut said, Kind::GetValuesResult, MANAGEMENT, &told);
            }
            Kind::Begin | Kind::Abort | Kind::Params | Kind::Stdin | Kind::Data => {
                return Err(Wrong::Place(kind, MANAGEMENT));
            }
            other => put(&mut said, Kind::UnknownType, MANAGEMENT, &[other.number(), 0, 0, 0, 0, 0, 0, 0]),
        }
        events.push(Event::Say(said.freeze()));
        Ok(())
    }

    fn begin(&mut self, id: Id, content: Bytes, events: &mut Vec<Event>) -> Result<(), Wrong> {
        let &[high, low, flags, ..] = &content[..] else {
            return Err(Wrong::Length(Kind::Begin, content.len()));
        };
        if content.len() != 8 {
            return Err(Wrong::Length(Kind::Begin, content.len()));
        }
        if self.halves.contains_key(&id) || self.out.contains_key(&id) {
            return Err(Wrong::BegunTwice(id));
        }
        self.passed.remove(&id);
        let keep = flags & KEEP_CONNECTION != 0;
        let ended = match u16::from_be_bytes([high, low]) {
            RESPONDER if self.open() < self.bounds.requests => None,
            RESPONDER if self.bounds.requests == 1 => Some(Ended::CantMultiplex),
            RESPONDER => Some(Ended::Overloaded),
            _ => Some(Ended::UnknownRole),
        };
        if let Some(ended) = ended {
            self.pass(id)?;
            let mut said = BytesMut::new();
            put_end(&mut said, id, 0, ended);
            events.push(Event::Say(said.freeze()));
            if !keep {
                events.push(Event::Close);
            }
            return Ok(());
        }
        self.halves.insert(id, Half { keep, ..Half::default() });
        Ok(())
    }

    /// What still comes of a request is passed over; of so many at once at the most.
    fn pass(&mut self, id: Id) -> Result<(), Wrong> {
        if self.passed.len() >= self.bounds.requests.saturating_mul(4).max(16) {
            return Err(Wrong::TooManyRequests(self.bounds.requests));
        }
        self.passed.insert(id);
        Ok(())
    }

    fn half(&mut self, kind: Kind, id: Id) -> Result<&mut Half, Wrong> {
        let wrong =
            if self.out.contains_key(&id) { Wrong::AfterEnd(kind, id) } else { Wrong::NotOpen(kind, id) };
        self.halves.get_mut(&id).ok_or(wrong)
    }

    fn params(&mut self, id: Id, content: Bytes) -> Result<(), Wrong> {
        let most = self.bounds.params;
        let half = self.half(Kind::Params, id)?;
        if half.pairs.is_some() {
            return Err(Wrong::AfterEnd(Kind::Params, id));
        }
        if content.is_empty() {
            let whole = std::mem::take(&mut half.params).freeze();
            half.pairs = Some(pairs::all(whole).ok_or(Wrong::Pairs(id))?);
            return Ok(());
        }
        if half.params.len() + content.len() > most {
            return Err(Wrong::ParamsTooLong(id, most));
        }
        half.params.extend_from_slice(&content);
        Ok(())
    }

    fn stdin(&mut self, id: Id, content: Bytes, events: &mut Vec<Event>) -> Result<(), Wrong> {
        let most = self.bounds.body;
        let half = self.half(Kind::Stdin, id)?;
        if half.pairs.is_none() {
            return Err(Wrong::BeforeParams(id));
        }
        if !content.is_empty() {
            if half.body.len() + content.len() > most {
                return Err(Wrong::BodyTooLong(id, most));
            }
            half.body.extend_from_slice(&content);
            return Ok(());
        }
        if let Some(half) = self.halves.remove(&id) {
            self.out.insert(id, half.keep);
            let (params, body) = (half.pairs.unwrap_or_default(), half.body.freeze());
            events.push(Event::Asked(Request { id, keep: half.keep, params, body }));
        }
        Ok(())
    }

    /// The answer of a request that was handed out: its records, and whether the connection closes after them. None
    /// where there is no such request. What was not begun may say more on stdout, for whoever reads it.
    pub fn answer(&mut self, id: Id, stdout: &[u8], ended: Ended) -> Option<(Bytes, bool)> {
        let keep = self.out.remove(&id)?;
        let mut said = BytesMut::new();
        if ended == Ended::Complete || !stdout.is_empty() {
            put_stream(&mut said, Kind::Stdout, id, stdout);
            end_stream(&mut said, Kind::Stdout, id);
        }
        put_end(&mut said, id, 0, ended);
        Some((said.freeze(), !keep))
    }
}
