//! All decisions of one balancer. A front opens a `Balancer` with its `Terms` (units.rs) and a seed, sets its
//! `clock`, and calls it: `listed`/`list_failed`/`list_moved` for the list, `reported`/`probed`/`heard` for
//! load, `wake` when a timer is due, and `take` for a new txn, which gives a `Txn` handle; `of`, `route`,
//! `returned` and `left` are all that can happen to it. What the balancer does goes out through the front's
//! `Outlet`. Every posting passes `Balancer::post`, and there `may_post`, where the four rules are kept.
use crate::book::*;
pub use crate::desk::{Balancer, Txn};
use crate::units::*;

impl Balancer {
    pub fn take(&mut self, txn: TxnRef, scheme: SchemeId, expiry: Micros) -> Txn<'_> {
        self.txns.insert(txn, State::new(scheme, expiry, self.now));
        self.gauge.spare = (self.gauge.spare + 0.1).min(10.0);
        self.asking.earn(&self.terms);
        Txn { desk: self, txn }
    }
}

impl Txn<'_> {
    /// Whose it is. What a tenant sends beyond its share is told from the rest by chance: one in so many, as
    /// its tries at all agents go over the quota.
    pub fn of(self, tenant: Option<TenantId>) -> Self {
        let Txn { desk, txn } = self;
        if let Some(TenantId(tenant)) = tenant.filter(|_| desk.terms.peers) {
            desk.rates.add(tenant);
            let all = desk.rates.mean(tenant) * desk.terms.agents as f64;
            let quota = desk.terms.quotas.get(tenant).copied().unwrap_or(f64::MAX);
            let fair = desk.chance.rand_float() * all < quota;
            desk.txns.get_mut(&txn).into_iter().for_each(|s| s.fair = fair);
        }
        Txn { desk, txn }
    }

    /// Sends the txn on its way, or answers it at once where the window is used up.
    pub fn route(self, out: &mut dyn Outlet) {
        let Txn { desk, txn } = self;
        let fair = desk.txns.get(&txn).is_some_and(|s| s.fair);
        let window = if fair { desk.gauge.wide } else { desk.gauge.window };
        if !(desk.terms.doors || fair && desk.gauge.calm || window.has_room(desk.in_flight())) {
            out.count("unserved_window");
            return desk.answer(txn, out);
        }
        Txn { desk, txn }.send(out);
    }

    fn send(self, out: &mut dyn Outlet) {
        let Txn { desk, txn } = self;
        let found = desk.pick(txn);
        if !found.is_some_and(|id| desk.post(txn, id, out)) {
            let over = desk.txns.get(&txn).is_some_and(|s| desk.now + desk.terms.tick >= s.expiry);
            out.count(if over { "unserved_expired" } else { "unserved_no_backend" });
            desk.answer(txn, out);
        }
    }

    /// A posting came back; `closed` says that the client has its answer.
    pub fn returned(self, posting: u32, fate: Fate, took: Micros, closed: bool, out: &mut dyn Outlet) {
        let Txn { desk, txn } = self;
        let now = desk.now;
        let Some(s) = desk.txns.get_mut(&txn) else { return };
        let Some(Posting { to: id, sent, stood, silent, .. }) = s.out.filter(|o| o.number == posting) else {
            return;
        };
        s.out = None;
        let scheme = s.scheme;
        desk.backends[id.0 as usize].iter_mut().for_each(|b| b.returned(txn, now));
        if !fate.never_ran() {
            s.ran = s.ran.or(Some((id, sent)));
        }
        s.closed |= closed || fate == Fate::Settled;
        let over = s.closed;
        let ejected = desk.gauge.ejecting && desk.backend(id).is_some_and(|b| b.shut(now));
        // A new connection answers as usual where one that had stood did not: it was the connection.
        let soon = took < desk.patience(scheme);
        if fate == Fate::Settled
            && let Some(b) = desk.backends[id.0 as usize].as_mut()
        {
            match (stood, std::mem::take(&mut b.silent)) {
                (Micros(0), silent) if soon => desk.trust.silent(silent),
                (stood, _) => desk.trust.answered(stood),
            }
        }
        let fate = if fate == Fate::Withdrawn && silent { Fate::TimedOut } else { fate };
        // Silence on a connection that stood unused says nothing of the backend.
        let unused = fate == Fate::TimedOut && stood.times(2.0) > desk.trust.keep;
        let lost = unused || desk.came_back(id, scheme, sent, fate, took);
        if !ejected && !lost {
            desk.ease(scheme, fate, took);
        }
        // Another posting is paid for from what the traffic saved up, so that failures feed no overload.
        // What a door turned away has cost no backend anything.
        let price = match fate {
            _ if desk.terms.doors && fate.never_ran() => 0.0,
            Fate::TimedOut | Fate::TurnedAway => 1.0,
            _ => 0.3,
        };
        if over {
            desk.txns.remove(&txn);
        } else if fate.ends() || desk.gauge.spare < price {
            // What one backend can't use none can: such a txn must not go round and cost them all.
            out.count(if fate.ends() { "unserved_unusable" } else { "unserved_no_budget" });
            desk.answer(txn, out);
        } else {
            desk.gauge.spare -= price;
            Txn { desk: &mut *desk, txn }.send(out);
        }
    }

    /// The client left: nothing is owed any more, and work still waiting is withdrawn.
    pub fn left(self, out: &mut dyn Outlet) {
        let Txn { desk, txn } = self;
        let Some(s) = desk.txns.get_mut(&txn) else { return };
        s.closed = true;
        match s.out {
            Some(o) if desk.terms.may_cancel => out.cancel(txn, o.number),
            None => drop(desk.txns.remove(&txn)),
            _ => {}
        }
    }
}
