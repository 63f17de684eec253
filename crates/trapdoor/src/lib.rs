//! What a prompter keeps on its disk. `shelf`: plain files, each written aside, synced, renamed, the folder synced. `claims`: the log of
//! keyed operations. `Trapdoor` puts both together for one thread that waits for the disk: a batch of deeds, durable when `write` returns.
pub mod claims;
pub mod shelf;

use std::path::Path;
use std::time::Duration;

use notchspool_cues::{Claim, Ticket};
use notchspool_election::sets::{Register, VoterSet};
use notchspool_election::{Ballot, Entry};
use serde::{Deserialize, Serialize};

use claims::Claims;
use shelf::Shelf;

/// What went wrong with the disk.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{what}: {source}")]
pub struct Broken {
    pub what: String,
    source: std::io::Error,
}

pub(crate) fn broken(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Broken {
    let what = what.into();
    move |source| Broken { what, source }
}

/// One thing to be kept.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// All that is here is of no account any more: the seat goes first, so that what is left after a loss of power is an empty disk.
    Clear,
    /// The register of the operator's word: what was promised, and what was accepted.
    Promise(Ballot),
    Word(u64, Entry),
    /// In which set this one votes, and what it has of its successor. Written last: a set is installed once its seat is there.
    Seat(Seat),
    Claim(Claim),
    Withdraw(String, Ticket),
}

/// This voter's seat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Which life of the disk this is: 0 since the first start of all, drawn later.
    pub incarnation: u64,
    /// The set that is installed here, and the one before.
    pub set: VoterSet,
    pub previous: Option<VoterSet>,
    pub register: Register,
}

/// All that was on the disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    pub seat: Option<Seat>,
    pub promised: Ballot,
    pub entry: Option<Entry>,
    pub claims: Vec<Claim>,
    /// Files that were torn and are left out.
    pub torn: Vec<String>,
}

pub struct Trapdoor {
    shelf: Shelf,
    claims: Claims,
    words: Vec<(Ballot, u64, String)>,
}

/// Versions of the operator's word that stay on the disk.
const KEPT_WORDS: usize = 4;

#[derive(Serialize, Deserialize)]
struct WordFile {
    version: u64,
    entry: Entry,
}

impl Trapdoor {
    /// Opens the folder and reads what is there. `window`: for how long claims are kept at least.
    pub fn open(folder: &Path, window: Duration) -> Result<(Trapdoor, Found), Broken> {
        let shelf = Shelf::open(folder)?;
        let mut found = Found::default();
        let mut words = Vec::new();
        for name in shelf.names()? {
            let Some(text) = shelf.get(&name)? else {
                found.torn.push(name);
                continue;
            };
            if name == "seat" {
                found.seat = serde_json::from_slice(&text).ok();
            } else if name == "promise" {
                found.promised = serde_json::from_slice(&text).unwrap_or_default();
            } else if name.starts_with("word-")
                && let Ok(word) = serde_json::from_slice::<WordFile>(&text)
            {
                words.push((word.entry.at, word.version, name));
                let newer = |old: &Entry| (old.at, old.nth) < (word.entry.at, word.entry.nth);
                if found.entry.as_ref().is_none_or(newer) {
                    found.entry = Some(word.entry);
                }
            }
        }
        words.sort();
        // What was accepted had been promised, whatever became of that file.
        found.promised = found.promised.max(found.entry.as_ref().map_or(Ballot::default(), |e| e.at));
        let (claims, read) = Claims::open(&folder.join("claims"), window)?;
        found.claims = read;
        Ok((Trapdoor { shelf, claims, words }, found))
    }

    /// Writes a batch; what it holds is durable when this returns without an error, and may or may not be there with one.
    pub fn write(&mut self, deeds: &[Deed]) -> Result<(), Broken> {
        let mut rest = deeds;
        while let Some(at) = rest.iter().position(|d| *d == Deed::Clear) {
            self.put(&rest[..at])?;
            self.clear()?;
            rest = &rest[at + 1..];
        }
        self.put(rest)
    }

    fn clear(&mut self) -> Result<(), Broken> {
        self.shelf.remove_synced("seat")?;
        for name in self.shelf.names()?.iter().filter(|n| n.starts_with("word-")) {
            self.shelf.remove_synced(name)?;
        }
        self.words.clear();
        self.shelf.remove_synced("promise")?;
        self.claims.clear()
    }

    fn put(&mut self, deeds: &[Deed]) -> Result<(), Broken> {
        let promise = deeds.iter().rev().find_map(|d| if let Deed::Promise(b) = d { Some(b) } else { None });
        let word =
            deeds.iter().rev().find_map(|d| if let Deed::Word(v, e) = d { Some((v, e)) } else { None });
        let seat = deeds.iter().rev().find_map(|d| if let Deed::Seat(s) = d { Some(s) } else { None });
        if let Some((version, entry)) = word {
            let name = format!("word-{version}");
            let file = WordFile { version: *version, entry: entry.clone() };
            self.shelf.put(&name, &serde_json::to_vec(&file).unwrap_or_default())?;
            self.words.retain(|w| w.2 != name);
            self.words.push((entry.at, *version, name));
            while self.words.len() > KEPT_WORDS {
                let (.., old) = self.words.remove(0);
                self.shelf.remove(&old);
            }
        }
        if let Some(promise) = promise {
            self.shelf.put("promise", &serde_json::to_vec(promise).unwrap_or_default())?;
        }
        self.claims.write(deeds)?;
        match seat {
            Some(seat) => self.shelf.put("seat", &serde_json::to_vec(seat).unwrap_or_default()),
            None => Ok(()),
        }
    }
}
