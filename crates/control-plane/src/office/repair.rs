//! How a set is installed by one that has to vote in it, what it is told by others, and what one that leaves hands over.
//!
//! A member of set n votes in it once it has, on its disk as one unit, the merged states of a majority of set n - 1, each sealed on its
//! disk; or the state of a member that has installed n.
use super::*;
use notchspool_mesh_protocol::snapshot::{Assembly, Step as Got};
use notchspool_mesh_protocol::{All, Handed, More, Piece, Snapshot, Transfer};
use notchspool_storage::Seat;

/// What was not told yet is asked for again after this, and after twice as long each time, so that a thin link is not filled with states.
pub(super) const GATHER_AGAIN: Micros = Micros::ms(100);
const GATHER_MOST: Micros = Micros::ms(1_600);
/// What was not confirmed to one that leaves is handed over again after this.
const HAND_AGAIN: Micros = Micros::ms(500);
/// Claims that are taken back while a set is being installed, kept apart at most.
const MOST_WITHDRAWN: usize = 10_000;

/// Snapshots that are held for others who ask on.
const MOST_SENDINGS: usize = 8;

/// A snapshot of which pieces come.
#[derive(Debug, Default)]
pub(super) struct Incoming {
    assembly: Assembly,
    /// Bytes that were there when it was last looked after.
    seen: usize,
}

/// What this one had under the set before, in which it is sealed.
pub(super) struct Frozen {
    pub set: VoterSet,
    pub voter: Acceptor,
    pub seat: Seat,
    /// The seal is on the disk: what is told from here on can't grow any more.
    pub on_disk: bool,
    pub saving: bool,
}

impl Office {
    pub(super) fn seat(&self) -> Seat {
        Seat {
            incarnation: self.incarnation,
            set: self.set.clone(),
            previous: self.previous.clone(),
            register: self.register.clone(),
        }
    }

    pub(super) fn save_seat(&mut self, pending: Pending, acts: &mut Vec<Act>) {
        let seat = self.seat();
        self.save(pending, vec![Deed::Seat(seat)], acts);
    }

    /// The seal of the set that is over goes to the disk, till it is there.
    pub(super) fn save_frozen(&mut self, acts: &mut Vec<Act>) {
        let Some(frozen) = self.frozen.as_mut().filter(|f| !f.on_disk && !f.saving) else { return };
        frozen.saving = true;
        let (number, seat) = (frozen.set.number, frozen.seat.clone());
        self.save(Pending::Frozen(number), vec![Deed::Seat(seat)], acts);
    }

    pub(super) fn frozen_saved(&mut self, now: Micros, set: u64, done: bool, acts: &mut Vec<Act>) {
        if let Some(frozen) = self.frozen.as_mut().filter(|f| f.set.number == set) {
            (frozen.on_disk, frozen.saving) = (done, false);
            self.install(now, acts);
        }
    }

    /// Time has passed for a set that is being installed, or one that others install.
    pub(super) fn wake_install(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.save_frozen(acts);
        if self.set.number == 1 && matches!(self.state, State::Settling(_)) && self.pending.is_empty() {
            // The first set of all, which nobody can tell, and a disk that refused it.
            self.save_seat(Pending::Installed(self.set.number), acts);
        }
        if now >= self.gather_at {
            self.gather(now, None, acts);
        }
        if self.frozen.is_some() && matches!(self.state, State::Spare) && self.others_voting() {
            // More than half have it by now.
            self.frozen = None;
        }
    }

    // ---- Being told -----------------------------------------------------------------------------------------

    /// Asks all who may have it for what was decided so far, or the one that has just been reached.
    pub(super) fn gather(&mut self, now: Micros, only: Option<Conn>, acts: &mut Vec<Act>) {
        if !matches!(self.state, State::Installing) {
            return;
        }
        if only.is_none() {
            self.gather_at = now + self.gather_wait;
            self.gather_wait = (self.gather_wait + self.gather_wait).min(GATHER_MOST);
        }
        let ask = Transfer {
            set: Some(members::to_wire(&self.set)),
            previous: self.previous.as_ref().map(members::to_wire),
        };
        let of_before =
            |address: &String| self.previous.as_ref().is_some_and(|p| p.position(address).is_some());
        for (conn, address) in self.dialed.iter().filter(|d| only.is_none_or(|o| o == *d.0)) {
            if self.set.position(address).is_none() && !of_before(address) {
                continue;
            }
            match self.assemblies.get_mut(address).filter(|i| i.assembly.size() > 0) {
                // The connection is another one: it goes on from what is here.
                Some(incoming) if only.is_some() => {
                    acts.push(Act::Send(*conn, What::More(incoming.assembly.ask())));
                }
                Some(incoming) if incoming.assembly.size() > incoming.seen => {
                    incoming.seen = incoming.assembly.size();
                }
                // Nothing has come of it for some time: it is begun anew.
                _ => {
                    self.assemblies.remove(address);
                    acts.push(Act::Send(*conn, What::Transfer(ask.clone())));
                }
            }
        }
        self.install(now, acts);
    }

