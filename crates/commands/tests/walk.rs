//! Walks all interleavings of small cases: two operators with opposite orders, instances that restart, messages that are lost,
//! doubled and overtake each other, a keeper that falls and comes back with what it had written down. States that were
//! seen are not walked again; each is checked.
use std::collections::{BTreeMap, BTreeSet, HashSet};

use notchspool::units::Micros;
use notchspool_commands::book::{Book, NotTaken, Order, State};
use notchspool_commands::obey::{Hear, Obey};
use notchspool_commands::*;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Tell(InstanceId, Epoch, Revision, Act),
    Said(InstanceId, Epoch, Revision),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    book: Book,
    /// What is on the keeper's disk: written before an order is acknowledged, and now and then.
    disk: Book,
    /// The life of each instance as the keeper knows it, and the instance itself.
    lives: BTreeMap<InstanceId, (Epoch, Obey)>,
    wire: BTreeSet<Message>,
    /// Every deed: who, in which life, which revision, how often.
    deeds: BTreeMap<(InstanceId, Epoch, Revision), u32>,
    drained: BTreeMap<InstanceId, bool>,
    acknowledged: Vec<Revision>,
    todo: Vec<Act>,
    falls: u32,
    restarts: u32,
}

fn order(act: Act) -> Order {
    Order { author: format!("{act:?}"), act, deadline: 1_000_000 }
}

