//! `notchspool lab run`: plays experiments and keeps what came of them.
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use notchspool_lab::core::kit::Micros;
use notchspool_lab::core::ledger::Ledger;
use notchspool_lab::core::notation;
use notchspool_lab::plain::policy::Policy;
use notchspool_lab::plan::{Arm, Plan, read, ship};
use notchspool_lab::report::{Sheet, table};
use notchspool_lab::sockets::agents::Programs;
use notchspool_lab::sockets::drive;

use crate::EXIT_INCOMPLETE;

#[derive(Args)]
/// Arguments of `lab run`.
pub struct RunArgs {
    /// A file, or the name of one that ships.
    experiment: String,
    /// Another seed than the file's; may be given again, for a run each.
    #[arg(long)]
    seed: Vec<u64>,
    /// The agent's binary; else the one beside this program.
    #[arg(long)]
    agent: Option<PathBuf>,
    /// Plays every arm of the file and the four plain policies, in turn.
    #[arg(long)]
    compare: bool,
    /// Plays only the arms of these names, or plain policies.
    #[arg(long)]
    arm: Vec<String>,
    /// Keeps the books too: every line that clients, backends and the register wrote.
    #[arg(long)]
    books: bool,
    /// Where sheets and logs go.
    #[arg(long, default_value = "found/lab")]
    out: PathBuf,
}

fn unknown_experiment(name: &str) -> String {
    format!("no experiment `{name}`: neither a file nor one that ships; `notchspool lab ls` names those")
}

/// Prints an experiment that ships.
pub fn show(name: &str) -> Result<ExitCode, String> {
    print!("{}", ship::shipped(name).ok_or_else(|| unknown_experiment(name))?);
    Ok(ExitCode::SUCCESS)
}

/// Lists the experiments that ship.
pub fn list() -> Result<ExitCode, String> {
    for (name, text) in ship::SHIPPED {
        let plan = read::read(name, text, None).map_err(lines)?;
        let seconds = plan.span.0 as f64 / 1e6;
        println!("{name:<18} {:<58} {seconds:>4.0} s", plan.title);
    }
    Ok(ExitCode::SUCCESS)
}

/// Mistakes, a line each.
fn lines(mistakes: Vec<notchspool_settings::mistake::Mistake>) -> String {
    mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\nnotchspool: ")
}

/// The text of an experiment: of a file, or of one that ships.
fn experiment_text(experiment: &str) -> Result<String, String> {
    if Path::new(experiment).is_file() {
        return std::fs::read_to_string(experiment).map_err(|error| format!("{experiment}: {error}"));
    }
    ship::shipped(experiment).map(str::to_owned).ok_or_else(|| unknown_experiment(experiment))
}

/// The programs that are played; the agent is the one beside this program unless another is named.
fn programs(agent: Option<&PathBuf>) -> Result<Programs, String> {
    let own = std::env::current_exe().map_err(|error| format!("where this program is: {error}"))?;
    let beside = own.with_file_name("notchspool-agent");
    Ok(Programs { agent: agent.cloned().unwrap_or(beside), own })
}

/// The arms that are played.
fn arms(plan: &Plan, args: &RunArgs) -> Result<Vec<Arm>, String> {
    let agent = Arm { name: "notchspool".into(), ..Arm::default() };
    let plain = |policy: Policy| Arm { name: policy.name().into(), plain: Some(policy), ..Arm::default() };
    let routes = |name: &str, divided| Arm { name: name.into(), routes: Some(divided), ..Arm::default() };
    let mut all = vec![agent, routes("routes", true), routes("routes-undivided", false)];
    all.extend(plan.arms.iter().cloned());
    all.extend(Policy::ALL.map(plain));
    if !args.arm.is_empty() {
        let find = |name: &String| {
            let names = || all.iter().map(|arm| arm.name.as_str()).collect::<Vec<_>>().join(", ");
            all.iter()
                .find(|arm| arm.name == *name)
                .cloned()
                .or_else(|| Policy::named(name).map(plain))
                .ok_or_else(|| format!("no arm `{name}`; there are {}", names()))
        };
        return args.arm.iter().map(find).collect();
    }
    match (args.compare, plan.pools) {
        // More pools than one are known to agents with routes alone.
        (true, 2..) => all.retain(|arm| arm.routes.is_some()),
        (true, _) => all.retain(|arm| arm.routes != Some(false)),
        (false, 2..) => all = vec![all.swap_remove(1)],
        (false, _) => all.truncate(1),
    }
    Ok(all)
}

/// Plays an experiment with every arm and seed that was asked for.
pub fn run(args: &RunArgs) -> Result<ExitCode, String> {
    let text = experiment_text(&args.experiment)?;
    let programs = programs(args.agent.as_ref())?;
    let seeds: Vec<Option<u64>> =
        if args.seed.is_empty() { vec![None] } else { args.seed.iter().copied().map(Some).collect() };
    let mut sheets = Vec::new();
    for seed in seeds {
        let plan = read::read(&args.experiment, &text, seed).map_err(lines)?;
        for arm in arms(&plan, args)? {
            let folder = args.out.join(format!("{}-{}-{}", plan.name, plan.seed, arm.name));
            let bar = progress_bar(&plan, &arm);
            let show = |now: Micros, ended: usize, in_flight: usize| {
                bar.set_position((now.0 / 1000).max(0) as u64);
                bar.set_message(format!("{ended} orders, {in_flight} in hand"));
            };
            let outcome = drive::run(&plan, &arm, &programs, &folder, &show);
            bar.finish_and_clear();
            let outcome = outcome?;
            let sheet = Sheet::of(&plan, &outcome);
            keep_sheet(&folder, &sheet)?;
            if args.books {
                keep_ledger(&folder, &plan, &arm, &outcome.ledger)?;
            }
            print!("{}", table::whole(&sheet));
            sheets.push(sheet);
        }
    }
    if sheets.len() > 1 {
        print!("\n{}", table::side_by_side(&sheets));
    }
    // Baselines beside the agent are compared with, not judged.
    let judged = sheets.iter().filter(|sheet| !args.compare || Policy::named(&sheet.arm).is_none());
    Ok(if judged.clone().all(Sheet::sound) { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) })
}

/// A bar on a terminal, else nothing.
fn progress_bar(plan: &Plan, arm: &Arm) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new((plan.span.0 / 1000) as u64);
    if let Ok(style) = ProgressStyle::with_template("{prefix} [{bar:40}] {msg}") {
        bar.set_style(style);
    }
    bar.set_prefix(format!("{} ({})", plan.name, arm.name));
    bar
}

/// Keeps the sheet of a run.
fn keep_sheet(folder: &Path, sheet: &Sheet) -> Result<(), String> {
    let text = serde_json::to_string_pretty(sheet).map_err(|error| error.to_string())?;
    let file = folder.join("sheet.json");
    std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))
}

/// Keeps the ledger of a run.
fn keep_ledger(folder: &Path, plan: &Plan, arm: &Arm, ledger: &Ledger) -> Result<(), String> {
    let command =
        format!("`notchspool lab run {} --seed {} --arm {} --books`", plan.name, plan.seed, arm.name);
    let text = notation::write(&command, &drive::agreement(plan), ledger);
    let file = folder.join("books.txt");
    std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))
}
