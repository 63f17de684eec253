//! The hand that carries out what the module decides.
use std::collections::BTreeMap;
use std::rc::Rc;

use actix::Recipient;
use notchspool::units::{AttemptOutcome, BackendId, Effects, Micros, RequestId};
use notchspool_routes::budget::Budget;

use super::counters::Counters;
use super::flow::Rest;
use super::mail::{Peer, ToPeer, Watch};
use super::txn::{Answer, Budgets, InHand, Made, Unserved};

pub struct Hand {
    pub txns: BTreeMap<RequestId, InHand>,
    pub peers: BTreeMap<BackendId, Peer>,
    pub registry: Option<Recipient<Watch>>,
    pub counters: Rc<Counters>,
    pub budgets: Budgets,
    /// When the module wants to be woken, if it said so in the call just made.
    pub wake: Option<Micros>,
    /// Txns that the call just made left unserved: true, declined, and when to come back.
    pub unserved: Vec<(RequestId, bool, Option<Micros>)>,
    /// Postings that come back at once: no budget paid for them, or their body is spent.
    pub unsent: Vec<(RequestId, u32, BackendId, AttemptOutcome)>,
}

impl Hand {
    /// Gives the final answer, once; what is then of no further use is let go.
    pub fn answer(&mut self, txn: RequestId, answer: Answer, name: &'static str) {
        let Some(held) = self.txns.get_mut(&txn) else { return };
        if let Some(caller) = held.caller.take() {
            self.counters.add(name);
            // Fails only when the application has just left; that is counted when it is noticed.
            let _ = caller.send(answer);
        }
        self.let_go(txn);
    }
    /// Answers what the call just made left unserved. `sound`: backends that could take a txn now.
    pub fn settle_accounts(&mut self, sound: usize) {
        for (txn, declined, away) in std::mem::take(&mut self.unserved) {
            let Some(held) = self.txns.get_mut(&txn) else { continue };
            let facts = Unserved { postings: held.postings, may_have_run: held.may_have_run, sound };
            let last = held.last.take().filter(Made::tells_of_failure);
            match declined && last.is_none() {
                true => self.answer(txn, Answer::Declined(away, facts), "declined"),
                false => self.answer(txn, Answer::Reversed(last, facts), "reversed"),
            }
        }
    }
    pub fn let_go(&mut self, txn: RequestId) {
        if self.txns.get(&txn).is_some_and(|held| held.caller.is_none() && held.out.is_none()) {
            self.txns.remove(&txn);
            // Of all pools together.
            self.counters.in_hand.set(self.counters.in_hand.get().saturating_sub(1));
        }
    }
}

impl Effects for Hand {
    fn send(&mut self, txn: RequestId, to: BackendId, until: Micros) {
        let (Some(held), Some(peer)) = (self.txns.get_mut(&txn), self.peers.get(&to)) else { return };
        let posting = held.postings;
        held.postings += 1;
        held.out = Some(to);
        // The one place that every posting passes: but for a txn's first, somebody has to pay.
        let paid = |payer| self.budgets.borrow_mut().get_mut(&payer).is_some_and(Budget::repeat);
        if posting + held.earlier > 0 && held.payer.is_some_and(|payer| !paid(payer)) {
            self.counters.add("no_budget");
            return self.unsent.push((txn, posting, to, AttemptOutcome::NotSent));
        }
        // What passed through once is here no more.
        if held.carried.rest.as_ref().is_some_and(Rest::is_taken) {
            self.counters.add("body_spent");
            return self.unsent.push((txn, posting, to, AttemptOutcome::BodyConsumed));
        }
        self.counters.add("postings");
        log::debug!("txn {} to backend {}", txn.0, to.0);
        peer.do_send(ToPeer::Post { txn, posting, until, carried: held.carried.clone() });
    }
    fn cancel(&mut self, txn: RequestId, posting: u32) {
        let to = self.txns.get(&txn).and_then(|held| held.out);
        if let Some(peer) = to.and_then(|to| self.peers.get(&to)) {
            peer.do_send(ToPeer::Cancel { txn, posting });
        }
    }
    fn reject(&mut self, txn: RequestId, away: Option<Micros>) {
        self.unserved.push((txn, true, away));
    }
    fn fail(&mut self, txn: RequestId) {
        self.unserved.push((txn, false, None));
    }
    fn probe(&mut self, backend: BackendId) {
        if let Some(peer) = self.peers.get(&backend) {
            self.counters.add("probes");
            peer.do_send(ToPeer::Probe);
        }
    }
    fn close_idle(&mut self, backend: BackendId) {
        if let Some(peer) = self.peers.get(&backend) {
            peer.do_send(ToPeer::Trim);
        }
    }
    fn watch(&mut self) {
        self.counters.add("watches");
        if let Some(registry) = &self.registry {
            registry.do_send(Watch);
        }
    }
    fn wake_after(&mut self, span: Micros) {
        self.wake = Some(span);
    }
    fn increment(&mut self, what: &'static str) {
        self.counters.add(what);
    }
    fn log(&mut self, line: &str) {
        log::info!("module: {line}");
    }
}
