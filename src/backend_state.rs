//! What a balancer keeps of each backend and of each request in flight. No decisions here.
use crate::concurrency_window::{BURST, ConcurrencyWindow};
use crate::units::*;

/// One backend as this balancer knows it.
#[derive(Default)]
pub struct Backend {
    pub entry: ListEntry,
    pub load_per_core: f64, // requests in flight per core, by the list; see `Policy::weights_follow_load`
    pub leaving_since: Option<Micros>, // since when it is known to drain or to be gone
    pub takes_part_until: Micros, // until then a draining one still takes its part of the requests
    pub frozen_since: Option<Micros>, // gone, but held on the list by the guard since then
    pub removed: bool,
    pub is_gone: bool, // the list says so; the mass-removal guard decides about it
    pub outstanding: Vec<(RequestId, Micros)>, // own attempts that have not ended
    pub report: Option<(LoadReport, Micros)>,
    pub relative_latency: f64, // own response times against those of all backends, smoothed
    pub latency_at: Micros,
    pub last_answered: Micros, // when the latest of the attempts that succeeded was sent
    pub failure_score: f64,    // 0: healthy, 1: nothing works
    pub ejected_until: Micros,
    pub ejection_span: Micros,
    pub connection_used_at: Micros, // when the connection to it was last used
    pub silent_after_idle: Micros,  // how long that connection had stood by then
    pub connection_suspect: bool,   // nothing came on that connection when it was due
    pub last_sent: Micros,          // when an attempt was last sent
    pub probed_at: Micros,
    pub throughput: f64,                 // successes within two warm-up windows, smoothed
    pub warming: bool,                   // at the last tick
    pub sent_while_warming: Vec<Micros>, // when attempts were sent while it warmed up
    pub warmup_draw: f64, // random part of an attempt, drawn anew each warm-up window: see `has_warmup_budget`
    pub warmup_draw_until: Micros,
}

impl Backend {
    /// A backend of which nothing is known but its entry.
    pub fn new(entry: ListEntry, now: Micros) -> Backend {
        Backend { entry, latency_at: now, relative_latency: 1.0, warmup_draw: 1.0, ..Backend::default() }
    }
    /// The part of its full capacity, 0 to 1, that it has for certain at its age.
    pub fn warm_fraction(&self, policy: &Policy, now: Micros) -> f64 {
        if self.entry.started == Micros(0) {
            return 1.0; // long past
        }
        let age = (now - self.entry.started).ratio_to(policy.warmup_span);
        (policy.warmup_floor + (1.0 - policy.warmup_floor) * age).min(1.0)
    }
    /// Whether it has warmed up since this was last asked.
    pub fn became_warm(&mut self, policy: &Policy, now: Micros) -> bool {
        let warming = self.warm_fraction(policy, now) < 1.0;
        std::mem::replace(&mut self.warming, warming) && !warming
    }
    /// Takes over what the list says. After a restart nothing that was known of it counts.
    pub fn relist(&mut self, entry: &ListEntry, now: Micros) {
        if entry.started > self.entry.started || (self.removed && entry.status == EndpointStatus::Ready) {
            let (outstanding, sent_while_warming) =
                (std::mem::take(&mut self.outstanding), std::mem::take(&mut self.sent_while_warming));
            *self = Backend { outstanding, sent_while_warming, ..Backend::new(entry.clone(), now) };
        }
        self.entry = entry.clone();
    }
    /// An attempt was sent there.
    pub fn on_sent(&mut self, request: RequestId, now: Micros, warming: bool) {
        (self.last_sent, self.connection_used_at) = (now, now);
        self.outstanding.push((request, now));
        if warming {
            self.sent_while_warming.push(now);
        }
    }
    /// For how long its connection has been idle; 0 where it is in use, or there is none.
    pub fn idle_for(&self, now: Micros) -> Micros {
        if self.outstanding.is_empty() && self.connection_used_at > Micros(0) {
            now - self.connection_used_at
        } else {
            Micros(0)
        }
    }
    /// An attempt has ended, whatever its outcome.
    pub fn on_returned(&mut self, request: RequestId, now: Micros) {
        self.outstanding.retain(|attempt| attempt.0 != request);
        self.connection_used_at = now;
    }
    /// One more response time, as a multiple of the mean of all backends.
    pub fn record_latency(&mut self, ratio: f64, now: Micros) {
        self.relative_latency += 0.2 * (ratio - self.relative_latency);
        self.latency_at = now;
    }
    /// Counters of an attempt that is sent to it, besides the usual one.
    pub fn counts(&self, warming: bool, now: Micros) -> Vec<&'static str> {
        let status = match self.entry.status {
            _ if self.frozen_since.is_some() => Some("postings_frozen"),
            EndpointStatus::Draining => Some("postings_draining"),
            EndpointStatus::Ready if warming => Some("postings_cold"),
            _ => None,
        };
        status.into_iter().chain(self.is_ejected(now).then_some("postings_ejected")).collect()
    }
    /// Whether outlier detection keeps it out of the selection now.
    pub fn is_ejected(&self, now: Micros) -> bool {
        self.ejected_until > now
    }
}

