//! The board of one prompter. It numbers what it gathers by a clock that is never behind any version it has heard of, so that the
//! numbers that an usher sees rise whichever prompter it follows. Held always:
//! - an older word on an instance changes nothing;
//! - nobody is marked as missed by a prompter that does not reach more than half of the prompters, that has itself stood still, or while another
//!   prompter hears of it;
//! - `bill(since)` and then every later change give what `bill(0)` gives.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{Bill, State, Station};

use crate::later;

/// An usher that nobody has heard for this long is missed, with its backend.
pub const MISSED: Micros = Micros::ms(3_000);
/// What is gone is told for this long, then forgotten.
pub const TOLD: Micros = Micros::ms(90_000);
/// A step of time longer than this means that this process stood still: it has heard nobody, and knows nothing.
const STILL: Micros = Micros::ms(1_000);
/// Instances on a board at most.
pub const MOST: usize = 20_000;

#[derive(Clone, Debug)]
struct Row {
    station: Station,
    /// When its usher was last heard, here or by another prompter.
    heard: Micros,
    /// The version with which it last changed.
    at: u64,
    since: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Board {
    rows: BTreeMap<String, Row>,
    version: u64,
    /// Followers that are behind this need all of it: what was forgotten can't be told.
    floor: u64,
    looked: Option<Micros>,
    /// Nobody is marked before this.
    blind_until: Micros,
}

impl Board {
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A version heard of elsewhere: the next one here is larger.
    pub fn at_least(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Its usher speaks of it. True where something changed.
    pub fn told(&mut self, now: Micros, station: Station) -> bool {
        let full = self.rows.len() >= MOST;
        match self.rows.get_mut(&station.instance) {
            Some(row) if !later(&station, &row.station) => {
                row.heard = row.heard.max(now);
                false
            }
            None if full => false,
            _ => {
                self.version += 1;
                let row = Row { heard: now, at: self.version, since: now, station };
                self.rows.insert(row.station.instance.clone(), row);
                true
            }
        }
    }

    /// The usher of this instance was heard this long ago, here or elsewhere.
    pub fn heard(&mut self, now: Micros, instance: &str, ago: Micros) {
        if let Some(row) = self.rows.get_mut(instance) {
            row.heard = row.heard.max(now - ago);
        }
    }

    /// How long ago each usher was heard here, for the other prompters.
    pub fn ages(&self, now: Micros) -> Vec<(String, Micros)> {
        let fresh = self.rows.iter().filter(|(_, r)| now - r.heard < MISSED);
        fresh.map(|(id, r)| (id.clone(), now - r.heard)).collect()
    }

    /// Marks who was not heard, where this prompter may judge. True where something changed.
    pub fn wake(&mut self, now: Micros, reaches_most: bool) -> bool {
        let step = now - self.looked.replace(now).unwrap_or(now);
        if step >= STILL || !reaches_most {
            self.blind_until = now + MISSED;
        }
        let mut changed = false;
        if now >= self.blind_until {
            for row in self.rows.values_mut() {
                let here = matches!(row.station.state(), State::Ready | State::Draining | State::Away);
                if here && now - row.heard >= MISSED {
                    self.version += 1;
                    row.station.set_state(State::Missed);
                    (row.at, row.since, changed) = (self.version, now, true);
                }
            }
        }
        let gone =
            |r: &Row| matches!(r.station.state(), State::Missed | State::Left) && now - r.since >= TOLD;
        let floor = self.rows.values().filter(|r| gone(r)).map(|r| r.at).max();
        if let Some(floor) = floor {
            self.rows.retain(|_, r| !gone(r));
            self.floor = self.floor.max(floor);
        }
        changed
    }

    /// What a follower lacks that has this version; all of it where that can't be told by changes.
    pub fn bill(&self, since: u64) -> Bill {
        let whole = since == 0 || since < self.floor || since > self.version;
        let rows = self.rows.values().filter(|r| whole || r.at > since);
        Bill { version: self.version, whole, stations: rows.map(|r| r.station.clone()).collect(), line: 0 }
    }

    /// What is known of the backend beside this usher; none that has left.
    pub fn beside(&self, usher: &str) -> Option<&Station> {
        let here = self.stations().filter(|s| s.usher == usher && s.state() != State::Left);
        here.max_by_key(|s| s.calls)
    }

    pub fn stations(&self) -> impl Iterator<Item = &Station> {
        self.rows.values().map(|r| &r.station)
    }
}
