//! Checks the history of a run, as observed from outside: what agents logged as executed, what clients were answered, the commands that the
//! controllers keep in the end, and who claimed to be the owner when asked. No process is trusted alone.
use std::collections::{BTreeMap, BTreeSet};

use notchspool_commands::command_log::CommandState;
use notchspool_fleet_protocol::CommandStatus;

/// A command that an agent executed or refused, as it logged itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The agent.
    pub agent: String,
    /// The epoch in which it was registered then.
    pub epoch: u64,
    /// Revision of the command.
    pub revision: u64,
    /// The owner's fencing token.
    pub token: u64,
    /// Kind of the command.
    pub kind: String,
    /// Whether it was executed, or refused.
    pub done: bool,
}

/// A command as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedCommand {
    /// The client's id for it.
    pub id: String,
    /// Every revision that it was acknowledged as.
    pub revisions: Vec<u64>,
}

/// A controller was asked whether it is the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// When it was asked, in microseconds.
    pub sent_us: u64,
    /// When it answered.
    pub answered_us: u64,
    /// The token that it owns under, if it does.
    pub owned_token: Option<u64>,
}

/// All that was observed.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What agents executed, in the order of each one's log.
    pub effects: Vec<Effect>,
    /// What clients submitted.
    pub submitted: Vec<SubmittedCommand>,
    /// Every command with its state at each instance, as the last owner has it.
    pub commands: Vec<CommandStatus>,
    /// Who claimed to be the owner.
    pub polls: Vec<Poll>,
    /// Agents that were killed: the end of their log may be lost.
    pub killed: BTreeSet<String>,
}

/// Reads the log of an agent, over all its starts.
pub fn parse_effects(agent: &str, log: &str) -> Vec<Effect> {
    let mut epoch = 0;
    let mut all = Vec::new();
    for line in log.lines() {
        let Some((_, message)) = line.split_once("fleet: ") else { continue };
        let words: Vec<&str> = message.split_whitespace().collect();
        if let ["registered", "as", _, "in", "epoch", of, ..] = words.as_slice() {
            epoch = of.parse().unwrap_or(epoch);
        }
        // `Drain revision 3 under token 5: done`
        let [kind, "revision", revision, "under", "token", token, how, ..] = words.as_slice() else {
            continue;
        };
        let (Ok(revision), Ok(token)) = (revision.parse(), token.trim_end_matches(':').parse()) else {
            continue;
        };
        let (agent, kind, done) = (agent.to_owned(), (*kind).to_owned(), *how == "done");
        all.push(Effect { agent, epoch, revision, token, kind, done });
    }
    all
}

/// All violations in a history; none where it is sound.
pub fn check(history: &History) -> Vec<String> {
    let mut violations = Vec::new();
    check_fencing(history, &mut violations);
    check_commands(history, &mut violations);
    check_ownership(history, &mut violations);
    violations
}

fn check_fencing(history: &History, violations: &mut Vec<String>) {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut times: BTreeMap<(&str, u64, u64), u32> = BTreeMap::new();
    for effect in &history.effects {
        let seen = newest.entry(&effect.agent).or_default();
        if effect.token < *seen {
            violations.push(format!(
                "{}: {} {} under token {} after {seen}",
                effect.agent, effect.kind, effect.revision, effect.token
            ));
        }
        *seen = (*seen).max(effect.token);
        let times = times.entry((&effect.agent, effect.epoch, effect.revision)).or_default();
        *times += 1;
        if *times == 2 {
            violations.push(format!(
                "{}: revision {} done twice in epoch {}",
                effect.agent, effect.revision, effect.epoch
            ));
        }
    }
}

fn check_commands(history: &History, violations: &mut Vec<String>) {
    let commands: BTreeMap<u64, &CommandStatus> =
        history.commands.iter().map(|command| (command.revision.0, command)).collect();
    for submitted in &history.submitted {
        let revisions: BTreeSet<u64> = submitted.revisions.iter().copied().collect();
        if revisions.len() > 1 {
            violations.push(format!("order {} was acknowledged as {revisions:?}", submitted.id));
        }
        for revision in revisions {
            match commands.get(&revision) {
                None => violations
                    .push(format!("order {} was acknowledged as {revision} and is lost", submitted.id)),
                Some(command) if command.id != submitted.id => {
                    violations
                        .push(format!("revision {revision} is order {}, not {}", command.id, submitted.id));
                }
                Some(_) => {}
            }
        }
    }
    let done: BTreeSet<(&str, u64)> = history
        .effects
        .iter()
        .filter(|effect| effect.done)
        .map(|effect| (effect.agent.as_str(), effect.revision))
        .collect();
    for (agent, revision) in &done {
        match commands.get(revision) {
            None => violations.push(format!("{agent} did revision {revision}, which is no order")),
            Some(command) => {
                let state = command.states.iter().find(|(name, _)| name == agent).map(|s| &s.1);
                if !matches!(state, Some(s) if !matches!(s, CommandState::Failed { sent: false, late: None } | CommandState::Queued))
                {
                    violations.push(format!("{agent} did revision {revision}, which stands as {state:?}"));
                }
            }
        }
    }
    for (revision, order) in &commands {
        for (agent, state) in &order.states {
            if !state.is_final() {
                violations.push(format!("revision {revision} at {agent} came to no end: {state:?}"));
            }
            let noted = done.contains(&(agent.as_str(), *revision)) || history.killed.contains(agent);
            if matches!(state, CommandState::Applied(_)) && !noted {
                violations.push(format!("revision {revision} is told as applied, and {agent} noted nothing"));
            }
        }
    }
}

fn check_ownership(history: &History, violations: &mut Vec<String>) {
    // Once an owner under a larger token has answered, nobody that is asked later owns under a smaller one.
    let mut claims: Vec<(u64, u64)> =
        history.polls.iter().filter_map(|p| Some((p.answered_us, p.owned_token?))).collect();
    claims.sort_unstable();
    let mut largest = 0;
    let by_time: Vec<(u64, u64)> = claims
        .into_iter()
        .map(|(at, token)| {
            largest = largest.max(token);
            (at, largest)
        })
        .collect();
    for poll in &history.polls {
        let Some(token) = poll.owned_token else { continue };
        let before = by_time.partition_point(|(at, _)| *at < poll.sent_us);
        let known = before.checked_sub(1).map_or(0, |n| by_time[n].1);
        if token < known {
            violations.push(format!(
                "owned under token {token} at {} us, after {known} was owned under",
                poll.sent_us
            ));
        }
    }
}
