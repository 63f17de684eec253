//! Walks all interleavings of small cases: two operators with opposite commands, instances that restart, messages that are lost,
//! doubled and overtake each other, a controller that fails and comes back with what it had written down. States that were
//! seen are not walked again; each is checked.
use std::collections::{BTreeMap, BTreeSet, HashSet};

use notchspool::units::Micros;
use notchspool_commands::command_log::{Command, CommandLog, CommandState, SubmitError};
use notchspool_commands::executor::{Decision, Executor};
use notchspool_commands::*;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Send(InstanceId, Epoch, Revision, CommandKind),
    Report(InstanceId, Epoch, Revision),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    log: CommandLog,
    /// What is on the controller's disk: written before a command is acknowledged, and now and then.
    disk: CommandLog,
    /// The epoch of each instance as the controller knows it, and the instance itself.
    epochs: BTreeMap<InstanceId, (Epoch, Executor)>,
    wire: BTreeSet<Message>,
    /// Every execution: who, in which epoch, which revision, how often.
    executions: BTreeMap<(InstanceId, Epoch, Revision), u32>,
    drained: BTreeMap<InstanceId, bool>,
    acknowledged: Vec<Revision>,
    todo: Vec<CommandKind>,
    falls: u32,
    restarts: u32,
}

fn command(act: CommandKind) -> Command {
    Command { author: format!("{act:?}"), kind: act, deadline: 1_000_000 }
}

impl World {
    fn new(instances: u32, todo: &[CommandKind]) -> World {
        let ids = (0..instances).map(InstanceId);
        World {
            log: CommandLog::default(),
            disk: CommandLog::default(),
            epochs: ids.clone().map(|id| (id, (Epoch(1), Executor::new(Epoch(1))))).collect(),
            wire: BTreeSet::new(),
            executions: BTreeMap::new(),
            drained: ids.map(|id| (id, false)).collect(),
            acknowledged: Vec::new(),
            todo: todo.to_vec(),
            falls: 1,
            restarts: 1,
        }
    }

    /// All worlds one step from this one.
    fn steps(&self) -> Vec<World> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            if world != *self {
                next.push(world);
            }
        };
        if let Some(&act) = self.todo.first() {
            step(&|w| {
                w.todo.remove(0);
                let all = w.epochs.keys().copied().collect();
                let revision = w.log.submit(command(act), &all, None).expect("taken");
                // On the disk before it is acknowledged.
                w.disk = w.log.clone();
                w.acknowledged.push(revision);
            });
        }
        for (&id, (epoch, _)) in &self.epochs {
            for (revision, act) in self.log.pending_for(id, *epoch) {
                step(&|w| {
                    w.log.on_sent(id, *epoch, revision);
                    w.wire.insert(Message::Send(id, *epoch, revision, act));
                });
            }
            if self.restarts > 0 {
                step(&|w| {
                    w.restarts -= 1;
                    let next = Epoch(epoch.0 + 1);
                    w.epochs.insert(id, (next, Executor::new(next)));
                    w.drained.insert(id, false);
                    w.log.on_contact_lost(id);
                });
            }
        }
        for message in &self.wire {
            // Delivered and gone, delivered and still on its way (doubled), or lost.
            step(&|w| {
                w.wire.remove(message);
                w.deliver(message);
            });
            step(&|w| w.deliver(message));
            step(&|w| {
                w.wire.remove(message);
            });
        }
        if self.falls > 0 && !self.acknowledged.is_empty() {
            step(&|w| {
                w.falls -= 1;
                w.log = w.disk.clone();
            });
        }
        next
    }

    fn deliver(&mut self, message: &Message) {
        match *message {
            Message::Send(id, epoch, revision, act) => {
                let (_, obey) = self.epochs.get_mut(&id).expect("an instance");
                match obey.decide(epoch, revision, act) {
                    Decision::Execute => {
                        obey.on_done(revision, act, Outcome::Done);
                        *self.executions.entry((id, epoch, revision)).or_default() += 1;
                        if act.subject() == Subject::Service {
                            self.drained.insert(id, act == CommandKind::Drain);
                        }
                        self.wire.insert(Message::Report(id, epoch, revision));
                    }
                    Decision::AlreadyDone(_) => {
                        self.wire.insert(Message::Report(id, epoch, revision));
                    }
                    Decision::Ignore => {}
                }
            }
            Message::Report(id, epoch, revision) => {
                let now_in = self.epochs[&id].0;
                self.log.on_outcome(id, epoch, now_in, revision, &Outcome::Done);
            }
        }
    }

    fn check(&self) {
        for (execution, times) in &self.executions {
            assert_eq!(*times, 1, "done twice in one life: {execution:?}");
        }
        for &revision in &self.acknowledged {
            assert!(self.log.command(revision).is_some(), "an acknowledged order is lost: {revision:?}");
            for (id, state) in self.log.states(revision) {
                if let CommandState::Applied(epoch) = state {
                    assert!(
                        self.executions.contains_key(&(id, epoch, revision)),
                        "reported, and was not: {id:?} {revision:?}"
                    );
                }
                if let CommandState::Superseded(by) = state {
                    assert!(by > revision);
                }
            }
            assert_eq!(self.log.states(revision).len(), self.epochs.len(), "a pair is missing");
        }
    }

    /// With contact and no more mishaps all comes to its end, and each instance is as the last order wants it.
    fn settles(mut self) {
        while let Some(act) = self.todo.first().copied() {
            self.todo.remove(0);
            let all = self.epochs.keys().copied().collect();
            self.acknowledged.push(self.log.submit(command(act), &all, None).expect("taken"));
        }
        for _ in 0..8 {
            let ids: Vec<(InstanceId, Epoch)> = self.epochs.iter().map(|(id, l)| (*id, l.0)).collect();
            for (id, epoch) in ids {
                for (revision, act) in self.log.pending_for(id, epoch) {
                    self.log.on_sent(id, epoch, revision);
                    self.wire.insert(Message::Send(id, epoch, revision, act));
                }
            }
            while let Some(message) = self.wire.pop_first() {
                self.deliver(&message);
            }
        }
        self.check();
        for &revision in &self.acknowledged {
            for (id, state) in self.log.states(revision) {
                assert!(state.is_final(), "{id:?} {revision:?} {state:?}");
            }
        }
        let last = self.acknowledged.last().and_then(|r| self.log.command(*r)).map(|o| o.kind);
        if let Some(act) = last.filter(|a| a.subject() == Subject::Service) {
            assert!(self.drained.values().all(|d| *d == (act == CommandKind::Drain)), "{:?}", self.drained);
        }
    }
}

