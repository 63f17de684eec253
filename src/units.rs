//! Ids, times, the policy that a balancer starts with, and the effects that it asks its host for. No decisions here.
use std::ops::{Add, Sub};

/// A point in time or a span, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub i64);

impl Micros {
    /// So many milliseconds.
    pub const fn ms(ms: i64) -> Micros {
        Micros(ms * 1000)
    }
    /// This span times `factor`, rounded down.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor).floor() as i64)
    }
    /// This span as a multiple of `other` (of one microsecond at the least).
    pub fn ratio_to(self, other: Micros) -> f64 {
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
    /// The host's own number for a request.
    RequestId(u64);
    /// A backend, numbered by the host from 0 in the order in which they are first named.
    BackendId(u32);
    /// A row of [`Policy::classes`].
    ClassId(usize);
    /// A zone, numbered by the host.
    ZoneId(u32);
    /// A cell: a small set of backends that share the memory of idempotency keys.
    CellId(i64);
    /// The version of an endpoint list.
    Generation(u64);
    /// A tenant, by its row in [`Policy::quotas`].
    TenantId(usize);
    /// A machine type, numbered by the host.
    ModelId(u32);
    /// Another balancer, by its own number.
    PeerId(u32);
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Any number of times.
    Idempotent,
    /// Backends that share a memory run it once per key; see [`DeduplicationScope`].
    Keyed,
    /// Once at most: never retried when it may have run.
    NonIdempotent,
}

/// Which backends share the memory of idempotency keys, so that a keyed request is retried among them alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends of the service.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What the policy says of one class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether its requests may run more than once.
    pub kind: RequestKind,
    /// Who deduplicates a keyed request.
    pub scope: DeduplicationScope,
    /// For how long after the first attempt keys are remembered.
    pub deduplication_window: Micros,
    /// An answer within this span has its full value.
    pub latency_target: Micros,
    /// The part of its value, 0 to 1, that an answer past the latency target still has.
    pub late_value: f64,
}

/// What a balancer is told at its start. It never changes, but for classes that are added.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    /// How many balancers share the backends.
    pub agent_count: u32,
    /// Where this balancer stands.
    pub zone: ZoneId,
    /// Classes of requests; [`ClassId`] is an index.
    pub classes: Vec<RequestClass>,
    /// Attempts of one request at most, the first included.
    pub max_attempts: u32,
    /// For how long after a drain was announced a backend may still be sent to; no such limit where `None`.
    pub drain_grace: Option<Micros>,
    /// The list is asked for again within this span.
    pub watch_within: Micros,
    /// Whether the list has to be asked for; otherwise it comes unsolicited.
    pub list_on_request: bool,
    /// The part of its capacity, 0 to 1, with which a backend starts.
    pub warmup_floor: f64,
    /// From its start to its full capacity.
    pub warmup_span: Micros,
    /// A warming backend that is sent more than this multiple of a warm one's throughput within
    /// [`Policy::warmup_window`] fails.
    pub warmup_multiple: f64,
    /// See [`Policy::warmup_multiple`].
    pub warmup_window: Micros,
    /// The longest span that a rejected client may be told to stay away for; `None` where clients are not told.
    pub retry_after: Option<Micros>,
    /// Whether backends may be probed.
    pub may_probe: bool,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether load is reported in answer to probes only.
    pub report_by_probe: bool,
    /// Whether a listed size is the nominal one divided by 1 + the requests in flight per core.
    pub weights_follow_load: bool,
    /// After this a backend closes an idle connection; 0: not known, and they last.
    pub idle_timeout: Micros,
    /// Whether balancers may send one another messages.
    pub has_peers: bool,
    /// This balancer's number among all.
    pub own_id: PeerId,
    /// Weight of that part of the goal which counts only where nearly all answers come within their target.
    pub in_time_weight: f64,
    /// Requests a second that each tenant's quota allows, over all balancers.
    pub quotas: Vec<f64>,
    /// Price of one probe for each request, as a part of a request's value.
    pub probe_price: f64,
    /// Whether a proxy beside each backend admits what begins there. Then there is no concurrency window and no
    /// warm-up budget here. A backend is gone when its heartbeats stop, and the mass-removal guard alone decides
    /// about it: a frozen one is picked until its hold is over, whatever the drain grace.
    pub backend_admission: bool,
    /// Weight of a backend in another zone, by class; the usual one where there is none.
    pub remote_zone_weights: Vec<f64>,
    /// Backends in a balancer's subset at its start; the usual number where `None`.
    pub subset_size: Option<usize>,
    /// The host's resolution of time.
    pub tick: Micros,
}

/// What the list says of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is not there any more.
    Gone,
}

/// One endpoint of a list.
#[derive(Clone, Debug, Default)]
pub struct ListEntry {
    /// Which backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// What the list says of it.
    pub status: EndpointStatus,
    /// When its process started; 0: long ago.
    pub started: Micros,
    /// Its machine type.
    pub model: ModelId,
    /// Its capacity against others'. Under [`Policy::weights_follow_load`] the balancer keeps the nominal size here.
    pub size: f64,
}

/// How a list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refresh {
    /// Changed endpoints only.
    Delta,
    /// All endpoints.
    Full,
    /// The last good list, as it was stored before a restart.
    Restored,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend answered as it should.
    Succeeded,
    /// The backend answered with a failure.
    Failed,
    /// The backend refused it before it ran.
    Rejected,
    /// The request itself is at fault: that says nothing of the backend's health, and no other can take it.
    Unusable,
    /// No answer in time.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection ended before the answer.
    ConnectionLost,
    /// This side gave it up.
    Cancelled,
    /// It never left this machine.
    NotSent,
    /// Not sent, and no other attempt can be: its body went out with an earlier one.
    BodyConsumed,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::NotSent
                | AttemptOutcome::BodyConsumed
        )
    }
    /// Whether no other backend can take the request after it.
    pub fn is_final(self) -> bool {
        matches!(self, AttemptOutcome::Unusable | AttemptOutcome::BodyConsumed)
    }
}

/// A backend's own report of its load; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The part of its capacity that is in use, 0 to 1.
    pub utilisation: Option<f64>,
    /// Requests that it has.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queue: Option<f64>,
    /// Requests answered a second.
    pub rate: Option<f64>,
}

/// What a balancer asks its host to do. A method must not call back into the balancer.
pub trait Effects {
    /// Send an attempt; its answer is of use until then.
    fn send(&mut self, request: RequestId, to: BackendId, until: Micros);
    /// Cancel an attempt that is out.
    fn cancel(&mut self, request: RequestId, attempt: u32);
    /// Answer the client that the request has not run or may be repeated, and when to come back.
    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>);
    /// Answer the client that the request may have run.
    fn fail(&mut self, request: RequestId);
    /// Probe a backend.
    fn probe(&mut self, backend: BackendId);
    /// Ask for the endpoint list.
    fn watch(&mut self);
    /// Call [`crate::balancer::Balancer::on_wake`] after this span; it replaces an earlier, later wake.
    fn wake_after(&mut self, span: Micros);
    /// Send a message of 256 bytes at most to another balancer. Only under [`Policy::has_peers`].
    fn send_to_peer(&mut self, _: PeerId, _: &str) {}
    /// Close idle connections to a backend.
    fn close_idle(&mut self, _: BackendId) {}
    /// Write a line to the log.
    fn log(&mut self, line: &str);
    /// Add one to a counter of decisions. Hosts without counters ignore it.
    fn increment(&mut self, _: &'static str) {}
}
