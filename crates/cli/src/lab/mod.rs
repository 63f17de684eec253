//! `notchspool lab ...`: arguments and output of the lab.
mod audit;
mod experiment;
mod fleet;
mod mesh;
mod report;
mod scale;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Subcommand;
use notchspool_lab::plain::agent;
use notchspool_lab::plain::policy::Policy;

/// Sub-commands of `lab`.
#[derive(Subcommand)]
pub enum LabCommand {
    /// Plays an experiment; ends with 0, or with 1 and what was broken.
    Run(experiment::RunArgs),
    /// Lists the experiments that ship.
    #[command(name = "ls")]
    List,
    /// Prints an experiment that ships, to begin one's own with.
    Show { name: String },
    /// Judges books that were kept: for each of the four rules kept or broken, with the history of the txn; ends with 0, 1 or,
    /// where they can't be read, 2.
    Audit { books: Vec<PathBuf> },
    /// Writes one page, with plots, of the runs that were kept.
    Report(report::ReportArgs),
    /// Keepers and agents as many real processes, faults between them, and the figures of who owns.
    Fleet(fleet::FleetLabArgs),
    /// The mesh in virtual time: replicas and proxies, drawn faults of links, disks and processes, judged by what was promised. Ends with
    /// 0, or with 1 and the seeds that broke something.
    Mesh(mesh::MeshArgs),
    /// Many changes of a large configuration on true disks, in virtual time: what stays on them, how long a start takes, what goes to others.
    Changes(mesh::ChangesArgs),
    /// The control plane under many agents: real replicas and proxies on loopback, and hollow agents beside them. Prints what each cost.
    /// Refuses a plan that is too large for the machine. Ends with 0, or with 1 where not all agents were told all.
    Scale(scale::ScaleArgs),
    /// A replica or a proxy of `scale`, where their own programs are not built. The lab starts it by itself.
    #[command(hide = true)]
    Part { role: String, settings: PathBuf },
    /// A plain agent: a baseline, told what any agent is told. The lab starts it by itself.
    #[command(hide = true)]
    Plain { policy: String },
}

/// Runs a sub-command.
pub fn run(command: LabCommand) -> Result<ExitCode, String> {
    match command {
        LabCommand::Run(args) => experiment::run(&args),
        LabCommand::List => experiment::list(),
        LabCommand::Show { name } => experiment::show(&name),
        LabCommand::Audit { books } => audit::run(&books),
        LabCommand::Report(args) => report::run(&args),
        LabCommand::Fleet(args) => fleet::run(&args),
        LabCommand::Mesh(args) => Ok(mesh::run(&args)),
        LabCommand::Changes(args) => Ok(mesh::run_changes(args)),
        LabCommand::Scale(args) => scale::run(&args),
        LabCommand::Part { role, settings } => scale::run_part(&role, settings),
        LabCommand::Plain { policy } => {
            let policy = Policy::named(&policy).ok_or_else(|| format!("no policy `{policy}`"))?;
            agent::run(policy).map(|()| ExitCode::SUCCESS)
        }
    }
}
