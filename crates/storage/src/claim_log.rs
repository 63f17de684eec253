//! The log of claims: what was claimed and withdrawn within a window, in segment files ([`crate::segment`]).
//!
//! A batch is one entry, so that claims share a sync. A segment that has grown long is closed, and removed once all that it holds is past
//! its window; nothing is ever written to a file that an earlier run of the process, or a write that failed, has left: a new segment is
//! begun, so that what stands behind the last complete entry of a file is never looked at again. Reading all segments in order gives for
//! each key what was said of it last.
//!
//! Invariants (`tests/claim_log_power_loss.rs`): a claim whose batch was written without an error is found at the next start, whatever
//! power was lost in between, until its window is over; whatever a loss of power leaves can be opened and written to.
use std::collections::{HashMap, VecDeque};
use std::io::Error;
use std::path::Path;
use std::time::{Duration, Instant};

use notchspool_mesh_protocol::{Claim, Ticket, VoterState, WithdrawClaim};
use prost::Message;

use crate::directory::{Directory, OsDirectory};
use crate::file_store::FileStore;
use crate::segment::{self, SegmentFile};
use crate::{StorageError, WriteOp, storage_error};

/// A disk that refused is asked again after this.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// What errors are about.
const SUBJECT: &str = "claims";
const SEGMENT_FOLDER: &str = "log";
/// Earlier builds wrote all claims there from time to time.
const SNAPSHOT_FOLDER: &str = "snapshot";
const SNAPSHOT_FILE: &str = "claims";

/// How large files become.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// A segment with this many bytes is closed.
    pub segment_bytes: usize,
    /// Segments found at the start that have more bytes are written anew as one: each start keeps them for a window more.
    pub found_bytes: usize,
    /// All segments; beyond nothing is written.
    pub total_bytes: usize,
}

impl Default for LogLimits {
    fn default() -> LogLimits {
        LogLimits { segment_bytes: 768 << 10, found_bytes: 32 << 20, total_bytes: 128 << 20 }
    }
}

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

/// One record of the log: a claim, its withdrawal, or that nothing before it counts.
#[derive(Clone, PartialEq, Message)]
struct LogRecord {
    #[prost(message, optional, tag = "1")]
    claim: Option<Claim>,
    #[prost(message, optional, tag = "2")]
    withdrawal: Option<WithdrawClaim>,
    /// Files before this one were removed, and some of them may be there again.
    #[prost(bool, tag = "3")]
    reset: bool,
}

impl LogRecord {
    /// The record of an operation; `None` where it is not for the log.
    fn new(op: &WriteOp) -> Option<LogRecord> {
        match op {
            WriteOp::Claim(claim) => Some(LogRecord::of_claim(claim.clone())),
            WriteOp::WithdrawClaim(key, ticket) => {
                let withdrawal = WithdrawClaim { key: key.clone(), ticket: Some(*ticket) };
                Some(LogRecord { withdrawal: Some(withdrawal), ..LogRecord::default() })
            }
            _ => None,
        }
    }

    fn of_claim(claim: Claim) -> LogRecord {
        LogRecord { claim: Some(claim), ..LogRecord::default() }
    }

    fn reset() -> LogRecord {
        LogRecord { reset: true, ..LogRecord::default() }
    }
}

/// What the records of a log add up to.
#[derive(Default)]
struct ReplayedClaims(HashMap<ClaimId, Claim>);

impl ReplayedClaims {
    fn apply(&mut self, record: LogRecord) {
        if record.reset {
            self.0.clear();
        }
        if let Some(claim) = record.claim {
            self.0.insert(ClaimId::new(&claim.key, claim.ticket), claim);
        }
        if let Some(withdrawal) = record.withdrawal {
            let id = ClaimId::new(&withdrawal.key, withdrawal.ticket);
            let attempt = withdrawal.ticket.unwrap_or_default().attempt;
            let is_withdrawn = |claim: &Claim| claim.ticket.unwrap_or_default().attempt <= attempt;
            if self.0.get(&id).is_some_and(is_withdrawn) {
                self.0.remove(&id);
            }
        }
    }

    fn into_claims(self) -> Vec<Claim> {
        self.0.into_values().collect()
    }
}

