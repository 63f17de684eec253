//! The endpoint list: the last good one stays, versions count in order, and a guard freezes mass removals.
use std::collections::BTreeSet;

use crate::{balancer::Balancer, timers::TICK_INTERVAL, units::*};

const GUARD_WINDOW: Micros = Micros::ms(10_000); // entries turning gone within this are judged together
const GUARD_FRACTION: f64 = 0.15; // above this part of the list they are frozen instead of dropped

impl Balancer {
    /// A list has come. An older version, or a full list without entries, changes nothing.
    pub fn on_list(
        &mut self,
        how: Refresh,
        version: Generation,
        entries: &[ListEntry],
        effects: &mut dyn Effects,
    ) {
        if self.next_tick == Micros(0) {
            self.next_tick = self.now + TICK_INTERVAL;
            self.schedule_wake(self.next_tick, effects);
        }
        let nobody = entries.is_empty();
        self.watch.on_list(how == Refresh::Restored, nobody, self.now, self.rng.rand_float());
        if version < self.generation || (how == Refresh::Full && nobody) {
            return;
        }
        self.generation = version;
        let mut turned_gone = Vec::new();
        let (has_few_backends, grace, now) =
            (self.stats.has_few_backends, self.policy.drain_grace.unwrap_or_default(), self.now);
        for entry in entries {
            // All balancers learn of it at once: each stops sending at a random moment within the grace.
            let spread = has_few_backends && entry.status == EndpointStatus::Draining;
            let part = if spread { 0.35 + 0.35 * self.rng.rand_float() } else { 0.0 };
            let backend = self.relist(entry);
            match entry.status {
                EndpointStatus::Ready => {
                    (backend.leaving_since, backend.frozen_since, backend.removed, backend.is_gone) =
                        (None, None, false, false);
                }
                EndpointStatus::Draining if backend.leaving_since.is_none() => {
                    (backend.leaving_since, backend.takes_part_until) = (Some(now), now + grace.times(part));
                }
                EndpointStatus::Draining => {}
                EndpointStatus::Gone => turned_gone.push(entry.backend),
            }
        }
        if how != Refresh::Delta {
            let here: BTreeSet<BackendId> = entries.iter().map(|e| e.backend).collect();
            let all = (0..self.backends.len() as u32).map(BackendId);
            turned_gone.extend(all.filter(|id| !here.contains(id)));
        }
        self.guard(&turned_gone, effects);
        self.update_statistics();
        if how == Refresh::Restored {
            // After a restart the window starts a little over its minimum.
            self.stats.window.size = 1.33 * self.stats.min_window;
            self.stats.in_quota_window.size = self.in_quota_factor() * self.stats.window.size;
        }
    }

    /// Backends that were told to drain or to be gone take nothing new from here on. For a process that takes over from another one: what it is
    /// told before its first request may have been told long ago, and the grace, which would begin with its own first look, may be over.
    /// Frozen removals stay frozen. Changes nothing where no drain grace is stated.
    pub fn expire_drain_graces(&mut self) {
        let Some(grace) = self.policy.drain_grace else { return };
        let now = self.now;
        for backend in self.backends.iter_mut().flatten() {
            if let Some(since) = &mut backend.leaving_since {
                *since = (*since).min(now - grace);
                backend.takes_part_until = now;
            }
        }
    }

    /// The mass-removal guard: few entries that turn gone leave the list, many at once are frozen on it.
    pub(crate) fn guard(&mut self, turned_gone: &[BackendId], effects: &mut dyn Effects) {
        let (now, backend_admission) = (self.now, self.policy.backend_admission);
        for &id in turned_gone {
            if let Some(backend) = self.at(id).filter(|backend| {
                !backend.removed && backend.frozen_since.is_none() && !(backend_admission && backend.is_gone)
            }) {
                backend.is_gone = true;
                backend.leaving_since = backend.leaving_since.or((!backend_admission).then_some(now));
                self.recently_gone.push((now, id));
            }
        }
        self.recently_gone.retain(|&(at, _)| now - at <= GUARD_WINDOW);
        let lately = self.recently_gone.clone();
        let listed = self.listed_backends().count();
        let freeze = lately.len() as f64 > GUARD_FRACTION * listed as f64;
        for &(_, id) in &lately {
            match self.at(id).filter(|backend| backend.is_gone && !backend.removed) {
                Some(backend) if freeze => backend.frozen_since = backend.frozen_since.or(Some(now)),
                Some(backend) => backend.removed = true,
                None => {}
            }
        }
        if freeze && !turned_gone.is_empty() {
            effects.log(&format!("{} of {listed} entries turned gone: removals frozen", lately.len()));
        }
    }
}
