//! What a list says of whom: last good, versions in order, and the guard over those that turn gone.
use std::collections::BTreeSet;

use crate::{logic::Balancer, units::*, wait::BEAT};

const GUARD_WINDOW: Micros = Micros::ms(10_000); // entries turning gone within this are judged together
const GUARD_FRACTION: f64 = 0.15; // above this part of the list they are frozen instead of dropped

impl Balancer {
    /// A refresh arrived. An older version, or a full list without entries, changes nothing.
    pub fn listed(&mut self, how: Refresh, version: Generation, entries: &[Entry], out: &mut dyn Outlet) {
        if self.beat_at == Micros(0) {
            self.beat_at = self.now + BEAT;
            self.alarm(self.beat_at, out);
        }
        let nobody = entries.is_empty();
        self.watch.heard(how == Refresh::Restored, nobody, self.now, self.chance.rand_float());
        if version < self.generation || (how == Refresh::Full && nobody) {
            return;
        }
        self.generation = version;
        let mut turned_gone = Vec::new();
        let (thin, grace, now) = (self.gauge.thin, self.terms.drain_grace.unwrap_or_default(), self.now);
        for entry in entries {
            // All hear of it at once: each goes at a moment of its own, while the grace lasts.
            let spread = thin && entry.standing == Standing::Draining;
            let part = if spread { 0.35 + 0.35 * self.chance.rand_float() } else { 0.0 };
            let b = self.relist(entry);
            match entry.standing {
                Standing::Ready => (b.told, b.frozen, b.dropped, b.turned) = (None, None, false, false),
                Standing::Draining if b.told.is_none() => {
                    (b.told, b.leaves) = (Some(now), now + grace.times(part));
                }
                Standing::Draining => {}
                Standing::Gone => turned_gone.push(entry.backend),
            }
        }
        if how != Refresh::Delta {
            let here: BTreeSet<BackendId> = entries.iter().map(|e| e.backend).collect();
            let all = (0..self.backends.len() as u32).map(BackendId);
            turned_gone.extend(all.filter(|id| !here.contains(id)));
        }
        self.guard(&turned_gone, out);
        self.count();
        if how == Refresh::Restored {
            // Windows begin a little over their floor.
            self.gauge.window.size = 1.33 * self.gauge.least;
            self.gauge.wide.size = self.wider() * self.gauge.window.size;
        }
    }

    /// The expiry guard: few entries turning gone leave the list, many at once are frozen on it.
    pub(crate) fn guard(&mut self, turned_gone: &[BackendId], out: &mut dyn Outlet) {
        let (now, doors) = (self.now, self.terms.doors);
        for &id in turned_gone {
            if let Some(b) = self.at(id).filter(|b| !b.dropped && b.frozen.is_none() && !(doors && b.turned))
            {
                b.turned = true;
                b.told = b.told.or((!doors).then_some(now));
                self.gone_lately.push((now, id));
            }
        }
        self.gone_lately.retain(|&(at, _)| now - at <= GUARD_WINDOW);
        let lately = self.gone_lately.clone();
        let listed = self.kept().count();
        let freeze = lately.len() as f64 > GUARD_FRACTION * listed as f64;
        for &(_, id) in &lately {
            match self.at(id).filter(|b| b.turned && !b.dropped) {
                Some(b) if freeze => b.frozen = b.frozen.or(Some(now)),
                Some(b) => b.dropped = true,
                None => {}
            }
        }
        if freeze && !turned_gone.is_empty() {
            out.note(&format!("{} of {listed} entries turned gone: removals frozen", lately.len()));
        }
    }
}
