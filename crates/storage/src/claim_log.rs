//! The log of claims, in `okaywal`.
//!
//! A batch is one entry, so that claims share a sync. At a checkpoint all that is within its window is written as one snapshot beside the
//! log. Reading the snapshot and then the log gives for each key what was said of it last.
use std::collections::HashMap;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use notchspool_mesh_protocol::{Claim, Ticket, VoterState, WithdrawClaim};
use okaywal::{Configuration, Entry, EntryId, LogManager, ReadChunkResult, SegmentReader, WriteAheadLog};
use prost::Message;

use crate::file_store::FileStore;
use crate::segments::{self, SegmentFolder, SyncFolder};
use crate::{StorageError, WriteOp, storage_error};

/// A disk that refused is asked again after this.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// What errors are about.
const SUBJECT: &str = "claims";
/// The file of the snapshot, in a folder of its own beside the log.
const SNAPSHOT_FILE: &str = "claims";

/// Of which request a claim is: after a lost disk two of them may stand for one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClaimId {
    key: String,
    boot_id: u64,
    number: u64,
}

impl ClaimId {
    fn new(key: &str, ticket: Option<Ticket>) -> ClaimId {
        let ticket = ticket.unwrap_or_default();
        ClaimId { key: key.to_string(), boot_id: ticket.boot_id, number: ticket.number }
    }
}

#[derive(Debug)]
struct LoggedClaim {
    claim: Claim,
    logged_at: Instant,
}

type Table = HashMap<ClaimId, LoggedClaim>;

/// One record of the log: a claim or its withdrawal.
#[derive(Clone, PartialEq, Message)]
struct LogRecord {
    #[prost(message, optional, tag = "1")]
    claim: Option<Claim>,
    #[prost(message, optional, tag = "2")]
    withdrawal: Option<WithdrawClaim>,
}

impl LogRecord {
    /// The record of an operation; `None` where it is not for the log.
    fn new(op: &WriteOp) -> Option<LogRecord> {
        match op {
            WriteOp::Claim(claim) => Some(LogRecord { claim: Some(claim.clone()), withdrawal: None }),
            WriteOp::WithdrawClaim(key, ticket) => {
                let withdrawal = WithdrawClaim { key: key.clone(), ticket: Some(*ticket) };
                Some(LogRecord { claim: None, withdrawal: Some(withdrawal) })
            }
            _ => None,
        }
    }
}

/// All claims in the log, kept in memory for the next checkpoint.
#[derive(Clone, Debug)]
struct Checkpointer {
    table: Arc<Mutex<Table>>,
    snapshot_folder: PathBuf,
    window: Duration,
}

