//! The parts of one proxy, put together.
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;

use notchspool_runtime::node_settings::NodeSettings;

use crate::backend_exchange::BackendClient;
use crate::claim_client::ClaimClient;
use crate::config_store::ConfigStore;
use crate::context::Context;
use crate::control_client::ControlClient;
use crate::inbound::Inbound;
use crate::link_load::LinkLoad;
use crate::local_api::LocalApi;
use crate::local_backend::LocalBackend;
use crate::outbound::Outbound;
use crate::peer_connections::PeerConnections;
use crate::replicas::Replicas;
use crate::running_requests::RunningRequests;
use crate::services::Services;

/// The backend is looked after each so many ticks, and a span of the log is as long as so many.
const TICKS_A_BACKEND_TICK: u64 = 5;
const TICKS_A_LOG_LINE: u64 = 50;

/// The parts of one proxy.
pub struct Proxy {
    /// Identity, settings, clock and counters.
    pub context: Rc<Context>,
    /// The configuration in force.
    pub config: Rc<ConfigStore>,
    /// Endpoints and balancers.
    pub services: Rc<Services>,
    /// The backend here.
    pub backend: Rc<LocalBackend>,
    /// Claims of idempotency keys.
    pub claims: Rc<ClaimClient>,
    /// Connections to the replicas.
    pub control: Rc<ControlClient>,
    /// Connections to the backend here.
    pub client: Rc<BackendClient>,
    /// What the backend here works on.
    pub running: Rc<RunningRequests>,
    /// Requests for the backend here.
    pub inbound: Rc<Inbound>,
    /// Connections to other proxies.
    pub peers: Rc<PeerConnections>,
    /// Requests that begin here.
    pub outbound: Rc<Outbound>,
    /// What the platform and the backend here call.
    pub api: Rc<LocalApi>,
}

impl Proxy {
    /// Puts the parts together. `boot_id`: drawn at the start of the process.
    pub fn new(settings: NodeSettings, boot_id: u64) -> Proxy {
        let context = Rc::new(Context::new(settings, boot_id));
        let config = Rc::new(ConfigStore::default());
        let replicas = Rc::new(Replicas::default());
        let services = Rc::new(Services::new(context.clone()));
        let backend = Rc::new(LocalBackend::new(context.clone()));
        let claims = Rc::new(ClaimClient::new(context.clone(), replicas.clone()));
        let control = Rc::new(ControlClient::new(
            context.clone(),
            replicas.clone(),
            claims.clone(),
            config.clone(),
            services.clone(),
            backend.clone(),
        ));
        let link_load = Rc::new(LinkLoad::new(context.clone()));
        let running = Rc::new(RunningRequests::default());
        let client = Rc::new(BackendClient::new(context.clone(), link_load.clone()));
        let inbound = Rc::new(Inbound::new(
            context.clone(),
            backend.clone(),
            client.clone(),
            claims.clone(),
            control.clone(),
            link_load,
            running.clone(),
        ));
        let peers = Rc::new(PeerConnections::new(context.clone(), inbound.clone()));
        let outbound = Rc::new(Outbound::new(
            context.clone(),
            config.clone(),
            services.clone(),
            claims.clone(),
            peers.clone(),
            running.clone(),
        ));
        let api = Rc::new(LocalApi {
            context: context.clone(),
            config: config.clone(),
            services: services.clone(),
            replicas,
            outbound: outbound.clone(),
            inbound: inbound.clone(),
            control: control.clone(),
            confirmed_departure: RefCell::default(),
            is_stopping: Cell::new(false),
        });
        Proxy {
            context,
            config,
            services,
            backend,
            claims,
            control,
            client,
            running,
            inbound,
            peers,
            outbound,
            api,
        }
    }

    /// Reads the settings file again; one that makes no sense changes nothing.
    pub fn reload_settings(&self, file: &Path) {
        match NodeSettings::read(file) {
            Ok(settings) if *self.context.settings() != settings => {
                log::info!(target: "proxy", "settings have changed");
                // Whoever serves control tells of the set, though all that voted when this one last heard may be gone.
                let seeds = settings.seed_peer_addresses();
                seeds.into_iter().for_each(|seed| self.control.keep_connected(seed));
                self.context.replace_settings(settings);
            }
            Ok(_) => {}
            Err(e) => log::warn!(target: "proxy", "settings stay as they were: {e}"),
        }
    }

    /// Time has passed. `ticks`: how often it was called.
    pub fn tick(&self, ticks: u64) {
        self.context.observe_running();
        self.peers.tick();
        let now = self.context.now();
        self.services.tick(now);
        if ticks.is_multiple_of(TICKS_A_LOG_LINE) {
            self.log_span();
        }
        if ticks.is_multiple_of(TICKS_A_BACKEND_TICK) {
            self.inbound.tick(now);
        }
    }

    fn log_span(&self) {
        for summary in self.context.event_log.end_span() {
            log::info!(target: "outbound", "{summary}");
        }
        if log::log_enabled!(log::Level::Debug) {
            log::debug!(target: "proxy", "{}", self.api.figures().replace('\n', ", "));
        }
    }
}
