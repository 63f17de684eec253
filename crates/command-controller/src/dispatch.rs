//! What is sent to which instance, and when again.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Epoch, InstanceId, Outcome, Revision, Subject};
use notchspool_leases::lease_table::LeaseState;

use crate::Controller;
use crate::commands::CommandTable;
use crate::disruption_budget::DisruptionBudget;
use crate::instances::InstanceTable;

/// To be sent to an instance once what is written with it is with a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The instance.
    pub id: InstanceId,
    /// Its epoch that this is for.
    pub epoch: Epoch,
    /// Number of the command.
    pub revision: Revision,
    /// What to do.
    pub kind: CommandKind,
}

/// What this owner has sent.
#[derive(Clone, Debug, Default)]
pub struct SentCommands {
    sent_at: BTreeMap<(InstanceId, Revision), Micros>,
    /// Instances that were sent a drain by this owner, and have not said since that a later command brought them back.
    draining: BTreeMap<InstanceId, Revision>,
}

impl SentCommands {
    /// Whether nothing is to be sent again.
    pub fn is_empty(&self) -> bool {
        self.sent_at.is_empty()
    }

    fn on_sent(&mut self, now: Micros, dispatch: &Dispatch) {
        if dispatch.kind == CommandKind::Drain {
            self.draining.insert(dispatch.id, dispatch.revision);
        }
        self.sent_at.insert((dispatch.id, dispatch.revision), now);
    }

    fn was_sent_within(&self, now: Micros, span: Micros, id: InstanceId, revision: Revision) -> bool {
        self.sent_at.get(&(id, revision)).is_some_and(|at| now - *at < span)
    }

    /// An instance reports an outcome, whether it counts or not.
    pub fn on_outcome(
        &mut self,
        id: InstanceId,
        revision: Revision,
        kind: Option<CommandKind>,
        outcome: &Outcome,
    ) {
        let drain = self.draining.get(&id);
        let ended = match (kind, outcome) {
            (Some(CommandKind::Undrain), Outcome::Done) => drain.is_some_and(|drain| *drain < revision),
            (Some(CommandKind::Drain), Outcome::Refused(_)) => drain == Some(&revision),
            _ => false,
        };
        if ended {
            self.draining.remove(&id);
        }
    }

    /// An outcome counted: the command is not sent again.
    pub fn on_answered(&mut self, id: InstanceId, revision: Revision) {
        self.sent_at.remove(&(id, revision));
    }

    /// An instance began a new epoch, or is not known any more: what it was sent before has no effect now.
    pub fn on_new_epoch(&mut self, id: InstanceId) {
        self.draining.remove(&id);
    }

    /// Drops what has come to its end.
    pub fn prune(&mut self, commands: &CommandTable, instances: &InstanceTable) {
        self.sent_at.retain(|(id, revision), _| {
            match (commands.log().state(*id, *revision), instances.epoch(*id)) {
                // Applied in an earlier epoch, and sent again to this one.
                (Some(CommandState::Applied(applied_in)), Some(epoch)) => *applied_in < epoch,
                (Some(state), Some(_)) => !state.is_final(),
                _ => false,
            }
        });
    }
}

impl Controller {
    /// What is to be sent now. The states that this changes have to be written first.
    pub(crate) fn dispatch(&mut self, now: Micros) -> Vec<Dispatch> {
        let present: Vec<InstanceId> =
            self.instances.iter().map(|(id, _)| id).filter(|id| self.instances.is_present(*id)).collect();
        let mut budget = self.disruption_budget(&present);
        self.commands.halt_harmful(&self.traffic);
        let mut dispatches = Vec::new();
        for id in present {
            let Some(epoch) = self.instances.epoch(id) else { continue };
            for (revision, kind) in self.commands.log().pending_for(id, epoch) {
                let dispatch = Dispatch { id, epoch, revision, kind };
                if self.is_due(now, &dispatch, &mut budget) {
                    self.commands.on_sent(id, epoch, revision);
                    self.sent.on_sent(now, &dispatch);
                    dispatches.push(dispatch);
                }
            }
        }
        dispatches
    }

    fn disruption_budget(&self, present: &[InstanceId]) -> DisruptionBudget {
        let mut budget = DisruptionBudget::default();
        for id in present {
            if let Some(known) = self.instances.get(*id) {
                budget.add_instance(&known.zone, self.is_unavailable(*id));
            }
        }
        budget
    }

    /// Whether a pending command is to be sent now; if so, its place in the budget is taken.
    fn is_due(&self, now: Micros, dispatch: &Dispatch, budget: &mut DisruptionBudget) -> bool {
        let Dispatch { id, epoch, revision, kind } = *dispatch;
        let sent_in = match self.commands.log().state(id, revision) {
            Some(CommandState::Sent(then) | CommandState::Unknown(then)) => Some(*then),
            Some(CommandState::Applied(_)) => Some(epoch),
            _ => None,
        };
        let Some(sent_in) = sent_in else { return self.may_send_first(dispatch, budget) };
        // A stop is for the epoch that it was sent to.
        if kind == CommandKind::Stop && sent_in < epoch {
            return false;
        }
        let lately = self.sent.was_sent_within(now, self.policy.resend_after, id, revision);
        self.commands.get(revision).is_some() && !(lately && sent_in == epoch)
    }

    /// Whether a command may be sent to an instance that was not sent it yet.
    fn may_send_first(&self, dispatch: &Dispatch, budget: &mut DisruptionBudget) -> bool {
        let (Some(command), Some(known)) =
            (self.commands.get(dispatch.revision), self.instances.get(dispatch.id))
        else {
            return false;
        };
        // Guards against taking for unavailable already, and so for free, an instance that is merely not heard: by a new owner, or as
        // its lease expired.
        let has_contact =
            known.last_contact.is_some() && self.instances.lease(dispatch.id) == LeaseState::Live;
        if !has_contact || command.halt_reason.is_some() {
            return false;
        }
        let disrupts = dispatch.kind != CommandKind::Undrain && !self.is_unavailable(dispatch.id);
        if !disrupts {
            return true;
        }
        let allowed = budget.allows(&known.zone, command.max_unavailable);
        if allowed {
            budget.take(&known.zone);
        }
        allowed
    }

    /// Whether an instance may serve nobody now, by a command or by itself.
    fn is_unavailable(&self, id: InstanceId) -> bool {
        // Guards against commands that overtake one another: a drain that was sent may be executed later than an undrain was submitted.
        // An instance that this owner has not heard yet may be unavailable by what it was sent before.
        let unheard_or_draining =
            self.instances.get(id).is_none_or(|k| k.last_contact.is_none() || k.report.draining);
        unheard_or_draining
            || self.sent.draining.contains_key(&id)
            || self.instances.lease(id) != LeaseState::Live
            || self.is_drained_by_command(id)
            || [Subject::Configuration, Subject::Process].into_iter().any(|s| self.is_executing(id, s))
    }

    fn is_drained_by_command(&self, id: InstanceId) -> bool {
        let log = self.commands.log();
        let Some((revision, state)) = log.current(id, Subject::Service) else { return false };
        let drains = log.command(revision).is_some_and(|command| command.kind == CommandKind::Drain);
        let has_no_effect = matches!(
            state,
            CommandState::Queued | CommandState::Refused(_) | CommandState::Failed { sent: false, .. }
        );
        drains && !has_no_effect
    }

    fn is_executing(&self, id: InstanceId, subject: Subject) -> bool {
        let current = self.commands.log().current(id, subject);
        current.is_some_and(|(_, state)| matches!(state, CommandState::Sent(_) | CommandState::Unknown(_)))
    }
}
