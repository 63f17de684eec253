//! Sessions with whichever controller owns the fleet's commands, one after the other.
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use notchspool_commands::executor::Decision;
use notchspool_commands::{Epoch, InstanceId, Outcome, Revision};
use notchspool_consensus::{Request, Space, Token};
use notchspool_fleet_protocol::owner_search::OwnerSearch;
use notchspool_fleet_protocol::{Body, Message};
use notchspool_settings::agent_file::Fleet;
use oorandom::Rand64;
use rustix::process::{Signal, getpid, kill_process};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::commands::{CommandQueue, ReceivedCommand};
use super::controllers::{last_owner_token, next_line};
use super::token_store::TokenStore;
use super::{ExecutionResult, JOB, PendingExecution, PublishedCounters};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff between sessions, at first and at most; jittered by half. The most is also the time to the next renewal until an owner states one.
const MIN_BACKOFF: Duration = Duration::from_millis(30);
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);
/// How often the voters are asked for the last token, while commands wait for that.
const TOKEN_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Bounds of the time that an owner may ask to wait, in microseconds.
const MIN_REQUESTED_WAIT_US: i64 = 10_000;
const MAX_REQUESTED_WAIT_US: i64 = 60_000_000;
/// Test variables: `POINT:N` stops this process at the Nth passing of a point; the other takes the fence out.
const PAUSE_VARIABLE: &str = "NOTCHSPOOL_TEST_HOLD";
const NO_FENCE_VARIABLE: &str = "NOTCHSPOOL_TEST_NO_FENCE";

/// Why a session is over.
enum SessionEnd {
    /// The controller is not the owner; the index of the owner that it named.
    NotOwner(Option<u16>),
    /// The connection failed, or brought what makes no sense: try the next controller.
    Disconnected,
    /// A later registration has this agent's name.
    Fenced,
    /// The agent was told to stop, and has said that it leaves.
    Stopped,
}

impl From<io::Error> for SessionEnd {
    fn from(_: io::Error) -> SessionEnd {
        SessionEnd::Disconnected
    }
}

/// The lease that the owner granted.
#[derive(Clone, Copy, Debug)]
struct Lease {
    id: InstanceId,
    epoch: Epoch,
}

/// Where a test stops this process.
struct PausePoint {
    name: String,
    passes_left: u32,
}

/// When to renew, and by when an answer must have come.
struct SessionTimers {
    renew_at: Instant,
    answer_by: Option<Instant>,
}

impl SessionTimers {
    fn after_hello() -> SessionTimers {
        let now = Instant::now();
        SessionTimers { renew_at: now + MAX_BACKOFF, answer_by: Some(now + ANSWER_TIMEOUT) }
    }

    fn renew_in(&mut self, us: i64) {
        let us = us.clamp(MIN_REQUESTED_WAIT_US, MAX_REQUESTED_WAIT_US);
        self.renew_at = Instant::now() + Duration::from_micros(us as u64);
    }
}

/// The agent's side of its fleet.
pub struct FleetSession {
    fleet: Fleet,
    search: OwnerSearch,
    name: String,
    tokens: TokenStore,
    counters: Arc<PublishedCounters>,
    executions: mpsc::Sender<PendingExecution>,
    rng: Rand64,
    boot_id: u64,
    lease: Option<Lease>,
    queue: CommandQueue,
    last_number: u64,
    pause_point: Option<PausePoint>,
    /// A test has taken the fence out: commands of every token are executed.
    without_fence: bool,
}

