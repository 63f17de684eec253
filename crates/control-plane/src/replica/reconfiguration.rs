//! How the voter set is changed by agreement, and how a decided set is learnt.
use notchspool::units::Micros;
use notchspool_consensus::reconfiguration::{Reconfiguration, SuccessorRequest};
use notchspool_consensus::voter_set::VoterSet;
use notchspool_consensus::{Ballot, ContenderId};
use notchspool_mesh_protocol::{Payload, ReconfigReply, ReconfigRequest};
use notchspool_storage::WriteOp;

use super::Replica;
use super::effect::ConnectionId;
use super::state_transfer::SealedState;
use super::succession::Succession;
use super::voting::{self, VotingState};
use super::writes::PendingWrite;
use crate::wire;

/// Members propose one after the other by their positions, so that seldom two do at once.
const PROPOSAL_STAGGER: Micros = Micros::ms(120);
/// One that is sealed and hears nothing of the outcome takes the change up again after this, and as much again by chance.
const RESUME_AFTER: Micros = Micros::ms(150);
/// A change that finds no majority before anybody can be sealed by it is given up after this.
const GIVE_UP_AFTER: Micros = Micros::ms(1_000);

impl Replica {
    // ---- Proposing a change -------------------------------------------------------------------------------

    /// Looks whether a change is to be begun, or taken up again.
    pub(super) fn review_voter_set(&mut self, now: Micros) {
        if !self.is_installed() || self.membership.reconfiguration.is_some() {
            return;
        }
        if let Some((_, next)) = &self.membership.register.accepted {
            // Sealed, and nothing heard of the outcome.
            if self.membership.resume_at.is_none_or(|at| at <= now) {
                let next = next.clone();
                self.propose_set(now, next);
            }
            return;
        }
        if !self.handover.is_leaving() {
            self.propose_wanted_set(now);
        }
    }

    fn propose_wanted_set(&mut self, now: Micros) {
        let succession = Succession {
            now,
            own_address: &self.address,
            own_zone: &self.zone,
            tolerate: self.tolerate,
            set: &self.membership.set,
            retired: &self.membership.retired,
            peers: &self.peers,
        };
        let Some(wanted) = succession.wanted() else {
            self.membership.wanted_since = None;
            return;
        };
        let since = *self.membership.wanted_since.get_or_insert(now);
        let members = &self.membership.set.members;
        let before = members.iter().take_while(|member| member.address != self.address);
        let rank = before.filter(|member| self.peers.can_propose(now, member)).count();
        let delay = wanted.delay + PROPOSAL_STAGGER.times(rank as f64);
        if now - since < delay || !self.reaches_majority(now) {
            return;
        }
        let next = VoterSet::new(self.membership.set.number + 1, wanted.members);
        if self.membership.last_proposed != next.number {
            self.membership.last_proposed = next.number;
            self.outbox.log(format!("members: propose set {}: {}", next.number, wanted.reason));
        }
        self.propose_set(now, next);
    }

    fn propose_set(&mut self, now: Micros, next: VoterSet) {
        let set = self.membership.set.clone();
        let highest_round = self.membership.register.promised.round;
        let proposer = ContenderId(self.boot_id);
        let (reconfiguration, request) = Reconfiguration::new(now, set, next, proposer, highest_round);
        self.membership.reconfiguration = Some(reconfiguration);
        self.send_reconfig_request(now, &request);
    }

    fn send_reconfig_request(&mut self, now: Micros, request: &SuccessorRequest) {
        let message = ReconfigRequest {
            set_number: self.membership.set.number,
            ballot: wire::ballot_to_message(request.ballot),
            next: request.next.as_ref().map(wire::set_to_message),
        };
        for position in &request.positions {
            if Some(*position) == self.own_position() {
                self.on_reconfig_request(now, None, message.clone());
            } else if let Some(connection) = self.connections.voter(*position) {
                self.outbox.send(connection, Payload::ReconfigRequest(message.clone()));
            }
        }
    }

    /// A voter's reply.
    pub(super) fn on_reconfig_reply(&mut self, now: Micros, message: &ReconfigReply) {
        let jitter = self.rng.rand_float();
        let reconfiguration = self.membership.reconfiguration.as_mut();
        let of_same_set = |r: &&mut Reconfiguration| r.set().number == message.set_number;
        let Some(reconfiguration) = reconfiguration.filter(of_same_set) else { return };
        let ballot = wire::ballot_from_message(message.ballot);
        let reply = wire::successor_reply_from_message(message);
        let progress = reconfiguration.on_reply(now, message.voter as usize, ballot, reply, jitter);
        if let Some(request) = progress.request {
            self.send_reconfig_request(now, &request);
        }
        if let Some(decided) = progress.decided {
            let previous = self.membership.set.clone();
            self.learn_set(now, decided, Some(previous));
        }
    }

    /// Time has passed for a change that is carried through here.
    pub(super) fn tick_reconfiguration(&mut self, now: Micros) {
        let is_sealed = self.membership.register.is_sealed();
        if let Some(reconfiguration) = &mut self.membership.reconfiguration {
            let is_late = now - reconfiguration.started_at >= GIVE_UP_AFTER;
            if reconfiguration.is_revocable() && !is_sealed && is_late {
                self.membership.reconfiguration = None;
                self.membership.wanted_since = None;
            } else if let Some(request) = reconfiguration.tick(now) {
                self.send_reconfig_request(now, &request);
            }
        }
        self.review_voter_set(now);
    }

    // ---- Voting on a change -------------------------------------------------------------------------------

