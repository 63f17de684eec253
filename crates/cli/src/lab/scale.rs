//! `notchspool lab scale`: see `notchspool_lab::scale`.
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use notchspool_data_plane::run::Listeners;
use notchspool_lab::scale::{Plan, play};
use notchspool_runtime::node_settings::NodeSettings;
use notchspool_runtime::program::CheckedSettings;
use notchspool_runtime::signals::Signals;

/// Arguments of `lab scale`.
#[derive(Args)]
pub struct ScaleArgs {
    /// Hollow agents.
    #[arg(long, default_value_t = 100)]
    hollow: usize,
    /// Real proxies beside them.
    #[arg(long, alias = "ushers", default_value_t = 3)]
    proxies: usize,
    /// Real replicas of the control plane.
    #[arg(long, alias = "prompters", default_value_t = 3)]
    replicas: usize,
    /// Threads for the hollow agents.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 380)]
    services: usize,
    /// Routes of the configuration.
    #[arg(long, default_value_t = 380)]
    routes: usize,
    /// From the first agent's start to the last one's; by default 1 ms for each, and 1 s at least, so that their pulses lie apart.
    #[arg(long)]
    ramp_ms: Option<u64>,
    /// How long all may take to be told all.
    #[arg(long, default_value_t = 60)]
    settle_s: u64,
    /// The phases at rest, under changes and under claims last so long.
    #[arg(long, default_value_t = 10)]
    span_s: u64,
    /// Configurations told.
    #[arg(long, default_value_t = 5)]
    words: usize,
    /// Drains told.
    #[arg(long, default_value_t = 5)]
    drains: usize,
    /// Changes of stations a second; 0: that phase is left out.
    #[arg(long, default_value_t = 10.0)]
    changes: f64,
    /// Claims of keys a second; 0: that phase is left out.
    #[arg(long, default_value_t = 300.0)]
    claims: f64,
    /// Where `replica` and `proxy` lie; by default beside this program, else this program plays them.
    #[arg(long)]
    programs: Option<PathBuf>,
    /// Where the replicas' disks are; emptied at the end.
    #[arg(long)]
    disks: Option<PathBuf>,
}

/// One replica or proxy, as its own program runs it.
pub fn run_part(role: &str, file: PathBuf) -> Result<ExitCode, String> {
    notchspool_runtime::init_logging(log::LevelFilter::Info);
    let node = NodeSettings::read(&file).map_err(|error| error.to_string())?;
    let listener = |name: &str| node.listener(&file, name).map_err(|error| error.to_string());
    let [outbound, readiness, control_plane] =
        [listener("outbound")?, listener("readiness")?, listener("controlPlane")?];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    let local = tokio::task::LocalSet::new();
    let installed = runtime.block_on(async { Signals::install() });
    let signals = installed.map_err(|error| error.to_string())?;
    let ended = match role {
        "control-plane" => {
            let settings = CheckedSettings { node, file, listeners: control_plane };
            local.block_on(&runtime, notchspool_control_plane::server::run(settings, signals))
        }
        "proxy" => {
            let listeners = Listeners { outbound, readiness, control_plane };
            let settings = CheckedSettings { node, file, listeners };
            local.block_on(&runtime, notchspool_data_plane::run::run(settings, signals))
        }
        _ => return Err(format!("no part `{role}`")),
    };
    ended.map(|()| ExitCode::SUCCESS).map_err(|error| error.to_string())
}

/// Plays the plan and prints the sheet.
pub fn run(args: &ScaleArgs) -> Result<ExitCode, String> {
    let own = std::env::current_exe().map_err(|error| format!("where this program is: {error}"))?;
    let beside = own.parent().map(PathBuf::from);
    let has_both = |folder: &PathBuf| {
        ["notchspool-control-plane", "notchspool-proxy"].iter().all(|program| folder.join(program).is_file())
    };
    if let Some(folder) = args.programs.iter().find(|folder| !has_both(folder)) {
        return Err(format!(
            "{}: notchspool-control-plane and notchspool-proxy are not both there",
            folder.display()
        ));
    }
    let name = format!("notchspool-scale-{}", std::process::id());
    let plan = Plan {
        programs: args.programs.clone().or(beside).filter(has_both),
        own,
        folder: args.disks.clone().unwrap_or_else(std::env::temp_dir).join(name),
        seed: args.seed,
        replicas: args.replicas,
        proxies: args.proxies,
        hollow: args.hollow,
        threads: args.threads,
        services: args.services,
        routes: args.routes,
        ramp: Duration::from_millis(args.ramp_ms.unwrap_or((args.hollow as u64).max(1_000))),
        settle: Duration::from_secs(args.settle_s),
        span: Duration::from_secs(args.span_s),
        words: args.words,
        drains: args.drains,
        changes: args.changes,
        claims: args.claims,
    };
    let sheet = play::play(&plan, |line| eprintln!("{line}"))?;
    print!("{}", sheet.table());
    Ok(if sheet.whole == sheet.hollow { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
