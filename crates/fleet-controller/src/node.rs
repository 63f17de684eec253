//! The state of a controller: contender, voter, connections, and the commands while it is the owner. All that leaves, leaves from here.
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use notchspool::units::Micros;
use notchspool_command_controller::Controller;
use notchspool_command_controller::records::{self, CommandRecord, RegisterKey};
use notchspool_commands::Revision;
use notchspool_consensus::acceptor_recovery::Recovery;
use notchspool_consensus::lease_owner::{Contender, Effects, Event};
use notchspool_consensus::{ContenderId, OWNER_KEY, OwnerRecord, Request, Space, VoterId};
use notchspool_fleet_protocol::{Body, ControllerStatus, Message, OwnerReference, VoterStatus};
use oorandom::Rand64;
use tokio::sync::mpsc;

use crate::messages::{ConnectionEvent, ConnectionId, JOB, ReplyTo};
use crate::owner::{Owner, PendingEffect};
use crate::voter::Voter;
use crate::voter_peers::{NumberedResponse, VoterPeer};
use crate::{ControllerSettings, PausePoint};

/// Commands whose deadlines are remembered; more than are kept.
const MAX_DEADLINES: usize = 2_048;
/// How often time passes for the commands.
const TICK: Micros = Micros::ms(50);
/// How often other voters are asked for the state that this one lost.
const RECOVERY_INTERVAL: Micros = Micros::ms(200);
/// Under numbers with this bit the others answer a voter that lost its disk; the rest is its incarnation.
const RECOVERY_BIT: u64 = 1 << 63;
/// The event loop wakes up at the earliest and at the latest after this, in microseconds.
const MIN_WAIT_US: i64 = 200;
const MAX_WAIT_US: i64 = 1_000_000;
/// When to ask the next owner, who asked this one as it ceased to be.
const RETRY_AFTER_LOSS_US: i64 = 100_000;

/// The other voters.
pub type VoterPeers = BTreeMap<VoterId, VoterPeer>;

/// What a node is made of.
pub struct NodeParts {
    /// The settings.
    pub settings: ControllerSettings,
    /// Where a test stops this process.
    pub pause_point: Option<PausePoint>,
    /// When the process began: zero of its clock.
    pub started: Instant,
    /// Randomness for jitter and identifiers.
    pub rng: Rand64,
    /// The voter here.
    pub voter: Voter,
    /// Takes the responses of the voter here.
    pub own_responses: mpsc::Sender<NumberedResponse>,
    /// The other voters.
    pub peers: VoterPeers,
}

/// A voter that lost its disk asks the others for what it knew.
struct OngoingRecovery {
    recovery: Recovery,
    ask_at: Micros,
}

/// See the module.
pub struct ControllerNode {
    pub(crate) settings: ControllerSettings,
    pause_point: Option<PausePoint>,
    started: Instant,
    pub(crate) rng: Rand64,
    voter: Voter,
    own_responses: mpsc::Sender<NumberedResponse>,
    peers: VoterPeers,
    recovery: Option<OngoingRecovery>,
    pub(crate) contender: Contender,
    /// Its commands, while it is the owner.
    pub(crate) owner: Option<Owner>,
    connections: BTreeMap<ConnectionId, mpsc::Sender<String>>,
    /// Deadlines of commands that another controller owns, by the clock here: from the moment the voter here first saw them written.
    deadlines: BTreeMap<Revision, Micros>,
    writes: u64,
    refused: BTreeMap<String, u64>,
}

impl ControllerNode {
    /// A node that owns nothing yet.
    pub fn new(parts: NodeParts) -> ControllerNode {
        let NodeParts { settings, pause_point, started, mut rng, voter, own_responses, peers } = parts;
        let id = ContenderId(rng.rand_u64() | 1);
        let (parameters, address) = (settings.parameters, settings.index.to_string());
        let contender =
            Contender::new(id, &settings.name, &address, JOB, parameters, Micros(0), rng.rand_float());
        let is_blank = voter.status() == VoterStatus::Blank;
        let recovery = is_blank.then(|| OngoingRecovery {
            recovery: Recovery::new(VoterId(settings.index), parameters),
            ask_at: Micros(0),
        });
        ControllerNode {
            settings,
            pause_point,
            started,
            rng,
            voter,
            own_responses,
            peers,
            recovery,
            contender,
            owner: None,
            connections: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            writes: 0,
            refused: BTreeMap::new(),
        }
    }

