//! The replicas as this proxy knows them, and the claims that are open at them. `callboy` carries the connections.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};

use notchspool_idempotency::claim_proposal::{ClaimProposal, Outcome as ClaimOutcome};
use notchspool_mesh_protocol::Payload;
use notchspool_mesh_protocol::text_transfer::TextStore;
use notchspool_runtime::frame_connection::FrameSender;
use tokio::sync::oneshot;

#[derive(Clone)]
pub struct Voter {
    pub rope: FrameSender,
    pub zone: String,
    /// The highest version that it says holds, and whether it has compared.
    pub holds: Option<(u64, bool)>,
}

/// A claim that is open.
pub struct Hand {
    pub round: ClaimProposal,
    /// To be asked anew: the set has changed, or is being changed.
    pub again: bool,
    pub done: Option<oneshot::Sender<ClaimOutcome>>,
}

/// The replicas as this proxy knows them.
pub struct Voters {
    /// Who votes, once one has told, and the number of that set; until then the seeds are asked.
    pub set: Cell<u64>,
    pub list: RefCell<Vec<String>>,
    pub open: RefCell<BTreeMap<String, Voter>>,
    pub dialed: RefCell<BTreeSet<String>>,
    pub hands: RefCell<HashMap<u64, Hand>>,
    pub followed: RefCell<Option<String>>,
    pub line: Cell<u64>,
    pub failures: Cell<u32>,
    /// The version that is waited for before somebody is asked.
    pub awaited: Cell<u64>,
    pub texts: RefCell<TextStore>,
}

/// Configurations that are held, so that the next can be told as a difference.
const TEXTS: usize = 2;

impl Default for Voters {
    fn default() -> Voters {
        Voters {
            set: Cell::default(),
            list: RefCell::default(),
            open: RefCell::default(),
            dialed: RefCell::default(),
            hands: RefCell::default(),
            followed: RefCell::default(),
            line: Cell::default(),
            failures: Cell::default(),
            awaited: Cell::default(),
            texts: RefCell::new(TextStore::new(TEXTS)),
        }
    }
}

impl Voters {
    pub fn send_all(&self, what: Payload) {
        for voter in self.open.borrow().values() {
            voter.rope.send(what.clone());
        }
    }

    /// The highest version that more than half know of; none while fewer have told and compared.
    pub fn newest(&self) -> Option<u64> {
        let (list, open) = (self.list.borrow(), self.open.borrow());
        let told: Vec<u64> =
            list.iter().filter_map(|a| open.get(a)?.holds).filter(|h| h.1).map(|h| h.0).collect();
        (!list.is_empty() && told.len() > list.len() / 2).then(|| told.into_iter().max().unwrap_or(0))
    }

    pub fn reached(&self) -> (usize, usize) {
        (self.open.borrow().len(), self.list.borrow().len())
    }
}
