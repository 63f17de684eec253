//! One connection to another process of the mesh: frames in, frames out.
//!
//! Writes are gathered. A peer that reads nothing ends the connection once `MAX_UNSENT_BYTES` wait; silence ends it where an idle time-out
//! is given.
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use notchspool_mesh_protocol::{FrameError, Payload, decode, encode};
use socket2::TcpKeepalive;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::Notify;

/// Bytes that may wait for a peer.
const MAX_UNSENT_BYTES: usize = 48 << 20;
/// A write or a connection that the other machine does not acknowledge ends after this.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// An idle connection is probed after this; it ends where the probe is not acknowledged within the interval.
const KEEPALIVE_TIME: Duration = Duration::from_secs(15);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// A read buffer begins with this.
const READ_BUFFER_BYTES: usize = 4096;
/// An empty read buffer over this is replaced by a small one.
const MAX_IDLE_READ_BUFFER_BYTES: usize = 1 << 18;
/// A written buffer up to this is used again.
const MAX_REUSED_WRITE_BUFFER_BYTES: usize = 1 << 16;

/// Why a connection ended.
#[derive(Debug, derive_more::Display)]
pub enum CloseReason {
    /// The other side closed it.
    #[display("closed by the other side")]
    ClosedByPeer,
    /// The idle time-out was over.
    #[display("nothing heard for {_0:?}")]
    IdleTimeout(Duration),
    /// Reading or writing failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A frame after which nothing can be read.
    #[display("{_0}")]
    InvalidFrame(FrameError),
    /// Ended by this side.
    #[display("closed here")]
    ClosedHere,
}

struct Shared {
    unsent: RefCell<BytesMut>,
    /// Bytes handed to the socket's write and not yet taken by it.
    writing: Cell<usize>,
    /// Something is to be written, or the connection is to end.
    wake: Notify,
    /// Something was written.
    written: Notify,
    /// How often bytes have come, complete messages or not.
    read_count: Cell<u64>,
    /// Frames that were left out because they were malformed.
    malformed_frames: Cell<u64>,
    closed: Cell<bool>,
    finishing: Cell<bool>,
}

/// The sending end of a connection; clones send on the same one.
#[derive(Clone)]
pub struct FrameSender(Rc<Shared>);

impl Default for FrameSender {
    fn default() -> FrameSender {
        FrameSender(Rc::new(Shared {
            unsent: RefCell::default(),
            writing: Cell::new(0),
            wake: Notify::new(),
            written: Notify::new(),
            read_count: Cell::new(0),
            malformed_frames: Cell::new(0),
            closed: Cell::new(false),
            finishing: Cell::new(false),
        }))
    }
}

impl FrameSender {
    /// Sends a message. False where the connection has ended: then not one byte of it leaves.
    pub fn send(&self, payload: Payload) -> bool {
        if self.0.closed.get() {
            return false;
        }
        let mut unsent = self.0.unsent.borrow_mut();
        encode(payload, &mut unsent);
        if unsent.len() > MAX_UNSENT_BYTES {
            self.0.closed.set(true);
        }
        self.0.wake.notify_one();
        true
    }

    /// Waits until no more than this many bytes stand before what is sent next, so that large responses let small ones go between. False
    /// where the connection has ended.
    pub async fn wait_until_below(&self, bytes: usize) -> bool {
        while self.is_open() && self.0.unsent.borrow().len() + self.0.writing.get() > bytes {
            self.0.written.notified().await;
        }
        self.is_open()
    }

    /// How often bytes have come on the connection.
    pub fn read_count(&self) -> u64 {
        self.0.read_count.get()
    }

    /// How many frames were malformed.
    pub fn malformed_frames(&self) -> u64 {
        self.0.malformed_frames.get()
    }

    /// Whether it has not ended.
    pub fn is_open(&self) -> bool {
        !self.0.closed.get()
    }

    /// Whether both send on the same connection.
    pub fn is_same(&self, other: &FrameSender) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }

    /// Ends the connection; what is not sent is lost.
    pub fn abort(&self) {
        self.0.closed.set(true);
        self.0.wake.notify_one();
    }

    /// Ends the connection once all that waits is written.
    pub fn finish(&self) {
        self.0.finishing.set(true);
        self.0.wake.notify_one();
    }
}

/// Ends the connection for its senders, whatever ends the task that carries it.
struct CarryGuard<'a>(&'a Shared);

