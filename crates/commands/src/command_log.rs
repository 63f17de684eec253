//! The commands of a fleet, and what became of each at each instance: the controller's side.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;

use crate::{CommandKind, Epoch, InstanceId, Outcome, Revision, Subject};

/// One command to many instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Command {
    /// Who gave it.
    pub author: String,
    /// What to do.
    pub kind: CommandKind,
    /// By when it is to be applied, in microseconds of the controller's clock.
    pub deadline: i64,
}

/// Where a command stands at one instance. In JSON the names are those of the first release.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandState {
    /// Not yet sent.
    Queued,
    /// Sent in this epoch of the instance; no outcome yet.
    #[serde(rename = "told")]
    Sent(Epoch),
    /// Sent, and contact was lost before an outcome came: it may have been applied.
    Unknown(Epoch),
    /// The instance has applied it, in this epoch.
    Applied(Epoch),
    /// The instance refused it, for this reason.
    Refused(String),
    /// Its deadline has passed.
    Failed {
        /// Whether it had been sent.
        #[serde(rename = "told")]
        sent: bool,
        /// In which epoch it was applied after the deadline, if it was.
        late: Option<Epoch>,
    },
    /// A later command on the same subject was given.
    #[serde(rename = "overtaken")]
    Superseded(Revision),
}

impl CommandState {
    /// Whether nothing follows, but for a late outcome.
    pub fn is_final(&self) -> bool {
        matches!(
            self,
            CommandState::Applied(_)
                | CommandState::Refused(_)
                | CommandState::Failed { .. }
                | CommandState::Superseded(_)
        )
    }
}

/// Why a command was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// It names no instance.
    NoTarget,
    /// It expected another last revision at these instances; with the last one there is.
    Conflict(BTreeMap<InstanceId, Revision>),
}

/// All commands that count, and their states.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CommandLog {
    last: Revision,
    commands: BTreeMap<Revision, Command>,
    pairs: BTreeMap<(InstanceId, Subject), BTreeMap<Revision, CommandState>>,
}

impl CommandLog {
    /// Takes a command; it may be acknowledged only once the caller has written the log down. `expected`: only if this is the last
    /// revision on its subject at all targets.
    ///
    /// # Errors
    ///
    /// No target, or another last revision than the expected one. Nothing has changed then.
    pub fn submit(
        &mut self,
        command: Command,
        targets: &BTreeSet<InstanceId>,
        expected: Option<Revision>,
    ) -> Result<Revision, SubmitError> {
        if targets.is_empty() {
            return Err(SubmitError::NoTarget);
        }
        let subject = command.kind.subject();
        if let Some(expected) = expected {
            let last = |id: &InstanceId| (*id, self.last_on(*id, subject));
            let moved: BTreeMap<InstanceId, Revision> =
                targets.iter().map(last).filter(|l| l.1 != expected).collect();
            if !moved.is_empty() {
                return Err(SubmitError::Conflict(moved));
            }
        }
        let revision = Revision(self.last.0 + 1);
        self.last = revision;
        self.commands.insert(revision, command);
        for &id in targets {
            let pairs = self.pairs.entry((id, subject)).or_default();
            // What is not final is superseded, and stays so, whatever outcome comes later.
            pairs
                .values_mut()
                .filter(|s| !s.is_final())
                .for_each(|s| *s = CommandState::Superseded(revision));
            pairs.insert(revision, CommandState::Queued);
        }
        Ok(revision)
    }

    /// Restores a command from the disk. `last`: the last revision ever given, which may be that of a pruned command.
    pub fn restore(
        &mut self,
        last: Revision,
        revision: Revision,
        command: Command,
        states: Vec<(InstanceId, CommandState)>,
    ) {
        self.last = self.last.max(last).max(revision);
        let subject = command.kind.subject();
        self.commands.insert(revision, command);
        for (id, state) in states {
            self.pairs.entry((id, subject)).or_default().insert(revision, state);
        }
    }
    /// The last revision given.
    pub fn last(&self) -> Revision {
        self.last
    }
    /// The revisions of all commands, the oldest first.
    pub fn revisions(&self) -> impl Iterator<Item = Revision> {
        self.commands.keys().copied()
    }
    /// The last command on a subject at an instance, and its state.
    pub fn current(&self, id: InstanceId, subject: Subject) -> Option<(Revision, &CommandState)> {
        self.pairs.get(&(id, subject))?.iter().next_back().map(|(r, s)| (*r, s))
    }

    fn last_on(&self, id: InstanceId, subject: Subject) -> Revision {
        let last = self.pairs.get(&(id, subject)).and_then(|p| p.keys().next_back());
        last.copied().unwrap_or_default()
    }

    /// The command with this revision.
    pub fn command(&self, revision: Revision) -> Option<&Command> {
        self.commands.get(&revision)
    }
    /// The state of a command at an instance.
    pub fn state(&self, id: InstanceId, revision: Revision) -> Option<&CommandState> {
        let subject = self.commands.get(&revision)?.kind.subject();
        self.pairs.get(&(id, subject))?.get(&revision)
    }
    /// The states of a command at all its targets.
    pub fn states(&self, revision: Revision) -> Vec<(InstanceId, CommandState)> {
        let Some(subject) = self.commands.get(&revision).map(|o| o.kind.subject()) else { return Vec::new() };
        let pairs = self.pairs.iter().filter(|((_, s), _)| *s == subject);
        pairs.filter_map(|((id, _), p)| Some((*id, p.get(&revision)?.clone()))).collect()
    }

