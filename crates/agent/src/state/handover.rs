//! What a process leaves for the one that takes over: what it learned, and how far it had read the endpoint list. The younger says yes only once
//! it has read as far: its own watch may reach a copy of discovery that lags behind.
use std::collections::BTreeMap;

use notchspool::state_transfer::LearnedState;
use notchspool::units::{BackendId, Micros};
use serde_json::Value;

use super::learned_state::{self, FleetShape};

const LIST_REVISION: &str = "list";

/// See the module.
pub struct Handover {
    /// What the process learned.
    pub learned: LearnedState,
    /// The revision up to which it had read the list; `None` where it had read none, or is of an older version.
    pub list_revision: Option<u64>,
}

/// The text that is left. `at`: now, Unix time in microseconds.
pub fn encode(
    handover: &Handover,
    names: &BTreeMap<BackendId, String>,
    shape: &FleetShape,
    at: Micros,
) -> String {
    let mut root = learned_state::to_json(&handover.learned, names, shape, at);
    if let Some(revision) = handover.list_revision {
        root[LIST_REVISION] = revision.into();
    }
    root.to_string()
}

/// Nothing where the text is none of ours, or was left before `since`: see [`learned_state::decode`].
pub fn decode(
    text: &str,
    names: &BTreeMap<String, BackendId>,
    shape: &FleetShape,
    since: Micros,
) -> Option<Handover> {
    let root: Value = serde_json::from_str(text).ok()?;
    let learned = learned_state::from_json(&root, names, shape, since)?;
    Some(Handover { learned, list_revision: root[LIST_REVISION].as_u64() })
}
