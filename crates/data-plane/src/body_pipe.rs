//! A streamed body, from the task that reads it to the one that passes it on. No more than [`CAPACITY`] bytes stand in it: the writer waits for
//! the reader.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};

/// Bytes that may stand in a pipe.
pub const CAPACITY: usize = 256 << 10;
/// Bytes of one chunk at most.
pub const CHUNK_BYTES: usize = 16 << 10;

/// A chunk from here on stands in the pipe as it came. Smaller ones are copied together: each would keep the buffer of which it is a part.
const MIN_KEPT_BYTES: usize = 8 << 10;

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// All of it came.
    Complete,
    /// It broke off: it must not look complete.
    Truncated,
}

#[derive(Default)]
struct Shared {
    chunks: RefCell<VecDeque<Bytes>>,
    /// Small chunks behind the last one of `chunks`.
    joined: RefCell<BytesMut>,
    bytes: Cell<usize>,
    end: Cell<Option<BodyEnd>>,
    is_abandoned: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    writer: RefCell<Option<Waker>>,
}

impl Shared {
    fn push(&self, chunk: Bytes) {
        let (mut chunks, mut joined) = (self.chunks.borrow_mut(), self.joined.borrow_mut());
        let is_kept = chunk.len() >= MIN_KEPT_BYTES;
        if !joined.is_empty() && (is_kept || joined.len() + chunk.len() > CHUNK_BYTES) {
            chunks.push_back(joined.split().freeze());
        }
        if is_kept {
            chunks.push_back(chunk);
        } else {
            joined.extend_from_slice(&chunk);
        }
    }

    fn pop(&self) -> Option<Bytes> {
        let chunk = self.chunks.borrow_mut().pop_front();
        chunk.or_else(|| Some(self.joined.borrow_mut().split().freeze()).filter(|chunk| !chunk.is_empty()))
    }
}

/// One pipe; clones are its ends.
#[derive(Clone, Default)]
pub struct BodyPipe(Rc<Shared>);

impl BodyPipe {
    /// Puts a chunk in, beyond the capacity too: the writer waits with [`BodyPipe::wait_for_room`] before.
    pub fn write(&self, chunk: Bytes) {
        if !self.0.is_abandoned.get() && !chunk.is_empty() {
            self.0.bytes.set(self.0.bytes.get() + chunk.len());
            self.0.push(chunk);
            self.wake_reader();
        }
    }

    /// Bytes that stand in it.
    pub fn len(&self) -> usize {
        self.0.bytes.get()
    }

    /// Whether nothing stands in it.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Nothing follows. The first end counts.
    pub fn finish(&self, end: BodyEnd) {
        if self.0.end.get().is_none() {
            self.0.end.set(Some(end));
        }
        self.wake_reader();
    }

    /// Nobody reads any more.
    pub fn abandon(&self) {
        self.0.is_abandoned.set(true);
        self.0.chunks.borrow_mut().clear();
        self.0.joined.take();
        if let Some(writer) = self.0.writer.take() {
            writer.wake();
        }
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.0.reader.take() {
            reader.wake();
        }
    }

    /// Waits until there is room; false where nobody reads any more.
    pub async fn wait_for_room(&self) -> bool {
        std::future::poll_fn(|cx| {
            if self.0.is_abandoned.get() {
                return Poll::Ready(false);
            }
            if self.0.bytes.get() < CAPACITY {
                return Poll::Ready(true);
            }
            *self.0.writer.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// The next chunk, or how the body ended.
    ///
    /// # Errors
    ///
    /// How the body ended, once all chunks were taken.
    pub async fn next(&self) -> Result<Bytes, BodyEnd> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Result<Bytes, BodyEnd>> {
        if let Some(chunk) = self.0.pop() {
            self.0.bytes.set(self.0.bytes.get() - chunk.len());
            if let Some(writer) = self.0.writer.take() {
                writer.wake();
            }
            return Poll::Ready(Ok(chunk));
        }
        if let Some(end) = self.0.end.get() {
            return Poll::Ready(Err(end));
        }
        *self.0.reader.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// The body of an HTTP response.
pub enum ResponseBody {
    /// All of it is here.
    Full(Option<Bytes>),
    /// A first part is here, the rest comes through a pipe.
    Streamed {
        /// The first part.
        first: Option<Bytes>,
        /// The rest.
        pipe: BodyPipe,
        /// Bytes that are still to come, the first part included; `None` where that is not known before the end.
        remaining: Option<u64>,
        /// Tells the sender of the rest how many bytes were passed on.
        on_consumed: Box<dyn Fn(usize)>,
    },
}

impl ResponseBody {
    /// A short text.
    pub fn text(text: impl Into<String>) -> ResponseBody {
        ResponseBody::Full(Some(Bytes::from(text.into())))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match &mut *self {
            ResponseBody::Full(bytes) => {
                Poll::Ready(bytes.take().filter(|b| !b.is_empty()).map(|b| Ok(Frame::data(b))))
            }
            ResponseBody::Streamed { first, pipe, remaining, on_consumed } => {
                let chunk = match first.take().filter(|b| !b.is_empty()) {
                    Some(chunk) => chunk,
                    None => match std::task::ready!(pipe.poll_next(cx)) {
                        Ok(chunk) => chunk,
                        Err(BodyEnd::Complete) if remaining.is_none_or(|remaining| remaining == 0) => {
                            return Poll::Ready(None);
                        }
                        Err(_) => return Poll::Ready(Some(Err(std::io::ErrorKind::UnexpectedEof.into()))),
                    },
                };
                if let Some(bytes) = remaining {
                    let Some(left) = bytes.checked_sub(chunk.len() as u64) else {
                        return Poll::Ready(Some(Err(std::io::ErrorKind::InvalidData.into())));
                    };
                    *bytes = left;
                }
                on_consumed(chunk.len());
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Streamed { remaining, .. } => {
                remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let ResponseBody::Streamed { pipe, .. } = self {
            pipe.abandon();
        }
    }
}
