//! A snapshot as bytes, in a file or on its way: its digest, its length, and the message, packed. On its way it goes in pieces that the
//! receiver asks for by id and offset, one after the other; after an interruption it asks on from what it has, at whoever has the same.
//! Nothing of it counts before all of it is here and has the digest that stands in front.
use bytes::Bytes;
use prost::Message;

use crate::difference::{self, MOST};
use crate::{More, Piece, Snapshot};

/// Bytes of one piece at most.
pub const PIECE: usize = 64 << 10;
/// What stands in front: digest of the message, its length.
const HEAD: usize = 16 + 4;

/// None where it is too large.
pub fn encode(snapshot: &Snapshot) -> Option<Vec<u8>> {
    let message = snapshot.encode_to_vec();
    let packed = difference::pack(&message)?;
    let mut all = Vec::with_capacity(HEAD + packed.len());
    all.extend_from_slice(&difference::digest(&message));
    all.extend_from_slice(&(message.len() as u32).to_be_bytes());
    all.extend_from_slice(&packed);
    Some(all)
}

/// None where it is not whole, or not what its digest says.
pub fn decode(all: &[u8]) -> Option<Snapshot> {
    let (head, packed) = all.split_at_checked(HEAD)?;
    let length = u32::from_be_bytes(*head.last_chunk::<4>()?) as usize;
    let message = difference::unpack(length, packed)?;
    (difference::digest(&message) == head[..16]).then(|| Snapshot::decode(&message[..]).ok())?
}

/// The sending end: holds one snapshot for as long as somebody may ask on.
#[derive(Clone, Debug)]
pub struct Sending {
    id: Bytes,
    all: Bytes,
}

impl Sending {
    /// None where it is too large.
    pub fn open(snapshot: &Snapshot) -> Option<Sending> {
        let all = encode(snapshot)?;
        Some(Sending { id: Bytes::copy_from_slice(&difference::digest(&all)), all: all.into() })
    }

    pub fn id(&self) -> &Bytes {
        &self.id
    }

    /// Bytes of the whole as it goes.
    pub fn size(&self) -> usize {
        self.all.len()
    }

    /// What is asked for. Who asks for another snapshot is told this one from its start.
    pub fn piece(&self, more: &More) -> Piece {
        let total = self.all.len();
        let at = usize::try_from(more.offset).unwrap_or(usize::MAX);
        let at = if more.id == self.id && at < total { at } else { 0 };
        let bytes = self.all.slice(at..total.min(at + PIECE));
        Piece { id: self.id.clone(), offset: at as u64, total: total as u64, bytes }
    }

    /// All of it in order.
    pub fn pieces(&self) -> impl Iterator<Item = Piece> {
        let more = |n: usize| More { id: self.id.clone(), offset: (n * PIECE) as u64 };
        (0..self.all.len().div_ceil(PIECE)).map(move |n| self.piece(&more(n)))
    }
}

/// What became of a piece.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It was taken: this is asked for next.
    More(More),
    /// All is here and is what it was sent as.
    Whole(Box<Snapshot>),
    /// It was thrown away; this is asked for.
    Refused(More),
}

/// The receiving end. It holds no more than what has come of one snapshot, and no more than the limit.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    id: Bytes,
    total: usize,
    got: Vec<u8>,
    pub refused: u64,
}

impl Assembly {
    /// What is missing next; to be sent after each connection, and again where nothing comes.
    pub fn ask(&self) -> More {
        More { id: self.id.clone(), offset: self.got.len() as u64 }
    }

    /// Bytes that are here.
    pub fn size(&self) -> usize {
        self.got.len()
    }

    pub fn hear(&mut self, piece: Piece) -> Step {
        let total = usize::try_from(piece.total).unwrap_or(usize::MAX);
        let sound =
            piece.id.len() == 16 && total <= MOST && !piece.bytes.is_empty() && piece.bytes.len() <= PIECE;
        if !sound {
            return self.refuse();
        }
        if piece.id != self.id && piece.offset == 0 {
            // The other end has another one by now: it is begun anew.
            *self = Assembly { id: piece.id.clone(), total, got: Vec::new(), refused: self.refused };
        }
        let fits = piece.id == self.id
            && total == self.total
            && piece.offset == self.got.len() as u64
            && self.got.len() + piece.bytes.len() <= total;
        if !fits {
            return self.refuse();
        }
        self.got.extend_from_slice(&piece.bytes);
        if self.got.len() < total {
            return Step::More(self.ask());
        }
        let (all, id) = (std::mem::take(&mut self.got), std::mem::take(&mut self.id));
        self.total = 0;
        match decode(&all).filter(|_| difference::digest(&all) == id[..]) {
            Some(snapshot) => Step::Whole(Box::new(snapshot)),
            None => self.refuse(),
        }
    }

    fn refuse(&mut self) -> Step {
        self.refused += 1;
        Step::Refused(self.ask())
    }
}
