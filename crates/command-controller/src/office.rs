//! The office itself.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_commands::command_log::{self, CommandLog, CommandState, SubmitError};
use notchspool_commands::{CommandKind, Epoch, InstanceId, Outcome, Revision, Subject};
use notchspool_consensus::Token;
use notchspool_fleet_protocol::{Instance, Order, Ordered, Report};
use notchspool_leases::lease_table::{self, LeaseState, LeaseTable, Registration, Renewal};

use crate::notes::{self, Head, Member};
use crate::wave::{Service, Tide, halts};

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub leases: lease_table::LeasePolicy,
    /// Of a zone and of all, out at once at the most, where an order does not say.
    pub part: f64,
    /// Orders that are kept, those at their end everywhere.
    pub keep: usize,
    /// An instance that said nothing is told again after this.
    pub again: Micros,
}

/// To be told to an instance, once what is written with it is with a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tell {
    pub id: InstanceId,
    pub epoch: Epoch,
    pub revision: Revision,
    pub act: CommandKind,
}

struct Known {
    name: String,
    zone: String,
    life: u64,
    heard: Option<Micros>,
    report: Report,
}

/// What an order is beside the book.
struct Taken {
    id: String,
    part: f64,
    place: u32,
    halted: Option<String>,
    /// Service when it came: the settled part before it, and the counts.
    before: Option<f64>,
    counts: Service,
    /// What was written of it last, without the time that is left.
    note: String,
}

pub struct Office {
    terms: Terms,
    pub token: Token,
    book: CommandLog,
    leases: LeaseTable,
    known: BTreeMap<InstanceId, Known>,
    taken: BTreeMap<Revision, Taken>,
    by_id: BTreeMap<String, Revision>,
    /// Orders that may have changed since they were written.
    touched: BTreeSet<Revision>,
    shards: BTreeSet<u32>,
    head: Head,
    sent: BTreeMap<(InstanceId, Revision), Micros>,
    /// Who was told of a drain by this owner, and has not said since that a later order brought it back.
    drained: BTreeMap<InstanceId, Revision>,
    service: Service,
    /// The settled part of late, by halves of what came.
    recent: Service,
    /// Something may have to be told.
    stir: bool,
    /// Notes that could not be read when it opened.
    pub unread: Vec<String>,
}

/// Instances at once, with those that are gone and remembered.
const MOST: usize = 8_192;

impl Office {
    /// By this owner's clock, when an order that it saw written before it owned is over: a change of owners puts it off no more. Who
    /// saw nothing counts from what was left when it was written last.
    pub fn due(&mut self, deadlines: &BTreeMap<Revision, Micros>) {
        for (revision, deadline) in deadlines {
            self.book.shorten_deadline(*revision, deadline.0);
        }
    }

    /// With what the registers hold.
    pub fn open(
        terms: Terms,
        token: Token,
        entries: &BTreeMap<String, String>,
        seed: u64,
        now: Micros,
    ) -> Office {
        let head: Head = entries.get(notes::HEAD).and_then(|t| notes::read(t)).unwrap_or_default();
        let mut office = Office {
            terms,
            token,
            book: CommandLog::default(),
            leases: LeaseTable::new(terms.leases, head.epoch, seed, now),
            known: BTreeMap::new(),
            taken: BTreeMap::new(),
            by_id: BTreeMap::new(),
            touched: BTreeSet::new(),
            shards: BTreeSet::new(),
            head,
            sent: BTreeMap::new(),
            drained: BTreeMap::new(),
            service: Service::default(),
            recent: Service::default(),
            stir: true,
            unread: Vec::new(),
        };
        for (key, text) in entries {
            let known = match key.split_once('/') {
                Some(("m", _)) => notes::read(text).map(|members| office.members(now, members)),
                Some(("o", place)) => place
                    .parse()
                    .ok()
                    .and_then(|place| Some((place, notes::read(text)?)))
                    .map(|(place, order)| office.restore(now, place, order)),
                _ if key == notes::HEAD => Some(()),
                _ => None,
            };
            if known.is_none() {
                office.unread.push(key.clone());
            }
        }
        office.service_before();
        office
    }

    fn members(&mut self, now: Micros, members: Vec<Member>) {
        for m in members {
            self.leases.restore(now, m.id, &m.name, m.epoch);
            let (report, heard) = (Report::default(), None);
            self.known.insert(m.id, Known { name: m.name, zone: m.zone, life: m.life, heard, report });
        }
    }

