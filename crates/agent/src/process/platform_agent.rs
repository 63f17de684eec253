//! The agent as the platform starts it: one balancer, one list from discovery, one front.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, Addr};
use notchspool::state_transfer::LearnedState;
use notchspool::units::{Micros, Policy};
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use super::inherited_listener::{DESCRIPTOR_VARIABLE, inherited_listener};
use super::platform_config::{PlatformConfig, load_discovery};
use super::serve::http_service;
use super::shared_state::{OpenedState, SharedState, SharedStateEvent};
use super::signals;
use crate::base::clock::{Clock, to_duration};
use crate::base::stall_detector::StallDetector;
use crate::front::platform_front::{FrontClass, PlatformFront};
use crate::routing::pool::KEPT_IDLE_FRACTION;
use crate::state::balancer_actor::{
    AdoptState, BalancerActor, BalancerContext, ExpireDrainGraces, GetLearnedState, SetRegistry,
};
use crate::state::body_budget::BodyBudget;
use crate::state::counters::Counters;
use crate::state::endpoint_list::{
    EndpointListActor, GetNames, GetResumeRevision, IsFresh, ListContext, RestoreList, SetBans,
};
use crate::state::handover::{self, Handover};
use crate::state::learned_state::FleetShape;
use crate::state::messages::StartWatch;
use crate::state::request::RetryBudgets;
use crate::wire::acceptor::{Acceptor, Listener, ServeConnection};
use crate::wire::client_connections::ClientConnections;
use crate::wire::connection_history::ConnectionHistory;
use crate::wire::front_state::{FrontState, RETRY_SOON};
use crate::wire::http_backend::{BackendContext, http_backends};
use crate::wire::list_format;
use crate::wire::management::Management;
use crate::wire::registry_client::{ChangeAddress, RegistryClient};

/// A process that runs before this one has left what it learned by then.
const LEFT_STATE_TIMEOUT: Micros = Micros::ms(350);
/// Whoever takes over waits so long for a fresh list, then it serves by what is known: discovery may be down for long.
const FRESH_LIST_TIMEOUT: Micros = Micros::ms(3_000);
/// How often a process that takes over looks for either.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Runs until the agent ends.
///
/// # Errors
///
/// It can't listen, or a part does not start.
pub fn run(config: PlatformConfig) -> io::Result<()> {
    let counters = Rc::new(Counters::default());
    let system = actix::System::new();
    system.block_on(start(config, counters.clone()))?;
    let result = system.run();
    for line in counters.page().lines() {
        log::info!("counter {line}");
    }
    result
}

/// The parts that decide, and what other processes of this agent need of them.
#[derive(Clone)]
struct Parts {
    balancer: Addr<BalancerActor>,
    list: Addr<EndpointListActor>,
    registry: Addr<RegistryClient>,
    backends: Rc<BackendContext>,
    shape: Rc<FleetShape>,
}

async fn start(config: PlatformConfig, counters: Rc<Counters>) -> io::Result<()> {
    let (name, listen) = (config.name.clone(), config.listen);
    log::info!("{name}: {:?}", config.limits.now());
    let inherited = match std::env::var(DESCRIPTOR_VARIABLE) {
        Ok(number) => Some(inherited_listener(&number).map_err(io::Error::other)?),
        Err(_) => None,
    };
    let shares_state = config.management.is_some() || inherited.is_some();
    let shared_state =
        shares_state.then(|| SharedState::open(std::env::var_os("TMPDIR").map(Into::into), &name));
    let clock = Clock::start();
    let started_at = clock.now();
    let max_deadline = Rc::new(Cell::new(config.settings.max_deadline));
    let state = Rc::new(FrontState {
        clock,
        stalls: Rc::new(StallDetector::new(clock.now())),
        counters,
        limits: config.limits.clone(),
        max_deadline,
        partial_request_bytes: Cell::new(0),
        ending_since: Cell::new(None),
        draining_since: Cell::new(None),
        is_serving: Cell::new(inherited.is_none()),
        is_socket_inherited: inherited.is_some(),
    });
    let parts = start_parts(&config, &state);
    let shared_state = match shared_state {
        Some(opened) => Some(follow_shared_state(opened, &parts).await?),
        None => None,
    };
    restore_list(&config, &parts).await?;
    parts.balancer.send(SetRegistry(parts.registry.clone().recipient())).await.map_err(io::Error::other)?;
    let serve = serve_clients(&config, &state, &parts).await?;
    state.stalls.begin(clock.now());
    let listener = Listener::Tcp(match inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => bind(listen, &listen.to_string()).await?,
    });
    if let (Some(address), Some(shared_state)) = (config.management, shared_state.clone()) {
        listen_for_operators(address, &state, &parts, shared_state).await?;
        log::info!("{name}: management at {address}");
    }
    if state.is_socket_inherited {
        take_over(&parts, shared_state.as_deref(), clock, started_at).await;
        state.is_serving.set(true);
    }
    let connections = Rc::new(ClientConnections::new(state.limits.now().unread_answer_bytes));
    let acceptor = Acceptor::new(state, connections, serve);
    log::info!("{name}: ready at {listen}");
    let registry = parts.registry;
    signals::listen(vec![acceptor.listen(listener)], load_discovery, move |discovery| {
        registry.do_send(ChangeAddress(discovery?));
        Ok(())
    })
}

