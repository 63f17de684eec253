//! A voter: what it promised, what it accepted, which leases it keeps to. What `hear` changes has to be on disk before the answer
//! leaves; leases begin to count after that, as the asker counts them from before it asked.
use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::{
    Answer, Ask, Ballot, ContenderId, Entries, Entry, Lease, OWNER, Owned, Said, Space, Terms, VoterId, Whole,
};

/// One space as a voter has it; all but `held` and `turn` is on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Kept {
    pub promised: Ballot,
    pub entries: Entries,
    pub lease: Option<Lease>,
    /// Until when the lease binds, by this voter's clock.
    held: Option<Micros>,
    /// Who was promised last, and till when the others are put off.
    turn: Option<(ContenderId, Micros)>,
}

/// What has to be on disk before an answer leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    Promise(Space, Ballot),
    Entry(Space, String, Entry),
    Lease(Space, Option<Lease>),
    /// The life of another voter, as this one was told.
    Life(VoterId, u64),
}

/// All that is on a voter's disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Disk {
    pub life: u64,
    pub lives: BTreeMap<VoterId, u64>,
    pub spaces: Vec<Whole>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    pub id: VoterId,
    terms: Terms,
    life: u64,
    lives: BTreeMap<VoterId, u64>,
    spaces: BTreeMap<Space, Kept>,
}

/// Spaces that a voter keeps; no fleet has nearly so many jobs.
const MOST_SPACES: usize = 64;
/// Entries of one space.
const MOST_ENTRIES: usize = 8192;

impl Voter {
    /// From its disk. How long its leases still run it can't know: each counts whole from now.
    pub fn open(id: VoterId, terms: Terms, disk: Disk, now: Micros) -> Voter {
        let mut spaces = BTreeMap::new();
        for (space, promised, entries, lease) in disk.spaces {
            let held = lease.as_ref().map(|l| now + terms.kept(Micros(l.span_us)));
            spaces.insert(space, Kept { promised, entries, lease, held, turn: None });
        }
        Voter { id, terms, life: disk.life, lives: disk.lives, spaces }
    }

    /// The life of its own disk, and those of the others as it was told.
    pub fn lives(&self) -> (u64, &BTreeMap<VoterId, u64>) {
        (self.life, &self.lives)
    }

    pub fn kept(&self, space: &Space) -> Option<&Kept> {
        self.spaces.get(space)
    }

    fn answer(&self, said: Said) -> Answer {
        Answer { life: self.life, lives: self.lives.clone(), said }
    }

    /// The answer, and what has to be on disk before it leaves.
    pub fn hear(&mut self, now: Micros, ask: &Ask) -> (Answer, Vec<Write>) {
        let mut writes = Vec::new();
        let said = match ask {
            Ask::Prepare { space, ballot } => self.prepare(now, space, *ballot, &mut writes),
            Ask::Accept { space, ballot, nth, changes, lease } => {
                self.accept(now, space, (*ballot, *nth), changes, lease.as_ref(), &mut writes)
            }
            Ask::Look { space } => {
                let kept = self.spaces.get(space).cloned().unwrap_or_default();
                Said::Seen { promised: kept.promised, entries: kept.entries }
            }
            Ask::Readmit { voter, life } => self.readmit(*voter, *life, &mut writes),
        };
        (self.answer(said), writes)
    }

    fn prepare(&mut self, now: Micros, space: &Space, ballot: Ballot, writes: &mut Vec<Write>) -> Said {
        if !self.spaces.contains_key(space) && self.spaces.len() >= MOST_SPACES {
            return Said::NoVote { why: "too many jobs".into() };
        }
        let (terms, kept) = (self.terms, self.spaces.entry(space.clone()).or_default());
        // Guards against a second owner beside one whose lease runs: whoever was accepted with a lease is left alone.
        if let (Some(lease), Some(until)) = (&kept.lease, kept.held)
            && lease.by != ballot.by
            && now < until
        {
            return Said::Held { by: lease.by, left_us: (until - now).0 };
        }
        if let Some((by, until)) = kept.turn
            && by != ballot.by
            && now < until
            && matches!(space, Space::Owner(_))
        {
            return Said::Held { by, left_us: (until - now).0 };
        }
        if ballot == kept.promised && !ballot.by.eq(&ContenderId::default()) {
            return Said::Promised { entries: kept.entries.clone() };
        }
        if ballot <= kept.promised {
            return self.refused(space);
        }
        kept.promised = ballot;
        kept.turn = Some((ballot.by, now + terms.turn));
        writes.push(Write::Promise(space.clone(), ballot));
        Said::Promised { entries: kept.entries.clone() }
    }

