//! The thread that waits for the disk. What has come in meanwhile goes as one batch.
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use log::{info, warn};
use notchspool_storage::{Recovered, Storage, StorageError, WriteOp};
use tokio::sync::mpsc::UnboundedSender;

use crate::replica::{NO_REPORT, WriteId};

const STACK_BYTES: usize = 256 << 10;
/// Batches that are joined at most.
const MAX_JOINED: usize = 512;
/// A folder that can't be opened is tried again after this, so often.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
const MAX_OPEN_RETRIES: u32 = 600;
/// Every so many of these are told.
const OPEN_RETRIES_A_LOG_LINE: u32 = 25;
/// A batch that takes longer is told, claims have timed out by then; but only one in so long a time.
const SLOW_WRITE: Duration = Duration::from_millis(250);
const SLOW_WRITE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A batch to be written.
pub struct WriteRequest {
    /// Its id.
    pub id: WriteId,
    /// The batch.
    pub batch: Vec<WriteOp>,
}

/// The end of a batch.
pub struct WriteReport {
    /// Its id.
    pub id: WriteId,
    /// It is durable.
    pub written: bool,
}

/// What the thread writes to.
pub trait BatchWriter: Send + 'static {
    /// Makes a batch durable.
    ///
    /// # Errors
    ///
    /// None of it counts as written.
    fn write(&mut self, batch: &[WriteOp]) -> Result<(), StorageError>;
}

impl BatchWriter for Storage {
    fn write(&mut self, batch: &[WriteOp]) -> Result<(), StorageError> {
        Storage::write(self, batch)
    }
}

/// Opens the disk. One that refuses at first, full or slow, is tried again: without it there is nothing to do.
///
/// # Errors
///
/// It refused for two minutes.
pub async fn open(folder: &Path, claim_window: Duration) -> Result<(Storage, Recovered), StorageError> {
    let mut retries = 0;
    loop {
        match Storage::open(folder, claim_window) {
            Err(e) if retries < MAX_OPEN_RETRIES => {
                if retries.is_multiple_of(OPEN_RETRIES_A_LOG_LINE) {
                    warn!(target: "storage", "can't open the folder, try {}: {e}", retries + 1);
                }
                retries += 1;
                tokio::time::sleep(OPEN_RETRY_INTERVAL).await;
            }
            opened => return opened,
        }
    }
}

/// Starts the thread; it ends when either end of its channels does. Should it panic, the reports end.
///
/// # Errors
///
/// The system has no thread for it.
pub fn spawn(
    storage: impl BatchWriter,
    reports: UnboundedSender<WriteReport>,
) -> std::io::Result<Sender<WriteRequest>> {
    let (requests, incoming) = channel();
    std::thread::Builder::new()
        .name("storage".into())
        .stack_size(STACK_BYTES)
        .spawn(move || write_batches(storage, &incoming, &reports))?;
    Ok(requests)
}

fn write_batches(
    mut storage: impl BatchWriter,
    incoming: &Receiver<WriteRequest>,
    reports: &UnboundedSender<WriteReport>,
) {
    let mut is_failing = false;
    let mut slow_writes = SlowWrites::default();
    while let Ok(first) = incoming.recv() {
        let mut requests = vec![first];
        requests.extend(incoming.try_iter().take(MAX_JOINED));
        let batch: Vec<WriteOp> = requests.iter().flat_map(|request| request.batch.iter().cloned()).collect();
        let started_at = Instant::now();
        let result = storage.write(&batch);
        slow_writes.observe(batch.len(), started_at);
        // Said once, and once when it is over.
        match &result {
            Err(e) if !is_failing => warn!(target: "storage", "can't write: {e}"),
            Ok(()) if is_failing => info!(target: "storage", "writes again"),
            _ => {}
        }
        is_failing = result.is_err();
        for request in requests {
            let report = WriteReport { id: request.id, written: result.is_ok() };
            if request.id != NO_REPORT && reports.send(report).is_err() {
                return;
            }
        }
    }
}

/// Tells of batches that took long.
#[derive(Default)]
struct SlowWrites {
    logged_at: Option<Instant>,
}

impl SlowWrites {
    /// A batch of so many writes, begun then, has ended.
    fn observe(&mut self, writes: usize, started_at: Instant) {
        let took = started_at.elapsed();
        let is_due = self.logged_at.is_none_or(|logged_at| logged_at.elapsed() >= SLOW_WRITE_LOG_INTERVAL);
        if took >= SLOW_WRITE && is_due {
            warn!(target: "storage", "a batch of {writes} writes took {} ms", took.as_millis());
            self.logged_at = Some(Instant::now());
        }
    }
}
