//! The table of leases, and the guard over many that expire together.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_commands::{Epoch, InstanceId};
use oorandom::Rand64;

use crate::admission::Admission;

/// How long leases last, and when expiries are held back.
#[derive(Clone, Copy, Debug)]
pub struct LeasePolicy {
    /// How long a lease lasts without a renewal.
    pub duration: Micros,
    /// When more than this fraction of all leases expire within `guard_window`, they are held instead of being gone.
    pub guard_fraction: f64,
    /// See [`LeasePolicy::guard_fraction`].
    pub guard_window: Micros,
    /// For how long they are held.
    pub guard_hold: Micros,
    /// For how long one that is gone is remembered.
    pub retention: Micros,
    /// Calls a second that are admitted.
    pub rate: f64,
    /// Calls that are admitted at once.
    pub burst: f64,
}

impl Default for LeasePolicy {
    fn default() -> LeasePolicy {
        LeasePolicy {
            duration: Micros::ms(15_000),
            guard_fraction: 0.15,
            guard_window: Micros::ms(10_000),
            guard_hold: Micros::ms(60_000),
            retention: Micros::ms(600_000),
            rate: 200.0,
            burst: 100.0,
        }
    }
}

/// Where an instance's lease stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// It runs.
    Live,
    /// It expired at this time, and is held for now: the instance may well be there.
    Held(Micros),
    /// It expired for good, or the instance said that it leaves, at this time.
    Gone(Micros),
}

/// An instance and its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its present epoch.
    pub epoch: Epoch,
    /// When the lease expires.
    pub until: Micros,
    /// Where the lease stands.
    pub state: LeaseState,
}

/// What a renewal came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The lease runs again.
    Renewed {
        /// When it expires.
        until: Micros,
        /// When to renew it next: after a third of its duration, jittered.
        renew_in: Micros,
    },
    /// This later epoch has the name now: the caller must do nothing more.
    Fenced(Epoch),
    /// It is not known here and has to register.
    Unknown,
    /// Too many calls at once: try again after this.
    RetryAfter(Micros),
}

/// A lease that was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The number of the name.
    pub id: InstanceId,
    /// The epoch that begins.
    pub epoch: Epoch,
    /// When to renew the lease.
    pub renew_in: Micros,
}

/// All leases. The caller hands in the time.
pub struct LeaseTable {
    policy: LeasePolicy,
    rng: Rand64,
    admission: Admission,
    members: BTreeMap<InstanceId, Member>,
    by_name: BTreeMap<String, InstanceId>,
    next: u32,
    /// The last epoch given, over all names, so that a name that was forgotten comes back with a larger one.
    epoch: Epoch,
    expired: Vec<(Micros, InstanceId)>,
    /// Held because too many expired together.
    guarded: BTreeSet<InstanceId>,
}

impl LeaseTable {
    /// An empty table. `epoch`: the last one ever given, from the controller's disk.
    pub fn new(policy: LeasePolicy, epoch: Epoch, seed: u64, now: Micros) -> LeaseTable {
        LeaseTable {
            rng: Rand64::new(seed.into()),
            admission: Admission::new(policy.rate, policy.burst, now),
            members: BTreeMap::new(),
            by_name: BTreeMap::new(),
            next: 0,
            epoch,
            expired: Vec::new(),
            guarded: BTreeSet::new(),
            policy,
        }
    }

    /// Restores a member from the disk. The controller was away and could hear nobody: each gets a new lease.
    pub fn restore(&mut self, now: Micros, id: InstanceId, name: &str, epoch: Epoch) {
        let until = now + self.policy.duration;
        self.next = self.next.max(id.0 + 1);
        self.epoch = self.epoch.max(epoch);
        self.by_name.insert(name.to_owned(), id);
        self.members.insert(id, Member { name: name.to_owned(), epoch, until, state: LeaseState::Live });
    }

    /// The last epoch given.
    pub fn last_epoch(&self) -> Epoch {
        self.epoch
    }
    /// The member with this number.
    pub fn member(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(&id)
    }
    /// All members, those that are gone and remembered included.
    pub fn members(&self) -> impl Iterator<Item = (InstanceId, &Member)> {
        self.members.iter().map(|(id, m)| (*id, m))
    }