    /// Asked to promise, or to accept and be sealed. On the disk before it is answered.
    pub(super) fn on_reconfig_request(
        &mut self,
        now: Micros,
        from: Option<ConnectionId>,
        request: ReconfigRequest,
    ) {
        let fits = self.is_installed() && request.set_number == self.membership.set.number;
        let Some(position) = self.own_position().filter(|_| fits) else {
            if let Some(connection) = from {
                self.on_other_set(connection, request.set_number);
            }
            return;
        };
        let ballot = wire::ballot_from_message(request.ballot);
        let (reply, has_changed) = match request.next {
            None => self.membership.register.prepare(ballot),
            Some(next) => {
                let Some(next) = wire::set_from_message(next) else { return };
                let was_sealed = self.membership.register.is_sealed();
                let answer = self.membership.register.accept(&self.membership.set, ballot, &next);
                self.on_maybe_sealed(now, was_sealed, &next);
                answer
            }
        };
        let set_number = self.membership.set.number;
        let message = wire::successor_reply_to_message(set_number, position, ballot, reply);
        if has_changed || self.membership.register_unsynced {
            self.membership.register_unsynced = true;
            let pending = PendingWrite::Successor { to: from, reply: Box::new(message) };
            self.write_membership(pending);
        } else {
            self.answer_reconfig(now, from, message);
        }
    }

    fn on_maybe_sealed(&mut self, now: Micros, was_sealed: bool, next: &VoterSet) {
        if !self.membership.register.is_sealed() {
            return;
        }
        let delay = RESUME_AFTER.times(1.0 + self.rng.rand_float());
        self.membership.resume_at = Some(now + delay);
        if !was_sealed {
            self.outbox.log(format!("members: sealed for set {}", next.number));
        }
    }

    pub(super) fn answer_reconfig(&mut self, now: Micros, to: Option<ConnectionId>, message: ReconfigReply) {
        match to {
            Some(connection) => self.outbox.send(connection, Payload::ReconfigReply(message)),
            None => self.on_reconfig_reply(now, &message),
        }
    }

    pub(super) fn write_membership(&mut self, pending: PendingWrite) {
        let record = self.membership.record();
        self.write(pending, vec![WriteOp::Membership(record)]);
    }

    // ---- What is decided ----------------------------------------------------------------------------------

    /// Somebody speaks under another set: whoever knows less is told.
    pub(super) fn on_other_set(&mut self, connection: ConnectionId, set_number: u64) {
        self.counters.other_set_messages += 1;
        if set_number < self.membership.set.number {
            self.outbox.send(connection, self.welcome(None));
        }
    }

    /// The first start of all: every seed knows the first set by itself.
    pub(super) fn found_first_set(&mut self, now: Micros, seeds: &[String]) {
        let set = VoterSet::first(seeds);
        if !set.is_valid() {
            return;
        }
        self.outbox.log("members: first start of all");
        if set.position(&self.address).is_some() {
            self.membership.incarnation = 0;
        }
        self.adopt(now, set, None);
        if let Some(position) = self.own_position() {
            let parameters = voting::parameters(self.membership.set.members.len());
            let acceptor = voting::open_acceptor(position, parameters, Ballot::default(), None, now);
            self.voting = VotingState::Persisting(Box::new(acceptor));
            self.write_membership(PendingWrite::Installation(self.membership.set.number));
        }
    }

    /// A decided set, told by another or carried through here. Older ones are known.
    pub(super) fn learn_set(&mut self, now: Micros, set: VoterSet, previous: Option<VoterSet>) {
        if set.number == self.membership.set.number && self.membership.previous.is_none() {
            self.membership.previous = previous.filter(|previous| previous.number + 1 == set.number);
            return;
        }
        if set.number <= self.membership.set.number || !set.is_valid() {
            return;
        }
        self.seal_for(&set);
        self.adopt(now, set, previous);
        self.take_place(now);
        for connection in self.connections.ids() {
            self.outbox.send(connection, self.welcome(None));
        }
    }

    /// What this one voted in is over. Where it is the set just before, others may need what it has, and it is sealed first.
    fn seal_for(&mut self, next: &VoterSet) {
        let before = std::mem::replace(&mut self.voting, VotingState::Unknown);
        self.transfer.set_sealed(None);
        if let VotingState::Voting(acceptor) = before
            && self.membership.set.number + 1 == next.number
        {
            let newly_sealed = self.membership.register.seal(next);
            let is_on_disk = !newly_sealed && !self.membership.register_unsynced;
            let (set, record) = (self.membership.set.clone(), self.membership.record());
            let sealed = SealedState { set, acceptor, record, is_on_disk, is_being_written: false };
            self.transfer.set_sealed(Some(sealed));
            self.write_seal();
        }
    }

    /// From here on this set is the one that is known.
    pub(super) fn adopt(&mut self, now: Micros, set: VoterSet, previous: Option<VoterSet>) {
        self.membership.adopt(set, previous);
        self.transfer.on_set_changed(now);
        self.claims.clear_withdrawn();
        let parameters = voting::parameters(self.membership.set.members.len());
        self.config.on_voters_changed(parameters);
        self.outbox.log(format!("members: {}", self.membership.set));
        self.outbox.connect(self.membership.set.addresses());
        // Connections that stand by now were opened before it was known who votes.
        self.connections.forget_voters();
        self.handover.forget_confirmations();
        for connection in self.connections.outgoing_ids() {
            self.identify(now, connection);
        }
    }

    /// Whether this one has a seat in the set, which it has to install, or stands by.
    fn take_place(&mut self, now: Micros) {
        if self.own_position().is_some() {
            self.voting = VotingState::Installing;
            self.gather_state(now);
        } else {
            self.voting = VotingState::Spare;
        }
    }
}
