//! How a set is installed by one that has to vote in it, and what others are told for that.
//!
//! A member of set n votes in it once it has, on its disk as one unit, the merged states of a majority of set n - 1, each sealed on its
//! disk; or the state of a member that has installed n.
use notchspool::units::Micros;
use notchspool_consensus::acceptor::Acceptor;
use notchspool_consensus::voter_set::SuccessorRegister;
use notchspool_idempotency::claim_table::ClaimTable;
use notchspool_mesh_protocol::snapshot::Progress;
use notchspool_mesh_protocol::{Payload, Snapshot, SnapshotChunk, SnapshotRequest, StateRequest, VoterState};
use notchspool_storage::WriteOp;

use super::effect::ConnectionId;
use super::merged_state::MergedState;
use super::state_transfer::{Resumption, SealedState, StateKind};
use super::voting::{self, VotingState};
use super::writes::PendingWrite;
use super::{Counters, Replica};
use crate::wire;

impl Replica {
    // ---- The seal -----------------------------------------------------------------------------------------

    /// The seal of the set that is over goes to the disk, until it is there.
    pub(super) fn write_seal(&mut self) {
        let sealed = self.transfer.sealed_mut();
        let is_due = |sealed: &&mut SealedState| !sealed.is_on_disk && !sealed.is_being_written;
        let Some(sealed) = sealed.filter(is_due) else { return };
        sealed.is_being_written = true;
        let (number, record) = (sealed.set.number, sealed.record.clone());
        self.write(PendingWrite::Seal(number), vec![WriteOp::Membership(record)]);
    }

