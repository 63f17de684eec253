//! Who votes: the first set, how it is changed by agreement, who is replaced and after which suspicion, and how a set is learnt.
//!
//! Nothing here moves a seat while nobody is there to take it. A suspicion never decides what was decided: it moves a seat at the worst,
//! since the next set begins with all that a sealed majority of this one had.
use super::*;
use notchspool_consensus::reconfiguration::{Progress, Reconfiguration, SuccessorRequest};
use notchspool_consensus::voter_set::{MAX_MEMBERS, Member, SuccessorReply, VoterSet};

/// A member that said it ends is gone after this without a sign of it.
const LEFT: Micros = Micros::ms(1_500);
/// A member that a majority has not heard for this long loses its seat to a machine that is there.
const SILENT: Micros = Micros::ms(6_000);
/// The same where that machine was started after the member fell silent: it is likely its successor.
const SUCCEEDED: Micros = Micros::ms(2_500);
/// A machine without a seat has been in reach for so long before it counts on.
const STEADY: Micros = Micros::ms(1_000);
/// Members propose one after the other by their places, so that seldom two do at once.
const RANK: Micros = Micros::ms(120);
/// One that is sealed and hears nothing of the outcome takes the change up again after this, and as much again by chance.
const SEALED: Micros = Micros::ms(150);
/// A change that finds no majority before anybody can be sealed by it is given up after this.
const GIVEN_UP: Micros = Micros::ms(1_000);
/// Machines that serve control, as far as this one keeps count of them.
const MOST_CORES: usize = 64;
/// Incarnations of one machine that are remembered as over.
const MOST_RETIRED: usize = 16;

/// A prompter as it was heard here.
#[derive(Clone, Debug)]
pub(super) struct Core {
    zone: String,
    incarnation: u64,
    counted: bool,
    leaving: bool,
    /// Its process, by its life, when that was first met, and since when it has been heard without a break.
    life: u64,
    started: Micros,
    since: Micros,
    /// The set in which it votes.
    installed: u64,
    pub(super) heard: Micros,
    /// How long ago it had heard the others, and when it said so.
    told: BTreeMap<String, Micros>,
    told_at: Micros,
}

/// A set that this member would have, and why.
pub(super) struct Wish {
    pub members: Vec<Member>,
    pub why: String,
    pub wait: Micros,
}

pub(super) fn to_wire(set: &VoterSet) -> cues::Set {
    let member = |m: &Member| cues::Member {
        address: m.address.clone(),
        incarnation: m.incarnation,
        zone: m.zone.clone(),
    };
    cues::Set { number: set.number, members: set.members.iter().map(member).collect() }
}

/// None where it can't be a set.
pub(super) fn from_wire(set: cues::Set) -> Option<VoterSet> {
    let member = |m: cues::Member| Member { address: m.address, incarnation: m.incarnation, zone: m.zone };
    let set = VoterSet { number: set.number, members: set.members.into_iter().map(member).collect() };
    set.is_valid().then_some(set)
}

impl Office {
    // ---- What is known of the other prompters -------------------------------------------------------------

    /// Another prompter said hello on a connection to here.
    pub(super) fn met(&mut self, now: Micros, hello: &cues::Hello) {
        if hello.address == self.own
            || (self.cores.len() >= MOST_CORES && !self.cores.contains_key(&hello.address))
        {
            return;
        }
        let new = Core {
            zone: hello.zone.clone(),
            incarnation: hello.incarnation,
            counted: hello.counted,
            leaving: false,
            life: hello.life,
            started: now,
            installed: 0,
            since: now,
            heard: now,
            told: BTreeMap::new(),
            told_at: Micros(0),
        };
        match self.cores.get_mut(&hello.address) {
            Some(core) if core.life == hello.life => {
                (core.incarnation, core.counted) = (hello.incarnation, hello.counted);
                core.hear(now);
            }
            _ => drop(self.cores.insert(hello.address.clone(), new)),
        }
    }

