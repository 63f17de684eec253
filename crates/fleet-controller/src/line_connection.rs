//! Lines on sockets: read with a bound, written in order.
use std::io;
use std::sync::Arc;

use notchspool_fleet_protocol::{MAX_LINE_BYTES, MAX_SHORT_LINE_BYTES};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{Semaphore, mpsc};

/// Long lines that are read at once, over all connections: only voters send such.
const MAX_LONG_LINES: usize = 8;
/// Lines that wait to be written on one connection. A peer that lets more pile up is disconnected.
const MAX_UNWRITTEN_LINES: usize = 512;
/// Free space for each read, in bytes, at the least.
const READ_BYTES: usize = 4096;

/// Permits for the long lines of all connections together.
pub fn long_line_permits() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAX_LONG_LINES))
}

/// Reads the lines of a stream.
pub struct LineReader<R> {
    stream: R,
    buffer: Vec<u8>,
    long_lines: Arc<Semaphore>,
}

impl<R: AsyncRead + Unpin> LineReader<R> {
    /// A reader that takes a permit for each line over [`MAX_SHORT_LINE_BYTES`].
    pub fn new(stream: R, long_lines: Arc<Semaphore>) -> LineReader<R> {
        LineReader { stream, buffer: Vec::new(), long_lines }
    }

    /// The next line, without its end; nothing at the end of the stream. Cancel safe: when dropped while it waits, nothing is lost.
    pub async fn next(&mut self) -> io::Result<Option<Vec<u8>>> {
        let (mut searched, mut permit) = (0, None);
        loop {
            if let Some(end) = self.buffer[searched..].iter().position(|b| *b == b'\n') {
                return Ok(Some(self.take_line(searched + end)));
            }
            searched = self.buffer.len();
            if searched > MAX_LINE_BYTES {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a line is too long"));
            }
            if searched > MAX_SHORT_LINE_BYTES && permit.is_none() {
                // Guards against many peers that send long lines and never end them: one that finds no permit is disconnected.
                let acquired = self.long_lines.clone().try_acquire_owned();
                permit = Some(acquired.map_err(|_| io::Error::other("too many long lines at once"))?);
            }
            if self.read_more().await? == 0 {
                return if searched == 0 { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    fn take_line(&mut self, end: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(end + 1);
        let mut line = std::mem::replace(&mut self.buffer, rest);
        line.pop();
        line
    }

    async fn read_more(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES.max(self.buffer.len()));
        self.stream.read_buf(&mut self.buffer).await
    }
}

/// Both halves of a connection: lines that are sent to the channel are written in order.
pub fn split(
    stream: TcpStream,
    long_lines: Arc<Semaphore>,
) -> (LineReader<OwnedReadHalf>, mpsc::Sender<String>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no delay is not set: {error}");
    }
    let (read_half, mut write_half) = stream.into_split();
    let (outgoing, mut to_write) = mpsc::channel::<String>(MAX_UNWRITTEN_LINES);
    tokio::spawn(async move {
        while let Some(line) = to_write.recv().await {
            if write_half.write_all(line.as_bytes()).await.is_err() {
                break;
            }
        }
        // The peer may be gone already.
        let _ = write_half.shutdown().await;
    });
    (LineReader::new(read_half, long_lines), outgoing)
}
