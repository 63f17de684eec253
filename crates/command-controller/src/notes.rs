//! What the office writes into its registers, and how it is read again. Keys: `head`, `m/N` for sixteen members each, `o/N` for an
//! order in place N; places are used again, so that registers never grow beyond what there is.
use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Epoch, InstanceId, Revision};
use serde::{Deserialize, Serialize};

pub const SHARD: u32 = 16;
pub const HEAD: &str = "head";

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The last ones ever given.
    pub revision: Revision,
    pub epoch: Epoch,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub id: InstanceId,
    pub name: String,
    pub zone: String,
    pub epoch: Epoch,
    pub life: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    pub revision: Revision,
    pub id: String,
    pub author: String,
    pub act: CommandKind,
    pub part: f64,
    pub halted: Option<String>,
    pub states: Vec<(InstanceId, CommandState)>,
    /// Till its deadline when this was written: clocks of two keepers have nothing in common. It stands last, and alone is no
    /// reason to write.
    pub left_us: i64,
}

pub fn members(shard: u32) -> String {
    format!("m/{shard}")
}
pub fn order(place: u32) -> String {
    format!("o/{place}")
}
pub fn written<T: Serialize>(note: &T) -> String {
    serde_json::to_string(note).unwrap_or_default()
}
/// None where the text is no such note; whoever reads it says so, and goes on with the rest.
pub fn read<T: for<'a> Deserialize<'a>>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}