    /// Whether a majority of the set said that it votes in it.
    pub(super) fn others_voting(&self) -> bool {
        let votes = |m: &&Member| self.cores.get(&m.address).is_some_and(|c| c.installed >= self.set.number);
        self.set.members.iter().filter(votes).count() >= self.set.majority()
    }

    /// Anything came from this prompter.
    pub(super) fn heard_of(&mut self, now: Micros, address: &str) {
        if let Some(core) = self.cores.get_mut(address) {
            core.hear(now);
        }
    }

    /// It tells of itself and of whom it hears.
    pub(super) fn told_of(&mut self, now: Micros, address: &str, heard: &cues::Heard) {
        let Some(core) = self.cores.get_mut(address) else { return };
        // What it says now outranks a hello that came late.
        core.incarnation = heard.incarnation;
        (core.leaving, core.counted, core.installed) = (heard.leaving, heard.counted, heard.installed);
        let voters = heard.voters.iter().take(MOST_CORES);
        core.told = voters.map(|a| (a.instance.clone(), Micros::ms(a.ms.min(1 << 30) as i64))).collect();
        core.told_at = now;
    }

    /// How long ago the members were heard here.
    pub(super) fn ages_of_voters(&self, now: Micros) -> Vec<Age> {
        let others = self.set.members.iter().filter(|m| m.address != self.own);
        others
            .map(|m| Age {
                instance: m.address.clone(),
                ms: (self.silence(now, &m.address).0 / 1000).max(0) as u64,
            })
            .collect()
    }

    /// For how long nothing has come from it here. Where it never did: since this one could have heard it.
    fn silence(&self, now: Micros, address: &str) -> Micros {
        let heard = self.cores.get(address).map_or(self.began_at, |c| c.heard);
        now - heard.max(Micros(0))
    }

    fn reachable(&self, now: Micros, address: &str) -> bool {
        address == self.own || self.cores.get(address).is_some_and(|c| now - c.heard < REACH)
    }

    /// A member that stands before this one and is there with its disk.
    fn could_propose(&self, now: Micros, member: &Member) -> bool {
        self.cores
            .get(&member.address)
            .is_some_and(|c| now - c.heard < REACH && c.incarnation == member.incarnation && !c.leaving)
    }

    /// Whether a majority of the set, this one among them, has not heard it for so long.
    fn missed(&self, now: Micros, address: &str, span: Micros) -> bool {
        if self.silence(now, address) < span {
            return false;
        }
        let others = self.set.members.iter().filter(|m| m.address != self.own && m.address != address);
        let agree = others.filter(|m| {
            self.cores.get(&m.address).is_some_and(|c| {
                now - c.told_at < REACH
                    && c.told.get(address).is_some_and(|age| age.0 + (now - c.told_at).0 >= span.0)
            })
        });
        1 + agree.count() >= self.set.majority()
    }

    // ---- What is wished -------------------------------------------------------------------------------------

    /// Machines that could take a seat, those of zones with few members first.
    fn spares(&self, now: Micros) -> Vec<Member> {
        let free = self.cores.iter().filter(|(address, core)| {
            core.counted && !core.leaving && now - core.heard < REACH && self.set.position(address).is_none()
        });
        free.map(|(address, core)| Member {
            address: address.clone(),
            incarnation: core.incarnation,
            zone: core.zone.clone(),
        })
        .collect()
    }

    fn zoned(&self, member: &Member) -> Member {
        let zone = match self.cores.get(&member.address) {
            Some(core) => core.zone.clone(),
            None if member.address == self.own => self.zone.clone(),
            None => member.zone.clone(),
        };
        Member { zone, ..member.clone() }
    }

    /// Whether the loss of any one zone leaves a majority.
    fn bears_a_zone(members: &[Member]) -> bool {
        let mut zones = BTreeMap::<&str, usize>::new();
        members.iter().for_each(|m| *zones.entry(&m.zone).or_default() += 1);
        zones.values().all(|lost| members.len() - lost > members.len() / 2)
    }

