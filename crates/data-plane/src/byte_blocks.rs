//! Bytes that come in pieces of any size, kept in blocks of their own.
//!
//! A piece that is kept as it came takes more than its bytes: an entry, and the whole buffer of which it is a part. Where pieces are small that
//! is a multiple of what they hold. Here they are joined, so that what is kept takes its bytes and one block at the most
//! (`tests/byte_blocks.rs`).
use bytes::{Bytes, BytesMut};

/// Bytes of one block at most.
pub const BLOCK_BYTES: usize = 64 << 10;
/// The first block begins with this where it is not known how much comes, and doubles up to [`BLOCK_BYTES`].
const MIN_BLOCK_BYTES: usize = 1 << 10;

/// Bytes in blocks, in the order in which they came.
#[derive(Debug, Default)]
pub struct ByteBlocks {
    full: Vec<Bytes>,
    open: BytesMut,
    length: usize,
    /// Bytes that are still expected; 0 where that is not known.
    expected: usize,
}

impl ByteBlocks {
    /// For this many bytes, where they are known.
    pub fn expecting(bytes: Option<usize>) -> ByteBlocks {
        ByteBlocks { expected: bytes.unwrap_or(0), ..ByteBlocks::default() }
    }

    /// Bytes that are kept.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Bytes of memory that the blocks take.
    pub fn allocated_bytes(&self) -> usize {
        self.full.iter().map(Bytes::len).sum::<usize>() + self.open.capacity()
    }

    /// Keeps a piece.
    pub fn push(&mut self, mut piece: &[u8]) {
        self.length += piece.len();
        while !piece.is_empty() {
            self.make_room(piece.len());
            let room = self.open.capacity() - self.open.len();
            let (now, later) = piece.split_at(piece.len().min(room));
            self.open.extend_from_slice(now);
            self.expected = self.expected.saturating_sub(now.len());
            piece = later;
        }
    }

    /// Makes room for a byte at the least, in a larger block or in another one.
    fn make_room(&mut self, piece_bytes: usize) {
        let capacity = self.open.capacity();
        if self.open.len() < capacity {
            return;
        }
        if capacity >= BLOCK_BYTES || (self.expected > 0 && capacity > 0) {
            self.close_block();
        }
        let bytes = match self.expected {
            0 if self.full.is_empty() => piece_bytes.max(2 * self.open.len()).max(MIN_BLOCK_BYTES),
            0 => BLOCK_BYTES,
            expected => expected,
        };
        let mut block = BytesMut::with_capacity(bytes.min(BLOCK_BYTES));
        block.extend_from_slice(&self.open);
        self.open = block;
    }

    fn close_block(&mut self) {
        self.full.push(std::mem::take(&mut self.open).freeze());
    }

    /// The blocks, all full but the last one.
    pub fn into_blocks(mut self) -> Vec<Bytes> {
        if !self.open.is_empty() {
            self.close_block();
        }
        self.full
    }
}
