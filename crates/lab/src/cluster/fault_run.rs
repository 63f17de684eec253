//! Plays a schedule of faults against a cluster while commands are submitted, then heals it and gathers what was observed.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use notchspool_commands::{CommandKind, Revision};
use notchspool_fleet_protocol::client::FleetClient;
use notchspool_fleet_protocol::{Body, CommandRequest, CommandStatus, InstanceStatus, LeaseStatus, Selector};
use oorandom::Rand64;

use super::fault_injector::inject;
use super::fault_schedule::ScheduledFault;
use super::history_checker::{History, Poll, SubmittedCommand, parse_effects};
use super::process::{Disk, wait};
use super::relay::LinkFaults;
use super::topology::{Cluster, Node};

/// All heals and ends within this, however slow the machine is.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How long one controller is asked whether it is the owner, for each of many polls, and the pause between them.
const POLL_TIMEOUT: Duration = Duration::from_millis(60);
const POLL_INTERVAL: Duration = Duration::from_millis(4);
const MAX_POLLS: usize = 200_000;
/// How long a client waits for a list, and for commands.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
const COMMANDS_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client waits for an acknowledgement, and for the second one of a command that it repeats.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const REPEAT_TIMEOUT: Duration = Duration::from_secs(2);
/// Between two looks whether commands have ended.
const COMMANDS_INTERVAL: Duration = Duration::from_millis(100);
/// Clients that submit commands, and how many each submits at most.
const CLIENTS: usize = 2;
const MAX_SUBMITTED: usize = 60;
/// Time that a command is given, in microseconds.
const COMMAND_DEADLINE_US: i64 = 4_000_000;
/// The pause between two commands of a client, in milliseconds: at least this, and up to so much more.
const MIN_PAUSE_MS: u64 = 50;
const PAUSE_SPREAD_MS: usize = 300;
/// Commands that are listed at once.
const MAX_LISTED: usize = 1000;
/// States of a command after which something follows.
const OPEN_STATES: [&str; 3] = ["queued", "told", "unknown"];

/// What came of a run.
pub struct RunResult {
    /// What was observed.
    pub history: History,
    /// Commands submitted.
    pub submitted: usize,
    /// Of these, acknowledged.
    pub acknowledged: usize,
    /// Owners seen, by their tokens.
    pub owners: usize,
    /// From submitting a command to its acknowledgement.
    pub latencies: Vec<Duration>,
}

fn client(cluster: &Cluster, name: &str) -> FleetClient {
    FleetClient::new("lab", &cluster.addresses_seen_by(Node::Client), name)
}

/// Waits for an owner that has so many instances registered.
///
/// # Errors
/// There is none in time.
pub fn wait_until_registered(cluster: &Cluster, instances: usize) -> Result<(), String> {
    let mut registered = 0;
    let is_registered = |instance: &&InstanceStatus| {
        instance.lease == LeaseStatus::Live && instance.last_contact_us.is_some()
    };
    let waited = wait("all instances register", TIMEOUT, || {
        let answer = client(cluster, "ground").ask(&Body::ListInstances, LIST_TIMEOUT);
        if let Ok(Body::Instances { instances, .. }) = answer {
            registered = instances.iter().filter(is_registered).count();
        }
        registered >= instances
    });
    waited.map(|_| ()).map_err(|error| format!("{error}; {registered} of {instances} did"))
}

/// Ends all faults, and starts what does not run.
///
/// # Errors
/// A process ended by itself, or can't be started.
pub fn heal(cluster: &mut Cluster) -> Result<(), String> {
    cluster.set_all_links(|link| *link = LinkFaults::default());
    for process in cluster.controllers.iter_mut().chain(&mut cluster.agents) {
        process.resume();
        if let Some(code) = process.exit_code() {
            let (name, log) = (&process.name, process.log.display());
            return Err(format!("{name} ended by itself with {code:?}; see {log}"));
        }
        if !process.is_running() {
            process.set_disk(Disk::Kept);
            process.start(&[])?;
        }
    }
    Ok(())
}

