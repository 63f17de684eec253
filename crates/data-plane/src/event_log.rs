//! What the log says of single requests: some in each span, and how much was refused in it. No I/O.
//!
//! A fault may strike thousands of requests at once: the first lines of a span tell what happens, its summary tells how often.
use std::cell::{Cell, RefCell};

/// Lines about single requests in one span, at most.
const MAX_LINES: u32 = 8;
/// A summary is given where at least this part of the requests was refused.
const NOTABLE_REFUSED_PART: f64 = 0.5;

/// What happened since the last summary.
#[derive(Debug, Default)]
pub struct EventLog {
    lines: Cell<u32>,
    lines_left_out: Cell<u64>,
    requests: Cell<u64>,
    refused: Cell<u64>,
    last_refusal: RefCell<String>,
}

/// The summary of a span.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Summary {
    /// Most requests were refused.
    #[display("{refused} of {requests} requests refused, the last one: {last_reason}")]
    MostRefused {
        /// How many.
        refused: u64,
        /// Out of how many that began here.
        requests: u64,
        /// Why the last one was.
        last_reason: String,
    },
    /// More happened than was told.
    #[display("{_0} more lines about single requests were left out")]
    LinesLeftOut(u64),
}

impl EventLog {
    /// Whether a line about a single request may be written now; it counts against its span.
    pub fn may_write(&self) -> bool {
        if self.lines.get() >= MAX_LINES {
            self.lines_left_out.set(self.lines_left_out.get() + 1);
            return false;
        }
        self.lines.set(self.lines.get() + 1);
        true
    }

    /// A request began here.
    pub fn on_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    /// A request that began here was refused.
    pub fn on_refused(&self, reason: &str) {
        self.refused.set(self.refused.get() + 1);
        let mut last_refusal = self.last_refusal.borrow_mut();
        last_refusal.clear();
        last_refusal.push_str(reason);
    }

    /// Ends a span: what is to be said of it.
    pub fn end_span(&self) -> Vec<Summary> {
        self.lines.set(0);
        let (requests, refused) = (self.requests.take(), self.refused.take());
        let last_reason = self.last_refusal.take();
        let mut summaries = Vec::new();
        if refused > 0 && refused as f64 >= requests as f64 * NOTABLE_REFUSED_PART {
            summaries.push(Summary::MostRefused { refused, requests, last_reason });
        }
        let lines_left_out = self.lines_left_out.take();
        if lines_left_out > 0 {
            summaries.push(Summary::LinesLeftOut(lines_left_out));
        }
        summaries
    }
}
