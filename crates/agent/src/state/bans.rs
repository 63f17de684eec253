//! Backends that an operator took out, laid over what the list says: the decision module hears that they drain, and its own rules keep the rest.
//! What the list says meanwhile is kept beside it, and handed on when the ban is lifted.
//!
//! Invariant: while a backend is banned the module is told of it as draining, with the start that it knew, or not told of it at all. A new start
//! would begin a grace again; a removal would count for a mass removal.
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;

use notchspool::units::{BackendId, EndpointStatus, ListEntry};

/// Bans at once.
pub const MAX_BANS: usize = 4096;

/// Why a change is in force and yet not persisted.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum PersistError {
    /// There can't be more bans.
    #[display("{} bans are all there can be", MAX_BANS)]
    TooMany,
    /// The file can't be locked or written.
    #[display("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
}

/// Whether a change is persisted. In force it is either way.
pub type PersistResult = Result<(), PersistError>;

/// The bans, and what they hide.
#[derive(Debug, Default)]
pub struct Bans {
    names: BTreeSet<String>,
    /// What the module was last told of each.
    reported: BTreeMap<BackendId, ListEntry>,
    /// What the list says of those that are banned.
    listed: BTreeMap<BackendId, ListEntry>,
}

/// Names whose bans came and went.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct BanChanges {
    /// Banned from now on.
    pub banned: Vec<String>,
    /// Banned no more.
    pub lifted: Vec<String>,
}

impl Bans {
    /// From now on these are banned, and nobody else.
    pub fn set(&mut self, names: BTreeSet<String>) -> BanChanges {
        let changes = BanChanges {
            banned: names.difference(&self.names).cloned().collect(),
            lifted: self.names.difference(&names).cloned().collect(),
        };
        self.names = names;
        changes
    }

    /// Whether a name is banned.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Banned backends that the list has named.
    pub fn listed(&self) -> impl Iterator<Item = BackendId> {
        self.listed.keys().copied()
    }

    /// The number is another backend's now.
    pub fn forget(&mut self, id: BackendId) {
        self.reported.remove(&id);
        self.listed.remove(&id);
    }

    /// What the module is to be told where the list says `entry`; nothing where it has never been told of the backend.
    pub fn filter(&mut self, name: &str, entry: ListEntry) -> Option<ListEntry> {
        if !self.names.contains(name) {
            self.reported.insert(entry.backend, entry.clone());
            return Some(entry);
        }
        self.listed.insert(entry.backend, entry.clone());
        self.report_draining(entry.backend)
    }

    /// The ban of a backend begins: what the list last said is kept, the module is told that it drains.
    pub fn begin(&mut self, id: BackendId) -> Option<ListEntry> {
        let reported = self.reported.get(&id)?.clone();
        self.listed.entry(id).or_insert(reported);
        self.report_draining(id)
    }

    /// A full list names these alone: banned ones that it names no more are gone by it. What the module is to be told of them all the same.
    pub fn on_full_list(&mut self, present: &BTreeSet<BackendId>) -> Vec<ListEntry> {
        for (_, listed) in self.listed.iter_mut().filter(|(id, _)| !present.contains(id)) {
            listed.status = EndpointStatus::Gone;
        }
        let missing: Vec<BackendId> = self.listed().filter(|id| !present.contains(id)).collect();
        missing.into_iter().filter_map(|id| self.report_draining(id)).collect()
    }

    /// The ban is lifted: what the list says is handed on.
    pub fn end(&mut self, id: BackendId) -> Option<ListEntry> {
        let listed = self.listed.remove(&id)?;
        if listed.status == EndpointStatus::Gone && !self.reported.contains_key(&id) {
            return None;
        }
        self.reported.insert(id, listed.clone());
        Some(listed)
    }

    fn report_draining(&mut self, id: BackendId) -> Option<ListEntry> {
        let reported = self.reported.get(&id)?.clone();
        // One that was gone before stays gone.
        let status = match reported.status {
            EndpointStatus::Gone => EndpointStatus::Gone,
            EndpointStatus::Ready | EndpointStatus::Draining => EndpointStatus::Draining,
        };
        let entry = ListEntry { status, ..reported };
        self.reported.insert(id, entry.clone());
        Some(entry)
    }
}
