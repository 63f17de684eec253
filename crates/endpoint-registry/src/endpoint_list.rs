//! The list of endpoints that a proxy holds: last good, with the version that the control plane gave it.
//!
//! A failed refresh leaves it as it is; older versions are ignored; of one instance the later report counts, whichever replica it came
//! from. An instance that has left is remembered, also where a replica that has started again lists it no more: it is never ready again.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use notchspool_mesh_protocol::{Endpoint, EndpointState, EndpointUpdate};

use crate::supersedes;

/// Instances that are remembered as having left.
pub const MAX_DEPARTED: usize = 1_024;

/// Endpoints by instance.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    version: u64,
    endpoints: BTreeMap<String, Endpoint>,
    /// Instances that have left, the newest last.
    departed: VecDeque<String>,
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Endpoints that are new or of which more is known.
    pub updated: Vec<Endpoint>,
    /// In the list until now, and not in the complete update that came: nobody has heard of them lately.
    pub removed: Vec<Endpoint>,
}

impl EndpointList {
    /// The version held; 0 where none is.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All endpoints, by instance.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// The endpoint of this instance.
    pub fn get(&self, instance: &str) -> Option<&Endpoint> {
        self.endpoints.get(instance)
    }

    /// Takes an update; `None` where it is older than what is held.
    pub fn apply(&mut self, update: EndpointUpdate) -> Option<Changes> {
        if update.version < self.version {
            return None;
        }
        self.version = update.version;
        let removed = if update.complete { self.remove_all_but(&update.endpoints) } else { Vec::new() };
        let mut updated = Vec::new();
        for endpoint in update.endpoints {
            if self.endpoints.get(&endpoint.instance).is_none_or(|old| supersedes(&endpoint, old)) {
                updated.push(endpoint.clone());
                self.insert(endpoint);
            }
        }
        Some(Changes { updated, removed })
    }

    fn remove_all_but(&mut self, present: &[Endpoint]) -> Vec<Endpoint> {
        let present: BTreeSet<&str> = present.iter().map(|endpoint| endpoint.instance.as_str()).collect();
        let is_removed = |known: &&Endpoint| {
            known.state() != EndpointState::Left && !present.contains(known.instance.as_str())
        };
        let mut removed: Vec<Endpoint> = self.endpoints.values().filter(is_removed).cloned().collect();
        for endpoint in &mut removed {
            endpoint.set_state(state_after_removal(endpoint.state()));
            self.endpoints.remove(&endpoint.instance);
            if endpoint.state() == EndpointState::Left {
                self.insert(endpoint.clone());
            }
        }
        removed
    }

    fn insert(&mut self, endpoint: Endpoint) {
        if endpoint.state() == EndpointState::Left {
            self.departed.push_back(endpoint.instance.clone());
        }
        self.endpoints.insert(endpoint.instance.clone(), endpoint);
        if self.departed.len() > MAX_DEPARTED
            && let Some(oldest) = self.departed.pop_front()
        {
            self.endpoints.remove(&oldest);
        }
    }
}

/// What becomes of an endpoint of which no replica knows any more. One that drained has ended by now: it is not to be frozen on the list.
fn state_after_removal(state: EndpointState) -> EndpointState {
    match state {
        EndpointState::Draining | EndpointState::Left => EndpointState::Left,
        EndpointState::Ready | EndpointState::Missing | EndpointState::Away | EndpointState::Unknown => {
            EndpointState::Missing
        }
    }
}
