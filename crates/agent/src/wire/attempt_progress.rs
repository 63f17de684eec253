//! How far one attempt got on its connection: what was written of the request, and what came of the answer.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use super::answer_arrival::AnswerArrival;
use super::chunked_tracker::ChunkedTracker;

/// The end of a head, and the end of a body in chunks, as the last bytes written.
const HEAD_END: u32 = u32::from_be_bytes(*b"\r\n\r\n");
const CHUNKED_END: u64 = u64::from_be_bytes(*b"\0\0\x000\r\n\r\n");
/// As many of the last bytes as make up [`CHUNKED_END`].
const CHUNKED_END_BYTES: usize = 5;
const CHUNKED_END_MASK: u64 = 0xff_ffff_ffff;

/// A message that passes: where its head ends, and how much comes after it.
#[derive(Default)]
struct PassingMessage {
    /// The last four bytes of the head.
    last_bytes: Cell<u32>,
    head_ended: Cell<bool>,
    body_bytes: Cell<usize>,
    all_bytes: Cell<usize>,
}

impl PassingMessage {
    fn pass(&self, bytes: &[u8]) {
        self.all_bytes.set(self.all_bytes.get() + bytes.len());
        for (index, &byte) in bytes.iter().enumerate() {
            if self.head_ended.get() {
                return self.body_bytes.set(self.body_bytes.get() + bytes.len() - index);
            }
            self.last_bytes.set(self.last_bytes.get() << 8 | u32::from(byte));
            self.head_ended.set(self.last_bytes.get() == HEAD_END);
        }
    }
}

/// See the module.
#[derive(Default)]
pub struct AttemptProgress {
    request: PassingMessage,
    /// The last bytes written.
    tail: Cell<u64>,
    /// All of the body was handed to the connection.
    pub body_handed_over: Cell<bool>,
    /// The client broke its body off: no fault of this connection's.
    pub body_broken: Cell<bool>,
    answer: PassingMessage,
    /// What was read of the answer, its head held back or not.
    arrival: Cell<AnswerArrival>,
    /// Length of the request's body; nothing: in chunks.
    body_length: Option<usize>,
    /// The answer has no body, whatever its head says.
    pub expects_no_body: bool,
    /// The backend ended its sending while we read.
    pub ended_by_backend: Cell<bool>,
    /// Where the answer's body in chunks stands.
    chunks: Cell<ChunkedTracker>,
    /// The connection is not to be used again: more came than belongs to the answer, or that can't be told.
    spent: Cell<bool>,
}

tokio::task_local! {
    /// The attempt whose future is being polled; what is written or read meanwhile is its own.
    pub static CURRENT_ATTEMPT: Rc<AttemptProgress>;
}

impl AttemptProgress {
    /// `body_length`: bytes of the request's body, nothing where it goes in chunks.
    pub fn new(body_length: Option<usize>, expects_no_body: bool) -> Rc<AttemptProgress> {
        Rc::new(AttemptProgress { body_length, expects_no_body, ..AttemptProgress::default() })
    }

    /// Whether the last byte of the request was written. Before that the attempt never ran.
    pub fn is_fully_written(&self) -> bool {
        let body_is_written = match self.body_length {
            Some(length) => self.request.body_bytes.get() >= length,
            None => self.body_handed_over.get() && self.tail.get() & CHUNKED_END_MASK == CHUNKED_END,
        };
        self.request.head_ended.get() && body_is_written
    }

    /// These bytes of the request were written.
    pub fn on_written(&self, bytes: &[u8]) {
        self.request.pass(bytes);
        for byte in &bytes[bytes.len().saturating_sub(CHUNKED_END_BYTES)..] {
            self.tail.set(self.tail.get() << 8 | u64::from(*byte));
        }
    }

    /// Bytes of the request written so far.
    pub fn written(&self) -> usize {
        self.request.all_bytes.get()
    }

    /// What has come of the answer, interim heads left out.
    pub fn arrival(&self) -> AnswerArrival {
        self.arrival.get()
    }

    /// So many bytes of the answer came.
    pub fn on_received(&self, bytes: usize) {
        let mut arrival = self.arrival.get();
        arrival.on_bytes(bytes, Instant::now());
        self.arrival.set(arrival);
    }

    /// So many of the bytes that came were an interim answer.
    pub fn on_interim(&self, bytes: usize) {
        let mut arrival = self.arrival.get();
        arrival.on_interim(bytes);
        self.arrival.set(arrival);
    }

    /// The answer is over, with a body of so many bytes, in chunks, or else to the connection's end.
    pub fn on_answer_end(&self, length: Option<usize>, is_chunked: bool) {
        self.spent.set(match length {
            _ if is_chunked => !self.chunks.get().ended_cleanly(),
            Some(length) => self.answer.body_bytes.get() > length,
            None => true,
        });
    }

    /// Whether the connection is not to be used again.
    pub fn is_connection_spent(&self) -> bool {
        self.spent.get()
    }

    /// Bytes of the answer go on to the HTTP client.
    pub fn on_handed_on(&self, bytes: &[u8]) {
        let before = self.answer.body_bytes.get();
        self.answer.pass(bytes);
        let body_bytes = self.answer.body_bytes.get() - before;
        let mut chunks = self.chunks.get();
        chunks.pass(&bytes[bytes.len() - body_bytes..]);
        self.chunks.set(chunks);
    }
}
