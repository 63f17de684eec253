//! Turns the registers' asks and answers (`notchspool_consensus`) into messages and back. Places are those of the set they are said under.
use std::collections::BTreeMap;

use notchspool_consensus::{Answer, Ask, Ballot, ContenderId, Entries, Entry, Said, Token, VoterId};
use notchspool_mesh_config::pen::{self, KEY};
use notchspool_mesh_protocol as cues;

pub fn ballot(b: Option<cues::Ballot>) -> Ballot {
    let b = b.unwrap_or_default();
    Ballot { token: Token(0), round: b.round, by: ContenderId(b.by) }
}

pub fn told(b: Ballot) -> Option<cues::Ballot> {
    Some(cues::Ballot { round: b.round, by: b.by.0 })
}

fn entries(under: Option<cues::Ballot>, body: Option<String>) -> Entries {
    let entry = body.map(|value| (KEY.to_string(), Entry { at: ballot(under), nth: 1, value }));
    entry.into_iter().collect()
}

/// A question to a voter; none for what the mesh never asks.
pub fn vote(set: u64, number: u64, ask: &Ask) -> Option<cues::Vote> {
    match ask {
        Ask::Prepare { ballot, .. } => Some(cues::Vote { number, ballot: told(*ballot), body: None, set }),
        Ask::Accept { ballot, changes, .. } => {
            let body = changes.first().map(|c| c.1.clone());
            Some(cues::Vote { number, ballot: told(*ballot), body, set })
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
pub fn voted(number: u64, set: u64, voter: VoterId, answer: &Answer) -> cues::Voted {
    let blank = cues::Voted { number, set, voter: u32::from(voter.0), ..cues::Voted::default() };
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
    let said = match voted.vote {
        1 => Said::Promised { entries: entries(voted.under, voted.body) },
        2 => Said::Accepted,
        3 => Said::Refused { promised: ballot(voted.promised), owner: String::new() },
        _ => Said::NoVote { why: String::new() },
    };
    // Sets are numbered, so that no answer needs the lives of disks that the keeper's voters tell.
    (VoterId(voted.voter.min(u32::from(u16::MAX)) as u16), Answer { life: 0, lives: BTreeMap::new(), said })
}
