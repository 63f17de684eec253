//! Asks the fleet's controllers what an operator wants to know or to have done.
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use notchspool_commands::{CommandKind, Revision};
use notchspool_fleet_controller::settings;
use notchspool_fleet_protocol::client::FleetClient;
use notchspool_fleet_protocol::{
    Body, CommandRequest, CommandStatus, ControllerStatus, InstanceStatus, Selector,
};

use super::SubmitArgs;
use super::output::{self, ControllerAnswer, print_json};
use crate::EXIT_INCOMPLETE;

/// Name of this client in messages.
const CLIENT_NAME: &str = "cli";
/// How long one controller is asked for its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two looks at a command that is waited for.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time that a command may be given, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// States after which something follows; see `state_name`.
const OPEN_STATES: [&str; 3] = ["queued", "told", "unknown"];

/// An operator at the command line.
pub struct Operator {
    client: FleetClient,
    json: bool,
    patience: Duration,
}

impl Operator {
    /// The fleet's name and its controllers come from a controller's file or an agent's.
    pub fn open(file: &Path, json: bool, patience: Duration) -> Result<Operator, String> {
        Ok(Operator { client: open_client(file)?, json, patience })
    }

    fn ask(&mut self, body: &Body) -> Result<Body, String> {
        match self.client.ask(body, self.patience) {
            Ok(Body::Rejected { reason }) => Err(reason),
            Ok(answer) => Ok(answer),
            Err(error) => Err(error.to_string()),
        }
    }

    fn instances(&mut self) -> Result<Vec<InstanceStatus>, String> {
        match self.ask(&Body::ListInstances)? {
            Body::Instances { instances, .. } => Ok(instances),
            other => Err(format!("an answer that does not fit: {other:?}")),
        }
    }

    fn command(&mut self, revision: Revision) -> Result<Option<CommandStatus>, String> {
        match self.ask(&Body::GetCommand { revision })? {
            Body::Commands { commands } => Ok(commands.into_iter().next()),
            other => Err(format!("an answer that does not fit: {other:?}")),
        }
    }

    /// All instances.
    pub fn list(&mut self) -> Result<(), String> {
        let instances = self.instances()?;
        if self.json {
            print_json(&instances);
        } else {
            output::print_instances(&instances);
        }
        Ok(())
    }

    /// One command by its revision, or one instance by its name.
    pub fn show(&mut self, what: &str) -> Result<ExitCode, String> {
        if let Ok(revision) = what.parse() {
            let command = self.command(Revision(revision))?;
            let command = command
                .ok_or_else(|| format!("no order {revision}; `fleet orders` lists those there are"))?;
            self.print_command(&command);
            return Ok(ExitCode::SUCCESS);
        }
        let instances = self.instances()?;
        let instance = instances.iter().find(|instance| instance.name == what);
        let instance =
            instance.ok_or_else(|| format!("no instance `{what}`; `fleet ls` lists those there are"))?;
        if self.json {
            print_json(instance);
        } else {
            output::print_instance(instance);
        }
        Ok(ExitCode::SUCCESS)
    }

    fn print_command(&self, command: &CommandStatus) {
        if self.json {
            print_json(command);
        } else {
            output::print_command(command);
        }
    }

