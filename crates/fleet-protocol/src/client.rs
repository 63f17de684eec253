//! A blocking client of a fleet's controllers: one question, one answer, from whichever controller is the owner.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::owner_search::OwnerSearch;
use crate::{Body, DecodeError, MAX_LINE_BYTES, Message};

/// How long one controller may take.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause that a controller may ask for.
const MAX_REQUESTED_PAUSE_US: i64 = 500_000;

/// A fleet by the addresses of its controllers.
#[derive(Clone, Debug)]
pub struct FleetClient {
    /// Name of the fleet.
    pub fleet: String,
    /// The controllers in their order.
    pub controllers: Vec<SocketAddr>,
    /// Name of this client.
    pub name: String,
    search: OwnerSearch,
    last_number: u64,
}

/// Why there is no answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ClientError {
    /// The connection failed.
    #[display("{controller}: {source}")]
    Io {
        /// Who was asked.
        controller: SocketAddr,
        /// What failed.
        source: std::io::Error,
    },
    /// The connection ended before the answer.
    #[display("{controller}: it ended without an answer")]
    Closed {
        /// Who was asked.
        controller: SocketAddr,
    },
    /// The answer is no message.
    #[display("{controller}: {source}")]
    Decode {
        /// Who was asked.
        controller: SocketAddr,
        /// What is wrong with it.
        source: DecodeError,
    },
    /// No controller answered in time.
    #[display("no keeper answers")]
    NoAnswer,
    /// The owner that was named was not asked in time.
    #[display("{controller}: the owner is keeper {}", owner_index + 1)]
    OwnerElsewhere {
        /// Who was asked.
        controller: SocketAddr,
        /// Index of the controller that it named.
        owner_index: usize,
    },
    /// No controller is the owner.
    #[display("no keeper owns the orders now")]
    NoOwner,
    /// The owner asked to come back later than there was time for.
    #[display("the keepers are busy")]
    Busy,
}

impl FleetClient {
    /// A client of these controllers.
    pub fn new(fleet: &str, controllers: &[SocketAddr], name: &str) -> FleetClient {
        FleetClient {
            fleet: fleet.into(),
            controllers: controllers.to_vec(),
            name: name.into(),
            search: OwnerSearch::new(controllers.len(), 0),
            last_number: 0,
        }
    }

    /// Asks one controller once.
    ///
    /// # Errors
    ///
    /// The connection failed, ended, or brought no message within `timeout`.
    pub fn ask_one(
        &mut self,
        controller: SocketAddr,
        body: &Body,
        timeout: Duration,
    ) -> Result<Body, ClientError> {
        self.last_number += 1;
        let number = self.last_number;
        let line = Message::new(&self.fleet, &self.name, number, body.clone()).encode();
        let failed = |source| ClientError::Io { controller, source };
        let stream = send_line(controller, &line, timeout).map_err(failed)?;
        let mut lines = BufReader::new(stream).take(MAX_LINE_BYTES as u64 + 1);
        loop {
            let mut line = Vec::new();
            if lines.read_until(b'\n', &mut line).map_err(failed)? == 0 {
                return Err(ClientError::Closed { controller });
            }
            let message = Message::decode(&line, &self.fleet)
                .map_err(|source| ClientError::Decode { controller, source })?;
            if message.number == number {
                return Ok(message.body);
            }
        }
    }

    /// Asks the owner, whichever controller that is by then, until there is an answer. A message that may change something carries an id of
    /// its own, so that it can be asked again when its answer was lost.
    ///
    /// # Errors
    ///
    /// What the last attempt within `timeout` came to.
    pub fn ask(&mut self, body: &Body, timeout: Duration) -> Result<Body, ClientError> {
        let deadline = Instant::now() + timeout;
        let mut last_error = ClientError::NoAnswer;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(last_error);
            }
            let Some(controller) = self.controllers.get(self.search.current()).copied() else {
                return Err(last_error);
            };
            last_error = match self.ask_one(controller, body, left.min(ATTEMPT_TIMEOUT)) {
                Ok(Body::NotOwner { owner_index }) => self.search_on(controller, owner_index),
                Ok(Body::RetryLater { after_us }) => {
                    let pause = after_us.clamp(0, MAX_REQUESTED_PAUSE_US);
                    std::thread::sleep(Duration::from_micros(pause as u64));
                    ClientError::Busy
                }
                Ok(answer) => {
                    self.search.found();
                    return Ok(answer);
                }
                Err(error) => {
                    self.search.not_found(None);
                    std::thread::sleep(RETRY_PAUSE);
                    error
                }
            };
        }
    }

    /// The controller is not the owner: the one that it named is asked at once, any other after a pause.
    fn search_on(&mut self, controller: SocketAddr, named: Option<u16>) -> ClientError {
        if self.search.not_found(named) {
            return ClientError::OwnerElsewhere { controller, owner_index: self.search.current() };
        }
        std::thread::sleep(RETRY_PAUSE);
        ClientError::NoOwner
    }
}

fn send_line(controller: SocketAddr, line: &str, timeout: Duration) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&controller, timeout.min(ATTEMPT_TIMEOUT))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(line.as_bytes())?;
    Ok(stream)
}