    /// Another has to install a set.
    pub(super) fn transfer(&mut self, now: Micros, conn: Conn, ask: Transfer, acts: &mut Vec<Act>) {
        let Some(set) = ask.set.and_then(members::from_wire) else { return };
        let number = set.number;
        self.learn(now, set, ask.previous.and_then(members::from_wire), acts);
        if number < self.set.number {
            self.other_set(conn, number, acts);
        } else if let State::Seated(voter) = &self.state {
            let all = self.all_of(now, voter, number);
            self.tell(conn, all, acts);
        } else if let Some(frozen) = self.frozen.as_ref().filter(|f| f.on_disk) {
            let all = self.all_of(now, &frozen.voter, frozen.set.number);
            self.tell(conn, all, acts);
        }
    }

    /// Tells what a voter has as a snapshot: the first piece, the others as they are asked for.
    fn tell(&mut self, conn: Conn, all: All, acts: &mut Vec<Act>) {
        let All { voter, set, promised, under, body, claims } = all;
        let snapshot = Snapshot { set, promised, under, body, claims, voter, ..Snapshot::default() };
        let Some(sending) = Sending::open(&snapshot) else {
            acts.push(Act::Log("members: what it has is too large to be told".into()));
            return;
        };
        acts.push(Act::Send(conn, What::Piece(sending.piece(&More::default()))));
        self.sendings.push_back(sending);
        while self.sendings.len() > MOST_SENDINGS {
            self.sendings.pop_front();
        }
    }

    /// Another asks on, on whatever connection. Of a snapshot that is not held any more it hears nothing, and begins anew.
    pub(super) fn more(&mut self, conn: Conn, more: &More, acts: &mut Vec<Act>) {
        match self.sendings.iter().find(|s| *s.id() == more.id) {
            Some(sending) => acts.push(Act::Send(conn, What::Piece(sending.piece(more)))),
            None => self.counts.unheard += 1,
        }
    }

    /// A piece of what another has.
    pub(super) fn piece(&mut self, now: Micros, conn: Conn, piece: Piece, acts: &mut Vec<Act>) {
        let installing = matches!(self.state, State::Installing);
        let Some(address) = self.dialed.get(&conn).filter(|_| installing).cloned() else { return };
        match self.assemblies.entry(address.clone()).or_default().assembly.hear(piece) {
            Got::More(more) => acts.push(Act::Send(conn, What::More(more))),
            Got::Whole(snapshot) => {
                self.assemblies.remove(&address);
                let Snapshot { set, promised, under, body, claims, voter, .. } = *snapshot;
                self.told_all(now, All { voter, set, promised, under, body, claims }, acts);
            }
            Got::Refused(_) => {
                self.counts.unheard += 1;
                self.assemblies.remove(&address);
            }
        }
    }

    pub(super) fn all_of(&self, now: Micros, voter: &Acceptor, set: u64) -> All {
        let kept = voter.space(&proposer::config_space()).cloned().unwrap_or_default();
        let entry = kept.entries.get(CONFIG_KEY);
        All {
            voter: u32::from(voter.id.0),
            set,
            promised: seats::told(kept.promised),
            under: entry.and_then(|e| seats::told(e.ballot)),
            body: entry.map(|e| e.value.clone()),
            claims: self.rack.all(now),
        }
    }

    /// Another tells what it has.
    pub(super) fn told_all(&mut self, now: Micros, all: All, acts: &mut Vec<Act>) {
        let of_this = all.set == self.set.number;
        if !matches!(self.state, State::Installing) || !(of_this || all.set + 1 == self.set.number) {
            return;
        }
        self.told.insert((all.set, all.voter), all);
        self.install(now, acts);
    }

