//! Connections to the prompters: all of them for stations, claims and what holds; one of them is followed for the list.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use notchspool::units::Micros;
use notchspool_idempotency::round::{Round, Verdict};
use notchspool_mesh_protocol::texts::Heard;
use notchspool_mesh_protocol::{Claim, Claimed, Hello, Ping, Ticket, Unwatch, Want, Watch, What, Withdraw};
use notchspool_runtime::rope::{self, Rope};
use tokio::sync::oneshot;

use crate::house::{House, within};
use crate::voters::{Hand, Voter};

/// How often a prompter is told that this usher lives.
const PULSE: Duration = Duration::from_millis(500);
const SILENCE: Duration = Duration::from_millis(2_200);
/// A claim that has no majority by then has none.
const CLAIM: Micros = Micros::ms(250);
/// The same where the set of voters is being changed.
const CHANGING: Micros = Micros::ms(700);
/// Who could not vote because of a change is asked again after this.
const ASK_AGAIN: Micros = Micros::ms(50);
/// Claims in hand at most.
const MOST: usize = 10_000;
/// What holds comes by itself from the board that is followed: another prompter is asked for it only after this, one at a time. Where none
/// is followed, sooner.
const BEFORE_ASKING: Duration = Duration::from_millis(500);
const UNFOLLOWED: Duration = Duration::from_millis(40);
/// A board that is nearer than the one followed is followed instead, after this and as much again by chance: by then it has gathered.
const NEARER: Duration = Duration::from_millis(2_000);
/// What a prompter has that isn't sure of it is taken only where no sure one has answered for so long.
const BEFORE_UNSURE: Duration = Duration::from_millis(1_000);

/// Which board is to be followed from now on, of those in reach (address and zone): a near one before others. None: the one that is followed goes on,
/// or there is none.
pub fn board<'a>(own: &str, followed: Option<&str>, open: &[(&'a str, &str)], dart: f64) -> Option<&'a str> {
    let near: Vec<&(&str, &str)> = open.iter().filter(|(_, zone)| *zone == own).collect();
    if let Some(address) = followed
        && (near.is_empty() || near.iter().any(|(a, _)| *a == address))
    {
        return None;
    }
    let among: Vec<&(&str, &str)> = if near.is_empty() { open.iter().collect() } else { near };
    let at = (dart * among.len() as f64) as usize;
    among.get(at).map(|(address, _)| *address)
}

impl House {
    /// Keeps a connection to a prompter for as long as this process lives and it votes.
    pub fn call(self: &Rc<House>, address: String) {
        if !self.voters.dialed.borrow_mut().insert(address.clone()) {
            return;
        }
        let house = self.clone();
        tokio::task::spawn_local(async move {
            let Ok(to) = address.parse::<SocketAddr>() else { return };
            let mut failures = 0u32;
            loop {
                if let Ok(stream) = rope::dial(to, Duration::from_millis(800)).await {
                    failures = 0;
                    let rope = Rope::default();
                    let conn = house.number();
                    rope.send(house.voters.texts.borrow_mut().send(conn, house.hello()));
                    let end = house.attend(stream, &address, conn, rope).await;
                    house.voters.texts.borrow_mut().closed(conn);
                    log::debug!(target: "callboy", "lose {address}: {end}");
                    house.lost(&address);
                }
                let votes = {
                    let list = house.voters.list.borrow();
                    list.is_empty() || list.contains(&address)
                };
                if !votes {
                    house.voters.dialed.borrow_mut().remove(&address);
                    return;
                }
                let pause = 60.0 * f64::from(1u32 << failures.min(4)) * (0.5 + house.dart());
                failures += 1;
                tokio::time::sleep(Duration::from_millis(pause as u64)).await;
            }
        });
    }

    fn hello(&self) -> What {
        let told = self.told.borrow();
        What::Hello(Hello {
            node: told.node.clone(),
            life: self.life,
            zone: told.zone.clone(),
            address: self.own.clone(),
            role: 1,
            ..Hello::default()
        })
    }

    async fn attend(
        self: &Rc<House>,
        stream: tokio::net::TcpStream,
        address: &str,
        conn: u64,
        rope: Rope,
    ) -> rope::End {
        let pulse = async {
            let mut number = 0;
            loop {
                tokio::time::sleep(PULSE).await;
                number += 1;
                rope.send(What::Ping(Ping { number }));
            }
        };
        let (sends, house) = (rope.clone(), self.clone());
        let run = rope::run(stream, rope.clone(), Some(SILENCE), |what| {
            let heard = house.voters.texts.borrow_mut().hear(conn, what);
            match heard {
                Heard::Says(what) => house.prompted(address, &sends, what),
                Heard::Ask(what) => {
                    house.count("differences_refused");
                    sends.send(what);
                }
                Heard::Done => house.count("messages_unknown"),
            }
        });
        let end = tokio::select! { end = run => end, () = pulse => rope::End::Dropped };
        (0..rope.senseless()).for_each(|_| self.count("messages_unknown"));
        end
    }

