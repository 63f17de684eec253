//! The backend of this machine, as its heartbeats tell and as the others are to know it.
use std::cell::{Cell, RefCell, RefMut};
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_endpoint_registry::heartbeats::{Departure, Event, Heartbeat, HeartbeatTracker};
use notchspool_mesh_protocol::{Endpoint, EndpointState, Verdict};

use crate::admission::AdmissionQueue;
use crate::context::Context;

/// The part of the drain time after which nothing new begins at a backend that drains.
const DRAIN_PART: f64 = 0.6;
const MAX_WARMUP_MS: i64 = 600_000;

/// Why a request may not begin at the backend here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable {
    /// What became of the request.
    pub verdict: Verdict,
    /// For people.
    pub reason: &'static str,
}

/// The backend beside this proxy.
pub struct LocalBackend {
    context: Rc<Context>,
    tracker: RefCell<HeartbeatTracker>,
    admission: RefCell<AdmissionQueue>,
    /// This proxy ends: nobody reaches the backend through it.
    is_proxy_leaving: Cell<bool>,
}

impl LocalBackend {
    /// Nothing was heard of it yet.
    pub fn new(context: Rc<Context>) -> LocalBackend {
        let interval = context.settings().heartbeat_interval;
        let tracker = RefCell::new(HeartbeatTracker::awaiting_history(interval, context.now()));
        let admission = RefCell::new(AdmissionQueue::new(context.now()));
        LocalBackend { context, tracker, admission, is_proxy_leaving: Cell::new(false) }
    }

    /// Something happened to it. Whether the others have to be told.
    pub fn apply(&self, event: Event) -> bool {
        let source = event.source();
        let changed = self.tracker.borrow_mut().apply(self.context.now(), event);
        if let Some(backend) = &self.tracker.borrow().backend {
            self.admission.borrow_mut().set_slots(backend.heartbeat.slots);
            if changed {
                let (instance, state) = (&backend.heartbeat.instance, backend.state);
                log::info!(target: "backend", "{instance} is {state} by {source}");
            }
        }
        changed
    }

    /// What may begin at it.
    pub fn admission(&self) -> RefMut<'_, AdmissionQueue> {
        self.admission.borrow_mut()
    }

    /// A replica tells what an earlier run of this proxy knew of it. Whether the others have to be told.
    pub fn recall(&self, endpoint: &Endpoint) -> bool {
        let is_same = {
            let settings = self.context.settings();
            let app_address = settings.app_address.map(|address| address.to_string());
            app_address.as_ref() == Some(&endpoint.address) && settings.service == endpoint.service
        };
        if !is_same || endpoint.proxy != self.context.address {
            return false;
        }
        self.apply(Event::Recalled(Heartbeat {
            instance: endpoint.instance.clone(),
            service: endpoint.service.clone(),
            address: endpoint.address.clone(),
            zone: endpoint.zone.clone(),
            slots: endpoint.slots,
            draining: endpoint.state() == EndpointState::Draining,
            warmup: Micros::ms(i64::from(endpoint.warmup_ms).min(MAX_WARMUP_MS)),
            call_count: endpoint.call_count,
        }))
    }

    /// How far this instance has come on its way out.
    pub fn departure(&self, instance: &str) -> Option<Departure> {
        self.tracker.borrow().departure(instance)
    }

    /// This proxy ends: others are told to send nothing here.
    pub fn set_proxy_leaving(&self) {
        self.is_proxy_leaving.set(true);
    }

    /// It as the others are to know it; `None` while nothing was heard of it.
    pub fn endpoint(&self) -> Option<Endpoint> {
        let (tracker, now) = (self.tracker.borrow(), self.context.now());
        let backend = tracker.backend.as_ref()?;
        // One that drains is told as such: the next run of this proxy has it from the replicas.
        let state = match backend.state {
            EndpointState::Ready if self.is_proxy_leaving.get() => EndpointState::Away,
            state => state,
        };
        let heartbeat = &backend.heartbeat;
        Some(Endpoint {
            instance: heartbeat.instance.clone(),
            service: heartbeat.service.clone(),
            proxy: self.context.address.clone(),
            boot_id: self.context.boot_id,
            number: 0,
            zone: heartbeat.zone.clone(),
            slots: heartbeat.slots,
            state: state.into(),
            warmup_ms: ((backend.warm_at - now).0 / 1000).clamp(0, MAX_WARMUP_MS) as u32,
            address: heartbeat.address.clone(),
            call_count: heartbeat.call_count,
        })
    }

    /// Why a request for this instance of a service may not begin here now, if so.
    pub fn unavailable(&self, instance: &str, service: &str) -> Option<Unavailable> {
        let unavailable = |verdict, reason| Some(Unavailable { verdict, reason });
        let tracker = self.tracker.borrow();
        let Some(backend) = &tracker.backend else {
            return unavailable(Verdict::NotRun, "no backend is known here yet");
        };
        if backend.heartbeat.instance != instance || backend.heartbeat.service != service {
            return unavailable(Verdict::OtherInstance, "another backend is here");
        }
        let drain_time = self.context.settings().bounds.drain.times(DRAIN_PART);
        match backend.state {
            EndpointState::Left => unavailable(Verdict::OtherInstance, "it has left"),
            _ if backend.is_drained(self.context.now(), drain_time) => {
                unavailable(Verdict::OtherInstance, "it drains")
            }
            _ => None,
        }
    }
}
