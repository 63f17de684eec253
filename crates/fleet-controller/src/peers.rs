//! The link to another voter: asks go out, answers come back under their numbers. Asks that find no connection are dropped; who asked
//! asks again.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use notchspool_consensus::{Request, Response, VoterId};
use notchspool_fleet_protocol::{Body, Message};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use crate::calls;

const CONNECT: Duration = Duration::from_millis(500);
/// Between tries, at first and at most, jittered.
const SOONEST: Duration = Duration::from_millis(20);
const LATEST: Duration = Duration::from_millis(500);
/// Asks that wait for the connection.
const WAITING: usize = 256;

pub struct Peer {
    asks: mpsc::Sender<(u64, Request)>,
}

/// An answer under the number of its ask.
pub type Answered = (VoterId, u64, Response);

pub struct Link {
    pub fleet: String,
    pub name: String,
    pub voter: VoterId,
    pub at: SocketAddr,
    /// Nothing heard for so long after something was asked: the connection is dead.
    pub silent: Duration,
    pub seed: u64,
    pub long: Arc<Semaphore>,
}

impl Link {
    pub fn open(self, answers: mpsc::Sender<Answered>) -> Peer {
        let (asks, asked) = mpsc::channel(WAITING);
        tokio::spawn(self.run(asked, answers));
        Peer { asks }
    }

    async fn run(self, mut asked: mpsc::Receiver<(u64, Request)>, answers: mpsc::Sender<Answered>) {
        let mut chance = oorandom::Rand64::new(self.seed.into());
        let mut wait = SOONEST;
        loop {
            if let Ok(Ok(io)) = timeout(CONNECT, TcpStream::connect(self.at)).await {
                let began = Instant::now();
                if self.connected(io, &mut asked, &answers).await.is_none() {
                    return;
                }
                if began.elapsed() > LATEST {
                    wait = SOONEST;
                }
            }
            let until = Instant::now() + wait.mul_f64(0.5 + chance.rand_float());
            wait = (wait * 2).min(LATEST);
            // What is asked meanwhile has no way.
            loop {
                let left = until.saturating_duration_since(Instant::now());
                match timeout(left, asked.recv()).await {
                    Ok(Some(_)) => {}
                    Ok(None) => return,
                    Err(_) => break,
                }
            }
            sleep(Duration::ZERO).await;
        }
    }

    /// None where nobody asks any more.
    async fn connected(
        &self,
        io: TcpStream,
        asked: &mut mpsc::Receiver<(u64, Request)>,
        answers: &mpsc::Sender<Answered>,
    ) -> Option<()> {
        let (mut lines, say) = calls::split(io, self.long.clone());
        // When the first of what was asked and not answered was.
        let mut open: Option<Instant> = None;
        loop {
            let over = open.map_or(Duration::from_secs(3600), |since| {
                (since + self.silent).saturating_duration_since(Instant::now())
            });
            tokio::select! {
                ask = asked.recv() => {
                    let (no, ask) = ask?;
                    let line = Message::new(&self.fleet, &self.name, no, Body::Ask(ask)).written();
                    if say.try_send(line).is_err() {
                        return Some(());
                    }
                    open.get_or_insert_with(Instant::now);
                }
                line = lines.next() => {
                    let Ok(Some(line)) = line else { return Some(()) };
                    open = None;
                    match Message::read(&line, &self.fleet) {
                        Ok(Message { no, body: Body::Answer(answer), .. }) => {
                            answers.send((self.voter, no, answer)).await.ok()?;
                        }
                        Ok(_) => {}
                        Err(wrong) => {
                            log::warn!("voter {}: {wrong}", self.voter.0 + 1);
                            return Some(());
                        }
                    }
                }
                // Guards against a stream that stays open and carries nothing.
                () = sleep(over) => return Some(()),
            }
        }
    }
}

impl Peer {
    pub fn ask(&self, no: u64, ask: Request) {
        let _ = self.asks.try_send((no, ask));
    }
}
