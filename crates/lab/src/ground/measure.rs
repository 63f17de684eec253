//! Figures of ownership on real processes: how long nobody owns after each way of losing an owner, how many orders a second are
//! acknowledged, what a keeper costs, and whether every instance of many obeys in time.
use std::time::{Duration, Instant};

use notchspool_commands::CommandKind;
use notchspool_fleet_protocol::client::FleetClient;
use notchspool_fleet_protocol::{Body, CommandRequest, Selector};

use super::field::{End, Field, Plan};
use super::play::{owner, settled};
use super::process::wait;

const PATIENCE: Duration = Duration::from_secs(60);

/// How an owner is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    Killed,
    Cut,
    LetGo,
}

fn order(id: &str, act: CommandKind, whom: Selector, within_ms: i64) -> CommandRequest {
    CommandRequest {
        id: id.into(),
        author: "measure".into(),
        kind: act,
        targets: whom,
        within_us: within_ms * 1000,
        max_unavailable: Some(1.0),
        expected_revision: None,
    }
}
fn all_of() -> Selector {
    Selector { all: true, ..Selector::default() }
}

/// Time without an owner, `rounds` times: from the moment it is lost to the moment at which another is asked and owns.
pub fn without_owner(plan: &Plan, loss: Loss, rounds: usize) -> Result<Vec<Duration>, String> {
    let mut field = Field::lay(plan.clone())?;
    field.start()?;
    let mut spans = Vec::new();
    for _ in 0..rounds {
        wait("an owner", PATIENCE, || owner(&field).is_some())?;
        let Some((place, token)) = owner(&field) else { continue };
        // Not always at the same moment of its lease.
        std::thread::sleep(Duration::from_millis(plan.lease_ms * (spans.len() as u64 * 7 % 10) / 10));
        let began = Instant::now();
        match loss {
            Loss::Killed => field.keepers[place].kill(),
            Loss::Cut => field.ways(End::Keeper(place), |r| r.cut = true),
            Loss::LetGo => {
                let at = field.keeper_at(place);
                let said = FleetClient::new("lab", &[at], "measure").ask_one(
                    at,
                    &Body::ReleaseOwnership,
                    Duration::from_secs(1),
                );
                if !matches!(said, Ok(Body::OwnershipReleased)) {
                    continue;
                }
            }
        }
        let mut next = None;
        wait("another owner", PATIENCE, || {
            next = owner(&field).filter(|n| n.1 > token);
            next.is_some()
        })?;
        spans.push(began.elapsed());
        match loss {
            Loss::Killed => field.keepers[place].start(&[])?,
            Loss::Cut => field.ways(End::Keeper(place), |r| r.cut = false),
            Loss::LetGo => {}
        }
        if loss == Loss::Killed {
            let at = field.keeper_at(place);
            wait("it is back", PATIENCE, || std::net::TcpStream::connect(at).is_ok())?;
        }
    }
    spans.sort_unstable();
    Ok(spans)
}

/// Orders acknowledged one after the other by each of `clients`, for `span`; each to one instance.
pub fn orders(plan: &Plan, clients: usize, span: Duration) -> Result<(f64, Vec<Duration>, String), String> {
    let mut field = Field::lay(plan.clone())?;
    field.start()?;
    settled(&field, plan.agents)?;
    let before: Vec<_> = field.keepers.iter().filter_map(super::process::Process::footprint).collect();
    let keepers = field.seen_all(End::Client);
    let began = Instant::now();
    let mut took: Vec<Duration> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..clients)
            .map(|who| {
                let mut client = FleetClient::new("lab", &keepers, &format!("m{who}"));
                let agents = plan.agents;
                scope.spawn(move || {
                    let mut took = Vec::new();
                    for nth in 0..100_000 {
                        if began.elapsed() >= span {
                            break;
                        }
                        let act = if nth % 2 == 0 { CommandKind::Drain } else { CommandKind::Undrain };
                        let whom = Selector {
                            names: vec![format!("a{}", (who + nth) % agents)],
                            ..Selector::default()
                        };
                        let order = order(&format!("m{who}-{nth}"), act, whom, 2_000);
                        let asked = Instant::now();
                        if let Ok(Body::CommandAccepted { .. }) =
                            client.ask(&Body::SubmitCommand(order), Duration::from_secs(2))
                        {
                            took.push(asked.elapsed());
                        }
                    }
                    took
                })
            })
            .collect();
        clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect()
    });
    let span = began.elapsed().as_secs_f64();
    let costs: Vec<String> = field
        .keepers
        .iter()
        .filter_map(super::process::Process::footprint)
        .zip(before)
        .map(|(now, then)| {
            format!("{} MB, {:.1}% of a core", now.0 / 1024, (now.1 - then.1).as_secs_f64() / span * 100.0)
        })
        .collect();
    took.sort_unstable();
    Ok((took.len() as f64 / span, took, costs.join("; ")))
}

/// What a keeper costs with nothing but renewals: memory in kB, part of a core, of the owner and of the most of the others.
pub fn idle(plan: &Plan, span: Duration) -> Result<Vec<(bool, u64, f64)>, String> {
    let mut field = Field::lay(plan.clone())?;
    field.start()?;
    settled(&field, plan.agents)?;
    let owns = owner(&field).map(|o| o.0);
    let before: Vec<_> = field.keepers.iter().filter_map(super::process::Process::footprint).collect();
    std::thread::sleep(span);
    let now = field.keepers.iter().filter_map(super::process::Process::footprint);
    let mut rows = Vec::new();
    for (n, (now, then)) in now.zip(before).enumerate() {
        rows.push((Some(n) == owns, now.0, (now.1 - then.1).as_secs_f64() / span.as_secs_f64()));
    }
    Ok(rows)
}

