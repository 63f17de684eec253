//! States on their way between voters: what this replica tells those that install a set, and what it is told to install one.
//!
//! A state of thousands of claims costs more to encode than to send. So it is encoded once for all that ask at about the same time, and
//! those that ask again meanwhile get the same bytes.
use std::collections::{BTreeMap, VecDeque};

use notchspool::units::Micros;
use notchspool_consensus::acceptor::Acceptor;
use notchspool_consensus::voter_set::VoterSet;
use notchspool_mesh_protocol::snapshot::{SnapshotReceiver, SnapshotSender};
use notchspool_mesh_protocol::{Snapshot, SnapshotChunk, SnapshotRequest, VoterState};
use notchspool_storage::MembershipRecord;

/// What was not told yet is asked for again after this, and after twice as long each time, so that a thin link is not filled with states.
const MIN_GATHER_INTERVAL: Micros = Micros::ms(100);
const MAX_GATHER_INTERVAL: Micros = Micros::ms(1_600);
/// Snapshots that are held for others who ask on.
const MAX_HELD: usize = 8;
/// A snapshot is told to others who ask for the same state within this. Claims in it seem younger by as much: they are kept longer, never
/// shorter.
const REUSE_FOR: Micros = Micros::ms(2_000);

/// What this replica had under the set before, in which it is sealed.
pub(super) struct SealedState {
    pub set: VoterSet,
    pub acceptor: Acceptor,
    pub record: MembershipRecord,
    /// The seal is on the disk: what is told from here on can't grow any more.
    pub is_on_disk: bool,
    pub is_being_written: bool,
}

/// Which of its states a replica tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StateKind {
    /// What it has in the set of this number, in which it votes.
    Installed(u64),
    /// All that it had in the set of this number, which is over.
    Sealed(u64),
}

/// A snapshot that others are being told.
struct HeldSnapshot {
    kind: StateKind,
    encoded_at: Micros,
    sender: SnapshotSender,
}

/// A snapshot that is being received.
#[derive(Debug, Default)]
pub(super) struct IncomingSnapshot {
    pub receiver: SnapshotReceiver,
    /// Bytes that were there when it was last looked after.
    last_size: usize,
}

/// How a snapshot goes on.
pub(super) enum Resumption {
    /// It goes on from what is here.
    Ask(SnapshotRequest),
    /// It goes on by itself.
    Wait,
    /// It is begun anew.
    Restart,
}

/// Whose state it is: the number of the set, and the voter's position in it.
type StateId = (u64, u32);

/// States on their way between voters.
pub(super) struct StateTransfer {
    /// Snapshots that others are being told.
    held: VecDeque<HeldSnapshot>,
    /// Snapshots that are being told here, by address.
    incoming: BTreeMap<String, IncomingSnapshot>,
    /// States that were told, of the set that is being installed and the one before.
    states: BTreeMap<StateId, VoterState>,
    next_gather_at: Micros,
    gather_interval: Micros,
    /// Since when the present set is known.
    set_known_since: Micros,
    /// What it had under the set before, until it votes in this one.
    sealed: Option<SealedState>,
}

impl StateTransfer {
    /// Nothing is on its way.
    pub fn new(now: Micros) -> StateTransfer {
        StateTransfer {
            held: VecDeque::new(),
            incoming: BTreeMap::new(),
            states: BTreeMap::new(),
            next_gather_at: now,
            gather_interval: MIN_GATHER_INTERVAL,
            set_known_since: now,
            sealed: None,
        }
    }

    /// What it had under the set before, until it votes in the present one.
    pub fn sealed(&self) -> Option<&SealedState> {
        self.sealed.as_ref()
    }

    /// The same, to be changed.
    pub fn sealed_mut(&mut self) -> Option<&mut SealedState> {
        self.sealed.as_mut()
    }

    /// Keeps or drops what it had under the set before.
    pub fn set_sealed(&mut self, sealed: Option<SealedState>) {
        self.sealed = sealed;
    }

    /// Another set is to be installed: what was told for the one before is of no use.
    pub fn on_set_changed(&mut self, now: Micros) {
        self.set_known_since = now;
        self.states.clear();
        self.incoming.clear();
        self.gather_interval = MIN_GATHER_INTERVAL;
    }

