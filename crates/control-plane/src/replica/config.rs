//! The register of configurations: operators' calls, votes, and what was chosen.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_consensus::{ContenderId, Parameters, Reply, Response};
use notchspool_mesh_config::digest::Digest;
use notchspool_mesh_config::proposer::{self, CallResult, Operation, Proposer};
use notchspool_mesh_config::register::VersionedConfig;
use notchspool_mesh_config::route_config::RouteConfig;
use notchspool_mesh_protocol::{ConfigRequest, ConfigUpdate, Payload, VoteReply, VoteRequest};
use notchspool_storage::WriteOp;

use super::Replica;
use super::effect::{CallId, ConnectionId, Effect};
use super::voting::{self, VotingState};
use super::writes::PendingWrite;
use crate::wire;

/// What was accepted and is not known to be chosen is looked into after this, and as much again by chance.
const RECHECK_AFTER: Micros = Micros::ms(150);
/// Operators' calls at once.
const MAX_CALLS: usize = 8_192;

/// A call of the proposer.
#[derive(Clone, Debug)]
enum Call {
    /// An operator's replacement, with its version.
    Replace(CallId, u64),
    /// An operator's read.
    Read(CallId),
    /// A read for this replica itself, to learn what is chosen.
    Own,
}

/// The version known to be chosen, and whether that was compared with a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedVersion {
    /// The version; 0 where none is known.
    pub version: u64,
    /// It was the newest a moment ago.
    pub confirmed: bool,
}

/// What this replica has of the register beside its acceptor.
pub(super) struct ConfigRegister {
    proposer: Proposer,
    calls: BTreeMap<proposer::CallId, Call>,
    last_call: proposer::CallId,
    chosen: Option<VersionedConfig>,
    /// The same as it is sent.
    chosen_update: ConfigUpdate,
    /// When what was accepted here and is not known to be chosen is looked into.
    recheck_at: Option<Micros>,
    /// What is chosen here was the newest at some moment since `doubted_at`.
    confirmed: bool,
    /// When it last stood still, or was last without a majority: only a proposal begun since confirms anything.
    doubted_at: Micros,
    /// What the proxies were told of `confirmed`.
    announced_confirmed: bool,
    /// The register's writes were handed to the disk, and the last is not known to be there.
    unsynced: bool,
}

impl ConfigRegister {
    /// Knows nothing yet; the proposer has no voters.
    pub fn new(boot_id: u64, now: Micros) -> ConfigRegister {
        ConfigRegister {
            proposer: Proposer::new(voting::parameters(1), ContenderId(boot_id)),
            calls: BTreeMap::new(),
            last_call: 0,
            chosen: None,
            chosen_update: ConfigUpdate::default(),
            recheck_at: None,
            confirmed: false,
            doubted_at: now,
            announced_confirmed: false,
            unsynced: false,
        }
    }

    /// The configuration known to be chosen.
    pub fn chosen(&self) -> Option<&VersionedConfig> {
        self.chosen.as_ref()
    }

    /// Whether that was compared with a majority since it was last doubted.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Nothing is confirmed any more: others may have gone on.
    pub fn doubt(&mut self, now: Micros) {
        self.confirmed = false;
        self.doubted_at = now;
    }

    /// Whether a write of the register is on its way to the disk.
    pub fn set_unsynced(&mut self, unsynced: bool) {
        self.unsynced = unsynced;
    }

    /// The voters are others from now on.
    pub fn on_voters_changed(&mut self, parameters: Parameters) {
        self.proposer.on_voters_changed(parameters);
    }
}

impl Replica {
    // ---- Operators' calls ---------------------------------------------------------------------------------

    /// An operator's call `config.replace`.
    pub fn replace_config(&mut self, now: Micros, call: CallId, body: &[u8]) -> Vec<Effect> {
        self.on_event(now);
        match RouteConfig::parse(body) {
            Ok(config) => self.propose_config(now, call, config.version, body),
            Err(error) => {
                self.counters.configs_invalid += 1;
                self.outbox.log(format!("refuse a configuration: {error}"));
                self.outbox.reply(call, 400, error.to_string());
            }
        }
        self.outbox.take()
    }