/// The control side alone for many instances, without sockets: microseconds for a renewal, for an order to all of them (taken, told,
/// written down), and for all of them saying that it is done; and bytes written for the order.
pub fn controller(instances: usize) -> (f64, f64, f64, usize) {
    use notchspool::units::Micros;
    use notchspool_command_controller::instances::RegistrationRequest;
    use notchspool_command_controller::{Controller, Policy};
    use notchspool_commands::Outcome;
    use notchspool_fleet_protocol::InstanceReport;
    use notchspool_leases::lease_table;

    let leases = lease_table::LeasePolicy { rate: 1e9, burst: 1e9, ..lease_table::LeasePolicy::default() };
    let policy =
        Policy { leases, max_unavailable: 1.0, retained_commands: 200, resend_after: Micros::ms(500) };
    let mut controller =
        Controller::open(policy, notchspool_consensus::Token(1), &Default::default(), 1, Micros(0));
    let mut all = Vec::new();
    for n in 0..instances {
        let zone = format!("z{}", n % 10);
        let (name, boot_id, report) = (format!("a{n}"), n as u64, InstanceReport::default());
        let request = RegistrationRequest { name: &name, zone: &zone, boot_id, report };
        if let Ok(r) = controller.register(Micros(n as i64), request) {
            all.push((r.id, r.epoch));
        }
    }
    controller.flush(Micros(instances as i64));
    let us = |began: Instant, n: usize| began.elapsed().as_secs_f64() * 1e6 / n as f64;
    let now = Micros::ms(1_000);
    let began = Instant::now();
    for (id, epoch) in &all {
        controller.renew(now, *id, *epoch, InstanceReport::default());
    }
    let renewal = us(began, instances);
    let began = Instant::now();
    let accepted = controller.submit(now, &order("x", CommandKind::Drain, all_of(), 10_000));
    controller.tick(now);
    let writes = controller.flush(now).writes;
    let ordered = us(began, 1);
    let bytes = writes.values().map(String::len).sum();
    let began = Instant::now();
    if let Ok(accepted) = accepted {
        for (id, epoch) in &all {
            controller.on_outcome(*id, *epoch, accepted.revision, &Outcome::Done);
        }
    }
    controller.flush(now);
    (renewal, ordered, us(began, 1), bytes)
}

/// How each pair of one drain ended, where the owner is killed midway and some agents stand still.
#[derive(Clone, Debug, Default)]
pub struct Drained {
    pub instances: usize,
    pub stopped: usize,
    pub states: std::collections::BTreeMap<String, usize>,
    /// From the order to the last agent, of those that run, whose front sends clients away; looked at one after the other.
    pub last_away: Option<Duration>,
    /// From the order to the moment at which every pair has its end in the book.
    pub told: Duration,
    /// Pairs said to be applied where clients are still taken, and the other way.
    pub untrue: usize,
}

pub fn drained(plan: &Plan, kill_after: Duration, within: Duration) -> Result<Drained, String> {
    let mut field = Field::lay(plan.clone())?;
    field.start()?;
    settled(&field, plan.agents)?;
    let stopped: Vec<usize> = (0..plan.agents).filter(|n| n % 10 == 9).collect();
    for &n in &stopped {
        field.agents[n].stop();
    }
    let Some((place, _)) = owner(&field) else { return Err("nobody owns".into()) };
    let keepers = field.seen_all(End::Client);
    let began = Instant::now();
    let id = order("drain-all", CommandKind::Drain, all_of(), within.as_millis() as i64);
    let asked = {
        let (mut client, id) = (FleetClient::new("lab", &keepers, "measure"), id.clone());
        std::thread::spawn(move || client.ask(&Body::SubmitCommand(id), PATIENCE))
    };
    std::thread::sleep(kill_after);
    field.keepers[place].kill();
    let mut left: Vec<usize> = (0..plan.agents).filter(|n| !stopped.contains(n)).collect();
    let mut last_away = None;
    while !left.is_empty() && began.elapsed() < PATIENCE / 4 {
        left.retain(|n| field.takes_clients(*n) != Some(false));
        last_away = left.is_empty().then(|| began.elapsed());
    }
    let taken = asked.join().map_err(|_| "the client is gone")?;
    let Ok(Body::CommandAccepted { revision, .. }) = taken else {
        return Err(format!("not taken: {taken:?}"));
    };
    let mut client = FleetClient::new("lab", &keepers, "measure");
    let mut last = None;
    wait("every pair ends", PATIENCE, || {
        match client.ask(&Body::GetCommand { revision }, Duration::from_secs(1)) {
            Ok(Body::Commands { commands }) => {
                last = commands.into_iter().next();
                last.as_ref().is_some_and(|o| o.states.iter().all(|s| s.1.is_final()))
            }
            _ => false,
        }
    })?;
    let told = began.elapsed();
    let ordered = last.ok_or("the order is lost")?;
    // Their fronts are asked, not their words taken; those that stand still can't say.
    let (mut untrue, mut states) = (0, std::collections::BTreeMap::<String, usize>::new());
    for (name, state) in &ordered.states {
        *states.entry(notchspool_command_controller::state_name(state).to_owned()).or_default() += 1;
        let n: usize = name.trim_start_matches('a').parse().map_err(|_| "a name")?;
        if !stopped.contains(&n) {
            let away = field.takes_clients(n) == Some(false);
            let applied = matches!(
                state,
                notchspool_commands::command_log::CommandState::Applied(_)
                    | notchspool_commands::command_log::CommandState::Failed { late: Some(_), .. }
            );
            untrue += usize::from(away != applied);
        }
    }
    Ok(Drained { instances: plan.agents, stopped: stopped.len(), states, last_away, told, untrue })
}