    /// Installs the set once enough is told.
    fn install(&mut self, now: Micros, acts: &mut Vec<Act>) {
        let Some(own) = self.own_place().filter(|_| matches!(self.state, State::Installing)) else { return };
        let number = self.set.number;
        let mut told: Vec<All> = Vec::new();
        if self.frozen.as_ref().is_some_and(|f| !f.on_disk) {
            return;
        }
        let frozen = self.frozen.as_ref();
        told.extend(frozen.map(|f| self.all_of(now, &f.voter, f.set.number)));
        if let Some(installed) = self.told.values().find(|a| a.set == number) {
            told.push(installed.clone());
        } else {
            let Some(previous) = &self.previous else { return };
            let own_before = frozen.map(|f| u32::from(f.voter.id.0));
            let others = self
                .told
                .values()
                .filter(|a| (a.voter as usize) < previous.members.len() && Some(a.voter) != own_before);
            told.extend(others.cloned());
            if told.len() < previous.majority() {
                return;
            }
        }
        let deeds = self.installed(now, own, told);
        self.save(Pending::Installed(number), deeds, acts);
    }

    /// The one place where a set's state comes into being here: in memory, and as what goes to the disk.
    fn installed(&mut self, now: Micros, own: usize, told: Vec<All>) -> Vec<Deed> {
        let mut kept = (Ballot::default(), None::<Entry>);
        let mut rack = Rack::open(self.window);
        for all in &told {
            let under = seats::ballot(all.under);
            kept.0 = kept.0.max(seats::ballot(all.promised)).max(under);
            if let Some(body) = &all.body
                && kept.1.as_ref().is_none_or(|e| e.ballot < under)
            {
                kept.1 = Some(Entry { ballot: under, sequence: 1, value: body.clone() });
            }
            for claim in &all.claims {
                // Two tickets for one key, told by two: either may have run, so both stand.
                rack.put(now, claim);
            }
        }
        for (key, ticket) in &self.withdrawn {
            rack.withdraw(key, *ticket);
        }
        let gone = self.rack.all(now).into_iter().map(|c| (c.key, c.ticket.unwrap_or_default()));
        let taken_back = self.withdrawn.iter().cloned().chain(gone).filter(|(key, t)| !rack.has(key, *t));
        let mut deeds: Vec<Deed> = taken_back.map(|(key, ticket)| Deed::Withdraw(key, ticket)).collect();
        let (promised, entry) = kept;
        self.register = SuccessorRegister::default();
        let seat = self.seat();
        if self.frozen.is_some() {
            // It goes on, and has most of it on its disk: what comes on top is a history of the set before until the seat is there.
            let had = |c: &Claim| self.rack.has(&c.key, c.ticket.unwrap_or_default());
            deeds.extend(rack.all(now).into_iter().filter(|c| !had(c)).map(Deed::Claim));
            if let Some(entry) = &entry {
                let version = VersionedConfig::parse(&entry.value).map_or(0, |h| h.version);
                deeds.push(Deed::Word(version, entry.clone()));
            }
            deeds.extend([Deed::Promise(promised), Deed::Seat(seat)]);
        } else {
            // What an older set left here, under which others have decided since, must not come back: all of it is replaced, or nothing.
            deeds.push(Deed::Install(Box::new(Snapshot {
                set: self.set.number,
                seat: serde_json::to_vec(&seat).unwrap_or_default().into(),
                promised: seats::told(promised),
                under: entry.as_ref().and_then(|e| seats::told(e.ballot)),
                body: entry.as_ref().map(|e| e.value.clone()),
                claims: rack.all(now),
                voter: own as u32,
            })));
        }
        self.rack = rack;
        let entries = entry.map(|e| (CONFIG_KEY.to_string(), e)).into_iter().collect();
        let disk = DurableState {
            spaces: vec![(proposer::config_space(), promised, entries, None).into()],
            ..DurableState::default()
        };
        let voter = Acceptor::open(VoterId(own as u16), self.terms, disk, now);
        self.state = State::Settling(Box::new(voter));
        deeds
    }

    /// The disk has the set, or could not take it.
    pub(super) fn settled(&mut self, now: Micros, number: u64, done: bool, acts: &mut Vec<Act>) {
        if number != self.set.number {
            return;
        }
        match std::mem::replace(&mut self.state, State::Unknown) {
            State::Settling(voter) if done => {
                if self.frozen.take().is_none() {
                    // Its board is young: most ushers have not spoken to it yet.
                    self.started = now;
                }
                self.state = State::Seated(*voter);
                self.register_owed = false;
                self.owed = false;
                self.told.clear();
                self.withdrawn.clear();
                acts.push(Act::Log(format!("members: votes in set {number}, {} claims", self.rack.len())));
                self.own_read(now, acts);
            }
            State::Settling(voter) if number == 1 && self.previous.is_none() && self.incarnation == 0 => {
                // The first set of all: nobody can tell it.
                self.state = State::Settling(voter);
            }
            State::Settling(_) => self.state = State::Installing,
            other => self.state = other,
        }
    }