    fn restore(&mut self, now: Micros, place: u32, note: notes::Order) {
        let left = Micros(note.left_us);
        let order = command_log::Command { author: note.author, kind: note.act, deadline: (now + left).0 };
        self.book.restore(self.head.revision, note.revision, order, note.states);
        self.by_id.insert(note.id.clone(), note.revision);
        let taken = Taken {
            id: note.id,
            part: note.part,
            place,
            halted: note.halted,
            before: None,
            counts: Service::default(),
            note: String::new(),
        };
        self.taken.insert(note.revision, taken);
        self.touched.insert(note.revision);
    }

    /// What was before an order came is not known to the owner that takes it over: it counts from here.
    fn service_before(&mut self) {
        let counts = self.service;
        self.taken.values_mut().for_each(|t| t.counts = counts);
    }

    fn instance(&self, name: &str) -> Option<InstanceId> {
        self.known.iter().find(|(_, k)| k.name == name).map(|(id, _)| *id)
    }
    pub fn instances(&self) -> usize {
        self.known.len()
    }

    /// A life of an instance begins. It may be told so once what is written with it is with a majority. The same life asked again
    /// is the same epoch. Else after which time it may come again.
    pub fn register(
        &mut self,
        now: Micros,
        name: &str,
        zone: &str,
        life: u64,
        report: Report,
    ) -> Result<Registration, Micros> {
        if let Some(id) = self.instance(name)
            && self.known.get(&id).is_some_and(|k| k.life == life)
            && let Some(epoch) = self.leases.member(id).map(|m| m.epoch)
            && let Renewal::Renewed { renew_in, .. } = self.leases.renew(now, id, epoch)
        {
            self.heard(now, id, report);
            return Ok(Registration { id, epoch, renew_in });
        }
        // Guards against names without end: who is known is let in all the same.
        if self.known.len() >= MOST && self.instance(name).is_none() {
            return Err(Micros::ms(5_000));
        }
        let Registration { id, epoch, renew_in } = self.leases.register(now, name)?;
        self.book.on_contact_lost(id);
        self.drained.remove(&id);
        self.touch_all();
        self.head.epoch = epoch;
        self.shards.insert(id.0 / notes::SHARD);
        let zone = zone.to_owned();
        let fresh = Known { name: name.to_owned(), zone, life, heard: Some(now), report };
        self.known.insert(id, fresh);
        self.stir = true;
        Ok(Registration { id, epoch, renew_in })
    }

    pub fn renew(&mut self, now: Micros, id: InstanceId, epoch: Epoch, report: Report) -> Renewal {
        let renewal = self.leases.renew(now, id, epoch);
        if let Renewal::Renewed { .. } = renewal {
            self.heard(now, id, report);
        }
        renewal
    }

    fn heard(&mut self, now: Micros, id: InstanceId, report: Report) {
        let Some(known) = self.known.get_mut(&id) else { return };
        // Counts that fall are those of another start; the first ones an owner hears say nothing of when they came about.
        let old = known.heard.is_some().then_some((known.report.settled, known.report.other));
        if let Some((settled, other)) = old
            && report.settled >= settled
            && report.other >= other
        {
            let (settled, other) = (report.settled - settled, report.other - other);
            self.service.add(settled, settled + other);
            self.recent.add(settled, settled + other);
            if self.recent.all > 2_000 {
                self.recent = Service { settled: self.recent.settled / 2, all: self.recent.all / 2 };
            }
        }
        (known.heard, known.report) = (Some(now), report);
        self.stir = true;
    }

    /// The name of an instance, where this epoch is its present life.
    pub fn name(&self, id: InstanceId) -> Option<&str> {
        self.known.get(&id).map(|k| k.name.as_str())
    }

