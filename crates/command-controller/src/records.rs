//! What a controller writes into its registers, as JSON with the names of the first release.
//!
//! Keys: `head`; `m/N` for sixteen instances each; `o/N` for the command in slot N. Slots are used again, so that registers never grow
//! beyond what there is.
use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Epoch, InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// How many instances share a register.
const INSTANCES_PER_REGISTER: u32 = 16;

/// A register of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RegisterKey {
    /// Holds a [`FleetHead`].
    Head,
    /// Holds [`InstanceRecord`]s: those of this block of numbers.
    Instances(u32),
    /// Holds the [`CommandRecord`] of this slot.
    Command(u32),
}

impl RegisterKey {
    /// The register that an instance's record is in.
    pub fn of_instance(id: InstanceId) -> RegisterKey {
        RegisterKey::Instances(id.0 / INSTANCES_PER_REGISTER)
    }

    /// Reads a key; nothing where the text is none.
    pub fn parse(text: &str) -> Option<RegisterKey> {
        match text.split_once('/') {
            None if text == "head" => Some(RegisterKey::Head),
            Some(("m", block)) => block.parse().ok().map(RegisterKey::Instances),
            Some(("o", slot)) => slot.parse().ok().map(RegisterKey::Command),
            _ => None,
        }
    }
}

impl std::fmt::Display for RegisterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RegisterKey::Head => write!(f, "head"),
            RegisterKey::Instances(block) => write!(f, "m/{block}"),
            RegisterKey::Command(slot) => write!(f, "o/{slot}"),
        }
    }
}

/// The last numbers ever given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetHead {
    /// Of a command.
    pub revision: Revision,
    /// Of an epoch.
    pub epoch: Epoch,
}

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceRecord {
    /// Its number.
    pub id: InstanceId,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its epoch.
    pub epoch: Epoch,
    /// Drawn by the agent at its start.
    #[serde(rename = "life")]
    pub boot_id: u64,
}

/// A command and its states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandRecord {
    /// Its number.
    pub revision: Revision,
    /// The client's id of it.
    pub id: String,
    /// Who submitted it.
    pub author: String,
    /// What is to be done.
    #[serde(rename = "act")]
    pub kind: CommandKind,
    /// The largest fraction of a zone and of the fleet that may be unavailable at once.
    #[serde(rename = "part")]
    pub max_unavailable: f64,
    /// Why it is sent to no more instances, if it was halted.
    #[serde(rename = "halted")]
    pub halt_reason: Option<String>,
    /// Its state at each instance.
    pub states: Vec<(InstanceId, CommandState)>,
    /// Until its deadline when this was written, in microseconds: the clocks of two controllers have nothing in common. A change of this
    /// field alone is no reason to write.
    pub left_us: i64,
}

/// The text of a record.
pub fn encode<T: Serialize>(record: &T) -> String {
    serde_json::to_string(record).unwrap_or_default()
}

/// Nothing where the text is no such record; the reader reports that and goes on with the rest.
pub fn decode<T: for<'a> Deserialize<'a>>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}
