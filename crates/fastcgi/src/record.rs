//! Records: an eight-byte head, a content, padding.
use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::wrong::Wrong;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(pub u16);

/// Of the connection, not of a request.
pub const MANAGEMENT: Id = Id(0);
pub const HEAD: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Begin,
    Abort,
    End,
    Params,
    Stdin,
    Stdout,
    Stderr,
    Data,
    GetValues,
    GetValuesResult,
    UnknownType,
    /// Any other number.
    Other(u8),
}

impl Kind {
    const ALL: [Kind; 11] = [
        Kind::Begin,
        Kind::Abort,
        Kind::End,
        Kind::Params,
        Kind::Stdin,
        Kind::Stdout,
        Kind::Stderr,
        Kind::Data,
        Kind::GetValues,
        Kind::GetValuesResult,
        Kind::UnknownType,
    ];
    pub fn of(number: u8) -> Kind {
        let at = usize::from(number).wrapping_sub(1);
        Kind::ALL.get(at).copied().unwrap_or(Kind::Other(number))
    }
    pub fn number(self) -> u8 {
        match self {
            Kind::Other(number) => number,
            kind => Kind::ALL.iter().position(|k| *k == kind).map_or(0, |at| at as u8 + 1),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    pub kind: Kind,
    pub id: Id,
    pub content: Bytes,
}

/// Takes the next whole record out of what has come; none where more has to come first. Padding is passed over.
pub fn next(from: &mut BytesMut) -> Result<Option<Record>, Wrong> {
    let Some(head) = from.first_chunk::<HEAD>() else {
        // A wrong version is told at its first byte, not after seven more.
        return match from.first() {
            Some(&version) if version != 1 => Err(Wrong::Version(version)),
            _ => Ok(None),
        };
    };
    if head[0] != 1 {
        return Err(Wrong::Version(head[0]));
    }
    let (kind, id) = (Kind::of(head[1]), Id(u16::from_be_bytes([head[2], head[3]])));
    let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
    let padding = usize::from(head[6]);
    if from.len() < HEAD + length + padding {
        return Ok(None);
    }
    from.advance(HEAD);
    let content = from.split_to(length).freeze();
    from.advance(padding);
    Ok(Some(Record { kind, id, content }))
}

/// Writes one record, padded to a multiple of eight. The content holds 65,535 bytes at most.
pub fn put(into: &mut BytesMut, kind: Kind, id: Id, content: &[u8]) {
    let length = content.len().min(usize::from(u16::MAX));
    let padding = length.next_multiple_of(8) - length;
    into.reserve(HEAD + length + padding);
    into.put_u8(1);
    into.put_u8(kind.number());
    into.put_u16(id.0);
    into.put_u16(length as u16);
    into.put_u8(padding as u8);
    into.put_u8(0);
    into.put_slice(&content[..length]);
    into.put_bytes(0, padding);
}

/// Of a stream: a record holds this much of it at most.
const PIECE: usize = 32 * 1024;

/// Writes some of a stream, in records; nothing of nothing, as that would end it.
pub fn put_stream(into: &mut BytesMut, kind: Kind, id: Id, content: &[u8]) {
    content.chunks(PIECE).for_each(|piece| put(into, kind, id, piece));
}
/// Ends a stream.
pub fn end_stream(into: &mut BytesMut, kind: Kind, id: Id) {
    put(into, kind, id, &[]);
}

/// How a request ended, as far as the protocol goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Complete,
    CantMultiplex,
    Overloaded,
    UnknownRole,
    Other(u8),
}

impl Ended {
    pub fn of(number: u8) -> Ended {
        match number {
            0 => Ended::Complete,
            1 => Ended::CantMultiplex,
            2 => Ended::Overloaded,
            3 => Ended::UnknownRole,
            other => Ended::Other(other),
        }
    }
    pub fn number(self) -> u8 {
        match self {
            Ended::Complete => 0,
            Ended::CantMultiplex => 1,
            Ended::Overloaded => 2,
            Ended::UnknownRole => 3,
            Ended::Other(other) => other,
        }
    }
}

/// Writes the end of a request.
pub fn put_end(into: &mut BytesMut, id: Id, app_status: u32, ended: Ended) {
    let mut body = [0; 8];
    body[..4].copy_from_slice(&app_status.to_be_bytes());
    body[4] = ended.number();
    put(into, Kind::End, id, &body);
}

pub const RESPONDER: u16 = 1;
pub const KEEP_CONNECTION: u8 = 1;

/// Writes the beginning of a request.
pub fn put_begin(into: &mut BytesMut, id: Id, role: u16, keep: bool) {
    let mut body = [0; 8];
    body[..2].copy_from_slice(&role.to_be_bytes());
    body[2] = if keep { KEEP_CONNECTION } else { 0 };
    put(into, Kind::Begin, id, &body);
}