/// The address for operators.
async fn listen_for_operators(
    address: SocketAddr,
    state: &Rc<FrontState>,
    parts: &Parts,
    shared_state: Rc<SharedState>,
) -> io::Result<()> {
    let listener = bind(address, &format!("management {address}")).await?;
    let lists = vec![parts.list.clone()];
    let management = Management {
        state: state.clone(),
        lists: Box::new(move || lists.clone()),
        set_ban: Box::new(move |id, banned| shared_state.set_ban(id, banned)),
    };
    management.listen(listener);
    Ok(())
}

/// Listens; an error names what for.
async fn bind(address: SocketAddr, purpose: &str) -> io::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| io::Error::new(error.kind(), format!("{purpose}: {error}")))
}

fn start_parts(config: &PlatformConfig, state: &FrontState) -> Parts {
    let settings = &config.settings;
    let backends = Rc::new(BackendContext {
        clock: state.clock,
        counters: state.counters.clone(),
        limits: state.limits.clone(),
        connect_timeout: to_duration(settings.connect_timeout),
        idle_timeout: to_duration(settings.idle_timeout.times(KEPT_IDLE_FRACTION)),
    });
    let targets = settings.policy.classes.iter().map(|class| class.latency_target);
    let shape = Rc::new(FleetShape {
        agents: settings.policy.agent_count,
        weights_follow_load: settings.policy.weights_follow_load,
        classes: settings.classes.iter().cloned().zip(targets).collect(),
    });
    // On sockets the list always has to be asked for, whatever the simulator does at this site.
    let policy = Policy { list_on_request: true, ..settings.policy.clone() };
    settings.unused.iter().for_each(|what| log::info!("settings: {what}"));
    let balancer_context = BalancerContext {
        clock: state.clock,
        stalls: state.stalls.clone(),
        counters: state.counters.clone(),
        retry_budgets: RetryBudgets::default(),
    };
    let balancer = BalancerActor::new(policy, config.seed, balancer_context).start();
    let list_context = ListContext {
        own_addresses: vec![config.listen],
        max_deadline: state.max_deadline.clone(),
        max_backends: state.limits.now().backends,
    };
    let list = EndpointListActor::new(
        balancer.clone(),
        state.clock,
        state.counters.clone(),
        settings.zones.clone(),
        list_context,
        http_backends(balancer.clone(), backends.clone()),
    )
    .start();
    let client = backends.client(None, ConnectionHistory::registry());
    let registry =
        RegistryClient::new(config.discovery, client, list.clone(), state.counters.clone()).start();
    Parts { balancer, list, registry, backends, shape }
}

/// Applies what other processes of this agent changed, from now on. Bans come before the list is known.
async fn follow_shared_state(opened: OpenedState, parts: &Parts) -> io::Result<Rc<SharedState>> {
    let OpenedState { handle, bans, events } = opened;
    parts.list.send(SetBans(bans)).await.map_err(io::Error::other)?;
    let handle = Rc::new(handle);
    actix_rt::spawn(apply_events(events, handle.clone(), parts.clone()));
    Ok(handle)
}

async fn apply_events(
    mut events: UnboundedReceiver<SharedStateEvent>,
    handle: Rc<SharedState>,
    parts: Parts,
) {
    while let Some(event) = events.recv().await {
        match event {
            SharedStateEvent::Bans(bans) => parts.list.do_send(SetBans(bans)),
            SharedStateEvent::OtherProcess { exists, is_older } => {
                log::info!("another process of this agent lives: {exists}");
                parts.backends.limits.set_shared(exists);
                if exists && is_older {
                    leave_state(&handle, &parts).await;
                }
            }
        }
    }
}

/// Leaves what was learned for the process that takes over.
async fn leave_state(handle: &SharedState, parts: &Parts) {
    let names = ask(|sender| parts.list.do_send(GetNames(sender))).await;
    let names = names.into_iter().map(|(name, id)| (id, name)).collect();
    let learned = ask(|sender| parts.balancer.do_send(GetLearnedState(sender))).await;
    let list_revision = parts.list.send(GetResumeRevision).await.ok().flatten();
    let now = parts.backends.clock.now();
    handle.leave_state(handover::encode(&Handover { learned, list_revision }, &names, &parts.shape, now));
}

