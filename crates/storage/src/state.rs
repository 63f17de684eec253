//! What a voter has on its disk but the claims: seat, promise, the last configurations accepted, and how a snapshot takes their place.
//!
//! A snapshot is one file, `installed`. Once it is whole on the disk it counts, and nothing beside it: it is carried out (its parts written
//! over their files, what it replaces removed) and then removed itself. Should the power be lost in between, it is carried out again at the
//! next start, before anything is read; should a write fail, before anything else is written.
use notchspool_consensus::voter_set::VoterSet;
use notchspool_consensus::{Ballot, ContenderId, Entry, Token};
use notchspool_mesh_protocol::snapshot;
use notchspool_mesh_protocol::{Claim, Snapshot};
use serde::{Deserialize, Serialize};

use crate::shelf::Shelf;
use crate::{Broken, Deed, Found, Seat, broken};

/// Configurations accepted that stay on the disk.
const KEPT_WORDS: usize = 4;
const INSTALLED: &str = "installed";
const WORD: &str = "word-";

#[derive(Serialize, Deserialize)]
struct WordFile {
    version: u64,
    entry: Entry,
}

/// A seat of the form before sets had numbers: who votes, once and for all. All who kept one take it for set 1, so that they agree.
#[derive(Deserialize)]
struct OlderSeat {
    voters: Vec<String>,
}

fn older(text: &[u8]) -> Option<Seat> {
    let OlderSeat { voters } = serde_json::from_slice(text).ok()?;
    let set = VoterSet::first(&voters);
    set.is_valid().then(|| Seat { set, ..Seat::default() })
}

/// The files of configurations accepted: ballot, version, name.
type Words = Vec<(Ballot, u64, String)>;

pub struct State {
    shelf: Shelf,
    words: Words,
    /// Durable, and not yet carried out.
    owed: Option<Snapshot>,
    /// The disk refused a snapshot at a moment at which it may be there all the same: it must go before anything else is written.
    doubt: bool,
}

fn ballot(told: Option<notchspool_mesh_protocol::Ballot>) -> Ballot {
    let told = told.unwrap_or_default();
    Ballot { token: Token(0), round: told.round, by: ContenderId(told.by) }
}

/// The configuration in a snapshot: its version and how it was accepted.
fn entry(of: &Snapshot) -> Option<(u64, Entry)> {
    let value = of.body.clone()?;
    // The version stands first in the line in front, alone or before what was taken earlier.
    let digits = value.bytes().take_while(u8::is_ascii_digit).count();
    let version = value[..digits].parse().unwrap_or(0);
    Some((version, Entry { ballot: ballot(of.under), sequence: 1, value }))
}

impl State {
    /// Reads what is there. A snapshot that is whole is carried out first; its claims come with it, for who keeps them.
    pub fn open(mut shelf: Shelf) -> Result<(State, Found, Vec<Claim>), Broken> {
        shelf.clear();
        let owed = shelf.get(INSTALLED)?.and_then(|all| snapshot::decode(&all));
        let claims = owed.as_ref().map_or_else(Vec::new, |s| s.claims.clone());
        let mut state = State { shelf, words: Vec::new(), owed, doubt: false };
        state.words = state.found()?.1;
        state.carry_out()?;
        let (found, words) = state.found()?;
        state.words = words;
        Ok((state, found, claims))
    }

    fn found(&self) -> Result<(Found, Words), Broken> {
        let (mut found, mut words) = (Found::default(), Vec::new());
        for name in self.shelf.names()? {
            let Some(text) = self.shelf.get(&name)? else {
                if name.starts_with(WORD) {
                    // It has no place in the order of the others: the first to go.
                    words.push((Ballot::default(), 0, name.clone()));
                }
                found.torn.push(name);
                continue;
            };
            if name == "seat" {
                found.seat = serde_json::from_slice(&text).ok().or_else(|| older(&text));
            } else if name == "promise" {
                found.promised = serde_json::from_slice(&text).unwrap_or_default();
            } else if name.starts_with(WORD)
                && let Ok(word) = serde_json::from_slice::<WordFile>(&text)
            {
                words.push((word.entry.ballot, word.version, name));
                let newer =
                    |old: &Entry| (old.ballot, old.sequence) < (word.entry.ballot, word.entry.sequence);
                if found.entry.as_ref().is_none_or(newer) {
                    found.entry = Some(word.entry);
                }
            }
        }
        words.sort();
        // What was accepted had been promised, whatever became of that file.
        found.promised = found.promised.max(found.entry.as_ref().map_or(Ballot::default(), |e| e.ballot));
        Ok((found, words))
    }

