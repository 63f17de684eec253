//! Which voter set this replica would have in the place of the present one, and why. Decisions alone, by what it hears.
//!
//! Nothing here moves a seat while nobody is there to take it. A suspicion never changes what was decided: it moves a seat at the worst,
//! since the next set begins with all that a sealed majority of this one had.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_consensus::voter_set::{MAX_MEMBERS, Member, VoterSet};
use notchspool_runtime::node_settings::Tolerance;

use super::membership::RetiredIncarnations;
use super::peers::{Peer, Peers};

/// A member that said it ends is gone after this without a sign of it.
const LEAVER_TIMEOUT: Micros = Micros::ms(1_500);
/// A member that a majority has not heard for this long loses its seat to a machine that is there.
const MEMBER_TIMEOUT: Micros = Micros::ms(6_000);
/// The same where that machine was started after the member fell silent: it is likely its successor.
const REPLACED_MEMBER_TIMEOUT: Micros = Micros::ms(2_500);
/// A member that comes with an empty disk waits for so long for those that are not there yet: after a loss of power they may come with empty
/// disks too, and each change of the set stops all votes until a majority has installed it.
const EMPTY_DISKS_GATHER_FOR: Micros = Micros::ms(300);
/// A machine without a seat has been in reach for so long before it counts on.
const STEADY_AFTER: Micros = Micros::ms(1_000);

/// A set that this replica would have, and why.
pub(super) struct WantedSet {
    pub members: Vec<Member>,
    pub reason: String,
    /// To be proposed only after it was wanted for this long.
    pub delay: Micros,
}

/// All that the decision goes by.
pub(super) struct Succession<'a> {
    pub now: Micros,
    pub own_address: &'a str,
    pub own_zone: &'a str,
    pub tolerate: Tolerance,
    pub set: &'a VoterSet,
    pub retired: &'a RetiredIncarnations,
    pub peers: &'a Peers,
}

/// Whether the loss of any one zone leaves a majority.
fn survives_zone_loss(members: &[Member]) -> bool {
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for member in members {
        *zones.entry(&member.zone).or_default() += 1;
    }
    zones.values().all(|lost| members.len() - lost > members.len() / 2)
}

