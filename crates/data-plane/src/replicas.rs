//! The replicas of the control plane as this proxy knows them.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use notchspool_mesh_protocol::{KnownVersion, Payload};
use notchspool_runtime::frame_connection::FrameSender;

/// A voter in reach.
#[derive(Clone)]
pub struct Replica {
    /// The connection to it.
    pub sender: FrameSender,
    /// Its zone.
    pub zone: String,
    /// The version that it says is chosen.
    pub known_version: KnownVersion,
}

/// Who votes, and who of them is in reach.
#[derive(Default)]
pub struct Replicas {
    /// The number of the voter set; 0 until one has told it.
    set_number: Cell<u64>,
    /// Addresses of the voters, by index; empty until one has told them.
    voters: RefCell<Vec<String>>,
    reached: RefCell<BTreeMap<String, Replica>>,
    /// Replicas to which a connection is kept.
    connected_to: RefCell<BTreeSet<String>>,
}

/// How many of the voters are in reach.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    /// Voters in reach.
    pub reached: usize,
    /// All voters.
    pub voters: usize,
}

impl Replicas {
    /// The number of the voter set.
    pub fn set_number(&self) -> u64 {
        self.set_number.get()
    }

    /// Addresses of the voters.
    pub fn voters(&self) -> Vec<String> {
        self.voters.borrow().clone()
    }

    /// How many vote.
    pub fn voter_count(&self) -> usize {
        self.voters.borrow().len()
    }

    /// The address of the voter at this index.
    pub fn is_voter_at(&self, position: usize, address: &str) -> bool {
        self.voters.borrow().get(position).is_some_and(|voter| voter == address)
    }

    /// Whether a replica votes.
    pub fn is_voter(&self, address: &str) -> bool {
        self.voters.borrow().iter().any(|voter| voter == address)
    }

    /// Whether a connection to a replica is of use: it votes, or nobody knows who does.
    pub fn is_wanted(&self, address: &str) -> bool {
        self.voters.borrow().is_empty() || self.is_voter(address)
    }

    /// Another voter set is decided: those that vote no more are not in reach any more.
    pub fn set_voters(&self, set_number: u64, voters: &[String]) {
        self.set_number.set(set_number);
        self.voters.replace(voters.to_vec());
        self.reached.borrow_mut().retain(|address, _| voters.contains(address));
    }

    /// Whether a connection to this replica is kept from now on; false where one is already.
    pub fn begin_connecting(&self, address: &str) -> bool {
        self.connected_to.borrow_mut().insert(address.to_string())
    }

    /// No connection to this replica is kept any more.
    pub fn stop_connecting(&self, address: &str) {
        self.connected_to.borrow_mut().remove(address);
    }

    /// A voter is in reach.
    pub fn add(&self, address: &str, replica: Replica) {
        self.reached.borrow_mut().insert(address.to_string(), replica);
    }

    /// A replica is not in reach any more.
    pub fn remove(&self, address: &str) {
        self.reached.borrow_mut().remove(address);
    }

    /// The connection to a voter in reach.
    pub fn sender(&self, address: &str) -> Option<FrameSender> {
        self.reached.borrow().get(address).map(|replica| replica.sender.clone())
    }

    /// A voter tells the version that it knows to be chosen.
    pub fn set_known_version(&self, address: &str, known_version: KnownVersion) {
        if let Some(replica) = self.reached.borrow_mut().get_mut(address) {
            replica.known_version = known_version;
        }
    }

    /// Addresses and zones of the voters in reach.
    pub fn zones(&self) -> Vec<(String, String)> {
        let reached = self.reached.borrow();
        reached.iter().map(|(address, replica)| (address.clone(), replica.zone.clone())).collect()
    }

    /// Sends a message to all voters in reach.
    pub fn send_to_all(&self, payload: &Payload) {
        for replica in self.reached.borrow().values() {
            replica.sender.send(payload.clone());
        }
    }

    /// A voter that knows this version or a later one; one that has confirmed it rather than one that has not.
    pub fn with_version(&self, version: u64) -> Option<Replica> {
        let reached = self.reached.borrow();
        let knowing = reached.values().filter(|replica| replica.known_version.version >= version);
        knowing.max_by_key(|replica| replica.known_version.confirmed).cloned()
    }

    /// The highest version that a majority has confirmed; `None` while fewer have.
    pub fn confirmed_version(&self) -> Option<u64> {
        let (voters, reached) = (self.voters.borrow(), self.reached.borrow());
        let known = voters.iter().filter_map(|address| Some(reached.get(address)?.known_version));
        let confirmed: Vec<u64> = known.filter(|known| known.confirmed).map(|known| known.version).collect();
        let is_majority = !voters.is_empty() && confirmed.len() > voters.len() / 2;
        is_majority.then(|| confirmed.into_iter().max().unwrap_or(0))
    }

    /// How many of the voters are in reach.
    pub fn reach(&self) -> Reach {
        Reach { reached: self.reached.borrow().len(), voters: self.voter_count() }
    }
}
