//! What was seen from outside, and whether it is sound: what agents noted when something was done to them, what clients were told,
//! what the keepers' book says in the end, who said to own when it was asked. No process is judged by its own word alone.
use std::collections::{BTreeMap, BTreeSet};

use notchspool_commands::command_log::CommandState;
use notchspool_fleet_protocol::CommandStatus;

/// Something was done to an agent, as it noted itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    pub agent: String,
    /// The life in which it was done: the epoch it was registered in then.
    pub epoch: u64,
    pub revision: u64,
    pub token: u64,
    pub act: String,
    /// Whether it was done, or refused.
    pub done: bool,
}

/// An order as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub id: String,
    /// Every revision it was told for this id.
    pub told: Vec<u64>,
}

/// A keeper was asked whether it owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    pub asked_us: u64,
    pub answered_us: u64,
    /// The token it owns under.
    pub owns: Option<u64>,
}

#[derive(Clone, Debug, Default)]
pub struct History {
    pub effects: Vec<Effect>,
    pub asked: Vec<Asked>,
    /// Every order with all its pairs, as the last owner tells it.
    pub book: Vec<CommandStatus>,
    pub polls: Vec<Poll>,
    /// Agents that were killed: their last note may be lost.
    pub killed: BTreeSet<String>,
}

/// Reads the notes of an agent, over all its lives.
pub fn effects(agent: &str, log: &str) -> Vec<Effect> {
    let mut epoch = 0;
    let mut all = Vec::new();
    for line in log.lines() {
        let Some((_, said)) = line.split_once("fleet: ") else { continue };
        let words: Vec<&str> = said.split_whitespace().collect();
        if let ["registered", "as", _, "in", "epoch", of, ..] = words.as_slice() {
            epoch = of.parse().unwrap_or(epoch);
        }
        // `Drain revision 3 under token 5: done`
        let [act, "revision", revision, "under", "token", token, how, ..] = words.as_slice() else {
            continue;
        };
        let (Ok(revision), Ok(token)) = (revision.parse(), token.trim_end_matches(':').parse()) else {
            continue;
        };
        let (agent, act, done) = (agent.to_owned(), (*act).to_owned(), *how == "done");
        all.push(Effect { agent, epoch, revision, token, act, done });
    }
    all
}

/// All that is wrong with a history; nothing where it is sound.
pub fn judge(history: &History) -> Vec<String> {
    let mut wrong = Vec::new();
    fence(history, &mut wrong);
    orders(history, &mut wrong);
    owners(history, &mut wrong);
    wrong
}

fn fence(history: &History, wrong: &mut Vec<String>) {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut times: BTreeMap<(&str, u64, u64), u32> = BTreeMap::new();
    for e in &history.effects {
        let seen = newest.entry(&e.agent).or_default();
        if e.token < *seen {
            wrong.push(format!("{}: {} {} under token {} after {seen}", e.agent, e.act, e.revision, e.token));
        }
        *seen = (*seen).max(e.token);
        let times = times.entry((&e.agent, e.epoch, e.revision)).or_default();
        *times += 1;
        if *times == 2 {
            wrong.push(format!("{}: revision {} done twice in epoch {}", e.agent, e.revision, e.epoch));
        }
    }
}

fn orders(history: &History, wrong: &mut Vec<String>) {
    let book: BTreeMap<u64, &CommandStatus> = history.book.iter().map(|o| (o.revision.0, o)).collect();
    for asked in &history.asked {
        let told: BTreeSet<u64> = asked.told.iter().copied().collect();
        if told.len() > 1 {
            wrong.push(format!("order {} was acknowledged as {told:?}", asked.id));
        }
        for revision in told {
            match book.get(&revision) {
                None => wrong.push(format!("order {} was acknowledged as {revision} and is lost", asked.id)),
                Some(o) if o.id != asked.id => {
                    wrong.push(format!("revision {revision} is order {}, not {}", o.id, asked.id));
                }
                Some(_) => {}
            }
        }
    }
    let done: BTreeSet<(&str, u64)> =
        history.effects.iter().filter(|e| e.done).map(|e| (e.agent.as_str(), e.revision)).collect();
    for (agent, revision) in &done {
        match book.get(revision) {
            None => wrong.push(format!("{agent} did revision {revision}, which is no order")),
            Some(o) => {
                let state = o.states.iter().find(|(name, _)| name == agent).map(|s| &s.1);
                if !matches!(state, Some(s) if !matches!(s, CommandState::Failed { sent: false, late: None } | CommandState::Queued))
                {
                    wrong.push(format!("{agent} did revision {revision}, which stands as {state:?}"));
                }
            }
        }
    }
    for (revision, order) in &book {
        for (agent, state) in &order.states {
            if !state.is_final() {
                wrong.push(format!("revision {revision} at {agent} came to no end: {state:?}"));
            }
            let noted = done.contains(&(agent.as_str(), *revision)) || history.killed.contains(agent);
            if matches!(state, CommandState::Applied(_)) && !noted {
                wrong.push(format!("revision {revision} is told as applied, and {agent} noted nothing"));
            }
        }
    }
}

