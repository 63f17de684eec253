//! What may begin at the backend of this machine, and in which order. No I/O.
//!
//! It has the last word: what it rejects has not run and never will. Invariants (`tests/admission.rs`): new work takes no more than the
//! backend's slots, calls two more; nothing is queued that would not be answered in time; no kind of new work gets less than its floor.
use std::cmp::Reverse;
use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::kind_floor::KindFloor;
use crate::work_kind::WorkKind;

/// Requests that are queued at most, for each slot.
const MAX_QUEUED_A_SLOT: f64 = 4.0;
/// The part of what is left of a request's time that it may be queued, at most and where it will be late.
const MAX_WAIT_PART: f64 = 0.4;
const LATE_WAIT_PART: f64 = 0.02;
/// A call may be queued for this part of its time: its caller holds a slot elsewhere for as long, and its work is lost where the call is
/// refused.
const MAX_CALL_WAIT_PART: f64 = 0.6;
/// Calls that may be in flight beside as many requests as the backend has slots.
const EXTRA_CALLS: usize = 2;
/// What is left until the latency target, after so many times the usual work, may be waited for to this part: work is uneven.
const WORK_MARGIN: f64 = 1.3;
const TARGET_WAIT_PART: f64 = 0.4;
/// Smoothing of the time that the backend takes.
const SMOOTHING: f64 = 0.1;
/// Utilisation is a mean over about this span.
const UTILISATION_SPAN: Micros = Micros::ms(400);
/// Kinds of work that are told apart.
const MAX_KINDS: usize = 64;
/// A rejected request is to come back no sooner than this.
const MIN_RETRY_AFTER: Micros = Micros::ms(20);
const MAX_SLOTS: usize = 4_096;

/// The number of a queued request.
pub type QueueTicket = u64;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It begins now.
    Admitted,
    /// It is queued, under this number.
    Queued(QueueTicket),
    /// It does not begin; when to come back.
    Rejected(Micros),
}

/// A decision, and the request that it has displaced from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// What becomes of the request.
    pub decision: Decision,
    /// A queued request that made way for it.
    pub displaced: Option<QueueTicket>,
}

/// A request that wants to begin.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// How many requests wait for this one to be done. What was begun is finished before anything new is begun: a call that is refused, or
    /// late, throws away the work of all that wait for it.
    pub call_depth: u32,
    /// 0 is the highest.
    pub priority: u32,
    /// Work of one kind takes about as long, and has a floor of its own.
    pub kind: WorkKind,
    /// Until when a response has its full value.
    pub target_at: Micros,
    /// Until when it has any.
    pub deadline: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    ticket: QueueTicket,
    deadline: Micros,
    expected_us: f64,
    /// Of new work: what kind it is.
    kind: Option<WorkKind>,
}

/// The order of the queue: calls by depth, then by priority, then those that can still be in time, then by latency target, then by arrival.
/// The first of a kind that is under its floor goes before all new work, when a slot comes free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    call_depth: Reverse<u32>,
    priority: u32,
    is_late: bool,
    target_us: i64,
    ticket: QueueTicket,
}

/// Before all new work, behind all calls.
const FIRST_OF_NEW_WORK: QueueKey =
    QueueKey { call_depth: Reverse(0), priority: 0, is_late: false, target_us: i64::MIN, ticket: 0 };

/// Requests at the backend, and those that wait for it.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    slots: usize,
    in_flight: usize,
    queue: BTreeMap<QueueKey, Queued>,
    last_ticket: QueueTicket,
    /// Mean time of the backend's work, over all and of each kind; 0 where none was measured.
    mean_us: f64,
    mean_us_by_kind: BTreeMap<WorkKind, f64>,
    utilisation: f64,
    updated_at: Micros,
    floor: KindFloor,
}

