//! The acceptor: what a voter promised, what it accepted, and the leases it keeps to.
//!
//! What [`Acceptor::handle`] changes has to be on disk before the response leaves. Leases begin to count after that
//! ([`Acceptor::on_response_sent`]), while the holder counts them from before it asked.
use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::{
    Ballot, ContenderId, Entries, Entry, Lease, OWNER_KEY, OwnerRecord, Parameters, Reply, Request, Response,
    Space, SpaceState, VoterId,
};

/// Spaces that a voter keeps; no fleet has nearly so many jobs.
const MAX_SPACES: usize = 64;
/// Entries of one space.
const MAX_ENTRIES: usize = 8192;

/// One space in memory; all but `lease_until` and `turn` is on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SpaceRecord {
    /// The highest ballot promised.
    pub promised: Ballot,
    /// What was accepted.
    pub entries: Entries,
    /// The lease granted with the last accepted owner record.
    pub lease: Option<Lease>,
    /// Until when the lease binds, by this voter's clock.
    lease_until: Option<Micros>,
    turn: Option<Turn>,
}

/// Who was promised last, and until when the others are put off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Turn {
    contender: ContenderId,
    until: Micros,
}

/// What has to be on disk before a response leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWrite {
    /// The highest ballot promised in a space.
    Promise(Space, Ballot),
    /// An accepted entry, by space and key.
    Entry(Space, String, Entry),
    /// The lease of a space.
    Lease(Space, Option<Lease>),
    /// The incarnation of another voter's disk, as this one was told.
    Incarnation(VoterId, u64),
}

/// All that is on a voter's disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The incarnation of this disk.
    pub incarnation: u64,
    /// Incarnations of the others' disks.
    pub known_incarnations: BTreeMap<VoterId, u64>,
    /// Every space.
    pub spaces: Vec<SpaceState>,
}

/// One voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// Which voter it is.
    pub id: VoterId,
    parameters: Parameters,
    incarnation: u64,
    known_incarnations: BTreeMap<VoterId, u64>,
    spaces: BTreeMap<Space, SpaceRecord>,
}

/// The accepting half of a request, as [`Acceptor::handle`] takes it apart.
struct AcceptRequest<'a> {
    space: &'a Space,
    ballot: Ballot,
    sequence: u64,
    changes: &'a [(String, String)],
    lease: Option<&'a Lease>,
}

impl Acceptor {
    /// Opens a voter from its disk. How long its leases still run it can't know: each counts in full from now.
    pub fn open(id: VoterId, parameters: Parameters, disk: DurableState, now: Micros) -> Acceptor {
        let record = |state: SpaceState| {
            let duration = state.lease.as_ref().map(|lease| Micros(lease.duration_us));
            let lease_until = duration.map(|duration| now + parameters.lease_at_voter(duration));
            let SpaceState { space, promised, entries, lease } = state;
            (space, SpaceRecord { promised, entries, lease, lease_until, turn: None })
        };
        let spaces = disk.spaces.into_iter().map(record).collect();
        let DurableState { incarnation, known_incarnations, .. } = disk;
        Acceptor { id, parameters, incarnation, known_incarnations, spaces }
    }

    /// The incarnation of its own disk.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The incarnations of the others' disks, as it was told.
    pub fn known_incarnations(&self) -> &BTreeMap<VoterId, u64> {
        &self.known_incarnations
    }

    /// What it keeps of a space.
    pub fn space(&self, space: &Space) -> Option<&SpaceRecord> {
        self.spaces.get(space)
    }

    /// Handles a request: the response, and what has to be on disk before it leaves.
    pub fn handle(&mut self, now: Micros, request: &Request) -> (Response, Vec<DiskWrite>) {
        let mut writes = Vec::new();
        let reply = match request {
            Request::Prepare { space, ballot } => self.prepare(now, space, *ballot, &mut writes),
            Request::Accept { space, ballot, sequence, changes, lease } => {
                let (ballot, sequence) = (*ballot, *sequence);
                let request = AcceptRequest { space, ballot, sequence, changes, lease: lease.as_ref() };
                self.accept(now, &request, &mut writes)
            }
            Request::Read { space } => {
                let record = self.spaces.get(space).cloned().unwrap_or_default();
                Reply::Current { promised: record.promised, entries: record.entries }
            }
            Request::Readmit { voter, incarnation } => self.readmit(*voter, *incarnation, &mut writes),
        };
        let known_incarnations = self.known_incarnations.clone();
        (Response { incarnation: self.incarnation, known_incarnations, reply }, writes)
    }

    /// A space to be changed; `None` where there is no room for a new one.
    fn space_mut(&mut self, space: &Space) -> Option<&mut SpaceRecord> {
        if !self.spaces.contains_key(space) && self.spaces.len() >= MAX_SPACES {
            return None;
        }
        Some(self.spaces.entry(space.clone()).or_default())
    }