    /// The set that this member would have in the place of this one.
    pub(super) fn wish(&self, now: Micros) -> Option<Wish> {
        let members: Vec<Member> = self.set.members.iter().map(|m| self.zoned(m)).collect();
        // A machine that lost its disk: that is its own proof.
        let mut renewed = members.clone();
        let mut why = Vec::new();
        for member in &mut renewed {
            if let Some(core) = self.cores.get(&member.address).filter(|c| now - c.heard < REACH)
                && core.incarnation != member.incarnation
                && !self.is_retired(&member.address, core.incarnation)
            {
                why.push(format!("{} comes with an empty disk", member.address));
                member.incarnation = core.incarnation;
            }
        }
        if !why.is_empty() {
            return Some(Wish { members: renewed, why: why.join(", "), wait: Micros(0) });
        }
        let spares = self.spares(now);
        let steady = |spare: &Member| self.cores.get(&spare.address).is_some_and(|c| now - c.since >= STEADY);
        let in_zone = |zone: &str| members.iter().filter(|m| m.zone == zone).count();
        for (at, member) in members.iter().enumerate() {
            if member.address == self.own {
                continue;
            }
            let core = self.cores.get(&member.address);
            let by_zone = |s: &&Member| (s.zone != member.zone, in_zone(&s.zone), s.address.clone());
            let newer = |s: &Member| {
                let heard = core.map_or(self.began_at, |c| c.heard);
                self.cores.get(&s.address).is_some_and(|c| c.started > heard)
            };
            let (spare, why) = if core.is_some_and(|c| c.leaving) && self.missed(now, &member.address, LEFT) {
                (spares.iter().min_by_key(by_zone), "it said that it ends, and is gone")
            } else if self.missed(now, &member.address, SILENT) {
                (spares.iter().min_by_key(by_zone), "a majority has not heard it")
            } else if self.missed(now, &member.address, SUCCEEDED) {
                let heirs = spares.iter().filter(|s| newer(s));
                (heirs.min_by_key(by_zone), "a majority has not heard it, and another was started since")
            } else if core.is_some_and(|c| !c.counted && now - c.heard < REACH) {
                let steady = spares.iter().filter(|s| steady(s));
                (steady.min_by_key(by_zone), "it does not count any more")
            } else {
                (None, "")
            };
            if let Some(spare) = spare {
                let why = format!("{} takes the seat of {}: {why}", spare.address, member.address);
                let mut next = members.clone();
                next[at] = spare.clone();
                return self.keeps_majority(now, &next).then_some(Wish {
                    members: next,
                    why,
                    wait: Micros(0),
                });
            }
        }
        self.growth(now, members, spares.into_iter().filter(steady).collect())
    }

    /// Nothing is done that leaves less than a majority of the new set in reach.
    fn keeps_majority(&self, now: Micros, members: &[Member]) -> bool {
        members.iter().filter(|m| self.reachable(now, &m.address)).count() > members.len() / 2
    }

    /// Up to `2f + 1` members, or as many as bear the loss of a zone; odd.
    fn growth(&self, now: Micros, members: Vec<Member>, mut spares: Vec<Member>) -> Option<Wish> {
        let zones = self.tolerate.zones > 0 && !Office::bears_a_zone(&members);
        let least = (2 * self.tolerate.machines + 1).min(MAX_MEMBERS);
        if members.len() >= least && !(zones && members.len() + 2 <= MAX_MEMBERS) {
            return None;
        }
        let mut next = members;
        let add = if next.len().is_multiple_of(2) { 1 } else { 2 };
        for _ in 0..add {
            let zone = |s: &Member| next.iter().filter(|m| m.zone == s.zone).count();
            let at = (0..spares.len()).min_by_key(|at| (zone(&spares[*at]), spares[*at].address.clone()))?;
            next.push(spares.remove(at));
        }
        // Machines that change nothing for the loss of a zone stay without a seat.
        if next.len() > least && !Office::bears_a_zone(&next) {
            return None;
        }
        next.sort();
        let why = match self.set.members.len() {
            now if now < least => format!("{now} voters, {least} are wanted"),
            now => format!("{now} voters do not bear the loss of a zone"),
        };
        self.keeps_majority(now, &next).then_some(Wish { members: next, why, wait: STEADY })
    }

