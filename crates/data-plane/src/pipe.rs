//! A large answer in pieces, from who reads it to who passes it on. No more than `ROOM` bytes stand in it: the reader waits for the taker.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Bytes that may stand in a pipe, and bytes of one piece.
pub const ROOM: usize = 256 << 10;
pub const PIECE: usize = 16 << 10;

/// What ends a pipe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    /// What came is not the whole: it must not look complete.
    Broken,
}

#[derive(Default)]
struct Inner {
    parts: RefCell<VecDeque<Bytes>>,
    held: Cell<usize>,
    end: Cell<Option<End>>,
    left: Cell<bool>,
    taker: RefCell<Option<Waker>>,
    filler: RefCell<Option<Waker>>,
}

#[derive(Clone, Default)]
pub struct Pipe(Rc<Inner>);

impl Pipe {
    /// Puts a piece in, beyond the room too: who fills it waits with `room` before.
    pub fn put(&self, part: Bytes) {
        if !self.0.left.get() && !part.is_empty() {
            self.0.held.set(self.0.held.get() + part.len());
            self.0.parts.borrow_mut().push_back(part);
            self.wake_taker();
        }
    }
    pub fn end(&self, end: End) {
        if self.0.end.get().is_none() {
            self.0.end.set(Some(end));
        }
        self.wake_taker();
    }
    /// Nobody takes any more.
    pub fn leave(&self) {
        self.0.left.set(true);
        self.0.parts.borrow_mut().clear();
        if let Some(filler) = self.0.filler.take() {
            filler.wake();
        }
    }
    pub fn left(&self) -> bool {
        self.0.left.get()
    }
    fn wake_taker(&self) {
        if let Some(taker) = self.0.taker.take() {
            taker.wake();
        }
    }
    /// Waits till there is room; false where nobody takes any more.
    pub async fn room(&self) -> bool {
        std::future::poll_fn(|cx| {
            if self.0.left.get() {
                return Poll::Ready(false);
            }
            if self.0.held.get() < ROOM {
                return Poll::Ready(true);
            }
            *self.0.filler.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
    /// The next piece; none at its end.
    pub async fn next(&self) -> Result<Bytes, End> {
        std::future::poll_fn(|cx| self.poll(cx)).await
    }
    fn poll(&self, cx: &mut Context<'_>) -> Poll<Result<Bytes, End>> {
        if let Some(part) = self.0.parts.borrow_mut().pop_front() {
            self.0.held.set(self.0.held.get() - part.len());
            if let Some(filler) = self.0.filler.take() {
                filler.wake();
            }
            return Poll::Ready(Ok(part));
        }
        if let Some(end) = self.0.end.get() {
            return Poll::Ready(Err(end));
        }
        *self.0.taker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}

/// The body of an answer: whole, or a first part and a pipe for the rest.
pub enum Answer {
    Whole(Option<Bytes>),
    Pieces { first: Option<Bytes>, pipe: Pipe, left: u64, taken: Box<dyn Fn(usize)> },
}

impl Body for Answer {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match &mut *self {
            Answer::Whole(bytes) => {
                Poll::Ready(bytes.take().filter(|b| !b.is_empty()).map(|b| Ok(Frame::data(b))))
            }
            Answer::Pieces { first, pipe, left, taken } => {
                let part = match first.take().filter(|b| !b.is_empty()) {
                    Some(part) => part,
                    None => match std::task::ready!(pipe.poll(cx)) {
                        Ok(part) => part,
                        Err(End::Whole) if *left == 0 => return Poll::Ready(None),
                        Err(_) => return Poll::Ready(Some(Err(std::io::ErrorKind::UnexpectedEof.into()))),
                    },
                };
                if part.len() as u64 > *left {
                    return Poll::Ready(Some(Err(std::io::ErrorKind::InvalidData.into())));
                }
                *left -= part.len() as u64;
                taken(part.len());
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Answer::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Answer::Pieces { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Answer::Pieces { left, .. } => SizeHint::with_exact(*left),
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if let Answer::Pieces { pipe, .. } = self {
            pipe.leave();
        }
    }
}
