//! Connections to the replicas of the control plane: all of them for endpoints, claims and what is chosen; one of them is watched for the
//! endpoint list.
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use notchspool_endpoint_registry::departure_claim;
use notchspool_endpoint_registry::heartbeats::{Departure, Event};
use notchspool_endpoint_registry::recall::{DepartureHistory, Recollection};
use notchspool_idempotency::claim_proposal::Outcome;
use notchspool_mesh_protocol::text_transfer::{Incoming, TextStore};
use notchspool_mesh_protocol::{
    ClaimReply, ClaimVote, ConfigRequest, DepartureReport, Endpoint, Hello, KnownVersion, Payload, Ping,
    UnwatchEndpoints, VoterSet, WatchEndpoints, Welcome,
};
use notchspool_runtime::frame_connection::{self, CloseReason, FrameSender};
use notchspool_runtime::tasks::spawn_essential;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::claim_client::ClaimClient;
use crate::config_store::ConfigStore;
use crate::context::Context;
use crate::local_backend::LocalBackend;
use crate::replicas::{Replica, Replicas};
use crate::report_confirmation::{PingNumber, ReportConfirmations};
use crate::services::Services;
use crate::watched_replica::{self, Candidate};

/// How often a replica is told that this proxy lives.
const PING_INTERVAL: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Backoff after a connection that was lost or not made, in milliseconds; doubled for each in a row.
const RECONNECT_BACKOFF_MS: f64 = 60.0;
const MAX_RECONNECT_DOUBLINGS: u32 = 4;
/// Backoff before another replica is watched, in milliseconds at most; doubled for each in a row.
const REWATCH_BACKOFF_MS: f64 = 100.0;
const MAX_REWATCH_DOUBLINGS: u32 = 5;
/// A chosen version comes by itself from the replica that is watched: another is asked for it only after this, one at a time. Where none is
/// watched, sooner.
const CONFIG_REQUEST_DELAY: Duration = Duration::from_millis(500);
const UNWATCHED_CONFIG_REQUEST_DELAY: Duration = Duration::from_millis(40);
/// What a replica has without having confirmed it is taken only where no other has answered for so long.
const UNCONFIRMED_CONFIG_REQUEST_DELAY: Duration = Duration::from_millis(1_000);
/// A replica that is nearer than the one watched is watched instead, after this and as much again by chance: by then it has gathered.
const NEARER_REPLICA_DELAY: Duration = Duration::from_millis(2_000);
/// A caller of `instances.heartbeat` or `instances.leave` waits for a second; the answer has to be on its way by then.
const CONFIRM_REPORT_WITHIN: Duration = Duration::from_millis(800);
/// A departure that was not claimed is claimed again after this.
const DEPARTURE_CLAIM_INTERVAL: Duration = Duration::from_millis(50);
/// Configurations that are held, so that the next can be told as a difference.
const MAX_HELD_TEXTS: usize = 2;

/// The proxy's side of the control plane.
pub struct ControlClient {
    context: Rc<Context>,
    replicas: Rc<Replicas>,
    claims: Rc<ClaimClient>,
    config: Rc<ConfigStore>,
    services: Rc<Services>,
    backend: Rc<LocalBackend>,
    texts: RefCell<TextStore>,
    /// The replica whose endpoints are watched.
    watched: RefCell<Option<String>>,
    /// The boot id of the replica that numbered the endpoint list.
    list_numbered_by: Cell<u64>,
    watch_failures: Cell<u32>,
    /// What the replicas recall of the backend here.
    recollection: RefCell<Recollection>,
    /// Which replicas have told the departures that are on their disks.
    departure_history: RefCell<DepartureHistory>,
    /// How often the backend here was reported to the replicas.
    reports: Cell<u64>,
    confirmations: RefCell<ReportConfirmations>,
    /// A replica has confirmed a report.
    confirmed: Notify,
    /// The version that is waited for before another replica is asked.
    awaited_version: Cell<u64>,
}

impl ControlClient {
    /// Tells `config` and `services` what comes, and the replicas of `backend`.
    pub fn new(
        context: Rc<Context>,
        replicas: Rc<Replicas>,
        claims: Rc<ClaimClient>,
        config: Rc<ConfigStore>,
        services: Rc<Services>,
        backend: Rc<LocalBackend>,
    ) -> ControlClient {
        ControlClient {
            context,
            replicas,
            claims,
            config,
            services,
            backend,
            texts: RefCell::new(TextStore::new(MAX_HELD_TEXTS)),
            watched: RefCell::default(),
            list_numbered_by: Cell::default(),
            watch_failures: Cell::default(),
            recollection: RefCell::default(),
            departure_history: RefCell::default(),
            reports: Cell::default(),
            confirmations: RefCell::default(),
            confirmed: Notify::new(),
            awaited_version: Cell::default(),
        }
    }

