//! Sockets, disk thread and clock around a [`Replica`]. One loop; the disk has a thread of its own, and nothing waits for it but what must.
pub mod disk_thread;
mod operator_api;
mod peer_links;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use log::{info, warn};
use notchspool::units::Micros;
use notchspool_mesh_protocol::text_transfer::TextStore;
use notchspool_runtime::frame_connection::FrameSender;
use notchspool_runtime::node_settings::NodeSettings;
use notchspool_runtime::program::{CheckedSettings, ServiceResult};
use notchspool_runtime::signals::{Event, Signals};
use notchspool_runtime::tasks::spawn_essential;
use notchspool_runtime::{Clock, random_id};
use notchspool_storage::Recovered;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::replica::{CallId, ConnectionId, Effect, Replica, ReplicaOptions};
use disk_thread::{WriteReport, WriteRequest};
use operator_api::Answer;

/// Connections at most, from operators and from the mesh each.
const MAX_CONNECTIONS: usize = 2_000;
/// The part of the grace period for which a replica that ends waits for the others.
const HANDOVER_PART: f64 = 0.8;
/// Claims are kept for this long beyond their window: a request may stand for its whole time on the way before it claims.
const EXTRA_CLAIM_WINDOW: Micros = Micros::ms(8_000);
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// After a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Calls in hand are waited for through so many steps at the end.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_EXIT_POLLS_FOR_CALLS: u32 = 20;
/// Configurations that are held, so that others can be told and made out as differences.
const MAX_HELD_TEXTS: usize = 4;

/// Counts an operator's connection for as long as it is served.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> OpenConnection {
        open.set(open.get() + 1);
        OpenConnection(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// One replica with its connections.
struct Server {
    replica: RefCell<Replica>,
    clock: Clock,
    /// Where operators call.
    operator_address: SocketAddr,
    settings: RefCell<NodeSettings>,
    boot_id: u64,
    senders: RefCell<BTreeMap<ConnectionId, FrameSender>>,
    last_id: Cell<u64>,
    disk: Sender<WriteRequest>,
    calls: RefCell<BTreeMap<CallId, oneshot::Sender<Answer>>>,
    /// Replicas to which a connection is kept.
    connected_to: RefCell<BTreeSet<String>>,
    texts: RefCell<TextStore>,
}

impl Server {
    /// The next number of a connection or call.
    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Carries out what the replica wants done.
    fn carry_out(self: &Rc<Server>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(connection, payload) => {
                    if let Some(sender) = self.senders.borrow().get(&connection) {
                        sender.send(self.texts.borrow_mut().outgoing(connection, payload));
                    }
                }
                Effect::Write { id, batch } => {
                    if self.disk.send(WriteRequest { id, batch }).is_err() {
                        warn!(target: "control-plane", "the disk thread is gone");
                    }
                }
                Effect::Reply { call, status, body } => {
                    if let Some(done) = self.calls.borrow_mut().remove(&call) {
                        // The operator may have left.
                        let _ = done.send(Answer { status, body });
                    }
                }
                Effect::Connect(addresses) => {
                    addresses.into_iter().for_each(|address| self.keep_connected(address));
                }
                Effect::Log(line) => info!(target: "control-plane", "{line}"),
            }
        }
    }

    /// Reads the settings file again; one that makes no sense changes nothing. New seeds are called; all else counts at the next start.
    fn reload_settings(self: &Rc<Server>, file: &Path) {
        match NodeSettings::read(file) {
            Ok(settings) if *self.settings.borrow() != settings => {
                info!(target: "control-plane", "settings have changed");
                let seeds = settings.seed_peer_addresses();
                self.replica.borrow_mut().set_counted(settings.counted);
                self.settings.replace(settings);
                seeds.into_iter().for_each(|seed| self.keep_connected(seed));
            }
            Ok(_) => {}
            Err(e) => warn!(target: "control-plane", "settings stay as they were: {e}"),
        }
    }

    fn accept_peers(self: &Rc<Server>, listener: TcpListener) {
        let server = self.clone();
        spawn_essential("the listener for the mesh", async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                };
                if server.senders.borrow().len() < MAX_CONNECTIONS {
                    // It counts from here on: many may come before the first of their tasks runs.
                    let (connection, sender) = server.add_connection();
                    let carried = server.clone().carry_incoming(stream, connection, sender);
                    spawn_essential("a connection of the mesh", carried);
                }
            }
        });
    }

    fn accept_operators(self: &Rc<Server>, listener: TcpListener) {
        let server = self.clone();
        let open = Rc::new(Cell::new(0usize));
        spawn_essential("the listener for operators", async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                };
                if open.get() >= MAX_CONNECTIONS {
                    continue;
                }
                let (server, open) = (server.clone(), OpenConnection::new(&open));
                // No essential one: a call that panics here would do so at each replica to which it is sent.
                tokio::task::spawn_local(async move {
                    let _open = open;
                    server.serve_operator(stream).await;
                });
            }
        });
    }

    /// The task ends where the disk thread has ended.
    fn take_write_reports(self: &Rc<Server>, mut reports: UnboundedReceiver<WriteReport>) -> JoinHandle<()> {
        let server = self.clone();
        spawn_essential("the reader of write reports", async move {
            while let Some(WriteReport { id, written }) = reports.recv().await {
                let effects = server.replica.borrow_mut().on_written(server.clock.now(), id, written);
                server.carry_out(effects);
            }
        })
    }

    fn run_ticks(self: &Rc<Server>) {
        let server = self.clone();
        spawn_essential("the clock", async move {
            let mut interval = tokio::time::interval(TICK_INTERVAL);
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                interval.tick().await;
                let effects = server.replica.borrow_mut().tick(server.clock.now());
                server.carry_out(effects);
            }
        });
    }

    /// Ends in order: calls in hand get their answers, and what it holds is handed over before, as far as the grace period allows.
    async fn shut_down(self: &Rc<Server>) {
        let grace = self.settings.borrow().bounds.grace;
        let now = self.clock.now();
        let effects = self.replica.borrow_mut().leave(now, now + grace.times(HANDOVER_PART));
        self.carry_out(effects);
        let mut polls = 0;
        loop {
            let waits_for_calls = !self.calls.borrow().is_empty() && polls < MAX_EXIT_POLLS_FOR_CALLS;
            if !waits_for_calls && self.replica.borrow().may_exit(self.clock.now()) {
                return;
            }
            polls += 1;
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }
}

