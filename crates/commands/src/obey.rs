//! An instance's side, in one life of it.
use std::collections::BTreeMap;

use crate::{Act, Epoch, Outcome, Revision, Subject};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Obey {
    epoch: Epoch,
    done: BTreeMap<Subject, (Revision, Outcome)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hear {
    /// Do it, and tell `did`.
    Do,
    /// It was done already: this is what was said of it.
    Said(Outcome),
    /// A later one was done, or it was told to another life: nothing is to be done or said.
    Nothing,
}

impl Obey {
    pub fn new(epoch: Epoch) -> Obey {
        Obey { epoch, done: BTreeMap::new() }
    }
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
    pub fn hear(&self, epoch: Epoch, revision: Revision, act: Act) -> Hear {
        if epoch != self.epoch {
            return Hear::Nothing;
        }
        match self.done.get(&act.subject()) {
            Some((last, said)) if *last == revision => Hear::Said(said.clone()),
            Some((last, _)) if *last > revision => Hear::Nothing,
            _ => Hear::Do,
        }
    }
    pub fn did(&mut self, revision: Revision, act: Act, outcome: Outcome) {
        self.done.insert(act.subject(), (revision, outcome));
    }
    /// The last act on a subject, for who asks.
    pub fn last(&self, subject: Subject) -> Option<Revision> {
        self.done.get(&subject).map(|d| d.0)
    }
}
