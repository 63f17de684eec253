//! What may begin at the backend of this machine, and in which order. It has the last word: what it turns away has not run and never will.
//! Held always: no more than the backend's slots and one are in work; nothing waits that would not be answered in time; nothing begins
//! past the drain.
use std::collections::BTreeMap;

use notchspool::units::Micros;

/// Requests that wait at most, for each slot.
const QUEUE: f64 = 4.0;
/// Part of what is left of a request's time that it may wait, at most and where it will be late.
const WAIT: f64 = 0.4;
const LATE: f64 = 0.02;
/// What is left of the aim after so many times the usual work is waited for to this part: work is uneven.
const SPREAD: f64 = 1.3;
const SURE: f64 = 0.4;
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

/// Who comes to the door.
#[derive(Clone, Copy, Debug)]
pub struct Comer {
    /// 0 is highest.
    pub rank: u32,
    /// Work of one kind takes about as long: its route's whole aim, in milliseconds.
    pub kind: u32,
    /// Till when it is of full worth, and till when of any.
    pub aim: Micros,
    pub until: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    number: u64,
    until: Micros,
    took: f64,
}

/// Who is next: by rank, then who can still be in time, then whose aim is nearest, then who came first.
type Key = (u32, bool, i64, u64);

#[derive(Clone, Debug)]
pub struct Door {
    slots: usize,
    in_work: usize,
    queue: BTreeMap<Key, Waiting>,
    next: u64,
    /// Means over all, and of each kind.
    took: f64,
    kinds: BTreeMap<u32, f64>,
    busy: f64,
    at: Micros,
}

/// Kinds of work that are told apart.
const MOST_KINDS: usize = 64;

