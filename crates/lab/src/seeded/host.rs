//! What stands round one balancer, as small as it can be, and hosts that are made to break one rule each.
use notchspool::balancer::Balancer;
use notchspool::units::*;

/// A host that does not do what it should. The module in it is the real one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Breaks {
    #[default]
    Nothing,
    /// Rule 1: now and then it forgets to pass an answer on.
    Lost,
    /// Rule 2: it takes a connection that broke for one that never came up.
    Twice,
    /// Rule 3: it reads `draining` as `ready`.
    Drain,
    /// Rule 4: it reads every start as long ago.
    Cold,
}

/// What the module wants done.
#[derive(Clone, Copy, Debug)]
pub enum Want {
    Post { txn: RequestId, to: BackendId, until: Micros },
    Cancel { txn: RequestId },
    Decline { txn: RequestId, away: Option<Micros> },
    Reverse { txn: RequestId },
    Watch,
    Wake(Micros),
}

#[derive(Default)]
pub struct Hand(pub Vec<Want>);

impl Effects for Hand {
    fn send(&mut self, txn: RequestId, to: BackendId, until: Micros) {
        self.0.push(Want::Post { txn, to, until });
    }
    fn cancel(&mut self, txn: RequestId, _: u32) {
        self.0.push(Want::Cancel { txn });
    }
    fn reject(&mut self, txn: RequestId, away: Option<Micros>) {
        self.0.push(Want::Decline { txn, away });
    }
    fn fail(&mut self, txn: RequestId) {
        self.0.push(Want::Reverse { txn });
    }
    fn probe(&mut self, _: BackendId) {}
    fn watch(&mut self) {
        self.0.push(Want::Watch);
    }
    fn wake_after(&mut self, span: Micros) {
        self.0.push(Want::Wake(span));
    }
    fn log(&mut self, _: &str) {}
}

pub struct Host {
    pub breaks: Breaks,
    balancer: Balancer,
    answered: u64,
}

impl Host {
    pub fn open(terms: Policy, seed: u64, now: Micros, breaks: Breaks) -> Host {
        Host { breaks, balancer: Balancer::new(terms, seed, now), answered: 0 }
    }
    /// One call on the module at this moment, and what it wants done then.
    pub fn call(&mut self, now: Micros, call: impl FnOnce(&mut Balancer, &mut Hand)) -> Vec<Want> {
        let mut hand = Hand::default();
        self.balancer.set_clock(now);
        call(&mut self.balancer, &mut hand);
        hand.0
    }
    /// An entry as this host reads it.
    pub fn read(&self, entry: ListEntry) -> ListEntry {
        match self.breaks {
            Breaks::Drain if entry.status == EndpointStatus::Draining => {
                ListEntry { status: EndpointStatus::Ready, ..entry }
            }
            Breaks::Cold => ListEntry { started: Micros(0), ..entry },
            _ => entry,
        }
    }
    /// The end of a posting as this host sees it.
    pub fn fate(&self, fate: AttemptOutcome) -> AttemptOutcome {
        match (self.breaks, fate) {
            (Breaks::Twice, AttemptOutcome::ConnectionLost) => AttemptOutcome::ConnectFailed,
            _ => fate,
        }
    }
    /// Whether an answer is passed on.
    pub fn passes(&mut self) -> bool {
        self.answered += 1;
        self.breaks != Breaks::Lost || !self.answered.is_multiple_of(100)
    }
}
