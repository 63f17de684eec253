//! The keeper's book of orders.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;

use crate::{Act, Epoch, InstanceId, Outcome, Revision, Subject};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    pub author: String,
    pub act: Act,
    /// By when it is to be applied, from the keeper's start of time, in microseconds.
    pub deadline: i64,
}

/// Where an order stands at one instance. Nothing leaves the table without one of these.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Not yet told.
    Queued,
    /// Told in this life of the instance, and nothing heard yet.
    Told(Epoch),
    /// Told, and contact was lost before anything was heard: it may have been applied.
    Unknown(Epoch),
    /// The instance said so itself.
    Applied(Epoch),
    Refused(String),
    /// By deadline; whether it was told before that, and whether it was said to be applied after it.
    Failed {
        told: bool,
        late: Option<Epoch>,
    },
    /// By a later order on the same subject.
    Overtaken(Revision),
}

impl State {
    pub fn is_final(&self) -> bool {
        matches!(self, State::Applied(_) | State::Refused(_) | State::Failed { .. } | State::Overtaken(_))
    }
}

/// Why an order was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotTaken {
    /// No instance is meant.
    Nobody,
    /// It was given on condition of a revision that is no longer the last one there.
    Moved(BTreeMap<InstanceId, Revision>),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Book {
    last: Revision,
    orders: BTreeMap<Revision, Order>,
    pairs: BTreeMap<(InstanceId, Subject), BTreeMap<Revision, State>>,
}

impl Book {
    /// Takes an order. Once the caller has written the book down it may be acknowledged, and not before. `on`: only if this
    /// is the last revision on that subject at all who are meant.
    pub fn take(
        &mut self,
        order: Order,
        whom: &BTreeSet<InstanceId>,
        on: Option<Revision>,
    ) -> Result<Revision, NotTaken> {
        if whom.is_empty() {
            return Err(NotTaken::Nobody);
        }
        let subject = order.act.subject();
        if let Some(on) = on {
            let last = |id: &InstanceId| (*id, self.last_on(*id, subject));
            let moved: BTreeMap<InstanceId, Revision> = whom.iter().map(last).filter(|l| l.1 != on).collect();
            if !moved.is_empty() {
                return Err(NotTaken::Moved(moved));
            }
        }
        let revision = Revision(self.last.0 + 1);
        self.last = revision;
        self.orders.insert(revision, order);
        for &id in whom {
            let pairs = self.pairs.entry((id, subject)).or_default();
            // What is not at its end is overtaken, and stays so, whatever is said of it later.
            pairs.values_mut().filter(|s| !s.is_final()).for_each(|s| *s = State::Overtaken(revision));
            pairs.insert(revision, State::Queued);
        }
        Ok(revision)
    }

    /// An order as the disk had it, with where it stood. `last`: the last revision ever given, which may be a forgotten one's.
    pub fn restore(
        &mut self,
        last: Revision,
        revision: Revision,
        order: Order,
        states: Vec<(InstanceId, State)>,
    ) {
        self.last = self.last.max(last).max(revision);
        let subject = order.act.subject();
        self.orders.insert(revision, order);
        for (id, state) in states {
            self.pairs.entry((id, subject)).or_default().insert(revision, state);
        }
    }
    pub fn last(&self) -> Revision {
        self.last
    }
    /// All orders there are, the oldest first.
    pub fn revisions(&self) -> impl Iterator<Item = Revision> {
        self.orders.keys().copied()
    }
    /// The last order on a subject at an instance, and where it stands.
    pub fn stands(&self, id: InstanceId, subject: Subject) -> Option<(Revision, &State)> {
        self.pairs.get(&(id, subject))?.iter().next_back().map(|(r, s)| (*r, s))
    }

    fn last_on(&self, id: InstanceId, subject: Subject) -> Revision {
        let last = self.pairs.get(&(id, subject)).and_then(|p| p.keys().next_back());
        last.copied().unwrap_or_default()
    }

    pub fn order(&self, revision: Revision) -> Option<&Order> {
        self.orders.get(&revision)
    }
    pub fn state(&self, id: InstanceId, revision: Revision) -> Option<&State> {
        let subject = self.orders.get(&revision)?.act.subject();
        self.pairs.get(&(id, subject))?.get(&revision)
    }
    /// Every pair of an order.
    pub fn states(&self, revision: Revision) -> Vec<(InstanceId, State)> {
        let Some(subject) = self.orders.get(&revision).map(|o| o.act.subject()) else { return Vec::new() };
        let pairs = self.pairs.iter().filter(|((_, s), _)| *s == subject);
        pairs.filter_map(|((id, _), p)| Some((*id, p.get(&revision)?.clone()))).collect()
    }