impl Succession<'_> {
    /// The set that this replica would have in the place of the present one; `None` where that is good.
    pub fn wanted(&self) -> Option<WantedSet> {
        let members: Vec<Member> =
            self.set.members.iter().map(|member| self.with_known_zone(member)).collect();
        if let Some(wanted) = self.with_new_incarnations(&members) {
            return Some(wanted);
        }
        let spares = self.spares();
        if let Some((members, reason)) = self.with_replacement(&members, &spares) {
            let delay = Micros(0);
            return self.keeps_majority(&members).then_some(WantedSet { members, reason, delay });
        }
        self.grown(members, spares.into_iter().filter(|spare| self.is_steady(spare)).collect())
    }

    fn with_known_zone(&self, member: &Member) -> Member {
        let zone = match self.peers.get(&member.address) {
            Some(peer) => &peer.zone,
            None if member.address == self.own_address => self.own_zone,
            None => &member.zone,
        };
        Member { zone: zone.to_string(), ..member.clone() }
    }

    /// A machine that comes with an empty disk: that is its own proof that the old one is lost.
    fn with_new_incarnations(&self, members: &[Member]) -> Option<WantedSet> {
        let mut renewed = members.to_vec();
        let mut reasons = Vec::new();
        for member in &mut renewed {
            if let Some(peer) = self.peers.get(&member.address).filter(|peer| peer.is_reached(self.now))
                && peer.incarnation != member.incarnation
                && !self.retired.contains(&member.address, peer.incarnation)
            {
                reasons.push(format!("{} comes with an empty disk", member.address));
                member.incarnation = peer.incarnation;
            }
        }
        if reasons.is_empty() {
            return None;
        }
        let is_here = |member: &Member| {
            member.address == self.own_address || self.peers.is_reached(self.now, &member.address)
        };
        let delay = if members.iter().all(is_here) { Micros(0) } else { EMPTY_DISKS_GATHER_FOR };
        Some(WantedSet { members: renewed, reason: reasons.join(", "), delay })
    }

    /// Machines that could take a seat.
    fn spares(&self) -> Vec<Member> {
        let is_spare = |(address, peer): &(&String, &Peer)| {
            let is_usable = peer.counted && !peer.leaving && peer.is_reached(self.now);
            is_usable && self.set.position(address).is_none()
        };
        let member = |(address, peer): (&String, &Peer)| Member {
            address: address.clone(),
            incarnation: peer.incarnation,
            zone: peer.zone.clone(),
        };
        self.peers.all().filter(is_spare).map(member).collect()
    }

    fn is_steady(&self, spare: &Member) -> bool {
        self.peers.get(&spare.address).is_some_and(|peer| self.now - peer.in_contact_since >= STEADY_AFTER)
    }

    /// The members with one seat moved to a spare, and why; the first seat that may move.
    fn with_replacement(&self, members: &[Member], spares: &[Member]) -> Option<(Vec<Member>, String)> {
        for (position, member) in members.iter().enumerate() {
            if member.address == self.own_address {
                continue;
            }
            if let Some((spare, reason)) = self.replacement_of(member, members, spares) {
                let reason = format!("{} takes the seat of {}: {reason}", spare.address, member.address);
                let mut next = members.to_vec();
                next[position] = spare.clone();
                return Some((next, reason));
            }
        }
        None
    }

    /// Who is to take a member's seat, and why.
    fn replacement_of<'s>(
        &self,
        member: &Member,
        members: &[Member],
        spares: &'s [Member],
    ) -> Option<(&'s Member, &'static str)> {
        let peer = self.peers.get(&member.address);
        // One of the same zone first, then one of a zone with few members.
        let preference = |spare: &&Member| {
            let in_zone = members.iter().filter(|member| member.zone == spare.zone).count();
            (spare.zone != member.zone, in_zone, spare.address.clone())
        };
        let missed_for = |span| self.peers.majority_misses(self.now, self.set, &member.address, span);
        if peer.is_some_and(|peer| peer.leaving) && missed_for(LEAVER_TIMEOUT) {
            let spare = spares.iter().min_by_key(preference)?;
            return Some((spare, "it said that it ends, and is gone"));
        }
        if missed_for(MEMBER_TIMEOUT) {
            return Some((spares.iter().min_by_key(preference)?, "a majority has not heard it"));
        }
        if missed_for(REPLACED_MEMBER_TIMEOUT) {
            let started_since = |spare: &&Member| {
                let last_seen_at = self.peers.last_seen_at(&member.address);
                self.peers.get(&spare.address).is_some_and(|peer| peer.first_met_at > last_seen_at)
            };
            let spare = spares.iter().filter(started_since).min_by_key(preference)?;
            return Some((spare, "a majority has not heard it, and another was started since"));
        }
        if peer.is_some_and(|peer| !peer.counted && peer.is_reached(self.now)) {
            let spare = spares.iter().filter(|spare| self.is_steady(spare)).min_by_key(preference)?;
            return Some((spare, "it does not count any more"));
        }
        None
    }

    /// Whether a majority of these members is in reach: nothing is proposed that leaves less.
    fn keeps_majority(&self, members: &[Member]) -> bool {
        let reached = members.iter().filter(|member| self.peers.is_reached(self.now, &member.address));
        reached.count() > members.len() / 2
    }

    /// With more members, up to `2f + 1` of them, or as many as survive the loss of a zone; an odd number.
    fn grown(&self, members: Vec<Member>, mut spares: Vec<Member>) -> Option<WantedSet> {
        let grows_for_zones = self.tolerate.zones > 0 && !survives_zone_loss(&members);
        let least = (2 * self.tolerate.machines + 1).min(MAX_MEMBERS);
        if members.len() >= least && !(grows_for_zones && members.len() + 2 <= MAX_MEMBERS) {
            return None;
        }
        let mut next = members;
        let added = if next.len().is_multiple_of(2) { 1 } else { 2 };
        for _ in 0..added {
            let in_zone = |spare: &Member| next.iter().filter(|member| member.zone == spare.zone).count();
            let preference = |index: &usize| (in_zone(&spares[*index]), spares[*index].address.clone());
            let index = (0..spares.len()).min_by_key(preference)?;
            next.push(spares.remove(index));
        }
        // Machines that change nothing for the loss of a zone stay without a seat.
        if next.len() > least && !survives_zone_loss(&next) {
            return None;
        }
        next.sort();
        let reason = match self.set.members.len() {
            present if present < least => format!("{present} voters, {least} are wanted"),
            present => format!("{present} voters do not bear the loss of a zone"),
        };
        self.keeps_majority(&next).then_some(WantedSet { members: next, reason, delay: STEADY_AFTER })
    }
}
