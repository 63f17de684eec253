//! All that one replica of the control plane decides, without I/O.
//!
//! It is told the time, chance, what came on its connections and what its disk has done, and gives back [`Effect`]s. Nothing of a vote
//! leaves before the disk has it.
//!
//! Each part owns its state: `connections` (peer contact), `peers` (the other replicas), `membership` (voter sets) with `voting` (the place
//! in them), `config` (the register of configurations), `claims`, `endpoints`, `installation` (state transfer between sets), `handover`,
//! `writes` (what waits for the disk) and `availability` (why it does not serve, for the log). [`Replica`] passes events on to them; what concerns several parts is a method of it in the file of
//! the part that leads.
mod availability;
mod claims;
mod config;
mod connections;
mod effect;
mod endpoints;
mod handover;
mod installation;
mod membership;
mod merged_state;
mod peers;
mod reconfiguration;
mod state_transfer;
mod succession;
mod voting;
mod writes;

use notchspool::units::Micros;
use notchspool_consensus::voter_set::VoterSet;
use notchspool_mesh_config::register::VersionedConfig;
use notchspool_mesh_protocol::{Endpoint, Hello, KnownVersion, LivenessReport, Payload, Ping, Role, Welcome};
pub use notchspool_runtime::node_settings::Tolerance;
use notchspool_storage::{Recovered, WriteOp};
use oorandom::Rand64;

use crate::wire;
use availability::Availability;
pub use availability::{Impediment, Seal};
use claims::Claims;
use config::ConfigRegister;
pub use config::ConfirmedVersion;
use connections::Connections;
use effect::Outbox;
pub use effect::{CallId, ConnectionId, Effect, NO_REPORT, WriteId};
use endpoints::Endpoints;
use handover::Handover;
use membership::Membership;
use peers::Peers;
use state_transfer::StateTransfer;
use voting::VotingState;
use writes::{PendingWrite, PendingWrites};

/// How often replicas tell each other whom they heard.
const REPORT_INTERVAL: Micros = Micros::ms(500);
/// A replica whose clock goes on by more than this between two events has stood still meanwhile.
const STALL: Micros = Micros::ms(1_000);

/// What a replica starts with.
#[derive(Clone, Debug, Default)]
pub struct ReplicaOptions {
    /// Where the others reach it, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its loss counts against what the site tolerates: it may become a voter.
    pub counted: bool,
    /// What the site tolerates.
    pub tolerate: Tolerance,
    /// Drawn at the start of the process.
    pub boot_id: u64,
    /// The first start of all: there is no disk anywhere yet.
    pub first_start: bool,
    /// Addresses of the replicas that are known; at the first start of all these are the first voter set.
    pub seeds: Vec<String>,
    /// For how long claims are kept.
    pub claim_window: Micros,
}

/// Sums since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Claims that were decided on.
    pub claims: u64,
    /// Claims of keys that another ticket has.
    pub claims_held_by_other: u64,
    /// Claims taken back.
    pub claims_withdrawn: u64,
    /// Configurations that were proposed.
    pub configs_proposed: u64,
    /// Configurations that were refused as invalid.
    pub configs_invalid: u64,
    /// Messages that made no sense here, or came where there was no room.
    pub messages_dropped: u64,
    /// Messages of another set's number.
    pub other_set_messages: u64,
    /// How often another asked for the state here, to install a set.
    pub states_requested: u64,
    /// How often that state was encoded.
    pub states_encoded: u64,
}

/// One replica.
pub struct Replica {
    address: String,
    zone: String,
    counted: bool,
    tolerate: Tolerance,
    boot_id: u64,
    rng: Rand64,
    /// When the last event came.
    last_event_at: Micros,
    next_report_at: Micros,
    /// A majority was reached at the last tick.
    reached_majority: bool,
    connections: Connections,
    peers: Peers,
    membership: Membership,
    voting: VotingState,
    config: ConfigRegister,
    claims: Claims,
    endpoints: Endpoints,
    transfer: StateTransfer,
    handover: Handover,
    writes: PendingWrites,
    availability: Availability,
    outbox: Outbox,
    counters: Counters,
}

