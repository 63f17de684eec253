//! Connections to the replicas: all of them for stations, claims and what holds; one of them is followed for the list.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use notchspool::units::Micros;
use notchspool_idempotency::claim_proposal::{ClaimProposal, Outcome as ClaimOutcome};
use notchspool_mesh_protocol::text_transfer::Incoming;
use notchspool_mesh_protocol::{
    Claim, ClaimReply, ConfigRequest, Hello, Payload, Ping, Ticket, UnwatchEndpoints, WatchEndpoints,
    WithdrawClaim,
};
use notchspool_runtime::frame_connection::{self, FrameSender};
use tokio::sync::oneshot;

use crate::house::{House, within};
use crate::voters::{Hand, Voter};

/// How often a replica is told that this proxy lives.
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
/// What holds comes by itself from the board that is followed: another replica is asked for it only after this, one at a time. Where none
/// is followed, sooner.
const BEFORE_ASKING: Duration = Duration::from_millis(500);
const UNFOLLOWED: Duration = Duration::from_millis(40);
/// A board that is nearer than the one followed is followed instead, after this and as much again by chance: by then it has gathered.
const NEARER: Duration = Duration::from_millis(2_000);
/// What a replica has that isn't sure of it is taken only where no sure one has answered for so long.
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
    /// Keeps a connection to a replica for as long as this process lives and it votes.
    pub fn call(self: &Rc<House>, address: String) {
        if !self.voters.dialed.borrow_mut().insert(address.clone()) {
            return;
        }
        let house = self.clone();
        tokio::task::spawn_local(async move {
            let Ok(to) = address.parse::<SocketAddr>() else { return };
            let mut failures = 0u32;
            loop {
                if let Ok(stream) = frame_connection::connect(to, Duration::from_millis(800)).await {
                    failures = 0;
                    let rope = FrameSender::default();
                    let conn = house.number();
                    rope.send(house.voters.texts.borrow_mut().outgoing(conn, house.hello()));
                    let end = house.attend(stream, &address, conn, rope).await;
                    house.voters.texts.borrow_mut().on_closed(conn);
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

    fn hello(&self) -> Payload {
        let told = self.told.borrow();
        Payload::Hello(Hello {
            node: told.node.clone(),
            boot_id: self.life,
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
        rope: FrameSender,
    ) -> frame_connection::CloseReason {
        let pulse = async {
            let mut number = 0;
            loop {
                tokio::time::sleep(PULSE).await;
                number += 1;
                rope.send(Payload::Ping(Ping { number }));
            }
        };
        let (sends, house) = (rope.clone(), self.clone());
        let run = frame_connection::run(stream, rope.clone(), Some(SILENCE), |what| {
            let heard = house.voters.texts.borrow_mut().incoming(conn, what);
            match heard {
                Incoming::Message(what) => house.prompted(address, &sends, what),
                Incoming::Reply(what) => {
                    house.count("differences_refused");
                    sends.send(what);
                }
                Incoming::Nothing => house.count("messages_unknown"),
            }
        });
        let end =
            tokio::select! { end = run => end, () = pulse => frame_connection::CloseReason::ClosedHere };
        (0..rope.malformed_frames()).for_each(|_| self.count("messages_unknown"));
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

    /// Follows one of the boards in reach, a near one before others: what holds then crosses zones once for a replica, not once for a proxy.
    fn follow(&self) {
        let own = self.told.borrow().zone.clone();
        let open = self.voters.open.borrow();
        let boards: Vec<(&str, &str)> = open.iter().map(|(a, v)| (a.as_str(), v.zone.as_str())).collect();
        let old = self.voters.followed.borrow().clone();
        let Some(new) = board(&own, old.as_deref(), &boards, self.dart()) else { return };
        if let Some(old) = old.and_then(|a| open.get(&a)) {
            old.rope.send(Payload::UnwatchEndpoints(UnwatchEndpoints {}));
        }
        *self.voters.followed.borrow_mut() = Some(new.to_string());
        let watch =
            WatchEndpoints { version: self.playbill.borrow().version(), numbered_by: self.voters.line.get() };
        if let Some(voter) = open.get(new) {
            voter.rope.send(Payload::WatchEndpoints(watch));
        }
    }

    fn prompted(self: &Rc<House>, address: &str, rope: &FrameSender, what: Payload) {
        match what {
            Payload::Welcome(welcome) => {
                let voter = Voter {
                    rope: rope.clone(),
                    zone: welcome.zone,
                    holds: Some((welcome.chosen_version, welcome.confirmed)),
                };
                if let Some(set) = welcome.voter_set.filter(|s| s.number > self.voters.set.get()) {
                    self.learn(set);
                }
                if let Some(station) = &welcome.recalled {
                    self.recalled(station);
                }
                if self.voters.list.borrow().iter().any(|v| v == address) {
                    self.voters.open.borrow_mut().insert(address.to_string(), voter);
                    if let Some(station) = self.station() {
                        rope.send(Payload::Endpoint(station));
                    }
                    if self.voters.followed.borrow().is_none() {
                        self.follow();
                    } else {
                        self.nearer();
                    }
                    let bare = self.script.borrow().is_none();
                    self.holding(rope, (welcome.chosen_version, welcome.confirmed), bare);
                }
            }
            Payload::KnownVersion(holding) => {
                if let Some(voter) = self.voters.open.borrow_mut().get_mut(address) {
                    voter.holds = Some((holding.version, holding.confirmed));
                }
                let bare = self.script.borrow().is_none();
                self.holding(rope, (holding.version, holding.confirmed), bare);
            }
            Payload::ConfigUpdate(word) => match word.checked_body() {
                Some(body) => self.word(word.version, &body),
                None => self.count("messages_unknown"),
            },
            Payload::EndpointUpdate(bill) => {
                if self.voters.followed.borrow().as_deref() == Some(address) {
                    self.voters.failures.set(0);
                    self.voters.line.set(bill.numbered_by);
                    self.listed(bill);
                }
            }
            // A vote counts for who it came from.
            Payload::ClaimReply(claimed) => {
                let place = claimed.voter as usize;
                let own = self.voters.list.borrow().get(place).is_some_and(|v| v == address);
                match own || claimed.vote == 0 {
                    true => self.claimed(claimed),
                    false => self.count("votes_astray"),
                }
            }
            Payload::Pong(_) => {}
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
    fn learn(self: &Rc<House>, set: notchspool_mesh_protocol::VoterSet) {
        let list: Vec<String> = set.members.into_iter().map(|m| m.address).collect();
        self.voters.set.set(set.number);
        self.voters.list.borrow_mut().clone_from(&list);
        for hand in self.voters.hands.borrow_mut().values_mut() {
            hand.round.on_set_changed(set.number, list.len());
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
    fn holding(self: &Rc<House>, rope: &FrameSender, (chosen, sure): (u64, bool), at_once: bool) {
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
                rope.send(Payload::ConfigRequest(ConfigRequest { version: chosen }));
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
    pub async fn claim(&self, key: &str, ticket: Ticket) -> ClaimOutcome {
        let id = self.number();
        let (set, voters) = (self.voters.set.get(), self.voters.list.borrow().len());
        if voters == 0 || self.voters.hands.borrow().len() >= MOST {
            return ClaimOutcome::Undecided;
        }
        let (done, wait) = oneshot::channel();
        let hand = Hand { round: ClaimProposal::new(set, voters), again: false, done: Some(done) };
        self.voters.hands.borrow_mut().insert(id, hand);
        let mut claim = Claim {
            id,
            key: key.to_string(),
            ticket: Some(ticket),
            holder: self.own.clone(),
            holder_boot_id: self.life,
            set_number: set,
            age_ms: 0,
        };
        let (began, mut wait) = (self.now(), std::pin::pin!(wait));
        let (mut verdict, mut patience) = (None, CLAIM);
        if self.ask_voters(&claim) > voters / 2 {
            loop {
                verdict = within(ASK_AGAIN, wait.as_mut()).await;
                let waited = self.now() - began;
                let again = match self.voters.hands.borrow_mut().get_mut(&id) {
                    Some(hand) => std::mem::take(&mut hand.again).then(|| hand.round.set_number()),
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
                    claim.set_number = set;
                    self.ask_voters(&claim);
                }
            }
        }
        let hand = self.voters.hands.borrow_mut().remove(&id);
        match verdict {
            Some(Ok(verdict)) => verdict,
            _ => hand.map_or(ClaimOutcome::Undecided, |h| h.round.outcome(true)),
        }
    }

    /// Asks all voters that are in reach and have not answered; how many that are.
    fn ask_voters(&self, claim: &Claim) -> usize {
        let (hands, list) = (self.voters.hands.borrow(), self.voters.list.borrow());
        let Some(hand) = hands.get(&claim.id) else { return 0 };
        let mut sent = 0;
        for (_, address) in list.iter().enumerate().filter(|(at, _)| hand.round.is_outstanding(*at)) {
            if let Some(voter) = self.voters.open.borrow().get(address) {
                sent += usize::from(voter.rope.send(Payload::Claim(claim.clone())));
            }
        }
        sent
    }

    fn claimed(&self, claimed: ClaimReply) {
        let mut hands = self.voters.hands.borrow_mut();
        let Some(hand) = hands.get_mut(&claimed.id) else { return };
        hand.again |= claimed.reconfiguring;
        hand.round.on_reply(claimed);
        let verdict = hand.round.outcome(false);
        if verdict != ClaimOutcome::Pending
            && let Some(done) = hand.done.take()
        {
            // Whoever waited may have given up.
            let _ = done.send(verdict);
        }
    }

    /// It has not run and never will.
    pub fn withdraw(&self, key: &str, ticket: Ticket) {
        self.voters
            .send_all(Payload::WithdrawClaim(WithdrawClaim { key: key.to_string(), ticket: Some(ticket) }));
    }
}
