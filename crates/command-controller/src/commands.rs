//! The commands that were accepted, and which of them are to be written.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_commands::command_log::{Command, CommandLog, CommandState, SubmitError};
use notchspool_commands::{Epoch, InstanceId, Revision};
use notchspool_fleet_protocol::CommandRequest;

use crate::records::{self, CommandRecord, RegisterKey};
use crate::traffic::{RequestCounts, Traffic, halt_reason};

/// How many conflicting instances an error names.
const NAMED_CONFLICTS: usize = 3;

/// What a command is beside its entry in the log.
#[derive(Clone, Debug)]
pub struct AcceptedCommand {
    /// The client's id of it.
    pub id: String,
    /// The largest fraction of a zone and of the fleet that may be unavailable at once.
    pub max_unavailable: f64,
    /// Which register it is written to.
    slot: u32,
    /// Why it is sent to no more instances, if it was halted.
    pub halt_reason: Option<String>,
    /// The success rate before it was submitted, and the requests until then; not known to an owner that took it over.
    rate_before: Option<f64>,
    requests_before: RequestCounts,
    /// What was written of it last, without the time that is left.
    written: String,
}

/// A command is accepted once what is written with it is with a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Its number.
    pub revision: Revision,
    /// How many instances it is for.
    pub targets: usize,
}

/// Why a command is not accepted. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum RejectedCommand {
    /// Too many commands are kept already.
    #[display("too many orders are open; wait for some to end")]
    TooManyOpen,
    /// It selects no instance that is there.
    #[display("no instance that is there is meant")]
    NoTarget,
    /// Another command on the subject came after the expected revision; some of the instances, with the revision there.
    #[display("another order came meanwhile: {}", _0.iter().map(|(name, r)| format!("{name} at {}", r.0)).collect::<Vec<_>>().join(", "))]
    Conflict(#[error(not(source))] Vec<(String, Revision)>),
}

/// All commands that are kept.
#[derive(Clone, Debug, Default)]
pub struct CommandTable {
    log: CommandLog,
    accepted: BTreeMap<Revision, AcceptedCommand>,
    by_id: BTreeMap<String, Revision>,
    /// Commands that may differ from what was written.
    unwritten: BTreeSet<Revision>,
}

impl CommandTable {
    /// Restores a command from its record. `last` is the last revision ever given.
    pub fn restore(&mut self, now: Micros, last: Revision, slot: u32, record: CommandRecord) {
        let deadline = (now + Micros(record.left_us)).0;
        let command = Command { author: record.author, kind: record.kind, deadline };
        self.log.restore(last, record.revision, command, record.states);
        self.by_id.insert(record.id.clone(), record.revision);
        let accepted = AcceptedCommand {
            id: record.id,
            max_unavailable: record.max_unavailable,
            slot,
            halt_reason: record.halt_reason,
            rate_before: None,
            requests_before: RequestCounts::default(),
            written: String::new(),
        };
        self.accepted.insert(record.revision, accepted);
        self.unwritten.insert(record.revision);
    }

    /// The log, for reading.
    pub fn log(&self) -> &CommandLog {
        &self.log
    }

    /// What is known of a command beside the log.
    pub fn get(&self, revision: Revision) -> Option<&AcceptedCommand> {
        self.accepted.get(&revision)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.accepted.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.accepted.is_empty()
    }

    /// The command that was accepted under this id.
    pub fn find(&self, id: &str) -> Option<Accepted> {
        let revision = *self.by_id.get(id)?;
        Some(Accepted { revision, targets: self.log.states(revision).len() })
    }

    /// Accepts a command for these instances.
    ///
    /// # Errors
    ///
    /// No target, or another last revision than the expected one.
    pub fn submit(
        &mut self,
        now: Micros,
        request: &CommandRequest,
        targets: &BTreeSet<InstanceId>,
        max_unavailable: f64,
        traffic: &Traffic,
    ) -> Result<Accepted, SubmitError> {
        // Before it is accepted: those that it supersedes are final after, and that has to be written too.
        self.mark_open_unwritten();
        let deadline = (now + Micros(request.within_us)).0;
        let command = Command { author: request.author.clone(), kind: request.kind, deadline };
        let revision = self.log.submit(command, targets, request.expected_revision)?;
        let accepted = AcceptedCommand {
            id: request.id.clone(),
            max_unavailable,
            slot: self.free_slot(),
            halt_reason: None,
            rate_before: traffic.recent_success_rate(),
            requests_before: traffic.total(),
            written: String::new(),
        };
        self.accepted.insert(revision, accepted);
        self.by_id.insert(request.id.clone(), revision);
        self.unwritten.insert(revision);
        Ok(Accepted { revision, targets: targets.len() })
    }

    fn free_slot(&self) -> u32 {
        let used: BTreeSet<u32> = self.accepted.values().map(|accepted| accepted.slot).collect();
        (0..).find(|slot| !used.contains(slot)).unwrap_or_default()
    }

