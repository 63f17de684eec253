//! Who owns a job that is done once for the whole fleet. Registers are agreed by a majority of voters, after CASPaxos (Rystsov,
//! 2018): ballots without a log, a register for a key. On them an owner holds a lease, and every one of its writes and effects
//! carries its fencing token. No I/O: time and chance are handed in, what is to be on disk or on its way comes back as a value.
//!
//! Held always, each with a test that tries to break it (`tests/walk.rs`, `tests/drawn.rs`):
//! - a token is given to one owner only, and later owners have larger ones;
//! - no two owners' leases run at one moment, while clocks drift within the stated bound;
//! - what was said to be written is what every later owner begins with;
//! - a place that has seen a token does nothing under an older one (`fence`), whatever owners believe of their leases;
//! - a voter without its disk promises and accepts nothing until a majority of the others has told it all they know.
pub mod fence;
pub mod owner;
pub mod readmit;
pub mod round;
pub mod sets;
pub mod voter;

use std::collections::BTreeMap;

use notchspool::units::Micros;
use serde::{Deserialize, Serialize};

/// The number of an owner of a job: later owners have larger ones. Nought: nobody yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(pub u64);

/// A voter, by its place in the operator's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VoterId(pub u16);

/// One life of a contender: drawn at its start, so that no two ever use the same ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContenderId(pub u64);

/// What a round goes by: larger ones win. The token stands first, so that for what a job keeps the promise of a voter is the fence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub token: Token,
    pub round: u64,
    pub by: ContenderId,
}

/// Registers that are asked for together: the one that says who owns a job, and those in which the job keeps its state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Space {
    Owner(String),
    State(String),
}

/// A value as one voter accepted it. `nth`: the number of the write under its ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub at: Ballot,
    pub nth: u64,
    pub value: String,
}
pub type Entries = BTreeMap<String, Entry>;
/// A space as a voter has it: what it promised, what it accepted, the lease it keeps to.
pub type Whole = (Space, Ballot, Entries, Option<Lease>);

/// That a contender may not be disturbed for so long (microseconds); nought: it lets go.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    pub by: ContenderId,
    pub span_us: i64,
}

/// The key of the one register of an owner's space.
pub const OWNER: &str = "owner";

/// Who owns a job, as its register holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owned {
    pub token: Token,
    pub by: ContenderId,
    /// Its name and where it is called, for people and redirections.
    pub name: String,
    pub at: String,
    /// It let go by itself.
    pub released: bool,
}

impl Owned {
    /// None where the text is no record of an owner.
    pub fn read(text: &str) -> Option<Owned> {
        serde_json::from_str(text).ok()
    }
    pub fn written(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// What is asked of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Ask {
    /// To promise that no lower ballot counts here any more, and to tell what was accepted.
    Prepare { space: Space, ballot: Ballot },
    /// To accept these values under this ballot, all or none.
    Accept { space: Space, ballot: Ballot, nth: u64, changes: Vec<(String, String)>, lease: Option<Lease> },
    /// To tell what it has, without any promise.
    Look { space: Space },
    /// A voter that lost its disk asks for all there is, in its new life.
    Readmit { voter: VoterId, life: u64 },
}

/// What a voter says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Said {
    Promised {
        entries: Entries,
    },
    Accepted,
    /// A higher ballot was promised; and who owns now, as far as this voter knows.
    Refused {
        promised: Ballot,
        owner: String,
    },
    /// Another holds a lease, or has just been promised: ask again after this.
    Held {
        by: ContenderId,
        left_us: i64,
    },
    Seen {
        promised: Ballot,
        entries: Entries,
    },
    /// All it knows, for one that lost its disk.
    All {
        spaces: Vec<Whole>,
    },
    /// The new life that was named is not newer than the one known here.
    OldLife {
        known: u64,
    },
    /// It has no disk of its own yet, or can't write to it: it does not vote.
    NoVote {
        why: String,
    },
}

/// A voter's answer, with its own life and the lives of the others as it knows them: an answer of an earlier life does not count
/// beside one that knows of a later.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    pub life: u64,
    pub lives: BTreeMap<VoterId, u64>,
    pub said: Said,
}

/// What all who take part are told alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// 1, 3 or 5.
    pub voters: usize,
    pub lease: Micros,
    /// No clock gains or loses more than this part, in millionths.
    pub drift_ppm: u32,
    /// An ask without an answer is sent again after this.
    pub again: Micros,
    /// After it has promised one contender a voter puts off the others for this.
    pub turn: Micros,
}

impl Terms {
    pub fn of(voters: usize, lease: Micros) -> Terms {
        let again = Micros((lease.0 / 12).clamp(20_000, 500_000));
        Terms { voters, lease, drift_ppm: 5_000, again, turn: Micros((lease.0 / 10).max(20_000)) }
    }
    pub fn majority(&self) -> usize {
        self.voters / 2 + 1
    }
    /// How long a voter keeps to a lease of this span: the holder's clock may lose what its own gains.
    fn kept(&self, span: Micros) -> Micros {
        Micros(span.0.saturating_add(span.0 / 1_000_000 * 2 * i64::from(self.drift_ppm) + 1_000))
    }
}
