//! Drawn days of traffic, for as many seeds as one has time for.
use notchspool::units::Micros;
use oorandom::Rand64;

use super::backend::Mood;
use super::judge::Kind;
use super::world::{Agent, World};
use super::{Breach, Rule};

const PROXIES: usize = 3;
const WINDOW: Micros = Micros::ms(4_000);

/// What one drawn day came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Day {
    pub violations: Vec<(Rule, String)>,
    pub requests: usize,
    /// Answered with success, and runs at backends.
    pub served: usize,
    pub runs: usize,
}

/// Ten seconds of requests at three proxies with trouble of every kind, then healed and judged.
pub fn drawn(seed: u64, breach: Option<Breach>) -> Day {
    let mut world = World::new(PROXIES, seed, WINDOW, breach);
    let mut chance = Rand64::new(u128::from(seed) * 31 + 7);
    let mut below = |n: u64| ((chance.rand_float() * n as f64) as u64).min(n - 1);
    world.play(Micros::ms(300));
    let (mut nth, mut back) = (0u64, Vec::<(Micros, Undo)>::new());
    let mut sent: Vec<String> = Vec::new();
    for _ in 0..400 {
        let until = world.now + Micros::ms(5 + below(40) as i64);
        world.play(until);
        let now = world.now;
        let (due, later): (Vec<_>, Vec<_>) = back.into_iter().partition(|b| b.0 <= now);
        back = later;
        due.into_iter().for_each(|(_, undo)| undo.does(&mut world));
        let at = below(PROXIES as u64) as usize;
        let other = (at + 1 + below(PROXIES as u64 - 1) as usize) % PROXIES;
        let span = now + Micros::ms(50 + below(3_000) as i64);
        match below(80) {
            0..=64 => {
                nth += 1;
                let attempt = format!("r{nth}");
                let kind = match below(3) {
                    0 => Kind::Safe,
                    1 => Kind::Unsafe,
                    _ => Kind::Keyed(format!("k{}", below(12))),
                };
                let left = Micros::ms(200 + below(2_500) as i64);
                world.request(at, &attempt, kind, left);
                sent.push(attempt);
            }
            65 if !sent.is_empty() => {
                let recent = sent.len() - 1 - below(sent.len().min(5) as u64) as usize;
                world.leave(&sent[recent]);
            }
            66..=67 => {
                world.backends[at].mood = Mood::Any;
                back.push((span, Undo::Mood(at)));
            }
            68 => world.replace(at),
            69 => world.reset(Agent::Proxy(at), Agent::Proxy(other)),
            70 => world.reset(Agent::Proxy(at), Agent::Backend(at)),
            71..=72 => {
                world.cuts.insert((Agent::Proxy(at), Agent::Proxy(other)));
                back.push((span, Undo::Join(Agent::Proxy(at), Agent::Proxy(other))));
            }
            73 => {
                let voter = below(3) as usize;
                world.cuts.insert((Agent::Proxy(at), Agent::Voter(voter)));
                back.push((span, Undo::Join(Agent::Proxy(at), Agent::Voter(voter))));
            }
            74 => {
                world.slow = Micros::ms(2 + below(250) as i64);
                back.push((span, Undo::Fast));
            }
            75..=76 => {
                world.kill(at);
                back.push((now + Micros::ms(20 + below(500) as i64), Undo::Start(at)));
            }
            77..=78 => {
                world.freeze(at);
                back.push((span, Undo::Wake(at)));
            }
            79 => {
                let voter = below(3) as usize;
                world.voter(voter, false);
                back.push((span, Undo::Voter(voter)));
            }
            _ => {}
        }
    }
    world.settle();
    let clients = world.judge.clients.values();
    let served = clients.filter(|c| c.got.as_ref().is_some_and(|g| g.status == 200)).count();
    let (requests, runs) = (world.judge.clients.len(), world.judge.runs.len());
    let mut violations = std::mem::take(&mut world.judge.violations);
    if served * 10 < requests {
        violations.push((Rule::Left, format!("too little came about: {served} of {requests} served")));
    }
    Day { violations, requests, served, runs }
}

/// What ends a trouble.
enum Undo {
    Mood(usize),
    Join(Agent, Agent),
    Fast,
    Start(usize),
    Wake(usize),
    Voter(usize),
}

impl Undo {
    fn does(self, world: &mut World) {
        match self {
            Undo::Mood(at) => world.backends[at].mood = Mood::Well,
            Undo::Join(a, b) => drop(world.cuts.remove(&(a, b))),
            Undo::Fast => world.slow = Micros::ms(2),
            Undo::Start(at) => world.start(at),
            Undo::Wake(at) => world.wake(at),
            Undo::Voter(at) => world.voter(at, true),
        }
    }
}
