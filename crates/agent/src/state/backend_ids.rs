//! Numbers for backends, by the names that discovery gives them. The number of a backend that has been gone for long goes to the next new name,
//! so that neither this table nor the decision module's grows with every backend ever seen.
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use notchspool::units::{BackendId, Micros};

/// Long enough that no freeze and no window still has to do with the one that is gone; no attempt either, where the longest deadline is
/// shorter.
pub const REUSE_AFTER: Micros = Micros::ms(60_000);

/// Names and numbers.
#[derive(Debug, Default)]
pub struct BackendIds {
    /// The longest that an attempt can be out.
    max_deadline: Rc<Cell<Micros>>,
    by_name: BTreeMap<String, BackendId>,
    gone_since: BTreeMap<BackendId, Micros>,
    next: u32,
}

/// A number for a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedId {
    /// The number.
    pub id: BackendId,
    /// The number was another name's, or nobody's.
    pub is_new: bool,
}

impl BackendIds {
    /// `max_deadline`: the longest deadline of a request, as it is now.
    pub fn new(max_deadline: Rc<Cell<Micros>>) -> BackendIds {
        BackendIds { max_deadline, ..BackendIds::default() }
    }

    /// The number of a name: its own, one that is free again, or a new one while there are fewer than `max_backends`.
    pub fn assign(&mut self, name: &str, now: Micros, max_backends: usize) -> Option<AssignedId> {
        if let Some(id) = self.by_name.get(name) {
            return Some(AssignedId { id: *id, is_new: false });
        }
        let id = match self.reusable(now) {
            Some(id) => {
                self.gone_since.remove(&id);
                self.by_name.retain(|_, held| *held != id);
                id
            }
            None if (self.next as usize) < max_backends => {
                self.next += 1;
                BackendId(self.next - 1)
            }
            None => return None,
        };
        self.by_name.insert(name.to_owned(), id);
        Some(AssignedId { id, is_new: true })
    }

    fn reusable(&self, now: Micros) -> Option<BackendId> {
        let reuse_after = REUSE_AFTER.max(self.max_deadline.get() + REUSE_AFTER.times(0.5));
        let is_reusable = |(_, since): &(&BackendId, &Micros)| now - **since > reuse_after;
        self.gone_since.iter().find(is_reusable).map(|(id, _)| *id)
    }

    /// The number of a name that has one.
    pub fn find(&self, name: &str) -> Option<BackendId> {
        self.by_name.get(name).copied()
    }

    /// All names and their numbers.
    pub fn names(&self) -> BTreeMap<String, BackendId> {
        self.by_name.clone()
    }

    /// The list has it.
    pub fn on_present(&mut self, id: BackendId) {
        self.gone_since.remove(&id);
    }

    /// The list has it no more.
    pub fn on_gone(&mut self, id: BackendId, now: Micros) {
        self.gone_since.entry(id).or_insert(now);
    }

    /// A full list names all that are present.
    pub fn on_full_list(&mut self, is_present: impl Fn(BackendId) -> bool, now: Micros) {
        for id in (0..self.next).map(BackendId).filter(|id| !is_present(*id)) {
            self.on_gone(id, now);
        }
    }

    /// Whether the list has it no more.
    pub fn is_gone(&self, id: BackendId) -> bool {
        self.gone_since.contains_key(&id)
    }
}
