//! The process: it listens, and hands what comes to the [`crate::node`], one event after the other.
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use notchspool_consensus::VoterId;
use notchspool_fleet_protocol::{Body, Message};
use oorandom::Rand64;
use rustix::process::Signal;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

use crate::line_connection;
use crate::messages::{ConnectionEvent, ConnectionId};
use crate::node::{ControllerNode, NodeParts};
use crate::voter::{OpenError, Voter, VoterConfig};
use crate::voter_peers::{NumberedResponse, VoterPeerConfig};
use crate::{ControllerSettings, StartOptions};

/// Connections at once.
const MAX_CONNECTIONS: usize = 8192;
/// Events that wait, of connections and of voters each.
const EVENT_QUEUE: usize = 4096;
/// Events that are handled before time passes, the next write begins and the system is asked again.
const MAX_BATCH: usize = 512;
/// After an error of `accept`, such as no free descriptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// At the end, for other tasks to write what was said last.
const FINAL_WRITES: Duration = Duration::from_millis(50);
/// A connection to another voter is given up after this fraction of a lease without a response, but not before the least.
const RESPONSE_TIMEOUT_OF_LEASE: i64 = 3;
const MIN_RESPONSE_TIMEOUT_US: i64 = 200_000;

/// Why a controller does not run.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum StartError {
    /// No runtime.
    #[display("no runtime: {_0}")]
    Runtime(std::io::Error),
    /// A signal can't be handled.
    #[display("{_0}")]
    Signal(std::io::Error),
    /// The voter does not start.
    #[display("{_0}")]
    #[from]
    Voter(OpenError),
    /// The address can't be listened on.
    #[display("{address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The task that accepts connections is gone.
    #[display("nobody accepts any more")]
    AcceptEnded,
}

/// Runs until SIGTERM.
pub async fn run(settings: ControllerSettings, options: StartOptions) -> Result<(), StartError> {
    let started = Instant::now();
    let mut rng = Rand64::new(seed(settings.index).into());
    // A write beyond a limit on the size of files comes back as an error then, and does not end the process.
    let _file_size_signal =
        signal(SignalKind::from_raw(Signal::XFSZ.as_raw())).map_err(StartError::Signal)?;
    let voter = open_voter(&settings, options.first_start, started)?;
    let long_lines = line_connection::long_line_permits();
    let address = settings.listen;
    let listener =
        TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })?;
    let (response_sender, mut responses) = mpsc::channel(EVENT_QUEUE);
    let peers = connect_peers(&settings, &mut rng, &long_lines, &response_sender);
    let (event_sender, mut events) = mpsc::channel(EVENT_QUEUE);
    tokio::spawn(accept(listener, settings.fleet.clone(), long_lines, event_sender));
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
    let (name, nth) = (&settings.name, settings.index + 1);
    log::info!("{name}: keeper {nth} of {} at {address}", settings.voters.len());
    let mut node = ControllerNode::new(NodeParts {
        settings,
        pause_point: options.pause_point,
        started,
        rng,
        voter,
        own_responses: response_sender,
        peers,
    });
    loop {
        tokio::select! {
            event = events.recv() => node.on_connection_event(event.ok_or(StartError::AcceptEnded)?),
            response = responses.recv() => if let Some(response) = response { node.on_response(response) },
            () = sleep(node.until_next_deadline()) => {}
            _ = terminate.recv() => {
                node.release_ownership();
                sleep(FINAL_WRITES).await;
                return Ok(());
            }
        }
        handle_queued(&mut node, &mut events, &mut responses);
        node.advance();
    }
}

fn seed(index: u16) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (since_epoch.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40) ^ u64::from(index)
}

fn open_voter(
    settings: &ControllerSettings,
    first_start: bool,
    started: Instant,
) -> Result<Voter, OpenError> {
    let config = VoterConfig {
        fleet: settings.fleet.clone(),
        folder: settings.state_folder.clone(),
        id: VoterId(settings.index),
        parameters: settings.parameters,
        started,
    };
    Voter::open(config, first_start)
}

