//! The controller against drawn histories: instances that come, go, start again and answer late or never; owners that follow one
//! another with what was written, at any moment.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_command_controller::instances::RegistrationRequest;
use notchspool_command_controller::{Accepted, Controller, Dispatch, Policy};
use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Epoch, InstanceId, Outcome, Revision};
use notchspool_consensus::Token;
use notchspool_fleet_protocol::{CommandRequest, InstanceReport, LeaseStatus, Selector};
use notchspool_leases::lease_table::{self, Registration, Renewal};
use oorandom::Rand64;

fn policy() -> Policy {
    let leases = lease_table::LeasePolicy {
        duration: Micros::ms(3000),
        rate: 1e6,
        burst: 1e6,
        ..lease_table::LeasePolicy::default()
    };
    Policy { leases, max_unavailable: 0.25, retained_commands: 50, resend_after: Micros::ms(500) }
}

fn request(id: &str, kind: CommandKind, max_unavailable: Option<f64>) -> CommandRequest {
    CommandRequest {
        id: id.into(),
        author: "op".into(),
        kind,
        targets: Selector { all: true, ..Selector::default() },
        within_us: 5_000_000,
        max_unavailable,
        expected_revision: None,
    }
}

struct Harness {
    controller: Controller,
    now: Micros,
    /// The registers: what was written.
    registers: BTreeMap<String, String>,
    sent: Vec<Dispatch>,
}

impl Harness {
    fn new() -> Harness {
        let controller = Controller::open(policy(), Token(1), &BTreeMap::new(), 1, Micros(0));
        Harness { controller, now: Micros(0), registers: BTreeMap::new(), sent: Vec::new() }
    }
    fn flush(&mut self) {
        let flush = self.controller.flush(self.now);
        self.registers.extend(flush.writes);
        self.sent.extend(flush.dispatches);
    }
    fn advance(&mut self, ms: i64) {
        self.now = self.now + Micros::ms(ms);
        self.controller.tick(self.now);
        self.flush();
    }
    fn register(&mut self, n: usize, boot_id: u64) -> (InstanceId, Epoch) {
        let zone = if n.is_multiple_of(2) { "a" } else { "b" };
        let registration = self.try_register(&format!("n{n}"), zone, boot_id).expect("admitted");
        (registration.id, registration.epoch)
    }
    fn try_register(&mut self, name: &str, zone: &str, boot_id: u64) -> Result<Registration, Micros> {
        let report = InstanceReport::default();
        self.controller.register(self.now, RegistrationRequest { name, zone, boot_id, report })
    }
    /// Another owner, with what was written and nothing else.
    fn next_owner(&mut self) {
        let token = Token(self.controller.token().0 + 1);
        self.controller = Controller::open(policy(), token, &self.registers, 2, self.now);
        assert_eq!(self.controller.unreadable(), Vec::<String>::new());
    }
    fn states(&self, revision: Revision) -> Vec<(String, CommandState)> {
        self.controller.command(self.now, revision).expect("a command").states
    }
}

#[test]
fn a_command_submitted_again_by_its_id_is_the_same_also_with_the_next_owner() {
    let mut harness = Harness::new();
    for n in 0..4 {
        harness.register(n, 1);
    }
    let first = harness
        .controller
        .submit(harness.now, &request("x", CommandKind::Drain, Some(1.0)))
        .expect("accepted");
    harness.flush();
    assert_eq!(
        harness.controller.submit(harness.now, &request("x", CommandKind::Drain, Some(1.0))),
        Ok(first)
    );
    harness.next_owner();
    assert_eq!(
        harness.controller.submit(harness.now, &request("x", CommandKind::Drain, Some(1.0))),
        Ok(first)
    );
    assert_eq!(harness.states(first.revision).len(), 4);
    let other =
        harness.controller.submit(harness.now, &request("y", CommandKind::Undrain, None)).expect("accepted");
    assert!(other.revision > first.revision, "revisions only grow over owners");
}

