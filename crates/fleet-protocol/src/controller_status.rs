//! What a controller says of itself.
use std::collections::BTreeMap;
use std::fmt;

use notchspool_consensus::Token;
use serde::{Deserialize, Serialize};

/// Whether a controller's voter takes part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VoterStatus {
    /// It votes.
    #[default]
    #[serde(rename = "votes")]
    Voting,
    /// It lost its disk and is not readmitted yet.
    Blank,
    /// It can't write to its disk.
    #[serde(rename = "ill")]
    Failing,
}

impl fmt::Display for VoterStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            VoterStatus::Voting => "votes",
            VoterStatus::Blank => "blank",
            VoterStatus::Failing => "ill",
        })
    }
}

/// An owner of the fleet's commands. In JSON an array of three.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u16, Token)", into = "(String, u16, Token)")]
pub struct OwnerReference {
    /// Name of the controller.
    pub name: String,
    /// Its index among the controllers, from 0.
    pub index: u16,
    /// The token under which it owns.
    pub token: Token,
}

impl From<(String, u16, Token)> for OwnerReference {
    fn from((name, index, token): (String, u16, Token)) -> OwnerReference {
        OwnerReference { name, index, token }
    }
}

impl From<OwnerReference> for (String, u16, Token) {
    fn from(owner: OwnerReference) -> (String, u16, Token) {
        (owner.name, owner.index, owner.token)
    }
}

/// A controller, as it describes itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerStatus {
    /// Its name.
    pub name: String,
    /// Its index among the controllers, from 0.
    #[serde(rename = "place")]
    pub index: u16,
    /// Version of its program.
    #[serde(rename = "program")]
    pub program_version: String,
    /// Whether its voter takes part.
    pub voter: VoterStatus,
    /// The owner it knows of.
    pub owner: Option<OwnerReference>,
    /// It is that owner, and its lease runs.
    #[serde(rename = "owns")]
    pub is_owner: bool,
    /// How many instances it knows as the owner.
    pub instances: usize,
    /// Writes that a majority accepted since its start.
    pub writes: u64,
    /// Lines refused since its start, by [`crate::DecodeError::counter`].
    pub refused: BTreeMap<String, u64>,
}
