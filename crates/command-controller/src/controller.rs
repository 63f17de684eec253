//! The coordinator: it takes events and passes them on to the parts, and gives back what is to be written and sent.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_commands::{Epoch, InstanceId, Outcome, Revision};
use notchspool_consensus::Token;
use notchspool_fleet_protocol::{CommandRequest, InstanceReport};
use notchspool_leases::lease_table::{LeasePolicy, Registration, Renewal};

use crate::commands::{Accepted, CommandTable, RejectedCommand, rejection};
use crate::dispatch::{Dispatch, SentCommands};
use crate::instances::{InstanceTable, RegistrationRequest};
use crate::records::{self, FleetHead, InstanceRecord, RegisterKey};
use crate::traffic::Traffic;

/// What an operator fixes for a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Of the instances' leases.
    pub leases: LeasePolicy,
    /// The largest fraction of a zone and of the fleet that may be unavailable at once, where a command does not say.
    pub max_unavailable: f64,
    /// Commands that are kept, those that are final everywhere.
    pub retained_commands: usize,
    /// A command without an outcome is sent again after this.
    pub resend_after: Micros,
}

/// What is to be done after events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Flush {
    /// Registers to be written, in one write.
    pub writes: BTreeMap<String, String>,
    /// To be sent once that write is with a majority; at once where there is nothing to write.
    pub dispatches: Vec<Dispatch>,
}

/// The owner's state; see the package.
pub struct Controller {
    pub(crate) policy: Policy,
    token: Token,
    pub(crate) instances: InstanceTable,
    pub(crate) commands: CommandTable,
    pub(crate) sent: SentCommands,
    pub(crate) traffic: Traffic,
    head: FleetHead,
    /// Something has happened after which something may have to be sent.
    dispatch_due: bool,
    unreadable: Vec<String>,
}

impl Controller {
    /// A controller with what the registers hold, from the moment it owns under this token.
    pub fn open(
        policy: Policy,
        token: Token,
        entries: &BTreeMap<String, String>,
        seed: u64,
        now: Micros,
    ) -> Controller {
        let head: FleetHead = entries
            .get(&RegisterKey::Head.to_string())
            .and_then(|text| records::decode(text))
            .unwrap_or_default();
        let mut controller = Controller {
            policy,
            token,
            instances: InstanceTable::new(policy.leases, head.epoch, seed, now),
            commands: CommandTable::default(),
            sent: SentCommands::default(),
            traffic: Traffic::default(),
            head,
            dispatch_due: true,
            unreadable: Vec::new(),
        };
        for (key, text) in entries {
            if controller.restore(now, key, text).is_none() {
                controller.unreadable.push(key.clone());
            }
        }
        controller
    }

    /// Nothing where the register can't be read.
    fn restore(&mut self, now: Micros, key: &str, text: &str) -> Option<()> {
        match RegisterKey::parse(key)? {
            RegisterKey::Head => {}
            RegisterKey::Instances(_) => {
                let records: Vec<InstanceRecord> = records::decode(text)?;
                records.into_iter().for_each(|record| self.instances.restore(now, record));
            }
            RegisterKey::Command(slot) => {
                self.commands.restore(now, self.head.revision, slot, records::decode(text)?);
            }
        }
        Some(())
    }

    /// The token under which this controller owns.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Keys of registers that could not be read when it was opened.
    pub fn unreadable(&self) -> &[String] {
        &self.unreadable
    }

    /// Deadlines by this owner's clock of commands that it saw written before it owned: a change of owners puts them off no more. An
    /// owner that saw nothing counts from what was left when the command was written last.
    pub fn shorten_deadlines(&mut self, deadlines: &BTreeMap<Revision, Micros>) {
        self.commands.shorten_deadlines(deadlines);
    }