    // ---- Connections --------------------------------------------------------------------------------------

    /// Keeps a connection to a replica for as long as this process lives and the replica votes.
    pub fn keep_connected(self: &Rc<ControlClient>, address: String) {
        if !self.replicas.begin_connecting(&address) {
            return;
        }
        let client = self.clone();
        spawn_essential("a connection to a replica", async move {
            let Ok(to) = address.parse::<SocketAddr>() else { return };
            let mut failures = 0u32;
            loop {
                if let Ok(stream) = frame_connection::connect(to, CONNECT_TIMEOUT).await {
                    failures = 0;
                    let reason = client.carry(stream, &address).await;
                    log::debug!(target: "control-client", "lose {address}: {reason}");
                    client.on_lost(&address);
                }
                if !client.replicas.is_wanted(&address) {
                    client.replicas.stop_connecting(&address);
                    return;
                }
                let doublings = failures.min(MAX_RECONNECT_DOUBLINGS);
                let jitter = 0.5 + client.context.random();
                let backoff_ms = RECONNECT_BACKOFF_MS * f64::from(1u32 << doublings) * jitter;
                failures += 1;
                tokio::time::sleep(Duration::from_millis(backoff_ms as u64)).await;
            }
        });
    }

    async fn carry(self: &Rc<ControlClient>, stream: TcpStream, address: &str) -> CloseReason {
        let (connection, sender) = (self.context.next_id(), FrameSender::default());
        let zone = self.context.settings().zone.clone();
        let hello = Payload::Hello(Hello { zone, ..self.context.hello() });
        sender.send(self.texts.borrow_mut().outgoing(connection, hello));
        let on_message = |payload| {
            let incoming = self.texts.borrow_mut().incoming(connection, payload);
            match incoming {
                Incoming::Message(payload) => self.on_message(address, &sender, payload),
                Incoming::Reply(payload) => {
                    self.context.count("differences_refused");
                    sender.send(payload);
                }
                Incoming::Nothing => self.context.count("messages_unknown"),
            }
        };
        let run = frame_connection::run(stream, sender.clone(), Some(IDLE_TIMEOUT), on_message);
        let reason = tokio::select! {
            reason = run => reason,
            () = send_pings(&sender) => CloseReason::ClosedHere,
        };
        (0..sender.malformed_frames()).for_each(|_| self.context.count("messages_unknown"));
        self.texts.borrow_mut().on_closed(connection);
        reason
    }

    fn on_lost(self: &Rc<ControlClient>, address: &str) {
        self.replicas.remove(address);
        if self.watched.borrow().as_deref() != Some(address) {
            return;
        }
        *self.watched.borrow_mut() = None;
        // Resumed elsewhere after a jittered backoff; the list stays as it is.
        let doublings = self.watch_failures.get().min(MAX_REWATCH_DOUBLINGS);
        self.watch_failures.set(doublings + 1);
        let backoff_ms = REWATCH_BACKOFF_MS * f64::from(1u32 << doublings) * self.context.random();
        self.watch_after(Duration::from_millis(backoff_ms as u64));
    }

    // ---- Messages -----------------------------------------------------------------------------------------

    fn on_message(self: &Rc<ControlClient>, address: &str, sender: &FrameSender, payload: Payload) {
        match payload {
            Payload::DepartureReport(report) => self.on_departure_report(address, report),
            Payload::Welcome(welcome) => self.on_welcome(address, sender, welcome),
            Payload::KnownVersion(known) => {
                self.replicas.set_known_version(address, known);
                self.on_known_version(sender, known);
            }
            Payload::ConfigUpdate(update) => match update.checked_body() {
                Some(body) => self.on_config(update.version, &body),
                None => self.context.count("messages_unknown"),
            },
            Payload::EndpointUpdate(update) => {
                if self.watched.borrow().as_deref() == Some(address) {
                    self.watch_failures.set(0);
                    self.list_numbered_by.set(update.numbered_by);
                    self.services.apply(update);
                }
            }
            Payload::ClaimReply(reply) => self.on_claim_reply(address, reply),
            Payload::Pong(pong) => {
                if self.confirmations.borrow_mut().on_pong(pong.number, address) {
                    self.confirmed.notify_waiters();
                }
            }
            _ => self.context.count("messages_unknown"),
        }
    }