fn connect_peers(
    settings: &ControllerSettings,
    rng: &mut Rand64,
    long_lines: &Arc<Semaphore>,
    responses: &mpsc::Sender<NumberedResponse>,
) -> crate::node::VoterPeers {
    let response_timeout_us =
        (settings.parameters.lease.0 / RESPONSE_TIMEOUT_OF_LEASE).max(MIN_RESPONSE_TIMEOUT_US);
    let others = settings.voters.iter().enumerate().filter(|(n, _)| *n != usize::from(settings.index));
    let connect = |(nth, address): (usize, &std::net::SocketAddr)| {
        let voter = VoterId(nth as u16);
        let config = VoterPeerConfig {
            fleet: settings.fleet.clone(),
            name: settings.name.clone(),
            voter,
            address: *address,
            response_timeout: Duration::from_micros(response_timeout_us as u64),
            seed: rng.rand_u64(),
            long_lines: long_lines.clone(),
        };
        (voter, config.spawn(responses.clone()))
    };
    others.map(connect).collect()
}

/// Handles what has queued up, so that it shares a write. Responses come first: they decide what the node may answer.
fn handle_queued(
    node: &mut ControllerNode,
    events: &mut mpsc::Receiver<ConnectionEvent>,
    responses: &mut mpsc::Receiver<NumberedResponse>,
) {
    for _ in 0..MAX_BATCH {
        let mut handled = 0;
        while handled <= MAX_BATCH
            && let Ok(response) = responses.try_recv()
        {
            node.on_response(response);
            handled += 1;
        }
        if let Ok(event) = events.try_recv() {
            node.on_connection_event(event);
            handled += 1;
        }
        if handled == 0 {
            break;
        }
    }
}

async fn accept(
    listener: TcpListener,
    fleet: String,
    long_lines: Arc<Semaphore>,
    events: mpsc::Sender<ConnectionEvent>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    for id in 1.. {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accept: {error}");
                sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let connection = Connection {
            id: ConnectionId(id),
            fleet: fleet.clone(),
            events: events.clone(),
            long_lines: long_lines.clone(),
        };
        tokio::spawn(async move {
            connection.serve(stream).await;
            drop(permit);
        });
    }
}

struct Connection {
    id: ConnectionId,
    fleet: String,
    events: mpsc::Sender<ConnectionEvent>,
    long_lines: Arc<Semaphore>,
}

/// The event loop is gone: the process ends.
struct LoopEnded;

impl Connection {
    /// Passes on what comes until the connection is over. Nobody is left to be told where the event loop is gone.
    async fn serve(self, stream: TcpStream) {
        if let Ok(reason) = self.receive(stream).await {
            log::debug!("connection {} ended: {reason}", self.id.0);
            let _ = self.send(ConnectionEvent::Closed(self.id)).await;
        }
    }

    async fn send(&self, event: ConnectionEvent) -> Result<(), LoopEnded> {
        self.events.send(event).await.map_err(|_| LoopEnded)
    }

    /// Why the connection ended.
    async fn receive(&self, stream: TcpStream) -> Result<&'static str, LoopEnded> {
        let (mut lines, outgoing) = line_connection::split(stream, self.long_lines.clone());
        self.send(ConnectionEvent::Opened(self.id, outgoing.clone())).await?;
        loop {
            let line = match lines.next().await {
                Ok(Some(line)) => line,
                Ok(None) => return Ok("closed"),
                Err(_) => return Ok("reset"),
            };
            match Message::decode(&line, &self.fleet) {
                Ok(message) => self.send(ConnectionEvent::Received(self.id, Box::new(message))).await?,
                Err(error) => {
                    let body = Body::Rejected { reason: error.to_string() };
                    let line = Message::new(&self.fleet, "keeper", 0, body).encode();
                    // A peer that reads nothing is not told.
                    let _ = outgoing.try_send(line);
                    let _ = self.send(ConnectionEvent::Undecodable(error.counter())).await;
                    return Ok(error.counter());
                }
            }
        }
    }
}
