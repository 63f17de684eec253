//! The voter's thread: hears what is asked, puts it on the disk, answers. What came together is one transaction.
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use notchspool::units::Micros;
use notchspool_consensus::acceptor::{Acceptor, DurableState};
use notchspool_consensus::{Parameters, Reply, Request, Response, VoterId};

use crate::disk::{Found, Store};

/// Asks that wait; one more is dropped, and asked again.
const WAITING: usize = 1024;
const BATCH: usize = 256;
/// A disk that could not be written to is tried again after this.
const AGAIN: Duration = Duration::from_secs(1);

pub type SendResponse = Box<dyn FnOnce(Response) + Send>;

enum Order {
    Ask(Request, SendResponse),
    /// What the others told, after the disk was lost.
    Readmitted(DurableState),
}

/// How the voter is, for who asks: votes, blank, ill.
#[derive(Clone, Debug, Default)]
pub struct How(Arc<AtomicU8>);

impl How {
    pub fn word(&self) -> &'static str {
        ["votes", "blank", "ill"][usize::from(self.0.load(Ordering::Relaxed)).min(2)]
    }
    pub fn is_blank(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 1
    }
}

#[derive(Clone)]
pub struct Seat {
    orders: SyncSender<Order>,
    pub how: How,
}

struct Voting {
    fleet: String,
    folder: PathBuf,
    id: VoterId,
    terms: Parameters,
    began: Instant,
    store: Option<Store>,
    voter: Option<Acceptor>,
    why: String,
    tried: Instant,
    how: How,
}

impl Seat {
    /// Opens the disk and begins to vote; without one it is blank, unless the fleet is new.
    pub fn open(
        fleet: &str,
        folder: PathBuf,
        id: VoterId,
        terms: Parameters,
        first: bool,
        began: Instant,
    ) -> Result<Seat, String> {
        let found = Store::find(&folder, fleet, id.0)?;
        let now = Micros(began.elapsed().as_micros() as i64);
        let (store, disk) = match (found, first) {
            (Found::Disk(..), true) => {
                return Err(format!(
                    "{}: there is a voter's disk already; leave out --first",
                    folder.display()
                ));
            }
            (Found::Disk(store, disk), false) => (Some(store), Some(disk)),
            (Found::Nothing, true) => (
                Some(Store::begin(&folder, fleet, id.0, &DurableState::default())?),
                Some(DurableState::default()),
            ),
            (Found::Nothing, false) => (None, None),
        };
        let how = How::default();
        how.0.store(u8::from(disk.is_none()), Ordering::Relaxed);
        if disk.is_none() {
            log::warn!("voter: no disk here: it votes once the others have told it all they know");
        }
        let voting = Voting {
            fleet: fleet.into(),
            folder,
            id,
            terms,
            began,
            store,
            voter: disk.map(|disk| Acceptor::open(id, terms, disk, now)),
            why: "it lost its disk".into(),
            tried: began,
            how: how.clone(),
        };
        let (orders, asked) = sync_channel(WAITING);
        std::thread::spawn(move || voting.run(&asked));
        Ok(Seat { orders, how })
    }

    pub fn ask(&self, ask: Request, reply: SendResponse) {
        if let Err(TrySendError::Disconnected(_)) = self.orders.try_send(Order::Ask(ask, reply)) {
            log::error!("voter: its thread is gone");
        }
    }
    pub fn readmitted(&self, disk: DurableState) {
        let _ = self.orders.try_send(Order::Readmitted(disk));
    }
}

impl Voting {
    fn now(&self) -> Micros {
        Micros(self.began.elapsed().as_micros() as i64)
    }

    fn run(mut self, asked: &Receiver<Order>) {
        loop {
            let first = match asked.recv_timeout(AGAIN) {
                Ok(order) => Some(order),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.recover();
            let mut asks = Vec::new();
            for order in first.into_iter().chain(asked.try_iter().take(BATCH)) {
                match order {
                    Order::Ask(ask, reply) => asks.push((ask, reply)),
                    Order::Readmitted(disk) => self.begin(&disk),
                }
            }
            self.hear(asks);
        }
    }

    fn set(&mut self, how: u8, why: &str) {
        self.how.0.store(how, Ordering::Relaxed);
        self.why = why.to_owned();
    }

    fn hear(&mut self, asks: Vec<(Request, SendResponse)>) {
        let now = self.now();
        let no_vote = |why: &str| {
            let said = Reply::Unavailable { reason: why.to_owned() };
            Response { incarnation: 0, known_incarnations: Default::default(), reply: said }
        };
        let (Some(voter), Some(store)) = (&mut self.voter, &self.store) else {
            let why = self.why.clone();
            asks.into_iter().for_each(|(_, reply)| reply(no_vote(&why)));
            return;
        };
        let (mut answers, mut writes) = (Vec::new(), Vec::new());
        for (ask, reply) in asks {
            let (answer, wrote) = voter.handle(now, &ask);
            writes.extend(wrote);
            answers.push((ask, reply, answer));
        }
        // Guards against a vote that a crash would take back: nothing is answered before it is on the disk.
        match store.write(&writes) {
            Ok(()) => {
                let now = Micros(self.began.elapsed().as_micros() as i64);
                for (ask, reply, answer) in answers {
                    voter.on_response_sent(now, &ask);
                    reply(answer);
                }
            }
            Err(why) => {
                log::error!("voter: {why}: it does not vote");
                answers.into_iter().for_each(|(_, reply, _)| reply(no_vote(&why)));
                self.voter = None;
                self.tried = Instant::now();
                self.set(2, &why);
            }
        }
    }

    /// Guards against a disk that was full or failed for a while: what is really there is read again, and votes go on from it.
    fn recover(&mut self) {
        if self.voter.is_some() || self.store.is_none() || self.tried.elapsed() < AGAIN {
            return;
        }
        self.tried = Instant::now();
        let now = self.now();
        let Some(store) = &mut self.store else { return };
        match store.again() {
            Ok(disk) => {
                log::info!("voter: its disk takes writes again");
                self.voter = Some(Acceptor::open(self.id, self.terms, disk, now));
                self.set(0, "");
            }
            Err(why) => self.set(2, &why),
        }
    }

    fn begin(&mut self, disk: &DurableState) {
        if self.voter.is_some() || self.store.is_some() {
            return;
        }
        match Store::begin(&self.folder, &self.fleet, self.id.0, disk) {
            Ok(store) => {
                log::info!("voter: readmitted, in life {}", disk.incarnation);
                self.store = Some(store);
                self.voter = Some(Acceptor::open(self.id, self.terms, disk.clone(), self.now()));
                self.set(0, "");
            }
            Err(why) => {
                log::error!("voter: {why}");
                self.set(1, &why);
            }
        }
    }
}