impl Replica {
    /// Opens a replica with what was on its disk.
    pub fn open(options: ReplicaOptions, recovered: Recovered, now: Micros) -> (Replica, Vec<Effect>) {
        let boot_id = options.boot_id;
        let mut replica = Replica {
            peers: Peers::new(&options.address, now),
            address: options.address,
            zone: options.zone,
            counted: options.counted,
            tolerate: options.tolerate,
            boot_id,
            rng: Rand64::new(u128::from(boot_id)),
            last_event_at: now,
            next_report_at: now,
            reached_majority: false,
            connections: Connections::default(),
            membership: Membership { incarnation: boot_id.max(1), ..Membership::default() },
            voting: VotingState::Unknown,
            config: ConfigRegister::new(boot_id, now),
            claims: Claims::new(options.claim_window, &recovered.claims, now),
            endpoints: Endpoints::new(now),
            transfer: StateTransfer::new(now),
            handover: Handover::new(now),
            writes: PendingWrites::default(),
            availability: Availability::default(),
            outbox: Outbox::default(),
            counters: Counters::default(),
        };
        if recovered.membership.as_ref().is_some_and(|membership| membership.set.is_valid()) {
            replica.resume(now, recovered);
        } else if options.first_start {
            replica.found_first_set(now, &options.seeds);
        } else {
            replica.outbox.log("start with an empty disk: others are asked");
        }
        let effects = replica.outbox.take();
        (replica, effects)
    }

    /// Goes on with what was on the disk.
    fn resume(&mut self, now: Micros, recovered: Recovered) {
        let Some(membership) = recovered.membership else { return };
        self.membership.incarnation = membership.incarnation;
        let claims = self.claims.table().len();
        let incarnation = membership.incarnation;
        self.outbox.log(format!("start with a disk of incarnation {incarnation:x}, {claims} claims"));
        self.adopt(now, membership.set, membership.previous);
        self.membership.register = membership.register;
        self.voting = VotingState::Spare;
        if let Some(position) = self.own_position() {
            let parameters = voting::parameters(self.membership.set.members.len());
            let (promised, accepted) = (recovered.promised, recovered.accepted);
            let acceptor = voting::open_acceptor(position, parameters, promised, accepted, now);
            self.voting = VotingState::Voting(acceptor);
        }
        self.read_for_itself(now);
    }

    // ---- What is known of it ------------------------------------------------------------------------------

    /// Whether it counts against what the site tolerates has changed in its settings.
    pub fn set_counted(&mut self, counted: bool) {
        self.counted = counted;
    }

    /// Drawn at the start of the process.
    pub fn boot_id(&self) -> u64 {
        self.boot_id
    }

    /// The incarnation of its disk.
    pub fn incarnation(&self) -> u64 {
        self.membership.incarnation
    }

    /// The last voter set that it knows to be decided.
    pub fn voter_set(&self) -> &VoterSet {
        &self.membership.set
    }

    /// Addresses of the voters.
    pub fn voter_addresses(&self) -> Vec<String> {
        self.membership.set.addresses()
    }

    /// Whether it has installed the set.
    pub fn is_installed(&self) -> bool {
        matches!(self.voting, VotingState::Voting(_))
    }

    /// Whether it takes part in votes now.
    pub fn is_voting(&self) -> bool {
        self.is_installed() && !self.membership.register.is_sealed() && !self.handover.is_leaving()
    }

    /// Whether a connection to this replica is of use.
    pub fn wants_connection(&self, address: &str) -> bool {
        !self.membership.is_known() || self.membership.is_in_known_sets(address) || !self.reached_majority
    }

    /// The configuration that it knows to be chosen.
    pub fn chosen_config(&self) -> Option<&VersionedConfig> {
        self.config.chosen()
    }

