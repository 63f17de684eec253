//! Measures ownership on real processes: the time without an owner after each way of losing one, commands acknowledged a second, what a
//! controller costs, and whether every instance of many executes in time.
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use notchspool::units::Micros;
use notchspool_command_controller::instances::RegistrationRequest;
use notchspool_command_controller::{Controller, Policy, state_name};
use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Outcome, Revision};
use notchspool_fleet_protocol::client::FleetClient;
use notchspool_fleet_protocol::{Body, CommandRequest, CommandStatus, InstanceReport, Selector};
use notchspool_leases::lease_table::LeasePolicy;

use super::fault_run::wait_until_registered;
use super::ownership::current_owner;
use super::process::{Process, wait};
use super::topology::{Cluster, ClusterPlan, Node};

/// How long anything is waited for.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How long agents are watched for sending clients away.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a command of the load is given, in milliseconds.
const COMMAND_DEADLINE_MS: i64 = 2_000;
/// Commands that a client submits at most.
const MAX_SUBMITTED: usize = 100_000;
/// One agent in so many is stopped for the drain.
const STOPPED_ONE_IN: usize = 10;
/// Zones, and a deadline, of the controller that is measured alone.
const ZONES: usize = 10;
const IN_MEMORY_DEADLINE_MS: i64 = 10_000;

/// How an owner is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its process is killed.
    Killed,
    /// All its links are cut.
    Cut,
    /// It releases the ownership.
    LetGo,
}

fn request(id: &str, kind: CommandKind, targets: Selector, within_ms: i64) -> CommandRequest {
    CommandRequest {
        id: id.into(),
        author: "measure".into(),
        kind,
        targets,
        within_us: within_ms * 1000,
        max_unavailable: Some(1.0),
        expected_revision: None,
    }
}

fn all_instances() -> Selector {
    Selector { all: true, ..Selector::default() }
}

fn start(plan: &ClusterPlan) -> Result<Cluster, String> {
    let mut cluster = Cluster::create(plan.clone())?;
    cluster.start()?;
    Ok(cluster)
}

fn footprints(cluster: &Cluster) -> Vec<(u64, Duration)> {
    cluster.controllers.iter().filter_map(Process::footprint).collect()
}

/// Time without an owner, `rounds` times, sorted: from the moment at which it is lost to the moment at which another one says that it is.
///
/// # Errors
/// The cluster does not start, or there is no owner in time.
pub fn measure_owner_loss(plan: &ClusterPlan, loss: Loss, rounds: usize) -> Result<Vec<Duration>, String> {
    let mut cluster = start(plan)?;
    let mut spans = Vec::new();
    for _ in 0..rounds {
        wait("an owner", TIMEOUT, || current_owner(&cluster).is_some())?;
        let Some((place, token)) = current_owner(&cluster) else { continue };
        // Not always at the same moment of its lease.
        std::thread::sleep(Duration::from_millis(plan.lease_ms * (spans.len() as u64 * 7 % 10) / 10));
        let began = Instant::now();
        if !lose_owner(&mut cluster, place, loss) {
            continue;
        }
        wait("another owner", TIMEOUT, || current_owner(&cluster).is_some_and(|owner| owner.1 > token))?;
        spans.push(began.elapsed());
        restore(&mut cluster, place, loss)?;
    }
    spans.sort_unstable();
    Ok(spans)
}

/// Whether the owner was lost.
fn lose_owner(cluster: &mut Cluster, place: usize, loss: Loss) -> bool {
    match loss {
        Loss::Killed => cluster.controllers[place].kill(),
        Loss::Cut => cluster.set_links_of(Node::Controller(place), |link| link.cut = true),
        Loss::LetGo => {
            let address = cluster.controller_address(place);
            let mut client = FleetClient::new("lab", &[address], "measure");
            let answer = client.ask_one(address, &Body::ReleaseOwnership, ANSWER_TIMEOUT);
            return matches!(answer, Ok(Body::OwnershipReleased));
        }
    }
    true
}

fn restore(cluster: &mut Cluster, place: usize, loss: Loss) -> Result<(), String> {
    match loss {
        Loss::Killed => {
            cluster.controllers[place].start(&[])?;
            let address = cluster.controller_address(place);
            wait("it is back", TIMEOUT, || std::net::TcpStream::connect(address).is_ok())?;
        }
        Loss::Cut => cluster.set_links_of(Node::Controller(place), |link| link.cut = false),
        Loss::LetGo => {}
    }
    Ok(())
}

/// What a load of commands came to.
#[derive(Clone, Debug)]
pub struct CommandLoad {
    /// Commands acknowledged a second.
    pub rate: f64,
    /// From submitting a command to its acknowledgement, sorted.
    pub latencies: Vec<Duration>,
    /// What each controller cost, for operators.
    pub costs: String,
}

