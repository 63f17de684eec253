//! `notchspool keeper`: runs a controller of a fleet.
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use notchspool_fleet_controller::{PausePoint, StartOptions, settings};

use crate::EXIT_REFUSED;

/// Arguments of `notchspool keeper`.
#[derive(Args)]
pub struct ControllerArgs {
    file: PathBuf,
    /// The fleet is new: its voters begin with empty disks. Without it a voter that finds no disk takes it for lost.
    #[arg(long)]
    first: bool,
    /// Only reads the file and names every mistake in it.
    #[arg(long)]
    check: bool,
    /// Tests: stops itself at the nth passing of a point.
    #[arg(long, hide = true)]
    hold_at: Option<PausePoint>,
}

/// Runs a controller until its end, or checks its file.
pub fn run(args: ControllerArgs) -> ExitCode {
    notchspool_agent::base::logger::start();
    let settings = match settings::load(&args.file) {
        Ok(settings) => settings,
        Err(mistakes) => {
            eprintln!("{mistakes}");
            return ExitCode::from(EXIT_REFUSED);
        }
    };
    if args.check {
        let (nth, all) = (settings.index + 1, settings.voters.len());
        println!("{}: sound: keeper {nth} of {all}", args.file.display());
        return ExitCode::SUCCESS;
    }
    let options = StartOptions { first_start: args.first, pause_point: args.hold_at };
    notchspool_fleet_controller::run(settings, options)
}
