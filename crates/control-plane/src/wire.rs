//! Turns requests and responses of `notchspool_consensus` into messages and back. Positions are those of the voter set that they are said
//! under.
use std::collections::BTreeMap;

use notchspool_consensus::voter_set::{Member, SuccessorReply, VoterSet};
use notchspool_consensus::{Ballot, ContenderId, Entries, Entry, Reply, Request, Response, Token, VoterId};
use notchspool_mesh_config::proposer::{CONFIG_KEY, config_space};
use notchspool_mesh_protocol as protocol;
use notchspool_mesh_protocol::{ReconfigReply, Vote, VoteReply, VoteRequest};

/// A ballot that came; the lowest where there is none.
pub fn ballot_from_message(message: Option<protocol::Ballot>) -> Ballot {
    let message = message.unwrap_or_default();
    Ballot { token: Token(0), round: message.round, by: ContenderId(message.proposer) }
}

/// A ballot as it goes.
pub fn ballot_to_message(ballot: Ballot) -> Option<protocol::Ballot> {
    Some(protocol::Ballot { round: ballot.round, proposer: ballot.by.0 })
}

fn entries(ballot: Option<protocol::Ballot>, body: Option<String>) -> Entries {
    let entry = |value| Entry { ballot: ballot_from_message(ballot), sequence: 1, value };
    body.map(|value| (CONFIG_KEY.to_string(), entry(value))).into_iter().collect()
}

/// A request to a voter; `None` for those that the mesh never sends.
pub fn request_to_message(set_number: u64, number: u64, request: &Request) -> Option<VoteRequest> {
    let message =
        |ballot: &Ballot, body| VoteRequest { number, ballot: ballot_to_message(*ballot), body, set_number };
    match request {
        Request::Prepare { ballot, .. } => Some(message(ballot, None)),
        Request::Accept { ballot, changes, .. } => {
            Some(message(ballot, changes.first().map(|(_, value)| value.clone())))
        }
        Request::Read { .. } | Request::Readmit { .. } => None,
    }
}

/// A request that came.
pub fn request_from_message(message: &VoteRequest) -> Request {
    let ballot = ballot_from_message(message.ballot);
    match &message.body {
        None => Request::Prepare { space: config_space(), ballot },
        Some(body) => accept_request(ballot, body.clone()),
    }
}

/// The request to accept this value of the register of configurations.
pub fn accept_request(ballot: Ballot, value: String) -> Request {
    let changes = vec![(CONFIG_KEY.to_string(), value)];
    Request::Accept { space: config_space(), ballot, sequence: 1, changes, lease: None }
}

/// A voter's response as it goes.
pub fn response_to_message(number: u64, set_number: u64, voter: VoterId, response: &Response) -> VoteReply {
    let blank = VoteReply { number, set_number, voter: u32::from(voter.0), ..VoteReply::default() };
    match &response.reply {
        Reply::Promised { entries } => {
            let entry = entries.get(CONFIG_KEY);
            VoteReply {
                vote: Vote::Promised.into(),
                accepted_ballot: entry.and_then(|entry| ballot_to_message(entry.ballot)),
                body: entry.map(|entry| entry.value.clone()),
                ..blank
            }
        }
        Reply::Accepted => VoteReply { vote: Vote::Accepted.into(), ..blank },
        Reply::Rejected { promised, .. } => {
            VoteReply { vote: Vote::Rejected.into(), promised: ballot_to_message(*promised), ..blank }
        }
        _ => blank,
    }
}

/// The reply of one that does not vote now.
pub fn abstention(number: u64, set_number: u64) -> VoteReply {
    VoteReply { number, voter: u32::MAX, set_number, ..VoteReply::default() }
}

/// A response that came, and whose it is.
pub fn response_from_message(message: VoteReply) -> (VoterId, Response) {
    let voter = VoterId(message.voter.min(u32::from(u16::MAX)) as u16);
    let reply = match message.vote() {
        Vote::Promised => Reply::Promised { entries: entries(message.accepted_ballot, message.body) },
        Vote::Accepted => Reply::Accepted,
        Vote::Rejected => {
            Reply::Rejected { promised: ballot_from_message(message.promised), owner: String::new() }
        }
        Vote::Abstained => Reply::Unavailable { reason: String::new() },
    };
    // Sets are numbered, so that no response needs the incarnations that the fleet's voters tell.
    (voter, Response { incarnation: 0, known_incarnations: BTreeMap::new(), reply })
}

/// A voter set as it goes.
pub fn set_to_message(set: &VoterSet) -> protocol::VoterSet {
    let member = |member: &Member| protocol::Member {
        address: member.address.clone(),
        incarnation: member.incarnation,
        zone: member.zone.clone(),
    };
    protocol::VoterSet { number: set.number, members: set.members.iter().map(member).collect() }
}

/// A voter set that came; `None` where it can't be one.
pub fn set_from_message(message: protocol::VoterSet) -> Option<VoterSet> {
    let member = |member: protocol::Member| Member {
        address: member.address,
        incarnation: member.incarnation,
        zone: member.zone,
    };
    let members = message.members.into_iter().map(member).collect();
    let set = VoterSet { number: message.number, members };
    set.is_valid().then_some(set)
}

/// A reply on the successor of a set as it goes.
pub fn successor_reply_to_message(
    set_number: u64,
    position: usize,
    ballot: Ballot,
    reply: SuccessorReply,
) -> ReconfigReply {
    let blank = ReconfigReply {
        set_number,
        voter: position as u32,
        ballot: ballot_to_message(ballot),
        ..ReconfigReply::default()
    };
    match reply {
        SuccessorReply::Promised(accepted) => ReconfigReply {
            vote: Vote::Promised.into(),
            accepted_ballot: accepted.as_ref().and_then(|(ballot, _)| ballot_to_message(*ballot)),
            next: accepted.as_ref().map(|(_, set)| set_to_message(set)),
            ..blank
        },
        SuccessorReply::Accepted => ReconfigReply { vote: Vote::Accepted.into(), ..blank },
        SuccessorReply::Rejected(promised) => {
            ReconfigReply { vote: Vote::Rejected.into(), promised: ballot_to_message(promised), ..blank }
        }
    }
}

/// A reply on the successor of a set that came.
pub fn successor_reply_from_message(message: &ReconfigReply) -> SuccessorReply {
    let accepted_ballot = ballot_from_message(message.accepted_ballot);
    match message.vote() {
        Vote::Promised => {
            let next = message.next.clone().and_then(set_from_message);
            SuccessorReply::Promised(next.map(|set| (accepted_ballot, set)))
        }
        Vote::Accepted => SuccessorReply::Accepted,
        Vote::Rejected | Vote::Abstained => SuccessorReply::Rejected(ballot_from_message(message.promised)),
    }
}