    fn renew_in(&mut self) -> Micros {
        self.policy.duration.times(0.25 + 0.16 * self.rng.rand_float())
    }

    /// Begins a new epoch of a name, and fences off the earlier one.
    ///
    /// # Errors
    ///
    /// Too many calls at once: the time to wait.
    pub fn register(&mut self, now: Micros, name: &str) -> Result<Registration, Micros> {
        let known = self.by_name.get(name).copied();
        self.admission.admit(now, known.is_some())?;
        self.epoch = Epoch(self.epoch.0 + 1);
        let id = known.unwrap_or_else(|| {
            self.next += 1;
            InstanceId(self.next - 1)
        });
        let (epoch, until) = (self.epoch, now + self.policy.duration);
        self.by_name.insert(name.to_owned(), id);
        self.members.insert(id, Member { name: name.to_owned(), epoch, until, state: LeaseState::Live });
        Ok(Registration { id, epoch, renew_in: self.renew_in() })
    }

    /// Renews a lease.
    pub fn renew(&mut self, now: Micros, id: InstanceId, epoch: Epoch) -> Renewal {
        let renew_in = self.renew_in();
        let lease = self.policy.duration;
        let Some(member) = self.members.get_mut(&id) else { return Renewal::Unknown };
        if epoch != member.epoch {
            return Renewal::Fenced(member.epoch);
        }
        // Others may have acted on its being gone: it has to register anew.
        if matches!(member.state, LeaseState::Gone(_)) {
            return Renewal::Unknown;
        }
        if let Err(wait) = self.admission.admit(now, true) {
            return Renewal::RetryAfter(wait);
        }
        (member.until, member.state) = (now + lease, LeaseState::Live);
        Renewal::Renewed { until: member.until, renew_in }
    }

    /// The instance says that it leaves; returns whether it was there in that epoch.
    pub fn leave(&mut self, now: Micros, id: InstanceId, epoch: Epoch) -> bool {
        let own =
            self.members.get_mut(&id).filter(|m| m.epoch == epoch && !matches!(m.state, LeaseState::Gone(_)));
        own.map(|m| m.state = LeaseState::Gone(now)).is_some()
    }

    /// Time has passed. Returns who is gone from now on.
    pub fn tick(&mut self, now: Micros) -> Vec<InstanceId> {
        let over = |m: &Member| m.state == LeaseState::Live && m.until <= now;
        let out: Vec<InstanceId> = self.members.iter().filter(|m| over(m.1)).map(|m| *m.0).collect();
        for &id in &out {
            self.expired.push((now, id));
            if let Some(member) = self.members.get_mut(&id) {
                member.state = LeaseState::Held(now);
            }
        }
        self.expired.retain(|(at, _)| now - *at < self.policy.guard_window);
        let there = self.members.values().filter(|m| !matches!(m.state, LeaseState::Gone(_))).count();
        if self.expired.len() as f64 > self.policy.guard_fraction * there as f64 {
            self.guarded.extend(self.expired.iter().map(|r| r.1));
        }
        let members = &self.members;
        self.guarded.retain(|id| members.get(id).is_some_and(|m| matches!(m.state, LeaseState::Held(_))));
        let mut gone = Vec::new();
        for (id, member) in &mut self.members {
            if let LeaseState::Held(since) = member.state {
                // A single one waits for a window too, in which others may expire.
                let waited = now - since;
                let over = waited >= self.policy.guard_hold
                    || (waited >= self.policy.guard_window && !self.guarded.contains(id));
                if over {
                    member.state = LeaseState::Gone(now);
                    gone.push(*id);
                }
            }
        }
        self.forget(now);
        gone
    }

    fn forget(&mut self, now: Micros) {
        let retention = self.policy.retention;
        let old = |m: &Member| matches!(m.state, LeaseState::Gone(at) if now - at >= retention);
        self.members.retain(|_, m| !old(m));
        let members = &self.members;
        self.by_name.retain(|_, id| members.contains_key(id));
    }
}
