//! What a voter has on its disk but the claims: membership, promise, and the last configurations accepted; and how a snapshot takes their
//! place.
//!
//! A snapshot is one file, `installed`. Once it is complete on the disk it counts, and nothing beside it: it is carried out (its parts
//! written over their files, what it replaces removed) and then removed itself. Should the power be lost in between, it is carried out
//! again at the next start, before anything is read; should a write fail, before anything else is written.
use notchspool_consensus::voter_set::VoterSet;
use notchspool_consensus::{Ballot, ContenderId, Entry, Token};
use notchspool_mesh_protocol::{self as protocol, Claim, Snapshot, snapshot};
use serde::{Deserialize, Serialize};

use crate::file_store::FileStore;
use crate::{MembershipRecord, Recovered, StorageError, WriteOp, storage_error};

/// Configurations accepted that stay on the disk.
const MAX_CONFIG_FILES: usize = 4;
const MEMBERSHIP_FILE: &str = "seat";
const PROMISE_FILE: &str = "promise";
const SNAPSHOT_FILE: &str = "installed";
/// The version follows.
const CONFIG_FILE_PREFIX: &str = "word-";

/// The content of a file of a configuration.
#[derive(Serialize, Deserialize)]
struct ConfigContent {
    version: u64,
    entry: Entry,
}

/// A membership of the form before sets had numbers: who votes, once and for all. All who kept one take it for set 1, so that they agree.
#[derive(Deserialize)]
struct UnnumberedMembership {
    voters: Vec<String>,
}

fn parse_unnumbered(text: &[u8]) -> Option<MembershipRecord> {
    let UnnumberedMembership { voters } = serde_json::from_slice(text).ok()?;
    let set = VoterSet::first(&voters);
    set.is_valid().then(|| MembershipRecord { set, ..MembershipRecord::default() })
}

/// A file of a configuration accepted; ordered by ballot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ConfigFile {
    ballot: Ballot,
    version: u64,
    name: String,
}

/// The files of one voter.
pub struct StateFiles {
    files: FileStore,
    config_files: Vec<ConfigFile>,
    /// Durable, and not yet carried out.
    snapshot: Option<Snapshot>,
    /// The disk refused a snapshot at a moment at which it may be there all the same: it must go before anything else is written.
    snapshot_in_doubt: bool,
}

fn ballot(message: Option<protocol::Ballot>) -> Ballot {
    let message = message.unwrap_or_default();
    Ballot { token: Token(0), round: message.round, by: ContenderId(message.proposer) }
}

/// The configuration in a snapshot.
fn config_of(snapshot: &Snapshot) -> Option<ConfigContent> {
    let value = snapshot.body.clone()?;
    // The version stands first in the first line, alone or before the versions accepted earlier.
    let digits = value.bytes().take_while(u8::is_ascii_digit).count();
    let version = value[..digits].parse().unwrap_or(0);
    let entry = Entry { ballot: ballot(snapshot.accepted_ballot), sequence: 1, value };
    Some(ConfigContent { version, entry })
}

fn config_file_name(version: u64) -> String {
    format!("{CONFIG_FILE_PREFIX}{version}")
}

fn snapshot_error(reason: &str) -> StorageError {
    storage_error(SNAPSHOT_FILE)(std::io::Error::other(reason))
}

impl StateFiles {
    /// Reads what is there. A complete snapshot is carried out first; its claims are for who keeps them
    /// ([`StateFiles::uninstalled_claims`]).
    ///
    /// # Errors
    ///
    /// The folder can't be read, or a snapshot that was being installed can't be carried out.
    pub fn open(mut files: FileStore) -> Result<(StateFiles, Recovered), StorageError> {
        files.remove_temporary();
        let snapshot = files.get(SNAPSHOT_FILE)?.and_then(|bytes| snapshot::decode(&bytes));
        let mut state = StateFiles { files, config_files: Vec::new(), snapshot, snapshot_in_doubt: false };
        state.recover()?;
        state.carry_out()?;
        let recovered = state.recover()?;
        Ok((state, recovered))
    }

    /// Reads all files.
    fn recover(&mut self) -> Result<Recovered, StorageError> {
        let mut recovered = Recovered::default();
        let mut config_files = Vec::new();
        for name in self.files.names()? {
            let Some(text) = self.files.get(&name)? else {
                if name.starts_with(CONFIG_FILE_PREFIX) {
                    // It has no place in the order of the others: the first to go.
                    config_files.push(ConfigFile {
                        ballot: Ballot::default(),
                        version: 0,
                        name: name.clone(),
                    });
                }
                recovered.torn_files.push(name);
                continue;
            };
            if name == MEMBERSHIP_FILE {
                recovered.membership = serde_json::from_slice(&text).ok().or_else(|| parse_unnumbered(&text));
            } else if name == PROMISE_FILE {
                recovered.promised = serde_json::from_slice(&text).unwrap_or_default();
            } else if name.starts_with(CONFIG_FILE_PREFIX)
                && let Ok(content) = serde_json::from_slice::<ConfigContent>(&text)
            {
                let ConfigContent { version, entry } = content;
                config_files.push(ConfigFile { ballot: entry.ballot, version, name });
                if recovered.accepted.as_ref().is_none_or(|old| entry.is_newer_than(old)) {
                    recovered.accepted = Some(entry);
                }
            }
        }
        config_files.sort();
        self.config_files = config_files;
        // What was accepted had been promised, whatever became of that file.
        let accepted_ballot = recovered.accepted.as_ref().map_or(Ballot::default(), |entry| entry.ballot);
        recovered.promised = recovered.promised.max(accepted_ballot);
        Ok(recovered)
    }