    fn propose_config(&mut self, now: Micros, call: CallId, version: u64, body: &[u8]) {
        self.counters.configs_proposed += 1;
        let Ok(body) = String::from_utf8(body.to_vec()) else { return };
        let digest = Digest::of(body.as_bytes());
        let operation = Operation::Replace(VersionedConfig { version, body }, digest);
        self.call_for_operator(now, call, Call::Replace(call, version), operation);
    }

    /// An operator's call `config.read`.
    pub fn read_config(&mut self, now: Micros, call: CallId) -> Vec<Effect> {
        self.on_event(now);
        self.call_for_operator(now, call, Call::Read(call), Operation::Read);
        self.outbox.take()
    }

    fn call_for_operator(&mut self, now: Micros, id: CallId, call: Call, operation: Operation) {
        match self.reason_to_refuse(now) {
            Some(reason) => self.outbox.reply(id, 503, reason),
            None => self.begin_call(now, call, operation),
        }
    }

    /// Why no call can be served now, if so.
    fn reason_to_refuse(&self, now: Micros) -> Option<&'static str> {
        let is_alone = !self.reaches_majority(now) && self.membership.set.members.len() != 1;
        if !self.membership.is_known() {
            Some("no voters are known yet")
        } else if is_alone {
            Some("no majority of the replicas is in reach: nothing was done")
        } else if self.config.calls.len() >= MAX_CALLS {
            Some("too many calls at once")
        } else {
            None
        }
    }

    /// Reads the register for this replica itself, to learn what is chosen.
    pub(super) fn read_for_itself(&mut self, now: Micros) {
        self.begin_call(now, Call::Own, Operation::Read);
    }

    fn begin_call(&mut self, now: Micros, call: Call, operation: Operation) {
        self.config.last_call += 1;
        let id = self.config.last_call;
        self.config.calls.insert(id, call);
        let effects = self.config.proposer.call(now, id, operation);
        self.run_proposer_effects(now, effects);
    }

    fn finish_call(&mut self, now: Micros, id: proposer::CallId, result: CallResult) {
        let Some(call) = self.config.calls.remove(&id) else { return };
        let (call, version) = match call {
            Call::Replace(call, version) => (call, version),
            Call::Read(call) => (call, 0),
            Call::Own => {
                if result == CallResult::NoMajority {
                    self.config.recheck_at = Some(now + RECHECK_AFTER);
                }
                return;
            }
        };
        match result {
            CallResult::Current(config) => self.outbox.reply(call, 200, config.body),
            CallResult::Accepted => self.outbox.reply(call, 200, ""),
            CallResult::Empty => self.outbox.reply(call, 503, "there is none yet"),
            CallResult::Conflict { current } => {
                let line =
                    format!("not taken: another body holds under {version}; version {current} is in force");
                self.outbox.log(line.clone());
                self.outbox.reply(call, 409, line);
            }
            CallResult::Forgotten { current } => {
                let reason =
                    "is older than what is remembered: whether this body was taken under it is not known";
                let line = format!("version {version} {reason}; version {current} is in force");
                self.outbox.reply(call, 503, line);
            }
            CallResult::NoMajority => {
                let reason =
                    "no majority of the replicas answered in time: what was sent may come into force or not";
                self.outbox.reply(call, 503, reason);
            }
        }
    }

    // ---- Proposing ----------------------------------------------------------------------------------------

    pub(super) fn tick_proposer(&mut self, now: Micros, jitter: f64) {
        let effects = self.config.proposer.tick(now, jitter);
        self.run_proposer_effects(now, effects);
    }

    fn run_proposer_effects(&mut self, now: Micros, effects: Vec<proposer::Effect>) {
        for effect in effects {
            match effect {
                proposer::Effect::Send { to, number, request } => {
                    let set_number = self.membership.set.number;
                    let Some(message) = wire::request_to_message(set_number, number, &request) else {
                        continue;
                    };
                    let position = usize::from(to.0);
                    if Some(position) == self.own_position() {
                        self.on_vote_request(now, None, &message);
                    } else if let Some(connection) = self.connections.voter(position) {
                        self.outbox.send(connection, Payload::VoteRequest(message));
                    }
                }
                proposer::Effect::Chosen { config, started_at } => {
                    // A response to what was asked before it stood still or was cut off says nothing of now.
                    self.config.confirmed |= started_at >= self.config.doubted_at;
                    if let Some(config) = config {
                        self.on_chosen(config);
                    }
                }
                proposer::Effect::Finish(id, result) => self.finish_call(now, id, result),
            }
        }
    }

    /// A voter's reply.
    pub(super) fn on_vote_reply(&mut self, now: Micros, reply: VoteReply) {
        if reply.set_number != self.membership.set.number {
            self.counters.other_set_messages += 1;
            return;
        }
        let number = reply.number;
        let (from, response) = wire::response_from_message(reply);
        let jitter = self.rng.rand_float();
        let effects = self.config.proposer.on_response(now, from, number, response, jitter);
        self.run_proposer_effects(now, effects);
    }

    // ---- Voting -------------------------------------------------------------------------------------------

    /// A request on the register, from another or from this replica itself.
    pub(super) fn on_vote_request(&mut self, now: Micros, from: Option<ConnectionId>, message: &VoteRequest) {
        let set_number = self.membership.set.number;
        if !self.is_voting() || message.set_number != set_number {
            self.abstain(from, message);
            return;
        }
        let VotingState::Voting(acceptor) = &mut self.voting else { return };
        let (response, writes) = acceptor.handle(now, &wire::request_from_message(message));
        let is_granted = matches!(response.reply, Reply::Promised { .. } | Reply::Accepted);
        if !is_granted || (writes.is_empty() && !self.config.unsynced) {
            self.answer_vote(now, from, message.number, set_number, &response);
            return;
        }
        // What was handed to the disk and is not known to be there goes with it once more.
        let mut batch = Vec::new();
        if let Some(promised) = voting::promised_ballot(acceptor) {
            batch.push(WriteOp::Promise(promised));
        }
        let rewrite_accepted = self.config.unsynced || message.body.is_some();
        if let Some(entry) = voting::accepted_entry(acceptor).filter(|_| rewrite_accepted) {
            batch.push(WriteOp::Accept { version: voting::version_of(entry), entry: entry.clone() });
        }
        self.config.unsynced = true;
        if message.body.is_some() {
            let delay = RECHECK_AFTER.times(1.0 + self.rng.rand_float());
            self.config.recheck_at = self.config.recheck_at.or(Some(now + delay));
        }
        let (number, response) = (message.number, Box::new(response));
        self.write(PendingWrite::Vote { to: from, number, set_number, response }, batch);
    }

    fn abstain(&mut self, from: Option<ConnectionId>, message: &VoteRequest) {
        let Some(connection) = from else { return };
        let set_number = self.membership.set.number;
        self.outbox.send(connection, Payload::VoteReply(wire::abstention(message.number, set_number)));
        if message.set_number != set_number {
            self.on_other_set(connection, message.set_number);
        }
    }

    /// A response under a set, which may be over by now: what it grants was granted before the set was sealed.
    pub(super) fn answer_vote(
        &mut self,
        now: Micros,
        to: Option<ConnectionId>,
        number: u64,
        set_number: u64,
        response: &Response,
    ) {
        let voter = match (&self.voting, self.transfer.sealed()) {
            (VotingState::Voting(acceptor), _) if set_number == self.membership.set.number => acceptor.id,
            (_, Some(sealed)) if sealed.set.number == set_number => sealed.acceptor.id,
            _ => return,
        };
        match to {
            Some(connection) => {
                let reply = wire::response_to_message(number, set_number, voter, response);
                self.outbox.send(connection, Payload::VoteReply(reply));
            }
            None if set_number == self.membership.set.number => {
                let jitter = self.rng.rand_float();
                let effects = self.config.proposer.on_response(now, voter, number, response.clone(), jitter);
                self.run_proposer_effects(now, effects);
            }
            None => {}
        }
    }

    // ---- What is chosen -----------------------------------------------------------------------------------

    /// A majority has this configuration: it can be told.
    fn on_chosen(&mut self, config: VersionedConfig) {
        if self.config.chosen.as_ref().is_some_and(|chosen| chosen.version >= config.version) {
            return;
        }
        self.outbox.log(format!("version {} holds", config.version));
        self.config.chosen_update = ConfigUpdate::new(config.version, config.body.as_bytes());
        self.config.chosen = Some(config);
        let known_version = self.known_version();
        for (connection, link) in self.connections.all() {
            // Who watches the endpoints here gets it in full; the others have it from theirs, or ask.
            let payload = match link.watch {
                Some(_) => Payload::ConfigUpdate(self.config.chosen_update.clone()),
                None => known_version.clone(),
            };
            self.outbox.send(connection, payload);
        }
    }

    /// Another tells a configuration that was chosen.
    pub(super) fn on_config_update(&mut self, update: &ConfigUpdate) {
        if let Some(body) = update.checked_body().and_then(|body| String::from_utf8(body).ok()) {
            self.on_chosen(VersionedConfig { version: update.version, body });
        }
    }

    pub(super) fn on_config_request(&mut self, connection: ConnectionId, version: u64) {
        if self.config.chosen.as_ref().is_some_and(|chosen| chosen.version >= version) {
            self.outbox.send(connection, Payload::ConfigUpdate(self.config.chosen_update.clone()));
        }
    }

    /// Another knows this version to be chosen: it is asked for where it is news.
    pub(super) fn request_config_above(&mut self, connection: ConnectionId, version: u64) {
        if version > self.chosen_version() {
            self.outbox.send(connection, Payload::ConfigRequest(ConfigRequest { version }));
        }
    }

    /// What is accepted here is newer than what is known to be chosen.
    fn accepted_is_newer(&self) -> bool {
        let VotingState::Voting(acceptor) = &self.voting else { return true };
        voting::accepted_entry(acceptor).map_or(0, voting::version_of) > self.chosen_version()
    }

    /// Whether what is chosen here was the newest a moment ago, and the version.
    pub fn confirmed_version(&mut self, now: Micros) -> ConfirmedVersion {
        self.on_event(now);
        ConfirmedVersion { version: self.chosen_version(), confirmed: self.config.confirmed }
    }

    /// Looks into what is not known to be chosen, and tells the proxies where confirmation came or went.
    pub(super) fn tick_confirmation(&mut self, now: Micros, jitter: f64, reaches_majority: bool) {
        let is_due = self.config.recheck_at.is_some_and(|at| at <= now);
        if is_due && self.config.proposer.is_idle() {
            self.config.recheck_at = None;
            if self.accepted_is_newer() || !self.config.confirmed {
                self.read_for_itself(now);
            }
        }
        if self.config.confirmed != self.config.announced_confirmed {
            self.announce_confirmation(reaches_majority);
        }
        let may_recheck = self.config.recheck_at.is_none() && self.config.proposer.is_idle();
        if !self.config.confirmed && may_recheck && reaches_majority {
            self.config.recheck_at = Some(now + RECHECK_AFTER.times(1.0 + jitter));
        }
    }

    fn announce_confirmation(&mut self, reaches_majority: bool) {
        self.config.announced_confirmed = self.config.confirmed;
        let version = self.chosen_version();
        let line = match (self.config.confirmed, reaches_majority) {
            (true, _) => format!("version {version} is confirmed as the newest"),
            (false, true) => {
                format!("version {version} is not confirmed as the newest any more: the process stood still")
            }
            (false, false) => format!(
                "version {version} is not confirmed as the newest any more: no majority of the replicas is in reach; \
                 operators are sent on"
            ),
        };
        self.outbox.log(line);
        for connection in self.connections.proxies() {
            self.outbox.send(connection, self.known_version());
        }
    }
}
