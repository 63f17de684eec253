//! The fence where effects happen: the largest token admitted for each job.
//!
//! What comes under an older token is not done, however late or by whom it comes, and whatever its sender believes of its lease.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Token;

/// Jobs whose tokens are kept at most; those of further jobs are rejected.
const MAX_JOBS: usize = 64;

/// The largest token admitted for each job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fence {
    #[serde(rename = "seen")]
    highest: BTreeMap<String, Token>,
}

/// Whether an effect may be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// To be done; the token is the one admitted before.
    Current,
    /// To be done, once the larger token is on disk.
    Raised,
    /// Not to be done: this larger token was admitted before.
    Rejected(Token),
}

impl Fence {
    /// Whether what came under `token` may be done now. Called when it comes, and again when its turn comes.
    pub fn admit(&mut self, job: &str, token: Token) -> Admission {
        let highest = self.highest(job);
        let no_room = highest == Token(0) && self.highest.len() >= MAX_JOBS;
        if token < highest || token == Token(0) || no_room {
            return Admission::Rejected(highest);
        }
        if token == highest {
            return Admission::Current;
        }
        self.highest.insert(job.to_owned(), token);
        Admission::Raised
    }

    /// The largest token admitted for this job; 0 where there was none.
    pub fn highest(&self, job: &str) -> Token {
        self.highest.get(job).copied().unwrap_or_default()
    }

    /// Whether no token was admitted yet.
    pub fn is_empty(&self) -> bool {
        self.highest.is_empty()
    }
}
