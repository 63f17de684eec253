//! `prompter`: the control plane on a `core` machine. Told what to do by the settings file; see docs/mesh.md.
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Parser, construct, long};
use notchspool_runtime::signals::Signals;
use notchspool_runtime::told::Told;

struct Opts {
    settings: Option<PathBuf>,
    check: bool,
    verbose: bool,
}

fn opts() -> bpaf::OptionParser<Opts> {
    let settings = long("settings")
        .help("The settings file; by default the one that NOTCHSPOOL_SETTINGS names")
        .argument::<PathBuf>("FILE")
        .optional();
    let check = long("check").help("Read and check the settings file, then end").switch();
    let verbose = long("verbose").help("Log each connection that ends").switch();
    construct!(Opts { settings, check, verbose })
        .to_options()
        .descr("The control plane of the notchspool mesh")
}

fn main() -> ExitCode {
    // Before all else: a signal that comes early must not end the process.
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("prompter: no runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let taken = runtime.block_on(async { Signals::take() });
    let signals = match taken {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("prompter: no signals: {e}");
            return ExitCode::FAILURE;
        }
    };
    let opts = opts().run();
    notchspool_runtime::logs(if opts.verbose { log::LevelFilter::Debug } else { log::LevelFilter::Info });
    let file = opts.settings.or_else(|| std::env::var_os("NOTCHSPOOL_SETTINGS").map(PathBuf::from));
    let Some(file) = file else {
        eprintln!("prompter: NOTCHSPOOL_SETTINGS: names no settings file");
        return ExitCode::from(2);
    };
    let told = Told::read(&file).and_then(|told| told.listener(&file, "controlPlane").map(|at| (told, at)));
    let (told, control) = match told {
        Ok(all) => all,
        Err(e) => {
            eprintln!("prompter: {e}");
            return ExitCode::from(2);
        }
    };
    if opts.check {
        println!("{} is sound", file.display());
        return ExitCode::SUCCESS;
    }
    let local = tokio::task::LocalSet::new();
    match local.block_on(&runtime, notchspool_control_plane::house::run(told, file, control, signals)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("prompter: {e}");
            ExitCode::FAILURE
        }
    }
}
