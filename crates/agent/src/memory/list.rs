//! The actor that owns the server list: ids and addresses of backends, and the version last heard.
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use actix::{Actor, ActorContext, Addr, Context, Handler, Message};
use notchspool::units::*;
use notchspool_settings::zone_number;
use tokio::sync::oneshot;

use super::bans::Bans;
use super::counters::Counters;
use super::desk::{Desk, ListFailed, ListMoved, Listed, Meet};
use super::figures::{self, Figures};
use super::ids::Ids;
use super::mail::{Maker, Peer, Shut, ToPeer};
use super::versions::Versions;
use crate::base::clock::Clock;

pub struct List {
    desk: Addr<Desk>,
    clock: Clock,
    maker: Maker,
    counters: Rc<Counters>,
    zones: Vec<String>,
    /// Machine types that it told of.
    models: Vec<String>,
    ids: Ids,
    peers: Vec<(SocketAddr, Peer)>,
    versions: Versions,
    garbled: bool,
    staged: Vec<ListEntry>,
    /// Whom the line that is being read names.
    named: BTreeSet<BackendId>,
    figures: Figures,
    /// Backends that an operator took out.
    bans: Bans,
    /// Lines of a watch came since one last ended.
    watched: bool,
    /// Backends at once.
    most: usize,
}

/// What a list has to know of its agent.
#[derive(Clone)]
pub struct Bearings {
    /// Where the agent itself listens.
    pub own: Vec<SocketAddr>,
    /// The longest expiry that a txn can have, as it is now.
    pub longest: Rc<Cell<Micros>>,
    /// Backends known at once.
    pub most: usize,
}

impl List {
    pub fn open(
        desk: Addr<Desk>,
        clock: Clock,
        counters: Rc<Counters>,
        zones: Vec<String>,
        bearings: Bearings,
        maker: Maker,
    ) -> List {
        List {
            desk,
            clock,
            maker,
            counters,
            zones,
            models: Vec::new(),
            ids: Ids::new(bearings.longest),
            peers: Vec::new(),
            versions: Versions::default(),
            garbled: false,
            staged: Vec::new(),
            named: BTreeSet::new(),
            figures: Figures::new(bearings.own),
            bans: Bans::default(),
            watched: false,
            most: bearings.most,
        }
    }

    /// Something of a list can't be true, and why.
    fn wrong(&mut self, why: &str) {
        self.counters.add("list_figures_wrong");
        log::warn!("list: {why}");
    }

    /// One entry of a list. Its address may be new; a new number gets an actor of its own.
    fn entry(&mut self, mut row: Row) {
        let now = self.clock.now();
        if self.figures.is_own(row.at) {
            // Postings there would come back, each as a txn of its own, until all room is taken.
            let known = self.ids.known(&row.name).and_then(|id| self.peers.get(id.0 as usize)).map(|p| p.0);
            self.wrong(&format!("{}: field `host_port`: {} is this agent itself", row.name, row.at));
            let Some(before) = known else { return };
            row.at = before;
        }
        let Some((id, new)) = self.ids.number(&row.name, now, self.most) else {
            self.counters.add("list_left_out");
            return log::warn!("list: over {} backends, {} is left out", self.most, row.name);
        };
        for why in self.figures.mend(id, new, &mut row, now, self.clock.set_ahead()) {
            self.wrong(&why);
        }
        let Row { name, at, zone, model, mut entry } = row;
        log::debug!("list: {name} {:?} from {} at {at}", entry.status, entry.started.0 / 1000);
        entry.zone = numbered(&mut self.zones, &zone, id);
        entry.model = ModelId(numbered(&mut self.models, &model, id).0);
        entry.backend = id;
        let at_number = id.0 as usize;
        if new {
            self.bans.forget(id);
            let peer = (self.maker)(id, at);
            self.desk.do_send(Meet(id, peer.clone()));
            match self.peers.get_mut(at_number) {
                // A number used again: nothing of who had it is left, not even at the same address.
                Some(old) => std::mem::replace(old, (at, peer)).1.do_send(ToPeer::Retire),
                None => self.peers.push((at, peer)),
            }
        } else if let Some((old, peer)) = self.peers.get_mut(at_number).filter(|peer| peer.0 != at) {
            *old = at;
            peer.do_send(ToPeer::Move(at));
        }
        self.named.insert(id);
        self.staged.extend(self.bans.pass(&name, entry));
    }