    /// Nothing is written beside a snapshot that is not done with: it would be carried out over it.
    fn free(&mut self) -> Result<(), Broken> {
        self.carry_out()?;
        match self.owed {
            Some(_) => Err(broken(INSTALLED)(std::io::Error::other("a snapshot is not done with"))),
            None => Ok(()),
        }
    }

    /// Writes what of a batch is kept here.
    pub fn write(&mut self, deeds: &[Deed]) -> Result<(), Broken> {
        self.free()?;
        let promise = deeds.iter().rev().find_map(|d| if let Deed::Promise(b) = d { Some(b) } else { None });
        let word =
            deeds.iter().rev().find_map(|d| if let Deed::Word(v, e) = d { Some((v, e)) } else { None });
        if let Some((version, entry)) = word {
            self.word(*version, entry.clone())?;
            if self.words.len() > KEPT_WORDS {
                let old = self.words.drain(..self.words.len() - KEPT_WORDS).map(|w| w.2).collect::<Vec<_>>();
                self.shelf.drop_all(&old)?;
            }
        }
        if let Some(promise) = promise {
            self.shelf.put("promise", &serde_json::to_vec(promise).unwrap_or_default())?;
        }
        Ok(())
    }

    /// Writes the seat of a batch, once all else of it is there.
    pub fn seat(&mut self, deeds: &[Deed]) -> Result<(), Broken> {
        match deeds.iter().rev().find_map(|d| if let Deed::Seat(s) = d { Some(s) } else { None }) {
            Some(seat) => self.shelf.put("seat", &serde_json::to_vec(seat).unwrap_or_default()),
            None => Ok(()),
        }
    }

    fn word(&mut self, version: u64, entry: Entry) -> Result<(), Broken> {
        let (name, at) = (format!("{WORD}{version}"), entry.ballot);
        let file = WordFile { version, entry };
        self.words.retain(|w| w.2 != name);
        self.words.push((at, version, name.clone()));
        self.shelf.put(&name, &serde_json::to_vec(&file).unwrap_or_default())
    }

    /// A snapshot counts from here on: whole, or not at all. Its claims are for who keeps them; then `done` is called.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<(), Broken> {
        self.free()?;
        let all = snapshot::encode(snapshot)
            .ok_or_else(|| broken(INSTALLED)(std::io::Error::other("the snapshot is too large")))?;
        self.doubt = true;
        self.shelf.put(INSTALLED, &all)?;
        self.doubt = false;
        self.owed = Some(snapshot.clone());
        self.carry_out()
    }

    /// Claims of a snapshot that counts and is not done with.
    pub fn owed(&self) -> &[Claim] {
        self.owed.as_ref().map_or(&[], |s| &s.claims)
    }

    /// The parts of the snapshot go where they belong, and what it replaces goes away.
    fn carry_out(&mut self) -> Result<(), Broken> {
        if self.doubt {
            self.shelf.drop_all(&[INSTALLED.to_string()])?;
            self.doubt = false;
        }
        let Some(snapshot) = self.owed.clone() else { return Ok(()) };
        self.shelf.put("seat", &snapshot.seat)?;
        let entry = entry(&snapshot);
        let kept = entry.as_ref().map(|(version, _)| format!("{WORD}{version}"));
        // By what is there: one whose write was refused half way may be there without being known of.
        let mut old = self.shelf.names()?;
        old.retain(|name| name.starts_with(WORD) && Some(name) != kept.as_ref());
        if let Some((version, entry)) = entry {
            self.word(version, entry)?;
        }
        self.shelf.drop_all(&old)?;
        self.words.retain(|w| Some(&w.2) == kept.as_ref());
        let promised = ballot(snapshot.promised);
        self.shelf.put("promise", &serde_json::to_vec(&promised).unwrap_or_default())
    }

    /// All of the snapshot is where it belongs, its claims too: it is done with.
    pub fn done(&mut self) -> Result<(), Broken> {
        if self.owed.is_some() {
            self.carry_out()?;
            self.shelf.drop_all(&[INSTALLED.to_string()])?;
            self.owed = None;
        }
        Ok(())
    }
}
