//! The state of one balancer, and access to its parts. Decisions are in the other modules, each for one concern:
//! [`crate::request`], `endpoint_list`, `selection`, `send_rules`, `outlier_detection`, `concurrency_limit`, `timers`.
use std::collections::BTreeMap;

use oorandom::Rand64;

use crate::backend_state::*;
use crate::histogram::Histogram;
use crate::idle_connections::IdleTrust;
use crate::probe_budget::ProbeBudget;
use crate::tenant_rates::TenantRates;
use crate::units::*;
use crate::watch_backoff::WatchBackoff;

/// Weight of a backend in another zone, where the policy names none.
const REMOTE_ZONE_WEIGHT: f64 = 0.2;

/// One balancer. Its host sets the clock with [`Balancer::set_clock`] before each call, and carries out the
/// [`Effects`] in order.
pub struct Balancer {
    pub(crate) policy: Policy,
    pub(crate) now: Micros,
    pub(crate) rng: Rand64,
    pub(crate) backends: Vec<Option<Backend>>,
    pub(crate) subset: Vec<BackendId>, // the few that it sends to; it grows whenever all are busy
    pub(crate) generation: Generation,
    pub(crate) recently_gone: Vec<(Micros, BackendId)>,
    pub(crate) watch: WatchBackoff,
    pub(crate) probe_budget: ProbeBudget,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    pub(crate) latencies: Vec<Histogram>, // of successful attempts, by class
    pub(crate) stats: Statistics,
    pub(crate) sizes: NominalSizes, // see `Policy::weights_follow_load`
    pub(crate) tenant_rates: TenantRates,
    pub(crate) idle_trust: IdleTrust, // how long an idle connection is trusted
    pub(crate) next_tick: Micros,     // 0 before the first list
    pub(crate) wake_at: Micros,
    pub(crate) ejections: u32, // since the last tick
}

/// A request that the balancer knows. All that happens to it is a call on this handle.
pub struct RequestHandle<'a> {
    pub(crate) balancer: &'a mut Balancer,
    pub(crate) request: RequestId,
}

impl Balancer {
    /// A balancer that knows no backend yet. All its randomness comes from the seed.
    pub fn new(policy: Policy, seed: u64, now: Micros) -> Balancer {
        let mut rng = Rand64::new(u128::from(seed));
        let watch = WatchBackoff::new(policy.list_on_request, now, policy.watch_within, rng.rand_float());
        Balancer {
            now,
            rng,
            backends: Vec::new(),
            subset: Vec::new(),
            generation: Generation(0),
            recently_gone: Vec::new(),
            watch,
            probe_budget: ProbeBudget::default(),
            requests: BTreeMap::new(),
            latencies: vec![Histogram::default(); policy.classes.len()],
            stats: Statistics::new(),
            sizes: NominalSizes::default(),
            tenant_rates: TenantRates::new(policy.quotas.len()),
            idle_trust: IdleTrust::new(policy.idle_timeout),
            next_tick: Micros(0),
            wake_at: NEVER,
            ejections: 0,
            policy,
        }
    }

    /// The time of the calls that follow. It must not go back.
    pub fn set_clock(&mut self, now: Micros) {
        self.now = now;
    }

    /// Adds a class of requests, with the weight of backends in other zones for it.
    pub fn add_class(&mut self, class: RequestClass, remote_zone_weights: f64) -> ClassId {
        self.policy.remote_zone_weights.resize(self.policy.classes.len(), REMOTE_ZONE_WEIGHT);
        self.policy.classes.push(class);
        self.policy.remote_zone_weights.push(remote_zone_weights);
        self.latencies.push(Histogram::default());
        ClassId(self.policy.classes.len() - 1)
    }

    /// The backend has said that it leaves: the mass-removal guard does not hold it.
    pub fn on_backend_left(&mut self, id: BackendId) {
        self.at(id).into_iter().for_each(|backend| backend.removed = true);
    }

    /// Weight of a backend in another zone.
    pub(crate) fn remote_zone_weights(&self, class: ClassId) -> f64 {
        self.policy.remote_zone_weights.get(class.0).copied().unwrap_or(REMOTE_ZONE_WEIGHT)
    }

    /// The handle of a request; `None` where it has been answered.
    pub fn request(&mut self, request: RequestId) -> Option<RequestHandle<'_>> {
        self.requests.contains_key(&request).then_some(RequestHandle { balancer: self, request })
    }

    /// How many requests have neither been answered nor given up.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn at(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.backends.get_mut(id.0 as usize)?.as_mut()
    }

    pub(crate) fn backend(&self, id: BackendId) -> Option<&Backend> {
        self.backends.get(id.0 as usize)?.as_ref()
    }

    /// All backends on the list, frozen ones included.
    pub(crate) fn listed_backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter().flatten().filter(|backend| !backend.removed)
    }

    /// Hosts keep one wake: it is asked for again only where it is to come sooner.
    pub(crate) fn schedule_wake(&mut self, at: Micros, effects: &mut dyn Effects) {
        if at < self.wake_at {
            self.wake_at = at;
            effects.wake_after(at - self.now);
        }
    }

    /// Takes over what the list says of one backend.
    pub(crate) fn relist(&mut self, entry: &ListEntry) -> &mut Backend {
        let (at, now) = (entry.backend.0 as usize, self.now);
        if self.backends.len() <= at {
            self.backends.resize_with(at + 1, || None);
        }
        let backend = self.backends[at].get_or_insert_with(|| Backend::new(entry.clone(), now));
        backend.relist(entry, now);
        if self.policy.weights_follow_load {
            (backend.entry.size, backend.load_per_core) = self.sizes.observe(entry);
        }
        backend
    }

    /// A backend's answer came with a report of its load; `None` where it had none.
    pub fn on_load_report(&mut self, id: BackendId, report: Option<LoadReport>) {
        let now = self.now;
        if let (Some(backend), Some(report)) = (self.at(id), report) {
            backend.report = Some((report, now));
            let size = backend.entry.size;
            self.stats.on_load_report(report, size);
        }
    }

    /// A message of another balancer; see [`Effects::send_to_peer`].
    pub fn on_peer_rates(&mut self, message: &str) {
        self.tenant_rates.on_peer_rates(message);
    }

    /// The watch or a call for it has failed: the list stays, and the watch resumes after a jittered backoff.
    pub fn on_list_failed(&mut self) {
        self.watch.on_failure(self.now, self.policy.watch_within, self.rng.rand_float());
    }

    /// The list is now asked for at another source: earlier failures say nothing of that one.
    pub fn on_list_source_changed(&mut self) {
        self.watch.reset();
        self.on_list_failed();
    }
}
