//! What the usher beside a backend keeps of the operations that it claimed in this life. One function, `Coats::turn`, changes the
//! state of an operation:
//!
//! ```text
//! (none) -claim-> Claiming -granted-> Working -answer-> Kept
//! Claiming, Working -not run-> (none)        Working -broke off-> Lost
//! ```
use std::collections::{HashMap, VecDeque};

use notchspool::units::Micros;

/// What is known of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Coat<A> {
    Claiming,
    Working,
    /// It ran, and this is its answer.
    Kept(A),
    /// It may have run, and what it answered nobody knows.
    Lost,
}

/// What happened to one.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<A> {
    Claim,
    Granted,
    Answer(A, usize),
    NotRun,
    BrokeOff,
}

struct Place<A> {
    coat: Coat<A>,
    size: usize,
}

/// `A`: an answer.
pub struct Coats<A> {
    places: HashMap<String, Place<A>>,
    order: VecDeque<(Micros, String)>,
    window: Micros,
    bytes: usize,
    most_bytes: usize,
}

/// Operations kept at most.
const MOST: usize = 100_000;

impl<A: Clone> Coats<A> {
    /// Answers are kept for `window`, and no more than `most_bytes` of them: beyond that the oldest are known only to have run.
    pub fn open(window: Micros, most_bytes: usize) -> Coats<A> {
        Coats { places: HashMap::new(), order: VecDeque::new(), window, bytes: 0, most_bytes }
    }

    pub fn get(&self, key: &str) -> Option<&Coat<A>> {
        self.places.get(key).map(|p| &p.coat)
    }

    /// False where that can't happen to it now.
    pub fn turn(&mut self, now: Micros, key: &str, event: Event<A>) -> bool {
        let (next, size) = match (self.get(key), event) {
            (None, Event::Claim) if self.places.len() < MOST => {
                self.order.push_back((now, key.to_string()));
                (Coat::Claiming, 0)
            }
            (Some(Coat::Claiming), Event::Granted) => (Coat::Working, 0),
            (Some(Coat::Working), Event::Answer(answer, size)) => (Coat::Kept(answer), size),
            (Some(Coat::Working), Event::BrokeOff) => (Coat::Lost, 0),
            (Some(Coat::Claiming | Coat::Working), Event::NotRun) => {
                self.places.remove(key);
                return true;
            }
            _ => return false,
        };
        self.bytes += size;
        self.places.insert(key.to_string(), Place { coat: next, size });
        self.shed();
        true
    }

    /// Past the bound the oldest answers go; that they ran stays known.
    fn shed(&mut self) {
        let mut at = 0;
        while self.bytes > self.most_bytes && at < self.order.len() {
            if let Some(place) = self.places.get_mut(&self.order[at].1).filter(|p| p.size > 0) {
                self.bytes -= place.size;
                (place.coat, place.size) = (Coat::Lost, 0);
            }
            at += 1;
        }
    }

    /// Forgets what is past its window, but nothing that works.
    pub fn wake(&mut self, now: Micros) {
        for _ in 0..self.order.len() {
            let Some((at, _)) = self.order.front() else { break };
            if now - *at <= self.window {
                break;
            }
            let Some((_, key)) = self.order.pop_front() else { break };
            match self.places.get(&key) {
                Some(Place { coat: Coat::Claiming | Coat::Working, .. }) => self.order.push_back((now, key)),
                Some(place) => {
                    self.bytes -= place.size;
                    self.places.remove(&key);
                }
                None => {}
            }
        }
    }

    /// Bytes of answers that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
