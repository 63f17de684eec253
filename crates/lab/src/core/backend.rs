//! One backend: cores that work off a queue. It chokes when pushed for long, warms up after a start, falls
//! over when sent far too much while cold, and reports its load late and with noise. No socket, no clock.
//!
//! Held at all times, and tried by `tests/core.rs`: no more postings run than there are cores; a posting is
//! in the queue, running, or gone; work is done in the order it came; no answer is earlier than its work at
//! full speed allows; down, nothing is held.
use std::collections::VecDeque;

use super::kit::*;

/// How a backend is made.
#[derive(Clone, Debug, PartialEq)]
pub struct Build {
    pub cores: usize,
    /// Work done in a microsecond of a core, in microseconds of a core of speed 1.
    pub speed: f64,
    /// Postings that may wait; one more is turned away.
    pub room: usize,
    pub choke: Option<Choke>,
    pub cold: Cold,
    /// Waiting work of who gave up is dropped; running work goes on either way.
    pub drops_waiting: bool,
    /// What a new connection costs, as work.
    pub link_work: Micros,
    /// A load report is made anew this often.
    pub refresh: Micros,
    /// A reported figure is off by up to this part of itself.
    pub noise: f64,
}

/// Overload that stays: more than `per_core` waiting for each core, for `after`, makes it `slower`, until it has
/// been mostly idle for `rest`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choke {
    pub per_core: f64,
    pub after: Micros,
    pub slower: f64,
    pub rest: Micros,
}

/// After a start it can do `from` of its work, and all of it after `span`, in steps. Sent more than
/// `multiple` of what it can do at the moment, over `within`, it falls over and stays down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    pub from: f64,
    pub span: Micros,
    pub multiple: f64,
    pub within: Micros,
}

/// A cold backend's speed moves this often.
const STEP: Micros = Micros::ms(50);
/// Utilisation is a mean over about this.
const BUSY_SPAN: f64 = 500_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    Waits,
    TurnedAway,
    /// This one pushed it over: all it held is gone.
    Fell,
    Down,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// From here on the txn has run.
    Ran(PostingId, Micros),
    Done(PostingId, Micros),
}

/// What a report says, as a backend last made it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub utilisation: f64,
    pub in_flight: f64,
    pub queue: f64,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    posting: PostingId,
    left: f64, // microseconds of a core of speed 1
}

#[derive(Clone, Debug)]
pub struct Backend {
    build: Build,
    seed: u64,
    at: Micros,
    /// None: long ago.
    started: Option<Micros>,
    down: bool,
    hung: bool,
    slowed: f64,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    strained: Option<Micros>, // since when too many wait
    resting: Option<Micros>,  // since when it is mostly idle
    choked: bool,
    cold_in: VecDeque<(Micros, f64)>,
    busy: f64,
    load: (Micros, Load),
}

impl Backend {
    /// A backend that has been up for long.
    pub fn new(build: Build, seed: u64, now: Micros) -> Backend {
        // The first report is made at a moment of its own, or all would report in step.
        let first = now - build.refresh.times(lot(seed, &[1]));
        Backend {
            build,
            seed,
            at: now,
            started: None,
            down: false,
            hung: false,
            slowed: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            strained: None,
            resting: None,
            choked: false,
            cold_in: VecDeque::new(),
            busy: 0.0,
            load: (first, Load::default()),
        }
    }