impl Checkpointer {
    fn with_table<T>(&self, then: impl FnOnce(&mut Table) -> T) -> T {
        then(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn apply(&self, record: LogRecord) {
        self.with_table(|table| {
            if let Some(claim) = record.claim {
                let id = ClaimId::new(&claim.key, claim.ticket);
                table.insert(id, LoggedClaim { claim, logged_at: Instant::now() });
            }
            if let Some(withdrawal) = record.withdrawal {
                let id = ClaimId::new(&withdrawal.key, withdrawal.ticket);
                let attempt = withdrawal.ticket.unwrap_or_default().attempt;
                let is_withdrawn =
                    |logged: &LoggedClaim| logged.claim.ticket.unwrap_or_default().attempt <= attempt;
                if table.get(&id).is_some_and(is_withdrawn) {
                    table.remove(&id);
                }
            }
        });
    }

    fn claims(&self) -> Vec<Claim> {
        self.with_table(|table| table.values().map(|logged| logged.claim.clone()).collect())
    }

    fn write_snapshot(&self) -> std::io::Result<()> {
        let window = self.window;
        self.with_table(|table| table.retain(|_, logged| logged.logged_at.elapsed() <= window));
        let snapshot = VoterState { claims: self.claims(), ..VoterState::default() }.encode_to_vec();
        let written =
            FileStore::open(&self.snapshot_folder).and_then(|mut files| files.put(SNAPSHOT_FILE, &snapshot));
        written.map_err(|e| std::io::Error::other(e.to_string()))
    }

    fn read_snapshot(&self) -> Result<(), StorageError> {
        let bytes = FileStore::open(&self.snapshot_folder)?.get(SNAPSHOT_FILE)?;
        if let Some(bytes) = bytes
            && let Ok(snapshot) = VoterState::decode(&bytes[..])
        {
            let claims = snapshot.claims.into_iter();
            claims.for_each(|claim| self.apply(LogRecord { claim: Some(claim), withdrawal: None }));
        }
        Ok(())
    }
}

impl LogManager for Checkpointer {
    fn recover(&mut self, entry: &mut Entry<'_>) -> std::io::Result<()> {
        while let Ok(ReadChunkResult::Chunk(mut chunk)) = entry.read_chunk() {
            let mut bytes = Vec::new();
            if chunk.read_to_end(&mut bytes).is_err() || !chunk.check_crc().unwrap_or(false) {
                break;
            }
            if let Ok(record) = LogRecord::decode(&bytes[..]) {
                self.apply(record);
            }
        }
        Ok(())
    }

    fn checkpoint_to(&mut self, _: EntryId, _: &mut SegmentReader, _: &WriteAheadLog) -> std::io::Result<()> {
        let started_at = Instant::now();
        let written = self.write_snapshot();
        let (claims, ms) = (self.with_table(|table| table.len()), started_at.elapsed().as_millis());
        match &written {
            Ok(()) => log::info!(target: "storage", "a checkpoint of {claims} claims is written, in {ms} ms"),
            Err(e) => log::warn!(target: "storage", "a checkpoint of {claims} claims failed: {e}"),
        }
        written
    }
}

/// The log of one voter.
pub struct ClaimLog {
    /// `None` after a failed write: what the log then holds in its hands may never come back (it waits for its own file for ever), so it
    /// is opened anew.
    log: Option<WriteAheadLog>,
    segments: SegmentFolder,
    checkpointer: Checkpointer,
    failed_at: Option<Instant>,
}

impl ClaimLog {
    /// The log, and all that it holds. Each claim's window begins anew.
    ///
    /// # Errors
    ///
    /// The folder or the log can't be opened or read.
    pub fn open(folder: &Path, window: Duration) -> Result<(ClaimLog, Vec<Claim>), StorageError> {
        ClaimLog::open_with(folder, window, segments::sync_folder)
    }

    /// The same, with another way to sync the folder of its segments.
    ///
    /// # Errors
    ///
    /// The folder or the log can't be opened or read.
    pub fn open_with(
        folder: &Path,
        window: Duration,
        sync_folder: SyncFolder,
    ) -> Result<(ClaimLog, Vec<Claim>), StorageError> {
        let snapshot_folder = folder.join("snapshot");
        let checkpointer = Checkpointer { table: Arc::default(), snapshot_folder, window };
        checkpointer.read_snapshot()?;
        let segments =
            SegmentFolder::open(&folder.join("log"), sync_folder).map_err(storage_error(SUBJECT))?;
        let log = Some(open_log(&segments, &checkpointer)?);
        let claims = checkpointer.claims();
        Ok((ClaimLog { log, segments, checkpointer, failed_at: None }, claims))
    }

    /// The log, opened anew where a write to it failed.
    fn log(&mut self) -> Result<&WriteAheadLog, StorageError> {
        if self.log.is_none() {
            if self.failed_at.is_some_and(|failed_at| failed_at.elapsed() < RETRY_INTERVAL) {
                return Err(storage_error(SUBJECT)(std::io::Error::other("the disk has just refused")));
            }
            self.failed_at = Some(Instant::now());
            self.log = Some(open_log(&self.segments, &self.checkpointer)?);
        }
        self.log.as_ref().ok_or_else(|| storage_error(SUBJECT)(std::io::Error::other("no log")))
    }

    /// Writes the claims and withdrawals of a batch; durable when this returns without an error.
    ///
    /// # Errors
    ///
    /// The disk refuses; the batch may be there or not.
    pub fn write(&mut self, batch: &[WriteOp]) -> Result<(), StorageError> {
        let records: Vec<LogRecord> = batch.iter().filter_map(LogRecord::new).collect();
        if records.is_empty() {
            return Ok(());
        }
        // The table first: a checkpoint that comes between has it all.
        records.iter().cloned().for_each(|record| self.checkpointer.apply(record));
        let written = self.append(&records);
        match &written {
            Ok(()) => self.failed_at = None,
            Err(_) => self.on_failure(Instant::now()),
        }
        written
    }

    /// A write failed at this time: the log is opened anew, after [`RETRY_INTERVAL`].
    pub fn on_failure(&mut self, at: Instant) {
        self.log = None;
        self.failed_at = Some(self.failed_at.map_or(at, |first| first.min(at)));
    }

    fn append(&mut self, records: &[LogRecord]) -> Result<(), StorageError> {
        let log = self.log()?;
        let mut entry = log.begin_entry().map_err(storage_error(SUBJECT))?;
        for record in records {
            entry.write_chunk(&record.encode_to_vec()).map_err(storage_error(SUBJECT))?;
        }
        let id = entry.commit().map_err(storage_error(SUBJECT))?;
        if self.segments.begins_with(id) {
            self.segments.sync().map_err(storage_error(SUBJECT))?;
        }
        Ok(())
    }
}

/// The log in this folder, whose segments have durable names from then on.
fn open_log(segments: &SegmentFolder, checkpointer: &Checkpointer) -> Result<WriteAheadLog, StorageError> {
    let opened = segments
        .remove_half_made()
        .and_then(|()| Configuration::default_for(segments.path()).open(checkpointer.clone()))
        .and_then(|log| segments.sync().map(|()| log));
    opened.map_err(storage_error(SUBJECT))
}
