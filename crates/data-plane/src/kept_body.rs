//! The body of an answer that is kept whole, or the first part of one that is passed on as it comes.
use bytes::{Bytes, BytesMut};
use notchspool::units::Micros;

use crate::body_budget::{BodyReservation, BudgetExhausted, MAX_SMALL_BYTES, MemoryBudget, STEP_BYTES};
use crate::byte_blocks::ByteBlocks;

/// Memory is waited for no longer than this.
const MAX_MEMORY_WAIT: Micros = Micros::ms(1_000);

/// Collects the pieces of a body, within a budget of memory.
#[derive(Default)]
pub struct KeptBody<'a> {
    /// The first piece, as it came: most bodies have no other.
    first: Bytes,
    pieces: Pieces,
    /// Bytes of the whole body, where they are known.
    expected: Option<usize>,
    budget: Option<&'a MemoryBudget>,
    memory: BodyReservation,
}

/// Where the pieces are kept once there are several.
enum Pieces {
    /// In one buffer, where it is known how many come.
    Joined(BytesMut),
    /// In blocks, to be joined at the end.
    Blocks(ByteBlocks),
}

impl Default for Pieces {
    fn default() -> Pieces {
        Pieces::Blocks(ByteBlocks::default())
    }
}

impl Pieces {
    fn len(&self) -> usize {
        match self {
            Pieces::Joined(joined) => joined.len(),
            Pieces::Blocks(blocks) => blocks.len(),
        }
    }

    fn push(&mut self, piece: &[u8]) {
        match self {
            Pieces::Joined(joined) => joined.extend_from_slice(piece),
            Pieces::Blocks(blocks) => blocks.push(piece),
        }
    }
}

impl<'a> KeptBody<'a> {
    /// A body of so many bytes, where that is known. What is large takes memory of `budget`; where there is none, there is no bound.
    pub fn new(expected: Option<usize>, budget: Option<&'a MemoryBudget>) -> KeptBody<'a> {
        KeptBody { expected, budget, ..KeptBody::default() }
    }

    /// Bytes that are kept.
    pub fn len(&self) -> usize {
        self.first.len() + self.pieces.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Keeps a piece.
    ///
    /// # Errors
    ///
    /// There is no memory for it.
    pub async fn push(&mut self, piece: Bytes) -> Result<(), BudgetExhausted> {
        if self.is_empty() {
            self.first = piece;
            return Ok(());
        }
        self.reserve(self.len() + piece.len()).await?;
        if !self.first.is_empty() {
            if let Some(expected) = self.expected {
                self.pieces = Pieces::Joined(BytesMut::with_capacity(expected));
            }
            self.pieces.push(&std::mem::take(&mut self.first));
        }
        self.pieces.push(&piece);
        Ok(())
    }

    /// Memory for a body that has come to this length: for all of it where its length is known, else step by step.
    async fn reserve(&mut self, length: usize) -> Result<(), BudgetExhausted> {
        let wanted = self.expected.unwrap_or(length);
        let Some(budget) = self.budget.filter(|_| wanted > MAX_SMALL_BYTES) else { return Ok(()) };
        if wanted <= self.memory.bytes() {
            return Ok(());
        }
        let step = if self.expected.is_some() { 0 } else { STEP_BYTES };
        budget.extend(&mut self.memory, wanted + step, MAX_MEMORY_WAIT).await
    }

    /// The body, and the memory that it takes.
    ///
    /// # Errors
    ///
    /// There is no memory to join its pieces.
    pub async fn finish(mut self) -> Result<(Bytes, BodyReservation), BudgetExhausted> {
        let body = match std::mem::take(&mut self.pieces) {
            Pieces::Joined(joined) => joined.freeze(),
            Pieces::Blocks(blocks) if blocks.is_empty() => std::mem::take(&mut self.first),
            Pieces::Blocks(blocks) => {
                let length = blocks.len();
                if let Some(budget) = self.budget.filter(|_| length > MAX_SMALL_BYTES) {
                    // While they are joined the blocks are there as well.
                    budget.extend(&mut self.memory, 2 * length, MAX_MEMORY_WAIT).await?;
                }
                join(length, &blocks.into_blocks())
            }
        };
        Ok((body, self.memory))
    }
}

fn join(length: usize, blocks: &[Bytes]) -> Bytes {
    let mut joined = BytesMut::with_capacity(length);
    blocks.iter().for_each(|block| joined.extend_from_slice(block));
    joined.freeze()
}
