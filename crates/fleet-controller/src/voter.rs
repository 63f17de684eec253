//! The voter's thread: takes requests, writes what they change to the disk, responds. Requests that came together are one transaction.
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use notchspool::units::Micros;
use notchspool_consensus::acceptor::{Acceptor, DurableState};
use notchspool_consensus::{Parameters, Reply, Request, Response, VoterId};
use notchspool_fleet_protocol::VoterStatus;

use crate::acceptor_store::{AcceptorStore, StoreError, StoredState};

/// Requests that wait; one more is dropped, and made again by whoever made it.
const MAX_WAITING_REQUESTS: usize = 1024;
/// Requests in one transaction, beside the first.
const MAX_BATCH: usize = 256;
/// A disk that failed a write is tried again after this.
const REOPEN_AFTER: Duration = Duration::from_secs(1);

/// Takes the response to one request.
pub type SendResponse = Box<dyn FnOnce(Response) + Send>;

enum Work {
    Request(Request, SendResponse),
    /// The state that the other voters told it, after the disk was lost.
    Recovered(DurableState),
}

/// Whether the voter takes part, as its thread says and others read.
#[derive(Clone, Debug, Default)]
struct SharedStatus(Arc<AtomicU8>);

impl SharedStatus {
    const ALL: [VoterStatus; 3] = [VoterStatus::Voting, VoterStatus::Blank, VoterStatus::Failing];

    fn get(&self) -> VoterStatus {
        Self::ALL[usize::from(self.0.load(Ordering::Relaxed)).min(Self::ALL.len() - 1)]
    }

    fn set(&self, status: VoterStatus) {
        self.0.store(status as u8, Ordering::Relaxed);
    }
}

/// The voter of this process, as the event loop sees it.
#[derive(Clone)]
pub struct Voter {
    work: SyncSender<Work>,
    status: SharedStatus,
}

/// Where and for whom a voter votes.
pub struct VoterConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Folder of its disk.
    pub folder: PathBuf,
    /// Which voter it is.
    pub id: VoterId,
    /// What all voters of the fleet agree on.
    pub parameters: Parameters,
    /// When the process began: zero of its clock.
    pub started: Instant,
}

/// Why a voter does not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum OpenError {
    /// Its disk can't be used.
    #[display("{_0}")]
    Store(StoreError),
    /// The fleet is said to be new, and there is a disk.
    #[display("{}: there is a voter's disk already; leave out --first", folder.display())]
    NotFirstStart {
        /// Where it is.
        folder: PathBuf,
    },
}

impl From<StoreError> for OpenError {
    fn from(error: StoreError) -> OpenError {
        OpenError::Store(error)
    }
}

impl Voter {
    /// Opens the disk and begins to vote. Without a disk the voter is blank until [`Voter::on_recovered`], unless the fleet is new.
    ///
    /// # Errors
    ///
    /// The disk can't be used, or there is one though the fleet is new.
    pub fn open(config: VoterConfig, first_start: bool) -> Result<Voter, OpenError> {
        let found = AcceptorStore::find(&config.folder, &config.fleet, config.id.0)?;
        let (store, state) = match (found, first_start) {
            (StoredState::Found(..), true) => {
                return Err(OpenError::NotFirstStart { folder: config.folder });
            }
            (StoredState::Found(store, state), false) => (Some(store), Some(state)),
            (StoredState::Missing, true) => {
                let state = DurableState::default();
                let store = AcceptorStore::create(&config.folder, &config.fleet, config.id.0, &state)?;
                (Some(store), Some(state))
            }
            (StoredState::Missing, false) => (None, None),
        };
        let status = SharedStatus::default();
        if state.is_none() {
            status.set(VoterStatus::Blank);
            log::warn!("voter: no disk here: it votes once the others have told it all they know");
        }
        let now = Micros(config.started.elapsed().as_micros() as i64);
        let thread = VoterThread {
            acceptor: state.map(|state| Acceptor::open(config.id, config.parameters, state, now)),
            store,
            unavailable_reason: "it lost its disk".into(),
            failed_at: config.started,
            status: status.clone(),
            config,
        };
        let (work, received) = sync_channel(MAX_WAITING_REQUESTS);
        std::thread::spawn(move || thread.run(&received));
        Ok(Voter { work, status })
    }

    /// Whether it takes part.
    pub fn status(&self) -> VoterStatus {
        self.status.get()
    }

