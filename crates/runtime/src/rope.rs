//! One connection to another process of the mesh: frames in, frames out. Writes are gathered; a peer that reads nothing ends the
//! connection once `MOST` bytes wait; silence ends it where `silence` is given.
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use notchspool_mesh_protocol::{What, Wrong, read, write};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes that may wait for a peer.
const MOST: usize = 48 << 20;
/// A write or a connection that the other machine does not acknowledge ends after this.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a connection ended.
#[derive(Debug, derive_more::Display)]
pub enum End {
    #[display("closed by the other side")]
    Closed,
    #[display("nothing heard for {_0:?}")]
    Silent(Duration),
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Wrong(notchspool_mesh_protocol::Wrong),
    #[display("let go here")]
    Dropped,
}

struct Inner {
    out: RefCell<BytesMut>,
    /// Bytes handed to the socket's write and not yet taken by it.
    writing: Cell<usize>,
    wake: Notify,
    /// Something was written.
    drained: Notify,
    /// How often bytes have come, whole messages or not.
    reads: Cell<u64>,
    /// Messages that were left out because nothing could be made of them.
    senseless: Cell<u64>,
    closed: Cell<bool>,
    finish: Cell<bool>,
}

/// The sending end; clones send on the same connection.
#[derive(Clone)]
pub struct Rope(Rc<Inner>);

impl Default for Rope {
    fn default() -> Rope {
        Rope(Rc::new(Inner {
            out: RefCell::default(),
            writing: Cell::new(0),
            wake: Notify::new(),
            drained: Notify::new(),
            reads: Cell::new(0),
            senseless: Cell::new(0),
            closed: Cell::new(false),
            finish: Cell::new(false),
        }))
    }
}

impl Rope {
    /// False where the connection has ended: then not one byte of it leaves.
    pub fn send(&self, what: What) -> bool {
        if self.0.closed.get() {
            return false;
        }
        let mut out = self.0.out.borrow_mut();
        write(what, &mut out);
        if out.len() > MOST {
            self.0.closed.set(true);
        }
        self.0.wake.notify_one();
        true
    }
    /// Waits till no more than this many bytes stand before what is sent next: large answers let small ones go between. False where the
    /// connection has ended.
    pub async fn below(&self, bytes: usize) -> bool {
        while self.open() && self.0.out.borrow().len() + self.0.writing.get() > bytes {
            self.0.drained.notified().await;
        }
        self.open()
    }
    /// How often bytes have come on it.
    pub fn reads(&self) -> u64 {
        self.0.reads.get()
    }
    /// How many messages nothing could be made of.
    pub fn senseless(&self) -> u64 {
        self.0.senseless.get()
    }
    pub fn open(&self) -> bool {
        !self.0.closed.get()
    }
    pub fn same(&self, other: &Rope) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
    /// Ends the connection; what waits is lost.
    pub fn cut(&self) {
        self.0.closed.set(true);
        self.0.wake.notify_one();
    }
    /// Ends it once all that waits is written.
    pub fn finish(&self) {
        self.0.finish.set(true);
        self.0.wake.notify_one();
    }
}

/// Options of every socket between our processes.
pub fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Nothing stands to be read on it, and it has not ended: asked of the system itself, since what the runtime was told last may be old.
pub fn quiet(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// A connection within `patience`.
pub async fn dial(to: SocketAddr, patience: Duration) -> std::io::Result<TcpStream> {
    let timed = tokio::time::timeout(patience, TcpStream::connect(to)).await;
    let stream = timed.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    tune(&stream);
    Ok(stream)
}

/// Carries a connection until it ends. `hear` is called with each message.
pub async fn run(
    mut stream: TcpStream,
    rope: Rope,
    silence: Option<Duration>,
    mut hear: impl FnMut(What),
) -> End {
    let (mut reads, mut writes) = stream.split();
    let reader = async {
        let mut got = BytesMut::with_capacity(4096);
        loop {
            let more = reads.read_buf(&mut got);
            let n = match silence {
                Some(span) => match tokio::time::timeout(span, more).await {
                    Ok(n) => n,
                    Err(_) => return End::Silent(span),
                },
                None => more.await,
            };
            match n {
                Ok(0) => return End::Closed,
                Ok(_) => rope.0.reads.set(rope.0.reads.get() + 1),
                Err(e) => return End::Io(e),
            }
            loop {
                match read(&mut got) {
                    Ok(Some(what)) => hear(what),
                    Ok(None) => break,
                    Err(e @ Wrong::Long(_)) => return End::Wrong(e),
                    // Where the next one begins is known: it is left out.
                    Err(e) => {
                        rope.0.senseless.set(rope.0.senseless.get() + 1);
                        log::debug!(target: "rope", "leave out {e}");
                    }
                }
            }
            if got.is_empty() && got.capacity() > 1 << 18 {
                got = BytesMut::with_capacity(4096);
            }
        }
    };
    let writer = async {
        loop {
            if rope.0.closed.get() {
                return End::Dropped;
            }
            let out = rope.0.out.take();
            if out.is_empty() {
                if rope.0.finish.get() {
                    return End::Dropped;
                }
                rope.0.wake.notified().await;
                continue;
            }
            rope.0.writing.set(out.len());
            let written = writes.write_all(&out).await;
            rope.0.writing.set(0);
            rope.0.drained.notify_waiters();
            if let Err(e) = written {
                return End::Io(e);
            }
            // The buffer is used again where it stayed small.
            let mut out = out;
            out.clear();
            if out.capacity() <= 1 << 16 && rope.0.out.borrow().is_empty() {
                rope.0.out.replace(out);
            }
        }
    };
    let end = tokio::select! { end = reader => end, end = writer => end };
    rope.0.closed.set(true);
    rope.0.drained.notify_waiters();
    if !rope.0.finish.get() {
        // What is still on its way must not arrive when nobody waits for it any more.
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
    end
}
