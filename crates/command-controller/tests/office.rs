//! The office against drawn histories: instances that come, go, begin new lives and answer late or never; owners that follow one
//! another with what was written, at any moment.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_command_controller::{Office, Tell, Terms};
use notchspool_commands::command_log::CommandState;
use notchspool_commands::{CommandKind, Epoch, InstanceId, Outcome, Revision};
use notchspool_consensus::Token;
use notchspool_fleet_protocol::{Order, Report, Whom};
use notchspool_leases::lease_table::{self, Renewal};
use oorandom::Rand64;

fn terms() -> Terms {
    let leases = lease_table::LeasePolicy {
        duration: Micros::ms(3000),
        rate: 1e6,
        burst: 1e6,
        ..lease_table::LeasePolicy::default()
    };
    Terms { leases, part: 0.25, keep: 50, again: Micros::ms(500) }
}

fn order(id: &str, act: CommandKind, part: Option<f64>) -> Order {
    Order {
        id: id.into(),
        author: "op".into(),
        act,
        whom: Whom { all: true, ..Whom::default() },
        within_us: 5_000_000,
        part,
        on: None,
    }
}

struct Play {
    office: Office,
    now: Micros,
    /// The registers: what was written.
    kept: BTreeMap<String, String>,
    told: Vec<Tell>,
}

impl Play {
    fn new() -> Play {
        let office = Office::open(terms(), Token(1), &BTreeMap::new(), 1, Micros(0));
        Play { office, now: Micros(0), kept: BTreeMap::new(), told: Vec::new() }
    }
    fn flush(&mut self) {
        let (changes, tells) = self.office.flush(self.now);
        self.kept.extend(changes);
        self.told.extend(tells);
    }
    fn pass(&mut self, ms: i64) {
        self.now = self.now + Micros::ms(ms);
        self.office.pass(self.now);
        self.flush();
    }
    fn register(&mut self, n: usize, life: u64) -> (InstanceId, Epoch) {
        let zone = if n.is_multiple_of(2) { "a" } else { "b" };
        let r =
            self.office.register(self.now, &format!("n{n}"), zone, life, Report::default()).expect("let in");
        (r.id, r.epoch)
    }
    /// Another owner, with what was written and nothing else.
    fn next_owner(&mut self) {
        let token = Token(self.office.token.0 + 1);
        self.office = Office::open(terms(), token, &self.kept, 2, self.now);
        assert_eq!(self.office.unread, Vec::<String>::new());
    }
    fn states(&self, revision: Revision) -> Vec<(String, CommandState)> {
        self.office.ordered(self.now, revision, true).expect("an order").states
    }
}

#[test]
fn an_order_asked_again_by_its_id_is_the_same_also_of_the_next_owner() {
    let mut play = Play::new();
    for n in 0..4 {
        play.register(n, 1);
    }
    let first = play.office.take(play.now, &order("x", CommandKind::Drain, Some(1.0))).expect("taken");
    play.flush();
    assert_eq!(play.office.take(play.now, &order("x", CommandKind::Drain, Some(1.0))), Ok(first));
    play.next_owner();
    assert_eq!(play.office.take(play.now, &order("x", CommandKind::Drain, Some(1.0))), Ok(first));
    assert_eq!(play.states(first.0).len(), 4);
    let other = play.office.take(play.now, &order("y", CommandKind::Undrain, None)).expect("taken");
    assert!(other.0 > first.0, "revisions only grow over owners");
}

#[test]
fn names_without_end_are_put_off_and_the_known_let_in() {
    let mut play = Play::new();
    for n in 0..8_192 {
        play.register(n, 1);
    }
    assert!(play.office.register(play.now, "one-more", "a", 1, Report::default()).is_err());
    assert!(
        play.office.register(play.now, "n7", "a", 2, Report::default()).is_ok(),
        "a new life of a known one"
    );
}

#[test]
fn a_stop_is_for_the_life_it_was_told_to() {
    let mut play = Play::new();
    let (id, _) = play.register(0, 1);
    let (revision, _) = play.office.take(play.now, &order("s", CommandKind::Stop, Some(1.0))).expect("taken");
    play.flush();
    assert_eq!(play.told.len(), 1);
    play.told.clear();
    let (same, epoch) = play.register(0, 2);
    assert_eq!(same, id);
    play.pass(600);
    play.pass(600);
    assert_eq!(play.told, [], "the life it was told to is over: nobody stops the next one");
    assert!(matches!(play.states(revision)[0].1, CommandState::Unknown(_)));
    assert!(
        !play.office.said(id, Epoch(epoch.0 - 1), revision, &Outcome::Done),
        "an earlier life's word is fenced"
    );
    play.pass(5000);
    assert!(matches!(play.states(revision)[0].1, CommandState::Failed { sent: true, .. }));
}

#[test]
fn the_next_owner_knows_what_was_overtaken() {
    let mut play = Play::new();
    play.register(0, 1);
    let (first, _) = play.office.take(play.now, &order("d", CommandKind::Drain, Some(1.0))).expect("taken");
    play.flush();
    let (second, _) = play.office.take(play.now, &order("u", CommandKind::Undrain, None)).expect("taken");
    play.flush();
    play.next_owner();
    assert_eq!(play.states(first)[0].1, CommandState::Superseded(second));
}