    /// Takes an order; acknowledged once what is written with it is with a majority. Asked again under its id it is the same.
    pub fn take(&mut self, now: Micros, order: &Order) -> Result<(Revision, usize), String> {
        if let Some(revision) = self.by_id.get(&order.id) {
            return Ok((*revision, self.book.states(*revision).len()));
        }
        let there = |id: &InstanceId| {
            self.leases.member(*id).is_some_and(|m| !matches!(m.state, LeaseState::Gone(_)))
        };
        let meant = self.known.iter().filter(|(id, k)| there(id) && order.whom.means(&k.name, &k.zone));
        let whom: BTreeSet<InstanceId> = meant.map(|(id, _)| *id).collect();
        if self.taken.len() >= self.terms.keep * 2 {
            return Err("too many orders are open; wait for some to end".into());
        }
        // Before it is taken: those that it overtakes are at their end after, and that has to be written too.
        self.touch_all();
        let deadline = (now + Micros(order.within_us)).0;
        let entry = command_log::Command { author: order.author.clone(), kind: order.act, deadline };
        let revision = self.book.submit(entry, &whom, order.on).map_err(|why| match why {
            SubmitError::NoTarget => "no instance that is there is meant".to_owned(),
            SubmitError::Conflict(moved) => {
                let named = moved.iter().take(3).filter_map(|(id, r)| Some((self.known.get(id)?, r)));
                let named: Vec<String> = named.map(|(k, r)| format!("{} at {}", k.name, r.0)).collect();
                format!("another order came meanwhile: {}", named.join(", "))
            }
        })?;
        let used: BTreeSet<u32> = self.taken.values().map(|t| t.place).collect();
        let place = (0..).find(|p| !used.contains(p)).unwrap_or_default();
        let taken = Taken {
            id: order.id.clone(),
            part: order.part.unwrap_or(self.terms.part),
            place,
            halted: None,
            before: self.recent.part(),
            counts: self.service,
            note: String::new(),
        };
        self.taken.insert(revision, taken);
        self.by_id.insert(order.id.clone(), revision);
        self.head.revision = revision;
        self.touched.insert(revision);
        self.stir = true;
        Ok((revision, whom.len()))
    }

    /// All orders that are not at their end everywhere: something may have changed in any of them.
    fn touch_all(&mut self) {
        let open = |r: &Revision| self.book.states(*r).iter().any(|s| !s.1.is_final());
        let open: Vec<Revision> = self.taken.keys().filter(|r| open(r)).copied().collect();
        self.touched.extend(open);
    }

    /// An instance says what it did. True where it counted.
    pub fn said(&mut self, id: InstanceId, epoch: Epoch, revision: Revision, outcome: &Outcome) -> bool {
        let Some(member) = self.leases.member(id) else { return false };
        let counted = self.book.on_outcome(id, epoch, member.epoch, revision, outcome);
        let ended = match (self.book.command(revision).map(|o| o.kind), outcome) {
            (Some(CommandKind::Undrain), Outcome::Done) => {
                self.drained.get(&id).is_some_and(|d| *d < revision)
            }
            (Some(CommandKind::Drain), Outcome::Refused(_)) => self.drained.get(&id) == Some(&revision),
            _ => false,
        };
        if ended {
            self.drained.remove(&id);
        }
        if counted {
            self.touched.insert(revision);
            self.stir = true;
            self.sent.remove(&(id, revision));
        }
        counted
    }

    /// An instance says that it goes.
    pub fn leave(&mut self, now: Micros, id: InstanceId, epoch: Epoch) -> bool {
        self.stir = true;
        self.leases.leave(now, id, epoch)
    }

    /// Time goes on.
    pub fn pass(&mut self, now: Micros) {
        self.touch_all();
        let gone = self.leases.tick(now);
        for id in &gone {
            self.book.on_contact_lost(*id);
        }
        self.stir |= !gone.is_empty();
        let forgotten: Vec<InstanceId> =
            self.known.keys().filter(|id| self.leases.member(**id).is_none()).copied().collect();
        for id in forgotten {
            self.known.remove(&id);
            self.drained.remove(&id);
            self.book.remove_instance(id);
            self.shards.insert(id.0 / notes::SHARD);
        }
        self.book.tick(now);
        self.book.prune(self.terms.keep);
        let book = &self.book;
        self.taken.retain(|revision, _| book.command(*revision).is_some());
        let taken = &self.taken;
        self.by_id.retain(|_, revision| taken.contains_key(revision));
        self.touched.retain(|revision| taken.contains_key(revision));
    }

    fn standing(&self, id: InstanceId) -> LeaseState {
        self.leases.member(id).map_or(LeaseState::Gone(Micros(0)), |m| m.state)
    }