/// Commands submitted one after the other by each of `clients`, for `span`; each to one instance.
///
/// # Errors
/// The cluster does not start.
pub fn measure_commands(plan: &ClusterPlan, clients: usize, span: Duration) -> Result<CommandLoad, String> {
    let cluster = start(plan)?;
    wait_until_registered(&cluster, plan.agents)?;
    let before = footprints(&cluster);
    let controllers = cluster.addresses_seen_by(Node::Client);
    let began = Instant::now();
    let mut latencies: Vec<Duration> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..clients)
            .map(|index| {
                let client = FleetClient::new("lab", &controllers, &format!("m{index}"));
                scope.spawn(move || submit_until(client, index, plan.agents, began, span))
            })
            .collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    let seconds = began.elapsed().as_secs_f64();
    let cost = |((memory_kb, now), (_, then)): ((u64, Duration), (u64, Duration))| {
        format!("{} MB, {:.1}% of a core", memory_kb / 1024, (now - then).as_secs_f64() / seconds * 100.0)
    };
    let costs: Vec<String> = footprints(&cluster).into_iter().zip(before).map(cost).collect();
    latencies.sort_unstable();
    Ok(CommandLoad { rate: latencies.len() as f64 / seconds, latencies, costs: costs.join("; ") })
}

fn submit_until(
    mut client: FleetClient,
    index: usize,
    agents: usize,
    began: Instant,
    span: Duration,
) -> Vec<Duration> {
    let mut latencies = Vec::new();
    for nth in 0..MAX_SUBMITTED {
        if began.elapsed() >= span {
            break;
        }
        let kind = if nth % 2 == 0 { CommandKind::Drain } else { CommandKind::Undrain };
        let names = vec![format!("a{}", (index + nth) % agents)];
        let targets = Selector { names, ..Selector::default() };
        let request = request(&format!("m{index}-{nth}"), kind, targets, COMMAND_DEADLINE_MS);
        let sent = Instant::now();
        if let Ok(Body::CommandAccepted { .. }) = client.ask(&Body::SubmitCommand(request), SUBMIT_TIMEOUT) {
            latencies.push(sent.elapsed());
        }
    }
    latencies
}

/// What a controller costs at rest.
#[derive(Clone, Copy, Debug)]
pub struct IdleCost {
    /// Whether it is the owner.
    pub is_owner: bool,
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
    /// The part of a core.
    pub core_part: f64,
}

/// What each controller costs with nothing but renewals.
///
/// # Errors
/// The cluster does not start.
pub fn measure_idle(plan: &ClusterPlan, span: Duration) -> Result<Vec<IdleCost>, String> {
    let cluster = start(plan)?;
    wait_until_registered(&cluster, plan.agents)?;
    let owner = current_owner(&cluster).map(|(place, _)| place);
    let before = footprints(&cluster);
    std::thread::sleep(span);
    let now = footprints(&cluster);
    let costs = now.into_iter().zip(before).enumerate().map(|(place, ((memory_kb, now), (_, then)))| {
        let core_part = (now - then).as_secs_f64() / span.as_secs_f64();
        IdleCost { is_owner: Some(place) == owner, memory_kb, core_part }
    });
    Ok(costs.collect())
}

/// What the controller's decisions cost for many instances, without sockets.
#[derive(Clone, Copy, Debug)]
pub struct ControllerCost {
    /// Microseconds for one renewal.
    pub renewal_us: f64,
    /// Microseconds for a command to all: accepted, dispatched, serialized.
    pub submit_us: f64,
    /// Microseconds for the outcomes of all.
    pub outcomes_us: f64,
    /// Bytes written for the command.
    pub bytes: usize,
}

/// Measures a controller alone.
pub fn measure_controller(instances: usize) -> ControllerCost {
    let mut controller = in_memory_controller();
    let registered: Vec<_> = (0..instances)
        .filter_map(|nth| {
            let (name, zone) = (format!("a{nth}"), format!("z{}", nth % ZONES));
            let report = InstanceReport::default();
            let request = RegistrationRequest { name: &name, zone: &zone, boot_id: nth as u64, report };
            let registration = controller.register(Micros(nth as i64), request).ok()?;
            Some((registration.id, registration.epoch))
        })
        .collect();
    controller.flush(Micros(instances as i64));
    let now = Micros::ms(1_000);
    let began = Instant::now();
    for (id, epoch) in &registered {
        controller.renew(now, *id, *epoch, InstanceReport::default());
    }
    let renewal_us = microseconds(began) / instances as f64;
    let began = Instant::now();
    let drain = request("x", CommandKind::Drain, all_instances(), IN_MEMORY_DEADLINE_MS);
    let accepted = controller.submit(now, &drain);
    controller.tick(now);
    let writes = controller.flush(now).writes;
    let submit_us = microseconds(began);
    let bytes = writes.values().map(String::len).sum();
    let began = Instant::now();
    if let Ok(accepted) = accepted {
        for (id, epoch) in &registered {
            controller.on_outcome(*id, *epoch, accepted.revision, &Outcome::Done);
        }
    }
    controller.flush(now);
    ControllerCost { renewal_us, submit_us, outcomes_us: microseconds(began), bytes }
}