    // ---- Leaving --------------------------------------------------------------------------------------------

    /// It is to end by then: from here on it votes no more, and hands over what it has.
    pub fn leave(&mut self, now: Micros, until: Micros) -> Vec<Act> {
        let mut acts = Vec::new();
        if self.leaving.is_none() {
            acts.push(Act::Log("members: leaves, hands over what it has".into()));
            // What it accepted and may not be at a majority is carried there first.
            self.own_read(now, &mut acts);
            self.leaving = Some(until);
            // Before what is handed over: who confirms that knows this too.
            self.tell_others(now, &mut acts);
            self.hand_at = now;
            self.wake_leaving(now, &mut acts);
        }
        acts
    }

    /// Whether it may end now.
    pub fn left(&self, now: Micros) -> bool {
        let Some(until) = self.leaving else { return false };
        let others = self.set.members.len().saturating_sub(1);
        let holds = match &self.state {
            State::Seated(_) => self.handed.len() > others / 2 || others == 0,
            State::Spare | State::Unknown => self.frozen.is_none(),
            State::Installing | State::Settling(_) => false,
        };
        now >= until || (holds && self.pending.is_empty())
    }

    pub(super) fn wake_leaving(&mut self, now: Micros, acts: &mut Vec<Act>) {
        if self.leaving.is_none() || now < self.hand_at {
            return;
        }
        self.hand_at = now + HAND_AGAIN;
        let State::Seated(voter) = &self.state else { return };
        let all = self.all_of(now, voter, self.set.number);
        for (place, (conn, _)) in &self.peers {
            if !self.handed.contains(place) {
                acts.push(Act::Send(*conn, What::Handover(all.clone())));
            }
        }
    }

    /// One that leaves hands over what it has: it stands here as if this one had been asked too.
    pub(super) fn handover(&mut self, now: Micros, conn: Conn, all: All, acts: &mut Vec<Act>) {
        if !self.votes() || all.set != self.set.number {
            self.other_set(conn, all.set, acts);
            return;
        }
        let (number, place) = (self.set.number, self.own_place().unwrap_or_default());
        let State::Seated(voter) = &mut self.state else { return };
        let mut deeds = Vec::new();
        if let Some(body) = all.body {
            let under = seats::ballot(all.under);
            let has = voter
                .space(&proposer::config_space())
                .and_then(|k| k.entries.get(CONFIG_KEY))
                .is_some_and(|e| e.ballot >= under);
            if !has {
                let changes = vec![(CONFIG_KEY.to_string(), body)];
                let space = proposer::config_space();
                let ask = notchspool_consensus::Request::Accept {
                    space,
                    ballot: under,
                    sequence: 1,
                    changes,
                    lease: None,
                };
                if voter.handle(now, &ask).0.reply != Reply::Accepted {
                    // Another round is under way above it: what comes of that is handed over next time.
                    return;
                }
            }
            if let Some(kept) = voter.space(&proposer::config_space()) {
                deeds.push(Deed::Promise(kept.promised));
                let entry = kept.entries.get(CONFIG_KEY);
                deeds.extend(entry.map(|e| {
                    Deed::Word(VersionedConfig::parse(&e.value).map_or(0, |h| h.version), e.clone())
                }));
            }
        }
        for claim in all.claims {
            if !self.rack.has(&claim.key, claim.ticket.unwrap_or_default()) {
                self.rack.put(now, &claim);
                deeds.push(Deed::Claim(claim));
            }
        }
        let said = Handed { set: number, voter: place as u32 };
        if deeds.is_empty() && !self.claims_owed() {
            acts.push(Act::Send(conn, What::Handed(said)));
        } else {
            self.save(Pending::Handed(conn, said), deeds, acts);
        }
    }

    /// Claims that were granted are on their way to the disk.
    fn claims_owed(&self) -> bool {
        self.pending.values().any(|p| matches!(p, Pending::Claimed(..) | Pending::Handed(..)))
    }

    pub(super) fn taken_over(&mut self, said: Handed) {
        if said.set == self.set.number {
            self.handed.insert(said.voter as usize);
        }
    }

    /// Its holder takes a claim back while this one installs: what others tell of it must not bring it back.
    pub(super) fn keep_withdrawn(&mut self, key: &str, ticket: cues::Ticket) {
        if !self.seated() && self.withdrawn.len() < MOST_WITHDRAWN {
            self.withdrawn.push((key.to_string(), ticket));
        }
    }
}
