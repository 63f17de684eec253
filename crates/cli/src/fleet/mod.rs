//! `notchspool fleet ...`: an operator's view of a fleet, and commands to its instances.
//!
//! Exit codes: 0 all is as asked; 1 a command was accepted and is not applied everywhere; 2 it was not accepted, or nobody could be asked.
mod client;
mod output;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};
use notchspool_commands::CommandKind;

use client::Operator;

/// Arguments of `notchspool fleet`.
#[derive(Args)]
pub struct FleetArgs {
    /// A keeper's file or an agent's: from it come the fleet's name and its keepers.
    #[arg(long, short, global = true, env = "NOTCHSPOOL_FLEET", default_value = "keeper.toml")]
    file: PathBuf,
    /// One line of JSON instead of a table.
    #[arg(long, global = true)]
    json: bool,
    /// How long keepers are asked, in milliseconds.
    #[arg(long, global = true, default_value_t = 10_000)]
    patience_ms: u64,
    #[command(subcommand)]
    command: FleetCommand,
}

#[derive(Subcommand)]
enum FleetCommand {
    /// All instances: where they stand, what they serve, the list they route by.
    Ls,
    /// One instance, or one order by its revision.
    Show { what: String },
    /// Sends clients away from instances.
    Drain(SubmitArgs),
    /// Lets clients come to them again.
    Undrain(SubmitArgs),
    /// Has them read their files again.
    Reload(SubmitArgs),
    /// Ends them in order.
    Stop(SubmitArgs),
    /// The last orders, and how many instances stand where with each.
    Orders {
        #[arg(long, default_value_t = 20)]
        last: usize,
    },
    /// `ls` again and again.
    Watch {
        #[arg(long, default_value_t = 1_000)]
        every_ms: u64,
        /// Ends after so many; 0: never.
        #[arg(long, default_value_t = 0)]
        times: u64,
    },
    /// Who owns the fleet's orders, and how each keeper is.
    Owner {
        /// The owner lets go, and another keeper takes over.
        #[arg(long)]
        let_go: bool,
    },
}

#[derive(Args)]
struct SubmitArgs {
    /// Names of instances; `edge-*` means all whose names begin so.
    names: Vec<String>,
    /// Only those in this zone; may be given again.
    #[arg(long)]
    zone: Vec<String>,
    /// All there are.
    #[arg(long)]
    all: bool,
    /// It fails where it is not done by then, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    within_ms: u64,
    /// Out at once at the most, of each zone and of all: 0.25 is a quarter. By default what the keepers' files say.
    #[arg(long)]
    part: Option<f64>,
    /// Only if this is the last revision of its kind at all who are meant.
    #[arg(long)]
    on: Option<u64>,
    /// Of the order; given again, it is the same order. By default drawn anew.
    #[arg(long)]
    id: Option<String>,
    /// Waits till it is at its end everywhere.
    #[arg(long)]
    wait: bool,
    /// Who orders, for the book.
    #[arg(long, env = "USER", default_value = "operator")]
    author: String,
}

/// Carries out one command line.
///
/// # Errors
///
/// A line for the operator: no controller could be asked, or the answer is a refusal.
pub fn run(args: FleetArgs) -> Result<ExitCode, String> {
    let patience = Duration::from_millis(args.patience_ms);
    let mut operator = Operator::open(&args.file, args.json, patience)?;
    match args.command {
        FleetCommand::Ls => operator.list().map(|()| ExitCode::SUCCESS),
        FleetCommand::Show { what } => operator.show(&what),
        FleetCommand::Drain(args) => operator.submit(CommandKind::Drain, args),
        FleetCommand::Undrain(args) => operator.submit(CommandKind::Undrain, args),
        FleetCommand::Reload(args) => operator.submit(CommandKind::Reload, args),
        FleetCommand::Stop(args) => operator.submit(CommandKind::Stop, args),
        FleetCommand::Orders { last } => operator.commands(last),
        FleetCommand::Watch { every_ms, times } => {
            watch(&mut operator, Duration::from_millis(every_ms), times)
        }
        FleetCommand::Owner { let_go } => operator.owner(let_go),
    }
}

fn watch(operator: &mut Operator, interval: Duration, times: u64) -> Result<ExitCode, String> {
    for nth in 1.. {
        operator.list()?;
        if nth == times {
            break;
        }
        std::thread::sleep(interval);
    }
    Ok(ExitCode::SUCCESS)
}