    /// What is to be sent to an instance in this epoch: on each subject the last command that is not final, or whose effect ended with
    /// an earlier epoch. The sum, not the history.
    pub fn pending_for(&self, id: InstanceId, epoch: Epoch) -> Vec<(Revision, CommandKind)> {
        let subjects = [Subject::Service, Subject::Configuration, Subject::Process];
        let last = subjects.iter().filter_map(|s| self.pairs.get(&(id, *s))?.iter().next_back());
        let due = |(revision, state): (&Revision, &CommandState)| {
            let kind = self.commands.get(revision)?.kind;
            let tell = match state {
                CommandState::Queued | CommandState::Sent(_) | CommandState::Unknown(_) => true,
                CommandState::Applied(then) => kind.is_transient() && *then < epoch,
                _ => false,
            };
            tell.then_some((*revision, kind))
        };
        last.filter_map(due).collect()
    }

    fn state_mut(&mut self, id: InstanceId, revision: Revision) -> Option<&mut CommandState> {
        let subject = self.commands.get(&revision)?.kind.subject();
        self.pairs.get_mut(&(id, subject))?.get_mut(&revision)
    }

    /// A command was sent to an instance.
    pub fn on_sent(&mut self, id: InstanceId, epoch: Epoch, revision: Revision) {
        if let Some(state) = self.state_mut(id, revision)
            && matches!(state, CommandState::Queued | CommandState::Sent(_) | CommandState::Unknown(_))
        {
            *state = CommandState::Sent(epoch);
        }
    }

    /// An instance reports an outcome. `present`: its present epoch; reports of an earlier one are fenced off. Returns whether it
    /// counted.
    pub fn on_outcome(
        &mut self,
        id: InstanceId,
        epoch: Epoch,
        present: Epoch,
        revision: Revision,
        outcome: &Outcome,
    ) -> bool {
        if epoch != present {
            return false;
        }
        let Some(state) = self.state_mut(id, revision) else { return false };
        match (&*state, outcome) {
            (CommandState::Queued | CommandState::Sent(_) | CommandState::Unknown(_), Outcome::Done) => {
                *state = CommandState::Applied(epoch);
            }
            (
                CommandState::Queued | CommandState::Sent(_) | CommandState::Unknown(_),
                Outcome::Refused(reason),
            ) => {
                *state = CommandState::Refused(reason.clone());
            }
            // Applied again, in a new epoch.
            (CommandState::Applied(_), Outcome::Done) => *state = CommandState::Applied(epoch),
            (CommandState::Failed { sent, late: None }, Outcome::Done) => {
                *state = CommandState::Failed { sent: *sent, late: Some(epoch) }
            }
            _ => return false,
        }
        true
    }

    /// Contact with an instance was lost, or it began a new epoch.
    pub fn on_contact_lost(&mut self, id: InstanceId) {
        for ((_, _), pairs) in self.pairs.iter_mut().filter(|((of, _), _)| *of == id) {
            for state in pairs.values_mut() {
                if let CommandState::Sent(epoch) = *state {
                    *state = CommandState::Unknown(epoch);
                }
            }
        }
    }

    /// Time has passed: what is not final by its deadline has failed.
    pub fn tick(&mut self, now: Micros) {
        for pairs in self.pairs.values_mut() {
            for (revision, state) in pairs.iter_mut() {
                let over = self.commands.get(revision).is_some_and(|o| o.deadline <= now.0);
                if over && !state.is_final() {
                    *state = CommandState::Failed { sent: *state != CommandState::Queued, late: None };
                }
            }
        }
    }

    /// Brings a command's deadline forward.
    pub fn shorten_deadline(&mut self, revision: Revision, deadline: i64) {
        if let Some(command) = self.commands.get_mut(&revision) {
            command.deadline = command.deadline.min(deadline);
        }
    }

    /// The instance is not known any more: its states are dropped.
    pub fn remove_instance(&mut self, id: InstanceId) {
        self.pairs.retain(|(of, _), _| *of != id);
    }

    /// Drops commands that are final everywhere, were followed by another on the same subject everywhere, and are older than the last
    /// `keep`.
    pub fn prune(&mut self, keep: usize) {
        let old: Vec<Revision> = self.commands.keys().rev().skip(keep).copied().collect();
        for revision in old {
            let Some(subject) = self.commands.get(&revision).map(|o| o.kind.subject()) else { continue };
            let here = |p: &BTreeMap<Revision, CommandState>| {
                p.get(&revision).is_some_and(|s| !s.is_final() || p.keys().next_back() == Some(&revision))
            };
            if self.pairs.iter().any(|((_, s), p)| *s == subject && here(p)) {
                continue;
            }
            self.commands.remove(&revision);
            self.pairs.values_mut().for_each(|p| drop(p.remove(&revision)));
        }
    }
    /// How many commands there are.
    pub fn len(&self) -> usize {
        self.commands.len()
    }
    /// Whether there is no command.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }
}
