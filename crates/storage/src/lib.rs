//! What a prompter keeps on its disk. `shelf`: plain files, each written aside, synced, renamed, the folder synced. `claims`: the log of
//! keyed operations. `state`: what else there is, and how a snapshot takes its place. `Trapdoor` puts both together for one thread that waits for the disk: a batch of deeds, durable when `write` returns.
pub mod claims;
pub mod drive;
pub mod shelf;
pub mod state;

use std::path::Path;
use std::time::Duration;

use notchspool_consensus::voter_set::{SuccessorRegister, VoterSet};
use notchspool_consensus::{Ballot, Entry};
use notchspool_mesh_protocol::{Claim, Snapshot, Ticket};
use serde::{Deserialize, Serialize};

use claims::Claims;
use shelf::Shelf;
use state::State;

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
    /// The register of the operator's word: what was promised, and what was accepted.
    Promise(Ballot),
    Word(u64, Entry),
    /// In which set this one votes, and what it has of its successor. Written last: a set is installed once its seat is there.
    Seat(Seat),
    Claim(Claim),
    Withdraw(String, Ticket),
    /// All of this in place of what there is, whole or not at all.
    Install(Box<Snapshot>),
}

/// This voter's seat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Which life of the disk this is: 0 since the first start of all, drawn later.
    pub incarnation: u64,
    /// The set that is installed here, and the one before.
    pub set: VoterSet,
    pub previous: Option<VoterSet>,
    pub register: SuccessorRegister,
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
    state: State,
    claims: Claims,
}

impl Trapdoor {
    /// Opens the folder and reads what is there. `window`: for how long claims are kept at least.
    pub fn open(folder: &Path, window: Duration) -> Result<(Trapdoor, Found), Broken> {
        let (state, mut found, owed) = State::open(Shelf::open(folder)?)?;
        let (claims, read) = Claims::open(&folder.join("claims"), window)?;
        found.claims = read;
        let mut trapdoor = Trapdoor { state, claims };
        trapdoor.finish()?;
        found.claims.extend(owed);
        Ok((trapdoor, found))
    }

    /// Writes a batch; what it holds is durable when this returns without an error, and may or may not be there with one.
    pub fn write(&mut self, deeds: &[Deed]) -> Result<(), Broken> {
        self.finish()?;
        let mut rest = deeds;
        // What stands before a snapshot is replaced by it, what stands after it is not.
        while let Some(at) = rest.iter().position(|d| matches!(d, Deed::Install(_))) {
            self.plain(&rest[..at])?;
            if let Deed::Install(snapshot) = &rest[at] {
                self.state.install(snapshot)?;
                self.finish()?;
            }
            rest = &rest[at + 1..];
        }
        self.plain(rest)
    }

    /// The seat last: a set is installed once its seat is there.
    fn plain(&mut self, deeds: &[Deed]) -> Result<(), Broken> {
        self.state.write(deeds)?;
        self.claims.write(deeds)?;
        self.state.seat(deeds)
    }

    /// Claims of a snapshot go to the log, beside those that are there: one more than need be holds a key that is over, one fewer runs a key
    /// twice.
    fn finish(&mut self) -> Result<(), Broken> {
        let owed: Vec<Deed> = self.state.owed().iter().cloned().map(Deed::Claim).collect();
        self.claims.write(&owed)?;
        self.state.done()
    }
}
