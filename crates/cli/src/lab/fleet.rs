//! `notchspool lab fleet ...`: many real processes with faults between them, judged; and the figures of ownership.
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use notchspool_lab::cluster::benchmarks::{self, ControllerCost, Loss};
use notchspool_lab::cluster::fault_run::{self, wait_until_registered};
use notchspool_lab::cluster::history_checker::check;
use notchspool_lab::cluster::topology::{Cluster, ClusterPlan, remove_folder, temporary_folder};
use notchspool_lab::cluster::{fault_schedule, request_latency};

use crate::EXIT_INCOMPLETE;

/// Zones of the fleet that is played.
const ZONES: usize = 4;
/// Lease of an instance, in milliseconds.
const INSTANCE_LEASE_MS: u64 = 3_000;
/// Seed where nothing is drawn but jitter.
const FIXED_SEED: u64 = 1;
const BYTES_IN_KB: usize = 1024;

/// Arguments of `lab fleet`.
#[derive(Args)]
pub struct FleetLabArgs {
    #[arg(long = "keepers", global = true, default_value_t = 5, value_name = "KEEPERS")]
    controllers: usize,
    #[arg(long, global = true, default_value_t = 40)]
    agents: usize,
    #[arg(long, global = true, default_value_t = 500)]
    lease_ms: u64,
    /// Processes meet directly, with no relays of ours between them.
    #[arg(long, global = true)]
    direct: bool,
    #[command(subcommand)]
    command: FleetLabCommand,
}

/// Sub-commands of `lab fleet`.
#[derive(Subcommand)]
enum FleetLabCommand {
    /// Faults drawn from seeds, or from a file, with orders running; ends with 1 where a history is not sound.
    Play(PlayArgs),
    /// Time without an owner after a kill, a cut and a release.
    Owners {
        #[arg(long, default_value_t = 20)]
        rounds: usize,
    },
    /// Orders a second, and what controllers cost.
    #[command(name = "orders")]
    Commands {
        #[arg(long, default_value_t = 4)]
        clients: usize,
        #[arg(long, default_value_t = 5_000)]
        span_ms: u64,
    },
    /// What controllers cost while nothing is ordered.
    Idle {
        #[arg(long, default_value_t = 5_000)]
        span_ms: u64,
    },
    /// The control side alone, without sockets.
    #[command(name = "office")]
    InMemory {
        #[arg(long, default_value_t = 5_000)]
        instances: usize,
    },
    /// One drain of all, with the owner killed midway and a tenth of the agents stopped.
    Drain {
        #[arg(long, default_value_t = 2_000)]
        within_ms: u64,
        #[arg(long, default_value_t = 30)]
        kill_after_ms: u64,
    },
    /// An agent with `[fleet]` against one without, requests in turn.
    #[command(name = "txns")]
    Requests {
        #[arg(long = "txns", default_value_t = 20_000, value_name = "TXNS")]
        requests: usize,
    },
}

#[derive(Args)]
struct PlayArgs {
    #[arg(long, default_value_t = 1)]
    from: u64,
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[arg(long, default_value_t = 8_000)]
    span_ms: u64,
    /// A timetable instead of a drawn one.
    #[arg(long)]
    table: Option<PathBuf>,
}

/// Runs a sub-command.
pub fn run(args: &FleetLabArgs) -> Result<ExitCode, String> {
    match &args.command {
        FleetLabCommand::Play(play_args) => play_seeds(args, play_args),
        FleetLabCommand::Owners { rounds } => measure_owner_loss(args, *rounds),
        FleetLabCommand::Commands { clients, span_ms } => measure_commands(args, *clients, *span_ms),
        FleetLabCommand::Idle { span_ms } => measure_idle(args, *span_ms),
        FleetLabCommand::InMemory { instances } => {
            measure_in_memory(*instances);
            Ok(ExitCode::SUCCESS)
        }
        FleetLabCommand::Drain { within_ms, kill_after_ms } => {
            measure_drain(args, *within_ms, *kill_after_ms)
        }
        FleetLabCommand::Requests { requests } => measure_requests(args, *requests),
    }
}

fn plan(args: &FleetLabArgs, name: &str, seed: u64) -> Result<ClusterPlan, String> {
    let program = std::env::current_exe().map_err(|error| format!("where this program is: {error}"))?;
    Ok(ClusterPlan {
        program,
        controllers: args.controllers,
        agents: args.agents,
        zones: ZONES,
        lease_ms: args.lease_ms,
        instance_lease_ms: INSTANCE_LEASE_MS,
        relays: !args.direct,
        folder: temporary_folder(name),
        seed,
    })
}

fn play_seeds(args: &FleetLabArgs, play_args: &PlayArgs) -> Result<ExitCode, String> {
    let mut all_sound = true;
    for seed in play_args.from..play_args.from + play_args.seeds {
        all_sound &= play_seed(args, play_args, seed)?;
    }
    Ok(if all_sound { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) })
}

/// Plays one seed and prints its line; whether its history is sound. The folder of one that is not stays.
fn play_seed(args: &FleetLabArgs, play_args: &PlayArgs, seed: u64) -> Result<bool, String> {
    let plan = plan(args, &format!("play{seed}"), seed)?;
    let folder = plan.folder.clone();
    let text = schedule_text(args, play_args, seed)?;
    let schedule = fault_schedule::parse(&text)?;
    let mut cluster = Cluster::create(plan)?;
    cluster.start()?;
    wait_until_registered(&cluster, args.agents)?;
    let result = fault_run::run(&mut cluster, &schedule, Duration::from_millis(play_args.span_ms), seed)?;
    let violations = check(&result.history);
    println!(
        "seed {seed}: {} faults, {} orders, {} acknowledged, {} effects, {} owners, {} pairs: {}",
        schedule.len(),
        result.submitted,
        result.acknowledged,
        result.history.effects.len(),
        result.owners,
        result.history.commands.iter().map(|command| command.states.len()).sum::<usize>(),
        if violations.is_empty() { "sound".to_owned() } else { violations.join("; ") }
    );
    drop(cluster);
    if violations.is_empty() {
        remove_folder(&folder);
    } else {
        println!("{text}kept in {}", folder.display());
    }
    Ok(violations.is_empty())
}

