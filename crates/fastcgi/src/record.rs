//! Records (specification, section 3.3): an eight-byte head, a content, padding.
use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::error::ProtocolError;
use crate::protocol::{
    FLAG_KEEP_CONNECTION, ProtocolStatus, REQUEST_CONTENT_BYTES, RecordType, RequestId, VERSION,
};

const HEAD_BYTES: usize = 8;
/// Contents are padded to a multiple of this, in bytes.
const ALIGNMENT: usize = 8;
/// A record holds this much of a stream at the most, in bytes.
const STREAM_CHUNK_BYTES: usize = 32 * 1024;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its type.
    pub kind: RecordType,
    /// Its request.
    pub id: RequestId,
    /// Its content.
    pub content: Bytes,
}

/// Takes the next complete record out of what has come; nothing where more has to come first. Padding is passed over.
///
/// # Errors
///
/// Another version, which is told by its first byte.
pub fn next(received: &mut BytesMut) -> Result<Option<Record>, ProtocolError> {
    match received.first() {
        None => return Ok(None),
        Some(&version) if version != VERSION => return Err(ProtocolError::Version(version)),
        Some(_) => {}
    }
    let Some(head) = received.first_chunk::<HEAD_BYTES>() else { return Ok(None) };
    let kind = RecordType::from_number(head[1]);
    let id = RequestId(u16::from_be_bytes([head[2], head[3]]));
    let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
    let padding = usize::from(head[6]);
    if received.len() < HEAD_BYTES + length + padding {
        return Ok(None);
    }
    received.advance(HEAD_BYTES);
    let content = received.split_to(length).freeze();
    received.advance(padding);
    Ok(Some(Record { kind, id, content }))
}

/// Writes one record. The content holds 65,535 bytes at the most.
pub fn put(buffer: &mut BytesMut, kind: RecordType, id: RequestId, content: &[u8]) {
    let length = content.len().min(usize::from(u16::MAX));
    let padding = length.next_multiple_of(ALIGNMENT) - length;
    buffer.reserve(HEAD_BYTES + length + padding);
    buffer.put_u8(VERSION);
    buffer.put_u8(kind.number());
    buffer.put_u16(id.0);
    buffer.put_u16(length as u16);
    buffer.put_u8(padding as u8);
    buffer.put_u8(0);
    buffer.put_slice(&content[..length]);
    buffer.put_bytes(0, padding);
}

/// Writes some of a stream, in records; nothing of nothing, as that would end it.
pub fn put_stream(buffer: &mut BytesMut, kind: RecordType, id: RequestId, content: &[u8]) {
    content.chunks(STREAM_CHUNK_BYTES).for_each(|chunk| put(buffer, kind, id, chunk));
}

/// Ends a stream.
pub fn end_stream(buffer: &mut BytesMut, kind: RecordType, id: RequestId) {
    put(buffer, kind, id, &[]);
}

/// Writes the end of a request.
pub fn put_end(buffer: &mut BytesMut, id: RequestId, app_status: u32, status: ProtocolStatus) {
    let mut content = [0; REQUEST_CONTENT_BYTES];
    content[..4].copy_from_slice(&app_status.to_be_bytes());
    content[4] = status.number();
    put(buffer, RecordType::End, id, &content);
}

/// Writes the beginning of a request.
pub fn put_begin(buffer: &mut BytesMut, id: RequestId, role: u16, keep_connection: bool) {
    let mut content = [0; REQUEST_CONTENT_BYTES];
    content[..2].copy_from_slice(&role.to_be_bytes());
    content[2] = if keep_connection { FLAG_KEEP_CONNECTION } else { 0 };
    put(buffer, RecordType::Begin, id, &content);
}