impl AdmissionQueue {
    /// A backend with one slot, until [`AdmissionQueue::set_slots`] tells more.
    pub fn new(now: Micros) -> AdmissionQueue {
        AdmissionQueue {
            slots: 1,
            in_flight: 0,
            queue: BTreeMap::new(),
            last_ticket: 0,
            mean_us: 0.0,
            mean_us_by_kind: BTreeMap::new(),
            utilisation: 0.0,
            updated_at: now,
            floor: KindFloor::new(now),
        }
    }

    /// How many requests the backend takes at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = (slots as usize).clamp(1, MAX_SLOTS);
    }

    /// New work has the backend's slots and no more: what is over them only stands in the backend's own queue, where nothing goes before it.
    /// Calls have some over, so that they need not wait until a slot is given back here.
    fn has_room(&self, call_depth: u32) -> bool {
        match call_depth {
            0 => self.in_flight < self.slots,
            _ => self.in_flight < self.slots + EXTRA_CALLS,
        }
    }

    fn update_utilisation(&mut self, now: Micros) {
        let kept = (-(now - self.updated_at).ratio_to(UTILISATION_SPAN)).exp();
        let load = (self.in_flight + self.queue.len()) as f64 / self.slots as f64;
        self.utilisation = self.utilisation * kept + load * (1.0 - kept);
        self.updated_at = now;
    }

    /// Decides on a request. Where too many are queued, the last in order makes way for one that goes before it.
    pub fn admit(&mut self, now: Micros, candidate: Candidate) -> Admission {
        self.update_utilisation(now);
        // Calls go before all new work as it is.
        let kind = (candidate.call_depth == 0).then_some(candidate.kind);
        if let Some(kind) = kind {
            self.floor.on_offered(now, kind);
        }
        // Nothing but deeper calls goes before a call, and they would have begun.
        let is_first =
            self.queue.first_key_value().is_none_or(|(first, _)| first.call_depth.0 < candidate.call_depth);
        if is_first && self.has_room(candidate.call_depth) {
            self.begin(kind);
            return Admission { decision: Decision::Admitted, displaced: None };
        }
        let expected_us = self.expected_us(candidate.kind);
        let ticket = self.last_ticket + 1;
        let key = QueueKey {
            call_depth: Reverse(candidate.call_depth),
            priority: candidate.priority,
            is_late: ((candidate.target_at - now).0 as f64) < expected_us,
            target_us: candidate.target_at.0,
            ticket,
        };
        let is_starved_head = kind.is_some_and(|kind| self.floor.is_starved(kind) && !self.is_queued(kind));
        let (place, max_wait) = match is_starved_head {
            true => (FIRST_OF_NEW_WORK, (candidate.deadline - now).times(MAX_WAIT_PART)),
            false => (key, max_wait(now, &candidate, expected_us)),
        };
        let wait = self.expected_wait(&place);
        let is_full = self.queue.len() as f64 >= MAX_QUEUED_A_SLOT * self.slots as f64;
        let last = if is_full { self.last_after(&place) } else { None };
        if wait > max_wait || (is_full && last.is_none()) {
            return Admission { decision: Decision::Rejected(wait.max(MIN_RETRY_AFTER)), displaced: None };
        }
        let displaced = last.and_then(|last| self.queue.remove(&last)).map(|queued| queued.ticket);
        self.last_ticket = ticket;
        self.queue.insert(key, Queued { ticket, deadline: candidate.deadline, expected_us, kind });
        Admission { decision: Decision::Queued(ticket), displaced }
    }

    fn expected_us(&self, kind: WorkKind) -> f64 {
        self.mean_us_by_kind.get(&kind).copied().unwrap_or(self.mean_us)
    }

    /// How long work of this kind is likely to take at the most; nothing while none was measured.
    pub fn likely_work(&self, kind: WorkKind) -> Micros {
        Micros(self.expected_us(kind) as i64).times(WORK_MARGIN)
    }

    fn is_queued(&self, kind: WorkKind) -> bool {
        self.queue.values().any(|queued| queued.kind == Some(kind))
    }

    /// The first queued request of each kind that is under its floor, the most starved kind first.
    fn starved_heads(&self) -> Vec<QueueKey> {
        let head = |kind| self.queue.iter().find(|(_, queued)| queued.kind == Some(kind));
        self.floor.starved_kinds().into_iter().filter_map(head).map(|(key, _)| *key).collect()
    }

    /// The last in order that may make way for one at `place`.
    fn last_after(&self, place: &QueueKey) -> Option<QueueKey> {
        let kept = self.starved_heads();
        self.queue.range(place..).rev().map(|(key, _)| *key).find(|key| !kept.contains(key))
    }

    /// One slot comes free in the time that one request takes, over the slots; those ahead take them first.
    fn expected_wait(&self, key: &QueueKey) -> Micros {
        let ahead_us: f64 = self.queue.range(..key).map(|(_, queued)| queued.expected_us).sum();
        Micros(((ahead_us + self.mean_us) / self.slots as f64) as i64)
    }

    /// A queued request left.
    pub fn cancel(&mut self, now: Micros, ticket: QueueTicket) {
        self.update_utilisation(now);
        self.queue.retain(|_, queued| queued.ticket != ticket);
    }

    /// A request of this kind that was in flight is done, `took` where it was measured. Gives the one that begins next.
    pub fn release(&mut self, now: Micros, kind: WorkKind, took: Option<Micros>) -> Option<QueueTicket> {
        self.update_utilisation(now);
        debug_assert!(self.in_flight > 0, "a slot that was given back twice");
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            self.measure(kind, took.0 as f64);
        }
        self.admit_next(now)
    }

    fn measure(&mut self, kind: WorkKind, took_us: f64) {
        let smoothed = |old: f64| if old == 0.0 { took_us } else { old + SMOOTHING * (took_us - old) };
        self.mean_us = smoothed(self.mean_us);
        if self.mean_us_by_kind.len() < MAX_KINDS || self.mean_us_by_kind.contains_key(&kind) {
            let mean = self.mean_us_by_kind.entry(kind).or_default();
            *mean = smoothed(*mean);
        }
    }

    /// The first of the queue that still has time begins, where there is room.
    pub fn admit_next(&mut self, now: Micros) -> Option<QueueTicket> {
        self.queue.retain(|_, queued| queued.deadline > now);
        let first = *self.queue.first_key_value()?.0;
        let call_depth = first.call_depth.0;
        if !self.has_room(call_depth) {
            return None;
        }
        let starved = if call_depth == 0 { self.starved_heads().first().copied() } else { None };
        let next = self.queue.remove(&starved.unwrap_or(first))?;
        self.begin(next.kind);
        Some(next.ticket)
    }

    fn begin(&mut self, kind: Option<WorkKind>) {
        self.in_flight += 1;
        if let Some(kind) = kind {
            self.floor.on_begun(kind);
        }
    }

    /// What is in flight and queued, over the slots, in the mean over the last moments.
    pub fn utilisation(&mut self, now: Micros) -> f64 {
        self.update_utilisation(now);
        self.utilisation
    }

    /// Requests at the backend.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Requests that wait for it.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}

/// How long a request may be queued: in time, or late by little. One that waits for long keeps those behind from being in time.
fn max_wait(now: Micros, candidate: &Candidate, expected_us: f64) -> Micros {
    let to_target = candidate.target_at - now;
    let to_deadline = candidate.deadline - now;
    if candidate.call_depth > 0 {
        return to_deadline.times(MAX_CALL_WAIT_PART);
    }
    let spare = to_target - Micros(expected_us as i64).times(WORK_MARGIN);
    spare.times(TARGET_WAIT_PART).max(to_deadline.times(LATE_WAIT_PART)).min(to_deadline.times(MAX_WAIT_PART))
}
