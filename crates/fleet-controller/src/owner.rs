//! What a node holds while it owns the fleet's commands: their controller, and the effects that wait until a write is with a majority.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_command_controller::{Controller, Dispatch};
use notchspool_commands::InstanceId;
use notchspool_fleet_protocol::Body;

use crate::messages::{ConnectionId, ReplyTo};

/// What waits until a write is with a majority.
pub enum PendingEffect {
    /// An answer.
    Reply(ReplyTo, Body),
    /// A command to an agent.
    Dispatch(Dispatch),
}

/// Effects in the order of the writes that they wait for.
#[derive(Default)]
pub struct PendingEffects {
    /// They wait for the next write.
    pub(crate) next: Vec<PendingEffect>,
    pub(crate) by_write: BTreeMap<u64, Vec<PendingEffect>>,
}

impl PendingEffects {
    /// Answers once the next write is with a majority.
    pub(crate) fn reply_after_write(&mut self, to: ReplyTo, body: Body) {
        self.next.push(PendingEffect::Reply(to, body));
    }

    /// A write is with a majority, and with it all before: what waited for them.
    pub fn on_committed(&mut self, write: u64) -> Vec<PendingEffect> {
        let later = self.by_write.split_off(&(write + 1));
        std::mem::replace(&mut self.by_write, later).into_values().flatten().collect()
    }

    /// Nothing is to be written: what may leave now. Where another write is under way the effects wait for it, since an answer must not
    /// overtake what it stands on.
    pub(crate) fn without_write(&mut self, effects: Vec<PendingEffect>) -> Vec<PendingEffect> {
        match self.by_write.last_entry() {
            Some(mut last) => {
                last.get_mut().extend(effects);
                Vec::new()
            }
            None => effects,
        }
    }

    /// All that waits, in order.
    pub fn into_all(self) -> impl Iterator<Item = PendingEffect> {
        self.by_write.into_values().flatten().chain(self.next)
    }
}

/// The commands of the fleet, and who waits for what.
pub struct Owner {
    /// The commands.
    pub controller: Controller,
    /// When time passed for it last.
    pub last_tick: Micros,
    /// What waits for writes.
    pub pending: PendingEffects,
    /// On which connection an instance is reached.
    pub(crate) connections: BTreeMap<InstanceId, ConnectionId>,
}

impl Owner {
    /// An owner from now on.
    pub fn new(controller: Controller, now: Micros) -> Owner {
        Owner { controller, last_tick: now, pending: PendingEffects::default(), connections: BTreeMap::new() }
    }

    /// Instances are not reached by this connection any more.
    pub fn on_connection_closed(&mut self, closed: ConnectionId) {
        self.connections.retain(|_, connection| *connection != closed);
    }
}