    /// The endpoints that it has gathered.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.registry().endpoints()
    }

    /// Sums since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// What is held now and sums since the start, a line each.
    pub fn figures(&self, now: Micros) -> String {
        let (set, counters) = (&self.membership.set, &self.counters);
        let figures = [
            ("configuration_version", self.chosen_version()),
            ("configuration_confirmed", u64::from(self.config.is_confirmed())),
            ("voter_set", set.number),
            ("voters", set.members.len() as u64),
            ("voters_reached", self.reached_voters(now) as u64),
            ("votes", u64::from(self.is_voting())),
            ("claims_held", self.claims.table().len() as u64),
            ("endpoints", self.endpoints.registry().endpoints().count() as u64),
            ("claims", counters.claims),
            ("claims_held_by_other", counters.claims_held_by_other),
            ("claims_withdrawn", counters.claims_withdrawn),
            ("configs_proposed", counters.configs_proposed),
            ("configs_invalid", counters.configs_invalid),
            ("messages_dropped", counters.messages_dropped),
            ("other_set_messages", counters.other_set_messages),
            ("states_requested", counters.states_requested),
            ("states_encoded", counters.states_encoded),
        ];
        let lines = figures.iter().map(|(name, value)| format!("{name} {value}\n"));
        lines.collect::<String>()
            + &self.impediment(now).map_or(String::new(), |reason| format!("impeded {reason}\n"))
    }

    fn own_position(&self) -> Option<usize> {
        self.membership.own_position(&self.address)
    }

    /// Whether a majority of the voters, itself included, was heard lately.
    fn reaches_majority(&self, now: Micros) -> bool {
        self.membership.is_known() && self.reached_voters(now) >= self.membership.set.majority()
    }

    /// How many of the voters were heard lately, itself included.
    fn reached_voters(&self, now: Micros) -> usize {
        self.connections.reached_voters(now) + usize::from(self.own_position().is_some())
    }

    fn chosen_version(&self) -> u64 {
        self.config.chosen().map_or(0, |config| config.version)
    }

    fn known_version(&self) -> Payload {
        let (version, confirmed) = (self.chosen_version(), self.config.is_confirmed());
        Payload::KnownVersion(KnownVersion { version, confirmed })
    }

    fn welcome(&self, recalled: Option<Endpoint>) -> Payload {
        let set = &self.membership.set;
        Payload::Welcome(Welcome {
            voters: set.addresses(),
            own_position: self.own_position().map_or(u32::MAX, |position| position as u32),
            chosen_version: self.chosen_version(),
            confirmed: self.config.is_confirmed(),
            zone: self.zone.clone(),
            recalled,
            voter_set: self.membership.is_known().then(|| wire::set_to_message(set)),
            previous_set: self.membership.previous.as_ref().map(wire::set_to_message),
            ..Welcome::default()
        })
    }

    // ---- Events -------------------------------------------------------------------------------------------

    /// An event has come. After a stall nothing is confirmed: the others have gone on.
    fn on_event(&mut self, now: Micros) {
        if now - self.last_event_at > STALL {
            self.config.doubt(now);
        }
        self.last_event_at = self.last_event_at.max(now);
    }

    /// A connection to another replica was opened from here; the hello has been sent.
    pub fn on_connected(&mut self, now: Micros, connection: ConnectionId, address: &str) -> Vec<Effect> {
        self.on_event(now);
        self.connections.add_outgoing(connection, address);
        self.identify(now, connection);
        self.outbox.take()
    }

    /// A connection opened from here may lead to a voter: it is told what it may lack, and asked for what is lacking here.
    fn identify(&mut self, now: Micros, connection: ConnectionId) {
        if self.connections.identify(now, connection, &self.membership.set).is_none() {
            return;
        }
        self.gather_state_from(now, connection);
        if self.config.chosen().is_some() {
            self.outbox.send(connection, self.known_version());
        }
    }

    /// A connection has ended.
    pub fn on_closed(&mut self, connection: ConnectionId) {
        self.connections.remove(connection);
    }

    /// A message came. One that makes no sense here is counted and dropped.
    pub fn on_message(&mut self, now: Micros, connection: ConnectionId, payload: Payload) -> Vec<Effect> {
        self.on_event(now);
        if let Some(replica) = self.connections.on_message(now, connection) {
            self.peers.on_message(now, &replica);
        }
        self.dispatch(now, connection, payload);
        self.outbox.take()
    }

    fn dispatch(&mut self, now: Micros, connection: ConnectionId, payload: Payload) {
        match payload {
            Payload::Hello(hello) => self.on_hello(now, connection, &hello),
            Payload::Welcome(welcome) => self.on_welcome(now, connection, welcome),
            Payload::Ping(ping) => self.on_ping(now, connection, ping),
            Payload::Pong(_) => {}
            Payload::LivenessReport(report) => self.on_report(now, connection, report),
            Payload::Endpoint(endpoint) => self.on_endpoint(now, connection, endpoint),
            Payload::WatchEndpoints(watch) => self.on_watch(now, connection, watch),
            Payload::UnwatchEndpoints(_) => self.on_unwatch(connection),
            Payload::Claim(claim) => self.on_claim(now, connection, claim),
            Payload::WithdrawClaim(withdrawal) => self.on_withdraw_claim(&withdrawal),
            Payload::ConfigRequest(request) => self.on_config_request(connection, request.version),
            Payload::KnownVersion(known) => self.request_config_above(connection, known.version),
            Payload::ConfigUpdate(update) => self.on_config_update(&update),
            Payload::VoteRequest(request) => self.on_vote_request(now, Some(connection), &request),
            Payload::VoteReply(reply) => self.on_vote_reply(now, reply),
            Payload::ReconfigRequest(request) => self.on_reconfig_request(now, Some(connection), request),
            Payload::ReconfigReply(reply) => self.on_reconfig_reply(now, &reply),
            Payload::StateRequest(request) => self.on_state_request(now, connection, request),
            Payload::SnapshotRequest(request) => self.on_snapshot_request(connection, &request),
            Payload::SnapshotChunk(chunk) => self.on_snapshot_chunk(now, connection, chunk),
            Payload::Handover(state) => self.on_handover(now, connection, state),
            Payload::HandoverReply(reply) => self.on_handover_reply(reply),
            _ => self.counters.messages_dropped += 1,
        }
    }

    fn on_hello(&mut self, now: Micros, connection: ConnectionId, hello: &Hello) {
        let is_proxy = hello.role() == Role::Proxy;
        let replica = (!is_proxy).then(|| hello.address.clone());
        self.connections.on_hello(now, connection, is_proxy, replica);
        let registry = self.endpoints.registry();
        let recalled = registry.endpoint_beside(now, &hello.address).filter(|_| is_proxy);
        if is_proxy {
            self.connections.set_proxy(connection, &hello.address);
            self.report_departures(connection, &hello.address);
        }
        self.outbox.send(connection, self.welcome(recalled));
        if !is_proxy {
            self.peers.on_hello(now, hello);
            self.review_voter_set(now);
        }
    }

    fn on_welcome(&mut self, now: Micros, connection: ConnectionId, welcome: Welcome) {
        let previous = welcome.previous_set.and_then(wire::set_from_message);
        if let Some(set) = welcome.voter_set.and_then(wire::set_from_message) {
            self.learn_set(now, set, previous);
        }
        self.request_config_above(connection, welcome.chosen_version);
    }

    fn on_ping(&mut self, now: Micros, connection: ConnectionId, ping: Ping) {
        if let Some(link) = self.connections.get(connection).filter(|link| link.is_proxy) {
            self.endpoints.registry_mut().refresh(now, &link.instance, Micros(0));
        }
        self.outbox.send(connection, Payload::Pong(ping));
    }

    fn on_report(&mut self, now: Micros, connection: ConnectionId, report: LivenessReport) {
        self.endpoints.on_report(now, &report);
        // Who sent it reaches this one: without a message back it would count itself alone.
        self.outbox.send(connection, Payload::Pong(Ping { number: 0 }));
        if let Some(replica) = self.connections.get(connection).and_then(|link| link.replica.clone()) {
            self.peers.on_report(now, &replica, &report);
        }
        if report.set_number < self.membership.set.number {
            self.outbox.send(connection, self.welcome(None));
        }
    }

    // ---- Disk and time ------------------------------------------------------------------------------------

    /// Hands a batch to the disk; `pending` follows once it is there.
    fn write(&mut self, pending: PendingWrite, batch: Vec<WriteOp>) {
        match self.writes.add(pending) {
            Some(id) => self.outbox.write(id, batch),
            None => self.counters.messages_dropped += 1,
        }
    }

    /// The disk has written a batch, or could not.
    pub fn on_written(&mut self, now: Micros, id: WriteId, written: bool) -> Vec<Effect> {
        self.on_event(now);
        if let Some(pending) = self.writes.remove(id) {
            self.on_pending_written(now, pending, written);
        }
        self.outbox.take()
    }

    fn on_pending_written(&mut self, now: Micros, pending: PendingWrite, written: bool) {
        match pending {
            PendingWrite::Claim(to, reply) => self.on_claim_written(to, *reply, written),
            PendingWrite::Vote { to, number, set_number, response } if written => {
                let vote_pending = self.writes.any(|pending| matches!(pending, PendingWrite::Vote { .. }));
                self.config.set_unsynced(vote_pending);
                self.answer_vote(now, to, number, set_number, &response);
            }
            PendingWrite::Vote { to: Some(to), number, set_number, .. } => {
                self.outbox.send(to, Payload::VoteReply(wire::abstention(number, set_number)));
            }
            PendingWrite::Successor { to, reply } if written => {
                let successor_pending =
                    self.writes.any(|pending| matches!(pending, PendingWrite::Successor { .. }));
                self.membership.register_unsynced = successor_pending;
                self.answer_reconfig(now, to, *reply);
            }
            PendingWrite::Seal(set_number) => self.on_seal_written(now, set_number, written),
            PendingWrite::Installation(set_number) => self.on_installation_written(now, set_number, written),
            PendingWrite::Handover(to, reply) if written => {
                self.outbox.send(to, Payload::HandoverReply(reply));
            }
            PendingWrite::Vote { .. } | PendingWrite::Successor { .. } | PendingWrite::Handover(..) => {}
        }
    }

    /// Time has passed; to be called every 50 ms or so.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        self.on_event(now);
        let jitter = self.rng.rand_float();
        self.tick_proposer(now, jitter);
        self.tick_reconfiguration(now);
        self.tick_installation(now);
        self.tick_handover(now);
        let reaches_majority = self.reaches_majority(now);
        self.reached_majority = reaches_majority;
        if !reaches_majority && self.membership.set.members.len() != 1 {
            self.config.doubt(now);
        }
        self.endpoints.registry_mut().tick(now, reaches_majority);
        self.update_watchers(now);
        self.tick_confirmation(now, jitter, reaches_majority);
        self.claims.tick(now);
        self.tick_availability(now);
        if now >= self.next_report_at {
            self.report_to_voters(now);
        }
        self.outbox.take()
    }

    /// Tells the other voters whom it heard, and of itself.
    fn report_to_voters(&mut self, now: Micros) {
        self.next_report_at = now + REPORT_INTERVAL;
        let set_number = self.membership.set.number;
        let report = LivenessReport {
            registry_version: self.endpoints.registry().version(),
            proxies: self.endpoints.proxy_ages(now),
            voters: self.peers.voter_ages(now, &self.membership.set),
            leaving: self.handover.is_leaving(),
            counted: self.counted,
            incarnation: self.membership.incarnation,
            set_number,
            installed_set: if self.is_installed() { set_number } else { 0 },
        };
        for (_, connection) in self.connections.voters() {
            self.outbox.send(connection, Payload::LivenessReport(report.clone()));
        }
    }
}