    fn lost(self: &Rc<House>, address: &str) {
        self.voters.open.borrow_mut().remove(address);
        if self.voters.followed.borrow().as_deref() == Some(address) {
            *self.voters.followed.borrow_mut() = None;
            // Resumed elsewhere after a jittered backoff; the list stays as it is.
            let failures = self.voters.failures.get().min(5);
            self.voters.failures.set(failures + 1);
            let pause = 100.0 * f64::from(1 << failures) * self.dart();
            let house = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(pause as u64)).await;
                house.follow();
            });
        }
    }

    /// Follows one of the boards in reach, a near one before others: what holds then crosses zones once for a prompter, not once for an usher.
    fn follow(&self) {
        let own = self.told.borrow().zone.clone();
        let open = self.voters.open.borrow();
        let boards: Vec<(&str, &str)> = open.iter().map(|(a, v)| (a.as_str(), v.zone.as_str())).collect();
        let old = self.voters.followed.borrow().clone();
        let Some(new) = board(&own, old.as_deref(), &boards, self.dart()) else { return };
        if let Some(old) = old.and_then(|a| open.get(&a)) {
            old.rope.send(What::Unwatch(Unwatch {}));
        }
        *self.voters.followed.borrow_mut() = Some(new.to_string());
        let watch = Watch { have: self.playbill.borrow().version(), line: self.voters.line.get() };
        if let Some(voter) = open.get(new) {
            voter.rope.send(What::Watch(watch));
        }
    }

    fn prompted(self: &Rc<House>, address: &str, rope: &Rope, what: What) {
        match what {
            What::Welcome(welcome) => {
                let voter = Voter {
                    rope: rope.clone(),
                    zone: welcome.zone,
                    holds: Some((welcome.chosen, welcome.sure)),
                };
                if let Some(set) = welcome.set.filter(|s| s.number > self.voters.set.get()) {
                    self.learn(set);
                }
                if let Some(station) = &welcome.recalled {
                    self.recalled(station);
                }
                if self.voters.list.borrow().iter().any(|v| v == address) {
                    self.voters.open.borrow_mut().insert(address.to_string(), voter);
                    if let Some(station) = self.station() {
                        rope.send(What::Station(station));
                    }
                    if self.voters.followed.borrow().is_none() {
                        self.follow();
                    } else {
                        self.nearer();
                    }
                    let bare = self.script.borrow().is_none();
                    self.holding(rope, (welcome.chosen, welcome.sure), bare);
                }
            }
            What::Holding(holding) => {
                if let Some(voter) = self.voters.open.borrow_mut().get_mut(address) {
                    voter.holds = Some((holding.chosen, holding.sure));
                }
                let bare = self.script.borrow().is_none();
                self.holding(rope, (holding.chosen, holding.sure), bare);
            }
            What::Word(word) => match notchspool_mesh_protocol::unpack(&word) {
                Some(body) => self.word(word.version, &body),
                None => self.count("messages_unknown"),
            },
            What::Bill(bill) => {
                if self.voters.followed.borrow().as_deref() == Some(address) {
                    self.voters.failures.set(0);
                    self.voters.line.set(bill.line);
                    self.listed(bill);
                }
            }
            // A vote counts for who it came from.
            What::Claimed(claimed) => {
                let place = claimed.voter as usize;
                let own = self.voters.list.borrow().get(place).is_some_and(|v| v == address);
                match own || claimed.vote == 0 {
                    true => self.claimed(claimed),
                    false => self.count("votes_astray"),
                }
            }
            What::Pong(_) => {}
            _ => self.count("messages_unknown"),
        }
    }

    /// Another board is in reach: should it be a nearer one, it is followed before long.
    fn nearer(self: &Rc<House>) {
        let house = self.clone();
        let wait = NEARER.mul_f64(1.0 + self.dart());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(wait).await;
            house.follow();
        });
    }

    /// Another set of voters is decided: who votes no more is followed no more, and claims in hand are asked anew of the new ones.
    fn learn(self: &Rc<House>, set: notchspool_mesh_protocol::Set) {
        let list: Vec<String> = set.members.into_iter().map(|m| m.address).collect();
        self.voters.set.set(set.number);
        self.voters.list.borrow_mut().clone_from(&list);
        for hand in self.voters.hands.borrow_mut().values_mut() {
            hand.round.change(set.number, list.len());
            hand.again = true;
        }
        self.voters.open.borrow_mut().retain(|address, _| list.contains(address));
        let left = self.voters.followed.borrow().as_ref().is_some_and(|f| !list.contains(f));
        if left {
            *self.voters.followed.borrow_mut() = None;
            self.follow();
        }
        list.into_iter().for_each(|v| self.call(v));
    }

    /// That a version holds: where it does not come by itself it is asked for.
    fn holding(self: &Rc<House>, rope: &Rope, (chosen, sure): (u64, bool), at_once: bool) {
        let lacks = move |house: &House| house.script.borrow().as_ref().map_or(0, |s| s.version) < chosen;
        if !lacks(self) || (sure && chosen <= self.voters.awaited.get()) {
            return;
        }
        let wait = match (at_once, self.voters.followed.borrow().is_some()) {
            _ if !sure => BEFORE_UNSURE,
            (true, _) => Duration::ZERO,
            (false, true) => BEFORE_ASKING,
            (false, false) => UNFOLLOWED,
        };
        if sure {
            self.voters.awaited.set(chosen);
        }
        let (house, rope) = (self.clone(), rope.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(wait).await;
            if lacks(&house) {
                rope.send(What::Want(Want { version: chosen }));
                tokio::time::sleep(BEFORE_ASKING).await;
            }
            if house.voters.awaited.get() == chosen {
                // Whoever says next that it holds may be asked.
                house.voters.awaited.set(0);
            }
            if sure && lacks(&house) {
                let open = house.voters.open.borrow();
                let has = |v: &&Voter| v.holds.is_some_and(|h| h.0 >= chosen);
                // One that is sure rather than one that isn't.
                let other = open.values().filter(has).max_by_key(|v| v.holds.is_some_and(|h| h.1)).cloned();
                drop(open);
                if let Some((other, holds)) = other.and_then(|v| Some((v.rope, v.holds?))) {
                    house.holding(&other, (chosen, holds.1), false);
                }
            }
        });
    }

    // ---- Claims -----------------------------------------------------------------------------------------

    /// Claims a key for a ticket at all voters.
    pub async fn claim(&self, key: &str, ticket: Ticket) -> Verdict {
        let id = self.number();
        let (set, voters) = (self.voters.set.get(), self.voters.list.borrow().len());
        if voters == 0 || self.voters.hands.borrow().len() >= MOST {
            return Verdict::Nobody;
        }
        let (done, wait) = oneshot::channel();
        let hand = Hand { round: Round::begin(set, voters), again: false, done: Some(done) };
        self.voters.hands.borrow_mut().insert(id, hand);
        let mut claim = Claim {
            id,
            key: key.to_string(),
            ticket: Some(ticket),
            holder: self.own.clone(),
            holder_life: self.life,
            set,
            age_ms: 0,
        };
        let (began, mut wait) = (self.now(), std::pin::pin!(wait));
        let (mut verdict, mut patience) = (None, CLAIM);
        if self.ask_voters(&claim) > voters / 2 {
            loop {
                verdict = within(ASK_AGAIN, wait.as_mut()).await;
                let waited = self.now() - began;
                let again = match self.voters.hands.borrow_mut().get_mut(&id) {
                    Some(hand) => std::mem::take(&mut hand.again).then(|| hand.round.set()),
                    None => None,
                };
                if again.is_some() {
                    patience = CHANGING;
                }
                if verdict.is_some() || waited >= patience {
                    break;
                }
                if let Some(set) = again {
                    // The same ticket: whoever has granted it does so again.
                    claim.set = set;
                    self.ask_voters(&claim);
                }
            }
        }
        let hand = self.voters.hands.borrow_mut().remove(&id);
        match verdict {
            Some(Ok(verdict)) => verdict,
            _ => hand.map_or(Verdict::Nobody, |h| h.round.verdict(true)),
        }
    }

    /// Asks all voters that are in reach and have not answered; how many that are.
    fn ask_voters(&self, claim: &Claim) -> usize {
        let (hands, list) = (self.voters.hands.borrow(), self.voters.list.borrow());
        let Some(hand) = hands.get(&claim.id) else { return 0 };
        let mut sent = 0;
        for (_, address) in list.iter().enumerate().filter(|(at, _)| hand.round.open(*at)) {
            if let Some(voter) = self.voters.open.borrow().get(address) {
                sent += usize::from(voter.rope.send(What::Claim(claim.clone())));
            }
        }
        sent
    }

    fn claimed(&self, claimed: Claimed) {
        let mut hands = self.voters.hands.borrow_mut();
        let Some(hand) = hands.get_mut(&claimed.id) else { return };
        hand.again |= claimed.changing;
        hand.round.hear(claimed);
        let verdict = hand.round.verdict(false);
        if verdict != Verdict::Open
            && let Some(done) = hand.done.take()
        {
            // Whoever waited may have given up.
            let _ = done.send(verdict);
        }
    }

    /// It has not run and never will.
    pub fn withdraw(&self, key: &str, ticket: Ticket) {
        self.voters.send_all(What::Withdraw(Withdraw { key: key.to_string(), ticket: Some(ticket) }));
    }
}