    /// Looks whether a change is to be begun, or taken up again.
    pub(super) fn mind_the_set(&mut self, now: Micros, acts: &mut Vec<Act>) {
        if !self.seated() || self.change.is_some() {
            return;
        }
        if let Some((_, next)) = &self.register.accepted {
            // Sealed, and nothing heard of the outcome.
            if self.sealed_at.is_none_or(|at| at <= now) {
                let next = next.clone();
                self.propose(now, next, acts);
            }
            return;
        }
        if self.leaving.is_some() {
            return;
        }
        let Some(wish) = self.wish(now) else {
            self.wished_at = None;
            return;
        };
        let since = *self.wished_at.get_or_insert(now);
        let before = self.set.members.iter().take_while(|m| m.address != self.own);
        let rank = before.filter(|m| self.could_propose(now, m)).count();
        if now - since < wish.wait + RANK.times(rank as f64) || !self.reaches_most(now) {
            return;
        }
        let next = VoterSet::new(self.set.number + 1, wish.members);
        if self.proposed != next.number {
            self.proposed = next.number;
            acts.push(Act::Log(format!("members: propose set {}: {}", next.number, wish.why)));
        }
        self.propose(now, next, acts);
    }

    fn propose(&mut self, now: Micros, next: VoterSet, acts: &mut Vec<Act>) {
        let above = self.register.promised.round;
        let (change, ask) = Reconfiguration::new(now, self.set.clone(), next, ContenderId(self.life), above);
        self.change = Some(change);
        self.ask_change(now, ask, acts);
    }

    fn ask_change(&mut self, now: Micros, ask: SuccessorRequest, acts: &mut Vec<Act>) {
        let change = cues::Change {
            set: self.set.number,
            ballot: seats::told(ask.ballot),
            next: ask.next.as_ref().map(to_wire),
        };
        for place in ask.positions {
            if Some(place) == self.own_place() {
                self.asked_change(now, None, change.clone(), acts);
            } else if let Some((conn, _)) = self.peers.get(&place) {
                acts.push(Act::Send(*conn, What::Change(change.clone())));
            }
        }
    }

    /// Asked to promise, or to accept and be sealed. On the disk before it is answered.
    pub(super) fn asked_change(
        &mut self,
        now: Micros,
        conn: Option<Conn>,
        ask: cues::Change,
        acts: &mut Vec<Act>,
    ) {
        let fits = self.seated() && ask.set == self.set.number;
        let Some(place) = self.own_place().filter(|_| fits) else {
            if let Some(conn) = conn {
                self.other_set(conn, ask.set, acts);
            }
            return;
        };
        let ballot = seats::ballot(ask.ballot);
        let (reply, changed) = match ask.next {
            None => self.register.prepare(ballot),
            Some(next) => {
                let Some(next) = from_wire(next) else { return };
                let was = self.register.is_sealed();
                let answer = self.register.accept(&self.set, ballot, &next);
                if self.register.is_sealed() {
                    self.sealed_at = Some(now + SEALED.times(1.0 + self.chance.rand_float()));
                    if !was {
                        acts.push(Act::Log(format!("members: sealed for set {}", next.number)));
                    }
                }
                answer
            }
        };
        let said = changed_wire(self.set.number, place, ballot, reply);
        if changed || self.register_owed {
            self.register_owed = true;
            self.save_seat(Pending::Changed(conn, Box::new(said)), acts);
        } else {
            self.answer_change(now, conn, said, acts);
        }
    }

