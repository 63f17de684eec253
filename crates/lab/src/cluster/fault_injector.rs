//! Applies faults to a cluster.
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::fault_schedule::{Fault, ScheduledFault, Target};
use super::ownership::current_owner;
use super::process::Process;
use super::relay::LinkFaults;
use super::topology::{Cluster, Node};

/// How long streams are watched for the bytes after which they are reset.
const RESET_WINDOW: Duration = Duration::from_millis(20);

/// The nodes that faults of the owner hit: what ends such a fault ends it there, whoever the owner is by then.
#[derive(Default)]
struct FormerOwners {
    paused: Vec<Node>,
    cut: Vec<Node>,
    killed: Vec<Node>,
}

/// Applies the faults of a schedule, one after the other.
struct FaultInjector<'a> {
    cluster: &'a mut Cluster,
    former_owners: FormerOwners,
    /// Names of processes that were killed.
    killed: BTreeSet<String>,
}

fn node(cluster: &Cluster, target: Target) -> Option<Node> {
    match target {
        Target::Controller(place) => (place < cluster.controllers.len()).then_some(Node::Controller(place)),
        Target::Agent(index) => (index < cluster.agents.len()).then_some(Node::Agent(index)),
        Target::Owner => current_owner(cluster).map(|(place, _)| Node::Controller(place)),
    }
}

/// The node that a fault hits; an owner is remembered.
fn begin(cluster: &Cluster, target: Target, former_owners: &mut Vec<Node>) -> Option<Node> {
    let node = node(cluster, target);
    if target == Target::Owner {
        former_owners.extend(node);
    }
    node
}

/// The node that a fault hit.
fn end(cluster: &Cluster, target: Target, former_owners: &mut Vec<Node>) -> Option<Node> {
    if target == Target::Owner { former_owners.pop() } else { node(cluster, target) }
}

fn process(cluster: &mut Cluster, node: Node) -> Option<&mut Process> {
    match node {
        Node::Controller(place) => cluster.controllers.get_mut(place),
        Node::Agent(index) => cluster.agents.get_mut(index),
        Node::Client => None,
    }
}

/// Changes the links between two nodes, or all of one.
fn set_links(cluster: &Cluster, one: Node, other: Option<Node>, change: &dyn Fn(&mut LinkFaults)) {
    match (one, other) {
        (one, None) => cluster.set_links_of(one, change),
        (Node::Controller(one), Some(Node::Controller(other))) => {
            cluster.set_link(Node::Controller(one), other, change);
            cluster.set_link(Node::Controller(other), one, change);
        }
        (one, Some(Node::Controller(place))) | (Node::Controller(place), Some(one)) => {
            cluster.set_link(one, place, change);
        }
        _ => {}
    }
}

impl FaultInjector<'_> {
    fn apply(&mut self, fault: Fault) -> Result<(), String> {
        match fault {
            Fault::Pause(target) => {
                let node = begin(self.cluster, target, &mut self.former_owners.paused);
                if let Some(process) = node.and_then(|node| process(self.cluster, node)) {
                    process.pause();
                }
            }
            Fault::Resume(target) => {
                let node = end(self.cluster, target, &mut self.former_owners.paused);
                if let Some(process) = node.and_then(|node| process(self.cluster, node)) {
                    process.resume();
                }
            }
            Fault::Kill(target) => {
                let node = begin(self.cluster, target, &mut self.former_owners.killed);
                if let Some(process) = node.and_then(|node| process(self.cluster, node)) {
                    process.kill();
                    self.killed.insert(process.name.clone());
                }
            }
            Fault::Start(target, disk) => {
                let node = end(self.cluster, target, &mut self.former_owners.killed);
                if let Some(process) = node.and_then(|node| process(self.cluster, node)) {
                    process.kill();
                    process.set_disk(disk);
                    process.start(&[])?;
                }
            }
            link_fault => self.apply_to_links(link_fault),
        }
        Ok(())
    }

    fn apply_to_links(&mut self, fault: Fault) {
        match fault {
            Fault::Cut(one, other) => {
                if let Some(one) = begin(self.cluster, one, &mut self.former_owners.cut) {
                    self.set_links(one, other, &|link| link.cut = true);
                }
            }
            Fault::Restore(one, other) => {
                if let Some(one) = end(self.cluster, one, &mut self.former_owners.cut) {
                    self.set_links(one, other, &|link| link.cut = false);
                }
            }
            Fault::Silence(one, other, backward) => {
                if let Some(one) = node(self.cluster, one) {
                    self.set_links(one, other, &|link| {
                        if backward { link.backward.silent = true } else { link.forward.silent = true }
                    });
                }
            }
            Fault::Unsilence(one, other) => {
                if let Some(one) = node(self.cluster, one) {
                    self.set_links(one, other, &|link| {
                        (link.forward.silent, link.backward.silent) = (false, false);
                    });
                }
            }
            Fault::ResetAfter(one, other, bytes) => self.reset_after(one, other, bytes),
            Fault::Delay(delay_ms, spread_ms) => self.cluster.set_all_links(|link| {
                for direction in [&mut link.forward, &mut link.backward] {
                    direction.delay = Duration::from_millis(delay_ms);
                    direction.spread = Duration::from_millis(spread_ms);
                }
            }),
            Fault::Pause(_) | Fault::Resume(_) | Fault::Kill(_) | Fault::Start(..) => {}
        }
    }

    fn set_links(&self, one: Node, other: Option<Target>, change: &dyn Fn(&mut LinkFaults)) {
        let other = other.and_then(|target| node(self.cluster, target));
        set_links(self.cluster, one, other, change);
    }

    fn reset_after(&self, one: Target, other: Target, bytes: u64) {
        let nodes = (node(self.cluster, one), node(self.cluster, other));
        if let (Some(one), Some(other)) = nodes {
            set_links(self.cluster, one, Some(other), &|link| link.reset_after = Some(bytes));
            std::thread::sleep(RESET_WINDOW);
            set_links(self.cluster, one, Some(other), &|link| link.reset_after = None);
        }
    }
}

/// Applies the faults of a schedule at their times, until `span` is over. All are applied, also after one that failed; the names of
/// the processes killed.
///
/// # Errors
/// A process could not be started.
pub fn inject(
    cluster: &mut Cluster,
    schedule: &[ScheduledFault],
    began: Instant,
    span: Duration,
) -> Result<BTreeSet<String>, String> {
    let mut injector =
        FaultInjector { cluster, former_owners: FormerOwners::default(), killed: BTreeSet::new() };
    let mut applied = Ok(());
    for scheduled in schedule.iter().filter(|scheduled| u128::from(scheduled.at_ms) < span.as_millis()) {
        let due = Duration::from_millis(scheduled.at_ms);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        let result = injector.apply(scheduled.fault);
        applied = applied.and(result);
    }
    std::thread::sleep(span.saturating_sub(began.elapsed()));
    applied.map(|()| injector.killed)
}
