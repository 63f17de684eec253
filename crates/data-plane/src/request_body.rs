//! The body of a request on its way to the backend.
//!
//! Where the request began its body is kept in blocks ([`crate::byte_blocks`]), for attempts at other backends; what is large stands in the
//! budget of the process ([`crate::body_budget`]). To another proxy a small body goes with the request. A large one is sent as the proxy beside the
//! backend asks for it, once the backend takes it: that proxy holds no more than a window, and a refusal costs no body.
use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use crate::body_pipe::{BodyPipe, CHUNK_BYTES};

/// A body up to this goes with its request.
pub const MAX_INLINE_BYTES: usize = 64 << 10;
/// Bytes that a proxy asks for in advance.
pub const WINDOW_BYTES: u64 = 256 << 10;

/// A complete body.
#[derive(Clone, Debug, Default)]
pub struct RequestBody {
    pieces: Rc<Vec<Bytes>>,
    length: usize,
}

impl RequestBody {
    /// A body of these pieces.
    pub fn new(pieces: Vec<Bytes>) -> RequestBody {
        let length = pieces.iter().map(Bytes::len).sum();
        RequestBody { pieces: Rc::new(pieces), length }
    }

    /// Its bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Whether it goes with its request.
    pub fn is_inline(&self) -> bool {
        self.length <= MAX_INLINE_BYTES
    }

    /// All of it in one piece.
    pub fn to_bytes(&self) -> Bytes {
        match self.pieces.as_slice() {
            [] => Bytes::new(),
            [piece] => piece.clone(),
            pieces => {
                let mut joined = BytesMut::with_capacity(self.length);
                pieces.iter().for_each(|piece| joined.extend_from_slice(piece));
                joined.freeze()
            }
        }
    }

    /// Reads it from its beginning.
    pub fn reader(&self) -> BodySource {
        BodySource::Buffered(PieceReader { pieces: self.pieces.clone(), next_piece: 0, offset: 0 })
    }

    /// Sends it to another proxy, as that asks for it.
    pub fn upload(&self) -> Upload {
        let reader = PieceReader { pieces: self.pieces.clone(), next_piece: 0, offset: 0 };
        Upload { reader, remaining: self.length }
    }
}

/// Takes bytes from the front of a body.
#[derive(Debug)]
pub struct PieceReader {
    pieces: Rc<Vec<Bytes>>,
    next_piece: usize,
    offset: usize,
}

impl PieceReader {
    /// The next bytes, `most` at the most; none at the end.
    fn take(&mut self, most: usize) -> Option<Bytes> {
        let piece = self.pieces.get(self.next_piece)?;
        let end = (self.offset + most).min(piece.len());
        let taken = piece.slice(self.offset..end);
        self.offset = end;
        if end == piece.len() {
            self.next_piece += 1;
            self.offset = 0;
        }
        Some(taken)
    }
}

/// A body that another proxy asks for.
#[derive(Debug)]
pub struct Upload {
    reader: PieceReader,
    remaining: usize,
}

impl Upload {
    /// So many bytes more are asked for: the chunks to be sent, and whether each is the last.
    pub fn on_requested(&mut self, bytes: u64) -> Vec<(Bytes, bool)> {
        let mut left = usize::try_from(bytes).unwrap_or(usize::MAX).min(self.remaining);
        let mut chunks = Vec::new();
        while left > 0 {
            let Some(chunk) = self.reader.take(left.min(CHUNK_BYTES)) else { break };
            left -= chunk.len();
            self.remaining -= chunk.len();
            chunks.push((chunk, self.remaining == 0));
        }
        chunks
    }
}

/// Where the bytes for the backend come from.
pub enum BodySource {
    /// It is here.
    Buffered(PieceReader),
    /// The proxy where the request began sends it.
    Remote(RemoteBody),
}

/// The body broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyBrokeOff;

impl BodySource {
    /// A body that came with its request.
    pub fn inline(body: Bytes) -> BodySource {
        RequestBody::new(vec![body]).reader()
    }

    /// The next piece; `None` at the end.
    ///
    /// # Errors
    ///
    /// The rest does not come.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BodyBrokeOff> {
        match self {
            BodySource::Buffered(reader) => Ok(reader.take(usize::MAX)),
            BodySource::Remote(remote) => remote.next().await,
        }
    }
}

/// A body that is asked for piece by piece.
pub struct RemoteBody {
    pipe: BodyPipe,
    /// Asks the other proxy for so many bytes more.
    request: Box<dyn Fn(u64)>,
    /// Bytes that were not asked for yet.
    unrequested: u64,
    /// Bytes that were not handed on yet.
    unread: u64,
    has_begun: Cell<bool>,
}

impl RemoteBody {
    /// A body of this length, whose chunks come through `pipe` once they were asked for.
    pub fn new(length: u64, pipe: BodyPipe, request: Box<dyn Fn(u64)>) -> RemoteBody {
        RemoteBody { pipe, request, unrequested: length, unread: length, has_begun: Cell::new(false) }
    }

    fn request(&mut self, bytes: u64) {
        let bytes = bytes.min(self.unrequested);
        if bytes > 0 {
            self.unrequested -= bytes;
            (self.request)(bytes);
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, BodyBrokeOff> {
        if !self.has_begun.replace(true) {
            self.request(WINDOW_BYTES);
        }
        if self.unread == 0 {
            return Ok(None);
        }
        let piece = self.pipe.next().await.map_err(|_| BodyBrokeOff)?;
        let bytes = piece.len() as u64;
        // More than was announced is nobody's.
        self.unread = self.unread.checked_sub(bytes).ok_or(BodyBrokeOff)?;
        self.request(bytes);
        Ok(Some(piece))
    }
}

impl Drop for RemoteBody {
    fn drop(&mut self) {
        self.pipe.abandon();
    }
}