impl Door {
    pub fn open(now: Micros) -> Door {
        Door {
            slots: 1,
            in_work: 0,
            queue: BTreeMap::new(),
            next: 0,
            took: 0.0,
            kinds: BTreeMap::new(),
            busy: 0.0,
            at: now,
        }
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

    /// Where too many wait, the last in order goes: its number is given beside.
    pub fn admit(&mut self, now: Micros, comer: Comer) -> (Admit, Option<u64>) {
        self.pass(now);
        if self.room() && self.queue.is_empty() {
            self.in_work += 1;
            return (Admit::Now, None);
        }
        let took = self.kinds.get(&comer.kind).copied().unwrap_or(self.took);
        let (aim, until) = (comer.aim - now, comer.until - now);
        let late = (aim.0 as f64) < took;
        let key = (comer.rank, late, comer.aim.0, self.next + 1);
        // One place comes free in the time that one takes, over the slots; those ahead take them first.
        let ahead: f64 = self.queue.range(..key).map(|(_, w)| w.took).sum();
        let wait = Micros(((ahead + self.took) / self.slots as f64) as i64);
        // In time, or late by little: who waits for long keeps those behind from being in time.
        let most = (aim - Micros(took as i64).times(SPREAD))
            .times(SURE)
            .max(until.times(LATE))
            .min(until.times(WAIT));
        let full = self.queue.len() as f64 >= QUEUE * self.slots as f64;
        let last =
            self.queue.last_key_value().filter(|(last, _)| **last > key).map(|(key, w)| (*key, w.number));
        if wait > most || (full && last.is_none()) {
            return (Admit::No(wait.max(Micros::ms(20))), None);
        }
        let out = last.filter(|_| full);
        if let Some((last, _)) = out {
            self.queue.remove(&last);
        }
        self.next += 1;
        self.queue.insert(key, Waiting { number: self.next, until: comer.until, took });
        (Admit::Wait(self.next), out.map(|o| o.1))
    }

    /// One that waited left.
    pub fn left(&mut self, now: Micros, number: u64) {
        self.pass(now);
        self.queue.retain(|_, w| w.number != number);
    }

    /// One of this kind that was in work is done, `took` where it was measured. Gives who begins next.
    pub fn done(&mut self, now: Micros, kind: u32, took: Option<Micros>) -> Option<u64> {
        self.pass(now);
        self.in_work = self.in_work.saturating_sub(1);
        if let Some(took) = took {
            let smooth =
                |old: f64| if old == 0.0 { took.0 as f64 } else { old + FADE * (took.0 as f64 - old) };
            self.took = smooth(self.took);
            if self.kinds.len() < MOST_KINDS || self.kinds.contains_key(&kind) {
                let mean = self.kinds.entry(kind).or_default();
                *mean = smooth(*mean);
            }
        }
        self.next_one(now)
    }

    /// Whoever is first and still has time begins, where there is room.
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

#[cfg(test)]
mod tests {
    use super::*;

    fn door(slots: u32) -> Door {
        let mut door = Door::open(Micros(1));
        door.slots(slots);
        for _ in 0..=slots {
            let (admit, _) = door.admit(Micros(1), comer(1, 800, 0));
            assert_eq!(admit, Admit::Now);
        }
        door
    }
    fn comer(rank: u32, aim: i64, now: i64) -> Comer {
        let at = |ms: i64| Micros::ms(now + ms);
        Comer { rank, kind: aim as u32, aim: at(aim), until: at(3 * aim) }
    }
    fn number(admit: (Admit, Option<u64>)) -> u64 {
        match admit.0 {
            Admit::Wait(number) => number,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn rank_goes_first_then_the_nearest_aim_then_who_is_late() {
        let mut door = door(2);
        let now = Micros::ms(1);
        let order = number(door.admit(now, comer(1, 800, 1)));
        let check = number(door.admit(now, comer(1, 200, 1)));
        let first = number(door.admit(now, comer(0, 900, 1)));
        let ended = |door: &mut Door| door.done(now, 800, None);
        assert_eq!(
            [ended(&mut door), ended(&mut door), ended(&mut door)],
            [Some(first), Some(check), Some(order)]
        );
    }

    #[test]
    fn a_full_queue_gives_up_its_last_for_one_that_goes_before() {
        let mut door = door(1);
        let now = Micros::ms(1);
        let waits: Vec<u64> = (0..4).map(|_| number(door.admit(now, comer(2, 800, 1)))).collect();
        assert!(matches!(door.admit(now, comer(2, 800, 1)), (Admit::No(_), None)));
        let (admit, out) = door.admit(now, comer(0, 800, 1));
        assert!(matches!(admit, Admit::Wait(_)));
        assert_eq!(out, waits.last().copied());
    }

    #[test]
    fn who_would_be_late_by_waiting_is_turned_away_at_once() {
        let (mut door, now) = (door(1), Micros::ms(300));
        door.done(now, 2_000, Some(now));
        assert_eq!(door.admit(now, comer(1, 2_000, 300)).0, Admit::Now);
        // Work takes 300 ms, one place at a time: the third would begin after 900 ms, and a few such would miss their aim.
        number(door.admit(now, comer(1, 2_000, 300)));
        number(door.admit(now, comer(1, 2_000, 300)));
        assert!(matches!(door.admit(now, comer(1, 2_000, 300)).0, Admit::No(_)));
        // But one of higher rank goes before them.
        number(door.admit(now, comer(0, 2_000, 300)));
    }

    #[test]
    fn what_is_in_work_never_passes_the_slots_and_one() {
        fn holds(steps: Vec<(u8, u8)>) -> bool {
            let (mut door, mut inside, mut now) = (Door::open(Micros(1)), 0usize, 1);
            door.slots(3);
            for (kind, what) in steps {
                now += i64::from(what);
                if kind % 3 > 0 {
                    let (admit, _) = door.admit(Micros::ms(now), comer(u32::from(what % 3), 200, now));
                    inside += usize::from(admit == Admit::Now);
                } else if inside > 0 {
                    inside -= 1;
                    inside += usize::from(door.done(Micros::ms(now), 200, Some(Micros::ms(40))).is_some());
                }
                if inside > 4 || door.in_work() != inside || door.waiting() > 12 {
                    return false;
                }
            }
            true
        }
        quickcheck::QuickCheck::new()
            .rng(quickcheck::Gen::from_size_and_seed(200, 7))
            .tests(500)
            .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
    }
}
