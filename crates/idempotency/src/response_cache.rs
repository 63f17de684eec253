//! What the proxy beside a backend keeps of the operations that it claimed in this run. One function, [`ResponseCache::apply`], changes the
//! state of an operation:
//!
//! ```text
//! (none) -claim-> Claiming -granted-> Running -response-> Completed
//! Claiming, Running -not run-> (none)        Running -broke off-> Lost
//! ```
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

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

/// When the state of an operation last changed, and the number of that change.
type ChangedAt = (Micros, u64);

struct Operation<R> {
    state: OperationState<R>,
    changed_at: ChangedAt,
    /// Bytes of its response.
    size: usize,
}

/// The operations of one proxy, by key. `R`: a response.
pub struct ResponseCache<R> {
    operations: HashMap<Rc<str>, Operation<R>>,
    /// The keys of all operations, the one that changed longest ago first.
    by_change: BTreeMap<ChangedAt, Rc<str>>,
    /// Those with a response.
    with_response: BTreeSet<ChangedAt>,
    changes: u64,
    window: Micros,
    bytes: usize,
    max_bytes: usize,
}

impl<R: Clone> ResponseCache<R> {
    /// Responses are kept for `window`, and no more than `max_bytes` of them: beyond that the oldest are known only to have run.
    pub fn new(window: Micros, max_bytes: usize) -> ResponseCache<R> {
        ResponseCache {
            operations: HashMap::new(),
            by_change: BTreeMap::new(),
            with_response: BTreeSet::new(),
            changes: 0,
            window,
            bytes: 0,
            max_bytes,
        }
    }

    /// What is known of this key.
    pub fn get(&self, key: &str) -> Option<&OperationState<R>> {
        self.operations.get(key).map(|operation| &operation.state)
    }

    /// Takes an event. False where that can't happen to the operation now.
    pub fn apply(&mut self, now: Micros, key: &str, event: Event<R>) -> bool {
        let (state, size) = match (self.get(key), event) {
            (None, Event::Claim) if self.operations.len() < MAX_OPERATIONS => (OperationState::Claiming, 0),
            (Some(OperationState::Claiming), Event::Granted) => (OperationState::Running, 0),
            (Some(OperationState::Running), Event::Response(response, size)) => {
                (OperationState::Completed(response), size)
            }
            (Some(OperationState::Running), Event::BrokeOff) => (OperationState::Lost, 0),
            (Some(OperationState::Claiming | OperationState::Running), Event::NotRun) => {
                self.remove(key);
                return true;
            }
            _ => return false,
        };
        self.remove(key);
        self.insert(now, key.into(), state, size);
        self.drop_oldest_responses();
        true
    }

    fn insert(&mut self, now: Micros, key: Rc<str>, state: OperationState<R>, size: usize) {
        self.changes += 1;
        let changed_at = (now, self.changes);
        if size > 0 {
            self.bytes += size;
            self.with_response.insert(changed_at);
        }
        self.by_change.insert(changed_at, key.clone());
        self.operations.insert(key, Operation { state, changed_at, size });
    }

    fn remove(&mut self, key: &str) {
        let Some(operation) = self.operations.remove(key) else { return };
        self.by_change.remove(&operation.changed_at);
        self.with_response.remove(&operation.changed_at);
        self.bytes -= operation.size;
    }

    /// Past the bound the oldest responses go; that they ran stays known.
    fn drop_oldest_responses(&mut self) {
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.with_response.pop_first() else { break };
            let key = self.by_change.get(&oldest);
            let Some(operation) = key.and_then(|key| self.operations.get_mut(key)) else { continue };
            self.bytes -= operation.size;
            operation.state = OperationState::Lost;
            operation.size = 0;
        }
    }

    /// Forgets what is past its window, but nothing that is claiming or running.
    pub fn tick(&mut self, now: Micros) {
        while let Some((changed_at, key)) = self.by_change.first_key_value() {
            if now - changed_at.0 <= self.window {
                break;
            }
            let key = key.clone();
            let state = self.get(&key).cloned();
            self.remove(&key);
            if let Some(at_work @ (OperationState::Claiming | OperationState::Running)) = state {
                self.insert(now, key, at_work, 0);
            }
        }
    }

    /// Bytes of the responses that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