    fn on_welcome(self: &Rc<ControlClient>, address: &str, sender: &FrameSender, welcome: Welcome) {
        let known_version = KnownVersion { version: welcome.chosen_version, confirmed: welcome.confirmed };
        let replica = Replica { sender: sender.clone(), zone: welcome.zone, known_version };
        if let Some(set) = welcome.voter_set.filter(|set| set.number > self.replicas.set_number()) {
            self.on_voter_set(set);
        }
        self.departure_history.borrow_mut().on_welcome(address);
        self.review_departure_history();
        self.on_recalled(address, welcome.recalled.as_ref());
        if !self.replicas.is_voter(address) {
            return;
        }
        self.replicas.add(address, replica);
        if let Some(endpoint) = self.backend.endpoint() {
            sender.send(Payload::Endpoint(endpoint));
        }
        for number in self.confirmations.borrow().open() {
            sender.send(ping(number));
        }
        if self.watched.borrow().is_none() {
            self.watch();
        } else {
            // Should it be a nearer one, it is watched before long.
            self.watch_after(NEARER_REPLICA_DELAY.mul_f64(1.0 + self.context.random()));
        }
        self.on_known_version(sender, known_version);
    }

    fn on_config(&self, version: u64, body: &[u8]) {
        if let Some(config) = self.config.apply(version, body) {
            self.services.forget_unnamed(|service| config.services.contains_key(service));
        }
    }

    /// A replica tells which instances here are on their way out, by its disk.
    fn on_departure_report(&self, address: &str, report: DepartureReport) {
        for departed in report.departed {
            let state = departed.state();
            let Some(departure) = Departure::of_state(state) else { continue };
            log::info!(target: "control-client", "{address} has on its disk that {} is {state}", departed.instance);
            self.apply_to_backend(Event::RecalledDeparture(departed.instance, departure));
        }
        self.departure_history.borrow_mut().on_told(address, report.complete);
        self.review_departure_history();
    }

    /// Once a majority has told the departures that it knows, what the backend says is believed.
    fn review_departure_history(&self) {
        if self.departure_history.borrow().is_known(&self.replicas.voters()) {
            self.apply_to_backend(Event::HistoryKnown);
        }
    }

    fn apply_to_backend(&self, event: Event) {
        if self.backend.apply(event) {
            self.report_endpoint();
        }
    }

    /// A replica tells what it recalls of the backend here.
    fn on_recalled(&self, address: &str, recalled: Option<&Endpoint>) {
        if let Some(endpoint) = recalled {
            let (instance, state) = (&endpoint.instance, endpoint.state());
            log::info!(target: "control-client", "{address} recalls {instance} as {state}");
        }
        let voters = self.replicas.voters();
        let believed = self.recollection.borrow_mut().on_told(address, recalled, &voters);
        if believed.is_some_and(|endpoint| self.backend.recall(&endpoint)) {
            self.report_endpoint();
        }
    }

    /// A vote counts for the voter that it came from.
    fn on_claim_reply(&self, address: &str, reply: ClaimReply) {
        let is_own_vote = self.replicas.is_voter_at(reply.voter as usize, address);
        if is_own_vote || reply.vote == i32::from(ClaimVote::Abstained) {
            self.claims.on_reply(reply);
        } else {
            self.context.count("votes_astray");
        }
    }

    /// Another voter set is decided: a replica that votes no more is watched no more, and open claims are asked anew of the new voters.
    fn on_voter_set(self: &Rc<ControlClient>, set: VoterSet) {
        let voters: Vec<String> = set.members.into_iter().map(|member| member.address).collect();
        self.replicas.set_voters(set.number, &voters);
        self.claims.on_set_changed(set.number, voters.len());
        let lost_watched = self.watched.borrow().as_ref().is_some_and(|watched| !voters.contains(watched));
        if lost_watched {
            *self.watched.borrow_mut() = None;
            self.watch();
        }
        self.review_departure_history();
        voters.into_iter().for_each(|voter| self.keep_connected(voter));
    }

    /// Tells the replicas of the backend here.
    pub fn report_endpoint(&self) {
        self.reports.set(self.reports.get() + 1);
        if let Some(endpoint) = self.backend.endpoint() {
            self.replicas.send_to_all(&Payload::Endpoint(endpoint));
        }
    }

    /// Waits until a majority of the voters knows what is known here of the backend, and has on its disk how far this instance has come on its
    /// way out; false where that takes over `CONFIRM_REPORT_WITHIN`.
    pub async fn confirm_departure(&self, instance: &str, departure: Departure) -> bool {
        let confirmed = tokio::time::timeout(CONFIRM_REPORT_WITHIN, async {
            tokio::join!(self.confirm_report(), self.claim_departure(instance, departure))
        });
        confirmed.await.is_ok()
    }

    /// What comes meanwhile has to be known too: a replica that connects may recall what was not known here.
    async fn confirm_report(&self) {
        loop {
            let reports = self.reports.get();
            self.confirm_sent().await;
            if self.reports.get() == reports {
                return;
            }
        }
    }

    async fn claim_departure(&self, instance: &str, departure: Departure) {
        let key = departure_claim::key(instance, departure);
        while self.claims.claim(&key, departure_claim::TICKET).await != Outcome::Granted {
            tokio::time::sleep(DEPARTURE_CLAIM_INTERVAL).await;
        }
    }