    /// How many instances are known.
    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }

    /// An instance has started. It may be answered once what is written with it is with a majority. The same boot id registered again
    /// has the same epoch.
    ///
    /// # Errors
    ///
    /// There is no room for it now; after how long it may come again.
    pub fn register(
        &mut self,
        now: Micros,
        request: RegistrationRequest<'_>,
    ) -> Result<Registration, Micros> {
        if let Some(registration) = self.instances.repeat_registration(now, &request) {
            self.on_report(now, registration.id, request.report);
            return Ok(registration);
        }
        let registration = self.instances.register(now, request)?;
        self.commands.on_contact_lost(registration.id);
        self.sent.on_new_epoch(registration.id);
        self.commands.mark_open_unwritten();
        self.head.epoch = registration.epoch;
        self.dispatch_due = true;
        Ok(registration)
    }

    /// An instance renews its lease.
    pub fn renew(&mut self, now: Micros, id: InstanceId, epoch: Epoch, report: InstanceReport) -> Renewal {
        let renewal = self.instances.renew(now, id, epoch);
        if let Renewal::Renewed { .. } = renewal {
            self.on_report(now, id, report);
        }
        renewal
    }

    fn on_report(&mut self, now: Micros, id: InstanceId, report: InstanceReport) {
        if let Some(more) = self.instances.on_report(now, id, report) {
            self.traffic.add(more);
        }
        self.dispatch_due = true;
    }

    /// An instance leaves. Returns whether this was its present epoch.
    pub fn leave(&mut self, now: Micros, id: InstanceId, epoch: Epoch) -> bool {
        self.dispatch_due = true;
        self.instances.leave(now, id, epoch)
    }

    /// Accepts a command; to be acknowledged once what is written with it is with a majority. Submitted again under its id it is the
    /// same command.
    ///
    /// # Errors
    ///
    /// See [`RejectedCommand`].
    pub fn submit(&mut self, now: Micros, request: &CommandRequest) -> Result<Accepted, RejectedCommand> {
        if let Some(accepted) = self.commands.find(&request.id) {
            return Ok(accepted);
        }
        if self.commands.len() >= self.policy.retained_commands * 2 {
            return Err(RejectedCommand::TooManyOpen);
        }
        let targets = self.targets(request);
        let max_unavailable = request.max_unavailable.unwrap_or(self.policy.max_unavailable);
        let accepted = self
            .commands
            .submit(now, request, &targets, max_unavailable, &self.traffic)
            .map_err(|error| rejection(error, |id| Some(self.instances.get(id)?.name.as_str())))?;
        self.head.revision = accepted.revision;
        self.dispatch_due = true;
        Ok(accepted)
    }

    fn targets(&self, request: &CommandRequest) -> BTreeSet<InstanceId> {
        let selected = self.instances.iter().filter(|(id, known)| {
            self.instances.is_present(*id) && request.targets.matches(&known.name, &known.zone)
        });
        selected.map(|(id, _)| id).collect()
    }

    /// An instance reports an outcome. Returns whether it counted.
    pub fn on_outcome(
        &mut self,
        id: InstanceId,
        epoch: Epoch,
        revision: Revision,
        outcome: &Outcome,
    ) -> bool {
        let Some(present) = self.instances.epoch(id) else { return false };
        let counted = self.commands.on_outcome(id, epoch, present, revision, outcome);
        let kind = self.commands.log().command(revision).map(|command| command.kind);
        self.sent.on_outcome(id, revision, kind, outcome);
        if counted {
            self.sent.on_answered(id, revision);
            self.dispatch_due = true;
        }
        counted
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        self.commands.mark_open_unwritten();
        let expired = self.instances.tick(now);
        for id in &expired {
            self.commands.on_contact_lost(*id);
        }
        self.dispatch_due |= !expired.is_empty();
        for id in self.instances.forget_removed() {
            self.sent.on_new_epoch(id);
            self.commands.remove_instance(id);
        }
        self.commands.tick(now, self.policy.retained_commands);
    }

    /// What is to be written and sent after the events since the last call.
    pub fn flush(&mut self, now: Micros) -> Flush {
        let dispatch_due = std::mem::take(&mut self.dispatch_due) || !self.sent.is_empty();
        let dispatches = if dispatch_due { self.dispatch(now) } else { Vec::new() };
        let mut writes = self.instances.take_writes();
        writes.extend(self.commands.take_writes(now));
        if !writes.is_empty() {
            writes.insert(RegisterKey::Head.to_string(), records::encode(&self.head));
        }
        self.sent.prune(&self.commands, &self.instances);
        Flush { writes, dispatches }
    }
}
