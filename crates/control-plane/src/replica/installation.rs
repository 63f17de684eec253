//! How a set is installed by one that has to vote in it, and what others are told for that.
//!
//! A member of set n votes in it once it has, on its disk as one unit, the merged states of a majority of set n - 1, each sealed on its
//! disk; or the state of a member that has installed n.
use std::collections::{BTreeMap, VecDeque};

use notchspool::units::Micros;
use notchspool_consensus::acceptor::Acceptor;
use notchspool_consensus::voter_set::{SuccessorRegister, VoterSet};
use notchspool_consensus::{Ballot, Entry};
use notchspool_idempotency::claim_table::ClaimTable;
use notchspool_mesh_protocol::snapshot::{Progress, SnapshotReceiver, SnapshotSender};
use notchspool_mesh_protocol::{
    Claim, Payload, Snapshot, SnapshotChunk, SnapshotRequest, StateRequest, VoterState,
};
use notchspool_storage::{MembershipRecord, WriteOp};

use super::effect::ConnectionId;
use super::voting::{self, VotingState};
use super::writes::PendingWrite;
use super::{Counters, Replica};
use crate::wire;

/// What was not told yet is asked for again after this, and after twice as long each time, so that a thin link is not filled with states.
const MIN_GATHER_INTERVAL: Micros = Micros::ms(100);
const MAX_GATHER_INTERVAL: Micros = Micros::ms(1_600);
/// Snapshots that are held for others who ask on.
const MAX_SENDERS: usize = 8;

/// What this replica had under the set before, in which it is sealed.
pub(super) struct SealedState {
    pub set: VoterSet,
    pub acceptor: Acceptor,
    pub record: MembershipRecord,
    /// The seal is on the disk: what is told from here on can't grow any more.
    pub is_on_disk: bool,
    pub is_being_written: bool,
}

/// A snapshot that is being received.
#[derive(Debug, Default)]
struct IncomingSnapshot {
    receiver: SnapshotReceiver,
    /// Bytes that were there when it was last looked after.
    last_size: usize,
}

/// Whose state it is: the number of the set, and the voter's position in it.
type StateId = (u64, u32);

/// States on their way between voters.
pub(super) struct StateTransfer {
    /// Snapshots that others are being told.
    senders: VecDeque<SnapshotSender>,
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
            senders: VecDeque::new(),
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

