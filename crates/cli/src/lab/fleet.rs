//! `notchspool lab fleet ...`: many real processes with faults between them, judged; and the figures of ownership.
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use notchspool_lab::ground::field::{Field, Plan, clear, folder};
use notchspool_lab::ground::judge::judge;
use notchspool_lab::ground::measure::{self, Loss};
use notchspool_lab::ground::play::{play, settled};
use notchspool_lab::ground::{timetable, txns};

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

fn plan(args: &FleetLabArgs, name: &str, seed: u64) -> Result<Plan, String> {
    let program = std::env::current_exe().map_err(|error| format!("where this program is: {error}"))?;
    Ok(Plan {
        program,
        keepers: args.controllers,
        agents: args.agents,
        zones: ZONES,
        lease_ms: args.lease_ms,
        instance_lease_ms: INSTANCE_LEASE_MS,
        relays: !args.direct,
        folder: folder(name),
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
    let text = timetable_text(args, play_args, seed)?;
    let events = timetable::read(&text)?;
    let mut field = Field::lay(plan)?;
    field.start()?;
    settled(&field, args.agents)?;
    let played = play(&mut field, &events, Duration::from_millis(play_args.span_ms), seed)?;
    let violations = judge(&played.history);
    println!(
        "seed {seed}: {} faults, {} orders, {} acknowledged, {} effects, {} owners, {} pairs: {}",
        events.len(),
        played.orders,
        played.acknowledged,
        played.history.effects.len(),
        played.owners,
        played.history.book.iter().map(|command| command.states.len()).sum::<usize>(),
        if violations.is_empty() { "sound".to_owned() } else { violations.join("; ") }
    );
    drop(field);
    if violations.is_empty() {
        clear(&folder);
    } else {
        println!("{text}kept in {}", folder.display());
    }
    Ok(violations.is_empty())
}

fn timetable_text(args: &FleetLabArgs, play_args: &PlayArgs, seed: u64) -> Result<String, String> {
    match &play_args.table {
        Some(path) => std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display())),
        None => Ok(timetable::drawn(seed, args.controllers, args.agents, args.lease_ms, play_args.span_ms)),
    }
}

fn measure_owner_loss(args: &FleetLabArgs, rounds: usize) -> Result<ExitCode, String> {
    for loss in [Loss::Killed, Loss::Cut, Loss::LetGo] {
        let plan = plan(args, "owners", FIXED_SEED)?;
        let spans = measure::without_owner(&plan, loss, rounds)?;
        println!("lease {} ms, {loss:?}: {}", args.lease_ms, quantiles(&spans));
        clear(&plan.folder);
    }
    Ok(ExitCode::SUCCESS)
}

fn measure_commands(args: &FleetLabArgs, clients: usize, span_ms: u64) -> Result<ExitCode, String> {
    let plan = plan(args, "orders", FIXED_SEED)?;
    let (rate, latencies, costs) = measure::orders(&plan, clients, Duration::from_millis(span_ms))?;
    println!(
        "{clients} clients, {} agents: {rate:.0} orders a second, acknowledged: {}",
        args.agents,
        quantiles(&latencies)
    );
    println!("keepers: {costs}");
    clear(&plan.folder);
    Ok(ExitCode::SUCCESS)
}

fn measure_idle(args: &FleetLabArgs, span_ms: u64) -> Result<ExitCode, String> {
    let plan = plan(args, "idle", FIXED_SEED)?;
    for (is_owner, memory_kb, core_share) in measure::idle(&plan, Duration::from_millis(span_ms))? {
        println!(
            "{} agents, {}: {:.1} MB, {:.2}% of a core",
            args.agents,
            if is_owner { "owner" } else { "other" },
            memory_kb as f64 / BYTES_IN_KB as f64,
            core_share * 100.0
        );
    }
    clear(&plan.folder);
    Ok(ExitCode::SUCCESS)
}

fn measure_in_memory(instances: usize) {
    let (renewal_us, submit_us, complete_us, bytes) = measure::controller(instances);
    println!(
        "{instances} instances: a renewal {renewal_us:.1} us; an order to all {:.1} ms and {} kB written; all done {:.1} ms",
        submit_us / 1000.0,
        bytes / BYTES_IN_KB,
        complete_us / 1000.0
    );
}

fn measure_drain(args: &FleetLabArgs, within_ms: u64, kill_after_ms: u64) -> Result<ExitCode, String> {
    let plan = plan(args, "drain", FIXED_SEED)?;
    let within = Duration::from_millis(within_ms);
    let drained = measure::drained(&plan, Duration::from_millis(kill_after_ms), within)?;
    println!(
        "{} agents, {} stopped: {:?}; the last that runs sends clients away after {} ms; every pair told after {} ms; {} untrue",
        drained.instances,
        drained.stopped,
        drained.states,
        drained.last_away.map_or_else(|| "-".into(), milliseconds),
        milliseconds(drained.told),
        drained.untrue
    );
    clear(&plan.folder);
    Ok(if drained.untrue == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) })
}

fn measure_requests(args: &FleetLabArgs, requests: usize) -> Result<ExitCode, String> {
    let plan = plan(args, "txns", FIXED_SEED)?;
    let mut field = Field::lay(plan.clone())?;
    txns::backend(field.backend_at())?;
    // The second one's file has no [fleet].
    let file = plan.folder.join("a1.toml");
    let text = std::fs::read_to_string(&file).map_err(|error| error.to_string())?;
    let without_fleet = text.split("[fleet]").next().unwrap_or_default();
    std::fs::write(&file, without_fleet).map_err(|error| error.to_string())?;
    field.start()?;
    settled(&field, args.agents - 1)?;
    let [(with_median, with_p99), (without_median, without_p99)] =
        txns::paired(field.agent_at(0), field.agent_at(1), requests)?;
    println!(
        "{requests} txns each, in turn: median {} ms with [fleet], {} ms without, ratio {:.3}; 99% {} and {}, ratio {:.3}",
        milliseconds(with_median),
        milliseconds(without_median),
        with_median.as_secs_f64() / without_median.as_secs_f64(),
        milliseconds(with_p99),
        milliseconds(without_p99),
        with_p99.as_secs_f64() / without_p99.as_secs_f64()
    );
    clear(&plan.folder);
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