    pub fn is_down(&self) -> bool {
        self.down
    }
    pub fn is_choked(&self) -> bool {
        self.choked
    }
    pub fn holds(&self) -> usize {
        self.waiting.len() + self.running.len()
    }
    /// The share of its work that it can do by now.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let cold = &self.build.cold;
        let steps = Micros((now - started).0 / STEP.0 * STEP.0);
        (cold.from + (1.0 - cold.from) * steps.ratio_to(cold.span)).min(1.0)
    }
    /// Work that it can do in a microsecond, all cores together, were nothing else wrong with it.
    pub fn able(&self, now: Micros) -> f64 {
        self.build.cores as f64 * self.build.speed * self.warmth(now)
    }
    fn rate(&self) -> f64 {
        if self.hung {
            return 0.0;
        }
        let choke = self.build.choke.filter(|_| self.choked).map_or(1.0, |c| c.slower);
        self.build.speed * self.warmth(self.at) / self.slowed / choke
    }

    /// A posting came whole. What happened before `now` must have been taken by `advance`.
    pub fn came(&mut self, now: Micros, posting: PostingId, work: Micros) -> Came {
        if self.down {
            return Came::Down;
        }
        // It may have been idle for long: what comes now can't have begun before.
        self.settle(now);
        if self.warmth(now) < 1.0 && self.pushed_over(now, work.0 as f64) {
            self.crash(now);
            return Came::Fell;
        }
        if self.waiting.len() >= self.build.room {
            return Came::TurnedAway;
        }
        self.waiting.push_back(Job { posting, left: work.0 as f64 });
        self.watch_queue();
        Came::Waits
    }

    /// A new connection: its price is borne by what runs, or by what comes next.
    pub fn linked(&mut self, now: Micros) {
        self.settle(now);
        let work = self.build.link_work.0 as f64;
        if let Some(job) = self.running.first_mut() {
            job.left += work;
        }
    }

    fn pushed_over(&mut self, now: Micros, work: f64) -> bool {
        let cold = self.build.cold;
        self.cold_in.push_back((now, work));
        while self.cold_in.front().is_some_and(|&(at, _)| now - at > cold.within) {
            self.cold_in.pop_front();
        }
        let sent: f64 = self.cold_in.iter().map(|x| x.1).sum();
        sent > cold.multiple * self.able(now) * cold.within.0 as f64
    }

    /// Who asked no longer waits. True where it was waiting and is dropped: it never runs.
    pub fn withdrawn(&mut self, now: Micros, posting: PostingId) -> bool {
        self.settle(now);
        let at = self.waiting.iter().position(|job| job.posting == posting);
        let dropped = at.filter(|_| self.build.drops_waiting).and_then(|at| self.waiting.remove(at));
        self.watch_queue();
        dropped.is_some()
    }

    pub fn crash(&mut self, now: Micros) {
        self.settle(now);
        self.down = true;
        self.waiting.clear();
        self.running.clear();
        self.cold_in.clear();
        (self.strained, self.resting, self.choked, self.busy) = (None, None, false, 0.0);
    }
    /// A new process: empty, cold, in order.
    pub fn start(&mut self, now: Micros) {
        self.crash(now);
        (self.down, self.hung, self.started, self.slowed) = (false, false, Some(now), 1.0);
        self.load = (now, Load::default());
    }
    /// It takes postings and works on none.
    pub fn hang(&mut self, now: Micros, hung: bool) {
        self.settle(now);
        self.hung = hung;
    }
    pub fn slow(&mut self, now: Micros, times: f64) {
        self.settle(now);
        self.slowed = times.max(1e-3);
    }

    /// When something will happen by itself next.
    pub fn next(&self) -> Option<Micros> {
        if self.down {
            return None;
        }
        if !self.hung && !self.waiting.is_empty() && self.running.len() < self.build.cores {
            return Some(self.at);
        }
        let rate = self.rate();
        let done = self
            .running
            .iter()
            .filter(|_| rate > 0.0)
            .map(|job| self.at + Micros((job.left.max(0.0) / rate).ceil() as i64))
            .min();
        let step =
            self.started.filter(|_| !self.running.is_empty() && self.warmth(self.at) < 1.0).map(|from| {
                let steps = (self.at - from).0 / STEP.0 + 1;
                from + Micros(steps * STEP.0)
            });
        let choke = self.build.choke.and_then(|choke| match self.choked {
            false => self.strained.map(|since| since + choke.after),
            true => self.resting.map(|since| since + choke.rest),
        });
        [done, step, choke].into_iter().flatten().min().map(|at| at.max(self.at))
    }

    /// Lives on until `now` and tells what happened, in order.
    pub fn advance(&mut self, now: Micros) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(at) = self.next().filter(|&at| at <= now) {
            self.settle(at);
            if let Some(choke) = self.build.choke {
                if !self.choked && self.strained.is_some_and(|since| at >= since + choke.after) {
                    (self.choked, self.strained, self.resting) = (true, None, None);
                } else if self.choked && self.resting.is_some_and(|since| at >= since + choke.rest) {
                    (self.choked, self.strained, self.resting) = (false, None, None);
                }
            }
            if !self.hung {
                let over = |job: &Job| job.left <= 1e-6;
                events.extend(self.running.iter().filter(|j| over(j)).map(|j| Event::Done(j.posting, at)));
                self.running.retain(|job| !over(job));
                while self.running.len() < self.build.cores
                    && let Some(job) = self.waiting.pop_front()
                {
                    events.push(Event::Ran(job.posting, at));
                    self.running.push(job);
                }
            }
            self.watch_queue();
        }
        self.settle(now);
        events
    }

    /// Works on until `now`, at the speed that holds since the last change.
    fn settle(&mut self, now: Micros) {
        let span = (now - self.at).0.max(0) as f64;
        if span <= 0.0 {
            return;
        }
        let rate = self.rate();
        for job in &mut self.running {
            job.left -= span * rate;
        }
        let part = self.running.len() as f64 / self.build.cores.max(1) as f64;
        let fade = (-span / BUSY_SPAN).exp();
        self.busy = self.busy * fade + part * (1.0 - fade);
        self.at = now;
        if now - self.load.0 >= self.build.refresh && !self.down {
            let draw = |n| 1.0 + self.build.noise * (2.0 * lot(self.seed, &[now.0 as u64, n]) - 1.0);
            let load = Load {
                utilisation: (self.busy * draw(2)).clamp(0.0, 1.0),
                in_flight: self.holds() as f64,
                queue: self.waiting.len() as f64,
            };
            self.load = (now, load);
        }
    }

    fn watch_queue(&mut self) {
        let Some(choke) = self.build.choke else { return };
        let many = self.waiting.len() as f64 > choke.per_core * self.build.cores as f64;
        let idle = self.waiting.is_empty() && 2 * self.running.len() <= self.build.cores;
        self.strained = self.strained.filter(|_| many).or(many.then_some(self.at));
        self.resting = self.resting.filter(|_| idle).or(idle.then_some(self.at));
    }

    /// The report as it was last made, which may be a while ago.
    pub fn load(&self) -> Load {
        self.load.1
    }
}