    /// Who is gone, by the list just read.
    fn count(&mut self, whole: bool) {
        let now = self.clock.now();
        let mut named = std::mem::take(&mut self.named);
        if whole {
            // Who is banned is told of as before, and keeps its number.
            self.staged.extend(self.bans.only(&named));
            named.extend(self.bans.held());
        }
        self.bans.held().for_each(|id| self.ids.here(id));
        for entry in &self.staged {
            match entry.status {
                EndpointStatus::Gone => self.ids.gone(entry.backend, now),
                EndpointStatus::Ready | EndpointStatus::Draining => self.ids.here(entry.backend),
            }
        }
        if whole {
            self.ids.only(|id| named.contains(&id), now);
            named = (0..self.peers.len() as u32).map(BackendId).collect();
        }
        for id in named {
            self.peers[id.0 as usize].1.do_send(ToPeer::Gone(self.ids.is_gone(id)));
        }
    }

    /// A list was read to its end: now it counts, if it is not older than what is known.
    fn read(&mut self, heard: Heard, how: Refresh) {
        let Heard { version: Generation(revision), rows, .. } = heard;
        if how == Refresh::Restored && rows.is_empty() {
            // To know nothing is no version to go on from.
            return self.desk.do_send(Listed { how, version: self.versions.given(), entries: Vec::new() });
        }
        let Some(version) = self.versions.heard(revision, how != Refresh::Delta, self.clock.now()) else {
            return self.older(revision, rows);
        };
        let (rows, twice) = figures::once(rows);
        for name in twice {
            self.wrong(&format!("{name} is named twice: the worst that is said of it counts"));
        }
        self.named.clear();
        rows.into_iter().for_each(|row| self.entry(row));
        // Only what the module does not pass over: no whole list without entries.
        if !(how != Refresh::Delta && self.staged.is_empty()) {
            self.count(how != Refresh::Delta);
        }
        self.garbled &= how == Refresh::Delta;
        if !self.garbled {
            self.versions.go_on();
        }
        self.counters.list.set(revision);
        self.desk.do_send(Listed { how, version, entries: std::mem::take(&mut self.staged) });
    }

    /// An older line takes nothing away and brings nothing back. But discovery has said it: who drains or is gone by it
    /// gets nothing new past the grace.
    fn older(&mut self, revision: u64, rows: Vec<Row>) {
        self.counters.add("lists_older");
        log::warn!(
            "list: revision {revision} is older than what is known, and changes nothing but for drains"
        );
        for mut row in rows.into_iter().filter(|row| row.entry.status != EndpointStatus::Ready) {
            if let Some((at, _)) = self.ids.known(&row.name).and_then(|id| self.peers.get(id.0 as usize)) {
                row.at = *at;
                self.entry(row);
            }
        }
        let (version, entries) = (self.versions.given(), std::mem::take(&mut self.staged));
        let waits = self.versions.waits();
        if !waits || !entries.is_empty() {
            self.desk.do_send(Listed { how: Refresh::Delta, version, entries });
        }
        if waits {
            // The module takes a line for a sign of a living watch, and would not ask again.
            self.desk.do_send(ListFailed);
        }
        self.look();
    }

    /// Whether older lines alone come, and for too long.
    fn look(&mut self) {
        if self.versions.begin_anew(self.clock.now()) {
            self.counters.add("lists_anew");
            log::warn!("list anew: only older lines came for seconds, it is asked for whole");
            self.garbled = false;
            // Asked like after a failure, with jitter: all agents find this out together.
            self.desk.do_send(ListFailed);
        }
    }
}

/// Zones, and machine types, that have names here; a register that tells ever new ones must not fill the memory.
const ZONES: usize = 1024;

/// The number of a zone. Where there are too many a backend is a zone of its own: near to nobody, and no repeat goes elsewhere.
fn numbered(zones: &mut Vec<String>, name: &str, id: BackendId) -> ZoneId {
    match zones.len() >= ZONES && !zones.iter().any(|zone| zone == name) {
        true => ZoneId(u32::MAX - id.0),
        false => zone_number(zones, name),
    }
}

impl Actor for List {
    type Context = Context<List>;
}

/// One row of a list as it was told: a backend by name.
pub struct Row {
    pub name: String,
    pub at: SocketAddr,
    pub zone: String,
    /// Its machine type: backends of one type are of one size.
    pub model: String,
    pub entry: ListEntry,
}

/// A list, or what changed of one, read whole.
pub struct Heard {
    pub how: Refresh,
    pub version: Generation,
    pub rows: Vec<Row>,
}

/// The list as it was known before this start.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Restore(pub Heard);
impl Handler<Restore> for List {
    type Result = ();
    fn handle(&mut self, known: Restore, _: &mut Context<List>) {
        self.read(known.0, Refresh::Restored);
    }
}

