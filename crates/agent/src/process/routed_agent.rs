//! An agent with routes, as an operator's file says; it reads the file again on SIGHUP, all of it or nothing.
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use actix::Addr;
use actix_http::error::DispatchError;
use notchspool::units::Micros;
use notchspool_settings::agent_file::{self, AgentConfig, ListenAddress, Protocol};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::mpsc::UnboundedReceiver;

use super::serve::http_service;
use super::shared_state::{OpenedState, SharedState, SharedStateEvent};
use super::{fleet_commands, signals};
use crate::base::clock::Clock;
use crate::base::limits::SharedLimits;
use crate::base::stall_detector::StallDetector;
use crate::fleet;
use crate::front::fastcgi_front::serve_fastcgi;
use crate::front::routed_front::RoutedFront;
use crate::routing::build::{RouteIds, build};
use crate::routing::pool::PoolContext;
use crate::state::balancer_actor::BalancerContext;
use crate::state::counters::Counters;
use crate::state::endpoint_list::ListContext;
use crate::state::request::RetryBudgets;
use crate::wire::acceptor::{Acceptor, Listener, ServeConnection};
use crate::wire::client_connections::ClientConnections;
use crate::wire::front_state::FrontState;
use crate::wire::management::Management;

/// Exit code of a start that is refused.
const EXIT_REFUSED: u8 = 2;