impl World {
    fn new(instances: u32, todo: &[Act]) -> World {
        let ids = (0..instances).map(InstanceId);
        World {
            book: Book::default(),
            disk: Book::default(),
            lives: ids.clone().map(|id| (id, (Epoch(1), Obey::new(Epoch(1))))).collect(),
            wire: BTreeSet::new(),
            deeds: BTreeMap::new(),
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
                let all = w.lives.keys().copied().collect();
                let revision = w.book.take(order(act), &all, None).expect("taken");
                // On the disk before it is acknowledged.
                w.disk = w.book.clone();
                w.acknowledged.push(revision);
            });
        }
        for (&id, (epoch, _)) in &self.lives {
            for (revision, act) in self.book.to_tell(id, *epoch) {
                step(&|w| {
                    w.book.told(id, *epoch, revision);
                    w.wire.insert(Message::Tell(id, *epoch, revision, act));
                });
            }
            if self.restarts > 0 {
                step(&|w| {
                    w.restarts -= 1;
                    let next = Epoch(epoch.0 + 1);
                    w.lives.insert(id, (next, Obey::new(next)));
                    w.drained.insert(id, false);
                    w.book.lost(id);
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
                w.book = w.disk.clone();
            });
        }
        next
    }

    fn deliver(&mut self, message: &Message) {
        match *message {
            Message::Tell(id, epoch, revision, act) => {
                let (_, obey) = self.lives.get_mut(&id).expect("an instance");
                match obey.hear(epoch, revision, act) {
                    Hear::Do => {
                        obey.did(revision, act, Outcome::Done);
                        *self.deeds.entry((id, epoch, revision)).or_default() += 1;
                        if act.subject() == Subject::Service {
                            self.drained.insert(id, act == Act::Drain);
                        }
                        self.wire.insert(Message::Said(id, epoch, revision));
                    }
                    Hear::Said(_) => {
                        self.wire.insert(Message::Said(id, epoch, revision));
                    }
                    Hear::Nothing => {}
                }
            }
            Message::Said(id, epoch, revision) => {
                let now_in = self.lives[&id].0;
                self.book.said(id, epoch, now_in, revision, &Outcome::Done);
            }
        }
    }

    fn check(&self) {
        for (deed, times) in &self.deeds {
            assert_eq!(*times, 1, "done twice in one life: {deed:?}");
        }
        for &revision in &self.acknowledged {
            assert!(self.book.order(revision).is_some(), "an acknowledged order is lost: {revision:?}");
            for (id, state) in self.book.states(revision) {
                if let State::Applied(epoch) = state {
                    assert!(
                        self.deeds.contains_key(&(id, epoch, revision)),
                        "reported, and was not: {id:?} {revision:?}"
                    );
                }
                if let State::Overtaken(by) = state {
                    assert!(by > revision);
                }
            }
            assert_eq!(self.book.states(revision).len(), self.lives.len(), "a pair is missing");
        }
    }

    /// With contact and no more mishaps all comes to its end, and each instance is as the last order wants it.
    fn settles(mut self) {
        while let Some(act) = self.todo.first().copied() {
            self.todo.remove(0);
            let all = self.lives.keys().copied().collect();
            self.acknowledged.push(self.book.take(order(act), &all, None).expect("taken"));
        }
        for _ in 0..8 {
            let ids: Vec<(InstanceId, Epoch)> = self.lives.iter().map(|(id, l)| (*id, l.0)).collect();
            for (id, epoch) in ids {
                for (revision, act) in self.book.to_tell(id, epoch) {
                    self.book.told(id, epoch, revision);
                    self.wire.insert(Message::Tell(id, epoch, revision, act));
                }
            }
            while let Some(message) = self.wire.pop_first() {
                self.deliver(&message);
            }
        }
        self.check();
        for &revision in &self.acknowledged {
            for (id, state) in self.book.states(revision) {
                assert!(state.is_final(), "{id:?} {revision:?} {state:?}");
            }
        }
        let last = self.acknowledged.last().and_then(|r| self.book.order(*r)).map(|o| o.act);
        if let Some(act) = last.filter(|a| a.subject() == Subject::Service) {
            assert!(self.drained.values().all(|d| *d == (act == Act::Drain)), "{:?}", self.drained);
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
    let seen = walk(World::new(2, &[Act::Drain, Act::Undrain]), 8, 60_000);
    assert!(seen > 5_000, "{seen}");
}

#[test]
fn one_instance_three_orders_deeper() {
    let seen = walk(World::new(1, &[Act::Drain, Act::Undrain, Act::Drain]), 11, 60_000);
    assert!(seen > 5_000, "{seen}");
}

fn all(ids: &[u32]) -> BTreeSet<InstanceId> {
    ids.iter().map(|n| InstanceId(*n)).collect()
}

#[test]
fn an_order_on_condition_is_refused_with_what_stands_there() {
    let mut book = Book::default();
    assert_eq!(book.take(order(Act::Drain), &all(&[]), None), Err(NotTaken::Nobody));
    let first = book.take(order(Act::Drain), &all(&[1, 2]), Some(Revision(0))).expect("nothing stands there");
    let second = book.take(order(Act::Undrain), &all(&[2]), Some(first)).expect("as it was");
    let wrong = book.take(order(Act::Drain), &all(&[1, 2]), Some(first));
    assert_eq!(wrong, Err(NotTaken::Moved([(InstanceId(2), second)].into())));
    assert_eq!(book.state(InstanceId(2), first), Some(&State::Overtaken(second)));
    assert_eq!(book.state(InstanceId(1), first), Some(&State::Queued), "another instance's");
    // Reloading overtakes no drain.
    let reload = book.take(order(Act::Reload), &all(&[1]), None).expect("taken");
    assert_eq!(book.to_tell(InstanceId(1), Epoch(1)), [(first, Act::Drain), (reload, Act::Reload)]);
}

#[test]
fn a_deadline_fails_what_was_not_heard_and_a_late_word_is_noted_as_late() {
    let (mut book, id) = (Book::default(), InstanceId(1));
    let drain = book.take(order(Act::Drain), &all(&[1, 2]), None).expect("taken");
    book.told(id, Epoch(3), drain);
    book.lost(id);
    assert_eq!(book.state(id, drain), Some(&State::Unknown(Epoch(3))));
    book.pass(Micros(999_999));
    assert_eq!(book.state(id, drain), Some(&State::Unknown(Epoch(3))));
    book.pass(Micros(1_000_000));
    assert_eq!(book.state(id, drain), Some(&State::Failed { told: true, late: None }));
    assert_eq!(book.state(InstanceId(2), drain), Some(&State::Failed { told: false, late: None }));
    assert!(book.to_tell(id, Epoch(3)).is_empty(), "nothing is done by surprise after its deadline");
    // What an earlier life says is fenced off; the present one's word is noted.
    assert!(!book.said(id, Epoch(2), Epoch(3), drain, &Outcome::Done));
    assert!(book.said(id, Epoch(3), Epoch(3), drain, &Outcome::Done));
    assert_eq!(book.state(id, drain), Some(&State::Failed { told: true, late: Some(Epoch(3)) }));
}

#[test]
fn only_what_nobody_needs_is_forgotten() {
    let (mut book, id) = (Book::default(), InstanceId(1));
    for n in 0..10 {
        let act = if n % 2 == 0 { Act::Drain } else { Act::Undrain };
        let revision = book.take(order(act), &all(&[1]), None).expect("taken");
        book.said(id, Epoch(1), Epoch(1), revision, &Outcome::Done);
    }
    let reload = book.take(order(Act::Reload), &all(&[1]), None).expect("taken");
    book.forget(3);
    assert_eq!(book.len(), 3);
    book.forget(0);
    assert_eq!(book.len(), 2, "the last of each subject stays: it is how things stand");
    assert_eq!(book.to_tell(id, Epoch(1)), [(reload, Act::Reload)]);
}
