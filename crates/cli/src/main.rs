//! notchspool: the command line. No logic of its own.
mod fleet;
mod ground;
mod lab;
mod scale;
mod service;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(
    name = "notchspool",
    version,
    about = "Client-side load balancing through failures, and a lab to try it in"
)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Runs an agent as an operator's file says; SIGHUP reads it again, SIGTERM ends it.
    Run { file: PathBuf },
    /// Reads an operator's file and names every mistake in it.
    Check { file: PathBuf },
    /// Says which route, pool and scheme a request would take, and why not the earlier ones.
    Explain(service::Explain),
    /// Runs a keeper as its file says; SIGTERM lets go of what it owns and ends it.
    Keeper(fleet::Keep),
    /// Lists, questions and orders the instances of a fleet, at whichever keeper owns.
    Fleet(fleet::Fleet),
    /// Fleets on sockets, load, faults, an auditor and reports.
    #[command(subcommand)]
    Lab(lab::Lab),
}

fn main() -> ExitCode {
    let line = Line::parse();
    let ended = match line.what {
        What::Run { file } => service::run(file),
        What::Check { file } => service::check(&file),
        What::Explain(asked) => service::explain(&asked),
        What::Keeper(keep) => fleet::keep(keep),
        What::Fleet(fleet) => fleet::run(fleet),
        What::Lab(lab) => lab::run(lab),
    };
    match ended {
        Ok(code) => code,
        Err(why) => {
            eprintln!("notchspool: {why}");
            ExitCode::from(2)
        }
    }
}
