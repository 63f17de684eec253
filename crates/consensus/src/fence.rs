//! The fence where effects happen: the largest token seen for each job. What comes under an older one is not done, however late or
//! by whom it comes, and whatever its sender believes of its lease.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Token;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fence {
    seen: BTreeMap<String, Token>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// To be done; nothing new was seen.
    Known,
    /// To be done, once the larger token is on disk.
    Raised,
    /// Not to be done: this one was seen.
    Fenced(Token),
}

/// Jobs whose tokens are kept.
const MOST: usize = 64;

impl Fence {
    /// Whether what came under `token` may be done now. Called when it comes, and again when its turn comes.
    pub fn pass(&mut self, job: &str, token: Token) -> Pass {
        let seen = self.seen.get(job).copied().unwrap_or_default();
        if token < seen || token == Token(0) || (seen == Token(0) && self.seen.len() >= MOST) {
            return Pass::Fenced(seen);
        }
        if token == seen {
            return Pass::Known;
        }
        self.seen.insert(job.to_owned(), token);
        Pass::Raised
    }
    pub fn seen(&self, job: &str) -> Token {
        self.seen.get(job).copied().unwrap_or_default()
    }
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tokens_only_grow_for_each_job() {
        let mut fence = Fence::default();
        assert_eq!(fence.pass("orders", Token(0)), Pass::Fenced(Token(0)), "nobody's token opens nothing");
        assert_eq!(fence.pass("orders", Token(3)), Pass::Raised);
        assert_eq!(fence.pass("orders", Token(3)), Pass::Known);
        assert_eq!(fence.pass("orders", Token(2)), Pass::Fenced(Token(3)));
        assert_eq!(fence.pass("rollout", Token(1)), Pass::Raised, "another job has tokens of its own");
        assert_eq!(fence.seen("orders"), Token(3));
    }
}