    /// Whether it serves nobody now, by an order or by itself.
    fn out(&self, id: InstanceId) -> bool {
        let pending = |s: &CommandState| matches!(s, CommandState::Sent(_) | CommandState::Unknown(_));
        let service = self.book.current(id, Subject::Service).is_some_and(|(r, s)| {
            let drains = self.book.command(r).is_some_and(|o| o.kind == CommandKind::Drain);
            drains
                && !matches!(
                    s,
                    CommandState::Queued
                        | CommandState::Refused(_)
                        | CommandState::Failed { sent: false, .. }
                )
        });
        let other = [Subject::Configuration, Subject::Process];
        let other = other.iter().any(|s| self.book.current(id, *s).is_some_and(|(_, s)| pending(s)));
        // Guards against orders that overtake one another: a drain that was told may be done later than an undrain was ordered.
        // Whom this owner has not heard yet may be out by what it was told before.
        let known = self.known.get(&id);
        let unheard = known.is_none_or(|k| k.heard.is_none() || k.report.away);
        service || other || unheard || self.drained.contains_key(&id) || self.standing(id) != LeaseState::Live
    }

    /// Who is to be told now; what that changes in the book is written first.
    fn tell(&mut self, now: Micros) -> Vec<Tell> {
        let mut tide = Tide::default();
        let there: Vec<InstanceId> = self
            .known
            .keys()
            .filter(|id| !matches!(self.standing(**id), LeaseState::Gone(_)))
            .copied()
            .collect();
        for id in &there {
            tide.count(&self.known[id].zone, self.out(*id));
        }
        self.halt();
        let mut tells = Vec::new();
        for id in there {
            let Some(epoch) = self.leases.member(id).map(|m| m.epoch) else { continue };
            for (revision, act) in self.book.pending_for(id, epoch) {
                let Some(taken) = self.taken.get(&revision) else { continue };
                let before = match self.book.state(id, revision) {
                    Some(CommandState::Sent(then) | CommandState::Unknown(then)) => Some(*then),
                    Some(CommandState::Applied(_)) => Some(epoch),
                    _ => None,
                };
                // A stop is for the life that it was told to.
                if act == CommandKind::Stop && before.is_some_and(|then| then < epoch) {
                    continue;
                }
                let zone = &self.known[&id].zone;
                if before.is_none() {
                    // Guards against taking for out already, and so for free, who is merely not heard: by a new owner, or as
                    // its lease ran out.
                    if self.known[&id].heard.is_none() || self.standing(id) != LeaseState::Live {
                        continue;
                    }
                    let goes = act != CommandKind::Undrain && !self.out(id);
                    if taken.halted.is_some() || (goes && !tide.may(zone, taken.part)) {
                        continue;
                    }
                    if goes {
                        tide.goes(zone);
                    }
                }
                let lately = self.sent.get(&(id, revision)).is_some_and(|at| now - *at < self.terms.again);
                if lately && before == Some(epoch) {
                    continue;
                }
                self.book.on_sent(id, epoch, revision);
                if act == CommandKind::Drain {
                    self.drained.insert(id, revision);
                }
                self.touched.insert(revision);
                self.sent.insert((id, revision), now);
                tells.push(Tell { id, epoch, revision, act });
            }
        }
        tells
    }

    fn halt(&mut self) {
        for (revision, taken) in self.taken.iter_mut().filter(|t| t.1.halted.is_none()) {
            let states = self.book.states(*revision);
            if !states.iter().any(|s| s.1 == CommandState::Queued) {
                continue;
            }
            let bad = |s: &CommandState| {
                matches!(
                    s,
                    CommandState::Refused(_)
                        | CommandState::Unknown(_)
                        | CommandState::Failed { sent: true, .. }
                )
            };
            let bad = states.iter().filter(|s| bad(&s.1)).count();
            taken.halted = halts(bad, states.len(), taken.before, self.service.since(taken.counts));
            if taken.halted.is_some() {
                self.touched.insert(*revision);
            }
        }
    }