/// A client that submits commands, one after the other, until it is told to end.
struct Submitter {
    client: FleetClient,
    index: usize,
    agents: usize,
    zones: usize,
    rng: Rand64,
    submitted: Vec<SubmittedCommand>,
    latencies: Vec<Duration>,
}

impl Submitter {
    fn below(&mut self, bound: usize) -> usize {
        self.rng.rand_range(0..bound as u64) as usize
    }

    fn run(mut self, is_over: &AtomicBool) -> (Vec<SubmittedCommand>, Vec<Duration>) {
        for nth in 0..MAX_SUBMITTED {
            if is_over.load(Ordering::Relaxed) {
                break;
            }
            let request = self.draw_request(nth);
            self.submit(request);
            let pause = MIN_PAUSE_MS + self.below(PAUSE_SPREAD_MS) as u64;
            std::thread::sleep(Duration::from_millis(pause));
        }
        (self.submitted, self.latencies)
    }

    fn draw_request(&mut self, nth: usize) -> CommandRequest {
        let kinds = [CommandKind::Drain, CommandKind::Undrain, CommandKind::Undrain, CommandKind::Reload];
        let kind = kinds[self.below(kinds.len())];
        let targets = match self.below(3) {
            0 => Selector { names: vec![format!("a{}", self.below(self.agents))], ..Selector::default() },
            1 => Selector { zones: vec![format!("z{}", self.below(self.zones))], ..Selector::default() },
            _ => Selector { all: true, ..Selector::default() },
        };
        CommandRequest {
            id: format!("c{}-{nth}", self.index),
            author: format!("c{}", self.index),
            kind,
            targets,
            within_us: COMMAND_DEADLINE_US,
            max_unavailable: [None, Some(0.25)][self.below(2)],
            expected_revision: None,
        }
    }

    fn submit(&mut self, request: CommandRequest) {
        let id = request.id.clone();
        let began = Instant::now();
        let mut revisions = Vec::new();
        let body = Body::SubmitCommand(request);
        if let Ok(Body::CommandAccepted { revision, .. }) = self.client.ask(&body, SUBMIT_TIMEOUT) {
            revisions.push(revision.0);
            self.latencies.push(began.elapsed());
            // Now and then submitted again, as by a client that lost the answer.
            if self.below(3) == 0
                && let Ok(Body::CommandAccepted { revision, .. }) = self.client.ask(&body, REPEAT_TIMEOUT)
            {
                revisions.push(revision.0);
            }
        }
        self.submitted.push(SubmittedCommand { id, revisions });
    }
}