#[test]
fn a_change_of_owners_puts_no_deadline_off_where_the_next_saw_it_written() {
    for saw in [true, false] {
        let mut play = Play::new();
        play.register(0, 1);
        let (revision, _) =
            play.office.take(play.now, &order("d", CommandKind::Drain, Some(1.0))).expect("taken");
        play.flush();
        // The five seconds run while nobody owns.
        play.now = play.now + Micros::ms(4_000);
        play.next_owner();
        if saw {
            play.office.due(&BTreeMap::from([(revision, Micros::ms(5_000))]));
        }
        play.pass(1_100);
        assert_eq!(play.states(revision)[0].1.is_final(), saw);
        play.pass(4_000);
        assert!(play.states(revision)[0].1.is_final());
    }
}

#[test]
fn a_drain_is_told_anew_to_a_new_life() {
    let mut play = Play::new();
    let (id, epoch) = play.register(0, 1);
    let (revision, _) =
        play.office.take(play.now, &order("d", CommandKind::Drain, Some(1.0))).expect("taken");
    play.flush();
    assert!(play.office.said(id, epoch, revision, &Outcome::Done));
    play.flush();
    play.told.clear();
    let (_, epoch) = play.register(0, 2);
    play.flush();
    assert_eq!(play.told.iter().map(|t| (t.epoch, t.revision)).collect::<Vec<_>>(), [(epoch, revision)]);
}

/// An instance, as it is and as it was told.
#[derive(Clone, Copy, Default)]
struct One {
    id: InstanceId,
    epoch: Epoch,
    life: u64,
    away: bool,
    hangs: bool,
}

#[test]
fn drawn_histories_keep_within_the_part_and_every_pair_ends() {
    for seed in 0..30 {
        let mut chance = Rand64::new(seed);
        let mut play = Play::new();
        let mut all: Vec<One> = Vec::new();
        for n in 0..16 {
            let (id, epoch) = play.register(n, 1);
            all.push(One { id, epoch, life: 1, ..One::default() });
        }
        let (mut open, mut done) = (Vec::new(), BTreeSet::new());
        for step in 0..400 {
            let n = chance.rand_range(0..16) as usize;
            match chance.rand_range(0..40) {
                0 => all[n].hangs = true,
                1 => {
                    all[n].life += 1;
                    let (id, epoch) = play.register(n, all[n].life);
                    all[n] = One { id, epoch, life: all[n].life, ..One::default() };
                }
                2 => {
                    let act = [CommandKind::Drain, CommandKind::Undrain, CommandKind::Reload]
                        [chance.rand_range(0..3) as usize];
                    let asked = order(&format!("o{step}"), act, None);
                    // All may hang by then: nobody is meant.
                    if let Ok((revision, whom)) = play.office.take(play.now, &asked) {
                        assert!(whom > 0);
                        open.push(revision);
                    }
                }
                3 => play.next_owner(),
                _ => {}
            }
            play.pass(50);
            for tell in std::mem::take(&mut play.told) {
                // What is told is written: another owner would know of it.
                let next = Office::open(terms(), Token(99), &play.kept, 1, play.now);
                let states =
                    next.ordered(play.now, tell.revision, true).expect("written before it is told").states;
                assert!(states.iter().any(|s| !matches!(s.1, CommandState::Queued)));
                let Some(one) = all.iter_mut().find(|o| o.id == tell.id && o.epoch == tell.epoch) else {
                    continue;
                };
                if one.hangs {
                    continue;
                }
                one.away = match tell.act {
                    CommandKind::Drain => true,
                    CommandKind::Undrain => false,
                    _ => one.away,
                };
                if done.insert((tell.id, tell.epoch, tell.revision)) && chance.rand_float() < 0.9 {
                    play.office.said(tell.id, tell.epoch, tell.revision, &Outcome::Done);
                }
            }
            for one in all.iter().filter(|o| !o.hangs) {
                let renewal = play.office.renew(
                    play.now,
                    one.id,
                    one.epoch,
                    Report { away: one.away, ..Report::default() },
                );
                assert!(matches!(renewal, Renewal::Renewed { .. } | Renewal::Unknown | Renewal::Fenced(_)));
            }
            let gone: BTreeSet<InstanceId> = play
                .office
                .list(play.now)
                .into_iter()
                .filter(|i| i.standing == "gone")
                .map(|i| i.id)
                .collect();
            let away = |zone: usize| {
                let away = all.iter().enumerate().filter(|(n, o)| n % 2 == zone && o.away);
                away.filter(|(_, o)| !gone.contains(&o.id)).map(|(n, o)| (n, o.hangs)).collect::<Vec<_>>()
            };
            let (a, b) = (away(0), away(1));
            assert!(
                a.len() <= 2 && b.len() <= 2,
                "seed {seed}, step {step}: a quarter of eight in each zone: {a:?} {b:?}"
            );
        }
        play.pass(6_000);
        for revision in open {
            let Some(ordered) = play.office.ordered(play.now, revision, true) else { continue };
            assert!(ordered.states.iter().all(|s| s.1.is_final()), "seed {seed}: {ordered:?}");
        }
    }
}

#[test]
fn a_note_that_can_not_be_read_is_named_and_the_rest_counts() {
    let mut play = Play::new();
    play.register(0, 1);
    play.office.take(play.now, &order("x", CommandKind::Drain, None)).expect("taken");
    play.flush();
    play.kept.insert("o/7".into(), "{\"revision\":".into());
    play.kept.insert("strange".into(), "1".into());
    let office = Office::open(terms(), Token(2), &play.kept, 1, play.now);
    assert_eq!(office.unread, ["o/7", "strange"]);
    assert_eq!((office.instances(), office.orders(play.now, 9).len()), (1, 1));
}
