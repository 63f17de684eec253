//! A connection to a backend over HTTP. It knows how much of the attempt that writes to it was written and how much came back, takes interim answers
//! out, and says in one log line why it ended.
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::answer_head::{AnswerHead, MINOR_VERSION_INDEX, ends_with_connection};
use super::attempt_progress::{AttemptProgress, CURRENT_ATTEMPT};
use super::connection_history::{ConnectionHistory, reason};
use crate::state::counters::Counters;

/// Bytes that one read takes at the most.
const READ_BYTES: usize = 8 * 1024;

/// See the module.
pub struct BackendConnection {
    stream: TcpStream,
    backend: SocketAddr,
    counters: Rc<Counters>,
    history: Rc<ConnectionHistory>,
    /// Written to, and nothing read since.
    awaits_answer: bool,
    /// Of the attempt that wrote last.
    progress: Option<Rc<AttemptProgress>>,
    /// Read, not yet handed on: an answer's beginning, until it is told from an interim one.
    read_ahead: BytesMut,
    /// No byte of the answer itself was handed on yet.
    awaits_head: bool,
    /// The reason code, where it was not we who ended it.
    end: Option<&'static str>,
}

impl BackendConnection {
    /// A connection that is up.
    pub fn new(
        stream: TcpStream,
        backend: SocketAddr,
        counters: Rc<Counters>,
        history: Rc<ConnectionHistory>,
    ) -> BackendConnection {
        // Slower without it, and right all the same.
        let _ = stream.set_nodelay(true);
        counters.add(history.opening_counter());
        history.on_opened();
        counters.backend_connections.set(counters.backend_connections.get() + 1);
        counters.add("links_opened");
        BackendConnection {
            stream,
            backend,
            counters,
            history,
            awaits_answer: false,
            progress: None,
            read_ahead: BytesMut::new(),
            awaits_head: false,
            end: None,
        }
    }

    fn on_error<T>(&mut self, error: io::Error) -> Poll<io::Result<T>> {
        self.end = Some(reason::RESET);
        Poll::Ready(Err(error))
    }

    /// Looks for the answer's head in what was read ahead. False where it is not there yet.
    fn skip_interim_answers(&mut self) -> bool {
        while self.awaits_head {
            match AnswerHead::find(&self.read_ahead) {
                AnswerHead::Incomplete => return false,
                AnswerHead::Interim(end) => {
                    self.read_ahead.advance(end);
                    self.progress.iter().for_each(|progress| progress.on_interim(end));
                }
                AnswerHead::Final(end) => {
                    let no_body = self.progress.as_ref().is_some_and(|progress| progress.expects_no_body);
                    if !no_body && ends_with_connection(&self.read_ahead[..end]) {
                        self.read_ahead[MINOR_VERSION_INDEX] = b'0';
                    }
                    self.awaits_head = false;
                }
                AnswerHead::None => self.awaits_head = false,
            }
        }
        true
    }

    /// Hands on what was read ahead; nothing where that is still an interim answer.
    fn hand_on(&mut self, buffer: &mut ReadBuf) {
        if !self.skip_interim_answers() {
            return;
        }
        let bytes = self.read_ahead.split_to(buffer.remaining().min(self.read_ahead.len()));
        buffer.put_slice(&bytes);
        if let Some(progress) = &self.progress {
            progress.on_handed_on(&bytes);
        }
    }
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        let open = &self.counters.backend_connections;
        open.set(open.get().saturating_sub(1));
        let by_us = if self.awaits_answer { reason::GIVEN_UP } else { reason::IDLE };
        let code = self.end.unwrap_or(by_us);
        self.counters.add("links_ended");
        self.history.on_ended(code);
        log::info!("link to {} ended: {code}", self.backend);
    }
}

impl std::fmt::Debug for BackendConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "link to {}", self.backend)
    }
}

impl AsyncRead for BackendConnection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let is_spent = self.progress.as_ref().is_some_and(|progress| progress.is_connection_spent());
        if !self.awaits_answer && is_spent {
            self.end = Some(reason::SPENT);
            // As if the backend had closed.
            return Poll::Ready(Ok(()));
        }
        loop {
            self.hand_on(buffer);
            if buffer.filled().len() > before || buffer.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            let mut bytes = [0; READ_BYTES];
            let mut bytes = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut bytes) {
                Poll::Ready(Ok(())) if bytes.filled().is_empty() => {
                    self.end = Some(reason::CLOSED);
                    // Not where an idle connection is looked at before the attempt takes another one.
                    let _ = CURRENT_ATTEMPT
                        .try_with(|progress| progress.ended_by_backend.set(progress.is_fully_written()));
                    return Poll::Ready(Ok(()));
                }
                Poll::Ready(Ok(())) => {
                    self.awaits_answer = false;
                    self.read_ahead.extend_from_slice(bytes.filled());
                    let count = bytes.filled().len();
                    self.progress.iter().for_each(|progress| progress.on_received(count));
                }
                Poll::Ready(Err(error)) => return self.on_error(error),
                Poll::Pending => return Poll::Pending,
            }
        }
    }
}

impl AsyncWrite for BackendConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(cx, bytes) {
            Poll::Ready(Ok(count)) => {
                if let Ok(progress) = CURRENT_ATTEMPT.try_with(Rc::clone) {
                    progress.on_written(&bytes[..count]);
                    let is_same = self.progress.as_ref().is_some_and(|old| Rc::ptr_eq(old, &progress));
                    self.awaits_head |= !is_same;
                    self.progress = Some(progress);
                }
                self.awaits_answer = true;
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => self.on_error(error),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for BackendConnection {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
