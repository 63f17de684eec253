//! The table of leases.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_commands::{Epoch, InstanceId};
use oorandom::Rand64;

use crate::admit::Admission;

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long a lease lasts without a renewal.
    pub lease: Micros,
    /// More than this part of all whose leases run out within `window`: they are held, not gone.
    pub guard_part: f64,
    pub window: Micros,
    /// How long they are held.
    pub hold: Micros,
    /// Who is gone is remembered for so long.
    pub remember: Micros,
    /// Calls a second that are let in, and how many at once.
    pub rate: f64,
    pub burst: f64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            lease: Micros::ms(15_000),
            guard_part: 0.15,
            window: Micros::ms(10_000),
            hold: Micros::ms(60_000),
            remember: Micros::ms(600_000),
            rate: 200.0,
            burst: 100.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Live,
    /// Its lease ran out, with too many others: it may well be there.
    Held(Micros),
    /// Its lease ran out, or it said that it goes.
    Gone(Micros),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: String,
    pub epoch: Epoch,
    pub until: Micros,
    pub standing: Standing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// Good until then, and to be renewed after so long: a third of the lease, jittered.
    Good { until: Micros, again_in: Micros },
    /// Another life has this name now: this one is to do nothing more.
    Fenced(Epoch),
    /// Not known here: it has to register.
    Unknown,
    /// Too many at once: come back after this.
    Later(Micros),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registered {
    pub id: InstanceId,
    pub epoch: Epoch,
    pub again_in: Micros,
}

pub struct Leases {
    terms: Terms,
    chance: Rand64,
    admission: Admission,
    members: BTreeMap<InstanceId, Member>,
    by_name: BTreeMap<String, InstanceId>,
    next: u32,
    /// The last epoch given, over all names: so one that was forgotten still comes back with a larger one.
    epoch: Epoch,
    ran_out: Vec<(Micros, InstanceId)>,
    /// Held because too many ran out together.
    guarded: BTreeSet<InstanceId>,
}

impl Leases {
    /// `epoch`: the last one ever given, from the keeper's disk.
    pub fn open(terms: Terms, epoch: Epoch, seed: u64, now: Micros) -> Leases {
        Leases {
            chance: Rand64::new(seed.into()),
            admission: Admission::new(terms.rate, terms.burst, now),
            members: BTreeMap::new(),
            by_name: BTreeMap::new(),
            next: 0,
            epoch,
            ran_out: Vec::new(),
            guarded: BTreeSet::new(),
            terms,
        }
    }

    /// A member as the disk had it. The keeper was away and could hear nobody: each gets a whole lease anew.
    pub fn restore(&mut self, now: Micros, id: InstanceId, name: &str, epoch: Epoch) {
        let until = now + self.terms.lease;
        self.next = self.next.max(id.0 + 1);
        self.epoch = self.epoch.max(epoch);
        self.by_name.insert(name.to_owned(), id);
        self.members.insert(id, Member { name: name.to_owned(), epoch, until, standing: Standing::Live });
    }

    pub fn last_epoch(&self) -> Epoch {
        self.epoch
    }
    pub fn member(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(&id)
    }
    pub fn all(&self) -> impl Iterator<Item = (InstanceId, &Member)> {
        self.members.iter().map(|(id, m)| (*id, m))
    }

    fn again_in(&mut self) -> Micros {
        self.terms.lease.times(0.25 + 0.16 * self.chance.rand_float())
    }

    /// A new life of a name. An earlier one of that name is fenced off from here on.
    pub fn register(&mut self, now: Micros, name: &str) -> Result<Registered, Micros> {
        let known = self.by_name.get(name).copied();
        self.admission.admit(now, known.is_some())?;
        self.epoch = Epoch(self.epoch.0 + 1);
        let id = known.unwrap_or_else(|| {
            self.next += 1;
            InstanceId(self.next - 1)
        });
        let (epoch, until) = (self.epoch, now + self.terms.lease);
        self.by_name.insert(name.to_owned(), id);
        self.members.insert(id, Member { name: name.to_owned(), epoch, until, standing: Standing::Live });
        Ok(Registered { id, epoch, again_in: self.again_in() })
    }

    pub fn renew(&mut self, now: Micros, id: InstanceId, epoch: Epoch) -> Renewal {
        let again_in = self.again_in();
        let lease = self.terms.lease;
        let Some(member) = self.members.get_mut(&id) else { return Renewal::Unknown };
        if epoch != member.epoch {
            return Renewal::Fenced(member.epoch);
        }
        // Who was declared gone has to come as a new life: others may have acted on it.
        if matches!(member.standing, Standing::Gone(_)) {
            return Renewal::Unknown;
        }
        if let Err(wait) = self.admission.admit(now, true) {
            return Renewal::Later(wait);
        }
        (member.until, member.standing) = (now + lease, Standing::Live);
        Renewal::Good { until: member.until, again_in }
    }

    /// It says that it goes.
    pub fn leave(&mut self, now: Micros, id: InstanceId, epoch: Epoch) -> bool {
        let own = self
            .members
            .get_mut(&id)
            .filter(|m| m.epoch == epoch && !matches!(m.standing, Standing::Gone(_)));
        own.map(|m| m.standing = Standing::Gone(now)).is_some()
    }

    /// Time goes on. Tells who is now declared gone.
    pub fn pass(&mut self, now: Micros) -> Vec<InstanceId> {
        let over = |m: &Member| m.standing == Standing::Live && m.until <= now;
        let out: Vec<InstanceId> = self.members.iter().filter(|m| over(m.1)).map(|m| *m.0).collect();
        for &id in &out {
            self.ran_out.push((now, id));
            if let Some(member) = self.members.get_mut(&id) {
                member.standing = Standing::Held(now);
            }
        }
        self.ran_out.retain(|(at, _)| now - *at < self.terms.window);
        let there = self.members.values().filter(|m| !matches!(m.standing, Standing::Gone(_))).count();
        if self.ran_out.len() as f64 > self.terms.guard_part * there as f64 {
            self.guarded.extend(self.ran_out.iter().map(|r| r.1));
        }
        let members = &self.members;
        self.guarded.retain(|id| members.get(id).is_some_and(|m| matches!(m.standing, Standing::Held(_))));
        let mut gone = Vec::new();
        for (id, member) in &mut self.members {
            if let Standing::Held(since) = member.standing {
                // One alone waits for a window too, in which others may show that it is not alone.
                let waited = now - since;
                let over =
                    waited >= self.terms.hold || (waited >= self.terms.window && !self.guarded.contains(id));
                if over {
                    member.standing = Standing::Gone(now);
                    gone.push(*id);
                }
            }
        }
        self.forget(now);
        gone
    }

    fn forget(&mut self, now: Micros) {
        let remember = self.terms.remember;
        let old = |m: &Member| matches!(m.standing, Standing::Gone(at) if now - at >= remember);
        self.members.retain(|_, m| !old(m));
        let members = &self.members;
        self.by_name.retain(|_, id| members.contains_key(id));
    }
}
