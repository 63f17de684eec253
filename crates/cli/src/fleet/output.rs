//! Tables and lines for operators.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use notchspool_command_controller::state_name;
use notchspool_commands::CommandKind;
use notchspool_commands::command_log::CommandState;
use notchspool_fleet_protocol::{CommandStatus, ControllerStatus, InstanceStatus, LeaseStatus};

/// Times below this are shown with a fraction of a second, in microseconds.
const FRACTIONS_BELOW_US: i64 = 10_000_000;

/// One line of JSON.
pub fn print_json<T: serde::Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

/// A table of instances, and how many of them have no lease.
pub fn print_instances(instances: &[InstanceStatus]) {
    println!(
        "{:<20} {:<8} {:>5} {:<5} {:>7} {:>7} {:>6} {:<22}",
        "INSTANCE", "ZONE", "EPOCH", "IS", "HEARD", "IN HAND", "LIST", "SERVICE"
    );
    for instance in instances {
        println!(
            "{:<20} {:<8} {:>5} {:<5} {:>7} {:>7} {:>6} {:<22}",
            instance.name,
            instance.zone,
            instance.epoch.0,
            instance.lease,
            span(instance.last_contact_us),
            instance.report.in_flight,
            instance.report.list_version,
            service(instance)
        );
    }
    let count = |lease| instances.iter().filter(|instance| instance.lease == lease).count();
    let (held, gone) = (count(LeaseStatus::Held), count(LeaseStatus::Gone));
    println!("{} instances, {held} held, {gone} gone", instances.len());
}

/// All of one instance.
pub fn print_instance(instance: &InstanceStatus) {
    let report = &instance.report;
    println!("{} in zone `{}`, instance {}", instance.name, instance.zone, instance.id.0);
    let last_contact = span(instance.last_contact_us);
    println!("is {}, epoch {}, heard {last_contact} ago", instance.lease, instance.epoch.0);
    let (program, list, token) = (&report.program_version, report.list_version, report.highest_token.0);
    println!("program {program}, routes by list {list}, has seen token {token}");
    let (succeeded, other, in_flight) = (report.succeeded, report.not_succeeded, report.in_flight);
    println!("settled {succeeded}, other {other}, in hand {in_flight}");
    let draining = if report.draining { "; clients are sent away" } else { "" };
    println!("service: {}{draining}", service(instance));
}

/// One command with its state at each instance.
pub fn print_command(command: &CommandStatus) {
    println!(
        "order {} ({}): {} by {}, at most {} out at once",
        command.revision.0,
        command.id,
        kind_name(command.kind),
        command.author,
        command.max_unavailable
    );
    if command.left_us > 0 {
        println!("fails in {}", span(Some(command.left_us)));
    } else {
        println!("its time is over");
    }
    if let Some(reason) = &command.halt_reason {
        println!("HALTED: {reason}");
    }
    println!("{}", counts(&command.counts));
    for (name, state) in &command.states {
        let detail = match state {
            CommandState::Refused(reason) => format!(": {reason}"),
            CommandState::Superseded(by) => format!(" by {}", by.0),
            _ => String::new(),
        };
        println!("  {name:<20} {}{detail}", state_name(state));
    }
}

/// A table of commands.
pub fn print_commands(commands: &[CommandStatus]) {
    println!("{:>8} {:<8} {:<12} {:<16} STANDS", "REVISION", "ACT", "BY", "ID");
    for command in commands {
        let halted = if command.halt_reason.is_some() { "; HALTED" } else { "" };
        println!(
            "{:>8} {:<8} {:<12} {:<16} {}{halted}",
            command.revision.0,
            kind_name(command.kind),
            command.author,
            command.id,
            counts(&command.counts)
        );
    }
}

/// What a controller answered.
pub struct ControllerAnswer {
    /// Its address.
    pub address: SocketAddr,
    /// What it says of itself, or why it says nothing.
    pub status: Result<ControllerStatus, String>,
}

/// The controller that owns, if one says so.
pub fn owner(answers: &[ControllerAnswer]) -> Option<&ControllerStatus> {
    answers.iter().filter_map(|answer| answer.status.as_ref().ok()).find(|status| status.is_owner)
}

/// What each controller says, in JSON.
pub fn print_controllers_json(answers: &[ControllerAnswer]) {
    let row = |ControllerAnswer { address, status }: &ControllerAnswer| match status {
        Ok(status) => serde_json::json!({"at": address.to_string(), "keeper": status}),
        Err(error) => serde_json::json!({"at": address.to_string(), "error": error}),
    };
    print_json(&answers.iter().map(row).collect::<Vec<_>>());
}

/// A table of controllers, and the owner.
pub fn print_controllers(answers: &[ControllerAnswer]) {
    println!("{:<22} {:<12} {:<6} {:>9} {:>8} REFUSED", "KEEPER", "NAME", "VOTER", "INSTANCES", "WRITES");
    for ControllerAnswer { address, status } in answers {
        match status {
            Ok(status) => {
                let owns = if status.is_owner { " (owns)" } else { "" };
                println!(
                    "{:<22} {:<12} {:<6} {:>9} {:>8} {}",
                    address.to_string(),
                    format!("{}{owns}", status.name),
                    status.voter,
                    status.instances,
                    status.writes,
                    counts(&status.refused)
                );
            }
            Err(error) => println!("{:<22} {error}", address.to_string()),
        }
    }
    match owner(answers) {
        Some(status) => {
            let token = status.owner.as_ref().map_or(0, |owner| owner.token.0);
            println!("{} owns the orders, under token {token}", status.name);
        }
        None => println!("nobody owns the orders now"),
    }
}

fn counts<N: std::fmt::Display>(counts: &BTreeMap<String, N>) -> String {
    counts.iter().map(|(name, count)| format!("{count} {name}")).collect::<Vec<_>>().join(", ")
}

fn kind_name(kind: CommandKind) -> &'static str {
    match kind {
        CommandKind::Drain => "drain",
        CommandKind::Undrain => "undrain",
        CommandKind::Reload => "reload",
        CommandKind::Stop => "stop",
    }
}

/// An instance's service, by the last command on it.
fn service(instance: &InstanceStatus) -> String {
    match &instance.service {
        None if instance.report.draining => "away".into(),
        None => "-".into(),
        Some(command) => {
            let (kind, state) = (kind_name(command.kind), state_name(&command.state));
            format!("{kind} {state} ({})", command.revision.0)
        }
    }
}

fn span(us: Option<i64>) -> String {
    match us {
        None => "-".into(),
        Some(us) if us < FRACTIONS_BELOW_US => format!("{:.1} s", us as f64 / 1e6),
        Some(us) => format!("{} s", us / 1_000_000),
    }
}