    pub(super) fn answer_change(
        &mut self,
        now: Micros,
        conn: Option<Conn>,
        said: cues::Changed,
        acts: &mut Vec<Act>,
    ) {
        match conn {
            Some(conn) => acts.push(Act::Send(conn, What::Changed(said))),
            None => self.changed(now, said, acts),
        }
    }

    /// A voter's reply.
    pub(super) fn changed(&mut self, now: Micros, said: cues::Changed, acts: &mut Vec<Act>) {
        let jitter = self.chance.rand_float();
        let Some(change) = self.change.as_mut().filter(|c| c.set().number == said.set) else { return };
        let next = said.next.and_then(from_wire);
        let reply = match said.vote {
            1 => SuccessorReply::Promised(next.map(|set| (seats::ballot(said.under), set))),
            2 => SuccessorReply::Accepted,
            _ => SuccessorReply::Rejected(seats::ballot(said.promised)),
        };
        let Progress { request: ask, decided } =
            change.on_reply(now, said.voter as usize, seats::ballot(said.ballot), reply, jitter);
        if let Some(ask) = ask {
            self.ask_change(now, ask, acts);
        }
        if let Some(set) = decided {
            let previous = self.set.clone();
            self.learn(now, set, Some(previous), acts);
        }
    }

    /// Time has passed for a change that is carried through here.
    pub(super) fn wake_change(&mut self, now: Micros, acts: &mut Vec<Act>) {
        if let Some(change) = &mut self.change {
            if change.is_revocable() && !self.register.is_sealed() && now - change.started_at >= GIVEN_UP {
                self.change = None;
                self.wished_at = None;
            } else if let Some(ask) = change.tick(now) {
                self.ask_change(now, ask, acts);
            }
        }
        self.mind_the_set(now, acts);
    }

    // ---- What is decided ------------------------------------------------------------------------------------

    /// Somebody speaks under another set: whoever knows less is told.
    pub(super) fn other_set(&mut self, conn: Conn, number: u64, acts: &mut Vec<Act>) {
        self.counts.other_sets += 1;
        if number < self.set.number {
            acts.push(Act::Send(conn, self.welcome(None)));
        }
    }

    /// The first start of all: every seed knows the first set by itself.
    pub(super) fn found(&mut self, now: Micros, seeds: &[String], acts: &mut Vec<Act>) {
        let set = VoterSet::first(seeds);
        if !set.is_valid() {
            return;
        }
        acts.push(Act::Log("members: first start of all".into()));
        if set.position(&self.own).is_some() {
            self.incarnation = 0;
        }
        self.adopt(now, set, None, acts);
        if let Some(own) = self.own_place() {
            let voter = Acceptor::open(VoterId(own as u16), self.terms, DurableState::default(), now);
            self.state = State::Settling(Box::new(voter));
            self.save_seat(Pending::Installed(self.set.number), acts);
        }
    }

    /// A decided set, told by another or carried through here. Older ones are known.
    pub(super) fn learn(
        &mut self,
        now: Micros,
        set: VoterSet,
        previous: Option<VoterSet>,
        acts: &mut Vec<Act>,
    ) {
        if set.number == self.set.number && self.previous.is_none() {
            self.previous = previous.filter(|p| p.number + 1 == set.number);
            return;
        }
        if set.number <= self.set.number || !set.is_valid() {
            return;
        }
        // What this one voted in is over. Where it is the set just before, others may need what it has, and it is sealed first.
        let before = std::mem::replace(&mut self.state, State::Unknown);
        self.frozen = None;
        if let State::Seated(voter) = before
            && self.set.number + 1 == set.number
        {
            let new = self.register.seal(&set);
            let on_disk = !new && !self.register_owed;
            self.frozen =
                Some(Frozen { set: self.set.clone(), voter, seat: self.seat(), on_disk, saving: false });
            self.save_frozen(acts);
        }
        self.adopt(now, set, previous, acts);
        self.take_place(now, acts);
        let guests: Vec<Conn> = self.guests.keys().copied().collect();
        guests.into_iter().for_each(|conn| acts.push(Act::Send(conn, self.welcome(None))));
    }

