//! Fleet, register and timetable as one: asked for its next moment, told the time, it says what the driver must
//! do on its side. The driver may be sockets in real time or nothing but numbers.
use super::fleet::{Ailing, Fleet, Reply};
use super::kit::*;
use super::ledger::{Entry, Standing};
use super::register::{Register, Row};
use super::timetable::{Fault, Ill, Turn, turns};

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Reply(PostingId, Reply),
    /// The process is gone: its connections are reset and new ones refused.
    Down(BackId),
    Up(BackId),
    /// Between this zone and all others nothing passes, or it does again.
    Cut(ZoneId, bool),
    /// Connections that stand idle at this backend are forgotten from now on, or no longer.
    Forgets(BackId, bool),
    /// The list changed, or whether it is to be had.
    Register,
    Kill(AgentId),
    Term(AgentId),
    Launch(AgentId),
    /// For the record: a fault begins or ends.
    Mark(usize, bool),
}

pub struct World {
    pub fleet: Fleet,
    pub register: Register,
    pub faults: Vec<Fault>,
    turns: Vec<Turn>,
    at: usize,
    struck: Vec<Vec<usize>>,
    on: Vec<bool>,
}

impl World {
    /// `agents` are the zones of the agents.
    pub fn new(fleet: Fleet, register: Register, faults: Vec<Fault>, agents: &[ZoneId], seed: u64) -> World {
        let zones: Vec<ZoneId> = fleet.sites.iter().map(|s| s.zone).collect();
        let struck = |(nth, fault): (usize, &Fault)| {
            fault.struck(nth, if fault.ill.of_agents() { agents } else { &zones }, seed)
        };
        World {
            turns: turns(&faults),
            struck: faults.iter().enumerate().map(struck).collect(),
            on: vec![false; faults.len()],
            at: 0,
            fleet,
            register,
            faults,
        }
    }

    pub fn next(&self) -> Option<Micros> {
        let turn = self.turns.get(self.at).map(|t| t.at);
        [turn, self.fleet.next(), self.register.next()].into_iter().flatten().min()
    }

    pub fn advance(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(turn) = self.turns.get(self.at).copied().filter(|t| t.at <= now) {
            self.at += 1;
            // What was due before the turn happens before it.
            self.live(turn.at, &mut effects);
            self.turn(now, turn, &mut effects);
        }
        self.live(now, &mut effects);
        effects
    }

    fn live(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        effects.extend(
            self.fleet.advance(now).into_iter().map(|(posting, reply)| Effect::Reply(posting, reply)),
        );
        if self.register.advance(now) {
            effects.push(Effect::Register);
        }
    }

    /// Backends that were pushed over by what came just now.
    pub fn fallen(&mut self, now: Micros) -> Vec<Effect> {
        let fallen = self.fleet.fallen();
        for &back in &fallen {
            self.register.note(now, back, Row { standing: Standing::Gone, started: None });
        }
        fallen.into_iter().map(Effect::Down).collect()
    }

    fn turn(&mut self, now: Micros, turn: Turn, effects: &mut Vec<Effect>) {
        let Turn { fault, begins, .. } = turn;
        self.on[fault] = begins;
        effects.push(Effect::Mark(fault, begins));
        let struck: Vec<BackId> = self.struck[fault].iter().copied().map(BackId).collect();
        match self.faults[fault].ill.clone() {
            Ill::Crash => {
                for &back in &struck {
                    let row = if begins {
                        self.fleet.crash(now, back);
                        Row { standing: Standing::Gone, started: None }
                    } else {
                        self.fleet.start(now, back);
                        Row { standing: Standing::Ready, started: Some(now) }
                    };
                    effects.push(if begins { Effect::Down(back) } else { Effect::Up(back) });
                    self.register.note(now, back, row);
                }
            }
            Ill::Drain => {
                for &back in &struck {
                    let standing = if begins { Standing::Draining } else { Standing::Gone };
                    self.register.note(now, back, Row { standing, started: None });
                    if !begins {
                        self.fleet.crash(now, back);
                        effects.push(Effect::Down(back));
                    }
                }
            }
            Ill::ZoneCut => {
                let mut zones: Vec<ZoneId> = struck.iter().map(|b| self.fleet.sites[b.0].zone).collect();
                zones.dedup();
                effects.extend(zones.into_iter().map(|zone| Effect::Cut(zone, begins)));
            }
            Ill::IdleForgotten => effects.extend(struck.iter().map(|&back| Effect::Forgets(back, begins))),
            Ill::RegisterOut => {
                self.register.out = begins;
                effects.push(Effect::Register);
            }
            Ill::RegisterEmpty => {
                self.register.empty = begins;
                effects.push(Effect::Register);
            }
            Ill::RegisterLate(by) => self.register.run_late(if begins { by } else { Micros(0) }),
            Ill::RegisterSlow(pace) => self.register.pace = if begins { pace } else { Micros(0) },
            Ill::Removal => {
                self.register.hide(&struck, begins);
                effects.push(Effect::Register);
            }
            Ill::Kill | Ill::Restart => {
                let kill = matches!(self.faults[fault].ill, Ill::Kill);
                for agent in self.struck[fault].iter().copied().map(AgentId) {
                    effects.push(match (begins, kill) {
                        (true, true) => Effect::Kill(agent),
                        (true, false) => Effect::Term(agent),
                        (false, _) => Effect::Launch(agent),
                    });
                }
            }
            _ => self.ail(now, &struck),
        }
    }

    /// What ails a backend is the sum of the faults that are on.
    fn ail(&mut self, now: Micros, struck: &[BackId]) {
        for &back in struck {
            let on = (0..self.faults.len()).filter(|&f| self.on[f] && self.struck[f].contains(&back.0));
            let ailing = on.fold(Ailing::default(), |sum, f| sum.with(&self.faults[f].ill));
            self.fleet.ail(now, back, ailing);
        }
    }

    pub fn launched(&mut self, now: Micros, agent: AgentId) {
        self.fleet.ledger.write(now, Entry::Launched { agent });
    }

    pub fn killed(&mut self, now: Micros, agent: AgentId) {
        self.fleet.ledger.write(now, Entry::Killed { agent });
    }
}