    /// Hands a request to the voter; it is dropped where too many wait.
    pub fn send(&self, request: Request, respond: SendResponse) {
        let sent = self.work.try_send(Work::Request(request, respond));
        if let Err(TrySendError::Disconnected(_)) = sent {
            log::error!("voter: its thread is gone");
        }
    }

    /// The others told it all they know, after its disk was lost.
    pub fn on_recovered(&self, state: DurableState) {
        if self.work.try_send(Work::Recovered(state)).is_err() {
            log::error!("voter: the recovered state was not taken");
        }
    }
}

struct VoterThread {
    config: VoterConfig,
    store: Option<AcceptorStore>,
    acceptor: Option<Acceptor>,
    /// Why there is no acceptor, if there is none.
    unavailable_reason: String,
    /// When the disk failed last.
    failed_at: Instant,
    status: SharedStatus,
}

impl VoterThread {
    fn now(&self) -> Micros {
        Micros(self.config.started.elapsed().as_micros() as i64)
    }

    fn run(mut self, work: &Receiver<Work>) {
        loop {
            let first = match work.recv_timeout(REOPEN_AFTER) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.reopen_failed_store();
            let mut requests = Vec::new();
            for item in first.into_iter().chain(work.try_iter().take(MAX_BATCH)) {
                match item {
                    Work::Request(request, respond) => requests.push((request, respond)),
                    Work::Recovered(state) => self.begin(&state),
                }
            }
            self.handle(requests);
        }
    }

    fn set_unavailable(&mut self, status: VoterStatus, reason: &str) {
        self.status.set(status);
        self.unavailable_reason = reason.to_owned();
    }

    /// Invariant: no response leaves before what it stands on is on the disk, so that no crash takes a vote back.
    fn handle(&mut self, requests: Vec<(Request, SendResponse)>) {
        let now = self.now();
        let (Some(acceptor), Some(store)) = (&mut self.acceptor, &self.store) else {
            let reason = self.unavailable_reason.clone();
            requests.into_iter().for_each(|(_, respond)| respond(unavailable(&reason)));
            return;
        };
        let (mut answered, mut writes) = (Vec::new(), Vec::new());
        for (request, respond) in requests {
            let (response, changes) = acceptor.handle(now, &request);
            writes.extend(changes);
            answered.push((request, respond, response));
        }
        match store.write(&writes) {
            Ok(()) => {
                let now = Micros(self.config.started.elapsed().as_micros() as i64);
                for (request, respond, response) in answered {
                    acceptor.on_response_sent(now, &request);
                    respond(response);
                }
            }
            Err(error) => {
                log::error!("voter: {error}: it does not vote");
                let reason = error.to_string();
                answered.into_iter().for_each(|(_, respond, _)| respond(unavailable(&reason)));
                self.acceptor = None;
                self.failed_at = Instant::now();
                self.set_unavailable(VoterStatus::Failing, &reason);
            }
        }
    }

    /// Guards against a disk that was full or failed for a while: what is really there is read again, and votes go on from it.
    fn reopen_failed_store(&mut self) {
        if self.acceptor.is_some() || self.failed_at.elapsed() < REOPEN_AFTER {
            return;
        }
        let now = self.now();
        let Some(store) = &mut self.store else { return };
        self.failed_at = Instant::now();
        match store.reopen() {
            Ok(state) => {
                log::info!("voter: its disk takes writes again");
                self.acceptor = Some(Acceptor::open(self.config.id, self.config.parameters, state, now));
                self.set_unavailable(VoterStatus::Voting, "");
            }
            Err(error) => self.set_unavailable(VoterStatus::Failing, &error.to_string()),
        }
    }

    /// Begins to vote on a new disk.
    fn begin(&mut self, state: &DurableState) {
        if self.acceptor.is_some() || self.store.is_some() {
            return;
        }
        let VoterConfig { fleet, folder, id, parameters, .. } = &self.config;
        match AcceptorStore::create(folder, fleet, id.0, state) {
            Ok(store) => {
                log::info!("voter: readmitted, in life {}", state.incarnation);
                self.acceptor = Some(Acceptor::open(*id, *parameters, state.clone(), self.now()));
                self.store = Some(store);
                self.set_unavailable(VoterStatus::Voting, "");
            }
            Err(error) => {
                log::error!("voter: {error}");
                self.set_unavailable(VoterStatus::Blank, &error.to_string());
            }
        }
    }
}

fn unavailable(reason: &str) -> Response {
    let reply = Reply::Unavailable { reason: reason.to_owned() };
    Response { incarnation: 0, known_incarnations: Default::default(), reply }
}
