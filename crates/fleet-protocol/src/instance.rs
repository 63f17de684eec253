//! Instances of a fleet: what an agent reports of itself, and what the owner knows of it.
use std::fmt;

use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Epoch, InstanceId, Revision};
use notchspool_consensus::Token;
use serde::{Deserialize, Serialize};

/// What an agent says of itself with each registration and renewal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceReport {
    /// Version of its program.
    #[serde(rename = "program")]
    pub program_version: String,
    /// Requests since its start that succeeded.
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// Requests since its start that ended otherwise.
    #[serde(rename = "other")]
    pub not_succeeded: u64,
    /// Requests in flight.
    #[serde(rename = "in_hand")]
    pub in_flight: u64,
    /// It sends its clients away.
    #[serde(rename = "away")]
    pub draining: bool,
    /// The newest version of a server list that it routes by, over its pools.
    #[serde(rename = "list")]
    pub list_version: u64,
    /// The largest fencing token it has seen.
    #[serde(rename = "seen")]
    pub highest_token: Token,
}

/// Where the lease of an instance stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LeaseStatus {
    /// It runs.
    Live,
    /// It expired together with many others, and is not yet taken for gone.
    Held,
    /// It expired, or the instance left.
    Gone,
}

impl fmt::Display for LeaseStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            LeaseStatus::Live => "live",
            LeaseStatus::Held => "held",
            LeaseStatus::Gone => "gone",
        })
    }
}

/// The last command on whether an instance serves. In JSON an array of three.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(Revision, CommandKind, CommandState)", into = "(Revision, CommandKind, CommandState)")]
pub struct ServiceCommand {
    /// Its number.
    pub revision: Revision,
    /// What is to be done.
    pub kind: CommandKind,
    /// Its state at this instance.
    pub state: CommandState,
}

impl From<(Revision, CommandKind, CommandState)> for ServiceCommand {
    fn from((revision, kind, state): (Revision, CommandKind, CommandState)) -> ServiceCommand {
        ServiceCommand { revision, kind, state }
    }
}

impl From<ServiceCommand> for (Revision, CommandKind, CommandState) {
    fn from(command: ServiceCommand) -> (Revision, CommandKind, CommandState) {
        (command.revision, command.kind, command.state)
    }
}

/// An instance as the owner knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceStatus {
    /// Its number.
    pub id: InstanceId,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its present epoch.
    pub epoch: Epoch,
    /// Where its lease stands.
    #[serde(rename = "standing")]
    pub lease: LeaseStatus,
    /// Since this owner heard it last, in microseconds; nothing if it never did.
    #[serde(rename = "heard_us")]
    pub last_contact_us: Option<i64>,
    /// What it said of itself last.
    pub report: InstanceReport,
    /// The last command on whether it serves.
    pub service: Option<ServiceCommand>,
}
