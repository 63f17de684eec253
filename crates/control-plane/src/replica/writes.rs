//! What waits for the disk.
use std::collections::BTreeMap;

use notchspool_consensus::Response;
use notchspool_mesh_protocol::{ClaimReply, HandoverReply, ReconfigReply};

use super::effect::{ConnectionId, WriteId};

/// Writes whose reporting is waited for, at most.
const MAX_PENDING: usize = 8_192;

/// What follows once a batch is on the disk.
#[derive(Clone, Debug)]
pub(super) enum PendingWrite {
    /// A granted claim is told.
    Claim(ConnectionId, Box<ClaimReply>),
    /// A response on the register of configurations leaves; `to` is `None` for one of this replica to itself.
    Vote { to: Option<ConnectionId>, number: u64, set_number: u64, response: Box<Response> },
    /// A reply on the successor of the set leaves.
    Successor { to: Option<ConnectionId>, reply: Box<ReconfigReply> },
    /// The seal of the set of this number, which is over.
    Seal(u64),
    /// The set of this number is installed with it.
    Installation(u64),
    /// What was handed over is confirmed.
    Handover(ConnectionId, HandoverReply),
}

impl PendingWrite {
    /// Whether there may be many of its kind; the others are few by themselves.
    fn is_frequent(&self) -> bool {
        matches!(self, PendingWrite::Claim(..) | PendingWrite::Vote { .. } | PendingWrite::Handover(..))
    }
}

/// Batches that are on their way to the disk.
#[derive(Debug, Default)]
pub(super) struct PendingWrites {
    pending: BTreeMap<WriteId, PendingWrite>,
    last_id: WriteId,
}

impl PendingWrites {
    /// The id of a batch that `pending` waits for; `None` where too many wait.
    pub fn add(&mut self, pending: PendingWrite) -> Option<WriteId> {
        if pending.is_frequent() && self.pending.len() >= MAX_PENDING {
            return None;
        }
        self.last_id += 1;
        self.pending.insert(self.last_id, pending);
        Some(self.last_id)
    }

    /// What waited for this batch.
    pub fn remove(&mut self, id: WriteId) -> Option<PendingWrite> {
        self.pending.remove(&id)
    }

    /// The batch that has been waiting longest.
    pub fn oldest(&self) -> Option<WriteId> {
        self.pending.first_key_value().map(|(id, _)| *id)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether anything that waits is of this kind.
    pub fn any(&self, is: impl Fn(&PendingWrite) -> bool) -> bool {
        self.pending.values().any(is)
    }
}
