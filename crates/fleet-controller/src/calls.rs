//! Lines on sockets: read with a bound, written in order, each connection with a number.
use std::io;
use std::sync::Arc;

use notchspool_fleet_protocol::{LONGEST, SHORT};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};

/// Long lines that are read at once, over all connections: voters' alone are so long.
const LONG: usize = 8;
/// Lines that wait to be written on one connection; one more, and whoever does not read is let go.
pub const UNREAD: usize = 512;

/// Reads lines of a stream, whole ones.
pub struct Lines<R> {
    io: R,
    buf: Vec<u8>,
    long: Arc<Semaphore>,
}

/// For the long lines of all connections together.
pub fn long() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(LONG))
}

impl<R: AsyncRead + Unpin> Lines<R> {
    pub fn new(io: R, long: Arc<Semaphore>) -> Lines<R> {
        Lines { io, buf: Vec::new(), long }
    }
    /// The next line, without its end; none at the end. Dropped while it waits, nothing is lost.
    pub async fn next(&mut self) -> io::Result<Option<Vec<u8>>> {
        let (mut seen, mut permit) = (0, None);
        loop {
            if let Some(end) = self.buf[seen..].iter().position(|b| *b == b'\n') {
                let rest = self.buf.split_off(seen + end + 1);
                let mut line = std::mem::replace(&mut self.buf, rest);
                line.pop();
                return Ok(Some(line));
            }
            seen = self.buf.len();
            if seen > LONGEST {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a line is too long"));
            }
            if seen > SHORT && permit.is_none() {
                // Guards against many that send long lines and never end them: who finds no room is let go.
                let taken = self.long.clone().try_acquire_owned();
                permit = Some(taken.map_err(|_| io::Error::other("too many long lines at once"))?);
            }
            let before = self.buf.len();
            self.buf.reserve(4096.max(before));
            if self.io.read_buf(&mut self.buf).await? == 0 {
                return if before == 0 { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }
}

/// Both halves of a connection: what is put into the sender is written in order.
pub fn split(
    io: TcpStream,
    long: Arc<Semaphore>,
) -> (Lines<tokio::net::tcp::OwnedReadHalf>, mpsc::Sender<String>) {
    let _ = io.set_nodelay(true);
    let (read, mut write) = io.into_split();
    let (say, mut said) = mpsc::channel::<String>(UNREAD);
    tokio::spawn(async move {
        while let Some(line) = said.recv().await {
            if write.write_all(line.as_bytes()).await.is_err() {
                break;
            }
        }
        let _ = write.shutdown().await;
    });
    (Lines::new(read, long), say)
}
