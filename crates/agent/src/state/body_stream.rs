//! A body that passes through in chunks: the sender waits for the receiver, so that little of it is ever here. Whether it has a stated length or
//! broke off, the receiver can tell.
use std::pin::Pin;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::mpsc;

/// Bytes of a body that passes through, at the most.
pub const MAX_BODY_BYTES: usize = 33 * 1024 * 1024;
/// Chunks that wait between the two ends. Each is what one read brought: 8 kB, at times some more.
pub const MAX_WAITING_CHUNKS: usize = 2;

/// The body ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the body broke off")]
pub struct BodyBroken;

/// A part of a body. An empty one is the sender's word that the body is complete.
pub type Chunk = Result<Bytes, BodyBroken>;
/// The sender's end.
pub type BodySender = mpsc::Sender<Chunk>;

/// The receiver's end.
pub struct BodyStream {
    chunks: mpsc::Receiver<Chunk>,
    has_ended: bool,
}

/// Both ends of a body.
pub fn body_stream() -> (BodySender, BodyStream) {
    let (sender, chunks) = mpsc::channel(MAX_WAITING_CHUNKS);
    (sender, BodyStream { chunks, has_ended: false })
}

impl Stream for BodyStream {
    type Item = Chunk;

    /// The end comes once, and only where the sender said it: a sender that is just gone broke off.
    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Chunk>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        self.chunks.poll_recv(cx).map(|chunk| match chunk {
            Some(Ok(chunk)) if !chunk.is_empty() => Some(Ok(chunk)),
            Some(Ok(_)) => {
                self.has_ended = true;
                None
            }
            Some(Err(BodyBroken)) | None => {
                self.has_ended = true;
                Some(Err(BodyBroken))
            }
        })
    }
}

/// What follows of a request's body after the part that is held. It can be taken once.
pub struct RemainingBody {
    stream: Mutex<Option<BodyStream>>,
    /// Bytes of the complete body, with the held part, where that was stated.
    pub length: Option<usize>,
    /// How long the answer is waited for, from when the last byte was sent.
    pub answer_timeout: Duration,
    completed_at: OnceLock<Instant>,
}

impl RemainingBody {
    /// What comes through this stream.
    pub fn new(stream: BodyStream, length: Option<usize>, answer_timeout: Duration) -> RemainingBody {
        RemainingBody {
            stream: Mutex::new(Some(stream)),
            length,
            answer_timeout,
            completed_at: OnceLock::new(),
        }
    }

    /// For the one attempt that takes it; nothing after that.
    pub fn take(&self) -> Option<BodyStream> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Whether an attempt took it: no other one can send this body.
    pub fn is_taken(&self) -> bool {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner).is_none()
    }

    /// The client has sent the last byte.
    pub fn on_complete(&self) {
        // Said twice, the first time counts.
        let _ = self.completed_at.set(Instant::now());
    }

    /// When the client sent the last byte, if it has.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get().copied()
    }
}
