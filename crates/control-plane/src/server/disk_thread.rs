//! The thread that waits for the disk. What has come in meanwhile goes as one batch.
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

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

/// Opens the disk. One that refuses at first, full or slow, is tried again: without it there is nothing to do.
pub async fn open(folder: &Path, claim_window: Duration) -> Result<(Storage, Recovered), StorageError> {
    let mut retries = 0;
    loop {
        match Storage::open(folder, claim_window) {
            Err(e) if retries < MAX_OPEN_RETRIES => {
                retries += 1;
                warn!(target: "storage", "can't open the folder: {e}");
                tokio::time::sleep(OPEN_RETRY_INTERVAL).await;
            }
            opened => return opened,
        }
    }
}

/// Starts the thread; it ends when either end of its channels does.
pub fn spawn(
    storage: Storage,
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
    mut storage: Storage,
    incoming: &Receiver<WriteRequest>,
    reports: &UnboundedSender<WriteReport>,
) {
    let mut is_failing = false;
    while let Ok(first) = incoming.recv() {
        let mut requests = vec![first];
        requests.extend(incoming.try_iter().take(MAX_JOINED));
        let batch: Vec<WriteOp> = requests.iter().flat_map(|request| request.batch.iter().cloned()).collect();
        let result = storage.write(&batch);
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