    fn accept(
        &mut self,
        now: Micros,
        space: &Space,
        (ballot, nth): (Ballot, u64),
        changes: &[(String, String)],
        lease: Option<&Lease>,
        writes: &mut Vec<Write>,
    ) -> Said {
        if !self.spaces.contains_key(space) && self.spaces.len() >= MOST_SPACES {
            return Said::NoVote { why: "too many jobs".into() };
        }
        let (terms, kept) = (self.terms, self.spaces.entry(space.clone()).or_default());
        // Guards against a late owner's write that was on its way while another took over: the promise is the fence.
        if ballot < kept.promised {
            return self.refused(space);
        }
        if kept.entries.len() + changes.len() > MOST_ENTRIES {
            return Said::NoVote { why: "too many entries".into() };
        }
        if ballot > kept.promised {
            kept.promised = ballot;
            writes.push(Write::Promise(space.clone(), ballot));
        }
        let mut newest = false;
        for (key, value) in changes {
            // Guards against messages that are doubled or overtake each other: the later write under a ballot stays.
            if kept.entries.get(key).is_some_and(|old| (old.at, old.nth) >= (ballot, nth)) {
                continue;
            }
            newest = true;
            let entry = Entry { at: ballot, nth, value: value.clone() };
            kept.entries.insert(key.clone(), entry.clone());
            writes.push(Write::Entry(space.clone(), key.clone(), entry));
        }
        if let Some(lease) = lease.filter(|_| newest) {
            let lease = (lease.span_us > 0).then(|| lease.clone());
            kept.held = lease.as_ref().map(|l| now + terms.kept(Micros(l.span_us)));
            if kept.lease != lease {
                kept.lease.clone_from(&lease);
                writes.push(Write::Lease(space.clone(), lease));
            }
            kept.turn = None;
        }
        Said::Accepted
    }

    /// The answer to an accepted lease has left: from here on it counts.
    pub fn answered(&mut self, now: Micros, ask: &Ask) {
        if let Ask::Accept { space, ballot, lease: Some(_), .. } = ask
            && let Some(kept) = self.spaces.get_mut(space)
            && kept.promised == *ballot
            && let Some(lease) = &kept.lease
        {
            kept.held = kept.held.map(|until| until.max(now + self.terms.kept(Micros(lease.span_us))));
        }
    }

    fn refused(&self, space: &Space) -> Said {
        let (Space::Owner(job) | Space::State(job)) = space;
        let promised = self.spaces.get(space).map(|k| k.promised).unwrap_or_default();
        let owner = self.spaces.get(&Space::Owner(job.clone())).and_then(|k| k.entries.get(OWNER));
        let owner = owner.and_then(|e| Owned::read(&e.value)).map(|o| o.name).unwrap_or_default();
        Said::Refused { promised, owner }
    }

    fn readmit(&mut self, voter: VoterId, life: u64, writes: &mut Vec<Write>) -> Said {
        let known = self.lives.get(&voter).copied().unwrap_or_default();
        if voter == self.id || life <= known {
            return Said::OldLife { known };
        }
        // From here on nothing counts that its earlier life said, where this voter's word is counted too.
        self.lives.insert(voter, life);
        writes.push(Write::Life(voter, life));
        let all = self.spaces.iter();
        Said::All {
            spaces: all.map(|(s, k)| (s.clone(), k.promised, k.entries.clone(), k.lease.clone())).collect(),
        }
    }
}