#[test]
fn names_without_end_are_put_off_and_known_ones_admitted() {
    let mut harness = Harness::new();
    for n in 0..8_192 {
        harness.register(n, 1);
    }
    assert!(harness.try_register("one-more", "a", 1).is_err());
    assert!(harness.try_register("n7", "a", 2).is_ok(), "a new start of a known one");
}

#[test]
fn a_stop_is_for_the_epoch_it_was_sent_to() {
    let mut harness = Harness::new();
    let (id, _) = harness.register(0, 1);
    let Accepted { revision, .. } = harness
        .controller
        .submit(harness.now, &request("s", CommandKind::Stop, Some(1.0)))
        .expect("accepted");
    harness.flush();
    assert_eq!(harness.sent.len(), 1);
    harness.sent.clear();
    let (same, epoch) = harness.register(0, 2);
    assert_eq!(same, id);
    harness.advance(600);
    harness.advance(600);
    assert_eq!(harness.sent, [], "the epoch it was sent to is over: nobody stops the next one");
    assert!(matches!(harness.states(revision)[0].1, CommandState::Unknown(_)));
    assert!(
        !harness.controller.on_outcome(id, Epoch(epoch.0 - 1), revision, &Outcome::Done),
        "an outcome of an earlier epoch is fenced"
    );
    harness.advance(5000);
    assert!(matches!(harness.states(revision)[0].1, CommandState::Failed { sent: true, .. }));
}

#[test]
fn the_next_owner_knows_what_was_superseded() {
    let mut harness = Harness::new();
    harness.register(0, 1);
    let Accepted { revision: first, .. } = harness
        .controller
        .submit(harness.now, &request("d", CommandKind::Drain, Some(1.0)))
        .expect("accepted");
    harness.flush();
    let Accepted { revision: second, .. } =
        harness.controller.submit(harness.now, &request("u", CommandKind::Undrain, None)).expect("accepted");
    harness.flush();
    harness.next_owner();
    assert_eq!(harness.states(first)[0].1, CommandState::Superseded(second));
}

#[test]
fn a_change_of_owners_puts_no_deadline_off_where_the_next_saw_it_written() {
    for saw in [true, false] {
        let mut harness = Harness::new();
        harness.register(0, 1);
        let Accepted { revision, .. } = harness
            .controller
            .submit(harness.now, &request("d", CommandKind::Drain, Some(1.0)))
            .expect("accepted");
        harness.flush();
        // The five seconds run while nobody owns.
        harness.now = harness.now + Micros::ms(4_000);
        harness.next_owner();
        if saw {
            harness.controller.shorten_deadlines(&BTreeMap::from([(revision, Micros::ms(5_000))]));
        }
        harness.advance(1_100);
        assert_eq!(harness.states(revision)[0].1.is_final(), saw);
        harness.advance(4_000);
        assert!(harness.states(revision)[0].1.is_final());
    }
}

#[test]
fn a_drain_is_sent_again_to_a_new_epoch() {
    let mut harness = Harness::new();
    let (id, epoch) = harness.register(0, 1);
    let Accepted { revision, .. } = harness
        .controller
        .submit(harness.now, &request("d", CommandKind::Drain, Some(1.0)))
        .expect("accepted");
    harness.flush();
    assert!(harness.controller.on_outcome(id, epoch, revision, &Outcome::Done));
    harness.flush();
    harness.sent.clear();
    let (_, epoch) = harness.register(0, 2);
    harness.flush();
    assert_eq!(harness.sent.iter().map(|t| (t.epoch, t.revision)).collect::<Vec<_>>(), [(epoch, revision)]);
}

/// An instance, as it is and as it was commanded.
#[derive(Clone, Copy, Default)]
struct Instance {
    id: InstanceId,
    epoch: Epoch,
    boot_id: u64,
    draining: bool,
    hangs: bool,
}

