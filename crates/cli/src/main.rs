//! The command line `notchspool`: arguments and output, no logic of its own.
mod controller;
mod fleet;
mod lab;
mod service;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// What was asked is not so everywhere, or not found.
const EXIT_INCOMPLETE: u8 = 1;
/// What was asked makes no sense, or was refused.
const EXIT_REFUSED: u8 = 2;

#[derive(Parser)]
#[command(
    name = "notchspool",
    version,
    about = "Client-side load balancing through failures, and a lab to try it in"
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an agent as an operator's file says; SIGHUP reads it again, SIGTERM ends it.
    Run { file: PathBuf },
    /// Reads an operator's file and names every mistake in it.
    Check { file: PathBuf },
    /// Says which route, pool and scheme a request would take, and why not the earlier ones.
    Explain(service::ExplainArgs),
    /// Runs a fleet controller as its file says; SIGTERM lets go of what it owns and ends it.
    #[command(name = "keeper")]
    Controller(controller::ControllerArgs),
    /// Lists, questions and orders the instances of a fleet, at whichever controller owns.
    Fleet(fleet::FleetArgs),
    /// Fleets on sockets, load, faults, an auditor and reports.
    #[command(subcommand)]
    Lab(lab::LabCommand),
}

fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
        Command::Run { file } => Ok(service::run(file)),
        Command::Check { file } => Ok(service::check(&file)),
        Command::Explain(args) => service::explain(&args),
        Command::Controller(args) => Ok(controller::run(args)),
        Command::Fleet(args) => fleet::run(args),
        Command::Lab(command) => lab::run(command),
    };
    result.unwrap_or_else(|error| {
        eprintln!("notchspool: {error}");
        ExitCode::from(EXIT_REFUSED)
    })
}
