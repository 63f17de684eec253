//! The connection to another voter: requests go out, responses come back under their numbers. Requests that find no connection are
//! dropped; whoever made them makes them again.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use notchspool_consensus::{Request, Response, VoterId};
use notchspool_fleet_protocol::{Body, Message};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};

use crate::line_connection;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Backoff between attempts to connect, at first and at most; jittered by half.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Requests that wait for the connection.
const MAX_WAITING_REQUESTS: usize = 256;
/// Without an unanswered request a connection may be silent for as good as ever.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// A request under the number that its response will have.
pub struct NumberedRequest {
    /// Its number.
    pub number: u64,
    /// The request.
    pub request: Request,
}

/// A voter's response.
pub struct NumberedResponse {
    /// The voter.
    pub voter: VoterId,
    /// Number of the request.
    pub number: u64,
    /// The response.
    pub response: Response,
}

/// Sends requests to one other voter.
pub struct VoterPeer {
    requests: mpsc::Sender<NumberedRequest>,
}

impl VoterPeer {
    /// Sends a request, or drops it where too many wait.
    pub fn send(&self, number: u64, request: Request) {
        if self.requests.try_send(NumberedRequest { number, request }).is_err() {
            log::trace!("request {number} to a voter is dropped");
        }
    }
}

/// What is needed to connect to another voter.
pub struct VoterPeerConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of this controller.
    pub name: String,
    /// The other voter.
    pub voter: VoterId,
    /// Its address.
    pub address: SocketAddr,
    /// A connection on which a request stays unanswered for so long is given up.
    pub response_timeout: Duration,
    /// Seed of the jitter.
    pub seed: u64,
    /// See [`line_connection::long_line_permits`].
    pub long_lines: Arc<Semaphore>,
}

/// Why a connection is over.
enum Ended {
    /// It failed: connect again.
    Disconnected,
    /// This controller ends.
    Shutdown,
}

impl VoterPeerConfig {
    /// Starts the task that keeps the connection.
    pub fn spawn(self, responses: mpsc::Sender<NumberedResponse>) -> VoterPeer {
        let (requests, to_send) = mpsc::channel(MAX_WAITING_REQUESTS);
        tokio::spawn(self.run(to_send, responses));
        VoterPeer { requests }
    }

    async fn run(
        self,
        mut requests: mpsc::Receiver<NumberedRequest>,
        responses: mpsc::Sender<NumberedResponse>,
    ) {
        let mut rng = oorandom::Rand64::new(self.seed.into());
        let mut backoff = MIN_BACKOFF;
        loop {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
                let connected_at = Instant::now();
                if let Ended::Shutdown = self.exchange(stream, &mut requests, &responses).await {
                    return;
                }
                if connected_at.elapsed() > MAX_BACKOFF {
                    backoff = MIN_BACKOFF;
                }
            }
            let retry_at = Instant::now() + backoff.mul_f64(0.5 + rng.rand_float());
            backoff = (backoff * 2).min(MAX_BACKOFF);
            if let Ended::Shutdown = drop_requests_until(retry_at, &mut requests).await {
                return;
            }
            sleep(Duration::ZERO).await;
        }
    }

    /// Sends requests and takes responses until the connection is over.
    async fn exchange(
        &self,
        stream: TcpStream,
        requests: &mut mpsc::Receiver<NumberedRequest>,
        responses: &mpsc::Sender<NumberedResponse>,
    ) -> Ended {
        let (mut lines, outgoing) = line_connection::split(stream, self.long_lines.clone());
        // When the first of the unanswered requests was sent.
        let mut unanswered_since: Option<Instant> = None;
        loop {
            let silence_left = unanswered_since.map_or(IDLE_TIMEOUT, |since| {
                (since + self.response_timeout).saturating_duration_since(Instant::now())
            });
            tokio::select! {
                request = requests.recv() => {
                    let Some(NumberedRequest { number, request }) = request else { return Ended::Shutdown };
                    let body = Body::VoterRequest(request);
                    let line = Message::new(&self.fleet, &self.name, number, body).encode();
                    if outgoing.try_send(line).is_err() {
                        return Ended::Disconnected;
                    }
                    unanswered_since.get_or_insert_with(Instant::now);
                }
                line = lines.next() => {
                    let Ok(Some(line)) = line else { return Ended::Disconnected };
                    unanswered_since = None;
                    if let Err(ended) = self.on_line(&line, responses).await {
                        return ended;
                    }
                }
                // Guards against a stream that stays open and carries nothing.
                () = sleep(silence_left) => return Ended::Disconnected,
            }
        }
    }

    async fn on_line(&self, line: &[u8], responses: &mpsc::Sender<NumberedResponse>) -> Result<(), Ended> {
        let voter = self.voter;
        match Message::decode(line, &self.fleet) {
            Ok(Message { number, body: Body::VoterResponse(response), .. }) => {
                let response = NumberedResponse { voter, number, response };
                responses.send(response).await.map_err(|_| Ended::Shutdown)
            }
            Ok(_) => Ok(()),
            Err(error) => {
                log::warn!("voter {}: {error}", voter.0 + 1);
                Err(Ended::Disconnected)
            }
        }
    }
}

/// Requests that are made without a connection are dropped.
async fn drop_requests_until(at: Instant, requests: &mut mpsc::Receiver<NumberedRequest>) -> Ended {
    loop {
        let left = at.saturating_duration_since(Instant::now());
        match timeout(left, requests.recv()).await {
            Ok(Some(_)) => {}
            Ok(None) => return Ended::Shutdown,
            Err(_) => return Ended::Disconnected,
        }
    }
}