/// An attempt that is in flight.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub number: u32,
    pub to: BackendId,
    pub sent: Micros,
    pub idle_for: Micros, // how long its connection had been idle; 0: it was new
    pub overdue: bool,    // it takes longer than most
    pub silent: bool,     // and longer than any
}

/// A request that the balancer knows.
#[derive(Default)]
pub struct RequestState {
    pub class: ClassId,
    pub deadline: Micros,
    pub received_at: Micros,
    pub attempts: u32,
    pub outstanding: Option<Attempt>,
    pub may_have_run: Option<(BackendId, Micros)>, // the first attempt that may have run, and when it was sent
    pub last_backend: Option<BackendId>,
    pub closed: bool,
    pub in_quota: bool, // within its tenant's quota
}

/// Later than any time.
pub const NEVER: Micros = Micros(i64::MAX);

impl RequestState {
    /// A request without attempts.
    pub fn new(class: ClassId, deadline: Micros, received_at: Micros) -> RequestState {
        RequestState { class, deadline, received_at, ..RequestState::default() }
    }
}

/// Running statistics of a balancer.
#[derive(Default)]
pub struct Statistics {
    pub window: ConcurrencyWindow,          // attempts in flight at most
    pub in_quota_window: ConcurrencyWindow, // the same for requests within their tenants' quotas
    pub load_per_core: f64,                 // mean of the backends'
    pub calm: bool, // no pressure in the fleet: requests within quota pass without a window
    pub fast_start: bool, // never under pressure so far: the window grows fast
    pub pressure: f64, // squares of response time over latency target, smoothed
    pub base_pressure: f64, // the same of the fastest quarter
    pub retry_tokens: f64, // retries that are still allowed
    pub failure_rate: f64, // part of attempts that fail at healthy backends, smoothed
    pub in_flight_per_size: f64, // requests in flight that backends report, over size, smoothed
    pub utilisation: f64, // as backends report it, smoothed; 1 until they do
    pub has_few_backends: bool, // fewer than balancers: each is heard from seldom
    pub ejection_enabled: bool, // not while more than half look unhealthy
    pub min_window: f64, // this balancer's part of what overloads nobody
    pub throughput: f64, // successes at warm backends within a warm-up window, over size
}

impl Statistics {
    /// What a backend of this size reports.
    pub fn on_load_report(&mut self, report: LoadReport, size: f64) {
        if let Some(n) = report.in_flight {
            self.in_flight_per_size += 0.1 * (n / size.max(1e-9) - self.in_flight_per_size);
        }
        if let Some(utilisation) = report.utilisation {
            self.utilisation += 0.1 * (utilisation.clamp(0.0, 1.0) - self.utilisation);
        }
    }
    /// The values that a balancer starts with.
    pub fn new() -> Statistics {
        let window = ConcurrencyWindow { size: 2.0, credit: BURST };
        Statistics {
            window,
            in_quota_window: window,
            fast_start: true,
            retry_tokens: 3.0,
            utilisation: 1.0,
            min_window: 1.0,
            ..Statistics::default()
        }
    }
}

/// Nominal sizes under `Policy::weights_follow_load`: the largest that was listed for a machine type.
#[derive(Default)]
pub struct NominalSizes(std::collections::BTreeMap<ModelId, f64>);

impl NominalSizes {
    /// The nominal size of a listed backend, and its requests in flight per core.
    pub fn observe(&mut self, entry: &ListEntry) -> (f64, f64) {
        let size = self.0.entry(entry.model).or_default();
        *size = size.max(entry.size);
        (*size, *size / entry.size.max(1e-9) - 1.0)
    }
}

/// The index that `roll`, 0 to 1, selects among the weights; `None` where all are 0.
pub fn draw(weights: &[f64], roll: f64) -> Option<usize> {
    let mut left = roll * weights.iter().sum::<f64>();
    let hit = |w: &f64| {
        left -= w;
        left < 0.0
    };
    weights.iter().position(hit).or_else(|| weights.iter().rposition(|w| *w > 0.0))
}

/// Keeps those that satisfy the predicate, if any does.
pub fn prefer(open: &mut Vec<&Backend>, good: impl Fn(&Backend) -> bool) {
    if open.iter().any(|backend| good(backend)) {
        open.retain(|backend| good(backend));
    }
}
