//! Who asks keepers: one question, one answer, at whichever keeper owns. Blocking, for the command line and for tests.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::search::Search;
use crate::{Body, LONGEST, Message};

/// A fleet, as its keepers' addresses in their order.
#[derive(Clone, Debug)]
pub struct Client {
    pub fleet: String,
    pub keepers: Vec<SocketAddr>,
    pub name: String,
    search: Search,
    no: u64,
}

const ONE: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(60);

impl Client {
    pub fn new(fleet: &str, keepers: &[SocketAddr], name: &str) -> Client {
        let search = Search::new(keepers.len(), 0);
        Client { fleet: fleet.into(), keepers: keepers.to_vec(), name: name.into(), search, no: 0 }
    }

    /// One question to one keeper.
    pub fn ask_at(&mut self, at: SocketAddr, body: &Body, within: Duration) -> Result<Body, String> {
        self.no += 1;
        let failed = |e: std::io::Error| format!("{at}: {e}");
        let mut io = TcpStream::connect_timeout(&at, within.min(ONE)).map_err(failed)?;
        io.set_read_timeout(Some(within)).map_err(failed)?;
        io.set_write_timeout(Some(within)).map_err(failed)?;
        let line = Message::new(&self.fleet, &self.name, self.no, body.clone()).written();
        io.write_all(line.as_bytes()).map_err(failed)?;
        let mut lines = BufReader::new(io).take(LONGEST as u64 + 1);
        loop {
            let mut line = Vec::new();
            if lines.read_until(b'\n', &mut line).map_err(failed)? == 0 {
                return Err(format!("{at}: it ended without an answer"));
            }
            let message = Message::read(&line, &self.fleet).map_err(|wrong| format!("{at}: {wrong}"))?;
            if message.no == self.no {
                return Ok(message.body);
            }
        }
    }

    /// The owner's answer, wherever the owner is by then. A question that may change something carries an id of its own, so that
    /// it can be asked again when its answer was lost.
    pub fn ask(&mut self, body: &Body, within: Duration) -> Result<Body, String> {
        let until = Instant::now() + within;
        let mut last = "no keeper answers".to_owned();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(last);
            }
            let Some(at) = self.keepers.get(self.search.at()).copied() else { return Err(last) };
            match self.ask_at(at, body, left.min(ONE)) {
                Ok(Body::Elsewhere { place }) => {
                    if self.search.not_there(place) {
                        last = format!("{at}: the owner is keeper {}", self.search.at() + 1);
                    } else {
                        last = "no keeper owns the orders now".into();
                        std::thread::sleep(PAUSE);
                    }
                }
                Ok(Body::Later { after_us }) => {
                    last = "the keepers are busy".into();
                    std::thread::sleep(Duration::from_micros(after_us.clamp(0, 500_000) as u64));
                }
                Ok(body) => {
                    self.search.found();
                    return Ok(body);
                }
                Err(why) => {
                    last = why;
                    self.search.not_there(None);
                    std::thread::sleep(PAUSE);
                }
            }
        }
    }
}
