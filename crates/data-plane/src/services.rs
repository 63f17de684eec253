//! The endpoint list, and a balancer for each service that is called from here.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_endpoint_registry::endpoint_list::{Changes, EndpointList};
use notchspool_mesh_protocol::{EndpointState, EndpointUpdate};

use crate::context::Context;
use crate::retry_budget::RetryBudget;
use crate::service_balancer::{BalancerAction, ServiceBalancer};

/// Proxies that may spend retries are taken to be this many at least.
const MIN_PROXIES: usize = 8;

/// Which backends there are, and who of them takes a request.
pub struct Services {
    context: Rc<Context>,
    endpoints: RefCell<EndpointList>,
    balancers: RefCell<BTreeMap<String, ServiceBalancer>>,
}

impl Services {
    /// No endpoint is known yet.
    pub fn new(context: Rc<Context>) -> Services {
        Services { context, endpoints: RefCell::default(), balancers: RefCell::default() }
    }

    /// The version of the endpoint list; 0 where there is none.
    pub fn list_version(&self) -> u64 {
        self.endpoints.borrow().version()
    }

    /// Calls `then` with the balancer of a service, which is opened when the service is first named.
    pub fn with<T>(&self, service: &str, then: impl FnOnce(&mut ServiceBalancer) -> T) -> T {
        let mut balancers = self.balancers.borrow_mut();
        let balancer = balancers.entry(service.to_string()).or_insert_with(|| self.new_balancer(service));
        then(balancer)
    }

    fn new_balancer(&self, service: &str) -> ServiceBalancer {
        let (settings, now) = (self.context.settings(), self.context.now());
        let bounds = &settings.bounds;
        let (ratio, slack, window) = (bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        let retry_budget = RetryBudget::new(ratio, slack, window, self.proxies(), now);
        let seed = (self.context.random() * 1e15) as u64;
        let mut balancer = ServiceBalancer::new(&settings.zone, bounds.drain, seed, retry_budget, now);
        let endpoints = self.endpoints.borrow();
        let of_service = endpoints
            .endpoints()
            .filter(|endpoint| endpoint.service == service && endpoint.state() != EndpointState::Left);
        let changes = Changes { updated: of_service.cloned().collect(), removed: Vec::new() };
        if !changes.updated.is_empty() {
            balancer.apply_changes(now, endpoints.version(), &changes);
        }
        balancer
    }

    /// Proxies that may spend retries: all on the list, and half as many for those that it does not hold.
    fn proxies(&self) -> usize {
        let endpoints = self.endpoints.borrow();
        let present = endpoints.endpoints().filter(|e| e.state() != EndpointState::Left).count();
        (present + present / 2).max(MIN_PROXIES)
    }

    /// An update came from the replica that is watched.
    pub fn apply(&self, update: EndpointUpdate) {
        let version = update.version;
        let Some(changes) = self.endpoints.borrow_mut().apply(update) else {
            self.context.count("lists_older");
            return;
        };
        let (proxies, now) = (self.proxies(), self.context.now());
        for (service, changes) in by_service(changes) {
            let mut balancers = self.balancers.borrow_mut();
            if let Some(balancer) = balancers.get_mut(&service) {
                let actions = balancer.apply_changes(now, version, &changes);
                log_actions(&service, actions);
            }
        }
        let slack = self.context.settings().bounds.retry_slack;
        for balancer in self.balancers.borrow_mut().values_mut() {
            balancer.retry_budget.set_proxies(slack, proxies);
        }
    }

    /// Forgets the balancers of services that the configuration does not name any more, once none of their requests is open.
    pub fn forget_unnamed(&self, is_named: impl Fn(&str) -> bool) {
        let mut balancers = self.balancers.borrow_mut();
        balancers.retain(|service, balancer| is_named(service) || balancer.open_requests() > 0);
    }

    /// Time has passed.
    pub fn tick(&self, now: Micros) {
        self.balancers.borrow_mut().values_mut().for_each(|balancer| drop(balancer.tick(now)));
    }

    /// Of each service: how many backends are healthy, and how many requests are open.
    pub fn figures(&self) -> Vec<String> {
        let balancers = self.balancers.borrow();
        let of_service = |(service, balancer): (&String, &ServiceBalancer)| {
            let (healthy, open) = (balancer.healthy_backends(), balancer.open_requests());
            [format!("sound_backends {service} {healthy}"), format!("requests_open {service} {open}")]
        };
        balancers.iter().flat_map(of_service).collect()
    }
}

fn by_service(changes: Changes) -> BTreeMap<String, Changes> {
    let mut by_service: BTreeMap<String, Changes> = BTreeMap::new();
    for endpoint in changes.removed {
        by_service.entry(endpoint.service.clone()).or_default().removed.push(endpoint);
    }
    for endpoint in changes.updated {
        by_service.entry(endpoint.service.clone()).or_default().updated.push(endpoint);
    }
    by_service
}

fn log_actions(service: &str, actions: Vec<BalancerAction>) {
    for action in actions {
        if let BalancerAction::Log(line) = action {
            log::info!(target: "balancer", "{service}: {line}");
        }
    }
}
