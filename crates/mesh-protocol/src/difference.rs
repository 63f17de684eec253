//! A text told by another: what is alike is not sent. `zstd` with the base as its prefix; without a base the text is packed by itself. Pure,
//! bounded by `MOST_WORD`; bytes that make no text of the told length are none.
use zstd_safe::{CCtx, CParameter, DCtx, DParameter};

use crate::MOST_WORD;

/// The first half of a text's BLAKE3 sum.
pub type Digest = [u8; 16];

/// Bytes of anything that is packed at most.
pub const MOST: usize = 48 << 20;
/// How far back matches are looked for: a base and a text of the largest size.
const WINDOW: u32 = 25;
const LEVEL: i32 = 3;

pub fn digest(text: &[u8]) -> Digest {
    let mut half = [0; 16];
    half.copy_from_slice(&blake3::hash(text).as_bytes()[..16]);
    half
}

/// The text as a difference against the base, which may be empty. None where it is too large.
pub fn diff(base: &[u8], text: &[u8]) -> Option<Vec<u8>> {
    if base.len() > MOST_WORD || text.len() > MOST_WORD {
        return None;
    }
    code(base, text)
}

/// Something larger than a text, packed by itself.
pub fn pack(all: &[u8]) -> Option<Vec<u8>> {
    if all.len() > MOST { None } else { code(b"", all) }
}

/// What was packed, of this length; none where it is no such thing.
pub fn unpack(length: usize, made: &[u8]) -> Option<Vec<u8>> {
    if length > MOST { None } else { decode(b"", length, made) }
}

fn code(base: &[u8], text: &[u8]) -> Option<Vec<u8>> {
    let mut made = Vec::with_capacity(zstd_safe::compress_bound(text.len()));
    let mut coder = CCtx::try_create()?;
    coder.set_parameter(CParameter::CompressionLevel(LEVEL)).ok()?;
    if !base.is_empty() {
        let window = (base.len() + text.len()).next_power_of_two().ilog2().clamp(10, WINDOW);
        coder.set_parameter(CParameter::WindowLog(window)).ok()?;
        coder.set_parameter(CParameter::EnableLongDistanceMatching(true)).ok()?;
        coder.ref_prefix(base).ok()?;
    }
    coder.compress2(&mut made, text).ok()?;
    Some(made)
}

/// The text of this length that a difference tells against the base; none where it tells no such thing.
pub fn apply(base: &[u8], length: usize, made: &[u8]) -> Option<Vec<u8>> {
    if base.len() > MOST_WORD || length > MOST_WORD {
        return None;
    }
    decode(base, length, made)
}

fn decode(base: &[u8], length: usize, made: &[u8]) -> Option<Vec<u8>> {
    let mut text = Vec::with_capacity(length);
    let mut coder = DCtx::try_create()?;
    coder.set_parameter(DParameter::WindowLogMax(WINDOW + 1)).ok()?;
    if !base.is_empty() {
        coder.ref_prefix(base).ok()?;
    }
    coder.decompress(&mut text, made).ok()?;
    (text.len() == length).then_some(text)
}