    /// How many states were told.
    pub fn state_count(&self) -> usize {
        self.states.len()
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

    fn on_gathered(&mut self, now: Micros) {
        self.next_gather_at = now + self.gather_interval;
        self.gather_interval = (self.gather_interval + self.gather_interval).min(MAX_GATHER_INTERVAL);
    }

    /// What to ask for, where a snapshot from this address has begun to come: `None` while it goes on by itself.
    fn resume_request(&mut self, address: &str, is_new_connection: bool) -> Resumption {
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

    /// The state of another voter that has installed the set of this number.
    fn installed_state(&self, set_number: u64) -> Option<&VoterState> {
        self.states.values().find(|state| state.set_number == set_number)
    }

    /// Holds a snapshot for its receiver; the first chunk, or `None` where it is too large.
    fn begin_sending(&mut self, snapshot: &Snapshot) -> Option<SnapshotChunk> {
        let sender = SnapshotSender::new(snapshot)?;
        let first = sender.chunk(&SnapshotRequest::default());
        self.senders.push_back(sender);
        while self.senders.len() > MAX_SENDERS {
            self.senders.pop_front();
        }
        Some(first)
    }
}

/// How a snapshot goes on.
enum Resumption {
    Ask(SnapshotRequest),
    Wait,
    Restart,
}

/// What the states of several voters add up to.
struct MergedState {
    promised: Ballot,
    accepted: Option<Entry>,
    claims: ClaimTable,
}

impl MergedState {
    fn new(claims: ClaimTable) -> MergedState {
        MergedState { promised: Ballot::default(), accepted: None, claims }
    }

    fn merge(&mut self, now: Micros, state: &VoterState) {
        let accepted_ballot = wire::ballot_from_message(state.accepted_ballot);
        let promised = wire::ballot_from_message(state.promised);
        self.promised = self.promised.max(promised).max(accepted_ballot);
        if let Some(body) = &state.body
            && self.accepted.as_ref().is_none_or(|entry| entry.ballot < accepted_ballot)
        {
            self.accepted = Some(Entry { ballot: accepted_ballot, sequence: 1, value: body.clone() });
        }
        for claim in &state.claims {
            // Two tickets for one key, told by two: either may have run, so both stand.
            self.claims.insert(now, claim);
        }
    }
}

impl Replica {
    // ---- The seal -----------------------------------------------------------------------------------------

    /// The seal of the set that is over goes to the disk, until it is there.
    pub(super) fn write_seal(&mut self) {
        let sealed = self.transfer.sealed.as_mut();
        let is_due = |sealed: &&mut SealedState| !sealed.is_on_disk && !sealed.is_being_written;
        let Some(sealed) = sealed.filter(is_due) else { return };
        sealed.is_being_written = true;
        let (number, record) = (sealed.set.number, sealed.record.clone());
        self.write(PendingWrite::Seal(number), vec![WriteOp::Membership(record)]);
    }

    pub(super) fn on_seal_written(&mut self, now: Micros, set_number: u64, written: bool) {
        let sealed = self.transfer.sealed.as_mut();
        if let Some(sealed) = sealed.filter(|sealed| sealed.set.number == set_number) {
            sealed.is_on_disk = written;
            sealed.is_being_written = false;
            self.install(now);
        }
    }

    // ---- Asking for states --------------------------------------------------------------------------------

    /// Time has passed for a set that is being installed, or one that others install.
    pub(super) fn tick_installation(&mut self, now: Micros) {
        self.write_seal();
        let is_first_set = self.membership.set.number == 1;
        if is_first_set && matches!(self.voting, VotingState::Persisting(_)) && self.writes.is_empty() {
            // The first set of all, which nobody can tell, and a disk that refused it.
            self.write_membership(PendingWrite::Installation(self.membership.set.number));
        }
        if now >= self.transfer.next_gather_at {
            self.gather_state(now);
        }
        let is_spare = matches!(self.voting, VotingState::Spare);
        if is_spare && self.peers.majority_votes_in(&self.membership.set) {
            // A majority has what this one had by now.
            self.transfer.sealed = None;
        }
    }

    /// Asks all who may have it for what was decided so far.
    pub(super) fn gather_state(&mut self, now: Micros) {
        if !matches!(self.voting, VotingState::Installing) {
            return;
        }
        self.transfer.on_gathered(now);
        let outgoing = self.connections.outgoing();
        let targets: Vec<(ConnectionId, String)> =
            outgoing.map(|(id, address)| (id, address.clone())).collect();
        for (connection, address) in targets {
            self.request_state(connection, &address, false);
        }
        self.install(now);
    }

    /// Asks one that has just been reached.
    pub(super) fn gather_state_from(&mut self, now: Micros, connection: ConnectionId) {
        if !matches!(self.voting, VotingState::Installing) {
            return;
        }
        if let Some(address) = self.connections.outgoing_address(connection).cloned() {
            self.request_state(connection, &address, true);
        }
        self.install(now);
    }

    fn request_state(&mut self, connection: ConnectionId, address: &str, is_new_connection: bool) {
        if !self.membership.is_in_known_sets(address) {
            return;
        }
        match self.transfer.resume_request(address, is_new_connection) {
            Resumption::Ask(request) => self.outbox.send(connection, Payload::SnapshotRequest(request)),
            Resumption::Wait => {}
            Resumption::Restart => {
                let set = Some(wire::set_to_message(&self.membership.set));
                let previous = self.membership.previous.as_ref().map(wire::set_to_message);
                self.outbox.send(connection, Payload::StateRequest(StateRequest { set, previous }));
            }
        }
    }

    // ---- Telling states -----------------------------------------------------------------------------------

    /// Another has to install a set.
    pub(super) fn on_state_request(&mut self, now: Micros, connection: ConnectionId, request: StateRequest) {
        let Some(set) = request.set.and_then(wire::set_from_message) else { return };
        let number = set.number;
        self.counters.states_requested += 1;
        self.learn_set(now, set, request.previous.and_then(wire::set_from_message));
        if number < self.membership.set.number {
            self.on_other_set(connection, number);
        } else if let VotingState::Voting(acceptor) = &self.voting {
            let state = self.voter_state(now, acceptor, number);
            self.send_state(connection, state);
        } else if let Some(sealed) = self.transfer.sealed.as_ref().filter(|sealed| sealed.is_on_disk) {
            let state = self.voter_state(now, &sealed.acceptor, sealed.set.number);
            self.send_state(connection, state);
        }
    }

    /// All that a voter has under a set.
    pub(super) fn voter_state(&self, now: Micros, acceptor: &Acceptor, set_number: u64) -> VoterState {
        let accepted = voting::accepted_entry(acceptor);
        let promised = voting::promised_ballot(acceptor).unwrap_or_default();
        VoterState {
            voter: u32::from(acceptor.id.0),
            set_number,
            promised: wire::ballot_to_message(promised),
            accepted_ballot: accepted.and_then(|entry| wire::ballot_to_message(entry.ballot)),
            body: accepted.map(|entry| entry.value.clone()),
            claims: self.claims.table().all(now),
        }
    }

    /// Sends a state as a snapshot: the first chunk, the others as they are asked for.
    fn send_state(&mut self, connection: ConnectionId, state: VoterState) {
        let VoterState { voter, set_number, promised, accepted_ballot, body, claims } = state;
        let snapshot =
            Snapshot { set_number, promised, accepted_ballot, body, claims, voter, ..Snapshot::default() };
        self.counters.states_encoded += 1;
        match self.transfer.begin_sending(&snapshot) {
            Some(first) => self.outbox.send(connection, Payload::SnapshotChunk(first)),
            None => self.outbox.log("members: what it has is too large to be told"),
        }
    }

    /// Another asks on, on whatever connection. Of a snapshot that is not held any more it hears nothing, and begins anew.
    pub(super) fn on_snapshot_request(&mut self, connection: ConnectionId, request: &SnapshotRequest) {
        match self.transfer.senders.iter().find(|sender| *sender.id() == request.id) {
            Some(sender) => {
                self.outbox.send(connection, Payload::SnapshotChunk(sender.chunk(request)));
            }
            None => self.counters.messages_dropped += 1,
        }
    }

    // ---- Being told ---------------------------------------------------------------------------------------

    /// A part of what another has.
    pub(super) fn on_snapshot_chunk(&mut self, now: Micros, connection: ConnectionId, chunk: SnapshotChunk) {
        let is_installing = matches!(self.voting, VotingState::Installing);
        let address = self.connections.outgoing_address(connection).filter(|_| is_installing);
        let Some(address) = address.cloned() else { return };
        let incoming = self.transfer.incoming.entry(address.clone()).or_default();
        match incoming.receiver.on_chunk(chunk) {
            Progress::Continue(request) => {
                self.outbox.send(connection, Payload::SnapshotRequest(request));
            }
            Progress::Complete(snapshot) => {
                self.transfer.incoming.remove(&address);
                let Snapshot { set_number, promised, accepted_ballot, body, claims, voter, .. } = *snapshot;
                let state = VoterState { voter, set_number, promised, accepted_ballot, body, claims };
                self.on_state(now, state);
            }
            Progress::Rejected(_) => {
                self.counters.messages_dropped += 1;
                self.transfer.incoming.remove(&address);
            }
        }
    }

    /// Another has told what it has.
    fn on_state(&mut self, now: Micros, state: VoterState) {
        let number = self.membership.set.number;
        let is_of_use = state.set_number == number || state.set_number + 1 == number;
        if !matches!(self.voting, VotingState::Installing) || !is_of_use {
            return;
        }
        self.transfer.states.insert((state.set_number, state.voter), state);
        self.install(now);
    }

    // ---- Installing ---------------------------------------------------------------------------------------

    /// Installs the set once enough is told.
    fn install(&mut self, now: Micros) {
        let is_installing = matches!(self.voting, VotingState::Installing);
        let Some(position) = self.own_position().filter(|_| is_installing) else { return };
        let Some(states) = self.states_to_install(now) else { return };
        let batch = self.install_states(now, position, &states);
        self.write(PendingWrite::Installation(self.membership.set.number), batch);
    }

    /// The states that the set begins with: that of one that has installed it, or those of a majority of the set before. `None` while
    /// there are too few.
    fn states_to_install(&self, now: Micros) -> Option<Vec<VoterState>> {
        let sealed = self.transfer.sealed.as_ref();
        if sealed.is_some_and(|sealed| !sealed.is_on_disk) {
            return None;
        }
        let own = sealed.map(|sealed| self.voter_state(now, &sealed.acceptor, sealed.set.number));
        let mut states: Vec<VoterState> = own.into_iter().collect();
        if let Some(installed) = self.transfer.installed_state(self.membership.set.number) {
            states.push(installed.clone());
            return Some(states);
        }
        let previous = self.membership.previous.as_ref()?;
        let own_before = sealed.map(|sealed| u32::from(sealed.acceptor.id.0));
        let is_other = |state: &&VoterState| {
            (state.voter as usize) < previous.members.len() && Some(state.voter) != own_before
        };
        states.extend(self.transfer.states.values().filter(is_other).cloned());
        (states.len() >= previous.majority()).then_some(states)
    }

    /// The one place where a set's state comes into being here: in memory, and as what goes to the disk.
    fn install_states(&mut self, now: Micros, position: usize, states: &[VoterState]) -> Vec<WriteOp> {
        let mut merged = MergedState::new(self.claims.empty_table());
        states.iter().for_each(|state| merged.merge(now, state));
        for (key, ticket) in self.claims.withdrawn() {
            merged.claims.withdraw(key, *ticket);
        }
        let mut batch = self.withdrawals_to_write(now, &merged.claims);
        self.membership.register = SuccessorRegister::default();
        if self.transfer.sealed.is_some() {
            batch.extend(self.changes_to_write(now, &merged));
        } else {
            // What an older set left here, under which others have decided since, must not come back: all of it is replaced, or nothing.
            batch.push(WriteOp::InstallSnapshot(Box::new(self.snapshot_to_write(now, position, &merged))));
        }
        let parameters = voting::parameters(self.membership.set.members.len());
        let MergedState { promised, accepted, claims } = merged;
        self.claims.replace_table(claims);
        let acceptor = voting::open_acceptor(position, parameters, promised, accepted, now);
        self.voting = VotingState::Persisting(Box::new(acceptor));
        batch
    }

    /// Claims that are on the disk and not in the set's state any more.
    fn withdrawals_to_write(&self, now: Micros, merged: &ClaimTable) -> Vec<WriteOp> {
        let known = self.claims.table().all(now).into_iter();
        let known = known.map(|claim| (claim.key, claim.ticket.unwrap_or_default()));
        let withdrawn = self.claims.withdrawn().iter().cloned().chain(known);
        let gone = withdrawn.filter(|(key, ticket)| !merged.contains(key, *ticket));
        gone.map(|(key, ticket)| WriteOp::WithdrawClaim(key, ticket)).collect()
    }

    /// It goes on, and has most of the state on its disk: what comes on top is a history of the set before until the membership is there.
    fn changes_to_write(&self, now: Micros, merged: &MergedState) -> Vec<WriteOp> {
        let table = self.claims.table();
        let is_new = |claim: &Claim| !table.contains(&claim.key, claim.ticket.unwrap_or_default());
        let new_claims = merged.claims.all(now).into_iter().filter(is_new);
        let mut batch: Vec<WriteOp> = new_claims.map(WriteOp::Claim).collect();
        if let Some(entry) = &merged.accepted {
            batch.push(WriteOp::Accept { version: voting::version_of(entry), entry: entry.clone() });
        }
        batch.push(WriteOp::Promise(merged.promised));
        batch.push(WriteOp::Membership(self.membership.record()));
        batch
    }

    fn snapshot_to_write(&self, now: Micros, position: usize, merged: &MergedState) -> Snapshot {
        let accepted = merged.accepted.as_ref();
        Snapshot {
            set_number: self.membership.set.number,
            membership: serde_json::to_vec(&self.membership.record()).unwrap_or_default().into(),
            promised: wire::ballot_to_message(merged.promised),
            accepted_ballot: accepted.and_then(|entry| wire::ballot_to_message(entry.ballot)),
            body: accepted.map(|entry| entry.value.clone()),
            claims: merged.claims.all(now),
            voter: position as u32,
        }
    }

    /// The disk has the set, or could not take it.
    pub(super) fn on_installation_written(&mut self, now: Micros, set_number: u64, written: bool) {
        if set_number != self.membership.set.number {
            return;
        }
        let is_first_set =
            set_number == 1 && self.membership.previous.is_none() && self.membership.incarnation == 0;
        let before = std::mem::replace(&mut self.voting, VotingState::Unknown);
        let is_installed_now = written && matches!(before, VotingState::Persisting(_));
        self.voting = match before {
            VotingState::Persisting(acceptor) if written => VotingState::Voting(*acceptor),
            // The first set of all: nobody can tell it.
            VotingState::Persisting(acceptor) if is_first_set => VotingState::Persisting(acceptor),
            VotingState::Persisting(_) => VotingState::Installing,
            other => other,
        };
        if is_installed_now {
            self.on_installed(now);
        }
    }

    fn on_installed(&mut self, now: Micros) {
        if self.transfer.sealed.take().is_none() {
            // Its registry is young: most proxies have not reported to it yet.
            self.endpoints.restart_gathering(now);
        }
        self.membership.register_unsynced = false;
        self.config.set_unsynced(false);
        self.transfer.states.clear();
        self.claims.clear_withdrawn();
        let (number, claims) = (self.membership.set.number, self.claims.table().len());
        let ms = (now - self.transfer.set_known_since).0 / 1_000;
        let Counters { states_requested, states_encoded, .. } = self.counters;
        self.outbox.log(format!(
            "members: votes in set {number}, {claims} claims, after {ms} ms; {states_requested} states requested here so far, {states_encoded} encoded"
        ));
        self.report_departures_to_all();
        self.read_for_itself(now);
    }
}