/// The mailboxes keep the order: the known list is with the module before the first request is.
async fn restore_list(config: &PlatformConfig, parts: &Parts) -> io::Result<()> {
    match list_format::read_document(&config.known_list) {
        Ok(known) => parts.list.send(RestoreList(known)).await.map_err(io::Error::other),
        Err(error) => {
            log::warn!("list: the known list can't be used: {error}");
            Ok(())
        }
    }
}

async fn serve_clients(
    config: &PlatformConfig,
    state: &Rc<FrontState>,
    parts: &Parts,
) -> io::Result<ServeConnection> {
    let settings = &config.settings;
    let kinds = settings.policy.classes.iter().map(|class| class.kind);
    let classes = settings.classes.iter().cloned().zip(kinds);
    let front = Rc::new(PlatformFront {
        state: state.clone(),
        balancer: parts.balancer.clone(),
        classes: classes.map(|(name, kind)| FrontClass { name, kind }).collect(),
        tenants: settings.tenants.clone(),
        retry_after: settings.policy.retry_after.map(|longest| longest.min(RETRY_SOON)),
        next_request: Cell::new(0),
        body_budget: BodyBudget::default(),
        trace_ids: RefCell::default(),
    });
    http_service(move |request| front.clone().answer(request)).await
}

/// Waits for a fresh list and for what the process before has left, each for a limited time. Whoever takes over is bound by what discovery says from
/// its first answer on, and what it knows may be old: it asks at once.
async fn take_over(parts: &Parts, shared_state: Option<&SharedState>, clock: Clock, started_at: Micros) {
    parts.registry.do_send(StartWatch);
    let asked_at = clock.now();
    let deadline = asked_at + FRESH_LIST_TIMEOUT;
    let mut is_fresh = wait_until(clock, deadline, || is_fresh(parts)).await;
    if let Some(shared_state) = shared_state
        && let Some(handover) = wait_for_handover(parts, shared_state, clock, started_at).await
    {
        if let Some(revision) = handover.list_revision {
            // The elder has read this far, so discovery has told this agent.
            is_fresh &= wait_until(clock, deadline, || has_read(parts, revision)).await;
        }
        adopt(parts, handover.learned);
    }
    let waited = (clock.now() - asked_at).0 / 1000;
    if is_fresh {
        log::info!("taking over: the list is fresh after {waited} ms");
    } else {
        log::warn!("taking over: no fresh list after {waited} ms, what is known counts");
    }
    // What it was told until now may have been told long ago.
    parts.balancer.do_send(ExpireDrainGraces);
}

/// Looks again and again until it holds; false where it does not by the deadline.
async fn wait_until<F: Future<Output = bool>>(clock: Clock, deadline: Micros, holds: impl Fn() -> F) -> bool {
    while !holds().await {
        if clock.now() >= deadline {
            return false;
        }
        actix_rt::time::sleep(LOOK_INTERVAL).await;
    }
    true
}

async fn is_fresh(parts: &Parts) -> bool {
    parts.list.send(IsFresh).await.unwrap_or(true)
}

async fn has_read(parts: &Parts, revision: u64) -> bool {
    let read = parts.list.send(GetResumeRevision).await.ok().flatten();
    read.is_some_and(|read| read >= revision)
}

/// What the process before has left for this one.
async fn wait_for_handover(
    parts: &Parts,
    shared_state: &SharedState,
    clock: Clock,
    started_at: Micros,
) -> Option<Handover> {
    loop {
        let names = ask(|sender| parts.list.do_send(GetNames(sender))).await;
        let left = shared_state.left_state();
        let handover = left.and_then(|text| handover::decode(&text, &names, &parts.shape, started_at));
        if handover.is_some() || clock.now() - started_at > LEFT_STATE_TIMEOUT {
            return handover;
        }
        actix_rt::time::sleep(LOOK_INTERVAL).await;
    }
}

fn adopt(parts: &Parts, learned: LearnedState) {
    if learned.same_shape {
        log::info!("taken over from the elder: a window of {:.1}", learned.window);
    } else {
        log::info!("taken over from an elder of another shape: windows begin afresh");
    }
    parts.balancer.do_send(AdoptState(learned));
}

/// What an actor answers.
async fn ask<T: Default>(question: impl FnOnce(oneshot::Sender<T>)) -> T {
    let (sender, answer) = oneshot::channel();
    question(sender);
    answer.await.unwrap_or_default()
}