    /// What an instance in this life has to hear: the last order on each subject that is not at its end, and what was
    /// applied in an earlier life and faded with it. The sum, not the history.
    pub fn to_tell(&self, id: InstanceId, epoch: Epoch) -> Vec<(Revision, Act)> {
        let subjects = [Subject::Service, Subject::Terms, Subject::Life];
        let last = subjects.iter().filter_map(|s| self.pairs.get(&(id, *s))?.iter().next_back());
        let due = |(revision, state): (&Revision, &State)| {
            let act = self.orders.get(revision)?.act;
            let tell = match state {
                State::Queued | State::Told(_) | State::Unknown(_) => true,
                State::Applied(then) => act.fades() && *then < epoch,
                _ => false,
            };
            tell.then_some((*revision, act))
        };
        last.filter_map(due).collect()
    }

    fn state_mut(&mut self, id: InstanceId, revision: Revision) -> Option<&mut State> {
        let subject = self.orders.get(&revision)?.act.subject();
        self.pairs.get_mut(&(id, subject))?.get_mut(&revision)
    }

    /// It was sent to an instance.
    pub fn told(&mut self, id: InstanceId, epoch: Epoch, revision: Revision) {
        if let Some(state) = self.state_mut(id, revision)
            && matches!(state, State::Queued | State::Told(_) | State::Unknown(_))
        {
            *state = State::Told(epoch);
        }
    }

    /// An instance said what it did. `now_in`: the life that it is in; what an earlier one says is fenced off. True
    /// where it counted.
    pub fn said(
        &mut self,
        id: InstanceId,
        epoch: Epoch,
        now_in: Epoch,
        revision: Revision,
        outcome: &Outcome,
    ) -> bool {
        if epoch != now_in {
            return false;
        }
        let Some(state) = self.state_mut(id, revision) else { return false };
        match (&*state, outcome) {
            (State::Queued | State::Told(_) | State::Unknown(_), Outcome::Done) => {
                *state = State::Applied(epoch);
            }
            (State::Queued | State::Told(_) | State::Unknown(_), Outcome::Refused(why)) => {
                *state = State::Refused(why.clone());
            }
            // Done again, in a new life.
            (State::Applied(_), Outcome::Done) => *state = State::Applied(epoch),
            (State::Failed { told, late: None }, Outcome::Done) => {
                *state = State::Failed { told: *told, late: Some(epoch) }
            }
            _ => return false,
        }
        true
    }

    /// Contact with an instance was lost, or it began a new life.
    pub fn lost(&mut self, id: InstanceId) {
        for ((_, _), pairs) in self.pairs.iter_mut().filter(|((of, _), _)| *of == id) {
            for state in pairs.values_mut() {
                if let State::Told(epoch) = *state {
                    *state = State::Unknown(epoch);
                }
            }
        }
    }

    /// Time goes on: what is not at its end by its deadline has failed.
    pub fn pass(&mut self, now: Micros) {
        for pairs in self.pairs.values_mut() {
            for (revision, state) in pairs.iter_mut() {
                let over = self.orders.get(revision).is_some_and(|o| o.deadline <= now.0);
                if over && !state.is_final() {
                    *state = State::Failed { told: *state != State::Queued, late: None };
                }
            }
        }
    }

    /// An order's time is over by then, if that is sooner than was known.
    pub fn due(&mut self, revision: Revision, deadline: i64) {
        if let Some(order) = self.orders.get_mut(&revision) {
            order.deadline = order.deadline.min(deadline);
        }
    }

    /// An instance is known no more: nothing is said of it from here on.
    pub fn dropped(&mut self, id: InstanceId) {
        self.pairs.retain(|(of, _), _| *of != id);
    }

    /// Forgets orders that are at their end everywhere, were followed by another on the same subject everywhere, and are
    /// older than the last `keep`.
    pub fn forget(&mut self, keep: usize) {
        let old: Vec<Revision> = self.orders.keys().rev().skip(keep).copied().collect();
        for revision in old {
            let Some(subject) = self.orders.get(&revision).map(|o| o.act.subject()) else { continue };
            let here = |p: &BTreeMap<Revision, State>| {
                p.get(&revision).is_some_and(|s| !s.is_final() || p.keys().next_back() == Some(&revision))
            };
            if self.pairs.iter().any(|((_, s), p)| *s == subject && here(p)) {
                continue;
            }
            self.orders.remove(&revision);
            self.pairs.values_mut().for_each(|p| drop(p.remove(&revision)));
        }
    }
    pub fn len(&self) -> usize {
        self.orders.len()
    }
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}
