//! A node's side as the owner: answers to agents and operators, and writes before them.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_command_controller::Dispatch;
use notchspool_command_controller::instances::RegistrationRequest;
use notchspool_commands::{Epoch, InstanceId};
use notchspool_consensus::lease_owner::Effects;
use notchspool_fleet_protocol::{Body, CommandRequest, InstanceReport, LeaseStatus};
use notchspool_leases::lease_table::Renewal;

use crate::messages::{JOB, ReplyTo};
use crate::node::ControllerNode;
use crate::owner::PendingEffect;

/// Number of a message that answers none.
const UNSOLICITED: u64 = 0;
/// The longest list of commands.
const MAX_LISTED_COMMANDS: usize = 1000;

impl ControllerNode {
    /// A message that only the owner answers.
    pub(crate) fn on_owner_message(&mut self, now: Micros, reply_to: ReplyTo, from: &str, body: Body) {
        let Some(owner) = &mut self.owner else { return };
        let controller = &mut owner.controller;
        match body {
            Body::Register { zone, boot_id, report } => {
                let request = RegistrationRequest { name: from, zone: &zone, boot_id, report };
                self.on_register(now, reply_to, request);
            }
            Body::Renew { id, epoch, report } => self.on_renew(now, reply_to, id, epoch, report),
            Body::Executed { id, epoch, revision, outcome } => {
                if !controller.on_outcome(id, epoch, revision, &outcome) {
                    log::debug!("{from}: {revision:?} in {epoch:?}: {outcome:?} changes nothing");
                }
            }
            Body::Leave { id, epoch } => {
                controller.leave(now, id, epoch);
            }
            Body::SubmitCommand(request) => self.on_submit(now, reply_to, from, &request),
            Body::ListInstances => {
                let (token, instances) = (controller.token(), controller.instances(now));
                let guarded = instances.iter().any(|instance| instance.lease == LeaseStatus::Held);
                self.reply(reply_to, Body::Instances { token, instances, guarded });
            }
            Body::ListCommands { last } => {
                let commands = controller.last_commands(now, last.min(MAX_LISTED_COMMANDS));
                self.reply(reply_to, Body::Commands { commands });
            }
            Body::GetCommand { revision } => {
                let commands = controller.command(now, revision).into_iter().collect();
                self.reply(reply_to, Body::Commands { commands });
            }
            Body::ReleaseOwnership => {
                let jitter = self.rng.rand_float();
                let effects = self.contender.release(now, jitter);
                self.apply(effects);
                self.reply(reply_to, Body::OwnershipReleased);
            }
            other => {
                log::debug!("{from}: {other:?} is nothing that a keeper is asked");
                self.reply(reply_to, Body::Rejected { reason: "this is not asked of a keeper".into() });
            }
        }
    }

    fn on_register(&mut self, now: Micros, reply_to: ReplyTo, request: RegistrationRequest<'_>) {
        let Some(owner) = &mut self.owner else { return };
        let token = owner.controller.token();
        match owner.controller.register(now, request) {
            Ok(registration) => {
                owner.connections.insert(registration.id, reply_to.connection);
                let answer = Body::Registered {
                    id: registration.id,
                    epoch: registration.epoch,
                    token,
                    renew_in_us: registration.renew_in.0,
                };
                owner.pending.reply_after_write(reply_to, answer);
            }
            Err(wait) => self.reply(reply_to, Body::RetryLater { after_us: wait.0 }),
        }
    }

    fn on_renew(
        &mut self,
        now: Micros,
        reply_to: ReplyTo,
        id: InstanceId,
        epoch: Epoch,
        report: InstanceReport,
    ) {
        let Some(owner) = &mut self.owner else { return };
        let answer = match owner.controller.renew(now, id, epoch, report) {
            Renewal::Renewed { renew_in, .. } => {
                owner.connections.insert(id, reply_to.connection);
                Body::Renewed { token: owner.controller.token(), renew_in_us: renew_in.0 }
            }
            Renewal::Fenced(_) => Body::LeaseLost { fenced: true },
            Renewal::Unknown => Body::LeaseLost { fenced: false },
            Renewal::RetryAfter(wait) => Body::RetryLater { after_us: wait.0 },
        };
        self.reply(reply_to, answer);
    }

    fn on_submit(&mut self, now: Micros, reply_to: ReplyTo, from: &str, request: &CommandRequest) {
        let Some(owner) = &mut self.owner else { return };
        match owner.controller.submit(now, request) {
            Ok(accepted) => {
                let (revision, targets) = (accepted.revision, accepted.targets);
                log::info!("{from}: {:?} for {targets}: revision {}", request.kind, revision.0);
                owner.pending.reply_after_write(reply_to, Body::CommandAccepted { revision, targets });
            }
            Err(error) => self.reply(reply_to, Body::Rejected { reason: error.to_string() }),
        }
    }

    /// Time passes for the commands at each `tick`; what they want written is written, and what they want sent waits for that.
    pub(crate) fn advance_owner(&mut self, now: Micros, tick: Micros) {
        let Some(owner) = &mut self.owner else { return };
        if now - owner.last_tick >= tick {
            owner.last_tick = now;
            owner.controller.tick(now);
        }
        let flush = owner.controller.flush(now);
        let mut effects = std::mem::take(&mut owner.pending.next);
        effects.extend(flush.dispatches.into_iter().map(PendingEffect::Dispatch));
        if flush.writes.is_empty() {
            let free = owner.pending.without_write(effects);
            free.into_iter().for_each(|effect| self.carry_out(effect));
            return;
        }
        self.write(now, flush.writes, effects);
    }

    fn write(&mut self, now: Micros, writes: BTreeMap<String, String>, effects: Vec<PendingEffect>) {
        self.pass_pause_point("write");
        let mut wanted = Effects::default();
        let write = self.contender.write(now, writes, &mut wanted);
        let Some(owner) = &mut self.owner else { return };
        match write {
            Some(write) => {
                owner.pending.by_write.entry(write).or_default().extend(effects);
                self.apply(wanted);
            }
            None => {
                owner.pending.next = effects;
                self.on_ownership_lost();
            }
        }
    }

    /// What an effect waited for is with a majority.
    pub(crate) fn carry_out(&mut self, effect: PendingEffect) {
        match effect {
            PendingEffect::Reply(to, body) => {
                self.pass_pause_point("reply");
                self.reply(to, body);
            }
            PendingEffect::Dispatch(dispatch) => self.dispatch(&dispatch),
        }
    }

    /// Sends a command to its agent, if it is connected here.
    fn dispatch(&mut self, dispatch: &Dispatch) {
        // Checked for each one: the lease may expire between two of them.
        let Some(token) = self.contender.owns(self.now()) else { return };
        self.pass_pause_point("send-order");
        let connection = self.owner.as_ref().and_then(|owner| owner.connections.get(&dispatch.id).copied());
        if let Some(connection) = connection {
            let Dispatch { epoch, revision, kind, .. } = *dispatch;
            let reply_to = ReplyTo { connection, number: UNSOLICITED };
            self.reply(reply_to, Body::Execute { token, job: JOB.into(), epoch, revision, kind });
        }
    }
}