/// A segment that is written to.
#[derive(Debug)]
struct ActiveSegment {
    name: String,
    bytes: usize,
}

/// A segment that is kept until the window of its last record is over.
#[derive(Debug)]
struct ClosedSegment {
    name: String,
    bytes: usize,
    closed_at: Instant,
}

/// The log of one voter.
pub struct ClaimLog {
    segments: Box<dyn Directory>,
    /// The snapshot of an earlier build, until the window of its claims is over.
    earlier_snapshot: Option<(FileStore, Instant)>,
    window: Duration,
    limits: LogLimits,
    /// Nothing is written to a segment that another run left, or under which a write failed.
    active: Option<ActiveSegment>,
    /// The oldest first.
    closed: VecDeque<ClosedSegment>,
    /// The id of the last entry that was written, or may have been.
    last_entry: u64,
    failed_at: Option<Instant>,
}

fn claims_error(reason: &str) -> StorageError {
    storage_error(SUBJECT)(Error::other(reason))
}

impl ClaimLog {
    /// The log in a folder of the machine, and all claims that it holds. Each claim's window begins anew.
    ///
    /// # Errors
    ///
    /// The folder or a file in it can't be read.
    pub fn open(folder: &Path, window: Duration) -> Result<(ClaimLog, Vec<Claim>), StorageError> {
        let segments = OsDirectory::open(&folder.join(SEGMENT_FOLDER)).map_err(storage_error(SUBJECT))?;
        let snapshot_folder = folder.join(SNAPSHOT_FOLDER);
        let snapshot = match snapshot_folder.exists() {
            true => Some(FileStore::open(&snapshot_folder)?),
            false => None,
        };
        ClaimLog::open_with(Box::new(segments), snapshot, window, LogLimits::default())
    }

    /// The same over any folder of segments, and with the folder in which an earlier build kept its snapshot, if there is one.
    ///
    /// # Errors
    ///
    /// A file can't be read.
    pub fn open_with(
        segments: Box<dyn Directory>,
        snapshot: Option<FileStore>,
        window: Duration,
        limits: LogLimits,
    ) -> Result<(ClaimLog, Vec<Claim>), StorageError> {
        let now = Instant::now();
        let mut log = ClaimLog {
            segments,
            earlier_snapshot: snapshot.map(|files| (files, now)),
            window,
            limits,
            active: None,
            closed: VecDeque::new(),
            last_entry: 0,
            failed_at: None,
        };
        let claims = log.replay(now)?.into_claims();
        if log.total_bytes() > limits.found_bytes {
            // Where the disk has no room for it all stays as it was found.
            let _ = log.compact(&claims);
        }
        Ok((log, claims))
    }

    fn replay(&mut self, now: Instant) -> Result<ReplayedClaims, StorageError> {
        let mut replayed = ReplayedClaims::default();
        if let Some((files, _)) = &self.earlier_snapshot
            && let Some(bytes) = files.get(SNAPSHOT_FILE)?
            && let Ok(snapshot) = VoterState::decode(&bytes[..])
        {
            snapshot.claims.into_iter().for_each(|claim| replayed.apply(LogRecord::of_claim(claim)));
        }
        for (first_entry, name) in self.live_segments()? {
            let bytes = self.segments.read(&name).map_err(storage_error(SUBJECT))?.unwrap_or_default();
            self.last_entry = self.last_entry.max(first_entry);
            for entry in segment::read_entries(first_entry, &bytes) {
                self.last_entry = self.last_entry.max(entry.id);
                let records = entry.chunks.into_iter().filter_map(|chunk| LogRecord::decode(chunk).ok());
                records.for_each(|record| replayed.apply(record));
            }
            self.closed.push_back(ClosedSegment { name, bytes: bytes.len(), closed_at: now });
        }
        Ok(replayed)
    }

    /// The segments whose entries count, in order. Those that an earlier build was done with are removed.
    fn live_segments(&mut self) -> Result<Vec<(u64, String)>, StorageError> {
        let mut live = Vec::new();
        for name in self.segments.list().map_err(storage_error(SUBJECT))? {
            match SegmentFile::parse(&name) {
                Some(SegmentFile::Live(first_entry)) => live.push((first_entry, name)),
                // Should it stay, it is removed at the next start.
                Some(SegmentFile::Done) => drop(self.segments.remove(&name)),
                None => {}
            }
        }
        live.sort();
        Ok(live)
    }