fn poll_ownership(controllers: &[SocketAddr], began: Instant, is_over: &AtomicBool) -> Vec<Poll> {
    let mut polls = Vec::new();
    for address in controllers.iter().cycle() {
        if is_over.load(Ordering::Relaxed) || polls.len() >= MAX_POLLS {
            break;
        }
        let sent_us = began.elapsed().as_micros() as u64;
        let answer =
            FleetClient::new("lab", &[*address], "poll").ask_one(*address, &Body::GetStatus, POLL_TIMEOUT);
        if let Ok(Body::Status(status)) = answer {
            let owned_token = status.owner.filter(|_| status.is_owner).map(|owner| owner.token.0);
            let answered_us = began.elapsed().as_micros() as u64;
            polls.push(Poll { sent_us, answered_us, owned_token });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    polls
}

/// What was observed while faults were applied.
struct Observations {
    submitted: Vec<SubmittedCommand>,
    latencies: Vec<Duration>,
    polls: Vec<Poll>,
    killed: BTreeSet<String>,
}

/// The whole run: faults by the schedule, two clients that submit commands, a poll of who is the owner; then all heals, and commands are
/// followed until each has ended everywhere.
///
/// # Errors
/// A process ended by itself, or nothing can be learned of the commands.
pub fn run(
    cluster: &mut Cluster,
    schedule: &[ScheduledFault],
    span: Duration,
    seed: u64,
) -> Result<RunResult, String> {
    let observations = observe(cluster, schedule, span, seed)?;
    let commands = collect_commands(cluster)?;
    let effects =
        cluster.agents.iter().flat_map(|agent| parse_effects(&agent.name, &agent.log_text())).collect();
    let Observations { submitted, latencies, polls, killed } = observations;
    let owners: BTreeSet<u64> = polls.iter().filter_map(|poll| poll.owned_token).collect();
    Ok(RunResult {
        submitted: submitted.len(),
        acknowledged: submitted.iter().filter(|command| !command.revisions.is_empty()).count(),
        owners: owners.len(),
        latencies,
        history: History { effects, submitted, commands, polls, killed },
    })
}

fn observe(
    cluster: &mut Cluster,
    schedule: &[ScheduledFault],
    span: Duration,
    seed: u64,
) -> Result<Observations, String> {
    let is_over = AtomicBool::new(false);
    let began = Instant::now();
    let controllers: Vec<SocketAddr> =
        (0..cluster.controllers.len()).map(|place| cluster.controller_address(place)).collect();
    let submitters: Vec<Submitter> = (0..CLIENTS).map(|index| submitter(cluster, index, seed)).collect();
    std::thread::scope(|scope| {
        let is_over = &is_over;
        let poller = scope.spawn(move || poll_ownership(&controllers, began, is_over));
        let clients: Vec<_> =
            submitters.into_iter().map(|submitter| scope.spawn(move || submitter.run(is_over))).collect();
        let killed = inject(cluster, schedule, began, span);
        let healed = heal(cluster);
        is_over.store(true, Ordering::Relaxed);
        let (mut submitted, mut latencies) = (Vec::new(), Vec::new());
        for client in clients {
            let (commands, took) = client.join().unwrap_or_default();
            submitted.extend(commands);
            latencies.extend(took);
        }
        let polls = poller.join().unwrap_or_default();
        let killed = killed?;
        healed?;
        Ok(Observations { submitted, latencies, polls, killed })
    })
}

fn submitter(cluster: &Cluster, index: usize, seed: u64) -> Submitter {
    Submitter {
        client: client(cluster, &format!("c{index}")),
        index,
        agents: cluster.agents.len(),
        zones: cluster.plan.zones.max(1),
        rng: Rand64::new(u128::from(seed) * 31 + index as u128),
        submitted: Vec::new(),
        latencies: Vec::new(),
    }
}

/// Every command with its state at each instance, once none is open any more. What is open at the end of the time-out is for the checker
/// to say.
///
/// # Errors
/// Nothing can be learned of any.
pub fn collect_commands(cluster: &Cluster) -> Result<Vec<CommandStatus>, String> {
    let mut client = client(cluster, "judge");
    let mut commands = Vec::new();
    let ended = wait("every pair comes to its end", TIMEOUT, || {
        let Some(listed) = list_commands(&mut client) else { return false };
        let is_open =
            |command: &CommandStatus| OPEN_STATES.iter().any(|state| command.counts.contains_key(*state));
        if listed.iter().any(is_open) {
            std::thread::sleep(COMMANDS_INTERVAL);
            return false;
        }
        commands.clear();
        for command in listed {
            match get_command(&mut client, command.revision) {
                Some(whole) => commands.extend(whole),
                None => return false,
            }
        }
        true
    });
    if ended.is_err()
        && let Some(listed) = list_commands(&mut client)
    {
        commands
            .extend(listed.iter().filter_map(|command| get_command(&mut client, command.revision)).flatten());
    }
    if commands.is_empty() { ended.map(|_| Vec::new()) } else { Ok(commands) }
}

fn list_commands(client: &mut FleetClient) -> Option<Vec<CommandStatus>> {
    match client.ask(&Body::ListCommands { last: MAX_LISTED }, COMMANDS_TIMEOUT) {
        Ok(Body::Commands { commands }) => Some(commands),
        _ => None,
    }
}

fn get_command(client: &mut FleetClient, revision: Revision) -> Option<Vec<CommandStatus>> {
    match client.ask(&Body::GetCommand { revision }, COMMANDS_TIMEOUT) {
        Ok(Body::Commands { commands }) => Some(commands),
        _ => None,
    }
}