    pub(crate) fn now(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as i64)
    }

    /// How long the event loop may wait for events.
    pub fn until_next_deadline(&self) -> Duration {
        let mut next = self.contender.next_deadline();
        if let Some(owner) = &self.owner {
            next = next.min(owner.last_tick + TICK);
        }
        if let Some(recovery) = &self.recovery {
            next = next.min(recovery.ask_at);
        }
        Duration::from_micros((next - self.now()).0.clamp(MIN_WAIT_US, MAX_WAIT_US) as u64)
    }

    /// A test may stop this process here.
    pub(crate) fn pass_pause_point(&mut self, name: &str) {
        if self.pause_point.as_mut().is_some_and(|point| point.pass(name)) {
            self.pause_point = None;
        }
    }

    /// Sends an answer. A peer that does not read is disconnected.
    pub(crate) fn reply(&mut self, to: ReplyTo, body: Body) {
        let line = Message::new(&self.settings.fleet, &self.settings.name, to.number, body).encode();
        let sent = self.connections.get(&to.connection).map(|outgoing| outgoing.try_send(line));
        if matches!(sent, Some(Err(_))) {
            self.connections.remove(&to.connection);
        }
    }

    /// Something happened on a connection.
    pub fn on_connection_event(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Opened(id, outgoing) => {
                self.connections.insert(id, outgoing);
            }
            ConnectionEvent::Closed(id) => {
                self.connections.remove(&id);
                if let Some(owner) = &mut self.owner {
                    owner.on_connection_closed(id);
                }
            }
            ConnectionEvent::Received(id, message) => self.on_message(id, *message),
            ConnectionEvent::Undecodable(counter) => {
                *self.refused.entry(counter.to_owned()).or_default() += 1;
            }
        }
    }

    fn on_message(&mut self, connection: ConnectionId, message: Message) {
        let Message { number, body, from, .. } = message;
        let reply_to = ReplyTo { connection, number };
        match body {
            Body::VoterRequest(request) => self.on_voter_request(reply_to, request),
            Body::GetStatus => {
                let status = self.status();
                self.reply(reply_to, Body::Status(status));
            }
            body => {
                let now = self.now();
                // By the clock here, before each answer: after a long pause nothing is answered as an owner.
                if self.owner.is_none() || self.contender.owns(now).is_none() {
                    let not_owner = self.not_owner();
                    return self.reply(reply_to, not_owner);
                }
                self.on_owner_message(now, reply_to, &from, body);
            }
        }
    }

    fn on_voter_request(&mut self, reply_to: ReplyTo, request: Request) {
        self.observe(&request);
        let Some(outgoing) = self.connections.get(&reply_to.connection).cloned() else { return };
        let (fleet, name) = (self.settings.fleet.clone(), self.settings.name.clone());
        let respond = Box::new(move |response| {
            let body = Body::VoterResponse(response);
            // A voter whose connection is full or gone asks again.
            let _ = outgoing.try_send(Message::new(&fleet, &name, reply_to.number, body).encode());
        });
        self.voter.send(request, respond);
    }

    /// What another owner writes passes here: that it releases the ownership, who it is, and the deadlines of its commands.
    fn observe(&mut self, request: &Request) {
        let Request::Accept { space, lease, changes, .. } = request else { return };
        match space {
            Space::Owner(job) if job == JOB => {
                if lease.as_ref().is_some_and(|lease| lease.duration_us == 0) {
                    let (now, jitter) = (self.now(), self.rng.rand_float());
                    self.contender.on_release_observed(now, jitter);
                }
                let owner = changes.iter().find(|(key, _)| key == OWNER_KEY);
                if let Some(record) = owner.and_then(|(_, text)| OwnerRecord::parse(text)) {
                    self.contender.observe_owner(record);
                }
            }
            Space::State(job) if job == JOB => self.observe_deadlines(changes),
            _ => {}
        }
    }

    /// Commands end at their deadlines, whichever controller owns them by then.
    fn observe_deadlines(&mut self, changes: &[(String, String)]) {
        let now = self.now();
        for (key, text) in changes {
            let is_command = matches!(RegisterKey::parse(key), Some(RegisterKey::Command(_)));
            let record = is_command.then(|| records::decode::<CommandRecord>(text)).flatten();
            if let Some(record) = record {
                self.deadlines.entry(record.revision).or_insert(now + Micros(record.left_us));
            }
        }
        while self.deadlines.len() > MAX_DEADLINES {
            self.deadlines.pop_first();
        }
    }

    fn not_owner(&self) -> Body {
        let owner = self.contender.last_owner().filter(|owner| !owner.released);
        let index = owner.and_then(|owner| owner.address.parse().ok());
        Body::NotOwner { owner_index: index.filter(|index| *index != self.settings.index) }
    }

    fn status(&self) -> ControllerStatus {
        let owner = self.contender.last_owner().filter(|owner| !owner.released);
        let reference = |owner: &OwnerRecord| {
            let index = owner.address.parse().ok()?;
            Some(OwnerReference { name: owner.name.clone(), index, token: owner.token })
        };
        ControllerStatus {
            name: self.settings.name.clone(),
            index: self.settings.index,
            program_version: env!("CARGO_PKG_VERSION").into(),
            voter: self.voter.status(),
            owner: owner.and_then(reference),
            is_owner: self.contender.owns(self.now()).is_some(),
            instances: self.owner.as_ref().map_or(0, |owner| owner.controller.instance_count()),
            writes: self.writes,
            refused: self.refused.clone(),
        }
    }

    /// A voter responded.
    pub fn on_response(&mut self, response: NumberedResponse) {
        let NumberedResponse { voter, number, response } = response;
        if number & RECOVERY_BIT != 0 {
            let incarnation = number & !RECOVERY_BIT;
            let recovery = self.recovery.as_mut();
            let recovered = recovery.and_then(|r| r.recovery.on_response(voter, incarnation, response));
            if let Some(state) = recovered {
                self.voter.on_recovered(state);
                self.recovery = None;
            }
            return;
        }
        let (now, jitter) = (self.now(), self.rng.rand_float());
        let effects = self.contender.on_response(now, jitter, voter, number, response);
        self.apply(effects);
    }

    /// Carries out what the contender wants.
    pub(crate) fn apply(&mut self, effects: Effects) {
        for message in effects.messages {
            if message.to == VoterId(self.settings.index) {
                self.send_to_own_voter(message.number, message.request);
            } else if let Some(peer) = self.peers.get(&message.to) {
                peer.send(message.number, message.request);
            }
        }
        for event in effects.events {
            match event {
                Event::Acquired { token, entries } => {
                    let (seed, now) = (self.rng.rand_u64(), self.now());
                    let policy = self.settings.policy;
                    let controller = Controller::open(policy, token, &entries, seed, now);
                    self.on_acquired(now, controller);
                }
                Event::Committed(write) => {
                    self.writes += 1;
                    let committed = self.owner.as_mut().map(|owner| owner.pending.on_committed(write));
                    committed.into_iter().flatten().for_each(|effect| self.carry_out(effect));
                }
                Event::Lost(reason) => {
                    log::warn!("owns {JOB} no more: {reason:?}");
                    self.on_ownership_lost();
                }
            }
        }
    }

    fn send_to_own_voter(&self, number: u64, request: Request) {
        let (responses, voter) = (self.own_responses.clone(), VoterId(self.settings.index));
        let respond = Box::new(move |response| {
            // One that finds no room is asked for again.
            let _ = responses.try_send(NumberedResponse { voter, number, response });
        });
        self.voter.send(request, respond);
    }

    fn on_acquired(&mut self, now: Micros, mut controller: Controller) {
        controller.shorten_deadlines(&self.deadlines);
        for key in controller.unreadable() {
            log::error!("register `{key}` can't be read and is left out");
        }
        let (token, instances) = (controller.token().0, controller.instance_count());
        log::info!("owns {JOB} under token {token}: {instances} instances");
        self.owner = Some(Owner::new(controller, now));
    }

    /// What was not yet promised is left open: whoever asked asks the next owner, under the same id.
    pub(crate) fn on_ownership_lost(&mut self) {
        let Some(owner) = self.owner.take() else { return };
        for effect in owner.pending.into_all() {
            if let PendingEffect::Reply(to, _) = effect {
                self.reply(to, Body::RetryLater { after_us: RETRY_AFTER_LOSS_US });
            }
        }
    }

    /// After events: time passes, and what is to be written is written.
    pub fn advance(&mut self) {
        let (now, jitter) = (self.now(), self.rng.rand_float());
        let effects = self.contender.tick(now, jitter);
        self.apply(effects);
        self.ask_for_recovery(now);
        if self.contender.owns(now).is_some() {
            self.advance_owner(now, TICK);
        }
    }

    fn ask_for_recovery(&mut self, now: Micros) {
        let Some(ongoing) = self.recovery.as_mut().filter(|ongoing| ongoing.ask_at <= now) else { return };
        ongoing.ask_at = now + RECOVERY_INTERVAL;
        let request = ongoing.recovery.request();
        let Request::Readmit { incarnation, .. } = &request else { return };
        for voter in ongoing.recovery.outstanding() {
            if let Some(peer) = self.peers.get(&voter) {
                peer.send(RECOVERY_BIT | incarnation, request.clone());
            }
        }
    }

    /// The process is asked to end.
    pub fn release_ownership(&mut self) {
        let (now, jitter) = (self.now(), self.rng.rand_float());
        log::info!("asked to end");
        let effects = self.contender.release(now, jitter);
        self.apply(effects);
    }
}
