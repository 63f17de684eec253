//! Connections to the prompters: all of them for stations, claims and what holds; one of them is followed for the list.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use notchspool::units::Micros;
use notchspool_cloakroom::round::{Round, Verdict};
use notchspool_cues::{Claim, Claimed, Hello, Ping, Ticket, Want, Watch, What, Withdraw};
use notchspool_rigging::rope::{self, Rope};
use tokio::sync::oneshot;

use crate::house::{House, within};
use crate::voters::{Hand, Voter};

/// How often a prompter is told that this usher lives.
const PULSE: Duration = Duration::from_millis(500);
const SILENCE: Duration = Duration::from_millis(2_200);
/// A claim that has no majority by then has none.
const CLAIM: Micros = Micros::ms(250);
/// Claims in hand at most.
const MOST: usize = 10_000;
/// What holds comes by itself from the board that is followed: another prompter is asked for it only after this, one at a time. Where none
/// is followed, sooner.
const BEFORE_ASKING: Duration = Duration::from_millis(500);
const UNFOLLOWED: Duration = Duration::from_millis(40);

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
                    rope.send(house.hello());
                    let end = house.attend(stream, &address, rope).await;
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
            disk_life: 0,
        })
    }

    async fn attend(self: &Rc<House>, stream: tokio::net::TcpStream, address: &str, rope: Rope) -> rope::End {
        let pulse = async {
            let mut number = 0;
            loop {
                tokio::time::sleep(PULSE).await;
                number += 1;
                rope.send(What::Ping(Ping { number }));
            }
        };
        let (sends, house) = (rope.clone(), self.clone());
        let run =
            rope::run(stream, rope.clone(), Some(SILENCE), |what| house.prompted(address, &sends, what));
        tokio::select! { end = run => end, () = pulse => rope::End::Dropped }
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

    /// Follows one of the boards in reach, a near one before others.
    fn follow(&self) {
        if self.voters.followed.borrow().is_some() {
            return;
        }
        let own = self.told.borrow().zone.clone();
        let open = self.voters.open.borrow();
        let mut all: Vec<(&String, &Voter)> = open.iter().collect();
        all.sort_by_key(|(_, v)| v.zone != own);
        let near = all.iter().filter(|(_, v)| v.zone == own).count();
        let among = if near > 0 { near } else { all.len() };
        let at = (self.dart() * among as f64) as usize;
        let Some((address, voter)) = all.get(at) else { return };
        *self.voters.followed.borrow_mut() = Some((*address).clone());
        let watch = Watch { have: self.playbill.borrow().version(), line: self.voters.line.get() };
        voter.rope.send(What::Watch(watch));
    }

    fn prompted(self: &Rc<House>, address: &str, rope: &Rope, what: What) {
        match what {
            What::Welcome(welcome) => {
                let voter = Voter {
                    rope: rope.clone(),
                    zone: welcome.zone,
                    holds: Some((welcome.chosen, welcome.sure)),
                };
                if !welcome.voters.is_empty() {
                    *self.voters.list.borrow_mut() = welcome.voters.clone();
                    welcome.voters.iter().for_each(|v| self.call(v.clone()));
                }
                if let Some(station) = &welcome.recalled {
                    self.recalled(station);
                }
                if self.voters.list.borrow().iter().any(|v| v == address) {
                    self.voters.open.borrow_mut().insert(address.to_string(), voter);
                    if let Some(station) = self.station() {
                        rope.send(What::Station(station));
                    }
                    self.follow();
                    let bare = self.script.borrow().is_none();
                    self.holding(rope, welcome.chosen, bare);
                }
            }
            What::Holding(holding) => {
                if let Some(voter) = self.voters.open.borrow_mut().get_mut(address) {
                    voter.holds = Some((holding.chosen, holding.sure));
                }
                self.holding(rope, holding.chosen, false);
            }
            What::Word(word) => match notchspool_cues::unpack(&word) {
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
                match own {
                    true => self.claimed(claimed),
                    false => self.count("votes_astray"),
                }
            }
            What::Pong(_) => {}
            _ => self.count("messages_unknown"),
        }
    }

    /// That a version holds: where it does not come by itself it is asked for.
    fn holding(self: &Rc<House>, rope: &Rope, chosen: u64, at_once: bool) {
        let lacks = move |house: &House| house.script.borrow().as_ref().map_or(0, |s| s.version) < chosen;
        if chosen <= self.voters.awaited.get() || !lacks(self) {
            return;
        }
        let wait = match (at_once, self.voters.followed.borrow().is_some()) {
            (true, _) => Duration::ZERO,
            (false, true) => BEFORE_ASKING,
            (false, false) => UNFOLLOWED,
        };
        self.voters.awaited.set(chosen);
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
            if lacks(&house) {
                let other = house
                    .voters
                    .open
                    .borrow()
                    .values()
                    .find(|v| v.holds.is_some_and(|h| h.0 >= chosen))
                    .cloned();
                other.into_iter().for_each(|v| house.holding(&v.rope, chosen, false));
            }
        });
    }

    // ---- Claims -----------------------------------------------------------------------------------------

    /// Claims a key for a ticket at all voters.
    pub async fn claim(&self, key: &str, ticket: Ticket) -> Verdict {
        let (id, list) = (self.number(), self.voters.list.borrow().clone());
        if list.is_empty() || self.voters.hands.borrow().len() >= MOST {
            return Verdict::Nobody;
        }
        let (done, wait) = oneshot::channel();
        let hand = Hand { round: Round::begin(list.len()), done: Some(done) };
        self.voters.hands.borrow_mut().insert(id, hand);
        let claim = Claim {
            id,
            key: key.to_string(),
            ticket: Some(ticket),
            holder: self.own.clone(),
            holder_life: self.life,
        };
        let mut sent = 0;
        for address in &list {
            if let Some(voter) = self.voters.open.borrow().get(address) {
                sent += usize::from(voter.rope.send(What::Claim(claim.clone())));
            }
        }
        let verdict = if sent > list.len() / 2 { within(CLAIM, wait).await } else { None };
        let hand = self.voters.hands.borrow_mut().remove(&id);
        match verdict {
            Some(Ok(verdict)) => verdict,
            _ => hand.map_or(Verdict::Nobody, |h| h.round.verdict(true)),
        }
    }

    fn claimed(&self, claimed: Claimed) {
        let mut hands = self.voters.hands.borrow_mut();
        let Some(hand) = hands.get_mut(&claimed.id) else { return };
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
