//! `notchspool lab mesh` and `notchspool lab changes`: the mesh in virtual time.
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use notchspool_lab::core::kit::Micros;
use notchspool_lab::mesh;

/// Threads at most.
const MAX_THREADS: u64 = 64;

/// Plays the day of a seed, and says what was broken.
type PlayDay = fn(u64) -> Vec<String>;

/// Arguments of `lab mesh`.
#[derive(Args)]
pub struct MeshArgs {
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
    /// Backends that drain and leave while their proxies and the replicas are lost.
    #[arg(long, conflicts_with_all = ["storms", "members"])]
    departures: bool,
    /// The data plane instead: proxies, links and backends, judged by who got which answer and what ran twice.
    #[arg(long, conflicts_with_all = ["storms", "members", "departures"])]
    traffic: bool,
    /// Processors to use; 0: all.
    #[arg(long, default_value_t = 0)]
    jobs: u64,
}

/// Arguments of `lab changes`.
#[derive(Args)]
pub struct ChangesArgs {
    #[arg(long, default_value_t = 1_000)]
    changes: u64,
    #[arg(long, default_value_t = 5_000)]
    routes: u64,
    /// An empty folder for the disks; without it one is made, and removed at the end.
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// Plays drawn days of the mesh on several threads.
pub fn run(args: &MeshArgs) -> ExitCode {
    let play = match (args.storms, args.members, args.departures, args.traffic) {
        (true, ..) => mesh::storms,
        (_, true, ..) => mesh::drawn_members,
        (_, _, true, _) => mesh::drawn_departures,
        (.., true) => traffic_day,
        _ => mesh::drawn,
    };
    let broken = play_days(args, play);
    for (seed, breaches) in &broken {
        breaches.iter().for_each(|breach| println!("seed {seed}: {breach}"));
    }
    println!("{} of {} seeds broke something", broken.len(), args.seeds);
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The seeds that broke something, and what.
fn play_days(args: &MeshArgs, play: PlayDay) -> Vec<(u64, Vec<String>)> {
    let processors = std::thread::available_parallelism().map_or(1, std::num::NonZero::get) as u64;
    let threads = if args.jobs == 0 { processors.min(MAX_THREADS) } else { args.jobs.min(MAX_THREADS) };
    let seeds = args.from..args.from.saturating_add(args.seeds);
    let play_share = |share: u64| -> Vec<(u64, Vec<String>)> {
        let own = seeds.clone().filter(|seed| seed % threads == share);
        own.map(|seed| (seed, play(seed))).filter(|(_, breaches)| !breaches.is_empty()).collect()
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|share| {
                let play_share = &play_share;
                scope.spawn(move || play_share(share))
            })
            .collect();
        workers.into_iter().filter_map(|worker| worker.join().ok()).flatten().collect()
    })
}

/// A drawn day of the data plane.
fn traffic_day(seed: u64) -> Vec<String> {
    let day = mesh::traffic::drawn(seed, None);
    day.violations.into_iter().map(|(rule, what)| format!("{rule:?}: {what}")).collect()
}

/// Plays changes on true disks and prints what they cost.
pub fn run_changes(args: ChangesArgs) -> ExitCode {
    let ChangesArgs { changes, routes, folder } = args;
    let is_temporary = folder.is_none();
    let folder = folder
        .unwrap_or_else(|| std::env::temp_dir().join(format!("notchspool-changes-{}", std::process::id())));
    let figures = mesh::changes(changes, routes, &folder);
    if is_temporary {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let figures = match figures {
        Ok(figures) => figures,
        Err(error) => {
            println!("broken: {error}");
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
        let away =
            back.away.map_or("with an empty disk".into(), |changes| format!("after {changes} changes"));
        let (caught_up_ms, start_ms) =
            (back.caught_up.ratio_to(Micros::ms(1)), back.start.as_secs_f64() * 1e3);
        println!(
            "back {away}: opens in {start_ms:.1} ms, votes with the newest after {caught_up_ms:.0} ms, is sent {} bytes",
            back.bytes
        );
    }
    ExitCode::SUCCESS
}
