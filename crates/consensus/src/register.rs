//! What registers hold: entries by key, the lease of an owner, and the record of who owns a job.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Ballot, ContenderId, Token};

/// Registers that are prepared together: the one that says who owns a job, or those in which the job keeps its state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Space {
    /// Who owns the job of this name.
    Owner(String),
    /// What the job of this name keeps.
    State(String),
}

/// A value as one voter accepted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The ballot under which it was accepted.
    #[serde(rename = "at")]
    pub ballot: Ballot,
    /// The number of the write under its ballot: later writes of one owner are larger.
    #[serde(rename = "nth")]
    pub sequence: u64,
    /// The value itself.
    pub value: String,
}

impl Entry {
    /// Whether this entry was written after `other`, of the same key.
    pub fn is_newer_than(&self, other: &Entry) -> bool {
        (self.ballot, self.sequence) > (other.ballot, other.sequence)
    }
}

/// Entries of one space, by key.
pub type Entries = BTreeMap<String, Entry>;

/// A space as one voter has it on its disk.
///
/// In JSON it is the list `[space, promised, entries, lease]`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "SpaceStateFields", into = "SpaceStateFields")]
pub struct SpaceState {
    /// Which space.
    pub space: Space,
    /// The highest ballot promised.
    pub promised: Ballot,
    /// What was accepted.
    pub entries: Entries,
    /// The lease that the voter keeps to.
    pub lease: Option<Lease>,
}

type SpaceStateFields = (Space, Ballot, Entries, Option<Lease>);

impl From<SpaceStateFields> for SpaceState {
    fn from((space, promised, entries, lease): SpaceStateFields) -> SpaceState {
        SpaceState { space, promised, entries, lease }
    }
}

impl From<SpaceState> for SpaceStateFields {
    fn from(state: SpaceState) -> SpaceStateFields {
        (state.space, state.promised, state.entries, state.lease)
    }
}

/// The right of a contender to be left alone for some time, granted with an accepted owner record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Who holds it.
    #[serde(rename = "by")]
    pub holder: ContenderId,
    /// Its length in microseconds; 0 gives it up.
    #[serde(rename = "span_us")]
    pub duration_us: i64,
}

/// The key of the one register in an owner's space.
pub const OWNER_KEY: &str = "owner";

/// Who owns a job, as its register holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerRecord {
    /// The owner's fencing token.
    pub token: Token,
    /// The run that owns.
    #[serde(rename = "by")]
    pub owner: ContenderId,
    /// Its name, for people.
    pub name: String,
    /// Where it is called, for redirections.
    #[serde(rename = "at")]
    pub address: String,
    /// It gave the job up by itself.
    pub released: bool,
}

impl OwnerRecord {
    /// Parses the value of a register; `None` where the text is no record of an owner.
    pub fn parse(text: &str) -> Option<OwnerRecord> {
        serde_json::from_str(text).ok()
    }

    /// The record as the value of a register, in JSON.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