    pub(super) fn on_seal_written(&mut self, now: Micros, set_number: u64, written: bool) {
        let sealed = self.transfer.sealed_mut();
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
        if self.transfer.is_gather_due(now) {
            self.gather_state(now);
        }
        let is_spare = matches!(self.voting, VotingState::Spare);
        if is_spare && self.peers.majority_votes_in(&self.membership.set) {
            // A majority has what this one had by now.
            self.transfer.set_sealed(None);
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
        match self.transfer.resume(address, is_new_connection) {
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
        } else if matches!(self.voting, VotingState::Voting(_)) {
            self.send_state(now, connection, StateKind::Installed(number));
        } else if let Some(sealed) = self.transfer.sealed().filter(|sealed| sealed.is_on_disk) {
            self.send_state(now, connection, StateKind::Sealed(sealed.set.number));
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
    fn send_state(&mut self, now: Micros, connection: ConnectionId, kind: StateKind) {
        match self.transfer.held_state(now, kind).or_else(|| self.encode_state(now, kind)) {
            Some(first) => self.outbox.send(connection, Payload::SnapshotChunk(first)),
            None => self.outbox.log("members: what it has is too large to be told"),
        }
    }

    fn encode_state(&mut self, now: Micros, kind: StateKind) -> Option<SnapshotChunk> {
        let state = match kind {
            StateKind::Installed(number) => {
                let VotingState::Voting(acceptor) = &self.voting else { return None };
                self.voter_state(now, acceptor, number)
            }
            StateKind::Sealed(number) => self.voter_state(now, &self.transfer.sealed()?.acceptor, number),
        };
        self.counters.states_encoded += 1;
        let VoterState { voter, set_number, promised, accepted_ballot, body, claims } = state;
        let snapshot =
            Snapshot { set_number, promised, accepted_ballot, body, claims, voter, ..Snapshot::default() };
        self.transfer.hold(now, kind, &snapshot)
    }

    /// Another asks on, on whatever connection. Of a snapshot that is not held any more it hears nothing, and begins anew.
    pub(super) fn on_snapshot_request(&mut self, connection: ConnectionId, request: &SnapshotRequest) {
        match self.transfer.chunk(request) {
            Some(chunk) => self.outbox.send(connection, Payload::SnapshotChunk(chunk)),
            None => self.counters.messages_dropped += 1,
        }
    }

    // ---- Being told ---------------------------------------------------------------------------------------

    /// A part of what another has.
    pub(super) fn on_snapshot_chunk(&mut self, now: Micros, connection: ConnectionId, chunk: SnapshotChunk) {
        let is_installing = matches!(self.voting, VotingState::Installing);
        let address = self.connections.outgoing_address(connection).filter(|_| is_installing);
        let Some(address) = address.cloned() else { return };
        match self.transfer.incoming(&address).receiver.on_chunk(chunk) {
            Progress::Continue(request) => {
                self.outbox.send(connection, Payload::SnapshotRequest(request));
            }
            Progress::Complete(snapshot) => {
                let Snapshot { set_number, promised, accepted_ballot, body, claims, voter, .. } = *snapshot;
                let state = VoterState { voter, set_number, promised, accepted_ballot, body, claims };
                self.on_state(now, &address, state);
            }
            // One that has come before, as it was asked for twice: what is here stays, and goes on.
            Progress::Rejected(_) => self.counters.messages_dropped += 1,
        }
    }

    /// Another has told what it has.
    fn on_state(&mut self, now: Micros, address: &str, state: VoterState) {
        let number = self.membership.set.number;
        if state.set_number == number || state.set_number + 1 == number {
            self.transfer.on_told(address, state);
            self.install(now);
        }
    }

    // ---- Installing ---------------------------------------------------------------------------------------

    /// Installs the set once enough is told.
    fn install(&mut self, now: Micros) {
        let is_installing = matches!(self.voting, VotingState::Installing);
        let Some(position) = self.own_position().filter(|_| is_installing) else { return };
        let Some(merged) = self.merged_state(now) else { return };
        let batch = self.begin_with(now, position, merged);
        self.write(PendingWrite::Installation(self.membership.set.number), batch);
    }

    /// What the set begins with: the state of one that has installed it, or those of a majority of the set before. `None` while there are
    /// too few.
    fn merged_state(&self, now: Micros) -> Option<MergedState> {
        let sealed = self.transfer.sealed();
        if sealed.is_some_and(|sealed| !sealed.is_on_disk) {
            return None;
        }
        let (number, previous) = (self.membership.set.number, self.membership.previous.as_ref());
        let others = self.transfer.states_to_install(number, previous)?;
        let mut merged = match sealed {
            Some(SealedState { acceptor, .. }) => {
                MergedState::of_acceptor(acceptor, self.claims.table().clone())
            }
            None => MergedState::empty(self.claims.empty_table()),
        };
        others.into_iter().for_each(|state| merged.add(now, state));
        for (key, ticket) in self.claims.withdrawn() {
            merged.claims.withdraw(key, *ticket);
        }
        Some(merged)
    }

    /// The one place where a set's state comes into being here: in memory, and as what goes to the disk.
    fn begin_with(&mut self, now: Micros, position: usize, merged: MergedState) -> Vec<WriteOp> {
        let mut batch = self.withdrawals_to_write(&merged.claims);
        self.membership.register = SuccessorRegister::default();
        if self.transfer.sealed().is_some() {
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
    fn withdrawals_to_write(&self, merged: &ClaimTable) -> Vec<WriteOp> {
        let withdrawn = self.claims.withdrawn().iter().map(|(key, ticket)| (key.as_str(), *ticket));
        let gone = withdrawn.chain(self.claims.table().tickets());
        let gone = gone.filter(|(key, ticket)| !merged.contains(key, *ticket));
        gone.map(|(key, ticket)| WriteOp::WithdrawClaim(key.to_string(), ticket)).collect()
    }

    /// It goes on, and has most of the state on its disk: what comes on top is a history of the set before until the membership is there.
    fn changes_to_write(&self, now: Micros, merged: &MergedState) -> Vec<WriteOp> {
        let new_claims = merged.claims.all_but(self.claims.table(), now);
        let mut batch: Vec<WriteOp> = new_claims.into_iter().map(WriteOp::Claim).collect();
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
        let (took, had_own_state) = self.transfer.on_installed(now);
        if !had_own_state {
            // Its registry is young: most proxies have not reported to it yet.
            self.endpoints.restart_gathering(now);
        }
        self.membership.register_unsynced = false;
        self.config.set_unsynced(false);
        self.claims.clear_withdrawn();
        let (number, claims) = (self.membership.set.number, self.claims.table().len());
        let ms = took.0 / 1_000;
        let Counters { states_requested, states_encoded, .. } = self.counters;
        self.outbox.log(format!(
            "members: votes in set {number}, {claims} claims, after {ms} ms; {states_requested} states requested here so far, {states_encoded} encoded"
        ));
        self.report_departures_to_all();
        self.read_for_itself(now);
    }
}
