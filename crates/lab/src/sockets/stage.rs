//! What all tasks of a run share: the world, the clock, and what wakes whom.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hdrhistogram::Histogram;
use tokio::sync::{Notify, oneshot, watch};

use crate::core::fleet::{Reply, Wanted};
use crate::core::kit::*;
use crate::core::world::{Effect, World};

/// How a backend stands towards the agents of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gate {
    pub up: bool,
    pub cut: bool,
    pub forgets: bool,
}

pub struct Stage {
    pub world: RefCell<World>,
    pub zones: usize,
    began: Instant,
    /// When the run's time is nothing, from `began`.
    zero: Cell<Micros>,
    unix: Duration,
    /// The world has something new to do.
    pub poke: Notify,
    pub waiters: RefCell<BTreeMap<PostingId, oneshot::Sender<Reply>>>,
    pub wanted: RefCell<BTreeMap<TxnId, Wanted>>,
    /// By backend, then by the zone of who looks.
    pub gates: Vec<Vec<watch::Sender<Gate>>>,
    pub places: RefCell<Vec<Vec<SocketAddr>>>,
    /// Bumped with each change of the list.
    pub listed: watch::Sender<u64>,
    cut: RefCell<Vec<bool>>,
    /// How late the lab itself was, in microseconds.
    pub lateness: RefCell<Histogram<u64>>,
    pub links: Cell<usize>,
    pub links_opened: Cell<usize>,
}

impl Stage {
    pub fn new(world: World, zones: usize) -> Stage {
        let gate = || watch::Sender::new(Gate { up: true, cut: false, forgets: false });
        let backs = world.fleet.sites.len();
        Stage {
            world: RefCell::new(world),
            zones,
            began: Instant::now(),
            zero: Cell::new(LEAD),
            unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            poke: Notify::new(),
            waiters: RefCell::default(),
            wanted: RefCell::default(),
            gates: (0..backs).map(|_| (0..zones).map(|_| gate()).collect()).collect(),
            places: RefCell::default(),
            listed: watch::Sender::new(0),
            cut: RefCell::new(vec![false; zones]),
            lateness: RefCell::new(Histogram::new_with_bounds(1, 60_000_000, 3).expect("sound bounds")),
            links: Cell::new(0),
            links_opened: Cell::new(0),
        }
    }

    /// Time of the run: nothing at its start, far below it till then.
    pub fn now(&self) -> Micros {
        Micros(self.began.elapsed().as_micros() as i64) - self.zero.get()
    }
    /// The run begins: its time jumps to nothing. Until now all were idle.
    pub fn begin(&self) {
        self.zero.set(Micros(self.began.elapsed().as_micros() as i64));
    }
    pub fn instant(&self, at: Micros) -> Instant {
        self.began + Duration::from_micros((at + self.zero.get()).0.max(0) as u64)
    }
    /// Unix time in milliseconds, as the register tells it.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        (self.unix.as_micros() as i64 + (at + self.zero.get()).0).max(0) as u64 / 1000
    }
    pub fn late(&self, due: Micros) {
        let late = (self.now() - due).0.max(1) as u64;
        self.lateness.borrow_mut().saturating_record(late);
    }

    /// All of this run's waits end where the world has something to do: it lives on, and its effects are told.
    pub fn advance(&self) -> Vec<Effect> {
        let now = self.now();
        let effects = {
            let mut world = self.world.borrow_mut();
            let mut effects = world.advance(now);
            effects.extend(world.fallen(now));
            effects
        };
        effects.into_iter().filter(|effect| !self.carried(effect)).collect()
    }

    /// What can be done here; the rest is for whoever keeps the agents and the record.
    fn carried(&self, effect: &Effect) -> bool {
        match effect {
            Effect::Reply(posting, reply) => {
                if let Some(waiter) = self.waiters.borrow_mut().remove(posting) {
                    let _ = waiter.send(*reply);
                }
            }
            Effect::Down(back) => self.turn(back.0, |gate| gate.up = false),
            Effect::Up(back) => self.turn(back.0, |gate| gate.up = true),
            Effect::Forgets(back, forgets) => self.turn(back.0, |gate| gate.forgets = *forgets),
            Effect::Cut(zone, cut) => {
                self.cut.borrow_mut()[zone.0] = *cut;
                let cut = self.cut.borrow();
                let sites: Vec<ZoneId> = self.world.borrow().fleet.sites.iter().map(|s| s.zone).collect();
                for (back, of) in sites.iter().enumerate() {
                    for view in 0..self.zones {
                        let between = view != of.0 && (cut[view] || cut[of.0]);
                        self.gates[back][view].send_modify(|gate| gate.cut = between);
                    }
                }
            }
            Effect::Register => self.listed.send_modify(|n| *n += 1),
            _ => return false,
        }
        true
    }
    fn turn(&self, back: usize, change: impl Fn(&mut Gate)) {
        self.gates[back].iter().for_each(|gate| gate.send_modify(&change));
    }
}

/// Longer than agents may take to start.
pub const LEAD: Micros = Micros::ms(3_600_000);
