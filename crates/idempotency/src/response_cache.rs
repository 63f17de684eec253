//! What the proxy beside a backend keeps of the operations that it claimed in this run. One function, [`ResponseCache::apply`], changes the
//! state of an operation:
//!
//! ```text
//! (none) -claim-> Claiming -granted-> Running -response-> Completed
//! Claiming, Running -not run-> (none)        Running -broke off-> Lost
//! ```
use std::collections::{HashMap, VecDeque};

use notchspool::units::Micros;

/// Operations kept at most.
const MAX_OPERATIONS: usize = 100_000;

/// What is known of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationState<R> {
    /// Its claim is out to the voters.
    Claiming,
    /// The backend has it.
    Running,
    /// It ran, and this is its response.
    Completed(R),
    /// It may have run, and nobody knows its response.
    Lost,
}

/// What happened to an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<R> {
    /// Its claim went out.
    Claim,
    /// A majority granted it.
    Granted,
    /// The backend answered; and the bytes of the response.
    Response(R, usize),
    /// It has not run and never will.
    NotRun,
    /// The backend or its connection ended in between.
    BrokeOff,
}

struct Operation<R> {
    state: OperationState<R>,
    /// Bytes of its response.
    size: usize,
}

/// The operations of one proxy, by key. `R`: a response.
pub struct ResponseCache<R> {
    operations: HashMap<String, Operation<R>>,
    expiry_queue: VecDeque<(Micros, String)>,
    window: Micros,
    bytes: usize,
    max_bytes: usize,
}

impl<R: Clone> ResponseCache<R> {
    /// Responses are kept for `window`, and no more than `max_bytes` of them: beyond that the oldest are known only to have run.
    pub fn new(window: Micros, max_bytes: usize) -> ResponseCache<R> {
        let (operations, expiry_queue) = (HashMap::new(), VecDeque::new());
        ResponseCache { operations, expiry_queue, window, bytes: 0, max_bytes }
    }

    /// What is known of this key.
    pub fn get(&self, key: &str) -> Option<&OperationState<R>> {
        self.operations.get(key).map(|operation| &operation.state)
    }

    /// Takes an event. False where that can't happen to the operation now.
    pub fn apply(&mut self, now: Micros, key: &str, event: Event<R>) -> bool {
        let (state, size) = match (self.get(key), event) {
            (None, Event::Claim) if self.operations.len() < MAX_OPERATIONS => {
                self.expiry_queue.push_back((now, key.to_string()));
                (OperationState::Claiming, 0)
            }
            (Some(OperationState::Claiming), Event::Granted) => (OperationState::Running, 0),
            (Some(OperationState::Running), Event::Response(response, size)) => {
                (OperationState::Completed(response), size)
            }
            (Some(OperationState::Running), Event::BrokeOff) => (OperationState::Lost, 0),
            (Some(OperationState::Claiming | OperationState::Running), Event::NotRun) => {
                self.operations.remove(key);
                return true;
            }
            _ => return false,
        };
        self.bytes += size;
        self.operations.insert(key.to_string(), Operation { state, size });
        self.drop_oldest_responses();
        true
    }

    /// Past the bound the oldest responses go; that they ran stays known.
    fn drop_oldest_responses(&mut self) {
        for (_, key) in &self.expiry_queue {
            if self.bytes <= self.max_bytes {
                break;
            }
            if let Some(operation) = self.operations.get_mut(key).filter(|operation| operation.size > 0) {
                self.bytes -= operation.size;
                operation.state = OperationState::Lost;
                operation.size = 0;
            }
        }
    }

    /// Forgets what is past its window, but nothing that is claiming or running.
    pub fn tick(&mut self, now: Micros) {
        for _ in 0..self.expiry_queue.len() {
            let Some((since, _)) = self.expiry_queue.front() else { break };
            if now - *since <= self.window {
                break;
            }
            let Some((_, key)) = self.expiry_queue.pop_front() else { break };
            match self.operations.get(&key) {
                Some(Operation { state: OperationState::Claiming | OperationState::Running, .. }) => {
                    self.expiry_queue.push_back((now, key));
                }
                Some(operation) => {
                    self.bytes -= operation.size;
                    self.operations.remove(&key);
                }
                None => {}
            }
        }
    }

    /// Bytes of the responses that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
