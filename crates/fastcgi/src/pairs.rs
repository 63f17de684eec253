//! Name-value pairs: each length in one byte below 128, else in four with the highest bit set.
use bytes::{Buf, BufMut, Bytes, BytesMut};

pub type Pair = (Bytes, Bytes);

fn length(from: &[u8]) -> Option<(usize, usize)> {
    match *from {
        [short, ..] if short < 0x80 => Some((usize::from(short), 1)),
        [a, b, c, d, ..] => Some((u32::from_be_bytes([a & 0x7f, b, c, d]) as usize, 4)),
        _ => None,
    }
}

/// Takes the next whole pair; none where more has to come first.
pub fn next(from: &mut Bytes) -> Option<Pair> {
    let (name, first) = length(from)?;
    let (value, second) = length(&from[first..])?;
    if from.len() - first - second < name.checked_add(value)? {
        return None;
    }
    from.advance(first + second);
    let name = from.split_to(name);
    Some((name, from.split_to(value)))
}

/// All pairs of what has come whole. None where it ends in the middle of one.
pub fn all(mut from: Bytes) -> Option<Vec<Pair>> {
    let mut pairs = Vec::new();
    while !from.is_empty() {
        pairs.push(next(&mut from)?);
    }
    Some(pairs)
}

pub fn put(into: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, value] {
        match u8::try_from(part.len()).ok().filter(|n| *n < 0x80) {
            Some(short) => into.put_u8(short),
            None => into.put_u32(part.len().min(0x7fff_ffff) as u32 | 0x8000_0000),
        }
    }
    into.put_slice(name);
    into.put_slice(value);
}
