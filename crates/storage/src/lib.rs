//! What a control-plane replica keeps on its disk.
//!
//! [`file_store`] writes plain files so that each is the old one or the new one after any loss of power; [`state_files`] is what a voter
//! keeps but the claims, and how a snapshot takes its place; [`claim_log`] is the log of keyed operations, [`segment`] the form of its files. [`Storage`] puts both together
//! for one thread that waits for the disk: a batch of operations, durable when [`Storage::write`] returns without an error.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod claim_log;
pub mod directory;
pub mod file_store;
pub mod segment;
pub mod state_files;

use std::path::Path;
use std::time::Duration;

use notchspool_consensus::voter_set::{SuccessorRegister, VoterSet};
use notchspool_consensus::{Ballot, Entry};
use notchspool_mesh_protocol::{Claim, Snapshot, Ticket};
use serde::{Deserialize, Serialize};

use claim_log::ClaimLog;
use file_store::FileStore;
use state_files::StateFiles;

/// A failure of the disk.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{subject}: {source}")]
pub struct StorageError {
    /// The file or folder concerned.
    pub subject: String,
    source: std::io::Error,
}

/// Makes an error of an I/O error on `subject`.
pub(crate) fn storage_error(subject: impl Into<String>) -> impl FnOnce(std::io::Error) -> StorageError {
    let subject = subject.into();
    move |source| StorageError { subject, source }
}

/// One thing to be written.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOp {
    /// The highest ballot promised on the register of configurations.
    Promise(Ballot),
    /// What was accepted on it.
    Accept {
        /// The configuration's version.
        version: u64,
        /// The register's value.
        entry: Entry,
    },
    /// In which set this one votes, and what it has of its successor. Written last: a set is installed once its membership is there.
    Membership(MembershipRecord),
    /// A claim that was granted.
    Claim(Claim),
    /// A claim that was taken back, by its key.
    WithdrawClaim(String, Ticket),
    /// All of this in place of what there is, completely or not at all.
    InstallSnapshot(Box<Snapshot>),
}

/// A voter's membership. Its JSON is the file `seat`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipRecord {
    /// The incarnation of this disk: 0 since the first start of all, drawn later.
    pub incarnation: u64,
    /// The set that is installed here.
    pub set: VoterSet,
    /// The set before it.
    pub previous: Option<VoterSet>,
    /// What this voter has of the successor of `set`.
    pub register: SuccessorRegister,
}

/// All that was on the disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The membership; `None` on an empty disk.
    pub membership: Option<MembershipRecord>,
    /// The highest ballot promised on the register of configurations.
    pub promised: Ballot,
    /// What was accepted on it under the highest ballot.
    pub accepted: Option<Entry>,
    /// Claims inside their window.
    pub claims: Vec<Claim>,
    /// Files that were torn and are left out.
    pub torn_files: Vec<String>,
}

/// The disk of one replica.
pub struct Storage {
    state: StateFiles,
    claims: ClaimLog,
}

impl Storage {
    /// Opens the folder and reads what is there. `window`: for how long claims are kept at least.
    ///
    /// # Errors
    ///
    /// Where the folder can't be read or a snapshot that was being installed can't be carried out.
    pub fn open(folder: &Path, window: Duration) -> Result<(Storage, Recovered), StorageError> {
        let (state, mut recovered) = StateFiles::open(FileStore::open(folder)?)?;
        let (claims, logged) = ClaimLog::open(&folder.join("claims"), window)?;
        recovered.claims = logged;
        let mut storage = Storage { state, claims };
        let installed = storage.state.uninstalled_claims().to_vec();
        storage.finish_install()?;
        recovered.claims.extend(installed);
        Ok((storage, recovered))
    }

    /// Writes a batch.
    ///
    /// # Errors
    ///
    /// With an error the batch may be there or not; without one it is durable.
    pub fn write(&mut self, batch: &[WriteOp]) -> Result<(), StorageError> {
        self.finish_install()?;
        let mut rest = batch;
        let is_install = |op: &WriteOp| matches!(op, WriteOp::InstallSnapshot(_));
        // What stands before a snapshot is replaced by it, what stands after it is not.
        while let Some(position) = rest.iter().position(is_install) {
            self.write_plain(&rest[..position])?;
            if let WriteOp::InstallSnapshot(snapshot) = &rest[position] {
                self.state.install(snapshot)?;
                self.finish_install()?;
            }
            rest = &rest[position + 1..];
        }
        self.write_plain(rest)
    }

    /// The membership last: a set is installed once its membership is there.
    fn write_plain(&mut self, batch: &[WriteOp]) -> Result<(), StorageError> {
        self.state.write_register(batch)?;
        self.claims.write(batch)?;
        self.state.write_membership(batch)
    }

    /// Claims of a snapshot go to the log, beside those that are there: one more than need be holds a key that is over, one fewer runs a
    /// key twice.
    fn finish_install(&mut self) -> Result<(), StorageError> {
        let claims = self.state.uninstalled_claims().iter().cloned();
        let batch: Vec<WriteOp> = claims.map(WriteOp::Claim).collect();
        self.claims.write(&batch)?;
        self.state.finish_install()
    }
}
