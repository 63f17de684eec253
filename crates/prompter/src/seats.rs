//! Who votes, in which lives of their disks. Turns the registers' asks and answers (`notchspool_election`) into messages and back.
use std::collections::BTreeMap;

use notchspool_cues as cues;
use notchspool_election::{Answer, Ask, Ballot, ContenderId, Entries, Entry, Said, Token, VoterId, Whole};
use notchspool_promptbook::pen::{self, KEY};

pub fn ballot(b: Option<cues::Ballot>) -> Ballot {
    let b = b.unwrap_or_default();
    Ballot { token: Token(0), round: b.round, by: ContenderId(b.by) }
}

pub fn told(b: Ballot) -> Option<cues::Ballot> {
    Some(cues::Ballot { round: b.round, by: b.by.0 })
}

/// Lives of all voters by place, as one of them knows them.
pub fn lives(voters: usize, own: VoterId, life: u64, others: &BTreeMap<VoterId, u64>) -> Vec<u64> {
    let at = |v: u16| if VoterId(v) == own { life } else { others.get(&VoterId(v)).copied().unwrap_or(0) };
    (0..voters as u16).map(at).collect()
}

fn split(voter: u32, lives: &[u64]) -> (u64, BTreeMap<VoterId, u64>) {
    let own = lives.get(voter as usize).copied().unwrap_or(0);
    let others = lives.iter().enumerate().filter(|(at, l)| *at != voter as usize && **l > 0);
    (own, others.map(|(at, l)| (VoterId(at as u16), *l)).collect())
}

fn entries(under: Option<cues::Ballot>, body: Option<String>) -> Entries {
    let entry = body.map(|value| (KEY.to_string(), Entry { at: ballot(under), nth: 1, value }));
    entry.into_iter().collect()
}

/// A question to a voter; none for what the mesh never asks.
pub fn vote(number: u64, ask: &Ask) -> Option<cues::Vote> {
    match ask {
        Ask::Prepare { ballot, .. } => Some(cues::Vote { number, ballot: told(*ballot), body: None }),
        Ask::Accept { ballot, changes, .. } => {
            Some(cues::Vote { number, ballot: told(*ballot), body: changes.first().map(|c| c.1.clone()) })
        }
        Ask::Look { .. } | Ask::Readmit { .. } => None,
    }
}

pub fn asked(vote: &cues::Vote) -> Ask {
    let (space, ballot) = (pen::space(), ballot(vote.ballot));
    match &vote.body {
        None => Ask::Prepare { space, ballot },
        Some(body) => {
            let changes = vec![(KEY.to_string(), body.clone())];
            Ask::Accept { space, ballot, nth: 1, changes, lease: None }
        }
    }
}

/// A voter's answer as a message.
pub fn voted(number: u64, voter: VoterId, voters: usize, answer: &Answer) -> cues::Voted {
    let lives = lives(voters, voter, answer.life, &answer.lives);
    let blank = cues::Voted { number, voter: u32::from(voter.0), lives, ..cues::Voted::default() };
    match &answer.said {
        Said::Promised { entries } => {
            let entry = entries.get(KEY);
            let under = entry.and_then(|e| told(e.at));
            cues::Voted { vote: 1, under, body: entry.map(|e| e.value.clone()), ..blank }
        }
        Said::Accepted => cues::Voted { vote: 2, ..blank },
        Said::Refused { promised, .. } => cues::Voted { vote: 3, promised: told(*promised), ..blank },
        _ => blank,
    }
}

pub fn answer(voted: cues::Voted) -> (VoterId, Answer) {
    let (life, lives) = split(voted.voter, &voted.lives);
    let said = match voted.vote {
        1 => Said::Promised { entries: entries(voted.under, voted.body) },
        2 => Said::Accepted,
        3 => Said::Refused { promised: ballot(voted.promised), owner: String::new() },
        _ => Said::NoVote { why: String::new() },
    };
    (VoterId(voted.voter as u16), Answer { life, lives, said })
}

/// What another voter told one that lost its disk.
pub fn all(all: &cues::All) -> (VoterId, Answer) {
    let (life, lives) = split(all.voter, &all.lives);
    let said = if all.known > 0 {
        Said::OldLife { known: all.known }
    } else {
        let whole: Whole = (pen::space(), ballot(all.promised), entries(all.under, all.body.clone()), None);
        Said::All { spaces: vec![whole] }
    };
    (VoterId(all.voter as u16), Answer { life, lives, said })
}
