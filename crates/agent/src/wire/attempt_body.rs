//! The body of an attempt: what is held, then what passes through. That is taken only once all that is held went on.
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use futures_util::Stream;

use super::attempt_progress::AttemptProgress;
use crate::state::body_stream::{BodyBroken, BodyStream, RemainingBody};
use crate::state::request::OutgoingRequest;

/// A held body goes on in chunks of this size, in bytes: the client library copies what it is handed.
const HELD_CHUNK_BYTES: usize = 16 * 1024;

/// See the module.
pub struct AttemptBody {
    held: Bytes,
    outgoing: Arc<OutgoingRequest>,
    stream: Option<BodyStream>,
    progress: Rc<AttemptProgress>,
}

impl AttemptBody {
    /// The body of a request, for one attempt.
    pub fn new(outgoing: Arc<OutgoingRequest>, progress: Rc<AttemptProgress>) -> AttemptBody {
        AttemptBody { held: outgoing.body.clone(), outgoing, stream: None, progress }
    }
}

impl MessageBody for AttemptBody {
    type Error = BodyBroken;

    fn size(&self) -> BodySize {
        let length = match &self.outgoing.remaining {
            Some(remaining) => remaining.length,
            None => Some(self.outgoing.body.len()),
        };
        length.map_or(BodySize::Stream, |length| BodySize::Sized(length as u64))
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Bytes, BodyBroken>>> {
        if !self.held.is_empty() {
            let count = self.held.len().min(HELD_CHUNK_BYTES);
            return Poll::Ready(Some(Ok(self.held.split_to(count))));
        }
        if self.outgoing.remaining.is_none() {
            return Poll::Ready(None);
        }
        if self.stream.is_none() {
            self.stream = self.outgoing.remaining.as_ref().and_then(RemainingBody::take);
        }
        let Some(stream) = &mut self.stream else { return Poll::Ready(Some(Err(BodyBroken))) };
        let chunk = Pin::new(stream).poll_next(cx);
        match chunk {
            Poll::Ready(None) => self.progress.body_handed_over.set(true),
            Poll::Ready(Some(Err(BodyBroken))) => self.progress.body_broken.set(true),
            _ => {}
        }
        chunk
    }
}
