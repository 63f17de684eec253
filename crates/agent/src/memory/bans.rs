//! Backends that an operator took out, laid over what the list says: the module hears that they drain, and its one gate keeps the
//! rest. What the list says meanwhile is kept beside it, and handed on when the ban is lifted.
//!
//! Held always: while a backend is banned the module is told of it as draining, with the start that it knew, or not told
//! of it at all. A new start would begin a grace anew; a removal would count for a mass removal.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::{BackendId, EndpointStatus, ListEntry};

#[derive(Debug, Default)]
pub struct Bans {
    names: BTreeSet<String>,
    /// What the module was last told of each.
    told: BTreeMap<BackendId, ListEntry>,
    /// What the list says of those that are banned.
    truth: BTreeMap<BackendId, ListEntry>,
}

/// Names whose bans came and went.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changed {
    pub on: Vec<String>,
    pub off: Vec<String>,
}

impl Bans {
    /// From now on these are banned, and nobody else.
    pub fn set(&mut self, names: BTreeSet<String>) -> Changed {
        let changed = Changed {
            on: names.difference(&self.names).cloned().collect(),
            off: self.names.difference(&names).cloned().collect(),
        };
        self.names = names;
        changed
    }
    pub fn holds(&self, name: &str) -> bool {
        self.names.contains(name)
    }
    /// Banned backends that the list has named.
    pub fn held(&self) -> impl Iterator<Item = BackendId> {
        self.truth.keys().copied()
    }
    /// The number is another backend's now.
    pub fn forget(&mut self, id: BackendId) {
        self.told.remove(&id);
        self.truth.remove(&id);
    }

    /// What the module is to hear where the list says `entry`; nothing where it has never heard of the backend.
    pub fn pass(&mut self, name: &str, entry: ListEntry) -> Option<ListEntry> {
        if !self.names.contains(name) {
            self.told.insert(entry.backend, entry.clone());
            return Some(entry);
        }
        self.truth.insert(entry.backend, entry.clone());
        self.out(entry.backend)
    }
    /// The ban of a backend begins: what the list last said is kept, the module hears that it drains.
    pub fn begin(&mut self, id: BackendId) -> Option<ListEntry> {
        let told = self.told.get(&id)?.clone();
        self.truth.entry(id).or_insert(told);
        self.out(id)
    }
    /// A whole list names these alone: of the banned ones it names no more, the truth is that they are gone. What the module
    /// is to hear of them all the same.
    pub fn only(&mut self, here: &BTreeSet<BackendId>) -> Vec<ListEntry> {
        for (_, truth) in self.truth.iter_mut().filter(|(id, _)| !here.contains(id)) {
            truth.status = EndpointStatus::Gone;
        }
        let missing: Vec<BackendId> = self.held().filter(|id| !here.contains(id)).collect();
        missing.into_iter().filter_map(|id| self.out(id)).collect()
    }
    /// The ban is lifted: the list's own word is handed on.
    pub fn end(&mut self, id: BackendId) -> Option<ListEntry> {
        let truth = self.truth.remove(&id)?;
        if truth.status == EndpointStatus::Gone && !self.told.contains_key(&id) {
            return None;
        }
        self.told.insert(id, truth.clone());
        Some(truth)
    }
    fn out(&mut self, id: BackendId) -> Option<ListEntry> {
        let told = self.told.get(&id)?.clone();
        // Gone it was before: it stays gone.
        let standing =
            if told.status == EndpointStatus::Gone { EndpointStatus::Gone } else { EndpointStatus::Draining };
        let entry = ListEntry { status: standing, ..told };
        self.told.insert(id, entry.clone());
        Some(entry)
    }
}

#[cfg(test)]
mod tests {
    use notchspool::units::Micros;

    use super::*;

    fn entry(id: u32, standing: EndpointStatus, started: i64) -> ListEntry {
        ListEntry {
            backend: BackendId(id),
            status: standing,
            started: Micros::ms(started),
            ..ListEntry::default()
        }
    }
    fn names(names: &[&str]) -> BTreeSet<String> {
        names.iter().map(|name| (*name).to_owned()).collect()
    }

    #[test]
    fn a_ban_outlives_all_that_the_list_says_and_its_own_word_comes_back() {
        let mut bans = Bans::default();
        assert_eq!(
            bans.pass("a", entry(0, EndpointStatus::Ready, 1)).map(|e| e.status),
            Some(EndpointStatus::Ready)
        );
        assert_eq!(bans.set(names(&["a"])).on, ["a"]);
        assert_eq!(bans.set(names(&["a"])), Changed::default(), "twice is one ban");
        let told = bans.begin(BackendId(0)).expect("the module knows it");
        assert_eq!(told.status, EndpointStatus::Draining);
        for said in [
            entry(0, EndpointStatus::Ready, 1),
            entry(0, EndpointStatus::Gone, 1),
            entry(0, EndpointStatus::Ready, 99),
            entry(0, EndpointStatus::Draining, 99),
            entry(0, EndpointStatus::Ready, 99),
        ] {
            let told = bans.pass("a", said).expect("the module knows it");
            assert_eq!((told.status, told.started), (EndpointStatus::Draining, Micros::ms(1)));
        }
        assert_eq!(bans.set(names(&[])).off, ["a"]);
        let back = bans.end(BackendId(0)).expect("its own word");
        assert_eq!((back.status, back.started), (EndpointStatus::Ready, Micros::ms(99)));
    }

    #[test]
    fn who_was_banned_before_it_was_known_is_not_told_till_the_ban_is_lifted() {
        let mut bans = Bans::default();
        bans.set(names(&["a"]));
        assert!(bans.pass("a", entry(0, EndpointStatus::Ready, 1)).is_none());
        assert!(bans.only(&BTreeSet::from([BackendId(0)])).is_empty());
        bans.set(names(&[]));
        assert_eq!(bans.end(BackendId(0)).map(|e| e.status), Some(EndpointStatus::Ready));
    }

    #[test]
    fn a_whole_list_without_it_takes_nothing_away_till_the_ban_is_lifted() {
        let mut bans = Bans::default();
        bans.pass("a", entry(0, EndpointStatus::Ready, 1));
        bans.set(names(&["a"]));
        bans.begin(BackendId(0));
        let still = bans.only(&BTreeSet::new());
        assert_eq!(still.iter().map(|e| e.status).collect::<Vec<_>>(), [EndpointStatus::Draining]);
        bans.set(names(&[]));
        assert_eq!(bans.end(BackendId(0)).map(|e| e.status), Some(EndpointStatus::Gone));
    }
}