impl Drop for CarryGuard<'_> {
    fn drop(&mut self) {
        self.0.closed.set(true);
        self.0.written.notify_waiters();
    }
}

/// Sets the options of every socket between the mesh's processes.
pub fn configure_socket(stream: &TcpStream) {
    // Without them the connection works all the same, slower or with later errors.
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    let _ = socket.set_tcp_keepalive(&keepalive);
}

/// Whether nothing stands to be read on it, and it has not ended.
///
/// Asked of the system itself, since what the runtime was told last may be old.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Connects within `timeout`.
///
/// # Errors
///
/// The connection is refused, can't be made, or is not up in time (`TimedOut`).
pub async fn connect(to: SocketAddr, timeout: Duration) -> std::io::Result<TcpStream> {
    let connected = tokio::time::timeout(timeout, TcpStream::connect(to)).await;
    let stream = connected.map_err(|_| std::io::Error::from(ErrorKind::TimedOut))??;
    configure_socket(&stream);
    Ok(stream)
}

/// Carries a connection until it ends. `on_message` is called with each message.
pub async fn run(
    mut stream: TcpStream,
    sender: FrameSender,
    idle_timeout: Option<Duration>,
    on_message: impl FnMut(Payload),
) -> CloseReason {
    let shared = &sender.0;
    let _guard = CarryGuard(shared);
    let (reader, writer) = stream.split();
    let reason = tokio::select! {
        reason = read_frames(reader, shared, idle_timeout, on_message) => reason,
        reason = write_frames(writer, shared) => reason,
    };
    if !shared.finishing.get() {
        // What is still on its way must not arrive when nobody waits for it any more.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    reason
}

async fn read_frames(
    mut reader: ReadHalf<'_>,
    shared: &Shared,
    idle_timeout: Option<Duration>,
    mut on_message: impl FnMut(Payload),
) -> CloseReason {
    let mut received = BytesMut::with_capacity(READ_BUFFER_BYTES);
    loop {
        let read = reader.read_buf(&mut received);
        let read = match idle_timeout {
            Some(timeout) => match tokio::time::timeout(timeout, read).await {
                Ok(read) => read,
                Err(_) => return CloseReason::IdleTimeout(timeout),
            },
            None => read.await,
        };
        match read {
            Ok(0) => return CloseReason::ClosedByPeer,
            Ok(_) => shared.read_count.set(shared.read_count.get() + 1),
            Err(e) => return CloseReason::Io(e),
        }
        if let Err(e) = take_frames(&mut received, shared, &mut on_message) {
            return CloseReason::InvalidFrame(e);
        }
        if received.is_empty() && received.capacity() > MAX_IDLE_READ_BUFFER_BYTES {
            received = BytesMut::with_capacity(READ_BUFFER_BYTES);
        }
    }
}

/// Hands on all complete frames. An error where the next one can't be found any more.
fn take_frames(
    received: &mut BytesMut,
    shared: &Shared,
    on_message: &mut impl FnMut(Payload),
) -> Result<(), FrameError> {
    loop {
        match decode(received) {
            Ok(Some(payload)) => on_message(payload),
            Ok(None) => return Ok(()),
            Err(e @ FrameError::TooLong(_)) => return Err(e),
            // Where the next one begins is known: this one is left out.
            Err(e) => {
                shared.malformed_frames.set(shared.malformed_frames.get() + 1);
                log::debug!(target: "connection", "leave out {e}");
            }
        }
    }
}

async fn write_frames(mut writer: WriteHalf<'_>, shared: &Shared) -> CloseReason {
    loop {
        if shared.closed.get() {
            return CloseReason::ClosedHere;
        }
        let mut batch = shared.unsent.take();
        if batch.is_empty() {
            if shared.finishing.get() {
                return CloseReason::ClosedHere;
            }
            shared.wake.notified().await;
            continue;
        }
        shared.writing.set(batch.len());
        let written = writer.write_all(&batch).await;
        shared.writing.set(0);
        shared.written.notify_waiters();
        if let Err(e) = written {
            return CloseReason::Io(e);
        }
        // The buffer is used again where it stayed small.
        batch.clear();
        if batch.capacity() <= MAX_REUSED_WRITE_BUFFER_BYTES && shared.unsent.borrow().is_empty() {
            shared.unsent.replace(batch);
        }
    }
}
