//! Faults by the clock, as text, one a line, or drawn from a seed:
//!
//! ```text
//! at 1000 stop k2 for 3000
//! at 1500 kill k1
//! at 2500 start k1 disk empty
//! at 3000 cut a3 k1 for 2000
//! at 3000 silent k1 k2 back for 1500
//! at 4000 chop k1 k3 after 40
//! at 4000 slow all 20 spread 60 for 2000
//! ```
//!
//! Names: `k1` and on are controllers, `a0` and on agents, `owner` whichever controller is the owner then. Times in milliseconds.
use std::fmt;

use oorandom::Rand64;

use super::process::Disk;

/// Whom a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A controller, from 0.
    Controller(usize),
    /// An agent, from 0.
    Agent(usize),
    /// The owner at that moment; for what ends a fault, the one that it hit.
    Owner,
}

/// What happens, or ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A process is stopped.
    Pause(Target),
    /// It goes on.
    Resume(Target),
    /// A process is killed.
    Kill(Target),
    /// It is started, with this disk.
    Start(Target, Disk),
    /// Links between two, or of one to all: streams are reset and new ones refused.
    Cut(Target, Option<Target>),
    /// They work again.
    Restore(Target, Option<Target>),
    /// Nothing passes in a direction (backward: true), streams stay open.
    Silence(Target, Option<Target>, bool),
    /// Both directions pass again.
    Unsilence(Target, Option<Target>),
    /// Streams are reset after so many further bytes.
    ResetAfter(Target, Target, u64),
    /// All links are late by so many milliseconds, and up to so many more.
    Delay(u64, u64),
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Milliseconds from the start.
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Controller(n) => write!(f, "k{}", n + 1),
            Target::Agent(n) => write!(f, "a{n}"),
            Target::Owner => write!(f, "owner"),
        }
    }
}

/// Reads a schedule. A fault with a `for` ends by itself.
///
/// # Errors
/// The line that can't be read, and why.
pub fn parse(text: &str) -> Result<Vec<ScheduledFault>, String> {
    let mut all = Vec::new();
    for (nth, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        parse_line(line, &mut all).map_err(|why| format!("line {}: `{line}`: {why}", nth + 1))?;
    }
    all.sort_by_key(|scheduled: &ScheduledFault| scheduled.at_ms);
    Ok(all)
}

fn parse_target(word: &str) -> Result<Target, String> {
    let number = |rest: &str| rest.parse::<usize>().map_err(|_| format!("`{word}` is nobody"));
    match word.split_at_checked(1) {
        _ if word == "owner" => Ok(Target::Owner),
        Some(("k", rest)) => match number(rest)? {
            0 => Err("keepers count from 1".into()),
            n => Ok(Target::Controller(n - 1)),
        },
        Some(("a", rest)) => Ok(Target::Agent(number(rest)?)),
        _ => Err(format!("`{word}` is nobody")),
    }
}

