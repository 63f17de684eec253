//! What clients and backends write down, and the register of what it told. The auditor reads nothing else.
use super::kit::*;

/// The final answer of a txn, as its client reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Final {
    Settled,
    Declined,
    Reversed,
}

/// How a posting ended, as its backend sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered 200 with a body that went out whole.
    Settled,
    /// Answered 500, or what no one could read.
    Errored,
    /// Answered with the mark that it never ran.
    NeverRan,
    /// The connection broke before the request was whole.
    Unfinished,
    /// The connection broke, from either side, after it was whole.
    Broken,
    /// The agent gave it up.
    GivenUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// One line. Times are those of whoever writes it; all share one clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A client gave an agent a txn: its last byte was written. It waits until `expiry`.
    Taken { txn: TxnId, agent: AgentId, scheme: ClassId, expiry: Micros },
    /// The last byte of a whole answer.
    Heard { txn: TxnId, answer: Final },
    /// The client's patience was over, and it left.
    Left { txn: TxnId },
    /// The connection ended without a whole answer, or with one that can't be read.
    Unanswered { txn: TxnId },
    /// The first byte of a posting at a backend.
    Began { posting: PostingId, txn: TxnId, back: BackId },
    /// Its last byte.
    Came { posting: PostingId },
    /// How much work it is, where its backend was cold as it came.
    Weighs { posting: PostingId, work: Micros },
    /// Its effect: work on it was begun.
    Ran { posting: PostingId },
    /// It was known as a repeat and had no effect.
    Repeat { posting: PostingId },
    /// Its connection ended, or its answer's last byte was written.
    Over { posting: PostingId, end: End },
    /// The register wrote this to an agent.
    Told { agent: AgentId, back: BackId, standing: Standing },
    /// A new process of a backend: what was told of the old one no longer holds.
    Started { back: BackId },
    /// A cold backend was pushed over.
    Fell { back: BackId },
    /// An agent was killed, or its restart has begun: what it holds is its clients' to try again.
    Killed { agent: AgentId },
    /// A new process of an agent, which was told nothing yet.
    Launched { agent: AgentId },
}

/// All lines, in the order they were written.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub lines: Vec<(Micros, Entry)>,
}

impl Ledger {
    pub fn write(&mut self, at: Micros, entry: Entry) {
        self.lines.push((at, entry));
    }
}
