//! What the replicas recall of the backend beside a proxy that has started, and what of that is believed.
//!
//! A departure (a drain or a leave) is acknowledged once a majority of the voters knows of it. So a backend is taken for ready only where a
//! majority recalls it as such: one of them would know. That it drains is believed of any one.
use std::collections::BTreeMap;

use notchspool_mesh_protocol::{Endpoint, EndpointState};

/// What each replica recalls, by its address.
#[derive(Clone, Debug, Default)]
pub struct Recollection {
    by_replica: BTreeMap<String, Endpoint>,
}

impl Recollection {
    /// A replica has told what it recalls. The endpoint that is to be believed from now on, if there is one.
    pub fn on_told(
        &mut self,
        replica: &str,
        recalled: Option<&Endpoint>,
        voters: &[String],
    ) -> Option<Endpoint> {
        let Some(endpoint) = recalled else {
            self.by_replica.remove(replica);
            return None;
        };
        if endpoint.state() == EndpointState::Draining {
            return Some(endpoint.clone());
        }
        self.by_replica.retain(|known, _| voters.contains(known));
        self.by_replica.insert(replica.to_string(), endpoint.clone());
        let agreeing = voters.iter().filter_map(|voter| self.by_replica.get(voter));
        let agreeing: Vec<&Endpoint> = agreeing.filter(|other| other.instance == endpoint.instance).collect();
        let is_majority = agreeing.len() > voters.len() / 2;
        let newest = agreeing.into_iter().max_by_key(|endpoint| endpoint.call_count);
        newest.filter(|_| is_majority).cloned()
    }
}

/// Which voters have told all that their disks have of departures beside a proxy that has started.
///
/// A departure is on the disks of a majority before it is acknowledged. So once a majority has told, one of them has told of each.
#[derive(Clone, Debug, Default)]
pub struct DepartureHistory {
    /// Whether a replica has told all, by its address.
    told: BTreeMap<String, bool>,
}

impl DepartureHistory {
    /// A replica has told the departures that it knows; `complete` where these are all that were granted by it.
    pub fn on_told(&mut self, replica: &str, complete: bool) {
        self.told.insert(replica.to_string(), complete);
    }

    /// A replica has welcomed the proxy. Departures are told before that; builds that know none tell nothing.
    pub fn on_welcome(&mut self, replica: &str) {
        self.told.entry(replica.to_string()).or_insert(true);
    }

    /// Whether a majority of these voters has told all.
    pub fn is_known(&self, voters: &[String]) -> bool {
        let telling = voters.iter().filter(|voter| self.told.get(*voter) == Some(&true)).count();
        telling > voters.len() / 2
    }
}
