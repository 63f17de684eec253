//! Timelines of traffic, drawn as text as those of the mesh are: one column an agent, `proxy-a`, `backend-a` (beside it), `core-1`.
use notchspool::units::Micros;

use super::backend::Mood;
use super::judge::Kind;
use super::world::{Agent, World};
use super::{Breach, Rule};
use crate::mesh::Timeline;

/// Keys stand this long; timelines are short.
const WINDOW: Micros = Micros::ms(4_000);
/// How long a client waits, where nothing else is said.
const PATIENCE: Micros = Micros::ms(2_000);

/// Plays a timeline of traffic, heals all, and gives what was not as it has to be.
pub fn play_traffic(timeline: &Timeline, seed: u64, breach: Option<Breach>) -> Vec<(Option<Rule>, String)> {
    let proxies = timeline.columns().iter().filter(|c| c.starts_with("proxy-")).count();
    let mut world = World::new(proxies, seed, WINDOW, breach);
    world.play(Micros::ms(1_000));
    let mut violations = Vec::new();
    for (time, row) in timeline.rows() {
        world.play(Micros::ms(1_000) + *time);
        for (column, cell) in timeline.columns().iter().zip(row) {
            for command in cell.split(';').map(str::trim).filter(|c| *c != ".") {
                let words: Vec<&str> = command.split_whitespace().collect();
                if let Err(why) = agent(&mut world, column, &words) {
                    let at = time.ratio_to(Micros::ms(1_000));
                    violations.push((None, format!("{at:.1} {column} `{command}`: {why}")));
                }
            }
        }
    }
    world.settle();
    violations.extend(world.judge.violations.iter().map(|(rule, what)| (Some(*rule), what.clone())));
    violations
}

fn place(world: &World, name: &str) -> Result<Agent, String> {
    let (kind, which) = name.split_once('-').ok_or("is no agent")?;
    let letter = which.bytes().next().unwrap_or(0);
    let at = usize::from(letter.wrapping_sub(if kind == "core" { b'1' } else { b'a' }));
    match kind {
        "proxy" if at < world.proxies.len() => Ok(Agent::Proxy(at)),
        "backend" if at < world.backends.len() => Ok(Agent::Backend(at)),
        "core" if at < 3 => Ok(Agent::Voter(at)),
        _ => Err(format!("there is no {name}")),
    }
}

fn agent(world: &mut World, name: &str, words: &[&str]) -> Result<(), String> {
    match place(world, name)? {
        Agent::Proxy(at) => proxy(world, at, words),
        Agent::Backend(at) => backend(world, at, words),
        Agent::Voter(at) => match words {
            ["kill"] => {
                world.voter(at, false);
                Ok(())
            }
            ["start"] => {
                world.voter(at, true);
                Ok(())
            }
            _ => Err("is no command".into()),
        },
    }
}

fn backend(world: &mut World, at: usize, words: &[&str]) -> Result<(), String> {
    match words {
        ["replace"] => world.replace(at),
        ["resets"] => world.reset(Agent::Proxy(at), Agent::Backend(at)),
        ["work", ms] => {
            world.backends[at].work = Micros::ms(ms.parse().map_err(|e| format!("no time: {e}"))?);
        }
        [mood] => world.backends[at].mood = Mood::named(mood).ok_or("is no command")?,
        _ => return Err("is no command".into()),
    }
    Ok(())
}

fn proxy(world: &mut World, at: usize, words: &[&str]) -> Result<(), String> {
    let own = Agent::Proxy(at);
    match words {
        ["kill"] => world.kill(at),
        ["start"] => world.start(at),
        ["freeze"] => world.freeze(at),
        ["wake"] => world.wake(at),
        ["cut"] => world.cut_all(own),
        ["cut", other] => {
            let other = place(world, other)?;
            world.cuts.insert((own, other));
        }
        ["join"] => world.cuts.retain(|(a, b)| *a != own && *b != own),
        ["reset", other] => {
            let other = place(world, other)?;
            world.reset(own, other);
        }
        // Where its requests go, the first try and the next ones.
        ["to", others @ ..] => {
            let mut all = Vec::new();
            for other in others {
                if let Agent::Proxy(to) = place(world, other)? {
                    all.push(to);
                }
            }
            world.proxies[at].aims = all;
        }
        ["safe", attempt] => world.request(at, attempt, Kind::Safe, PATIENCE),
        ["unsafe", attempt] => world.request(at, attempt, Kind::Unsafe, PATIENCE),
        ["key", key, attempt] => world.request(at, attempt, Kind::Keyed((*key).into()), PATIENCE),
        ["patient", key, attempt] => {
            world.request(at, attempt, Kind::Keyed((*key).into()), Micros::ms(8_000));
        }
        ["leaves", attempt] => world.leave(attempt),
        ["got", attempt, status] => {
            let client = world.judge.clients.get(*attempt).ok_or("it was never sent")?;
            let found = client.got.as_ref().map_or("nothing".into(), |g| g.status.to_string());
            if !status.split('/').any(|s| s == found) {
                return Err(format!("found {found}"));
            }
        }
        ["ran", attempt, times] => {
            let found = world.judge.runs.iter().filter(|r| r.attempt == *attempt).count();
            if found.to_string() != *times {
                return Err(format!("found {found}"));
            }
        }
        _ => return Err("is no command".into()),
    }
    Ok(())
}