fn owners(history: &History, wrong: &mut Vec<String>) {
    // Asked after another was heard to own under a larger token, nobody owns under a smaller one.
    let mut heard: Vec<(u64, u64)> =
        history.polls.iter().filter_map(|p| Some((p.answered_us, p.owns?))).collect();
    heard.sort_unstable();
    let mut largest = 0;
    let by_time: Vec<(u64, u64)> = heard
        .into_iter()
        .map(|(at, token)| {
            largest = largest.max(token);
            (at, largest)
        })
        .collect();
    for poll in &history.polls {
        let Some(token) = poll.owns else { continue };
        let before = by_time.partition_point(|(at, _)| *at < poll.asked_us);
        let known = before.checked_sub(1).map_or(0, |n| by_time[n].1);
        if token < known {
            wrong.push(format!(
                "owned under token {token} at {} us, after {known} was owned under",
                poll.asked_us
            ));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use notchspool_commands::{CommandKind, Epoch, Revision};
    use rstest::rstest;

    fn order(revision: u64, state: CommandState) -> CommandStatus {
        CommandStatus {
            revision: Revision(revision),
            id: format!("o{revision}"),
            author: "t".into(),
            kind: CommandKind::Drain,
            max_unavailable: 1.0,
            left_us: -1,
            halt_reason: None,
            counts: BTreeMap::new(),
            states: vec![("a0".into(), state)],
        }
    }
    fn sound() -> History {
        let log = "0.1 INFO fleet: registered as 0 in epoch 1 under token 1\n\
                   0.2 INFO fleet: Drain revision 1 under token 1: done\n\
                   0.3 INFO fleet: Undrain revision 2 under token 3: done\n";
        History {
            effects: effects("a0", log),
            asked: vec![Asked { id: "o1".into(), told: vec![1, 1] }],
            book: vec![order(1, CommandState::Applied(Epoch(1))), order(2, CommandState::Applied(Epoch(1)))],
            polls: [(0, 9, 1), (5, 30, 1), (10, 20, 2), (40, 50, 2)]
                .map(|(asked_us, answered_us, token)| Poll { asked_us, answered_us, owns: Some(token) })
                .into(),
            killed: BTreeSet::new(),
        }
    }

    #[test]
    fn a_sound_history_is_none_of_it() {
        assert_eq!(sound().effects.len(), 2);
        assert_eq!(judge(&sound()), Vec::<String>::new());
    }

    #[rstest]
    #[case::older_token(|h: &mut History| h.effects[0].token = 4, "under token 3 after 4")]
    #[case::twice(|h: &mut History| h.effects[1].revision = 1, "done twice")]
    #[case::lost(|h: &mut History| drop(h.book.remove(0)), "is lost")]
    #[case::two_revisions(|h: &mut History| h.asked[0].told = vec![1, 2], "acknowledged as {1, 2}")]
    #[case::no_order(|h: &mut History| h.effects[1].revision = 9, "which is no order")]
    #[case::not_told(|h: &mut History| h.book[0] = order(1, CommandState::Failed { sent: false, late: None }), "stands as")]
    #[case::no_end(|h: &mut History| h.book[0] = order(1, CommandState::Sent(Epoch(1))), "came to no end")]
    #[case::not_done(|h: &mut History| h.effects[1].done = false, "noted nothing")]
    #[case::two_owners(|h: &mut History| h.polls[3].owns = Some(1), "after 2 was owned under")]
    fn each_fault_is_refused(#[case] spoil: fn(&mut History), #[case] why: &str) {
        let mut history = sound();
        spoil(&mut history);
        let wrong = judge(&history);
        assert!(wrong.iter().any(|w| w.contains(why)), "{wrong:?}");
    }
}