#[test]
fn drawn_histories_keep_within_the_budget_and_every_pair_ends() {
    for seed in 0..30 {
        let mut chance = Rand64::new(seed);
        let mut harness = Harness::new();
        let mut all: Vec<Instance> = Vec::new();
        for n in 0..16 {
            let (id, epoch) = harness.register(n, 1);
            all.push(Instance { id, epoch, boot_id: 1, ..Instance::default() });
        }
        let (mut open, mut done) = (Vec::new(), BTreeSet::new());
        for step in 0..400 {
            let n = chance.rand_range(0..16) as usize;
            match chance.rand_range(0..40) {
                0 => all[n].hangs = true,
                1 => {
                    all[n].boot_id += 1;
                    let (id, epoch) = harness.register(n, all[n].boot_id);
                    all[n] = Instance { id, epoch, boot_id: all[n].boot_id, ..Instance::default() };
                }
                2 => {
                    let kind = [CommandKind::Drain, CommandKind::Undrain, CommandKind::Reload]
                        [chance.rand_range(0..3) as usize];
                    let submitted = request(&format!("o{step}"), kind, None);
                    // All may hang by then: there is no target.
                    if let Ok(Accepted { revision, targets }) =
                        harness.controller.submit(harness.now, &submitted)
                    {
                        assert!(targets > 0);
                        open.push(revision);
                    }
                }
                3 => harness.next_owner(),
                _ => {}
            }
            harness.advance(50);
            for dispatch in std::mem::take(&mut harness.sent) {
                // What is sent is written: another owner would know of it.
                let next = Controller::open(policy(), Token(99), &harness.registers, 1, harness.now);
                let states =
                    next.command(harness.now, dispatch.revision).expect("written before it is sent").states;
                assert!(states.iter().any(|s| !matches!(s.1, CommandState::Queued)));
                let Some(one) = all.iter_mut().find(|o| o.id == dispatch.id && o.epoch == dispatch.epoch)
                else {
                    continue;
                };
                if one.hangs {
                    continue;
                }
                one.draining = match dispatch.kind {
                    CommandKind::Drain => true,
                    CommandKind::Undrain => false,
                    _ => one.draining,
                };
                if done.insert((dispatch.id, dispatch.epoch, dispatch.revision)) && chance.rand_float() < 0.9
                {
                    harness.controller.on_outcome(
                        dispatch.id,
                        dispatch.epoch,
                        dispatch.revision,
                        &Outcome::Done,
                    );
                }
            }
            for one in all.iter().filter(|o| !o.hangs) {
                let renewal = harness.controller.renew(
                    harness.now,
                    one.id,
                    one.epoch,
                    InstanceReport { draining: one.draining, ..InstanceReport::default() },
                );
                assert!(matches!(renewal, Renewal::Renewed { .. } | Renewal::Unknown | Renewal::Fenced(_)));
            }
            let gone: BTreeSet<InstanceId> = harness
                .controller
                .instances(harness.now)
                .into_iter()
                .filter(|i| i.lease == LeaseStatus::Gone)
                .map(|i| i.id)
                .collect();
            let away = |zone: usize| {
                let away = all.iter().enumerate().filter(|(n, o)| n % 2 == zone && o.draining);
                away.filter(|(_, o)| !gone.contains(&o.id)).map(|(n, o)| (n, o.hangs)).collect::<Vec<_>>()
            };
            let (a, b) = (away(0), away(1));
            assert!(
                a.len() <= 2 && b.len() <= 2,
                "seed {seed}, step {step}: a quarter of eight in each zone: {a:?} {b:?}"
            );
        }
        harness.advance(6_000);
        for revision in open {
            let Some(command) = harness.controller.command(harness.now, revision) else { continue };
            assert!(command.states.iter().all(|s| s.1.is_final()), "seed {seed}: {command:?}");
        }
    }
}

#[test]
fn a_record_that_can_not_be_read_is_named_and_the_rest_counts() {
    let mut harness = Harness::new();
    harness.register(0, 1);
    harness.controller.submit(harness.now, &request("x", CommandKind::Drain, None)).expect("accepted");
    harness.flush();
    harness.registers.insert("o/7".into(), "{\"revision\":".into());
    harness.registers.insert("strange".into(), "1".into());
    let controller = Controller::open(policy(), Token(2), &harness.registers, 1, harness.now);
    assert_eq!(controller.unreadable(), ["o/7", "strange"]);
    assert_eq!((controller.instance_count(), controller.last_commands(harness.now, 9).len()), (1, 1));
}
