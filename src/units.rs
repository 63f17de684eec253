//! Ids, times and the terms an instance starts with. No decisions here.
use std::ops::{Add, Sub};

/// A point in time or a span, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub i64);

impl Micros {
    pub const fn ms(ms: i64) -> Micros {
        Micros(ms * 1000)
    }
    /// This span times `factor`, rounded down.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor).floor() as i64)
    }
    /// This span as a multiple of `other` (of one microsecond at the least).
    pub fn over(self, other: Micros) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}
impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub $inner);
    )*};
}
ids! {
    /// The front's own number for a txn.
    TxnRef(u64);
    /// A backend, numbered by the front as it is first named.
    BackendId(u32);
    /// A row of the scheme table.
    SchemeId(usize);
    /// A zone, numbered by the front.
    ZoneId(u32);
    /// A cell: a small set of backends that remember refs together.
    CellId(i64);
    /// The version of a server list.
    Generation(u64);
    /// A tenant, by its row in the terms.
    TenantId(usize);
    /// A machine type, numbered by the front.
    ModelId(u32);
    /// Another agent, by its own number.
    PeerId(u32);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Repeatable,
    Referenced,
    OnceOnly,
}

/// Which backends drop the repeats of a referenced txn together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// One row of the scheme table.
#[derive(Clone, Debug)]
pub struct Scheme {
    pub kind: Kind,
    pub group: Group,
    pub window: Micros,
    pub sla: Micros,
    /// Part of a txn's value that an answer after the SLA time still earns.
    pub overdue: f64,
}

/// What an instance is told at start and never changes.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub agents: u32,
    pub zone: ZoneId,
    pub schemes: Vec<Scheme>,
    pub max_postings: u32,
    pub drain_grace: Option<Micros>,
    pub ask_within: Micros,
    /// The list has to be asked for; otherwise it comes unsolicited.
    pub list_on_request: bool,
    pub cold_from: f64,
    pub cold_span: Micros,
    pub fall_multiple: f64,
    pub fall_span: Micros,
    /// The longest span a client is known to stay away for; none where clients are not told.
    pub retry_after: Option<Micros>,
    pub may_probe: bool,
    pub may_cancel: bool,
    /// Load is reported to probes only.
    pub report_by_probe: bool,
    /// Listed weights are the size over 1 + txns held a core, and move with load.
    pub live_weights: bool,
    /// After this a connection that stands unused is closed; 0: not known, and they last.
    pub idle_close: Micros,
    /// Agents may send one another messages.
    pub peers: bool,
    /// This agent's number among all.
    pub me: PeerId,
    /// Weight of the part of the goal that counts only where all but few answers come within their SLA time.
    pub kept_promises: f64,
    /// Txns a second that each tenant's share holds, over all agents.
    pub quotas: Vec<f64>,
    /// Price of one probe a txn, as a share of the value.
    pub probe_price: f64,
    /// Another agent stands beside each backend and has the last word on what begins there: no window here, no
    /// part of a cold backend's budget. Entries come from beats: whose beats stopped is gone, and the guard alone
    /// decides about it; a frozen one is drawn till its hold is over, and no grace binds it.
    pub doors: bool,
    /// Weight of a backend in another zone, by scheme; the usual one where there is none.
    pub afar: Vec<f64>,
    /// Members an agent starts with; the usual number where there is none.
    pub few: Option<usize>,
    pub tick: Micros,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of a server list.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub standing: Standing,
    pub started: Micros,
    pub model: ModelId,
    /// As listed; where weights are live, the balancer puts the nominal size here and the rest into `crowd`.
    pub size: f64,
}

/// How a list reached us: only the altered lines, all of them, or the list as held before a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refresh {
    Delta,
    Full,
    Restored,
}

/// What became of one posting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Settled,
    Errored,
    TurnedAway,
    /// The backend could not use the txn itself: that says nothing of the backend's health.
    Unusable,
    TimedOut,
    NoLink,
    Broken,
    Withdrawn,
    NeverSent,
    /// Not sent, and no other posting can be: its body went out with an earlier one.
    Spent,
}

impl Fate {
    /// Whether this outcome proves that the txn never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Fate::TurnedAway | Fate::NoLink | Fate::NeverSent | Fate::Spent)
    }
    /// Whether no other backend can take the txn after it.
    pub fn ends(self) -> bool {
        matches!(self, Fate::Unusable | Fate::Spent)
    }
}

/// A backend's own report of its load; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub utilisation: Option<f64>,
    pub in_flight: Option<f64>,
    /// Txns that wait.
    pub queue: Option<f64>,
    /// Txns settled a second.
    pub rate: Option<f64>,
}

/// What a balancer does, carried out by the front.
pub trait Outlet {
    fn post(&mut self, txn: TxnRef, to: BackendId, until: Micros);
    fn cancel(&mut self, txn: TxnRef, posting: u32);
    fn decline(&mut self, txn: TxnRef, away: Option<Micros>);
    fn reverse(&mut self, txn: TxnRef);
    fn probe(&mut self, backend: BackendId);
    fn watch(&mut self);
    fn wake_in(&mut self, span: Micros);
    /// A message to one peer, of 256 bytes at most. Only where the terms allow it.
    fn tell(&mut self, _: PeerId, _: &str) {}
    /// Closes the connections to a backend that stand idle.
    fn trim(&mut self, _: BackendId) {}
    fn note(&mut self, line: &str);
    /// One more of a kind of decision, for sums over a fleet. Hosts without counters pass it over.
    fn count(&mut self, _: &'static str) {}
}