    /// Waits until a majority of the voters has taken what was sent to it up to now.
    async fn confirm_sent(&self) {
        let open = OpenConfirmation::new(&self.confirmations);
        self.replicas.send_to_all(&ping(open.number));
        loop {
            let confirmed = self.confirmed.notified();
            if self.confirmations.borrow().is_confirmed(open.number, &self.replicas.voters()) {
                return;
            }
            confirmed.await;
        }
    }

    // ---- The endpoint list --------------------------------------------------------------------------------

    fn watch_after(self: &Rc<ControlClient>, delay: Duration) {
        let client = self.clone();
        spawn_essential("the watch of endpoints", async move {
            tokio::time::sleep(delay).await;
            client.watch();
        });
    }

    /// Watches one of the replicas in reach, unless the one that is watched is as good.
    fn watch(&self) {
        let own_zone = self.context.settings().zone.clone();
        let zones = self.replicas.zones();
        let candidates: Vec<Candidate<'_>> =
            zones.iter().map(|(address, zone)| Candidate { address, zone }).collect();
        let watched = self.watched.borrow().clone();
        let draw = self.context.random();
        let Some(next) = watched_replica::pick(&own_zone, watched.as_deref(), &candidates, draw) else {
            return;
        };
        if let Some(sender) = watched.and_then(|watched| self.replicas.sender(&watched)) {
            sender.send(Payload::UnwatchEndpoints(UnwatchEndpoints {}));
        }
        *self.watched.borrow_mut() = Some(next.to_string());
        let watch = WatchEndpoints {
            version: self.services.list_version(),
            numbered_by: self.list_numbered_by.get(),
        };
        if let Some(sender) = self.replicas.sender(next) {
            sender.send(Payload::WatchEndpoints(watch));
        }
    }

    // ---- The configuration --------------------------------------------------------------------------------

    fn lacks(&self, version: u64) -> bool {
        self.config.version().unwrap_or(0) < version
    }

    /// A replica knows a version to be chosen: where it does not come by itself it is asked for. At once where there is none here.
    fn on_known_version(self: &Rc<ControlClient>, sender: &FrameSender, known: KnownVersion) {
        let at_once = self.config.version().is_none();
        self.request_config(sender, known, at_once);
    }

    fn request_config(self: &Rc<ControlClient>, sender: &FrameSender, known: KnownVersion, at_once: bool) {
        let KnownVersion { version, confirmed } = known;
        if !self.lacks(version) || (confirmed && version <= self.awaited_version.get()) {
            return;
        }
        let delay = match (at_once, self.watched.borrow().is_some()) {
            _ if !confirmed => UNCONFIRMED_CONFIG_REQUEST_DELAY,
            (true, _) => Duration::ZERO,
            (false, true) => CONFIG_REQUEST_DELAY,
            (false, false) => UNWATCHED_CONFIG_REQUEST_DELAY,
        };
        if confirmed {
            self.awaited_version.set(version);
        }
        let (client, sender) = (self.clone(), sender.clone());
        spawn_essential("a request for a configuration", async move {
            tokio::time::sleep(delay).await;
            if client.lacks(version) {
                sender.send(Payload::ConfigRequest(ConfigRequest { version }));
                tokio::time::sleep(CONFIG_REQUEST_DELAY).await;
            }
            if client.awaited_version.get() == version {
                // Whoever says next that it is chosen may be asked.
                client.awaited_version.set(0);
            }
            if confirmed && client.lacks(version) {
                client.request_config_elsewhere(version);
            }
        });
    }

    fn request_config_elsewhere(self: &Rc<ControlClient>, version: u64) {
        if let Some(other) = self.replicas.with_version(version) {
            let known = KnownVersion { version, confirmed: other.known_version.confirmed };
            self.request_config(&other.sender, known, false);
        }
    }
}

/// A ping that is open for as long as somebody waits for it.
struct OpenConfirmation<'a> {
    confirmations: &'a RefCell<ReportConfirmations>,
    number: PingNumber,
}

impl OpenConfirmation<'_> {
    fn new(confirmations: &RefCell<ReportConfirmations>) -> OpenConfirmation<'_> {
        OpenConfirmation { confirmations, number: confirmations.borrow_mut().begin() }
    }
}

impl Drop for OpenConfirmation<'_> {
    fn drop(&mut self) {
        self.confirmations.borrow_mut().end(self.number);
    }
}

fn ping(number: PingNumber) -> Payload {
    Payload::Ping(Ping { number: number.as_u64() })
}

async fn send_pings(sender: &FrameSender) {
    let mut number = 0;
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        number += 1;
        sender.send(Payload::Ping(Ping { number }));
    }
}