/// Reads an operator's file.
///
/// # Errors
///
/// The file can't be read, or all mistakes in it, a line each.
pub fn load(path: &Path) -> Result<AgentConfig, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    agent_file::read(&name, &text)
        .map_err(|mistakes| mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

/// Runs the agent of this file until its end.
pub fn run(path: PathBuf) -> ExitCode {
    crate::base::logger::start();
    let code = match load(&path) {
        Ok(config) => run_config(path, config),
        Err(mistakes) => {
            log::error!("cannot start: {mistakes}");
            ExitCode::from(EXIT_REFUSED)
        }
    };
    log::logger().flush();
    code
}

/// From the first listener to the last answer.
fn run_config(path: PathBuf, config: AgentConfig) -> ExitCode {
    let counters = Rc::new(Counters::default());
    let system = actix::System::new();
    let started = system.block_on(start(path, config, counters.clone()));
    let result = started.and_then(|()| system.run());
    for line in counters.page().lines() {
        log::info!("counter {line}");
    }
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("cannot run: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn start(path: PathBuf, config: AgentConfig, counters: Rc<Counters>) -> io::Result<()> {
    let limits = SharedLimits::within(config.descriptors, config.memory_mb);
    log::info!("{}: {:?}", config.name, limits.now());
    let clock = Clock::start();
    let state = Rc::new(FrontState {
        clock,
        stalls: Rc::new(StallDetector::new(clock.now())),
        counters,
        limits,
        max_deadline: Rc::new(Cell::new(longest_deadline(&config))),
        partial_request_bytes: Cell::new(0),
        ending_since: Cell::new(None),
        draining_since: Cell::new(None),
        is_serving: Cell::new(true),
        is_socket_inherited: false,
    });
    let opened = config
        .management
        .map(|_| SharedState::open(std::env::var_os("TMPDIR").map(Into::into), &config.name));
    let (shared_state, bans, events) = match opened {
        Some(OpenedState { handle, bans, events }) => (Some(handle), bans, Some(events)),
        None => (None, BTreeSet::new(), None),
    };
    let context = pool_context(&config, &state, bans);
    let reloader = Rc::new(Reloader::open(config, state.clone(), context)?);
    if let (Some(address), Some(shared_state)) = (reloader.config.management, shared_state) {
        listen_for_operators(address, &reloader, shared_state).await?;
    }
    if let Some(events) = events {
        actix_rt::spawn(apply_events(events, reloader.clone()));
    }
    state.stalls.begin(clock.now());
    let acceptors = listen_for_clients(&reloader).await?;
    join_fleet(&path, &reloader, &acceptors)?;
    signals::listen(acceptors, move || load(&path), move |config| reloader.apply(config))
}

fn longest_deadline(config: &AgentConfig) -> Micros {
    config.routes.iter().map(|route| route.max_deadline).max().unwrap_or_default()
}

fn pool_context(config: &AgentConfig, state: &FrontState, bans: BTreeSet<String>) -> PoolContext {
    let own_addresses = config.listeners.iter().filter_map(|listener| match listener.address {
        ListenAddress::Tcp(address) => Some(address),
        ListenAddress::Unix(_) => None,
    });
    PoolContext {
        balancer: BalancerContext {
            clock: state.clock,
            stalls: state.stalls.clone(),
            counters: state.counters.clone(),
            retry_budgets: RetryBudgets::default(),
        },
        limits: state.limits.clone(),
        list: ListContext {
            own_addresses: own_addresses.collect(),
            max_deadline: state.max_deadline.clone(),
            max_backends: state.limits.now().backends,
        },
        bans: Rc::new(RefCell::new(bans)),
    }
}

/// Builds routes and pools from the file, and again from each next one.
struct Reloader {
    /// The file of the start: listeners and the fleet stay as it says.
    config: AgentConfig,
    front: Rc<RoutedFront>,
    context: PoolContext,
    route_ids: RefCell<RouteIds>,
    seed: u64,
}

impl Reloader {
    fn open(config: AgentConfig, state: Rc<FrontState>, context: PoolContext) -> io::Result<Reloader> {
        let seed = config.seed.unwrap_or_else(|| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            since_epoch.map_or(1, |since| since.as_nanos() as u64)
        });
        let mut route_ids = RouteIds::default();
        let routing = build(&config, None, &mut route_ids, seed, &context)
            .map_err(|e| io::Error::other(e.to_string()))?;
        let front = Rc::new(RoutedFront {
            state,
            routing: RefCell::new(Rc::new(routing)),
            retry_budgets: context.balancer.retry_budgets.clone(),
            next_request: Cell::new(0),
            rng: RefCell::new(oorandom::Rand64::new(seed.into())),
        });
        Ok(Reloader { config, front, context, route_ids: RefCell::new(route_ids), seed })
    }

    /// Takes a new file, all of it or, with an error, nothing.
    fn apply(&self, config: Result<AgentConfig, String>) -> Result<(), String> {
        let applied = config.and_then(|config| self.replace(&config));
        self.front.state.counters.add(if applied.is_ok() { "files_taken" } else { "files_refused" });
        applied
    }

    fn replace(&self, config: &AgentConfig) -> Result<(), String> {
        let is_fixed = config.listeners == self.config.listeners
            && config.management == self.config.management
            && config.fleet == self.config.fleet;
        if !is_fixed {
            return Err("listeners and the fleet can't change while the agent runs; start a new one".into());
        }
        let old = self.front.routing.borrow().clone();
        let mut route_ids = self.route_ids.borrow_mut();
        let routing = build(config, Some(&old), &mut route_ids, self.seed, &self.context)
            .map_err(|error| error.to_string())?;
        let (routes, pools) = (routing.routes.len(), routing.pools.len());
        // Requests of the old routes may still wait for as long as those said.
        let max_deadline = &self.front.state.max_deadline;
        max_deadline.set(max_deadline.get().max(longest_deadline(config)));
        *self.front.routing.borrow_mut() = Rc::new(routing);
        log::info!("configuration taken: {routes} routes, {pools} pools");
        Ok(())
    }
}

async fn listen_for_operators(
    address: SocketAddr,
    reloader: &Reloader,
    shared_state: SharedState,
) -> io::Result<()> {
    let bound = TcpListener::bind(address).await;
    let listener =
        bound.map_err(|error| io::Error::new(error.kind(), format!("management {address}: {error}")))?;
    let front = reloader.front.clone();
    Management {
        state: front.state.clone(),
        lists: Box::new(move || front.routing.borrow().pools.iter().map(|pool| pool.list()).collect()),
        set_ban: Box::new(move |id, banned| shared_state.set_ban(id, banned)),
    }
    .listen(listener);
    log::info!("{}: management at {address}", reloader.config.name);
    Ok(())
}

/// Applies bans that operators or other processes of this agent changed.
async fn apply_events(mut events: UnboundedReceiver<SharedStateEvent>, reloader: Rc<Reloader>) {
    while let Some(event) = events.recv().await {
        if let SharedStateEvent::Bans(bans) = event {
            reloader.front.routing.borrow().pools.iter().for_each(|pool| pool.set_bans(&bans));
            *reloader.context.bans.borrow_mut() = bans;
        }
    }
}

async fn listen_for_clients(reloader: &Reloader) -> io::Result<Vec<Addr<Acceptor>>> {
    let state = &reloader.front.state;
    let connections = Rc::new(ClientConnections::new(state.limits.now().unread_answer_bytes));
    let mut acceptors = Vec::new();
    for (index, listener) in reloader.config.listeners.iter().enumerate() {
        let serve = serve_listener(reloader.front.clone(), index, listener.protocol).await?;
        let acceptor = Acceptor::new(state.clone(), connections.clone(), serve);
        acceptors.push(acceptor.listen(bind(&listener.address).await?));
        log::info!("{}: ready at {:?}", reloader.config.name, listener.address);
    }
    Ok(acceptors)
}

async fn serve_listener(
    front: Rc<RoutedFront>,
    listener: usize,
    protocol: Protocol,
) -> io::Result<ServeConnection> {
    match protocol {
        Protocol::Http => http_service(move |request| front.clone().answer(listener, request)).await,
        Protocol::Fastcgi => Ok(Rc::new(move |stream| {
            let served = serve_fastcgi(front.clone(), listener, stream);
            Box::pin(async move { served.await.map_err(DispatchError::Io) })
        })),
    }
}

/// Joins the fleet that the file names, if it names one.
fn join_fleet(path: &Path, reloader: &Rc<Reloader>, acceptors: &[Addr<Acceptor>]) -> io::Result<()> {
    let Some(fleet) = reloader.config.fleet.clone() else { return Ok(()) };
    let joined = fleet::join(fleet, &reloader.config.name);
    let (counters, executions) = joined.map_err(|error| io::Error::other(error.to_string()))?;
    let (path, reloader) = (path.to_owned(), reloader.clone());
    let state = reloader.front.state.clone();
    fleet_commands::listen(
        executions,
        counters,
        state,
        acceptors.to_vec(),
        move || load(&path),
        move |config| reloader.apply(config),
    );
    Ok(())
}

async fn bind(address: &ListenAddress) -> io::Result<Listener> {
    let named = |name: String| move |e: io::Error| io::Error::new(e.kind(), format!("{name}: {e}"));
    match address {
        ListenAddress::Tcp(address) => {
            TcpListener::bind(address).await.map(Listener::Tcp).map_err(named(address.to_string()))
        }
        ListenAddress::Unix(path) => {
            let name = path.display().to_string();
            // One that nobody listens on any more is left over from an earlier agent.
            if path.exists() && UnixStream::connect(path).await.is_err() {
                std::fs::remove_file(path).map_err(named(name.clone()))?;
            }
            UnixListener::bind(path).map(Listener::Unix).map_err(named(name))
        }
    }
}
