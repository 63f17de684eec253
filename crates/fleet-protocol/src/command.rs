//! Operators' commands to instances, and how far each has come.
use std::collections::BTreeMap;

use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Revision};
use serde::{Deserialize, Serialize};

use crate::MAX_NAME_BYTES;

/// The longest time that a command may be given, in microseconds: an hour.
const MAX_DEADLINE_US: i64 = 3_600_000_000;

/// A command as an operator submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandRequest {
    /// Chosen by the client. Submitted again under the same id, it is the same command.
    pub id: String,
    /// Who submits it.
    pub author: String,
    /// What to do.
    #[serde(rename = "act")]
    pub kind: CommandKind,
    /// At which instances.
    #[serde(rename = "whom")]
    pub targets: Selector,
    /// It fails where it is not applied within this time, in microseconds: 1 to an hour.
    pub within_us: i64,
    /// The largest fraction of a zone and of the fleet that may be unavailable at once, over 0 and at most 1; without it what the
    /// controllers' files say.
    #[serde(rename = "part")]
    pub max_unavailable: Option<f64>,
    /// Only if this is the last revision on its subject at all targets.
    #[serde(rename = "on")]
    pub expected_revision: Option<Revision>,
}

impl CommandRequest {
    /// Checks what no type says.
    ///
    /// # Errors
    ///
    /// The first field that is out of its bounds.
    pub(crate) fn check(&self) -> Result<(), &'static str> {
        let max_unavailable = self.max_unavailable.unwrap_or(1.0);
        if !(1..=MAX_DEADLINE_US).contains(&self.within_us) {
            Err("field `within_us` must lie between 1 and an hour")
        } else if !(max_unavailable > 0.0 && max_unavailable <= 1.0) {
            Err("field `part` must be over 0 and at most 1")
        } else if self.id.is_empty() || self.id.len() > MAX_NAME_BYTES {
            Err("field `id` must have 1 to 64 characters")
        } else if self.author.len() > MAX_NAME_BYTES {
            Err("field `author` is too long")
        } else {
            Ok(())
        }
    }
}

/// Which instances a command is for: those that match every part that is given.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Selector {
    /// Names, or prefixes of names that end in `*`.
    pub names: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// All instances; without it names or zones have to be given.
    pub all: bool,
}

impl Selector {
    /// Whether an instance of this name and zone is selected.
    pub fn matches(&self, name: &str, zone: &str) -> bool {
        let name_matches = |pattern: &String| match pattern.strip_suffix('*') {
            Some(prefix) => name.starts_with(prefix),
            None => name == pattern,
        };
        let is_empty = !self.all && self.names.is_empty() && self.zones.is_empty();
        let by_name = self.names.is_empty() || self.names.iter().any(name_matches);
        let by_zone = self.zones.is_empty() || self.zones.iter().any(|z| z == zone);
        !is_empty && by_name && by_zone
    }
}

/// A command as the owner has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommandStatus {
    /// Its number; later commands have larger ones.
    pub revision: Revision,
    /// The client's id of it.
    pub id: String,
    /// Who submitted it.
    pub author: String,
    /// What is to be done.
    #[serde(rename = "act")]
    pub kind: CommandKind,
    /// See [`CommandRequest::max_unavailable`].
    #[serde(rename = "part")]
    pub max_unavailable: f64,
    /// Until its deadline, in microseconds; negative once that has passed.
    pub left_us: i64,
    /// Why it is sent to no more instances, if it was halted.
    #[serde(rename = "halted")]
    pub halt_reason: Option<String>,
    /// How many instances are in each state, by the state's name.
    pub counts: BTreeMap<String, usize>,
    /// The state at each instance, by its name; empty in lists of commands.
    pub states: Vec<(String, CommandState)>,
}
