//! A link for datagrams: delayed, lost, duplicated, reordered, cut, from a seed.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oorandom::Rand64;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

/// The faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// Each datagram waits so long.
    pub delay: Duration,
    /// And up to so much longer: datagrams are reordered.
    pub spread: Duration,
    /// The part that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub duplicated: f64,
    /// Nothing passes.
    pub cut: bool,
}

/// A relay; it ends when this is dropped.
pub struct DatagramRelay {
    faults: Arc<Mutex<DatagramFaults>>,
    task: JoinHandle<()>,
}

/// Datagrams in flight at once.
const MAX_IN_FLIGHT: usize = 10_000;

impl DatagramRelay {
    /// Forwards what comes at `at` to `to`, from `from`, so that the receiver sees a sender of its own for each link.
    ///
    /// # Errors
    /// An address can't be bound.
    pub fn open(
        at: SocketAddr,
        from: SocketAddr,
        to: SocketAddr,
        seed: u64,
    ) -> Result<DatagramRelay, String> {
        let bind = |at: SocketAddr| {
            let io = std::net::UdpSocket::bind(at).map_err(|e| format!("{at}: {e}"))?;
            io.set_nonblocking(true).map_err(|e| e.to_string())?;
            UdpSocket::from_std(io).map_err(|e| e.to_string())
        };
        let (inward, outward) = (bind(at)?, bind(from)?);
        let faults = Arc::new(Mutex::new(DatagramFaults::default()));
        let task = tokio::spawn(forward(inward, outward, to, faults.clone(), seed));
        Ok(DatagramRelay { faults, task })
    }

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut DatagramFaults)) {
        if let Ok(mut faults) = self.faults.lock() {
            change(&mut faults);
        }
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    inward: UdpSocket,
    outward: UdpSocket,
    to: SocketAddr,
    faults: Arc<Mutex<DatagramFaults>>,
    seed: u64,
) {
    let mut rng = Rand64::new(seed.into());
    let mut waiting: BTreeMap<(Instant, u64), Vec<u8>> = BTreeMap::new();
    let (mut buf, mut nth) = (vec![0; 65_536], 0);
    loop {
        let next = waiting.keys().next().map_or(Instant::now() + Duration::from_secs(3600), |k| k.0);
        tokio::select! {
            came = inward.recv_from(&mut buf) => {
                let Ok((n, _)) = came else { continue };
                let now = faults.lock().map(|r| *r).unwrap_or_default();
                let times = match () {
                    () if now.cut || rng.rand_float() < now.loss => 0,
                    () if rng.rand_float() < now.duplicated => 2,
                    () => 1,
                };
                for _ in 0..times {
                    nth += 1;
                    let at = Instant::now() + now.delay + now.spread.mul_f64(rng.rand_float());
                    if waiting.len() < MAX_IN_FLIGHT {
                        waiting.insert((at, nth), buf[..n].to_vec());
                    }
                }
            }
            () = sleep_until(next) => {
                let later = waiting.split_off(&(Instant::now(), u64::MAX));
                for datagram in std::mem::replace(&mut waiting, later).into_values() {
                    let _ = outward.send_to(&datagram, to).await;
                }
            }
        }
    }
}
