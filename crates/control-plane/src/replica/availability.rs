//! Why a replica does not serve, for the log: a replica that waits for others, or for its disk, would say nothing otherwise.
use notchspool::units::Micros;

use super::Replica;
use super::effect::WriteId;
use super::voting::VotingState;

/// An impediment of this age is logged; shorter ones belong to every start.
const LOG_AFTER: Micros = Micros::ms(1_000);
/// One that stays is logged again after this.
const LOG_INTERVAL: Micros = Micros::ms(5_000);

/// What keeps a replica from voting or from reaching a majority.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Impediment {
    /// The disk has not written a batch for long.
    #[display("the disk has not written batch {_0}")]
    DiskSilent(WriteId),
    /// Nobody has told who votes.
    #[display("nobody has told who votes")]
    NoSetKnown,
    /// The successor of the set that it votes in is accepted here, and not known to be decided.
    #[display("sealed for set {_0}, whose decision is not known")]
    Sealed(u64),
    /// It has a seat in a set that it has not installed.
    #[display("installs set {set}: {states} of {needed} states, {seal}")]
    Installing {
        /// The set's number.
        set: u64,
        /// States of voters of the set before that are here.
        states: usize,
        /// How many are needed where none has installed the set.
        needed: usize,
        /// Where its own state of the set before stands.
        seal: Seal,
    },
    /// The set is installed in memory, and not on the disk.
    #[display("set {_0} is on its way to the disk")]
    Persisting(u64),
    /// A majority of the voters is not in reach.
    #[display("reaches {reached} of {voters} voters")]
    NoMajority {
        /// Voters in reach, itself included.
        reached: usize,
        /// All voters.
        voters: usize,
    },
}

/// Where a replica's state of the set before stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Seal {
    /// It has none: it was no voter then, or its disk is new.
    #[display("none of its own")]
    None,
    /// It is sealed, and that is not on the disk yet.
    #[display("its own not on the disk")]
    Unsynced,
    /// It is sealed on the disk.
    #[display("its own on the disk")]
    OnDisk,
}

/// Since when a replica does not serve.
#[derive(Debug, Default)]
pub(super) struct Availability {
    impeded_since: Option<Micros>,
    logged_at: Option<Micros>,
    /// The batch that has been waiting longest for the disk, and since when it is the one.
    oldest_write: Option<(WriteId, Micros)>,
}

impl Availability {
    /// Since when the disk is silent: the age of the batch that waits longest.
    fn observe_writes(&mut self, now: Micros, oldest: Option<WriteId>) -> Option<WriteId> {
        match (self.oldest_write, oldest) {
            (Some((known, since)), Some(oldest)) if known == oldest => {
                (now - since >= LOG_AFTER).then_some(oldest)
            }
            (_, oldest) => {
                self.oldest_write = oldest.map(|id| (id, now));
                None
            }
        }
    }

    /// What is to be logged, now that `impediment` is what keeps the replica from serving.
    fn observe(&mut self, now: Micros, impediment: Option<&Impediment>) -> Option<String> {
        let Some(impediment) = impediment else {
            let since = self.impeded_since.take()?;
            self.logged_at.take()?;
            return Some(format!("serves again after {} ms", (now - since).0 / 1_000));
        };
        let since = *self.impeded_since.get_or_insert(now);
        let is_due = self.logged_at.is_none_or(|logged_at| now - logged_at >= LOG_INTERVAL);
        if now - since < LOG_AFTER || !is_due {
            return None;
        }
        self.logged_at = Some(now);
        Some(format!("does not serve for {} ms: {impediment}", (now - since).0 / 1_000))
    }
}

impl Replica {
    /// Logs what has kept this replica from serving for long, and that it serves again.
    pub(super) fn tick_availability(&mut self, now: Micros) {
        let silent_write = self.availability.observe_writes(now, self.writes.oldest());
        let impediment = silent_write.map(Impediment::DiskSilent).or_else(|| self.impediment(now));
        if let Some(line) = self.availability.observe(now, impediment.as_ref()) {
            self.outbox.log(line);
        }
    }

    /// What keeps this replica from voting or from reaching a majority, by what it knows.
    pub fn impediment(&self, now: Micros) -> Option<Impediment> {
        let set = &self.membership.set;
        let sealed_for = self.membership.register.accepted.as_ref().map(|(_, next)| next.number);
        match &self.voting {
            VotingState::Unknown => return Some(Impediment::NoSetKnown),
            VotingState::Installing => return Some(self.installing()),
            VotingState::Persisting(_) => return Some(Impediment::Persisting(set.number)),
            VotingState::Voting(_) if sealed_for.is_some() => return sealed_for.map(Impediment::Sealed),
            VotingState::Voting(_) | VotingState::Spare => {}
        }
        let (reached, voters) = (self.reached_voters(now), set.members.len());
        (reached < set.majority()).then_some(Impediment::NoMajority { reached, voters })
    }

    fn installing(&self) -> Impediment {
        let needed = self.membership.previous.as_ref().map_or(0, |previous| previous.majority());
        let seal = match self.transfer.sealed() {
            None => Seal::None,
            Some(sealed) if sealed.is_on_disk => Seal::OnDisk,
            Some(_) => Seal::Unsynced,
        };
        let states = self.transfer.state_count();
        Impediment::Installing { set: self.membership.set.number, states, needed, seal }
    }
}
