//! What a group of backends remembers of the references it has run, each for a window.
use std::collections::{BTreeMap, VecDeque};

use super::kit::*;

/// The group that remembers together: all, those of one zone, or those of one cell.
pub type GroupKey = (usize, u64);

/// Repeats within the window are known. What is older than the longest window is forgotten.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    seen: BTreeMap<(GroupKey, RefId), Micros>,
    by_age: VecDeque<(Micros, GroupKey, RefId)>,
}

impl Memory {
    /// True where this is the first run that the group remembers; a repeat does not lengthen the memory.
    pub fn first(&mut self, now: Micros, group: GroupKey, of: RefId, window: Micros) -> bool {
        while let Some(&(until, group, of)) = self.by_age.front()
            && until <= now
        {
            self.by_age.pop_front();
            if self.seen.get(&(group, of)).is_some_and(|&held| held <= now) {
                self.seen.remove(&(group, of));
            }
        }
        if self.seen.get(&(group, of)).is_some_and(|&until| now < until) {
            return false;
        }
        self.seen.insert((group, of), now + window);
        self.by_age.push_back((now + window, group, of));
        true
    }
    pub fn len(&self) -> usize {
        self.seen.len()
    }
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}
