//! What every part of a proxy needs and none changes alone: who it is, its settings, clock, chance and counters.
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{Hello, MAX_HEADERS, Role};
use notchspool_runtime::Clock;
use notchspool_runtime::node_settings::NodeSettings;
use oorandom::Rand64;

use crate::body_budget::{BodyBudget, MemoryBudget};
use crate::event_log::EventLog;
use crate::stall_detector::StallDetector;

/// The surroundings of one proxy.
pub struct Context {
    settings: RefCell<NodeSettings>,
    clock: Clock,
    /// One run of the process, drawn at its start.
    pub boot_id: u64,
    /// Where other proxies reach this one, `ip:port`.
    pub address: String,
    rng: RefCell<Rand64>,
    stall_detector: Cell<StallDetector>,
    last_id: Cell<u64>,
    counters: RefCell<BTreeMap<&'static str, u64>>,
    /// What the log says of single requests.
    pub event_log: EventLog,
    /// Memory for the bodies of requests that begin here.
    pub body_budget: BodyBudget,
    /// Memory for large answers of the backend here that are kept whole.
    pub answer_budget: MemoryBudget,
}

impl Context {
    /// A proxy that starts now.
    pub fn new(settings: NodeSettings, boot_id: u64) -> Context {
        let clock = Clock::start();
        Context {
            clock,
            boot_id,
            address: settings.peer_address(),
            rng: RefCell::new(Rand64::new(u128::from(boot_id))),
            stall_detector: Cell::new(StallDetector::new(clock.now())),
            last_id: Cell::new(0),
            counters: RefCell::default(),
            event_log: EventLog::default(),
            body_budget: BodyBudget::new(settings.memory_mb),
            answer_budget: MemoryBudget::for_answers(settings.memory_mb),
            settings: RefCell::new(settings),
        }
    }

    /// The settings as they were read last.
    pub fn settings(&self) -> Ref<'_, NodeSettings> {
        self.settings.borrow()
    }

    /// Other settings from now on.
    pub fn replace_settings(&self, settings: NodeSettings) {
        self.settings.replace(settings);
    }

    /// Bytes a second that the machine's link carries.
    pub fn link_bytes_per_second(&self) -> f64 {
        self.settings().link_mbps * 1e6 / 8.0
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The process runs. How old what is read now may be, where it stood still.
    pub fn observe_running(&self) -> Micros {
        let mut stall_detector = self.stall_detector.get();
        let age = stall_detector.observe(self.now());
        self.stall_detector.set(stall_detector);
        age
    }

    /// An id that this run of the process has not given before.
    pub fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// A chance in 0..1.
    pub fn random(&self) -> f64 {
        self.rng.borrow_mut().rand_float()
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: &'static str) {
        *self.counters.borrow_mut().entry(counter).or_default() += 1;
    }

    /// All counters, by name.
    pub fn counters(&self) -> Vec<(&'static str, u64)> {
        self.counters.borrow().iter().map(|(name, count)| (*name, *count)).collect()
    }

    /// What this proxy says first on a connection.
    pub fn hello(&self) -> Hello {
        Hello {
            node: self.settings().node.clone(),
            boot_id: self.boot_id,
            address: self.address.clone(),
            role: Role::Proxy.into(),
            asks_for_bodies: true,
            max_headers: MAX_HEADERS as u32,
            ..Hello::default()
        }
    }
}

/// A wait that ends with `None` once the time is over.
pub async fn within<T>(time: Micros, wait: impl Future<Output = T>) -> Option<T> {
    tokio::time::timeout(Duration::from_micros(time.0.max(0) as u64), wait).await.ok()
}