    /// The present set is installed: after how long, and whether there was a state of its own to begin with.
    pub fn on_installed(&mut self, now: Micros) -> (Micros, bool) {
        self.states.clear();
        (now - self.set_known_since, self.sealed.take().is_some())
    }

    // ---- Telling ------------------------------------------------------------------------------------------

    /// The first chunk of a snapshot of this state that is still held, if one is.
    pub fn held_state(&self, now: Micros, kind: StateKind) -> Option<SnapshotChunk> {
        let is_same = |held: &&HeldSnapshot| held.kind == kind && now - held.encoded_at <= REUSE_FOR;
        let held = self.held.iter().rev().find(is_same)?;
        Some(held.sender.chunk(&SnapshotRequest::default()))
    }

    /// Encodes and holds a snapshot of a state; the first chunk, or `None` where it is too large.
    pub fn hold(&mut self, now: Micros, kind: StateKind, snapshot: &Snapshot) -> Option<SnapshotChunk> {
        let sender = SnapshotSender::new(snapshot)?;
        let first = sender.chunk(&SnapshotRequest::default());
        self.held.push_back(HeldSnapshot { kind, encoded_at: now, sender });
        while self.held.len() > MAX_HELD {
            self.held.pop_front();
        }
        Some(first)
    }

    /// The chunk that another asks for; `None` where its snapshot is not held any more.
    pub fn chunk(&self, request: &SnapshotRequest) -> Option<SnapshotChunk> {
        let held = self.held.iter().find(|held| *held.sender.id() == request.id)?;
        Some(held.sender.chunk(request))
    }

    // ---- Being told ---------------------------------------------------------------------------------------

    /// Whether what was not told yet is to be asked for again.
    pub fn is_gather_due(&self, now: Micros) -> bool {
        now >= self.next_gather_at
    }

    /// All were asked.
    pub fn on_gathered(&mut self, now: Micros) {
        self.next_gather_at = now + self.gather_interval;
        self.gather_interval = (self.gather_interval + self.gather_interval).min(MAX_GATHER_INTERVAL);
    }

    /// How a snapshot from this address goes on.
    pub fn resume(&mut self, address: &str, is_new_connection: bool) -> Resumption {
        match self.incoming.get_mut(address).filter(|incoming| incoming.receiver.size() > 0) {
            // The connection is another one: it goes on from what is here.
            Some(incoming) if is_new_connection => Resumption::Ask(incoming.receiver.request()),
            Some(incoming) if incoming.receiver.size() > incoming.last_size => {
                incoming.last_size = incoming.receiver.size();
                Resumption::Wait
            }
            // Nothing has come of it for some time: it is begun anew.
            _ => {
                self.incoming.remove(address);
                Resumption::Restart
            }
        }
    }

    /// The snapshot that comes from this address.
    pub fn incoming(&mut self, address: &str) -> &mut IncomingSnapshot {
        self.incoming.entry(address.to_string()).or_default()
    }

    /// A snapshot has come completely.
    pub fn on_told(&mut self, address: &str, state: VoterState) {
        self.incoming.remove(address);
        self.states.insert((state.set_number, state.voter), state);
    }

    /// How many states were told.
    pub fn state_count(&self) -> usize {
        self.states.len()
    }

    /// The states of others with which a set begins: that of one that has installed it, or those of a majority of the set before, its own
    /// included. `None` while there are too few.
    pub fn states_to_install(
        &self,
        set_number: u64,
        previous: Option<&VoterSet>,
    ) -> Option<Vec<&VoterState>> {
        if let Some(installed) = self.states.values().find(|state| state.set_number == set_number) {
            return Some(vec![installed]);
        }
        let previous = previous?;
        let own_before = self.sealed.as_ref().map(|sealed| u32::from(sealed.acceptor.id.0));
        let is_other = |state: &&VoterState| {
            (state.voter as usize) < previous.members.len() && Some(state.voter) != own_before
        };
        let others: Vec<&VoterState> = self.states.values().filter(is_other).collect();
        (others.len() + usize::from(own_before.is_some()) >= previous.majority()).then_some(others)
    }
}
