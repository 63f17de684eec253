//! A snapshot as bytes, in a file or on its way: its digest, its length, and the message, compressed.
//!
//! On its way it goes in chunks that the receiver asks for by id and offset, one after the other; after an interruption it asks on from
//! what it has, at whoever has the same. Nothing of it counts before all of it is here and has the digest that stands in front.
use bytes::Bytes;
use prost::Message;

use crate::delta::{self, MAX_PACKED_BYTES};
use crate::{Snapshot, SnapshotChunk, SnapshotRequest};

/// Bytes of one chunk at most.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;
const DIGEST_BYTES: usize = 16;
const LENGTH_BYTES: usize = 4;
/// What stands in front: digest of the message, its length.
const HEAD_BYTES: usize = DIGEST_BYTES + LENGTH_BYTES;

/// The snapshot as bytes; `None` where it is too large.
pub fn encode(snapshot: &Snapshot) -> Option<Vec<u8>> {
    let message = snapshot.encode_to_vec();
    let packed = delta::pack(&message)?;
    let mut encoded = Vec::with_capacity(HEAD_BYTES + packed.len());
    encoded.extend_from_slice(&delta::digest(&message));
    encoded.extend_from_slice(&(message.len() as u32).to_be_bytes());
    encoded.extend_from_slice(&packed);
    Some(encoded)
}

/// The snapshot in these bytes; `None` where they are incomplete, or not what their digest says.
pub fn decode(encoded: &[u8]) -> Option<Snapshot> {
    let (head, packed) = encoded.split_at_checked(HEAD_BYTES)?;
    let length = u32::from_be_bytes(*head.last_chunk::<LENGTH_BYTES>()?) as usize;
    let message = delta::unpack(length, packed)?;
    let intact = delta::digest(&message) == head[..DIGEST_BYTES];
    intact.then(|| Snapshot::decode(&message[..]).ok())?
}

/// The sending end: holds one snapshot for as long as somebody may ask on.
#[derive(Clone, Debug)]
pub struct SnapshotSender {
    id: Bytes,
    encoded: Bytes,
}

impl SnapshotSender {
    /// Holds this snapshot; `None` where it is too large.
    pub fn new(snapshot: &Snapshot) -> Option<SnapshotSender> {
        let encoded = encode(snapshot)?;
        let id = Bytes::copy_from_slice(&delta::digest(&encoded));
        Some(SnapshotSender { id, encoded: encoded.into() })
    }

    /// Digest of the encoded snapshot.
    pub fn id(&self) -> &Bytes {
        &self.id
    }

    /// Bytes of the encoded snapshot.
    pub fn size(&self) -> usize {
        self.encoded.len()
    }

    /// The chunk that is asked for. Who asks for another snapshot gets this one from its start.
    pub fn chunk(&self, request: &SnapshotRequest) -> SnapshotChunk {
        let total = self.encoded.len();
        let offset = usize::try_from(request.offset).unwrap_or(usize::MAX);
        let offset = if request.id == self.id && offset < total { offset } else { 0 };
        let bytes = self.encoded.slice(offset..total.min(offset + MAX_CHUNK_BYTES));
        SnapshotChunk { id: self.id.clone(), offset: offset as u64, total_bytes: total as u64, bytes }
    }

    /// All chunks in order.
    pub fn chunks(&self) -> impl Iterator<Item = SnapshotChunk> {
        let request =
            |n: usize| SnapshotRequest { id: self.id.clone(), offset: (n * MAX_CHUNK_BYTES) as u64 };
        (0..self.encoded.len().div_ceil(MAX_CHUNK_BYTES)).map(move |n| self.chunk(&request(n)))
    }
}

/// What became of a chunk.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// It was taken: this is asked for next.
    Continue(SnapshotRequest),
    /// All is here and is what it was sent as.
    Complete(Box<Snapshot>),
    /// It was thrown away; this is asked for.
    Rejected(SnapshotRequest),
}

/// The receiving end. It holds no more than what has come of one snapshot, and no more than the limit.
#[derive(Clone, Debug, Default)]
pub struct SnapshotReceiver {
    id: Bytes,
    total: usize,
    received: Vec<u8>,
    /// Chunks thrown away.
    pub rejected: u64,
}

impl SnapshotReceiver {
    /// What is missing next; to be sent after each connection, and again where nothing comes.
    pub fn request(&self) -> SnapshotRequest {
        SnapshotRequest { id: self.id.clone(), offset: self.received.len() as u64 }
    }

    /// Bytes that are here.
    pub fn size(&self) -> usize {
        self.received.len()
    }

    /// Takes a chunk.
    pub fn on_chunk(&mut self, chunk: SnapshotChunk) -> Progress {
        let total = usize::try_from(chunk.total_bytes).unwrap_or(usize::MAX);
        let valid = chunk.id.len() == DIGEST_BYTES
            && total <= MAX_PACKED_BYTES
            && (1..=MAX_CHUNK_BYTES).contains(&chunk.bytes.len());
        if !valid {
            return self.reject();
        }
        if chunk.id != self.id && chunk.offset == 0 {
            // The other end has another one by now: it is begun anew.
            let rejected = self.rejected;
            *self = SnapshotReceiver { id: chunk.id.clone(), total, received: Vec::new(), rejected };
        }
        let fits = chunk.id == self.id
            && total == self.total
            && chunk.offset == self.received.len() as u64
            && self.received.len() + chunk.bytes.len() <= total;
        if !fits {
            return self.reject();
        }
        self.received.extend_from_slice(&chunk.bytes);
        if self.received.len() < total {
            return Progress::Continue(self.request());
        }
        self.complete()
    }

    fn complete(&mut self) -> Progress {
        let encoded = std::mem::take(&mut self.received);
        let id = std::mem::take(&mut self.id);
        self.total = 0;
        match decode(&encoded).filter(|_| delta::digest(&encoded) == id[..]) {
            Some(snapshot) => Progress::Complete(Box::new(snapshot)),
            None => self.reject(),
        }
    }

    fn reject(&mut self) -> Progress {
        self.rejected += 1;
        Progress::Rejected(self.request())
    }
}
