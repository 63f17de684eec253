//! One connection of a client: it hands on few requests at once, and notes what is known of it in its [`ClientState`].
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use actix_rt::net::{TcpStream, UnixStream};
use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::client_connections::{ClientConnections, ClientState};
use crate::state::counters::Counters;

/// Requests that are handed on at once. Each is 7 kB once it is read, of 18 bytes that came: a burst of them would take all memory before the first
/// is answered.
const MAX_PIPELINED_HEADS: usize = 2;
/// Bytes of requests that wait behind one in flight.
const MAX_WAITING_BYTES: usize = 2 * 1024;

/// Where the heads that may be handed on at once end, if more comes behind them. An empty line ends a head; in a body it only means another turn.
pub fn end_of_heads(bytes: &[u8]) -> Option<usize> {
    let mut heads = 0;
    for (index, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        let end = match bytes.get(index + 1..) {
            Some([b'\n', ..]) => index + 2,
            Some([b'\r', b'\n', ..]) => index + 3,
            _ => continue,
        };
        heads += 1;
        if heads == MAX_PIPELINED_HEADS {
            return Some(end).filter(|end| *end < bytes.len());
        }
    }
    None
}

/// A socket, whatever it runs over.
pub enum Socket {
    /// TCP.
    Tcp(TcpStream),
    /// A Unix socket.
    Unix(UnixStream),
}

/// See the module.
pub struct ClientStream {
    socket: Socket,
    /// Several requests may be in flight on it at once, and whoever reads it limits them.
    pub multiplexes: bool,
    /// Read, and to be handed on when it is its turn.
    waiting: BytesMut,
    /// A part was handed on: what it begins comes first.
    yields_turn: bool,
    id: u64,
    /// What is known of it.
    pub state: Rc<ClientState>,
    connections: Rc<ClientConnections>,
    counters: Rc<Counters>,
}

impl ClientStream {
    /// A connection that has just come.
    pub fn new(socket: Socket, connections: Rc<ClientConnections>, counters: Rc<Counters>) -> ClientStream {
        if let Socket::Tcp(stream) = &socket {
            // Slower without it, and right all the same.
            let _ = stream.set_nodelay(true);
        }
        let state = Rc::new(ClientState::new());
        let id = connections.add(state.clone());
        counters.clients.set(counters.clients.get() + 1);
        counters.add("calls_opened");
        ClientStream {
            socket,
            multiplexes: false,
            waiting: BytesMut::new(),
            yields_turn: false,
            id,
            state,
            connections,
            counters,
        }
    }

    /// More requests wait behind one that is in flight. Some more is read, to notice an end.
    fn read_ahead(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        self.yields_turn = false;
        while self.waiting.len() < MAX_WAITING_BYTES {
            let mut bytes = [0; MAX_WAITING_BYTES];
            let mut bytes = ReadBuf::new(&mut bytes[..MAX_WAITING_BYTES - self.waiting.len()]);
            match Pin::new(&mut self.socket).poll_read(cx, &mut bytes) {
                Poll::Ready(Ok(())) if !bytes.filled().is_empty() => {
                    self.waiting.extend_from_slice(bytes.filled());
                }
                Poll::Pending => break,
                ended @ Poll::Ready(_) => return ended,
            }
        }
        self.state.reader.replace(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Reads what waits, or else from the socket.
    fn read_next(&mut self, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.waiting.is_empty() {
            return Pin::new(&mut self.socket).poll_read(cx, buffer);
        }
        let count = buffer.remaining().min(self.waiting.len());
        buffer.put_slice(&self.waiting.split_to(count));
        Poll::Ready(Ok(()))
    }

    /// Keeps back what comes behind as many heads as may be handed on at once.
    fn keep_back(&mut self, buffer: &mut ReadBuf, before: usize) {
        if self.multiplexes || self.state.passes_body.get() {
            return;
        }
        if let Some(end) = end_of_heads(&buffer.filled()[before..]) {
            let mut rest = BytesMut::from(&buffer.filled()[before + end..]);
            rest.extend_from_slice(&self.waiting);
            (self.waiting, self.yields_turn) = (rest, true);
            buffer.set_filled(before + end);
        }
    }

    /// Bytes were handed on.
    fn on_read(&self, count: usize) {
        let state = &self.state;
        state.has_spoken.set(true);
        state.last_read.set(Instant::now());
        if !state.is_busy.replace(true) {
            state.since.set(Instant::now());
            state.request_bytes.set(0);
            state.streamed_answer.set(false);
        }
        state.request_bytes.set(state.request_bytes.get() + count);
    }

    /// Notes whether the client takes what is written.
    fn note_unread(&self, cx: &mut Context, left: usize, all: usize) {
        let state = &self.state;
        if left == 0 {
            state.unread_since.set(None);
        } else {
            // It takes some: that is all that can be asked.
            let takes_some = left < all;
            let since = state.unread_since.get().filter(|_| !takes_some);
            state.unread_since.set(since.or_else(|| Some(Instant::now())));
            state.writer.replace(Some(cx.waker().clone()));
        }
        self.connections.on_unread(state, left);
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.connections.remove(self.id, &self.state);
        self.counters.clients.set(self.counters.clients.get().saturating_sub(1));
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Socket::Tcp(stream) => Pin::new(stream).poll_read(cx, buffer),
            Socket::Unix(stream) => Pin::new(stream).poll_read(cx, buffer),
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Socket::Tcp(stream) => Pin::new(stream).poll_write(cx, bytes),
            Socket::Unix(stream) => Pin::new(stream).poll_write(cx, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Socket::Tcp(stream) => Pin::new(stream).poll_flush(cx),
            Socket::Unix(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Socket::Tcp(stream) => Pin::new(stream).poll_shutdown(cx),
            Socket::Unix(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.state.close_reason().is_some() || self.state.refusal().is_some() {
            // As if the client had closed.
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let must_wait = !self.waiting.is_empty() && !self.state.passes_body.get();
        if must_wait && self.state.in_flight.get() > 0 {
            return self.read_ahead(cx);
        }
        if must_wait && self.yields_turn {
            self.yields_turn = false;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = self.read_next(cx, buffer);
        self.keep_back(buffer, before);
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.on_read(count);
        } else if read.is_pending() {
            self.state.reader.replace(Some(cx.waker().clone()));
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.state.close_reason().is_some() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = Pin::new(&mut self.socket).poll_write(cx, bytes);
        let left = match written {
            Poll::Ready(Ok(count)) => bytes.len() - count,
            _ => bytes.len(),
        };
        self.note_unread(cx, left, bytes.len());
        // The server flushes after all that it has; what is written with nothing in flight is an answer's end.
        let is_written = matches!(written, Poll::Ready(Ok(count)) if count == bytes.len());
        if self.state.in_flight.get() == 0 && is_written {
            self.state.set_idle();
            self.state.since.set(Instant::now());
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
