//! The other replicas as they were heard here, and whom they say they hear.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_consensus::voter_set::{Member, VoterSet};
use notchspool_mesh_protocol::{Age, Hello, LivenessReport};

use super::connections::CONTACT_TIMEOUT;

/// Replicas that this one keeps count of.
const MAX_PEERS: usize = 64;
/// An age that is told is taken as this at most, in milliseconds.
const MAX_AGE_MS: u64 = 1 << 30;

/// Another replica.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub zone: String,
    /// The incarnation of its disk.
    pub incarnation: u64,
    /// Its loss counts against what the site tolerates: it may become a voter.
    pub counted: bool,
    /// It has said that it ends soon.
    pub leaving: bool,
    boot_id: u64,
    /// When this run of its process was first met.
    pub first_met_at: Micros,
    /// Since when it has been heard without a break.
    pub in_contact_since: Micros,
    pub last_seen_at: Micros,
    /// The set in which it votes.
    installed_set: u64,
    /// How long ago it had heard the others, and when it said so.
    reported_ages: BTreeMap<String, Micros>,
    reported_at: Micros,
}

impl Peer {
    fn new(now: Micros, hello: &Hello) -> Peer {
        Peer {
            zone: hello.zone.clone(),
            incarnation: hello.incarnation,
            counted: hello.counted,
            leaving: false,
            boot_id: hello.boot_id,
            first_met_at: now,
            in_contact_since: now,
            last_seen_at: now,
            installed_set: 0,
            reported_ages: BTreeMap::new(),
            reported_at: Micros(0),
        }
    }

    fn on_message(&mut self, now: Micros) {
        if !self.is_reached(now) {
            self.in_contact_since = now;
        }
        self.last_seen_at = now;
    }

    /// Whether it was heard lately.
    pub fn is_reached(&self, now: Micros) -> bool {
        now - self.last_seen_at < CONTACT_TIMEOUT
    }

    /// Whether it says, lately, that it has not heard `address` for `span`.
    fn misses(&self, now: Micros, address: &str, span: Micros) -> bool {
        let since_report = now - self.reported_at;
        let age = self.reported_ages.get(address);
        since_report < CONTACT_TIMEOUT && age.is_some_and(|age| *age + since_report >= span)
    }
}

/// All other replicas that are known, by address.
#[derive(Debug)]
pub(super) struct Peers {
    own_address: String,
    started_at: Micros,
    peers: BTreeMap<String, Peer>,
}

impl Peers {
    /// Nobody is known yet.
    pub fn new(own_address: &str, started_at: Micros) -> Peers {
        Peers { own_address: own_address.to_string(), started_at, peers: BTreeMap::new() }
    }

    /// What is known of the replica at this address.
    pub fn get(&self, address: &str) -> Option<&Peer> {
        self.peers.get(address)
    }

    /// All replicas that are known.
    pub fn all(&self) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter()
    }

    /// Another replica said hello on a connection to here.
    pub fn on_hello(&mut self, now: Micros, hello: &Hello) {
        let no_room = self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&hello.address);
        if hello.address == self.own_address || no_room {
            return;
        }
        match self.peers.get_mut(&hello.address) {
            Some(peer) if peer.boot_id == hello.boot_id => {
                peer.incarnation = hello.incarnation;
                peer.counted = hello.counted;
                peer.on_message(now);
            }
            _ => {
                self.peers.insert(hello.address.clone(), Peer::new(now, hello));
            }
        }
    }

    /// Anything came from this replica.
    pub fn on_message(&mut self, now: Micros, address: &str) {
        if let Some(peer) = self.peers.get_mut(address) {
            peer.on_message(now);
        }
    }

    /// It tells of itself and of whom it hears.
    pub fn on_report(&mut self, now: Micros, address: &str, report: &LivenessReport) {
        let Some(peer) = self.peers.get_mut(address) else { return };
        // What it says now outranks a hello that came late.
        peer.incarnation = report.incarnation;
        peer.leaving = report.leaving;
        peer.counted = report.counted;
        peer.installed_set = report.installed_set;
        let age = |age: &Age| (age.subject.clone(), Micros::ms(age.age_ms.min(MAX_AGE_MS) as i64));
        peer.reported_ages = report.voters.iter().take(MAX_PEERS).map(age).collect();
        peer.reported_at = now;
    }

    /// How long ago the other members of the set were heard here.
    pub fn voter_ages(&self, now: Micros, set: &VoterSet) -> Vec<Age> {
        let others = set.members.iter().filter(|member| member.address != self.own_address);
        let age = |member: &Member| Age {
            subject: member.address.clone(),
            age_ms: (self.silence(now, &member.address).0 / 1000).max(0) as u64,
        };
        others.map(age).collect()
    }

    /// When it was last heard here. Where it never was: since when this replica could have heard it.
    pub fn last_seen_at(&self, address: &str) -> Micros {
        self.peers.get(address).map_or(self.started_at, |peer| peer.last_seen_at)
    }

    fn silence(&self, now: Micros, address: &str) -> Micros {
        now - self.last_seen_at(address).max(Micros(0))
    }

    /// Whether it was heard lately; this replica itself always was.
    pub fn is_reached(&self, now: Micros, address: &str) -> bool {
        address == self.own_address || self.peers.get(address).is_some_and(|peer| peer.is_reached(now))
    }

    /// Whether a member is there with its disk, and does not leave: it could propose a change of the set.
    pub fn can_propose(&self, now: Micros, member: &Member) -> bool {
        let peer = self.peers.get(&member.address);
        peer.is_some_and(|p| p.is_reached(now) && p.incarnation == member.incarnation && !p.leaving)
    }

    /// Whether a majority of the set, this replica among them, has not heard `address` for `span`.
    pub fn majority_misses(&self, now: Micros, set: &VoterSet, address: &str, span: Micros) -> bool {
        if self.silence(now, address) < span {
            return false;
        }
        let is_other = |member: &&Member| member.address != self.own_address && member.address != address;
        let others = set.members.iter().filter(is_other);
        let agreeing = others.filter(|member| {
            self.peers.get(&member.address).is_some_and(|peer| peer.misses(now, address, span))
        });
        1 + agreeing.count() >= set.majority()
    }

    /// Whether a majority of the set has said that it votes in it.
    pub fn majority_votes_in(&self, set: &VoterSet) -> bool {
        let votes = |member: &&Member| {
            self.peers.get(&member.address).is_some_and(|peer| peer.installed_set >= set.number)
        };
        set.members.iter().filter(votes).count() >= set.majority()
    }
}
