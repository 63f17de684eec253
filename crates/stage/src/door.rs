//! What may begin at the backend of this machine, and in which order. It has the last word: what it turns away has not run and never will.
//! Held always: no more than the backend's slots and one are in work; nothing waits that would not be answered in time; nothing begins
//! past the drain.
use std::collections::BTreeMap;

use notchspool::units::Micros;

/// Requests that wait at most, for each slot.
const QUEUE: f64 = 4.0;
/// Part of what is left of a request's time that it may wait, at most and where it will be late.
const WAIT: f64 = 0.4;
const LATE: f64 = 0.1;
/// Smoothing of the time that the backend takes.
const FADE: f64 = 0.1;
/// Utilisation is a mean over about this span.
const SPAN: Micros = Micros::ms(400);

/// What becomes of a request at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It begins now.
    Now,
    /// It waits, under this number.
    Wait(u64),
    /// It does not begin; when to come back.
    No(Micros),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    number: u64,
    until: Micros,
}

#[derive(Clone, Debug)]
pub struct Door {
    slots: usize,
    in_work: usize,
    queue: BTreeMap<(u32, u64), Waiting>,
    next: u64,
    took: f64,
    busy: f64,
    at: Micros,
}

impl Door {
    pub fn open(now: Micros) -> Door {
        Door { slots: 1, in_work: 0, queue: BTreeMap::new(), next: 0, took: 0.0, busy: 0.0, at: now }
    }

    pub fn slots(&mut self, slots: u32) {
        self.slots = (slots as usize).clamp(1, 4_096);
    }

    fn room(&self) -> bool {
        self.in_work <= self.slots
    }

    fn pass(&mut self, now: Micros) {
        let part = (-(now - self.at).over(SPAN)).exp();
        let load = (self.in_work + self.queue.len()) as f64 / self.slots as f64;
        self.busy = self.busy * part + load * (1.0 - part);
        self.at = now;
    }

    /// A request of this rank. It is of full worth till `aim`, and its time is over at `until`. Where too many wait, the last of a
    /// lower rank goes: its number is given beside.
    pub fn admit(&mut self, now: Micros, rank: u32, aim: Micros, until: Micros) -> (Admit, Option<u64>) {
        self.pass(now);
        if self.room() && self.queue.is_empty() {
            self.in_work += 1;
            return (Admit::Now, None);
        }
        let ahead = self.queue.range(..(rank, u64::MAX)).count();
        let wait = Micros(((ahead + 1) as f64 * self.took / self.slots as f64) as i64);
        // In time, or late by little: who waits for long keeps those behind from being in time.
        let most = (aim - now - Micros(self.took as i64)).max((until - now).times(LATE));
        let most = most.min((until - now).times(WAIT));
        let full = self.queue.len() as f64 >= QUEUE * self.slots as f64;
        let lower =
            self.queue.last_key_value().filter(|(key, _)| key.0 > rank).map(|(key, w)| (*key, w.number));
        if wait > most || (full && lower.is_none()) {
            return (Admit::No(wait.max(Micros::ms(20))), None);
        }
        let out = lower.filter(|_| full);
        if let Some((key, _)) = out {
            self.queue.remove(&key);
        }
        self.next += 1;
        self.queue.insert((rank, self.next), Waiting { number: self.next, until });
        (Admit::Wait(self.next), out.map(|o| o.1))
    }

    /// One that waited left.
    pub fn left(&mut self, now: Micros, number: u64) {
        self.pass(now);
        self.queue.retain(|_, w| w.number != number);
    }

    /// One that was in work is done, `took` where it was measured. Gives who begins next.
    pub fn done(&mut self, now: Micros, took: Option<Micros>) -> Option<u64> {
        self.pass(now);
        self.in_work = self.in_work.saturating_sub(1);
        if let Some(took) = took {
            let part = if self.took == 0.0 { 1.0 } else { FADE };
            self.took += part * (took.0 as f64 - self.took);
        }
        self.next_one(now)
    }

    /// Whoever is first by rank and still has time begins, where there is room.
    pub fn next_one(&mut self, now: Micros) -> Option<u64> {
        if !self.room() {
            return None;
        }
        self.queue.retain(|_, w| w.until > now);
        let (_, first) = self.queue.pop_first()?;
        self.in_work += 1;
        Some(first.number)
    }

    /// Utilisation: what is in work and waits, for the slots, in the mean over the last moments.
    pub fn busy(&mut self, now: Micros) -> f64 {
        self.pass(now);
        self.busy
    }
    pub fn in_work(&self) -> usize {
        self.in_work
    }
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }
}
