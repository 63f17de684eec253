//! The list that an usher holds: last good, with the version that the control plane gave it. A failed refresh leaves it; older versions
//! are ignored; of one instance the later word counts, whichever prompter it came from.
use std::collections::BTreeMap;

use notchspool_mesh_protocol::{Bill, State, Station};

use crate::later;

#[derive(Clone, Debug, Default)]
pub struct Playbill {
    version: u64,
    rows: BTreeMap<String, Station>,
}

/// What a refresh changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    pub stations: Vec<Station>,
    /// On the list until now, and not on the whole one that came: nobody has heard of them lately.
    pub absent: Vec<Station>,
}

impl Playbill {
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn stations(&self) -> impl Iterator<Item = &Station> {
        self.rows.values()
    }

    pub fn get(&self, instance: &str) -> Option<&Station> {
        self.rows.get(instance)
    }

    /// None where the refresh is older than what is held.
    pub fn take(&mut self, bill: Bill) -> Option<Changes> {
        if bill.version < self.version {
            return None;
        }
        self.version = bill.version;
        let mut changes = Changes::default();
        if bill.whole {
            let here: std::collections::BTreeSet<&str> =
                bill.stations.iter().map(|s| s.instance.as_str()).collect();
            let absent = self.rows.values().filter(|s| !here.contains(s.instance.as_str()));
            changes.absent = absent.cloned().collect();
            for gone in &mut changes.absent {
                gone.set_state(if gone.state() == State::Left { State::Left } else { State::Missed });
                self.rows.remove(&gone.instance);
            }
        }
        for station in bill.stations {
            if self.rows.get(&station.instance).is_none_or(|old| later(&station, old)) {
                changes.stations.push(station.clone());
                self.rows.insert(station.instance.clone(), station);
            }
        }
        Some(changes)
    }
}