    /// Nothing is written beside a snapshot that is not done with: it would be carried out over it.
    fn ensure_no_snapshot(&mut self) -> Result<(), StorageError> {
        self.carry_out()?;
        match self.snapshot {
            Some(_) => Err(snapshot_error("a snapshot is not done with")),
            None => Ok(()),
        }
    }

    /// Writes what a batch has of the register of configurations: the last configuration and the last promise in it.
    ///
    /// # Errors
    ///
    /// The disk refuses; what was to be written may be there or not.
    pub fn write_register(&mut self, batch: &[WriteOp]) -> Result<(), StorageError> {
        self.ensure_no_snapshot()?;
        let accepted = batch.iter().rev().find_map(|op| match op {
            WriteOp::Accept { version, entry } => Some((*version, entry)),
            _ => None,
        });
        if let Some((version, entry)) = accepted {
            self.write_config(ConfigContent { version, entry: entry.clone() })?;
            self.remove_old_configs()?;
        }
        let promise = batch.iter().rev().find_map(|op| match op {
            WriteOp::Promise(ballot) => Some(*ballot),
            _ => None,
        });
        promise.map_or(Ok(()), |promise| self.write_promise(promise))
    }

    /// Writes the membership of a batch, once all else of it is there.
    ///
    /// # Errors
    ///
    /// The disk refuses; what was to be written may be there or not.
    pub fn write_membership(&mut self, batch: &[WriteOp]) -> Result<(), StorageError> {
        let membership = batch.iter().rev().find_map(|op| match op {
            WriteOp::Membership(membership) => Some(membership),
            _ => None,
        });
        let Some(membership) = membership else { return Ok(()) };
        self.files.put(MEMBERSHIP_FILE, &serde_json::to_vec(membership).unwrap_or_default())
    }

    fn write_promise(&mut self, promise: Ballot) -> Result<(), StorageError> {
        self.files.put(PROMISE_FILE, &serde_json::to_vec(&promise).unwrap_or_default())
    }

    fn write_config(&mut self, content: ConfigContent) -> Result<(), StorageError> {
        let (name, version) = (config_file_name(content.version), content.version);
        self.config_files.retain(|file| file.name != name);
        self.config_files.push(ConfigFile { ballot: content.entry.ballot, version, name: name.clone() });
        self.files.put(&name, &serde_json::to_vec(&content).unwrap_or_default())
    }

    fn remove_old_configs(&mut self) -> Result<(), StorageError> {
        if self.config_files.len() <= MAX_CONFIG_FILES {
            return Ok(());
        }
        let old = self.config_files.drain(..self.config_files.len() - MAX_CONFIG_FILES);
        let names: Vec<String> = old.map(|file| file.name).collect();
        self.files.remove_all(&names)
    }

    /// Installs a snapshot: from here on it counts, completely or not at all. Its claims are for who keeps them; then
    /// [`StateFiles::finish_install`] is called.
    ///
    /// # Errors
    ///
    /// The disk refuses; the snapshot is there completely or not at all.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.ensure_no_snapshot()?;
        let encoded =
            snapshot::encode(snapshot).ok_or_else(|| snapshot_error("the snapshot is too large"))?;
        self.snapshot_in_doubt = true;
        self.files.put(SNAPSHOT_FILE, &encoded)?;
        self.snapshot_in_doubt = false;
        self.snapshot = Some(snapshot.clone());
        self.carry_out()
    }

    /// Claims of a snapshot that counts and is not done with.
    pub fn uninstalled_claims(&self) -> &[Claim] {
        self.snapshot.as_ref().map_or(&[], |snapshot| &snapshot.claims)
    }

    /// The parts of the snapshot go where they belong, and what it replaces goes away.
    fn carry_out(&mut self) -> Result<(), StorageError> {
        if self.snapshot_in_doubt {
            self.files.remove_all(&[SNAPSHOT_FILE.to_string()])?;
            self.snapshot_in_doubt = false;
        }
        let Some(snapshot) = self.snapshot.clone() else { return Ok(()) };
        self.files.put(MEMBERSHIP_FILE, &snapshot.membership)?;
        let config = config_of(&snapshot);
        let kept = config.as_ref().map(|config| config_file_name(config.version));
        // By what is there: one whose write was refused half way may be there without being known of.
        let mut replaced = self.files.names()?;
        replaced.retain(|name| name.starts_with(CONFIG_FILE_PREFIX) && Some(name) != kept.as_ref());
        if let Some(config) = config {
            self.write_config(config)?;
        }
        self.files.remove_all(&replaced)?;
        self.config_files.retain(|file| Some(&file.name) == kept.as_ref());
        self.write_promise(ballot(snapshot.promised))
    }

    /// All of the snapshot is where it belongs, its claims too: it is done with.
    ///
    /// # Errors
    ///
    /// The disk refuses; the snapshot is carried out anew at the next start.
    pub fn finish_install(&mut self) -> Result<(), StorageError> {
        if self.snapshot.is_some() {
            self.carry_out()?;
            self.files.remove_all(&[SNAPSHOT_FILE.to_string()])?;
            self.snapshot = None;
        }
        Ok(())
    }
}