fn schedule_text(args: &FleetLabArgs, play_args: &PlayArgs, seed: u64) -> Result<String, String> {
    match &play_args.table {
        Some(path) => std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display())),
        None => Ok(fault_schedule::generate(
            seed,
            args.controllers,
            args.agents,
            args.lease_ms,
            play_args.span_ms,
        )),
    }
}

fn measure_owner_loss(args: &FleetLabArgs, rounds: usize) -> Result<ExitCode, String> {
    for loss in [Loss::Killed, Loss::Cut, Loss::LetGo] {
        let plan = plan(args, "owners", FIXED_SEED)?;
        let spans = benchmarks::measure_owner_loss(&plan, loss, rounds)?;
        println!("lease {} ms, {loss:?}: {}", args.lease_ms, quantiles(&spans));
        remove_folder(&plan.folder);
    }
    Ok(ExitCode::SUCCESS)
}

fn measure_commands(args: &FleetLabArgs, clients: usize, span_ms: u64) -> Result<ExitCode, String> {
    let plan = plan(args, "orders", FIXED_SEED)?;
    let load = benchmarks::measure_commands(&plan, clients, Duration::from_millis(span_ms))?;
    println!(
        "{clients} clients, {} agents: {:.0} orders a second, acknowledged: {}",
        args.agents,
        load.rate,
        quantiles(&load.latencies)
    );
    println!("keepers: {}", load.costs);
    remove_folder(&plan.folder);
    Ok(ExitCode::SUCCESS)
}

fn measure_idle(args: &FleetLabArgs, span_ms: u64) -> Result<ExitCode, String> {
    let plan = plan(args, "idle", FIXED_SEED)?;
    for cost in benchmarks::measure_idle(&plan, Duration::from_millis(span_ms))? {
        println!(
            "{} agents, {}: {:.1} MB, {:.2}% of a core",
            args.agents,
            if cost.is_owner { "owner" } else { "other" },
            cost.memory_kb as f64 / BYTES_IN_KB as f64,
            cost.core_part * 100.0
        );
    }
    remove_folder(&plan.folder);
    Ok(ExitCode::SUCCESS)
}

fn measure_in_memory(instances: usize) {
    let ControllerCost { renewal_us, submit_us, outcomes_us, bytes } =
        benchmarks::measure_controller(instances);
    println!(
        "{instances} instances: a renewal {renewal_us:.1} us; an order to all {:.1} ms and {} kB written; all done {:.1} ms",
        submit_us / 1000.0,
        bytes / BYTES_IN_KB,
        outcomes_us / 1000.0
    );
}

fn measure_drain(args: &FleetLabArgs, within_ms: u64, kill_after_ms: u64) -> Result<ExitCode, String> {
    let plan = plan(args, "drain", FIXED_SEED)?;
    let within = Duration::from_millis(within_ms);
    let drained = benchmarks::measure_drain(&plan, Duration::from_millis(kill_after_ms), within)?;
    println!(
        "{} agents, {} stopped: {:?}; the last that runs sends clients away after {} ms; every pair told after {} ms; {} untrue",
        drained.instances,
        drained.stopped,
        drained.states,
        drained.last_refusing.map_or_else(|| "-".into(), milliseconds),
        milliseconds(drained.completed_after),
        drained.mismatches
    );
    remove_folder(&plan.folder);
    Ok(if drained.mismatches == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) })
}

fn measure_requests(args: &FleetLabArgs, requests: usize) -> Result<ExitCode, String> {
    let plan = plan(args, "txns", FIXED_SEED)?;
    let mut cluster = Cluster::create(plan.clone())?;
    request_latency::backend(cluster.backend_address())?;
    // The second one's file has no [fleet].
    let file = plan.folder.join("a1.toml");
    let text = std::fs::read_to_string(&file).map_err(|error| error.to_string())?;
    let without_fleet = text.split("[fleet]").next().unwrap_or_default();
    std::fs::write(&file, without_fleet).map_err(|error| error.to_string())?;
    cluster.start()?;
    wait_until_registered(&cluster, args.agents - 1)?;
    let [with, without] =
        request_latency::compare(cluster.agent_address(0), cluster.agent_address(1), requests)?;
    println!(
        "{requests} txns each, in turn: median {} ms with [fleet], {} ms without, ratio {:.3}; 99% {} and {}, ratio {:.3}",
        milliseconds(with.median),
        milliseconds(without.median),
        with.median.as_secs_f64() / without.median.as_secs_f64(),
        milliseconds(with.p99),
        milliseconds(without.p99),
        with.p99.as_secs_f64() / without.p99.as_secs_f64()
    );
    remove_folder(&plan.folder);
    Ok(ExitCode::SUCCESS)
}

fn milliseconds(span: Duration) -> String {
    format!("{:.1}", span.as_secs_f64() * 1000.0)
}

/// A line of quantiles of what is sorted.
fn quantiles(sorted: &[Duration]) -> String {
    let quantile = |part: f64| {
        let rank = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(rank).copied().map_or_else(|| "-".into(), milliseconds)
    };
    let (median, p99, worst) = (quantile(0.5), quantile(0.99), quantile(1.0));
    format!("{} rounds: median {median} ms, 99% {p99} ms, worst {worst} ms", sorted.len())
}
