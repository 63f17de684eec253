//! Turns the registers' asks and answers (`notchspool_consensus`) into messages and back. Places are those of the set they are said under.
use std::collections::BTreeMap;

use notchspool_consensus::{Ballot, ContenderId, Entries, Entry, Reply, Request, Response, Token, VoterId};
use notchspool_mesh_config::proposer::{self, CONFIG_KEY};
use notchspool_mesh_protocol as cues;

pub fn ballot(b: Option<cues::Ballot>) -> Ballot {
    let b = b.unwrap_or_default();
    Ballot { token: Token(0), round: b.round, by: ContenderId(b.by) }
}

pub fn told(b: Ballot) -> Option<cues::Ballot> {
    Some(cues::Ballot { round: b.round, by: b.by.0 })
}

fn entries(under: Option<cues::Ballot>, body: Option<String>) -> Entries {
    let entry =
        body.map(|value| (CONFIG_KEY.to_string(), Entry { ballot: ballot(under), sequence: 1, value }));
    entry.into_iter().collect()
}

/// A question to a voter; none for what the mesh never asks.
pub fn vote(set: u64, number: u64, ask: &Request) -> Option<cues::Vote> {
    match ask {
        Request::Prepare { ballot, .. } => {
            Some(cues::Vote { number, ballot: told(*ballot), body: None, set })
        }
        Request::Accept { ballot, changes, .. } => {
            let body = changes.first().map(|c| c.1.clone());
            Some(cues::Vote { number, ballot: told(*ballot), body, set })
        }
        Request::Read { .. } | Request::Readmit { .. } => None,
    }
}

pub fn asked(vote: &cues::Vote) -> Request {
    let (space, ballot) = (proposer::config_space(), ballot(vote.ballot));
    match &vote.body {
        None => Request::Prepare { space, ballot },
        Some(body) => {
            let changes = vec![(CONFIG_KEY.to_string(), body.clone())];
            Request::Accept { space, ballot, sequence: 1, changes, lease: None }
        }
    }
}

/// A voter's answer as a message.
pub fn voted(number: u64, set: u64, voter: VoterId, answer: &Response) -> cues::Voted {
    let blank = cues::Voted { number, set, voter: u32::from(voter.0), ..cues::Voted::default() };
    match &answer.reply {
        Reply::Promised { entries } => {
            let entry = entries.get(CONFIG_KEY);
            let under = entry.and_then(|e| told(e.ballot));
            cues::Voted { vote: 1, under, body: entry.map(|e| e.value.clone()), ..blank }
        }
        Reply::Accepted => cues::Voted { vote: 2, ..blank },
        Reply::Rejected { promised, .. } => cues::Voted { vote: 3, promised: told(*promised), ..blank },
        _ => blank,
    }
}

pub fn answer(voted: cues::Voted) -> (VoterId, Response) {
    let said = match voted.vote {
        1 => Reply::Promised { entries: entries(voted.under, voted.body) },
        2 => Reply::Accepted,
        3 => Reply::Rejected { promised: ballot(voted.promised), owner: String::new() },
        _ => Reply::Unavailable { reason: String::new() },
    };
    // Sets are numbered, so that no answer needs the lives of disks that the keeper's voters tell.
    (
        VoterId(voted.voter.min(u32::from(u16::MAX)) as u16),
        Response { incarnation: 0, known_incarnations: BTreeMap::new(), reply: said },
    )
}