/// A line of the watch.
#[derive(Message)]
#[rtype(result = "()")]
pub enum Line {
    /// It only says that the watch lives.
    Alive,
    Heard(Heard),
    /// It can't be read, and why.
    Garbled(String),
}
impl Handler<Line> for List {
    type Result = ();
    fn handle(&mut self, line: Line, _: &mut Context<List>) {
        match line {
            Line::Alive => {
                self.watched = true;
                if self.versions.known() {
                    let version = self.versions.given();
                    self.desk.do_send(Listed { how: Refresh::Delta, version, entries: Vec::new() });
                }
                self.look();
            }
            Line::Heard(heard) => {
                self.watched = true;
                let how = heard.how;
                self.read(heard, how);
            }
            Line::Garbled(why) => {
                // It may have hidden a change: the next watch goes on from before it.
                self.garbled = true;
                self.counters.add("lists_garbled");
                log::warn!("list: a line changes nothing: {why}");
            }
        }
    }
}

/// The watch failed. It comes by here to keep its place behind the lines of that watch: heard before them,
/// the module would take them for signs of a living one and not ask again.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Ended;
impl Handler<Ended> for List {
    type Result = ();
    fn handle(&mut self, _: Ended, _: &mut Context<List>) {
        self.watched = false;
        self.desk.do_send(ListFailed);
    }
}

/// Discovery is elsewhere now. It comes by here for the same reason.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Moved;
impl Handler<Moved> for List {
    type Result = ();
    fn handle(&mut self, _: Moved, _: &mut Context<List>) {
        self.watched = false;
        self.desk.do_send(ListMoved);
    }
}

impl Handler<Shut> for List {
    type Result = ();
    fn handle(&mut self, _: Shut, ctx: &mut Context<List>) {
        ctx.stop();
    }
}

/// Whether a line of the watch has come and the watch still lives.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Fresh;
impl Handler<Fresh> for List {
    type Result = bool;
    fn handle(&mut self, _: Fresh, _: &mut Context<List>) -> bool {
        self.watched
    }
}

/// The numbers of all backends, by name.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Names(pub oneshot::Sender<BTreeMap<String, BackendId>>);
impl Handler<Names> for List {
    type Result = ();
    fn handle(&mut self, asked: Names, _: &mut Context<List>) {
        let _ = asked.0.send(self.ids.names());
    }
}

/// Whether a list has ever named this backend, or an operator has taken it out.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Knows(pub String);
impl Handler<Knows> for List {
    type Result = bool;
    fn handle(&mut self, asked: Knows, _: &mut Context<List>) -> bool {
        self.ids.known(&asked.0).is_some() || self.bans.holds(&asked.0)
    }
}

/// Backends that operators took out, all of them. It counts from here on.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Banned(pub BTreeSet<String>);
impl Handler<Banned> for List {
    type Result = ();
    fn handle(&mut self, banned: Banned, _: &mut Context<List>) {
        let changed = self.bans.set(banned.0);
        for name in &changed.on {
            log::info!("backend {name} is out by hand");
            let told = self.ids.known(name).and_then(|id| self.bans.begin(id));
            self.staged.extend(told);
        }
        for name in &changed.off {
            log::info!("backend {name} is back by hand");
            let told = self.ids.known(name).and_then(|id| self.bans.end(id));
            if let Some(gone) = told.as_ref().filter(|entry| entry.status == EndpointStatus::Gone) {
                self.ids.gone(gone.backend, self.clock.now());
            }
            self.staged.extend(told);
        }
        if self.staged.is_empty() {
            return;
        }
        let (version, entries) = (self.versions.given(), std::mem::take(&mut self.staged));
        self.desk.do_send(Listed { how: Refresh::Delta, version, entries });
        if !self.watched {
            // The module takes this for a sign of a living watch, and would not ask for one.
            self.desk.do_send(ListFailed);
        }
    }
}

/// The version last heard, to go on from.
#[derive(Message)]
#[rtype(result = "Option<u64>")]
pub struct Since;
impl Handler<Since> for List {
    type Result = Option<u64>;
    fn handle(&mut self, _: Since, _: &mut Context<List>) -> Option<u64> {
        self.versions.resume()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ever_new_zones_fill_nothing_and_are_never_taken_for_one() {
        let mut zones = Vec::new();
        let told: Vec<ZoneId> =
            (0..2 * ZONES as u32).map(|n| numbered(&mut zones, &format!("z{n}"), BackendId(n))).collect();
        assert_eq!(zones.len(), ZONES);
        assert_eq!(told.iter().collect::<BTreeSet<_>>().len(), told.len());
        assert_eq!(numbered(&mut zones, "z7", BackendId(9)), ZoneId(7), "what is known keeps its number");
    }
}
