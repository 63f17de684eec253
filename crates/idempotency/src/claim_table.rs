//! The claims of one voter: for each key the ticket that has it, and where its holder is.
use std::collections::{BTreeSet, HashMap, VecDeque};

use notchspool::units::Micros;
use notchspool_mesh_protocol::{Claim, Ticket};

/// Keys at most: what is past it is not granted.
pub const MAX_KEYS: usize = 200_000;
/// Milliseconds that a claim told by another voter may be old.
const MAX_AGE_MS: u64 = 1 << 40;

/// A claim that was granted.
#[derive(Clone, Debug, PartialEq)]
struct GrantedClaim {
    ticket: Ticket,
    holder: String,
    holder_boot_id: u64,
    granted_at: Micros,
}

/// A voter's decision on a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The ticket has the key now; this has to be on disk before it is told.
    Granted,
    /// Another ticket has it.
    HeldByOther {
        /// That ticket.
        ticket: Ticket,
        /// The proxy that claimed it.
        holder: String,
        /// That proxy's boot id.
        holder_boot_id: u64,
    },
    /// There is no room.
    Full,
}

/// All claims of one voter.
///
/// Of a key there is one claim, but where this voter installed a set and two others told it different tickets: then neither is forgotten
/// before it is taken back or its window is over, since either may have run.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<String, Vec<GrantedClaim>>,
    /// Keys by the time at which they may be forgotten, the window before it.
    expiry_queue: VecDeque<(Micros, String)>,
    /// Keys that no client can have.
    own_keys: BTreeSet<String>,
    window: Micros,
}

/// Whether a key is one of the mesh's own: those of clients are values of headers, which hold no control character.
fn is_own_key(key: &str) -> bool {
    key.starts_with(|first: char| first.is_ascii_control())
}

/// Whether two tickets are of one request, at whatever backend.
fn is_same_request(a: Ticket, b: Ticket) -> bool {
    a.boot_id == b.boot_id && a.number == b.number
}

impl ClaimTable {
    /// `window`: for how long a claim is kept at least.
    pub fn new(window: Micros) -> ClaimTable {
        ClaimTable { window, ..ClaimTable::default() }
    }

    fn of_key(&self, key: &str) -> &[GrantedClaim] {
        self.claims.get(key).map_or(&[], Vec::as_slice)
    }

    /// Decides on a claim.
    pub fn claim(&mut self, now: Micros, claim: &Claim) -> Decision {
        let ticket = claim.ticket.unwrap_or_default();
        let granted = self.of_key(&claim.key);
        // The same request at its next backend goes on: the attempt before is known not to have run.
        let stands_against = |other: &&GrantedClaim| {
            !is_same_request(other.ticket, ticket) || ticket.attempt < other.ticket.attempt
        };
        if let Some(other) = granted.iter().find(stands_against) {
            let (ticket, holder) = (other.ticket, other.holder.clone());
            return Decision::HeldByOther { ticket, holder, holder_boot_id: other.holder_boot_id };
        }
        if granted.is_empty() && self.claims.len() >= MAX_KEYS {
            return Decision::Full;
        }
        self.insert(now, claim);
        Decision::Granted
    }

    /// Inserts a claim read from a disk, or told by another voter: it stands beside what is there, and is as old as it was said to be.
    pub fn insert(&mut self, now: Micros, claim: &Claim) {
        let ticket = claim.ticket.unwrap_or_default();
        let granted_at = now - Micros::ms(claim.age_ms.min(MAX_AGE_MS) as i64);
        let (holder, holder_boot_id) = (claim.holder.clone(), claim.holder_boot_id);
        let new = GrantedClaim { ticket, holder, holder_boot_id, granted_at };
        let granted = self.claims.entry(claim.key.clone()).or_default();
        if granted.is_empty() {
            self.expiry_queue.push_back((granted_at, claim.key.clone()));
            if is_own_key(&claim.key) {
                self.own_keys.insert(claim.key.clone());
            }
        }
        match granted.iter_mut().find(|old| is_same_request(old.ticket, ticket)) {
            Some(old) if old.ticket.attempt > ticket.attempt => {
                old.granted_at = old.granted_at.max(granted_at);
            }
            Some(old) => *old = GrantedClaim { granted_at: old.granted_at.max(granted_at), ..new },
            None => granted.push(new),
        }
    }

