//! The log of claims, in `okaywal`. A batch is one entry, so that claims share a sync. At a checkpoint all that is within its window is
//! written as one snapshot beside the log. Reading the snapshot and then the log gives for each key what was said of it last.
use std::collections::HashMap;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use notchspool_mesh_protocol::{All, Claim, Withdraw};
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use prost::Message;

use crate::shelf::Shelf;
use crate::{Broken, Deed, broken};

/// By key and ticket: after a lost disk two tickets may stand for one key.
type Table = HashMap<(String, u64, u64), (Claim, Instant)>;

fn place(key: &str, ticket: Option<notchspool_mesh_protocol::Ticket>) -> (String, u64, u64) {
    let ticket = ticket.unwrap_or_default();
    (key.to_string(), ticket.life, ticket.number)
}

#[derive(Clone, Debug)]
struct Keeper {
    table: Arc<Mutex<Table>>,
    beside: PathBuf,
    window: Duration,
}

/// One line of the log.
#[derive(Clone, PartialEq, Message)]
struct Line {
    #[prost(message, optional, tag = "1")]
    claim: Option<Claim>,
    #[prost(message, optional, tag = "2")]
    withdraw: Option<Withdraw>,
}

impl Keeper {
    fn with<T>(&self, then: impl FnOnce(&mut Table) -> T) -> T {
        then(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn apply(&self, line: Line) {
        self.with(|table| {
            if let Some(claim) = line.claim {
                table.insert(place(&claim.key, claim.ticket), (claim, Instant::now()));
            }
            if let Some(withdraw) = line.withdraw {
                let (at, turn) =
                    (place(&withdraw.key, withdraw.ticket), withdraw.ticket.unwrap_or_default().turn);
                if table.get(&at).is_some_and(|(c, _)| c.ticket.unwrap_or_default().turn <= turn) {
                    table.remove(&at);
                }
            }
        });
    }

    fn snapshot(&self) -> std::io::Result<()> {
        let window = self.window;
        let claims = self.with(|table| {
            table.retain(|_, (_, at)| at.elapsed() <= window);
            table.values().map(|(c, _)| c.clone()).collect()
        });
        let all = All { claims, ..All::default() }.encode_to_vec();
        let put = Shelf::open(&self.beside).and_then(|mut shelf| shelf.put("claims", &all));
        put.map_err(|e| std::io::Error::other(e.to_string()))
    }
}

impl LogManager for Keeper {
    fn recover(&mut self, entry: &mut Entry<'_>) -> std::io::Result<()> {
        while let Ok(okaywal::ReadChunkResult::Chunk(mut chunk)) = entry.read_chunk() {
            let mut bytes = Vec::new();
            if chunk.read_to_end(&mut bytes).is_err() || !chunk.check_crc().unwrap_or(false) {
                break;
            }
            if let Ok(line) = Line::decode(&bytes[..]) {
                self.apply(line);
            }
        }
        Ok(())
    }

    fn checkpoint_to(&mut self, _: EntryId, _: &mut SegmentReader, _: &WriteAheadLog) -> std::io::Result<()> {
        self.snapshot()
    }
}

pub struct Claims {
    /// None after a failed write: what the log then holds in its hands may never come back (it waits for its own file for ever), so
    /// it is opened anew.
    log: Option<WriteAheadLog>,
    at: PathBuf,
    keeper: Keeper,
    failed: Option<Instant>,
}

/// A disk that refused is asked again after this.
pub const AGAIN: Duration = Duration::from_millis(100);

impl Claims {
    /// The log, and all that it holds. Each claim's window begins anew.
    pub fn open(folder: &Path, window: Duration) -> Result<(Claims, Vec<Claim>), Broken> {
        let beside = folder.join("snapshot");
        let keeper = Keeper { table: Arc::default(), beside: beside.clone(), window };
        if let Some(bytes) = Shelf::open(&beside)?.get("claims")?
            && let Ok(all) = All::decode(&bytes[..])
        {
            all.claims.into_iter().for_each(|c| keeper.apply(Line { claim: Some(c), withdraw: None }));
        }
        let at = folder.join("log");
        std::fs::create_dir_all(&at).map_err(broken("claims"))?;
        let log = Some(Configuration::default_for(&at).open(keeper.clone()).map_err(broken("claims"))?);
        let read = keeper.with(|table| table.values().map(|(c, _)| c.clone()).collect());
        Ok((Claims { log, at, keeper, failed: None }, read))
    }

    /// The log, opened anew where a write to it failed.
    fn log(&mut self) -> Result<&WriteAheadLog, Broken> {
        if self.log.is_none() {
            if self.failed.is_some_and(|at| at.elapsed() < AGAIN) {
                return Err(broken("claims")(std::io::Error::other("the disk has just refused")));
            }
            self.failed = Some(Instant::now());
            self.log = Some(
                Configuration::default_for(&self.at).open(self.keeper.clone()).map_err(broken("claims"))?,
            );
        }
        self.log.as_ref().ok_or_else(|| broken("claims")(std::io::Error::other("no log")))
    }

    pub fn write(&mut self, deeds: &[Deed]) -> Result<(), Broken> {
        let lines: Vec<Line> = deeds.iter().filter_map(line).collect();
        if lines.is_empty() {
            return Ok(());
        }
        // The table first: a checkpoint that comes between has it all.
        lines.iter().cloned().for_each(|l| self.keeper.apply(l));
        let written = self.append(&lines);
        if written.is_err() {
            self.fail(Instant::now());
        } else {
            self.failed = None;
        }
        written
    }

    /// A write failed then: the log is opened anew, after `AGAIN`.
    pub fn fail(&mut self, at: Instant) {
        self.log = None;
        self.failed = Some(self.failed.map_or(at, |first| first.min(at)));
    }

    fn append(&mut self, lines: &[Line]) -> Result<(), Broken> {
        let log = self.log()?;
        let mut entry = log.begin_entry().map_err(broken("claims"))?;
        for line in lines {
            entry.write_chunk(&line.encode_to_vec()).map_err(broken("claims"))?;
        }
        entry.commit().map_err(broken("claims")).map(drop)
    }
}

fn line(deed: &Deed) -> Option<Line> {
    match deed {
        Deed::Claim(claim) => Some(Line { claim: Some(claim.clone()), withdraw: None }),
        Deed::Withdraw(key, ticket) => {
            let withdraw = Withdraw { key: key.clone(), ticket: Some(*ticket) };
            Some(Line { claim: None, withdraw: Some(withdraw) })
        }
        _ => None,
    }
}