fn parse_line(line: &str, all: &mut Vec<ScheduledFault>) -> Result<(), String> {
    let mut words: Vec<&str> = line.split_whitespace().collect();
    let number = |word: Option<&&str>| -> Result<u64, String> {
        word.and_then(|w| w.parse().ok()).ok_or_else(|| "a number of milliseconds is missing".to_owned())
    };
    if words.first() != Some(&"at") {
        return Err("it begins with `at`".into());
    }
    let at_ms = number(words.get(1))?;
    let mut until = None;
    if let Some(place) = words.iter().position(|w| *w == "for") {
        until = Some(at_ms + number(words.get(place + 1))?);
        words.drain(place..(place + 2).min(words.len()));
    }
    let pair = |words: &[&str]| -> Result<(Target, Option<Target>), String> {
        let first = parse_target(words.first().ok_or("whom?")?)?;
        Ok((first, words.get(1).filter(|w| **w != "back").map(|w| parse_target(w)).transpose()?))
    };
    let rest = words.get(3..).unwrap_or_default();
    let (fault, end) = match (words.get(2).copied(), rest) {
        (Some("stop"), [parse_line]) => {
            (Fault::Pause(parse_target(parse_line)?), Some(Fault::Resume(parse_target(parse_line)?)))
        }
        (Some("kill"), [parse_line]) => (
            Fault::Kill(parse_target(parse_line)?),
            Some(Fault::Start(parse_target(parse_line)?, Disk::Kept)),
        ),
        (Some("start"), [parse_line]) => (Fault::Start(parse_target(parse_line)?, Disk::Kept), None),
        (Some("start"), [parse_line, "disk", disk]) => {
            let disk = match *disk {
                "kept" => Disk::Kept,
                "empty" => Disk::Empty,
                "torn" => Disk::Torn,
                other => return Err(format!("no disk is `{other}`")),
            };
            (Fault::Start(parse_target(parse_line)?, disk), None)
        }
        (Some("cut"), some) => {
            let (a, b) = pair(some)?;
            (Fault::Cut(a, b), Some(Fault::Restore(a, b)))
        }
        (Some("silent"), some) => {
            let (a, b) = pair(some)?;
            (Fault::Silence(a, b, some.contains(&"back")), Some(Fault::Unsilence(a, b)))
        }
        (Some("chop"), [a, b, "after", n]) => {
            (Fault::ResetAfter(parse_target(a)?, parse_target(b)?, number(Some(n))?), None)
        }
        (Some("slow"), ["all", delay, "spread", spread]) => {
            (Fault::Delay(number(Some(delay))?, number(Some(spread))?), Some(Fault::Delay(0, 0)))
        }
        (other, _) => return Err(format!("`{}` is nothing that happens", other.unwrap_or_default())),
    };
    all.push(ScheduledFault { at_ms, fault });
    match (until, end) {
        (Some(at_ms), Some(fault)) => all.push(ScheduledFault { at_ms, fault }),
        (Some(_), None) => return Err("it has no end".into()),
        _ => {}
    }
    Ok(())
}

/// A schedule of random faults over `span_ms`: at no moment are more than a minority of voters down or without their disk. The same
/// seed gives the same schedule.
pub fn generate(seed: u64, controllers: usize, agents: usize, lease_ms: u64, span_ms: u64) -> String {
    let mut rng = Rand64::new(u128::from(seed) + 77);
    let mut text = String::new();
    let (mut at, most_down) = (lease_ms * 2, (controllers - 1) / 2);
    // Until when each controller is down or recovers its disk.
    let mut down = vec![0_u64; controllers];
    while at < span_ms {
        let below = |n: usize, rng: &mut Rand64| rng.rand_range(0..n.max(1) as u64) as usize;
        let (k, a) = (below(controllers, &mut rng), below(agents, &mut rng));
        let spans = [lease_ms / 2, lease_ms, lease_ms * 11 / 10, lease_ms * 3];
        let span = spans[below(4, &mut rng)];
        let unavailable = down.iter().filter(|until_ms| **until_ms > at).count();
        let other = (k + 1 + below(controllers - 1, &mut rng)) % controllers.max(1);
        let back = if rng.rand_float() < 0.5 { " back" } else { "" };
        let line = match below(12, &mut rng) {
            0 | 1 => format!("at {at} stop owner for {span}"),
            2 if unavailable < most_down && down[k] <= at => {
                down[k] = at + span;
                format!("at {at} kill k{} for {span}", k + 1)
            }
            3 if unavailable < most_down && down[k] <= at => {
                // A disk that is lost is told again by the others within some leases.
                down[k] = at + span + lease_ms * 4;
                let disk = if rng.rand_float() < 0.5 { "empty" } else { "torn" };
                format!("at {at} kill k{0}\nat {1} start k{0} disk {disk}", k + 1, at + span)
            }
            4 if controllers > 1 => format!("at {at} cut k{} k{} for {span}", k + 1, other + 1),
            5 if controllers > 1 => format!("at {at} silent k{} k{}{back} for {span}", k + 1, other + 1),
            6 => format!("at {at} cut owner for {span}"),
            7 => format!("at {at} cut a{a} for {span}"),
            8 => format!("at {at} stop a{a} for {span}"),
            9 => format!("at {at} kill a{a} for {}", lease_ms / 2),
            10 => format!("at {at} slow all {} spread {} for {span}", lease_ms / 40, lease_ms / 10),
            11 if controllers > 1 => {
                format!("at {at} chop k{} k{} after {}", k + 1, other + 1, below(400, &mut rng))
            }
            _ => format!("at {at} silent a{a}{back} for {span}"),
        };
        text += &line;
        text.push('\n');
        at += lease_ms / 4 + below(lease_ms as usize, &mut rng) as u64;
    }
    text
}