    fn prepare(&mut self, now: Micros, space: &Space, ballot: Ballot, writes: &mut Vec<DiskWrite>) -> Reply {
        let contender_turn = self.parameters.contender_turn;
        let Some(record) = self.space_mut(space) else {
            return Reply::Unavailable { reason: "too many jobs".into() };
        };
        if let Some(held) = record.held_against(now, space, ballot.by) {
            return held;
        }
        if ballot == record.promised && ballot.by != ContenderId::default() {
            return Reply::Promised { entries: record.entries.clone() };
        }
        if ballot <= record.promised {
            return self.rejected(space);
        }
        record.promised = ballot;
        record.turn = Some(Turn { contender: ballot.by, until: now + contender_turn });
        writes.push(DiskWrite::Promise(space.clone(), ballot));
        Reply::Promised { entries: record.entries.clone() }
    }

    fn accept(&mut self, now: Micros, request: &AcceptRequest<'_>, writes: &mut Vec<DiskWrite>) -> Reply {
        let parameters = self.parameters;
        let (space, ballot) = (request.space, request.ballot);
        let Some(record) = self.space_mut(space) else {
            return Reply::Unavailable { reason: "too many jobs".into() };
        };
        // Guards against a late owner's write that was on its way while another took over: the promise is the fence.
        if ballot < record.promised {
            return self.rejected(space);
        }
        if record.entries.len() + request.changes.len() > MAX_ENTRIES {
            return Reply::Unavailable { reason: "too many entries".into() };
        }
        if ballot > record.promised {
            record.promised = ballot;
            writes.push(DiskWrite::Promise(space.clone(), ballot));
        }
        let any_newer = record.accept_changes(request, writes);
        if let Some(lease) = request.lease.filter(|_| any_newer) {
            let lease = (lease.duration_us > 0).then(|| lease.clone());
            let duration = lease.as_ref().map(|lease| Micros(lease.duration_us));
            record.lease_until = duration.map(|duration| now + parameters.lease_at_voter(duration));
            if record.lease != lease {
                record.lease.clone_from(&lease);
                writes.push(DiskWrite::Lease(space.clone(), lease));
            }
            record.turn = None;
        }
        Reply::Accepted
    }

    /// The response to an accepted lease has left: from here on the lease counts.
    pub fn on_response_sent(&mut self, now: Micros, request: &Request) {
        if let Request::Accept { space, ballot, lease: Some(_), .. } = request
            && let Some(record) = self.spaces.get_mut(space)
            && record.promised == *ballot
            && let Some(lease) = &record.lease
        {
            let until = now + self.parameters.lease_at_voter(Micros(lease.duration_us));
            record.lease_until = record.lease_until.map(|before| before.max(until));
        }
    }

    fn rejected(&self, space: &Space) -> Reply {
        let (Space::Owner(job) | Space::State(job)) = space;
        let promised = self.spaces.get(space).map(|record| record.promised).unwrap_or_default();
        let owner_space = self.spaces.get(&Space::Owner(job.clone()));
        let owner = owner_space
            .and_then(|record| record.entries.get(OWNER_KEY))
            .and_then(|entry| OwnerRecord::parse(&entry.value));
        Reply::Rejected { promised, owner: owner.map(|owner| owner.name).unwrap_or_default() }
    }

    fn readmit(&mut self, voter: VoterId, incarnation: u64, writes: &mut Vec<DiskWrite>) -> Reply {
        let known = self.known_incarnations.get(&voter).copied().unwrap_or_default();
        if voter == self.id || incarnation <= known {
            return Reply::StaleIncarnation { known };
        }
        // From here on nothing counts that its earlier incarnation replied, where this voter's response is counted too.
        self.known_incarnations.insert(voter, incarnation);
        writes.push(DiskWrite::Incarnation(voter, incarnation));
        let state = |(space, record): (&Space, &SpaceRecord)| SpaceState {
            space: space.clone(),
            promised: record.promised,
            entries: record.entries.clone(),
            lease: record.lease.clone(),
        };
        Reply::FullState { spaces: self.spaces.iter().map(state).collect() }
    }
}

impl SpaceRecord {
    /// The reply to a contender that has to wait for another one.
    fn held_against(&self, now: Micros, space: &Space, contender: ContenderId) -> Option<Reply> {
        let held = |holder, until: Micros| {
            let remaining_us = (until - now).0;
            Some(Reply::LeaseHeld { holder, remaining_us })
        };
        // Guards against a second owner beside one whose lease runs: whoever was accepted with a lease is left alone.
        if let (Some(lease), Some(until)) = (&self.lease, self.lease_until)
            && lease.holder != contender
            && now < until
        {
            return held(lease.holder, until);
        }
        if let Some(turn) = self.turn
            && turn.contender != contender
            && now < turn.until
            && matches!(space, Space::Owner(_))
        {
            return held(turn.contender, turn.until);
        }
        None
    }

    /// Takes over the changes that are newer than what is there; whether there were any.
    ///
    /// Guards against messages that are doubled or overtake each other: the later write under a ballot stays.
    fn accept_changes(&mut self, request: &AcceptRequest<'_>, writes: &mut Vec<DiskWrite>) -> bool {
        let mut any_newer = false;
        for (key, value) in request.changes {
            let (ballot, sequence) = (request.ballot, request.sequence);
            let entry = Entry { ballot, sequence, value: value.clone() };
            if self.entries.get(key).is_some_and(|old| !entry.is_newer_than(old)) {
                continue;
            }
            any_newer = true;
            self.entries.insert(key.clone(), entry.clone());
            writes.push(DiskWrite::Entry(request.space.clone(), key.clone(), entry));
        }
        any_newer
    }
}