    /// What is to be written now, and who is to be told once that is with a majority. Nothing to write and somebody to tell: at
    /// once.
    pub fn flush(&mut self, now: Micros) -> (BTreeMap<String, String>, Vec<Tell>) {
        let tells =
            if std::mem::take(&mut self.stir) || !self.sent.is_empty() { self.tell(now) } else { Vec::new() };
        let mut changes = BTreeMap::new();
        for shard in std::mem::take(&mut self.shards) {
            let all = self.known.iter().filter(|(id, _)| id.0 / notes::SHARD == shard);
            let member = |(id, k): (&InstanceId, &Known)| {
                let (name, zone, life) = (k.name.clone(), k.zone.clone(), k.life);
                let epoch = self.leases.member(*id).map(|m| m.epoch).unwrap_or_default();
                Member { id: *id, name, zone, epoch, life }
            };
            let all: Vec<Member> = all.map(member).collect();
            changes.insert(notes::members(shard), notes::written(&all));
        }
        for revision in std::mem::take(&mut self.touched) {
            let (Some(order), Some(taken)) = (self.book.command(revision), self.taken.get_mut(&revision))
            else {
                continue;
            };
            let mut note = notes::Order {
                revision,
                id: taken.id.clone(),
                author: order.author.clone(),
                act: order.kind,
                part: taken.part,
                halted: taken.halted.clone(),
                states: self.book.states(revision),
                left_us: 0,
            };
            let text = notes::written(&note);
            if text != taken.note {
                taken.note = text;
                note.left_us = (Micros(order.deadline) - now).0;
                changes.insert(notes::order(taken.place), notes::written(&note));
            }
        }
        if !changes.is_empty() {
            changes.insert(notes::HEAD.into(), notes::written(&self.head));
        }
        let (book, leases) = (&self.book, &self.leases);
        self.sent.retain(|(id, revision), _| match (book.state(*id, *revision), leases.member(*id)) {
            // Done in an earlier life, and told again to this one.
            (Some(CommandState::Applied(then)), Some(member)) => *then < member.epoch,
            (Some(state), Some(_)) => !state.is_final(),
            _ => false,
        });
        (changes, tells)
    }

    pub fn list(&self, now: Micros) -> Vec<Instance> {
        let one = |(id, k): (&InstanceId, &Known)| {
            let member = self.leases.member(*id);
            let service = self.book.current(*id, Subject::Service);
            Instance {
                id: *id,
                name: k.name.clone(),
                zone: k.zone.clone(),
                epoch: member.map(|m| m.epoch).unwrap_or_default(),
                standing: match self.standing(*id) {
                    LeaseState::Live => "live",
                    LeaseState::Held(_) => "held",
                    LeaseState::Gone(_) => "gone",
                }
                .into(),
                heard_us: k.heard.map(|at| (now - at).0),
                report: k.report.clone(),
                service: service.and_then(|(r, s)| Some((r, self.book.command(r)?.kind, s.clone()))),
            }
        };
        self.known.iter().map(one).collect()
    }

    pub fn ordered(&self, now: Micros, revision: Revision, whole: bool) -> Option<Ordered> {
        let (order, taken) = (self.book.command(revision)?, self.taken.get(&revision)?);
        let states = self.book.states(revision);
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for (_, state) in &states {
            *counts.entry(word(state).to_owned()).or_default() += 1;
        }
        let named =
            |(id, state): (InstanceId, CommandState)| Some((self.known.get(&id)?.name.clone(), state));
        Some(Ordered {
            revision,
            id: taken.id.clone(),
            author: order.author.clone(),
            act: order.kind,
            part: taken.part,
            left_us: (Micros(order.deadline) - now).0,
            halted: taken.halted.clone(),
            counts,
            states: if whole { states.into_iter().filter_map(named).collect() } else { Vec::new() },
        })
    }
    pub fn orders(&self, now: Micros, last: usize) -> Vec<Ordered> {
        let mut all: Vec<Revision> = self.book.revisions().collect();
        let all = all.split_off(all.len().saturating_sub(last));
        all.into_iter().filter_map(|r| self.ordered(now, r, false)).collect()
    }
}

/// The word for a state, as it is shown.
pub fn word(state: &CommandState) -> &'static str {
    match state {
        CommandState::Queued => "queued",
        CommandState::Sent(_) => "told",
        CommandState::Unknown(_) => "unknown",
        CommandState::Applied(_) => "applied",
        CommandState::Refused(_) => "refused",
        CommandState::Failed { late: Some(_), .. } => "late",
        CommandState::Failed { sent: true, .. } => "failed",
        CommandState::Failed { sent: false, .. } => "not-told",
        CommandState::Superseded(_) => "overtaken",
    }
}
