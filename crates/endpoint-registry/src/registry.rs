//! The endpoints as one control-plane replica gathers them.
//!
//! It numbers them by a version that is never behind any version it has heard of, so that the numbers that a proxy sees rise whichever
//! replica it follows. Invariants:
//! - an older report on an instance changes nothing;
//! - an instance that was reported as draining is draining until it has left;
//! - nobody is marked as missing by a replica that does not reach a majority of the replicas, that has itself stood still, or while another
//!   replica hears of it;
//! - [`Registry::update_since`] and then every later change give what an update since version 0 gives.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{Endpoint, EndpointState, EndpointUpdate};

use crate::supersedes;

/// A proxy that nobody has heard for this long is missing, with its backend.
pub const MISSING_AFTER: Micros = Micros::ms(3_000);
/// One that drains and whose proxy nobody has heard for this long has left.
const DRAIN_ENDS_AFTER: Micros = Micros::ms(90_000);
/// An endpoint that is gone is told for this long, then forgotten.
pub const FORGET_AFTER: Micros = Micros::ms(90_000);
/// A step of time longer than this means that this process stood still: it has heard nobody, and knows nothing.
const STALL: Micros = Micros::ms(1_000);
/// Instances in a registry at most.
pub const MAX_INSTANCES: usize = 20_000;

#[derive(Clone, Debug)]
struct Registration {
    endpoint: Endpoint,
    /// When the endpoint was reported as it is here, but for a mark of this replica.
    reported_at: Micros,
    /// When its proxy was heard last, here or by another replica.
    last_seen_at: Micros,
    /// The version with which it changed last.
    version: u64,
    changed_at: Micros,
}

impl Registration {
    /// The endpoint as it is to be told now: a warm-up is counted from the message that tells it.
    fn endpoint_at(&self, now: Micros) -> Endpoint {
        let age_ms = ((now - self.reported_at).0 / 1000).clamp(0, i64::from(u32::MAX)) as u32;
        let warmup_ms = self.endpoint.warmup_ms.saturating_sub(age_ms);
        Endpoint { warmup_ms, ..self.endpoint.clone() }
    }

    fn is_forgettable(&self, now: Micros) -> bool {
        let is_gone = matches!(self.endpoint.state(), EndpointState::Missing | EndpointState::Left);
        is_gone && now - self.changed_at >= FORGET_AFTER
    }

    /// What becomes of it by the silence of its proxy, if anything. One that drains is not marked as missing: it gets nothing new anyway, and
    /// the mark would hide that it drains.
    fn state_by_silence(&self, now: Micros) -> Option<EndpointState> {
        let silence = now - self.last_seen_at;
        match self.endpoint.state() {
            EndpointState::Ready | EndpointState::Away => {
                (silence >= MISSING_AFTER).then_some(EndpointState::Missing)
            }
            EndpointState::Draining => (silence >= DRAIN_ENDS_AFTER).then_some(EndpointState::Left),
            EndpointState::Missing | EndpointState::Left | EndpointState::Unknown => None,
        }
    }
}

/// All endpoints that a replica knows of.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    registrations: BTreeMap<String, Registration>,
    version: u64,
    /// Followers that are behind this need a complete update: what was forgotten can't be told.
    complete_below: u64,
    last_tick: Option<Micros>,
    /// Nobody is marked before this.
    blind_until: Micros,
}

impl Registry {
    /// The version of what is known now.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A version heard of elsewhere: the next one here is larger.
    pub fn advance_to(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// A proxy reports its backend. Whether anything has changed.
    pub fn report(&mut self, now: Micros, endpoint: Endpoint) -> bool {
        let is_full = self.registrations.len() >= MAX_INSTANCES;
        match self.registrations.get_mut(&endpoint.instance) {
            Some(known) if !supersedes(&endpoint, &known.endpoint) => {
                known.last_seen_at = known.last_seen_at.max(now);
                false
            }
            None if is_full => false,
            _ => {
                self.version += 1;
                let instance = endpoint.instance.clone();
                let version = self.version;
                let registration =
                    Registration { endpoint, reported_at: now, last_seen_at: now, version, changed_at: now };
                self.registrations.insert(instance, registration);
                true
            }
        }
    }

    /// The proxy of this instance was heard this long ago, here or elsewhere.
    pub fn refresh(&mut self, now: Micros, instance: &str, age: Micros) {
        if let Some(known) = self.registrations.get_mut(instance) {
            known.last_seen_at = known.last_seen_at.max(now - age);
        }
    }

    /// How long ago the proxy of each instance was heard, for the other replicas; without those that are missing.
    pub fn ages(&self, now: Micros) -> Vec<(String, Micros)> {
        let ages = self.registrations.iter().map(|(id, known)| (id.clone(), now - known.last_seen_at));
        ages.filter(|(_, age)| *age < MISSING_AFTER).collect()
    }

    /// Marks those that were not heard, where this replica may judge, and forgets those that are gone. Whether anybody was marked.
    pub fn tick(&mut self, now: Micros, reaches_majority: bool) -> bool {
        let step = now - self.last_tick.replace(now).unwrap_or(now);
        if step >= STALL || !reaches_majority {
            self.blind_until = now + MISSING_AFTER;
        }
        let changed = now >= self.blind_until && self.mark_silent(now);
        self.forget_gone(now);
        changed
    }

    fn mark_silent(&mut self, now: Micros) -> bool {
        let mut changed = false;
        for known in self.registrations.values_mut() {
            let Some(state) = known.state_by_silence(now) else { continue };
            self.version += 1;
            known.endpoint.set_state(state);
            known.version = self.version;
            known.changed_at = now;
            changed = true;
        }
        changed
    }

    fn forget_gone(&mut self, now: Micros) {
        let gone = self.registrations.values().filter(|known| known.is_forgettable(now));
        if let Some(newest) = gone.map(|known| known.version).max() {
            self.registrations.retain(|_, known| !known.is_forgettable(now));
            self.complete_below = self.complete_below.max(newest);
        }
    }

    /// What a follower lacks that has this version; all of it where that can't be told by changes.
    pub fn update_since(&self, now: Micros, since: u64) -> EndpointUpdate {
        let complete = since == 0 || since < self.complete_below || since > self.version;
        let changed_since = self.registrations.values().filter(|known| complete || known.version > since);
        let endpoints = changed_since.map(|known| known.endpoint_at(now)).collect();
        EndpointUpdate { version: self.version, complete, endpoints, numbered_by: 0 }
    }

    /// What is known of the backend beside this proxy: of several instances, the one that the proxy reported last; none that has left.
    pub fn endpoint_beside(&self, now: Micros, proxy: &str) -> Option<Endpoint> {
        let here = self
            .registrations
            .values()
            .filter(|known| known.endpoint.proxy == proxy && known.endpoint.state() != EndpointState::Left);
        let last = here.max_by_key(|known| (known.last_seen_at, known.endpoint.call_count))?;
        Some(last.endpoint_at(now))
    }

    /// All endpoints, by instance.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.registrations.values().map(|known| &known.endpoint)
    }
}
