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

#[derive(Args)]
pub struct Ground {
    #[arg(long, global = true, default_value_t = 5)]
    keepers: usize,
    #[arg(long, global = true, default_value_t = 40)]
    agents: usize,
    #[arg(long, global = true, default_value_t = 500)]
    lease_ms: u64,
    /// Processes meet directly, with no relays of ours between them.
    #[arg(long, global = true)]
    direct: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Faults drawn from seeds, or from a file, with orders running; ends with 1 where a history is not sound.
    Play {
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long, default_value_t = 8_000)]
        span_ms: u64,
        /// A timetable instead of a drawn one.
        #[arg(long)]
        table: Option<PathBuf>,
    },
    /// Time without an owner after a kill, a cut and a release.
    Owners {
        #[arg(long, default_value_t = 20)]
        rounds: usize,
    },
    /// Orders a second, and what keepers cost.
    Orders {
        #[arg(long, default_value_t = 4)]
        clients: usize,
        #[arg(long, default_value_t = 5_000)]
        span_ms: u64,
    },
    /// What keepers cost while nothing is ordered.
    Idle {
        #[arg(long, default_value_t = 5_000)]
        span_ms: u64,
    },
    /// The control side alone, without sockets.
    Office {
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
    /// An agent with `[fleet]` against one without, txns in turn.
    Txns {
        #[arg(long, default_value_t = 20_000)]
        txns: usize,
    },
}

fn plan(asked: &Ground, name: &str, seed: u64) -> Result<Plan, String> {
    let program = std::env::current_exe().map_err(|e| format!("where this program is: {e}"))?;
    Ok(Plan {
        program,
        keepers: asked.keepers,
        agents: asked.agents,
        zones: 4,
        lease_ms: asked.lease_ms,
        instance_lease_ms: 3_000,
        relays: !asked.direct,
        folder: folder(name),
        seed,
    })
}

fn ms(span: Duration) -> String {
    format!("{:.1}", span.as_secs_f64() * 1000.0)
}
fn quantiles(spans: &[Duration]) -> String {
    let at = |part: f64| spans.get(((spans.len() as f64 * part) as usize).min(spans.len().saturating_sub(1)));
    let at = |part| at(part).copied().map_or_else(|| "-".into(), ms);
    format!("{} rounds: median {} ms, 99% {} ms, worst {} ms", spans.len(), at(0.5), at(0.99), at(1.0))
}

pub fn run(asked: &Ground) -> Result<ExitCode, String> {
    match &asked.what {
        What::Play { from, seeds, span_ms, table } => {
            let mut unsound = 0;
            for seed in *from..*from + *seeds {
                let plan = plan(asked, &format!("play{seed}"), seed)?;
                let kept = plan.folder.clone();
                let text = match table {
                    Some(path) => {
                        std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?
                    }
                    None => timetable::drawn(seed, asked.keepers, asked.agents, asked.lease_ms, *span_ms),
                };
                let events = timetable::read(&text)?;
                let mut field = Field::lay(plan)?;
                field.start()?;
                settled(&field, asked.agents)?;
                let played = play(&mut field, &events, Duration::from_millis(*span_ms), seed)?;
                let wrong = judge(&played.history);
                println!(
                    "seed {seed}: {} faults, {} orders, {} acknowledged, {} effects, {} owners, {} pairs: {}",
                    events.len(),
                    played.orders,
                    played.acknowledged,
                    played.history.effects.len(),
                    played.owners,
                    played.history.book.iter().map(|o| o.states.len()).sum::<usize>(),
                    if wrong.is_empty() { "sound".to_owned() } else { wrong.join("; ") }
                );
                drop(field);
                if wrong.is_empty() {
                    clear(&kept);
                } else {
                    unsound += 1;
                    println!("{text}kept in {}", kept.display());
                }
            }
            Ok(if unsound == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
        }
        What::Owners { rounds } => {
            for loss in [Loss::Killed, Loss::Cut, Loss::LetGo] {
                let plan = plan(asked, "owners", 1)?;
                let kept = plan.folder.clone();
                let spans = measure::without_owner(&plan, loss, *rounds)?;
                println!("lease {} ms, {loss:?}: {}", asked.lease_ms, quantiles(&spans));
                clear(&kept);
            }
            Ok(ExitCode::SUCCESS)
        }
        What::Orders { clients, span_ms } => {
            let plan = plan(asked, "orders", 1)?;
            let (rate, took, costs) = measure::orders(&plan, *clients, Duration::from_millis(*span_ms))?;
            println!(
                "{clients} clients, {} agents: {rate:.0} orders a second, acknowledged: {}",
                asked.agents,
                quantiles(&took)
            );
            println!("keepers: {costs}");
            clear(&plan.folder);
            Ok(ExitCode::SUCCESS)
        }
        What::Idle { span_ms } => {
            let plan = plan(asked, "idle", 1)?;
            for (owns, kb, core) in measure::idle(&plan, Duration::from_millis(*span_ms))? {
                let word = if owns { "owner" } else { "other" };
                println!(
                    "{} agents, {word}: {:.1} MB, {:.2}% of a core",
                    asked.agents,
                    kb as f64 / 1024.0,
                    core * 100.0
                );
            }
            clear(&plan.folder);
            Ok(ExitCode::SUCCESS)
        }
        What::Office { instances } => {
            let (renewal, ordered, done, bytes) = measure::controller(*instances);
            println!(
                "{instances} instances: a renewal {renewal:.1} us; an order to all {:.1} ms and {} kB written; all done {:.1} ms",
                ordered / 1000.0,
                bytes / 1024,
                done / 1000.0
            );
            Ok(ExitCode::SUCCESS)
        }
        What::Drain { within_ms, kill_after_ms } => {
            let plan = plan(asked, "drain", 1)?;
            let within = Duration::from_millis(*within_ms);
            let drained = measure::drained(&plan, Duration::from_millis(*kill_after_ms), within)?;
            println!(
                "{} agents, {} stopped: {:?}; the last that runs sends clients away after {} ms; every pair told after {} ms; {} untrue",
                drained.instances,
                drained.stopped,
                drained.states,
                drained.last_away.map_or_else(|| "-".into(), ms),
                ms(drained.told),
                drained.untrue
            );
            clear(&plan.folder);
            Ok(if drained.untrue == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
        }
        What::Txns { txns: n } => {
            let plan = plan(asked, "txns", 1)?;
            let mut field = Field::lay(plan.clone())?;
            txns::backend(field.backend_at())?;
            // The second one's file has no [fleet].
            let file = plan.folder.join("a1.toml");
            let text = std::fs::read_to_string(&file).map_err(|e| e.to_string())?;
            let plain = text.split("[fleet]").next().unwrap_or_default();
            std::fs::write(&file, plain).map_err(|e| e.to_string())?;
            field.start()?;
            settled(&field, asked.agents - 1)?;
            let [with, without] = txns::paired(field.agent_at(0), field.agent_at(1), *n)?;
            println!(
                "{n} txns each, in turn: median {} ms with [fleet], {} ms without, ratio {:.3}; 99% {} and {}, ratio {:.3}",
                ms(with.0),
                ms(without.0),
                with.0.as_secs_f64() / without.0.as_secs_f64(),
                ms(with.1),
                ms(without.1),
                with.1.as_secs_f64() / without.1.as_secs_f64()
            );
            clear(&plan.folder);
            Ok(ExitCode::SUCCESS)
        }
    }
}