    /// Something may have changed in any command that is not final everywhere.
    pub fn mark_open_unwritten(&mut self) {
        let is_open =
            |revision: &&Revision| self.log.states(**revision).iter().any(|(_, state)| !state.is_final());
        let open: Vec<Revision> = self.accepted.keys().filter(is_open).copied().collect();
        self.unwritten.extend(open);
    }

    /// A command was sent to an instance.
    pub fn on_sent(&mut self, id: InstanceId, epoch: Epoch, revision: Revision) {
        self.log.on_sent(id, epoch, revision);
        self.unwritten.insert(revision);
    }

    /// An instance reports an outcome. Returns whether it counted.
    pub fn on_outcome(
        &mut self,
        id: InstanceId,
        epoch: Epoch,
        present: Epoch,
        revision: Revision,
        outcome: &notchspool_commands::Outcome,
    ) -> bool {
        let counted = self.log.on_outcome(id, epoch, present, revision, outcome);
        if counted {
            self.unwritten.insert(revision);
        }
        counted
    }

    /// Contact with an instance was lost, or it began a new epoch.
    pub fn on_contact_lost(&mut self, id: InstanceId) {
        self.log.on_contact_lost(id);
    }

    /// An instance is not known any more.
    pub fn remove_instance(&mut self, id: InstanceId) {
        self.log.remove_instance(id);
    }

    /// Time has passed: deadlines, and commands beyond the last `retained` that are final everywhere.
    pub fn tick(&mut self, now: Micros, retained: usize) {
        self.log.tick(now);
        self.log.prune(retained);
        self.accepted.retain(|revision, _| self.log.command(*revision).is_some());
        self.by_id.retain(|_, revision| self.accepted.contains_key(revision));
        self.unwritten.retain(|revision| self.accepted.contains_key(revision));
    }

    /// Brings deadlines forward to these times.
    pub fn shorten_deadlines(&mut self, deadlines: &BTreeMap<Revision, Micros>) {
        for (revision, deadline) in deadlines {
            self.log.shorten_deadline(*revision, deadline.0);
        }
    }

    /// Halts commands that do harm: they are sent to no more instances.
    pub fn halt_harmful(&mut self, traffic: &Traffic) {
        for (revision, accepted) in self.accepted.iter_mut().filter(|(_, a)| a.halt_reason.is_none()) {
            let states = self.log.states(*revision);
            if !states.iter().any(|(_, state)| *state == CommandState::Queued) {
                continue;
            }
            let failed = states.iter().filter(|(_, state)| is_failure(state)).count();
            let since = traffic.total().since(accepted.requests_before);
            accepted.halt_reason = halt_reason(failed, states.len(), accepted.rate_before, since);
            if accepted.halt_reason.is_some() {
                self.unwritten.insert(*revision);
            }
        }
    }

    /// What is to be written since the last call, by register.
    pub fn take_writes(&mut self, now: Micros) -> BTreeMap<String, String> {
        let mut writes = BTreeMap::new();
        for revision in std::mem::take(&mut self.unwritten) {
            let Some((mut record, left)) = self.record(now, revision) else { continue };
            let Some(accepted) = self.accepted.get_mut(&revision) else { continue };
            let text = records::encode(&record);
            if text != accepted.written {
                accepted.written = text;
                record.left_us = left.0;
                writes.insert(RegisterKey::Command(accepted.slot).to_string(), records::encode(&record));
            }
        }
        writes
    }

    /// The record of a command without the time that is left, and that time.
    fn record(&self, now: Micros, revision: Revision) -> Option<(CommandRecord, Micros)> {
        let (command, accepted) = (self.log.command(revision)?, self.accepted.get(&revision)?);
        let record = CommandRecord {
            revision,
            id: accepted.id.clone(),
            author: command.author.clone(),
            kind: command.kind,
            max_unavailable: accepted.max_unavailable,
            halt_reason: accepted.halt_reason.clone(),
            states: self.log.states(revision),
            left_us: 0,
        };
        Some((record, Micros(command.deadline) - now))
    }
}

/// Whether a state counts against a command.
fn is_failure(state: &CommandState) -> bool {
    matches!(
        state,
        CommandState::Refused(_) | CommandState::Unknown(_) | CommandState::Failed { sent: true, .. }
    )
}

/// The error that the client sees, with names in place of numbers.
pub(crate) fn rejection<'a>(
    error: SubmitError,
    name: impl Fn(InstanceId) -> Option<&'a str>,
) -> RejectedCommand {
    match error {
        SubmitError::NoTarget => RejectedCommand::NoTarget,
        SubmitError::Conflict(conflicts) => {
            let named = conflicts.into_iter().take(NAMED_CONFLICTS);
            let named = named.filter_map(|(id, revision)| Some((name(id)?.to_owned(), revision)));
            RejectedCommand::Conflict(named.collect())
        }
    }
}
