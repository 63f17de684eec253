//! What operators are shown.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_commands::command_log::CommandState;
use notchspool_commands::{InstanceId, Revision, Subject};
use notchspool_fleet_protocol::{CommandStatus, InstanceStatus, LeaseStatus, ServiceCommand};
use notchspool_leases::lease_table::LeaseState;

use crate::Controller;
use crate::instances::KnownInstance;

impl Controller {
    /// All instances.
    pub fn instances(&self, now: Micros) -> Vec<InstanceStatus> {
        self.instances.iter().map(|(id, known)| self.instance_status(now, id, known)).collect()
    }

    fn instance_status(&self, now: Micros, id: InstanceId, known: &KnownInstance) -> InstanceStatus {
        InstanceStatus {
            id,
            name: known.name.clone(),
            zone: known.zone.clone(),
            epoch: self.instances.epoch(id).unwrap_or_default(),
            lease: match self.instances.lease(id) {
                LeaseState::Live => LeaseStatus::Live,
                LeaseState::Held(_) => LeaseStatus::Held,
                LeaseState::Gone(_) => LeaseStatus::Gone,
            },
            last_contact_us: known.last_contact.map(|at| (now - at).0),
            report: known.report.clone(),
            service: self.service_command(id),
        }
    }

    fn service_command(&self, id: InstanceId) -> Option<ServiceCommand> {
        let (revision, state) = self.commands.log().current(id, Subject::Service)?;
        let kind = self.commands.log().command(revision)?.kind;
        Some(ServiceCommand { revision, kind, state: state.clone() })
    }

    /// A command with its state at each instance.
    pub fn command(&self, now: Micros, revision: Revision) -> Option<CommandStatus> {
        let mut status = self.command_summary(now, revision)?;
        let named = |(id, state): (InstanceId, CommandState)| {
            let name = self.instances.get(id)?.name.clone();
            Some((name, state))
        };
        status.states = self.commands.log().states(revision).into_iter().filter_map(named).collect();
        Some(status)
    }

    /// The last `last` commands, the oldest first, without their states.
    pub fn last_commands(&self, now: Micros, last: usize) -> Vec<CommandStatus> {
        let mut all: Vec<Revision> = self.commands.log().revisions().collect();
        let all = all.split_off(all.len().saturating_sub(last));
        all.into_iter().filter_map(|revision| self.command_summary(now, revision)).collect()
    }

    fn command_summary(&self, now: Micros, revision: Revision) -> Option<CommandStatus> {
        let log = self.commands.log();
        let (command, accepted) = (log.command(revision)?, self.commands.get(revision)?);
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for (_, state) in log.states(revision) {
            *counts.entry(state_name(&state).to_owned()).or_default() += 1;
        }
        Some(CommandStatus {
            revision,
            id: accepted.id.clone(),
            author: command.author.clone(),
            kind: command.kind,
            max_unavailable: accepted.max_unavailable,
            left_us: (Micros(command.deadline) - now).0,
            halt_reason: accepted.halt_reason.clone(),
            counts,
            states: Vec::new(),
        })
    }
}

/// The name of a state as operators see it.
pub fn state_name(state: &CommandState) -> &'static str {
    match state {
        CommandState::Queued => "queued",
        CommandState::Sent(_) => "told",
        CommandState::Unknown(_) => "unknown",
        CommandState::Applied(_) => "applied",
        CommandState::Refused(_) => "refused",
        CommandState::Failed { late: Some(_), .. } => "late",
        CommandState::Failed { sent: true, .. } => "failed",
        CommandState::Failed { sent: false, .. } => "not-told",
        CommandState::Superseded(_) => "overtaken",
    }
}