    /// Incarnations that the set has replaced: what was heard of them, or still is on its way, never brings them back.
    fn retire(&mut self, old: &VoterSet) {
        let before = old.members.iter().chain(self.previous.iter().flat_map(|p| &p.members));
        for member in before {
            let now = self.set.position(&member.address).map(|at| self.set.members[at].incarnation);
            if now.is_some_and(|n| n != member.incarnation) {
                let retired = self.retired.entry(member.address.clone()).or_default();
                if !retired.contains(&member.incarnation) {
                    retired.push_back(member.incarnation);
                }
                if retired.len() > MOST_RETIRED {
                    retired.pop_front();
                }
            }
        }
        self.retired.retain(|address, _| self.set.position(address).is_some());
    }

    fn is_retired(&self, address: &str, incarnation: u64) -> bool {
        self.retired.get(address).is_some_and(|r| r.contains(&incarnation))
    }

    /// From here on this set is the one that is known.
    pub(super) fn adopt(
        &mut self,
        now: Micros,
        set: VoterSet,
        previous: Option<VoterSet>,
        acts: &mut Vec<Act>,
    ) {
        let old = std::mem::replace(&mut self.set, set);
        self.previous = previous.filter(|p| p.number + 1 == self.set.number);
        self.retire(&old);
        self.change = None;
        self.wished_at = None;
        self.sealed_at = None;
        self.told.clear();
        self.assemblies.clear();
        self.withdrawn.clear();
        self.gather_wait = repair::GATHER_AGAIN;
        self.terms = terms(self.set.members.len());
        self.proposer.on_voters_changed(self.terms);
        acts.push(Act::Log(format!("members: {}", self.set)));
        acts.push(Act::Voters(self.set.addresses()));
        self.meet_all(now, acts);
    }

    /// Whether this one has a seat in the set, which it has to install, or stands by.
    pub(super) fn take_place(&mut self, now: Micros, acts: &mut Vec<Act>) {
        if self.own_place().is_some() {
            self.state = State::Installing;
            self.gather(now, None, acts);
        } else {
            self.state = State::Spare;
        }
    }

    pub fn set(&self) -> &VoterSet {
        &self.set
    }

    pub fn voters(&self) -> Vec<String> {
        self.set.addresses()
    }

    /// Whether it has installed the set.
    pub fn seated(&self) -> bool {
        matches!(self.state, State::Seated(_))
    }

    /// Whether it takes part in votes now.
    pub fn votes(&self) -> bool {
        self.seated() && !self.register.is_sealed() && self.leaving.is_none()
    }

    /// Whether a connection to this prompter is of use.
    pub fn wants(&self, address: &str) -> bool {
        self.set.number == 0
            || self.set.position(address).is_some()
            || self.previous.as_ref().is_some_and(|p| p.position(address).is_some())
            || !self.reached
    }

    pub fn chosen(&self) -> Option<&VersionedConfig> {
        self.chosen.as_ref()
    }
}

impl Core {
    fn hear(&mut self, now: Micros) {
        if now - self.heard >= REACH {
            self.since = now;
        }
        self.heard = now;
    }
}

fn changed_wire(set: u64, place: usize, ballot: Ballot, reply: SuccessorReply) -> cues::Changed {
    let blank =
        cues::Changed { set, voter: place as u32, ballot: seats::told(ballot), ..cues::Changed::default() };
    match reply {
        SuccessorReply::Promised(accepted) => cues::Changed {
            vote: 1,
            under: accepted.as_ref().and_then(|a| seats::told(a.0)),
            next: accepted.as_ref().map(|a| to_wire(&a.1)),
            ..blank
        },
        SuccessorReply::Accepted => cues::Changed { vote: 2, ..blank },
        SuccessorReply::Rejected(promised) => {
            cues::Changed { vote: 3, promised: seats::told(promised), ..blank }
        }
    }
}