fn walk(first: World, depth: usize, most: usize) -> usize {
    let mut seen: HashSet<World> = HashSet::from([first.clone()]);
    let mut edge = vec![first];
    for _ in 0..depth {
        let mut next = Vec::new();
        for world in edge {
            for step in world.steps() {
                if seen.len() < most && seen.insert(step.clone()) {
                    step.check();
                    step.clone().settles();
                    next.push(step);
                }
            }
        }
        edge = next;
    }
    seen.len()
}

#[test]
fn two_operators_with_opposite_orders_and_two_instances() {
    let seen = walk(World::new(2, &[CommandKind::Drain, CommandKind::Undrain]), 8, 60_000);
    assert!(seen > 5_000, "{seen}");
}

#[test]
fn one_instance_three_orders_deeper() {
    let seen =
        walk(World::new(1, &[CommandKind::Drain, CommandKind::Undrain, CommandKind::Drain]), 11, 60_000);
    assert!(seen > 5_000, "{seen}");
}

fn all(ids: &[u32]) -> BTreeSet<InstanceId> {
    ids.iter().map(|n| InstanceId(*n)).collect()
}

#[test]
fn an_order_on_condition_is_refused_with_what_stands_there() {
    let mut log = CommandLog::default();
    assert_eq!(log.submit(command(CommandKind::Drain), &all(&[]), None), Err(SubmitError::NoTarget));
    let first = log
        .submit(command(CommandKind::Drain), &all(&[1, 2]), Some(Revision(0)))
        .expect("nothing stands there");
    let second = log.submit(command(CommandKind::Undrain), &all(&[2]), Some(first)).expect("as it was");
    let violation = log.submit(command(CommandKind::Drain), &all(&[1, 2]), Some(first));
    assert_eq!(violation, Err(SubmitError::Conflict([(InstanceId(2), second)].into())));
    assert_eq!(log.state(InstanceId(2), first), Some(&CommandState::Superseded(second)));
    assert_eq!(log.state(InstanceId(1), first), Some(&CommandState::Queued), "another instance's");
    // Reloading overtakes no drain.
    let reload = log.submit(command(CommandKind::Reload), &all(&[1]), None).expect("taken");
    assert_eq!(
        log.pending_for(InstanceId(1), Epoch(1)),
        [(first, CommandKind::Drain), (reload, CommandKind::Reload)]
    );
}

#[test]
fn a_deadline_fails_what_had_no_outcome_and_a_late_outcome_is_noted_as_late() {
    let (mut log, id) = (CommandLog::default(), InstanceId(1));
    let drain = log.submit(command(CommandKind::Drain), &all(&[1, 2]), None).expect("taken");
    log.on_sent(id, Epoch(3), drain);
    log.on_contact_lost(id);
    assert_eq!(log.state(id, drain), Some(&CommandState::Unknown(Epoch(3))));
    log.tick(Micros(999_999));
    assert_eq!(log.state(id, drain), Some(&CommandState::Unknown(Epoch(3))));
    log.tick(Micros(1_000_000));
    assert_eq!(log.state(id, drain), Some(&CommandState::Failed { sent: true, late: None }));
    assert_eq!(log.state(InstanceId(2), drain), Some(&CommandState::Failed { sent: false, late: None }));
    assert!(log.pending_for(id, Epoch(3)).is_empty(), "nothing is done by surprise after its deadline");
    // What an earlier life says is fenced off; the present one's word is noted.
    assert!(!log.on_outcome(id, Epoch(2), Epoch(3), drain, &Outcome::Done));
    assert!(log.on_outcome(id, Epoch(3), Epoch(3), drain, &Outcome::Done));
    assert_eq!(log.state(id, drain), Some(&CommandState::Failed { sent: true, late: Some(Epoch(3)) }));
}

#[test]
fn only_what_nobody_needs_is_forgotten() {
    let (mut log, id) = (CommandLog::default(), InstanceId(1));
    for n in 0..10 {
        let act = if n % 2 == 0 { CommandKind::Drain } else { CommandKind::Undrain };
        let revision = log.submit(command(act), &all(&[1]), None).expect("taken");
        log.on_outcome(id, Epoch(1), Epoch(1), revision, &Outcome::Done);
    }
    let reload = log.submit(command(CommandKind::Reload), &all(&[1]), None).expect("taken");
    log.prune(3);
    assert_eq!(log.len(), 3);
    log.prune(0);
    assert_eq!(log.len(), 2, "the last of each subject stays: it is how things stand");
    assert_eq!(log.pending_for(id, Epoch(1)), [(reload, CommandKind::Reload)]);
}
