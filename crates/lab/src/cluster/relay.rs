//! A link from one process to another: a listener that forwards streams, each direction with faults of its own.
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oorandom::Rand64;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// What becomes of bytes in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Direction {
    /// Each piece waits so long.
    pub delay: Duration,
    /// And up to so much longer; pieces of a stream keep their order.
    pub spread: Duration,
    /// Nothing passes and the stream stays open; what came waits until this ends.
    pub silent: bool,
}

/// The faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// From the process that connects.
    pub forward: Direction,
    /// To the process that connects.
    pub backward: Direction,
    /// Streams are reset, and new ones refused.
    pub cut: bool,
    /// Streams are reset after so many further bytes, in the middle of what they carry.
    pub reset_after: Option<u64>,
}

/// A relay; it ends when this is dropped.
pub struct Relay {
    faults: Arc<Mutex<LinkFaults>>,
    /// Counts changes: streams look again.
    changed: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

/// How often a stream looks whether faults changed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Streams of one relay.
const MAX_STREAMS: usize = 64;

impl Relay {
    /// Listens at `at` and forwards to `to`. Called within a runtime.
    ///
    /// # Errors
    /// It can't listen there.
    pub fn open(at: SocketAddr, to: SocketAddr, seed: u64) -> Result<Relay, String> {
        let listener = crate::sockets::loopback::listen(at)?;
        let (faults, changed) = (Arc::new(Mutex::new(LinkFaults::default())), Arc::new(AtomicU64::new(0)));
        let task = tokio::spawn(accept(listener, to, faults.clone(), changed.clone(), seed));
        Ok(Relay { faults, changed, task })
    }

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut LinkFaults)) {
        if let Ok(mut faults) = self.faults.lock() {
            change(&mut faults);
        }
        self.changed.fetch_add(1, Ordering::Release);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn current(faults: &Mutex<LinkFaults>) -> LinkFaults {
    faults.lock().map(|r| *r).unwrap_or_default()
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    faults: Arc<Mutex<LinkFaults>>,
    changed: Arc<AtomicU64>,
    seed: u64,
) {
    let mut streams = tokio::task::JoinSet::new();
    for nth in 0_u64.. {
        while streams.try_join_next().is_some() {}
        let Ok((from, _)) = listener.accept().await else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        if current(&faults).cut || streams.len() >= MAX_STREAMS {
            reset(&from);
            continue;
        }
        let (faults, changed) = (faults.clone(), changed.clone());
        streams.spawn(async move {
            let Ok(onward) = TcpStream::connect(to).await else { return reset(&from) };
            let _ = (from.set_nodelay(true), onward.set_nodelay(true));
            let remaining = Arc::new(AtomicU64::new(u64::MAX));
            let watch = watch(faults.clone(), changed, remaining.clone());
            let ((from_read, from_write), (to_read, to_write)) = (from.into_split(), onward.into_split());
            let seed = seed.wrapping_add(nth * 2);
            tokio::select! {
                () = watch => {}
                () = forward_stream(from_read, to_write, faults.clone(), false, remaining.clone(), seed) => {}
                () = forward_stream(to_read, from_write, faults, true, remaining, seed + 1) => {}
            }
        });
    }
}

/// Resets a stream, as a machine that is gone would.
fn reset(io: &TcpStream) {
    let _ = socket2::SockRef::from(io).set_linger(Some(Duration::ZERO));
}

/// Ends when the stream has to.
async fn watch(faults: Arc<Mutex<LinkFaults>>, changed: Arc<AtomicU64>, remaining: Arc<AtomicU64>) {
    let mut seen = changed.load(Ordering::Acquire);
    loop {
        sleep(POLL_INTERVAL).await;
        if remaining.load(Ordering::Acquire) == 0 {
            return;
        }
        let now_is = changed.load(Ordering::Acquire);
        if now_is != std::mem::replace(&mut seen, now_is) {
            let faults = current(&faults);
            if faults.cut {
                return;
            }
            if let Some(reset_after) = faults.reset_after {
                remaining.fetch_min(reset_after, Ordering::AcqRel);
            }
        }
    }
}

async fn forward_stream(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: Arc<Mutex<LinkFaults>>,
    is_backward: bool,
    remaining: Arc<AtomicU64>,
    seed: u64,
) {
    let mut rng = Rand64::new(seed.into());
    let mut buf = vec![0; 16 * 1024];
    let way = |faults: &Mutex<LinkFaults>| {
        if is_backward { current(faults).backward } else { current(faults).forward }
    };
    loop {
        let Ok(n) = from.read(&mut buf).await else { return };
        if n == 0 {
            return;
        }
        while way(&faults).silent {
            sleep(POLL_INTERVAL).await;
        }
        let way = way(&faults);
        let late = way.delay + way.spread.mul_f64(rng.rand_float());
        if !late.is_zero() {
            sleep_until(Instant::now() + late).await;
        }
        let allowed = (remaining.load(Ordering::Acquire).min(n as u64)) as usize;
        if to.write_all(&buf[..allowed]).await.is_err() {
            return;
        }
        if remaining.load(Ordering::Acquire) != u64::MAX {
            remaining.fetch_sub(allowed as u64, Ordering::AcqRel);
        }
        if allowed < n {
            return;
        }
    }
}
