//! The connection to whichever keeper owns, and the orders that come on it.
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use notchspool_commands::executor::{Decision, Executor};
use notchspool_commands::{CommandKind, Epoch, InstanceId, Outcome, Revision};
use notchspool_consensus::{OWNER_KEY, OwnerRecord, Reply, Request, Space, Token};
use notchspool_fleet_protocol::search::Search;
use notchspool_fleet_protocol::{Body, Message, SHORT};
use notchspool_settings::file::Fleet;
use oorandom::Rand64;
use rustix::process::{Signal, getpid, kill_process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::tokens::Tokens;
use super::{Counts, Deed};

/// The job whose orders are obeyed.
const JOB: &str = "orders";
const CONNECT: Duration = Duration::from_millis(400);
const ANSWER: Duration = Duration::from_millis(1_000);
const SOONEST: Duration = Duration::from_millis(30);
const LATEST: Duration = Duration::from_millis(2_000);
/// Orders that wait for their turn; more are dropped, and told again.
const WAITING: usize = 64;

/// An order as it came.
#[derive(Clone, Debug)]
struct Order {
    token: Token,
    epoch: Epoch,
    revision: Revision,
    act: CommandKind,
}

/// Why a session is over, and when the next one may begin.
enum Over {
    /// The owner is not there; whom it named, if anybody.
    Elsewhere(Option<u16>),
    /// Try the next one, soon.
    Next,
    /// Another life has this name.
    Fenced,
    /// It was told to stop, and said that it goes.
    Ended,
}

pub struct Control {
    fleet: Fleet,
    search: Search,
    name: String,
    tokens: Tokens,
    counts: Arc<Counts>,
    deeds: mpsc::Sender<Deed>,
    chance: Rand64,
    life: u64,
    own: Option<(InstanceId, Epoch)>,
    obey: Executor,
    queue: VecDeque<Order>,
    doing: Option<(Order, oneshot::Receiver<Result<(), String>>)>,
    no: u64,
    /// Tests: where this process stops itself, and a fence that lets all pass.
    hold: Option<(String, u32)>,
    no_fence: bool,
}

impl Control {
    pub fn new(
        fleet: Fleet,
        name: String,
        tokens: Tokens,
        counts: Arc<Counts>,
        deeds: mpsc::Sender<Deed>,
    ) -> Control {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = now.as_nanos() as u64 ^ u64::from(std::process::id()) << 32;
        let mut chance = Rand64::new(seed.into());
        let hold = std::env::var("NOTCHSPOOL_TEST_HOLD").ok();
        let hold =
            hold.and_then(|h| h.split_once(':').map(|(at, n)| (at.to_owned(), n.parse().unwrap_or(1))));
        let no_fence = std::env::var_os("NOTCHSPOOL_TEST_NO_FENCE").is_some();
        if no_fence {
            log::warn!("fleet: the fence is taken out: a test");
        }
        let keepers = fleet.keepers.len();
        let first = chance.rand_range(0..keepers as u64) as usize;
        Control {
            life: chance.rand_u64(),
            search: Search::new(keepers, first),
            fleet,
            name,
            tokens,
            counts,
            deeds,
            chance,
            own: None,
            obey: Executor::new(Epoch(0)),
            queue: VecDeque::new(),
            doing: None,
            no: 0,
            hold,
            no_fence,
        }
    }

    /// As long as the process lives. Whatever keepers do, it tries on, jittered, and the agent routes.
    pub async fn run(mut self) {
        let mut wait = SOONEST;
        loop {
            let began = Instant::now();
            let at = self.fleet.keepers[self.search.at()];
            let over = match timeout(CONNECT, TcpStream::connect(at)).await {
                Ok(Ok(io)) => self.session(io).await,
                _ => Over::Next,
            };
            if began.elapsed() > LATEST {
                wait = SOONEST;
            }
            let named = match over {
                Over::Elsewhere(named) => named,
                Over::Next => None,
                Over::Fenced => {
                    log::error!(
                        "fleet: another instance registered as `{}`: this one obeys no more",
                        self.name
                    );
                    return;
                }
                Over::Ended => return,
            };
            if self.search.not_there(named) {
                // All agents are sent there by the same word: not at once.
                sleep(SOONEST.mul_f64(self.chance.rand_float())).await;
                continue;
            }
            sleep(wait.mul_f64(0.5 + self.chance.rand_float())).await;
            // Through all keepers once at the same pace, then slower.
            if self.search.at() == 0 {
                wait = (wait * 2).min(LATEST);
            }
        }
    }

    fn message(&mut self, body: Body) -> String {
        self.no += 1;
        Message::new(&self.fleet.name, &self.name, self.no, body).written()
    }

    fn hello(&mut self) -> String {
        let report = self.counts.report(self.tokens.seen(JOB));
        let body = match self.own {
            Some((id, epoch)) => Body::Renew { id, epoch, report },
            None => Body::Register { zone: self.fleet.zone.clone(), life: self.life, report },
        };
        self.message(body)
    }

    async fn session(&mut self, mut io: TcpStream) -> Over {
        let _ = io.set_nodelay(true);
        let hello = self.hello();
        if io.write_all(hello.as_bytes()).await.is_err() {
            return Over::Next;
        }
        let (mut renew_at, mut answer_by) = (Instant::now() + LATEST, Some(Instant::now() + ANSWER));
        let mut buf = Vec::new();
        loop {
            if !self.begin(&mut io).await {
                return Over::Next;
            }
            let now = Instant::now();
            let till = answer_by.map_or(renew_at, |by| by.min(renew_at));
            let idle = till.saturating_duration_since(now);
            let asks = !self.tokens.known && self.own.is_some() && !self.queue.is_empty();
            let idle = if asks { idle.min(LATEST / 4) } else { idle };
            tokio::select! {
                came = line(&mut io, &mut buf) => match came {
                    Ok(Some(line)) => match Message::read(&line, &self.fleet.name) {
                        Ok(message) => {
                            if message.no != 0 {
                                answer_by = None;
                            }
                            match self.heard(message, &mut renew_at) {
                                Ok(()) => {}
                                Err(over) => return over,
                            }
                        }
                        Err(wrong) => {
                            log::warn!("fleet: {wrong}");
                            return Over::Next;
                        }
                    },
                    _ => return Over::Next,
                },
                done = doing(&mut self.doing) => {
                    let (did, ends) = self.done(done);
                    if let Some(did) = did
                        && io.write_all(did.as_bytes()).await.is_err()
                    {
                        return Over::Next;
                    }
                    if ends {
                        return Over::Ended;
                    }
                }
                () = sleep(idle) => {
                    // Guards against a stream that stays open and carries nothing.
                    if answer_by.is_some_and(|by| by <= Instant::now()) {
                        return Over::Next;
                    }
                    if renew_at <= Instant::now() {
                        let hello = self.hello();
                        (renew_at, answer_by) = (Instant::now() + LATEST, Some(Instant::now() + ANSWER));
                        if io.write_all(hello.as_bytes()).await.is_err() {
                            return Over::Next;
                        }
                    }
                }
            }
        }
    }

    fn heard(&mut self, message: Message, renew_at: &mut Instant) -> Result<(), Over> {
        let after = |us: i64| Duration::from_micros(us.clamp(10_000, 60_000_000) as u64);
        // Whatever an owner says raises the fence, also for orders that wait in the queue; who is no longer owner is not heard.
        if let Body::Registered { token, .. } | Body::Renewed { token, .. } | Body::Do { token, .. } =
            &message.body
            && self.tokens.known
            && !self.no_fence
            && let Err(why) = self.tokens.pass(JOB, *token)
        {
            log::warn!("fleet: {} is not heard: {why}", message.from);
            return Err(Over::Next);
        }
        match message.body {
            Body::Registered { id, epoch, token, again_us } => {
                log::info!("fleet: registered as {} in epoch {} under token {}", id.0, epoch.0, token.0);
                self.search.found();
                self.own = Some((id, epoch));
                self.obey = Executor::new(epoch);
                *renew_at = Instant::now() + after(again_us);
            }
            Body::Renewed { again_us, .. } => {
                self.search.found();
                *renew_at = Instant::now() + after(again_us);
            }
            Body::Anew { fenced: true } => return Err(Over::Fenced),
            Body::Anew { fenced: false } => {
                self.own = None;
                self.life = self.chance.rand_u64();
                *renew_at = Instant::now();
            }
            Body::Later { after_us } => *renew_at = Instant::now() + after(after_us),
            Body::Elsewhere { place } => {
                return Err(Over::Elsewhere(place));
            }
            Body::Do { token, job, epoch, revision, act } if job == JOB && self.queue.len() < WAITING => {
                self.queue.push_back(Order { token, epoch, revision, act });
            }
            Body::Refused { why } => {
                log::warn!("fleet: {}: {why}", message.from);
                return Err(Over::Next);
            }
            _ => {}
        }
        Ok(())
    }

    /// The next order's turn, if nothing is being done. False where the connection is gone.
    async fn begin(&mut self, io: &mut TcpStream) -> bool {
        while self.doing.is_none() {
            if self.queue.is_empty() {
                return true;
            }
            if !self.tokens.known && !self.no_fence && !self.learn().await {
                return true;
            }
            let Some(order) = self.queue.pop_front() else { return true };
            // Checked when its turn comes, however long it waited: a newer owner's token may have been seen since.
            if let Err(why) = self.tokens.pass(JOB, order.token)
                && !self.no_fence
            {
                log::warn!("fleet: {:?} revision {} is not done: {why}", order.act, order.revision.0);
                continue;
            }
            self.point("effect");
            match self.obey.decide(order.epoch, order.revision, order.act) {
                Decision::Execute => {
                    let (done, told) = oneshot::channel();
                    let Order { token, revision, act, .. } = order;
                    if self.deeds.send(Deed { act, revision, token, done }).await.is_err() {
                        return false;
                    }
                    self.doing = Some((order, told));
                }
                Decision::AlreadyDone(outcome) => {
                    let did = self.did(order.revision, outcome);
                    if io.write_all(did.as_bytes()).await.is_err() {
                        return false;
                    }
                }
                Decision::Ignore => {}
            }
        }
        true
    }

    fn did(&mut self, revision: Revision, outcome: Outcome) -> String {
        let (id, epoch) = self.own.unwrap_or_default();
        self.message(Body::Did { id, epoch, revision, outcome })
    }

    /// What is said of it, and whether this process ends by it.
    fn done(&mut self, done: Result<(), String>) -> (Option<String>, bool) {
        let Some((order, _)) = self.doing.take() else { return (None, false) };
        let outcome = done.map_or_else(Outcome::Refused, |()| Outcome::Done);
        if order.epoch == self.obey.epoch() {
            self.obey.on_done(order.revision, order.act, outcome.clone());
        }
        let ends = order.act == CommandKind::Stop && outcome == Outcome::Done;
        let mut said = self.did(order.revision, outcome);
        if ends {
            let (id, epoch) = self.own.unwrap_or_default();
            said += &self.message(Body::Leave { id, epoch });
        }
        (Some(said), ends)
    }

    fn point(&mut self, at: &str) {
        if let Some((_, nth)) = self.hold.as_mut().filter(|h| h.0 == at) {
            *nth = nth.saturating_sub(1);
            if *nth == 0 {
                self.hold = None;
                log::warn!("held at {at}");
                log::logger().flush();
                let _ = kill_process(getpid(), Signal::STOP);
            }
        }
    }

    /// Guards against obeying an old owner after the disk was lost: the last owner that a majority of voters knows is the least that was
    /// seen. False where they could not be asked.
    async fn learn(&mut self) -> bool {
        let (mut told, mut seen) = (0, Token(0));
        for at in self.fleet.keepers.clone() {
            let line = self.message(Body::Ask(Request::Read { space: Space::Owner(JOB.into()) }));
            let asked = async {
                let mut io = TcpStream::connect(at).await?;
                io.write_all(line.as_bytes()).await?;
                line_of(&mut io).await
            };
            let Ok(Ok(Some(line))) = timeout(CONNECT, asked).await else { continue };
            let Ok(Message { body: Body::Answer(answer), .. }) = Message::read(&line, &self.fleet.name)
            else {
                continue;
            };
            // Who acted was first accepted as owner by a majority, so any majority has heard of it.
            if let Reply::Current { entries, .. } = answer.reply {
                let owned =
                    entries.get(OWNER_KEY).and_then(|e| OwnerRecord::parse(&e.value)).unwrap_or_default();
                (told, seen) = (told + 1, seen.max(owned.token));
            }
        }
        if told <= self.fleet.keepers.len() / 2 {
            return false;
        }
        match self.tokens.learn(JOB, seen) {
            Ok(()) => {
                log::info!("fleet: token {} was seen by the keepers", seen.0);
                true
            }
            Err(why) => {
                log::error!("fleet: {why}: nothing is obeyed");
                false
            }
        }
    }
}

async fn doing(doing: &mut Option<(Order, oneshot::Receiver<Result<(), String>>)>) -> Result<(), String> {
    match doing {
        Some((_, told)) => told.await.unwrap_or_else(|_| Err("the agent ends".into())),
        None => std::future::pending().await,
    }
}

/// The next line; dropped while it waits, nothing is lost. None at the end.
async fn line(io: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Vec<u8>>> {
    loop {
        if let Some(end) = buf.iter().position(|b| *b == b'\n') {
            let rest = buf.split_off(end + 1);
            return Ok(Some(std::mem::replace(buf, rest)));
        }
        if buf.len() > SHORT {
            return Err(io::ErrorKind::InvalidData.into());
        }
        buf.reserve(4096);
        if io.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
}

/// The first line of a voter, which may be a long one.
async fn line_of(io: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\n") {
        if buf.len() > notchspool_fleet_protocol::LONGEST || io.read_buf(&mut buf).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(buf))
}
