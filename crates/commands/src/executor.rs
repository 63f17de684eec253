//! The instance's side, in one epoch of it: each revision is executed once at most.
use std::collections::BTreeMap;

use crate::{CommandKind, Epoch, Outcome, Revision, Subject};

/// What was executed last on each subject.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Executor {
    epoch: Epoch,
    done: BTreeMap<Subject, (Revision, Outcome)>,
}

/// What to do with a command that has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Execute it, then call [`Executor::on_done`].
    Execute,
    /// It was executed before, with this outcome: report it again.
    AlreadyDone(Outcome),
    /// A later one was executed, or it is for another epoch: do and report nothing.
    Ignore,
}

impl Executor {
    /// The executor of an epoch that begins.
    pub fn new(epoch: Epoch) -> Executor {
        Executor { epoch, done: BTreeMap::new() }
    }

    /// The epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// A command has come, sent to this epoch.
    pub fn decide(&self, epoch: Epoch, revision: Revision, kind: CommandKind) -> Decision {
        if epoch != self.epoch {
            return Decision::Ignore;
        }
        match self.done.get(&kind.subject()) {
            Some((last, outcome)) if *last == revision => Decision::AlreadyDone(outcome.clone()),
            Some((last, _)) if *last > revision => Decision::Ignore,
            _ => Decision::Execute,
        }
    }

    /// A command was executed.
    pub fn on_done(&mut self, revision: Revision, kind: CommandKind, outcome: Outcome) {
        self.done.insert(kind.subject(), (revision, outcome));
    }

    /// The last revision that was executed on a subject.
    pub fn last(&self, subject: Subject) -> Option<Revision> {
        self.done.get(&subject).map(|d| d.0)
    }
}
