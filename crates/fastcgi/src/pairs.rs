//! Name-value pairs (specification, section 3.4): each length in one byte below 128, else in four with the highest bit set.
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Lengths below this take one byte.
const SHORT_LENGTH: u8 = 0x80;
const LONG_LENGTH_FLAG: u32 = 0x8000_0000;
const MAX_LENGTH: usize = 0x7fff_ffff;

/// A name and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The name.
    pub name: Bytes,
    /// The value.
    pub value: Bytes,
}

/// A length, and how many bytes it takes.
fn length(bytes: &[u8]) -> Option<(usize, usize)> {
    match *bytes {
        [short, ..] if short < SHORT_LENGTH => Some((usize::from(short), 1)),
        [a, b, c, d, ..] => Some((u32::from_be_bytes([a & 0x7f, b, c, d]) as usize, 4)),
        _ => None,
    }
}

/// Takes the next complete pair; nothing where more has to come first.
pub fn next(bytes: &mut Bytes) -> Option<Pair> {
    let (name_length, name_prefix) = length(bytes)?;
    let (value_length, value_prefix) = length(&bytes[name_prefix..])?;
    let prefixes = name_prefix + value_prefix;
    if bytes.len() - prefixes < name_length.checked_add(value_length)? {
        return None;
    }
    bytes.advance(prefixes);
    let name = bytes.split_to(name_length);
    Some(Pair { name, value: bytes.split_to(value_length) })
}

/// All pairs of a complete stream; nothing where it ends in the middle of one.
pub fn parse_all(mut bytes: Bytes) -> Option<Vec<Pair>> {
    let mut pairs = Vec::new();
    while !bytes.is_empty() {
        pairs.push(next(&mut bytes)?);
    }
    Some(pairs)
}

/// Writes a pair.
pub fn put(buffer: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, value] {
        match u8::try_from(part.len()).ok().filter(|length| *length < SHORT_LENGTH) {
            Some(short) => buffer.put_u8(short),
            None => buffer.put_u32(part.len().min(MAX_LENGTH) as u32 | LONG_LENGTH_FLAG),
        }
    }
    buffer.put_slice(name);
    buffer.put_slice(value);
}