    /// Takes a claim back: its holder knows that it has not run and never will. Whether it was there.
    pub fn withdraw(&mut self, key: &str, ticket: Ticket) -> bool {
        let Some(granted) = self.claims.get_mut(key) else { return false };
        let before = granted.len();
        let is_withdrawn = |claim: &GrantedClaim| {
            is_same_request(claim.ticket, ticket) && claim.ticket.attempt <= ticket.attempt
        };
        granted.retain(|claim| !is_withdrawn(claim));
        let was_there = granted.len() < before;
        if granted.is_empty() {
            self.remove(key);
        }
        was_there
    }

    /// Forgets what is past its window.
    pub fn tick(&mut self, now: Micros) {
        while let Some((granted_at, _)) = self.expiry_queue.front() {
            if now - *granted_at <= self.window {
                break;
            }
            let Some((_, key)) = self.expiry_queue.pop_front() else { break };
            let Some(granted) = self.claims.get_mut(&key) else { continue };
            let window = self.window;
            granted.retain(|claim| now - claim.granted_at <= window);
            match granted.iter().map(|claim| claim.granted_at).min() {
                Some(oldest) => self.expiry_queue.push_back((oldest, key)),
                None => self.remove(&key),
            }
        }
    }

    fn remove(&mut self, key: &str) {
        self.claims.remove(key);
        self.own_keys.remove(key);
    }

    /// The mesh's own keys that this holder has claimed.
    pub fn own_keys_of<'a>(&'a self, holder: &'a str) -> impl Iterator<Item = &'a str> {
        let is_held = move |key: &&String| self.of_key(key).iter().any(|claim| claim.holder == holder);
        self.own_keys.iter().filter(is_held).map(String::as_str)
    }

    /// Whether this ticket, or a later attempt of its request, has the key.
    pub fn contains(&self, key: &str, ticket: Ticket) -> bool {
        let mut granted = self.of_key(key).iter();
        granted.any(|claim| is_same_request(claim.ticket, ticket) && claim.ticket.attempt >= ticket.attempt)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The key and the ticket of each claim, in no order.
    pub fn tickets(&self) -> impl Iterator<Item = (&str, Ticket)> {
        self.granted().map(|(key, granted)| (key, granted.ticket))
    }

    fn granted(&self) -> impl Iterator<Item = (&str, &GrantedClaim)> {
        self.claims.iter().flat_map(|(key, granted)| granted.iter().map(|granted| (key.as_str(), granted)))
    }

    /// All claims with their ages, the oldest first, for a voter that installs a set.
    pub fn all(&self, now: Micros) -> Vec<Claim> {
        oldest_first(self.granted(), now)
    }

    /// The claims that another table, `known`, does not have, with their ages, the oldest first.
    pub fn all_but(&self, known: &ClaimTable, now: Micros) -> Vec<Claim> {
        oldest_first(self.granted().filter(|(key, granted)| !known.contains(key, granted.ticket)), now)
    }
}

fn oldest_first<'a>(granted: impl Iterator<Item = (&'a str, &'a GrantedClaim)>, now: Micros) -> Vec<Claim> {
    let claim = |(key, granted): (&str, &GrantedClaim)| Claim {
        id: 0,
        key: key.to_string(),
        ticket: Some(granted.ticket),
        holder: granted.holder.clone(),
        holder_boot_id: granted.holder_boot_id,
        set_number: 0,
        age_ms: ((now - granted.granted_at).0 / 1_000).max(0) as u64,
    };
    let mut claims: Vec<Claim> = granted.map(claim).collect();
    claims.sort_by_key(|claim| std::cmp::Reverse(claim.age_ms));
    claims
}