fn replica_options(settings: &NodeSettings, boot_id: u64, claim_window: Micros) -> ReplicaOptions {
    ReplicaOptions {
        address: settings.peer_address(),
        zone: settings.zone.clone(),
        counted: settings.counted,
        tolerate: settings.tolerate,
        boot_id,
        first_start: settings.first_start,
        seeds: settings.seed_peer_addresses(),
        claim_window,
    }
}

/// The texts that are held from the start: the configuration on the disk.
fn held_texts(recovered: &Recovered) -> TextStore {
    let mut texts = TextStore::new(MAX_HELD_TEXTS);
    recovered.accepted.iter().for_each(|entry| texts.hold(entry.value.as_bytes()));
    texts
}

/// Runs a replica until SIGTERM. The listener of the settings is the one for operators.
///
/// # Errors
///
/// Where the disk, a listener or its thread can't be opened at the start, or the thread ends: without it nothing is voted for, and a new
/// start may help.
pub async fn run(settings: CheckedSettings<SocketAddr>, signals: Signals) -> ServiceResult {
    let CheckedSettings { node: settings, file, listeners: operator_address } = settings;
    let mut process_events = signals.watch(&file);
    let clock = Clock::start();
    let boot_id = random_id();
    let folder = settings.data_path.clone().ok_or("dataPath: the control plane needs a disk")?;
    let claim_window = settings.bounds.key_window + EXTRA_CLAIM_WINDOW;
    let kept = Duration::from_micros(claim_window.0 as u64);
    let (storage, recovered) = disk_thread::open(&folder, kept).await?;
    recovered.torn_files.iter().for_each(|name| warn!(target: "storage", "{name} was torn and is left out"));
    let texts = held_texts(&recovered);
    let options = replica_options(&settings, boot_id, claim_window);
    let (replica, effects) = Replica::open(options, recovered, clock.now());
    let (report, reports) = unbounded_channel();
    let disk = disk_thread::spawn(storage, report)?;
    let peer_listener = TcpListener::bind(settings.peer_address()).await?;
    let operator_listener = TcpListener::bind(operator_address).await?;
    let server = Rc::new(Server {
        replica: RefCell::new(replica),
        clock,
        operator_address,
        boot_id,
        senders: RefCell::default(),
        last_id: Cell::new(1),
        disk,
        calls: RefCell::default(),
        connected_to: RefCell::default(),
        texts: RefCell::new(texts),
        settings: RefCell::new(settings),
    });
    server.carry_out(effects);
    // Whoever is known there tells of the set, though all that this one knew may be gone by now.
    let seeds = server.settings.borrow().seed_peer_addresses();
    seeds.into_iter().for_each(|seed| server.keep_connected(seed));
    {
        let settings = server.settings.borrow();
        info!(target: "control-plane", "{} listens at {} and {operator_address}", settings.node, settings.peer_address());
    }
    server.accept_peers(peer_listener);
    server.accept_operators(operator_listener);
    let mut disk_thread = server.take_write_reports(reports);
    server.run_ticks();
    loop {
        tokio::select! {
            event = process_events.next() => match event {
                Event::Reload => server.reload_settings(&file),
                Event::Terminate => break,
            },
            _ = &mut disk_thread => return Err("the disk thread has ended".into()),
        }
    }
    info!(target: "control-plane", "ends on SIGTERM");
    server.shut_down().await;
    Ok(())
}
