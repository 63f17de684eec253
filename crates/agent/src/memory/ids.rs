//! Numbers for backends, by the names that discovery gives them. A number whose backend has been gone for long
//! goes to the next new name, so that neither this table nor the module's grows with every backend ever seen.
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use notchspool::units::{BackendId, Micros};

/// Long enough that no freeze and no window still has to do with the one that is gone; no posting either, where the longest
/// expiry is shorter.
const LONG_GONE: Micros = Micros::ms(60_000);

#[derive(Default)]
pub struct Ids {
    /// The longest that a posting can be out.
    longest: Rc<Cell<Micros>>,
    by_name: BTreeMap<String, BackendId>,
    gone: BTreeMap<BackendId, Micros>,
    next: u32,
}

impl Ids {
    /// `longest`: what a posting's expiry can be, as it is now.
    pub fn new(longest: Rc<Cell<Micros>>) -> Ids {
        Ids { longest, ..Ids::default() }
    }
    /// The number of a name: its own, one that is free again, or a new one while there are fewer than `most`;
    /// and whether the name is new to it.
    pub fn number(&mut self, name: &str, now: Micros, most: usize) -> Option<(BackendId, bool)> {
        if let Some(id) = self.by_name.get(name) {
            return Some((*id, false));
        }
        let gone_for = LONG_GONE.max(self.longest.get() + LONG_GONE.times(0.5));
        let free = self.gone.iter().find(|&(_, &since)| now - since > gone_for).map(|(id, _)| *id);
        let id = match free {
            Some(id) => {
                self.gone.remove(&id);
                self.by_name.retain(|_, held| *held != id);
                id
            }
            None if (self.next as usize) < most => {
                self.next += 1;
                BackendId(self.next - 1)
            }
            None => return None,
        };
        self.by_name.insert(name.to_owned(), id);
        Some((id, true))
    }
    /// The number of a name that has one.
    pub fn known(&self, name: &str) -> Option<BackendId> {
        self.by_name.get(name).copied()
    }
    /// All names and their numbers.
    pub fn names(&self) -> BTreeMap<String, BackendId> {
        self.by_name.clone()
    }
    pub fn here(&mut self, id: BackendId) {
        self.gone.remove(&id);
    }
    pub fn gone(&mut self, id: BackendId, now: Micros) {
        self.gone.entry(id).or_insert(now);
    }
    /// A whole list names all that are here.
    pub fn only(&mut self, here: impl Fn(BackendId) -> bool, now: Micros) {
        for id in (0..self.next).map(BackendId).filter(|id| !here(*id)) {
            self.gone(id, now);
        }
    }
    pub fn is_gone(&self, id: BackendId) -> bool {
        self.gone.contains_key(&id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_number_is_used_again_once_its_backend_is_long_gone() {
        let (mut ids, start) = (Ids::default(), Micros::ms(5));
        let [a, b] = ["a", "b"].map(|name| ids.number(name, start, 2).expect("room").0);
        assert_ne!(a, b);
        ids.gone(a, start);
        assert_eq!(ids.number("c", start + LONG_GONE, 2), None, "not yet, and there is no room for more");
        let later = start + LONG_GONE + Micros(1);
        assert_eq!(ids.number("c", later, 2), Some((a, true)));
        assert_eq!(ids.number("b", later, 2), Some((b, false)));
        assert_eq!(ids.number("a", later, 2), None, "the old name has lost it");
    }

    #[test]
    fn a_number_is_kept_while_a_posting_can_be_out() {
        let mut ids = Ids::new(Rc::new(Cell::new(Micros::ms(600_000))));
        let a = ids.number("a", Micros(0), 1).expect("room").0;
        ids.gone(a, Micros(0));
        assert_eq!(ids.number("b", Micros::ms(599_000), 1), None, "a posting to the first may still be out");
        assert_eq!(ids.number("b", Micros::ms(631_000), 1), Some((a, true)));
    }

    #[test]
    fn what_comes_back_or_stands_on_a_whole_list_keeps_its_number() {
        let (mut ids, start) = (Ids::default(), Micros::ms(5));
        let [a, b] = ["a", "b"].map(|name| ids.number(name, start, 2).expect("room").0);
        ids.gone(a, start);
        ids.here(a);
        ids.only(|id| id == a, start);
        let later = start + LONG_GONE + Micros(1);
        assert_eq!(ids.number("c", later, 2), Some((b, true)));
        assert_eq!(ids.number("a", later, 2), Some((a, false)));
    }
}
