//! Differences between two texts, and compression, by `zstd` with the base as its prefix. Pure and bounded; bytes that make no text of the
//! stated length are no difference.
use zstd_safe::{CCtx, CParameter, DCtx, DParameter};

use crate::MAX_CONFIG_BYTES;

/// The first half of a BLAKE3 sum.
pub type Digest = [u8; 16];

/// Bytes of anything that is compressed at most.
pub const MAX_PACKED_BYTES: usize = 48 << 20;
/// How far back matches are looked for, as a power of two: a base and a text of the largest size.
const MAX_WINDOW_LOG: u32 = 25;
const MIN_WINDOW_LOG: u32 = 10;
const COMPRESSION_LEVEL: i32 = 3;

/// The digest of these bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    let mut half = [0; 16];
    half.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    half
}

/// The text as a difference against the base, which may be empty. `None` where either is over [`MAX_CONFIG_BYTES`].
pub fn diff(base: &[u8], text: &[u8]) -> Option<Vec<u8>> {
    if base.len() > MAX_CONFIG_BYTES || text.len() > MAX_CONFIG_BYTES {
        return None;
    }
    compress(base, text)
}

/// The text of `length` bytes that a difference gives on top of the base; `None` where it gives no such text.
pub fn apply(base: &[u8], length: usize, difference: &[u8]) -> Option<Vec<u8>> {
    if base.len() > MAX_CONFIG_BYTES || length > MAX_CONFIG_BYTES {
        return None;
    }
    decompress(base, length, difference)
}

/// Compresses something larger than a text; `None` where it is over [`MAX_PACKED_BYTES`].
pub fn pack(bytes: &[u8]) -> Option<Vec<u8>> {
    if bytes.len() > MAX_PACKED_BYTES { None } else { compress(b"", bytes) }
}

/// What was packed, of `length` bytes; `None` where it is no such thing.
pub fn unpack(length: usize, packed: &[u8]) -> Option<Vec<u8>> {
    if length > MAX_PACKED_BYTES { None } else { decompress(b"", length, packed) }
}

fn compress(base: &[u8], text: &[u8]) -> Option<Vec<u8>> {
    let mut compressed = Vec::with_capacity(zstd_safe::compress_bound(text.len()));
    let mut context = CCtx::try_create()?;
    context.set_parameter(CParameter::CompressionLevel(COMPRESSION_LEVEL)).ok()?;
    if !base.is_empty() {
        let both = (base.len() + text.len()).next_power_of_two();
        let window_log = both.ilog2().clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG);
        context.set_parameter(CParameter::WindowLog(window_log)).ok()?;
        context.set_parameter(CParameter::EnableLongDistanceMatching(true)).ok()?;
        context.ref_prefix(base).ok()?;
    }
    context.compress2(&mut compressed, text).ok()?;
    Some(compressed)
}

fn decompress(base: &[u8], length: usize, compressed: &[u8]) -> Option<Vec<u8>> {
    let mut text = Vec::with_capacity(length);
    let mut context = DCtx::try_create()?;
    context.set_parameter(DParameter::WindowLogMax(MAX_WINDOW_LOG + 1)).ok()?;
    if !base.is_empty() {
        context.ref_prefix(base).ok()?;
    }
    context.decompress(&mut text, compressed).ok()?;
    (text.len() == length).then_some(text)
}
