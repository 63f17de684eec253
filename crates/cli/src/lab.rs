//! `notchspool lab ...`
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use notchspool_lab::core::auditor::{Breach, Rule, audit, history};
use notchspool_lab::core::kit::Micros;
use notchspool_lab::core::ledger::Ledger;
use notchspool_lab::core::notation;
use notchspool_lab::plain::agent;
use notchspool_lab::plain::policy::Policy;
use notchspool_lab::plan::{Arm, Plan, read, ship};
use notchspool_lab::report::{Sheet, page, table};
use notchspool_lab::sockets::agents::Programs;
use notchspool_lab::sockets::drive;

#[derive(Subcommand)]
pub enum Lab {
    /// Plays an experiment; ends with 0, or with 1 and what was broken.
    Run(Run),
    /// Lists the experiments that ship.
    Ls,
    /// Prints an experiment that ships, to begin one's own with.
    Show { name: String },
    /// Judges books that were kept: for each of the four rules kept or broken, with the history of the txn; ends with 0, 1 or,
    /// where they can't be read, 2.
    Audit { books: Vec<PathBuf> },
    /// Writes one page, with plots, of the runs that were kept.
    Report(Report),
    /// Keepers and agents as many real processes, faults between them, and the figures of who owns.
    Fleet(crate::fleet_lab::Ground),
    /// The mesh in virtual time: replicas and proxies, drawn faults of links, disks and processes, judged by what was promised. Ends with
    /// 0, or with 1 and the seeds that broke something.
    Mesh {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// How many.
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        /// Storms of changes amid losses, in place of days of all kinds.
        #[arg(long)]
        storms: bool,
        /// Changes of who votes: wipes, removals, successors, cuts.
        #[arg(long, conflicts_with = "storms")]
        members: bool,
        /// The data plane instead: proxies, links and backends, judged by who got which answer and what ran twice.
        #[arg(long, conflicts_with_all = ["storms", "members"])]
        traffic: bool,
        /// Processors to use; 0: all.
        #[arg(long, default_value_t = 0)]
        jobs: u64,
    },
    /// Many changes of a large configuration on true disks, in virtual time: what stays on them, how long a start takes, what goes to others.
    Changes {
        #[arg(long, default_value_t = 1_000)]
        changes: u64,
        #[arg(long, default_value_t = 5_000)]
        routes: u64,
        /// An empty folder for the disks; without it one is made, and removed at the end.
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// The control plane under many agents: real replicas and proxies on loopback, and hollow agents beside them. Prints what each cost.
    /// Refuses a plan that is too large for the machine. Ends with 0, or with 1 where not all agents were told all.
    Scale(crate::scale::Scale),
    /// A replica or a proxy of `scale`, where their own programs are not built. The lab starts it by itself.
    #[command(hide = true)]
    Part { role: String, settings: PathBuf },
    /// A plain agent: a baseline, told what any agent is told. The lab starts it by itself.
    #[command(hide = true)]
    Plain { policy: String },
}

/// A drawn day of the data plane.
fn traffic_of(seed: u64) -> Vec<String> {
    let day = notchspool_lab::mesh::traffic::drawn(seed, None);
    day.wrong.into_iter().map(|(rule, what)| format!("{rule:?}: {what}")).collect()
}

/// Plays drawn days of the mesh, on all cores.
fn mesh(from: u64, seeds: u64, play: fn(u64) -> Vec<String>, jobs: u64) -> ExitCode {
    let all = std::thread::available_parallelism().map_or(1, std::num::NonZero::get).min(64) as u64;
    let threads = if jobs == 0 { all } else { jobs.min(64) };
    let broken: Vec<(u64, Vec<String>)> = std::thread::scope(|scope| {
        let part = move |nth: u64| -> Vec<(u64, Vec<String>)> {
            let all = (from..from.saturating_add(seeds)).filter(move |seed| seed % threads == nth);
            all.map(|seed| (seed, play(seed))).filter(|(_, wrong)| !wrong.is_empty()).collect()
        };
        let hands: Vec<_> = (0..threads).map(|nth| scope.spawn(move || part(nth))).collect();
        hands.into_iter().filter_map(|hand| hand.join().ok()).flatten().collect()
    });
    for (seed, wrong) in &broken {
        wrong.iter().for_each(|w| println!("seed {seed}: {w}"));
    }
    println!("{} of {seeds} seeds broke something", broken.len());
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays changes on true disks and prints what they cost.
fn changes_of(changes: u64, routes: u64, folder: Option<PathBuf>) -> ExitCode {
    let made = folder.is_none();
    let folder = folder
        .unwrap_or_else(|| std::env::temp_dir().join(format!("notchspool-changes-{}", std::process::id())));
    let figures = notchspool_lab::mesh::changes(changes, routes, &folder);
    if made {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let figures = match figures {
        Ok(figures) => figures,
        Err(e) => {
            println!("broken: {e}");
            return ExitCode::FAILURE;
        }
    };
    println!("{changes} changes of {routes} routes, bodies of {} bytes", figures.body);
    println!("on the fullest disk {} bytes in {} files", figures.disk_bytes, figures.disk_files);
    println!("texts held by a replica {} bytes at most", figures.texts);
    println!(
        "for a change {:.0} bytes to and from a peer, {:.0} to a proxy",
        figures.to_peer, figures.to_proxy
    );
    println!("texts refused {}", figures.refused);
    for back in &figures.returns {
        let away = back.away.map_or("with an empty disk".into(), |n| format!("after {n} changes"));
        let (ms, start) = (back.caught_up.ratio_to(Micros::ms(1)), back.start.as_secs_f64() * 1e3);
        println!(
            "back {away}: opens in {start:.1} ms, votes with the newest after {ms:.0} ms, is sent {} bytes",
            back.bytes
        );
    }
    ExitCode::SUCCESS
}

#[derive(Args)]
pub struct Run {
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

#[derive(Args)]
pub struct Report {
    /// Sheets, or folders that hold some.
    #[arg(default_value = "found/lab")]
    from: Vec<PathBuf>,
    /// The page; its plots go beside it.
    #[arg(long, default_value = "found/lab/report.md")]
    out: PathBuf,
}

pub fn run(lab: Lab) -> Result<ExitCode, String> {
    match lab {
        Lab::Run(asked) => play(&asked),
        Lab::Ls => list(),
        Lab::Show { name } => {
            print!("{}", ship::shipped(&name).ok_or_else(|| no_such(&name))?);
            Ok(ExitCode::SUCCESS)
        }
        Lab::Audit { books } => judge(&books),
        Lab::Report(asked) => report(&asked),
        Lab::Fleet(asked) => crate::fleet_lab::run(&asked),
        Lab::Mesh { from, seeds, storms, members, traffic, jobs } => {
            let play = match (storms, members, traffic) {
                (true, ..) => notchspool_lab::mesh::storms,
                (_, true, _) => notchspool_lab::mesh::drawn_members,
                (.., true) => traffic_of,
                _ => notchspool_lab::mesh::drawn,
            };
            Ok(mesh(from, seeds, play, jobs))
        }
        Lab::Changes { changes, routes, folder } => Ok(changes_of(changes, routes, folder)),
        Lab::Scale(asked) => crate::scale::run(&asked),
        Lab::Part { role, settings } => crate::scale::part(&role, settings),
        Lab::Plain { policy } => {
            let policy = Policy::named(&policy).ok_or_else(|| format!("no policy `{policy}`"))?;
            agent::run(policy).map(|()| ExitCode::SUCCESS)
        }
    }
}

fn no_such(name: &str) -> String {
    format!("no experiment `{name}`: neither a file nor one that ships; `notchspool lab ls` names those")
}

fn list() -> Result<ExitCode, String> {
    for (name, text) in ship::SHIPPED {
        let plan = read::read(name, text, None).map_err(told)?;
        let seconds = plan.span.0 as f64 / 1e6;
        println!("{name:<18} {:<58} {seconds:>4.0} s", plan.title);
    }
    Ok(ExitCode::SUCCESS)
}

fn told(mistakes: Vec<notchspool_settings::mistake::Mistake>) -> String {
    mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\nnotchspool: ")
}

fn text_of(experiment: &str) -> Result<String, String> {
    if Path::new(experiment).is_file() {
        return std::fs::read_to_string(experiment).map_err(|e| format!("{experiment}: {e}"));
    }
    ship::shipped(experiment).map(str::to_owned).ok_or_else(|| no_such(experiment))
}

fn programs(agent: Option<&PathBuf>) -> Result<Programs, String> {
    let own = std::env::current_exe().map_err(|e| format!("where this program is: {e}"))?;
    let beside = own.with_file_name("notchspool-agent");
    Ok(Programs { agent: agent.cloned().unwrap_or(beside), own })
}

fn arms(plan: &Plan, asked: &Run) -> Result<Vec<Arm>, String> {
    let agent = Arm { name: "notchspool".into(), ..Arm::default() };
    let plain = |policy: Policy| Arm { name: policy.name().into(), plain: Some(policy), ..Arm::default() };
    let routes = |name: &str, divided| Arm { name: name.into(), routes: Some(divided), ..Arm::default() };
    let mut all = vec![agent, routes("routes", true), routes("routes-undivided", false)];
    all.extend(plan.arms.iter().cloned());
    all.extend(Policy::ALL.map(plain));
    if !asked.arm.is_empty() {
        let find = |name: &String| {
            let names = || all.iter().map(|a| a.name.as_str()).collect::<Vec<_>>().join(", ");
            all.iter()
                .find(|a| a.name == *name)
                .cloned()
                .or_else(|| Policy::named(name).map(plain))
                .ok_or_else(|| format!("no arm `{name}`; there are {}", names()))
        };
        return asked.arm.iter().map(find).collect();
    }
    match (asked.compare, plan.pools) {
        // More pools than one are known to agents with routes alone.
        (true, 2..) => all.retain(|arm| arm.routes.is_some()),
        (true, _) => all.retain(|arm| arm.routes != Some(false)),
        (false, 2..) => all = vec![all.swap_remove(1)],
        (false, _) => all.truncate(1),
    }
    Ok(all)
}

fn play(asked: &Run) -> Result<ExitCode, String> {
    let text = text_of(&asked.experiment)?;
    let programs = programs(asked.agent.as_ref())?;
    let seeds: Vec<Option<u64>> =
        if asked.seed.is_empty() { vec![None] } else { asked.seed.iter().copied().map(Some).collect() };
    let mut sheets = Vec::new();
    for seed in seeds {
        let plan = read::read(&asked.experiment, &text, seed).map_err(told)?;
        for arm in arms(&plan, asked)? {
            let folder = asked.out.join(format!("{}-{}-{}", plan.name, plan.seed, arm.name));
            let bar = bar(&plan, &arm);
            let look = |now: Micros, ended: usize, open: usize| {
                bar.set_position((now.0 / 1000).max(0) as u64);
                bar.set_message(format!("{ended} orders, {open} in hand"));
            };
            let outcome = drive::run(&plan, &arm, &programs, &folder, &look);
            bar.finish_and_clear();
            let outcome = outcome?;
            let sheet = Sheet::of(&plan, &outcome);
            keep(&folder, &sheet)?;
            if asked.books {
                books(&folder, &plan, &arm, &outcome.ledger)?;
            }
            print!("{}", table::whole(&sheet));
            sheets.push(sheet);
        }
    }
    if sheets.len() > 1 {
        print!("\n{}", table::side_by_side(&sheets));
    }
    // Baselines beside the agent are compared with, not judged.
    let own = sheets.iter().filter(|s| !asked.compare || Policy::named(&s.arm).is_none());
    Ok(if own.clone().all(Sheet::sound) { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn bar(plan: &Plan, arm: &Arm) -> ProgressBar {
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

fn keep(folder: &Path, sheet: &Sheet) -> Result<(), String> {
    let text = serde_json::to_string_pretty(sheet).map_err(|e| e.to_string())?;
    let file = folder.join("sheet.json");
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))
}

fn books(folder: &Path, plan: &Plan, arm: &Arm, ledger: &Ledger) -> Result<(), String> {
    let made = format!("`notchspool lab run {} --seed {} --arm {} --books`", plan.name, plan.seed, arm.name);
    let text = notation::write(&made, &drive::agreement(plan), ledger);
    let file = folder.join("books.txt");
    std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Judges kept books, one file after the other.
fn judge(files: &[PathBuf]) -> Result<ExitCode, String> {
    let mut sound = true;
    for file in files {
        let named = |why: String| format!("{}: {why}", file.display());
        let text = std::fs::read_to_string(file).map_err(|e| named(e.to_string()))?;
        let (agreed, ledger) = notation::read(&text).map_err(named)?;
        let verdict = audit(&ledger, &agreed);
        println!("{}: {} txns, {} postings", file.display(), verdict.taken, verdict.postings);
        for rule in Rule::ALL {
            let broken: Vec<&Breach> = verdict.breaches.iter().filter(|b| b.rule == rule).collect();
            println!("  {rule:?}: {}", if broken.is_empty() { "kept" } else { "BROKEN" });
            if let Some(first) = broken.first() {
                sound = false;
                println!(
                    "    {} times, first: {} at {:.1} ms",
                    broken.len(),
                    first.what,
                    first.at.0 as f64 / 1e3
                );
                let lines = first.txn.map(|txn| history(&ledger, txn)).unwrap_or_default();
                lines.iter().for_each(|line| println!("      {line}"));
            }
        }
    }
    Ok(if sound { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn sheets(from: &Path, found: &mut Vec<PathBuf>) -> Result<(), String> {
    let failed = |e: std::io::Error| format!("{}: {e}", from.display());
    if from.is_dir() {
        let mut inside: Vec<PathBuf> = Vec::new();
        for entry in std::fs::read_dir(from).map_err(failed)? {
            inside.push(entry.map_err(failed)?.path());
        }
        inside.sort();
        for path in inside {
            if path.is_dir() || path.file_name().is_some_and(|name| name == "sheet.json") {
                sheets(&path, found)?;
            }
        }
        return Ok(());
    }
    found.push(from.to_owned());
    Ok(())
}

fn report(asked: &Report) -> Result<ExitCode, String> {
    let mut files = Vec::new();
    for from in &asked.from {
        sheets(from, &mut files)?;
    }
    let read = |file: &PathBuf| -> Result<Sheet, String> {
        let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
        serde_json::from_slice(&text).map_err(|e| format!("{}: no sheet: {e}", file.display()))
    };
    let mut read: Vec<Sheet> = files.iter().map(read).collect::<Result<_, _>>()?;
    if read.is_empty() {
        return Err("no sheets there; `notchspool lab run` leaves them".into());
    }
    read.sort_by_key(|s| {
        (s.experiment.clone(), Policy::named(&s.arm).is_some(), s.arm != "notchspool", s.arm.clone(), s.seed)
    });
    let page = page::page(&read)?;
    let folder = asked.out.parent().unwrap_or(Path::new("."));
    let write =
        |path: &Path, text: &str| std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()));
    write(&asked.out, &page.text)?;
    for (name, plot) in &page.plots {
        write(&folder.join(name), plot)?;
    }
    println!("{}: {} runs, {} plots beside it", asked.out.display(), read.len(), page.plots.len());
    Ok(ExitCode::SUCCESS)
}