impl FleetSession {
    /// An agent of this name that has not registered yet.
    pub fn new(
        fleet: Fleet,
        name: String,
        tokens: TokenStore,
        counters: Arc<PublishedCounters>,
        executions: mpsc::Sender<PendingExecution>,
    ) -> FleetSession {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()) << 32;
        let mut rng = Rand64::new(seed.into());
        let without_fence = std::env::var_os(NO_FENCE_VARIABLE).is_some();
        if without_fence {
            log::warn!("fleet: the fence is taken out: a test");
        }
        let controllers = fleet.controllers.len();
        let first = rng.rand_range(0..controllers as u64) as usize;
        FleetSession {
            boot_id: rng.rand_u64(),
            search: OwnerSearch::new(controllers, first),
            fleet,
            name,
            tokens,
            counters,
            executions,
            rng,
            lease: None,
            queue: CommandQueue::new(),
            last_number: 0,
            pause_point: pause_point(),
            without_fence,
        }
    }

    /// Runs as long as the process lives. Whatever controllers do, it tries on, jittered, and the agent routes.
    pub async fn run(mut self) {
        let mut backoff = MIN_BACKOFF;
        loop {
            let began = Instant::now();
            let controller = self.fleet.controllers[self.search.current()];
            let end = match timeout(CONNECT_TIMEOUT, TcpStream::connect(controller)).await {
                Ok(Ok(stream)) => self.session(stream).await,
                _ => SessionEnd::Disconnected,
            };
            if began.elapsed() > MAX_BACKOFF {
                backoff = MIN_BACKOFF;
            }
            let named = match end {
                SessionEnd::NotOwner(named) => named,
                SessionEnd::Disconnected => None,
                SessionEnd::Fenced => {
                    let name = &self.name;
                    log::error!("fleet: another instance registered as `{name}`: this one obeys no more");
                    return;
                }
                SessionEnd::Stopped => return,
            };
            if self.search.not_found(named) {
                // All agents are sent there by the same answer: not at once.
                sleep(MIN_BACKOFF.mul_f64(self.rng.rand_float())).await;
                continue;
            }
            sleep(backoff.mul_f64(0.5 + self.rng.rand_float())).await;
            // Through all controllers once at the same pace, then slower.
            if self.search.current() == 0 {
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    fn encode(&mut self, body: Body) -> String {
        self.last_number += 1;
        Message::new(&self.fleet.name, &self.name, self.last_number, body).encode()
    }

    /// A renewal, or a registration where there is no lease.
    fn hello(&mut self) -> String {
        let report = self.counters.report(self.tokens.highest(JOB));
        let body = match self.lease {
            Some(Lease { id, epoch }) => Body::Renew { id, epoch, report },
            None => Body::Register { zone: self.fleet.zone.clone(), boot_id: self.boot_id, report },
        };
        self.encode(body)
    }

    async fn session(&mut self, stream: TcpStream) -> SessionEnd {
        match self.exchange(stream).await {
            Ok(never) => match never {},
            Err(end) => end,
        }
    }

    async fn exchange(&mut self, mut stream: TcpStream) -> Result<std::convert::Infallible, SessionEnd> {
        // Slower without it, and right all the same.
        let _ = stream.set_nodelay(true);
        stream.write_all(self.hello().as_bytes()).await?;
        let mut timers = SessionTimers::after_hello();
        let mut buffer = Vec::new();
        loop {
            self.start_next(&mut stream).await?;
            let idle = self.idle_time(&timers);
            tokio::select! {
                line = next_line(&mut stream, &mut buffer) => {
                    let line = line?.ok_or(SessionEnd::Disconnected)?;
                    self.on_line(&line, &mut timers)?;
                }
                result = self.queue.result() => self.on_executed(result, &mut stream).await?,
                () = sleep(idle) => self.on_idle(&mut stream, &mut timers).await?,
            }
        }
    }

    fn idle_time(&self, timers: &SessionTimers) -> Duration {
        let until = timers.answer_by.map_or(timers.renew_at, |by| by.min(timers.renew_at));
        let idle = until.saturating_duration_since(Instant::now());
        let asks_voters = !self.tokens.known && self.lease.is_some() && self.queue.is_waiting();
        if asks_voters { idle.min(TOKEN_QUERY_INTERVAL) } else { idle }
    }

    async fn on_idle(
        &mut self,
        stream: &mut TcpStream,
        timers: &mut SessionTimers,
    ) -> Result<(), SessionEnd> {
        // Guards against a stream that stays open and carries nothing.
        if timers.answer_by.is_some_and(|by| by <= Instant::now()) {
            return Err(SessionEnd::Disconnected);
        }
        if timers.renew_at <= Instant::now() {
            let hello = self.hello();
            *timers = SessionTimers::after_hello();
            stream.write_all(hello.as_bytes()).await?;
        }
        Ok(())
    }

    fn on_line(&mut self, line: &[u8], timers: &mut SessionTimers) -> Result<(), SessionEnd> {
        let message = Message::decode(line, &self.fleet.name).map_err(|error| {
            log::warn!("fleet: {error}");
            SessionEnd::Disconnected
        })?;
        if message.number != 0 {
            timers.answer_by = None;
        }
        self.check_token(&message)?;
        self.on_message(message, timers)
    }

    /// Whatever an owner says raises the fence, also for commands that wait in the queue; one that is no longer the owner is not heard.
    fn check_token(&mut self, message: &Message) -> Result<(), SessionEnd> {
        let (Body::Registered { token, .. } | Body::Renewed { token, .. } | Body::Execute { token, .. }) =
            &message.body
        else {
            return Ok(());
        };
        if !self.tokens.known || self.without_fence {
            return Ok(());
        }
        self.tokens.admit(JOB, *token).map_err(|error| {
            log::warn!("fleet: {} is not heard: {error}", message.from);
            SessionEnd::Disconnected
        })
    }

    fn on_message(&mut self, message: Message, timers: &mut SessionTimers) -> Result<(), SessionEnd> {
        match message.body {
            Body::Registered { id, epoch, token, renew_in_us } => {
                log::info!("fleet: registered as {} in epoch {} under token {}", id.0, epoch.0, token.0);
                self.search.found();
                self.lease = Some(Lease { id, epoch });
                self.queue.begin_epoch(epoch);
                timers.renew_in(renew_in_us);
            }
            Body::Renewed { renew_in_us, .. } => {
                self.search.found();
                timers.renew_in(renew_in_us);
            }
            Body::LeaseLost { fenced: true } => return Err(SessionEnd::Fenced),
            Body::LeaseLost { fenced: false } => {
                self.lease = None;
                self.boot_id = self.rng.rand_u64();
                timers.renew_at = Instant::now();
            }
            Body::RetryLater { after_us } => timers.renew_in(after_us),
            Body::NotOwner { owner_index } => return Err(SessionEnd::NotOwner(owner_index)),
            Body::Execute { token, job, epoch, revision, kind } if job == JOB => {
                self.queue.push(ReceivedCommand { token, epoch, revision, kind });
            }
            Body::Rejected { reason } => {
                log::warn!("fleet: {}: {reason}", message.from);
                return Err(SessionEnd::Disconnected);
            }
            _ => {}
        }
        Ok(())
    }

    /// Starts the next command, if none is being executed.
    async fn start_next(&mut self, stream: &mut TcpStream) -> Result<(), SessionEnd> {
        while self.queue.has_next() {
            if !self.tokens.known && !self.without_fence && !self.learn_token().await {
                return Ok(());
            }
            let Some(command) = self.queue.pop() else { return Ok(()) };
            // Checked when its turn comes, however long it waited: a newer owner's token may have been seen since.
            if let Err(error) = self.tokens.admit(JOB, command.token)
                && !self.without_fence
            {
                let (kind, revision) = (command.kind, command.revision.0);
                log::warn!("fleet: {kind:?} revision {revision} is not done: {error}");
                continue;
            }
            self.pass_pause_point("effect");
            match self.queue.decide(&command) {
                Decision::Execute => self.start(command).await?,
                Decision::AlreadyDone(outcome) => {
                    let line = self.outcome_line(command.revision, outcome);
                    stream.write_all(line.as_bytes()).await?;
                }
                Decision::Ignore => {}
            }
        }
        Ok(())
    }

    async fn start(&mut self, command: ReceivedCommand) -> Result<(), SessionEnd> {
        let (done, result) = oneshot::channel();
        let ReceivedCommand { token, revision, kind, .. } = command;
        let execution = PendingExecution { kind, revision, token, done };
        self.executions.send(execution).await.map_err(|_| SessionEnd::Disconnected)?;
        self.queue.on_started(command, result);
        Ok(())
    }

    fn outcome_line(&mut self, revision: Revision, outcome: Outcome) -> String {
        let (id, epoch) = self.lease.map_or_else(Default::default, |lease| (lease.id, lease.epoch));
        self.encode(Body::Executed { id, epoch, revision, outcome })
    }

    /// Reports what a command came to.
    async fn on_executed(
        &mut self,
        result: ExecutionResult,
        stream: &mut TcpStream,
    ) -> Result<(), SessionEnd> {
        let Some(finished) = self.queue.finish(result) else { return Ok(()) };
        let mut lines = self.outcome_line(finished.revision, finished.outcome);
        if finished.stops {
            let (id, epoch) = self.lease.map_or_else(Default::default, |lease| (lease.id, lease.epoch));
            lines += &self.encode(Body::Leave { id, epoch });
        }
        stream.write_all(lines.as_bytes()).await?;
        if finished.stops { Err(SessionEnd::Stopped) } else { Ok(()) }
    }

    /// A test may stop this process here.
    fn pass_pause_point(&mut self, name: &str) {
        let Some(point) = self.pause_point.as_mut().filter(|point| point.name == name) else { return };
        point.passes_left = point.passes_left.saturating_sub(1);
        if point.passes_left == 0 {
            self.pause_point = None;
            log::warn!("held at {name}");
            log::logger().flush();
            if let Err(error) = kill_process(getpid(), Signal::STOP) {
                log::error!("fleet: this process can't stop itself: {error}");
            }
        }
    }

    /// Guards against executing an old owner's command after the disk was lost: the token of the last owner that a majority of voters knows
    /// is the least that was seen, since an owner was accepted by a majority before it acted. False where no majority answered.
    async fn learn_token(&mut self) -> bool {
        let (mut answers, mut highest) = (0, Token(0));
        for controller in self.fleet.controllers.clone() {
            let request = Request::Read { space: Space::Owner(JOB.into()) };
            let line = self.encode(Body::VoterRequest(request));
            let token = last_owner_token(controller, &self.fleet.name, &line, CONNECT_TIMEOUT).await;
            if let Some(token) = token {
                answers += 1;
                highest = highest.max(token);
            }
        }
        if answers <= self.fleet.controllers.len() / 2 {
            return false;
        }
        match self.tokens.learn(JOB, highest) {
            Ok(()) => {
                log::info!("fleet: token {} was seen by the keepers", highest.0);
                true
            }
            Err(error) => {
                log::error!("fleet: {error}: nothing is obeyed");
                false
            }
        }
    }
}

fn pause_point() -> Option<PausePoint> {
    let text = std::env::var(PAUSE_VARIABLE).ok()?;
    let (name, passes) = text.split_once(':')?;
    Some(PausePoint { name: name.to_owned(), passes_left: passes.parse().unwrap_or(1) })
}