    /// The last commands.
    pub fn commands(&mut self, last: usize) -> Result<ExitCode, String> {
        let Body::Commands { commands } = self.ask(&Body::ListCommands { last })? else {
            return Err("an answer that does not fit".into());
        };
        if self.json {
            print_json(&commands);
        } else {
            output::print_commands(&commands);
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Submits a command, and waits for its end if that is asked for.
    pub fn submit(&mut self, kind: CommandKind, args: SubmitArgs) -> Result<ExitCode, String> {
        if args.names.is_empty() && args.zone.is_empty() && !args.all {
            return Err("whom? names, --zone or --all".into());
        }
        let deadline = Instant::now() + Duration::from_millis(args.within_ms) + self.patience;
        let wait = args.wait;
        let request = request(kind, args);
        let Body::CommandAccepted { revision, targets } = self.ask(&Body::SubmitCommand(request))? else {
            return Err("an answer that does not fit".into());
        };
        if wait {
            return self.wait(revision, targets, deadline);
        }
        if self.json {
            print_json(&serde_json::json!({"revision": revision.0, "whom": targets}));
        } else {
            let nth = revision.0;
            println!("order {nth} for {targets} instances; `fleet show {nth}` says where it stands");
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Waits until a command is final everywhere.
    fn wait(&mut self, revision: Revision, targets: usize, deadline: Instant) -> Result<ExitCode, String> {
        let mut last_line = String::new();
        loop {
            let command = match self.command(revision) {
                Ok(Some(command)) => command,
                Ok(None) => return Err(format!("order {} is no longer kept", revision.0)),
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => continue,
            };
            let open: usize = OPEN_STATES.iter().filter_map(|state| command.counts.get(*state)).sum();
            let ended = targets - open.min(targets);
            let line = format!("order {}: {ended} of {targets} at their end", revision.0);
            if line != last_line && !self.json {
                eprintln!("{line}");
                last_line = line;
            }
            if open == 0 || Instant::now() >= deadline {
                self.print_command(&command);
                let applied = command.counts.get("applied").copied().unwrap_or_default();
                return Ok(exit_code(applied == targets));
            }
            std::thread::sleep(WAIT_INTERVAL);
        }
    }

    /// Who owns, and how each controller is.
    pub fn owner(&mut self, release: bool) -> Result<ExitCode, String> {
        if release {
            self.ask(&Body::ReleaseOwnership)?;
        }
        let controllers = self.client.controllers.clone();
        let answers: Vec<ControllerAnswer> = controllers
            .into_iter()
            .map(|address| ControllerAnswer { address, status: self.status(address) })
            .collect();
        let has_owner = output::owner(&answers).is_some();
        if self.json {
            output::print_controllers_json(&answers);
        } else {
            output::print_controllers(&answers);
        }
        Ok(exit_code(has_owner))
    }

    fn status(&mut self, controller: SocketAddr) -> Result<ControllerStatus, String> {
        match self.client.ask_one(controller, &Body::GetStatus, STATUS_TIMEOUT) {
            Ok(Body::Status(status)) => Ok(status),
            Ok(Body::Rejected { reason }) => Err(reason),
            Ok(other) => Err(format!("{other:?}")),
            Err(error) => Err(error.to_string()),
        }
    }
}

fn exit_code(complete: bool) -> ExitCode {
    if complete { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) }
}

fn request(kind: CommandKind, args: SubmitArgs) -> CommandRequest {
    CommandRequest {
        id: args.id.unwrap_or_else(unique_id),
        author: args.author,
        kind,
        targets: Selector { names: args.names, zones: args.zone, all: args.all },
        within_us: (args.within_ms.clamp(1, MAX_DEADLINE_MS) * 1000) as i64,
        max_unavailable: args.part,
        expected_revision: args.on.map(Revision),
    }
}

/// Drawn once for a command: however often it is sent again, it is this command.
fn unique_id() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", since_epoch.as_nanos() as u64, std::process::id())
}

/// A client from either kind of file.
fn open_client(path: &Path) -> Result<FleetClient, String> {
    let controller_mistakes = match settings::load(path) {
        Ok(settings) => return Ok(FleetClient::new(&settings.fleet, &settings.voters, CLIENT_NAME)),
        Err(mistakes) => mistakes,
    };
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    match notchspool_settings::agent_file::read(&path.display().to_string(), &text) {
        Ok(agent) => match agent.fleet {
            Some(fleet) => Ok(FleetClient::new(&fleet.name, &fleet.controllers, CLIENT_NAME)),
            None => Err(format!("{}: it has no [fleet]", path.display())),
        },
        // An agent's file has listeners; else it was to be a controller's.
        Err(mistakes) if text.contains("[[listen]]") => {
            Err(mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        Err(_) => Err(controller_mistakes),
    }
}
