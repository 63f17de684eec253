//! The side that asks: requests of several ids on one connection, and the answers that come back cut and mixed.
//!
//! Held always, and tried by `tests/both.rs`: an answer belongs to the request of its id alone; it is whole only
//! after the end of its stdout and its own end; what is held is bounded.
use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

use crate::pairs::{self, Pair};
use crate::record::*;
use crate::wrong::Wrong;

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes of stdout of one answer.
    pub body: usize,
    /// Bytes of stderr of one answer; more of it is no answer.
    pub stderr: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first bytes of an answer have come.
    Begun(Id),
    Answered(Answer),
    /// What the server says of itself.
    Values(Vec<Pair>),
    /// It does not know a management type.
    Unknown(u8),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub id: Id,
    pub stdout: Bytes,
    pub stderr: Bytes,
    pub app_status: u32,
    pub ended: Ended,
    /// Its stdout was ended before its end: else what came may be cut short.
    pub whole: bool,
}

#[derive(Debug, Default)]
struct Half {
    stdout: BytesMut,
    stderr: BytesMut,
    stdout_ended: bool,
    stderr_ended: bool,
}

#[derive(Debug)]
pub struct Asker {
    bounds: Bounds,
    came: BytesMut,
    halves: BTreeMap<Id, Half>,
}

/// A request as bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub bytes: Bytes,
    /// So many of them hold all up to the end of params. While fewer are written no server can have begun: it does not
    /// know yet what is asked. From there on it may, though its input is still on its way.
    pub begins: usize,
}

/// The records of one request.
pub fn request(id: Id, keep: bool, params: &[Pair], body: &[u8]) -> Asked {
    let mut bytes = BytesMut::new();
    put_begin(&mut bytes, id, RESPONDER, keep);
    let mut all = BytesMut::new();
    params.iter().for_each(|(name, value)| pairs::put(&mut all, name, value));
    put_stream(&mut bytes, Kind::Params, id, &all);
    end_stream(&mut bytes, Kind::Params, id);
    let begins = bytes.len();
    put_stream(&mut bytes, Kind::Stdin, id, body);
    end_stream(&mut bytes, Kind::Stdin, id);
    Asked { bytes: bytes.freeze(), begins }
}

/// Asks a server what it can do.
pub fn get_values() -> Bytes {
    let mut names = BytesMut::new();
    for name in ["FCGI_MAX_CONNS", "FCGI_MAX_REQS", "FCGI_MPXS_CONNS"] {
        pairs::put(&mut names, name.as_bytes(), b"");
    }
    let mut bytes = BytesMut::new();
    put(&mut bytes, Kind::GetValues, MANAGEMENT, &names);
    bytes.freeze()
}

/// Gives a request up.
pub fn abort(id: Id) -> Bytes {
    let mut bytes = BytesMut::new();
    put(&mut bytes, Kind::Abort, id, &[]);
    bytes.freeze()
}

impl Asker {
    pub fn new(bounds: Bounds) -> Asker {
        Asker { bounds, came: BytesMut::new(), halves: BTreeMap::new() }
    }

    /// A request of this id goes out; its answer is waited for.
    pub fn wait(&mut self, id: Id) {
        self.halves.insert(id, Half::default());
    }
    pub fn waits(&self, id: Id) -> bool {
        self.halves.contains_key(&id)
    }
    /// Bytes of this answer that have come in whole records.
    pub fn heard(&self, id: Id) -> usize {
        self.halves.get(&id).map_or(0, |half| half.stdout.len() + half.stderr.len())
    }
    /// Bytes lie here that are no whole record yet.
    pub fn in_the_middle(&self) -> bool {
        !self.came.is_empty()
    }

    pub fn take(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), Wrong> {
        self.came.extend_from_slice(bytes);
        while let Some(record) = next(&mut self.came)? {
            self.record(record, events)?;
        }
        Ok(())
    }

    fn record(&mut self, record: Record, events: &mut Vec<Event>) -> Result<(), Wrong> {
        let Record { kind, id, content } = record;
        match kind {
            Kind::GetValuesResult if id == MANAGEMENT => {
                events.push(Event::Values(pairs::all(content).ok_or(Wrong::Pairs(id))?));
                return Ok(());
            }
            Kind::UnknownType if id == MANAGEMENT => {
                let unknown = content.first().copied().ok_or(Wrong::Length(kind, 0))?;
                events.push(Event::Unknown(unknown));
                return Ok(());
            }
            Kind::Stdout | Kind::Stderr | Kind::End if id != MANAGEMENT => {}
            Kind::Stdout | Kind::Stderr | Kind::End | Kind::GetValuesResult | Kind::UnknownType => {
                return Err(Wrong::Place(kind, id));
            }
            other => return Err(Wrong::Type(other.number(), id)),
        }
        let bounds = self.bounds;
        let Some(half) = self.halves.get_mut(&id) else { return Err(Wrong::NotOpen(kind, id)) };
        if kind == Kind::End {
            return self.end(id, content, events);
        }
        if half.stdout.is_empty() && half.stderr.is_empty() && !half.stdout_ended {
            events.push(Event::Begun(id));
        }
        let (stream, ended, most, long) = match kind {
            Kind::Stdout => {
                (&mut half.stdout, &mut half.stdout_ended, bounds.body, Wrong::BodyTooLong(id, bounds.body))
            }
            _ => (
                &mut half.stderr,
                &mut half.stderr_ended,
                bounds.stderr,
                Wrong::StderrTooLong(id, bounds.stderr),
            ),
        };
        if *ended {
            return Err(Wrong::AfterEnd(kind, id));
        }
        *ended = content.is_empty();
        if stream.len() + content.len() > most {
            return Err(long);
        }
        stream.extend_from_slice(&content);
        Ok(())
    }

    fn end(&mut self, id: Id, content: Bytes, events: &mut Vec<Event>) -> Result<(), Wrong> {
        let &[a, b, c, d, ended, ..] = &content[..] else {
            return Err(Wrong::Length(Kind::End, content.len()));
        };
        if content.len() != 8 {
            return Err(Wrong::Length(Kind::End, content.len()));
        }
        let half = self.halves.remove(&id).unwrap_or_default();
        events.push(Event::Answered(Answer {
            id,
            whole: half.stdout_ended,
            stdout: half.stdout.freeze(),
            stderr: half.stderr.freeze(),
            app_status: u32::from_be_bytes([a, b, c, d]),
            ended: Ended::of(ended),
        }));
        Ok(())
    }
}