fn in_memory_controller() -> Controller {
    let leases = LeasePolicy { rate: 1e9, burst: 1e9, ..LeasePolicy::default() };
    let policy =
        Policy { leases, max_unavailable: 1.0, retained_commands: 200, resend_after: Micros::ms(500) };
    Controller::open(policy, notchspool_consensus::Token(1), &BTreeMap::default(), 1, Micros(0))
}

fn microseconds(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e6
}

/// How one drain of all ended, with the owner killed midway and some agents stopped.
#[derive(Clone, Debug, Default)]
pub struct DrainResult {
    /// Agents.
    pub instances: usize,
    /// Of these, stopped.
    pub stopped: usize,
    /// Instances by the state of the command.
    pub states: BTreeMap<String, usize>,
    /// From the command to the last agent, of those that run, whose front sends clients away; looked at one after the other.
    pub last_refusing: Option<Duration>,
    /// From the command to the moment at which its state is final everywhere.
    pub completed_after: Duration,
    /// Instances with the command applied that accept clients, and the other way.
    pub mismatches: usize,
}

/// Drains all agents, kills the owner `kill_after` the command, and follows the command to its end.
///
/// # Errors
/// The cluster does not start, or the command is not accepted or lost.
pub fn measure_drain(
    plan: &ClusterPlan,
    kill_after: Duration,
    within: Duration,
) -> Result<DrainResult, String> {
    let mut cluster = start(plan)?;
    wait_until_registered(&cluster, plan.agents)?;
    let (stopped, running): (Vec<usize>, Vec<usize>) =
        (0..plan.agents).partition(|index| index % STOPPED_ONE_IN == STOPPED_ONE_IN - 1);
    for &index in &stopped {
        cluster.agents[index].pause();
    }
    let Some((place, _)) = current_owner(&cluster) else { return Err("nobody owns".into()) };
    let mut client = FleetClient::new("lab", &cluster.addresses_seen_by(Node::Client), "measure");
    let began = Instant::now();
    let submission = {
        let mut client = FleetClient::new("lab", &cluster.addresses_seen_by(Node::Client), "measure");
        let drain = request("drain-all", CommandKind::Drain, all_instances(), within.as_millis() as i64);
        std::thread::spawn(move || client.ask(&Body::SubmitCommand(drain), TIMEOUT))
    };
    std::thread::sleep(kill_after);
    cluster.controllers[place].kill();
    let last_refusing = wait_until_refusing(&cluster, running, began);
    let answer = submission.join().map_err(|_| "the client is gone")?;
    let Ok(Body::CommandAccepted { revision, .. }) = answer else {
        return Err(format!("not taken: {answer:?}"));
    };
    let command = wait_until_final(&mut client, revision)?;
    let completed_after = began.elapsed();
    let mut states = BTreeMap::<String, usize>::new();
    for (_, state) in &command.states {
        *states.entry(state_name(state).to_owned()).or_default() += 1;
    }
    let mismatches = count_mismatches(&cluster, &command, &stopped)?;
    let (instances, stopped) = (plan.agents, stopped.len());
    Ok(DrainResult { instances, stopped, states, last_refusing, completed_after, mismatches })
}

/// How long after `began` the last of some agents sent clients away; nothing if one did not in time.
fn wait_until_refusing(cluster: &Cluster, mut accepting: Vec<usize>, began: Instant) -> Option<Duration> {
    let mut last = None;
    while !accepting.is_empty() && began.elapsed() < DRAIN_TIMEOUT {
        accepting.retain(|index| cluster.accepts_clients(*index) != Some(false));
        last = accepting.is_empty().then(|| began.elapsed());
    }
    last
}

fn wait_until_final(client: &mut FleetClient, revision: Revision) -> Result<CommandStatus, String> {
    let mut last: Option<CommandStatus> = None;
    wait("every pair ends", TIMEOUT, || {
        let Ok(Body::Commands { commands }) = client.ask(&Body::GetCommand { revision }, ANSWER_TIMEOUT)
        else {
            return false;
        };
        last = commands.into_iter().next();
        last.as_ref().is_some_and(|command| command.states.iter().all(|(_, state)| state.is_final()))
    })?;
    last.ok_or_else(|| "the order is lost".to_owned())
}

/// Fronts are asked, the agents' reports not trusted; those that are stopped can't answer.
fn count_mismatches(cluster: &Cluster, command: &CommandStatus, stopped: &[usize]) -> Result<usize, String> {
    let mut mismatches = 0;
    for (name, state) in &command.states {
        let index: usize = name.trim_start_matches('a').parse().map_err(|_| "a name")?;
        if stopped.contains(&index) {
            continue;
        }
        let refuses = cluster.accepts_clients(index) == Some(false);
        let is_applied =
            matches!(state, CommandState::Applied(_) | CommandState::Failed { late: Some(_), .. });
        mismatches += usize::from(refuses != is_applied);
    }
    Ok(mismatches)
}