    fn total_bytes(&self) -> usize {
        let closed: usize = self.closed.iter().map(|segment| segment.bytes).sum();
        closed + self.active.as_ref().map_or(0, |segment| segment.bytes)
    }

    /// Writes all claims to a new segment, in place of those that were found.
    fn compact(&mut self, claims: &[Claim]) -> Result<(), StorageError> {
        let found = self.closed.len();
        let claims = claims.iter().cloned().map(LogRecord::of_claim);
        let records: Vec<LogRecord> = std::iter::once(LogRecord::reset()).chain(claims).collect();
        self.append(&records)?;
        for segment in self.closed.drain(..found) {
            // Should it stay, nothing in it counts.
            let _ = self.segments.remove(&segment.name);
        }
        Ok(())
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
        if self.failed_at.is_some_and(|failed_at| failed_at.elapsed() < RETRY_INTERVAL) {
            return Err(claims_error("the disk has just refused"));
        }
        self.remove_expired();
        let written = self.append(&records);
        match &written {
            Ok(()) => self.failed_at = None,
            Err(_) => self.on_failure(Instant::now()),
        }
        written
    }

    /// A write failed at this time: nothing more is written to its segment, and nothing at all before [`RETRY_INTERVAL`] is over.
    pub fn on_failure(&mut self, at: Instant) {
        self.close_active();
        self.failed_at = Some(at);
    }

    fn append(&mut self, records: &[LogRecord]) -> Result<(), StorageError> {
        if self.total_bytes() >= self.limits.total_bytes {
            return Err(claims_error("the log is as long as it may be"));
        }
        // Never used again, whatever becomes of this entry.
        self.last_entry += 1;
        let chunks: Vec<Vec<u8>> = records.iter().map(LogRecord::encode_to_vec).collect();
        let entry = segment::encode_entry(self.last_entry, chunks.iter().map(Vec::as_slice));
        match &mut self.active {
            Some(active) => {
                let appended = self.segments.append(&active.name, &entry);
                appended.and_then(|()| self.segments.sync(&active.name)).map_err(storage_error(SUBJECT))?;
                active.bytes += entry.len();
            }
            None => self.begin_segment(&entry).map_err(storage_error(SUBJECT))?,
        }
        if self.active.as_ref().is_some_and(|active| active.bytes >= self.limits.segment_bytes) {
            self.close_active();
        }
        Ok(())
    }

    /// Begins a segment with the entry of the last id.
    fn begin_segment(&mut self, entry: &[u8]) -> std::io::Result<()> {
        let name = segment::file_name(self.last_entry);
        let content = [&segment::HEAD[..], entry].concat();
        let written = self.segments.write(&name, &content);
        let written = written.and_then(|()| self.segments.sync(&name));
        if let Err(e) = written.and_then(|()| self.segments.sync_folder()) {
            // Room is won back where that works; what is left of it is read as far as it is complete.
            let _ = self.segments.remove(&name);
            return Err(e);
        }
        self.active = Some(ActiveSegment { name, bytes: content.len() });
        Ok(())
    }

    fn close_active(&mut self) {
        if let Some(ActiveSegment { name, bytes }) = self.active.take() {
            self.closed.push_back(ClosedSegment { name, bytes, closed_at: Instant::now() });
        }
    }

    /// Removes what holds nothing inside its window any more.
    fn remove_expired(&mut self) {
        let window = self.window;
        if let Some((files, _)) = self.earlier_snapshot.take_if(|(_, since)| since.elapsed() > window) {
            let mut files = files;
            // Should it stay, its claims come back once more at the next start.
            let _ = files.remove_all(&[SNAPSHOT_FILE.to_string()]);
        }
        while let Some(oldest) = self.closed.pop_front_if(|oldest| oldest.closed_at.elapsed() > window) {
            let _ = self.segments.remove(&oldest.name);
        }
    }
}
