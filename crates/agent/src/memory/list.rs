//! The actor that owns the server list: ids and addresses of backends, and the version last heard.
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::{Actor, Addr, Context, Handler, Message};
use bytes::Bytes;
use notchspool::units::*;
use notchspool_terms::zone_number;

use super::counters::Counters;
use super::desk::{Desk, ListFailed, ListMoved, Listed, Meet};
use super::ids::Ids;
use crate::life::bounds::BACKENDS;
use crate::wire::backend::{Gone, Ground, Move, Peer, Retire};
use crate::wire::listing;

pub struct List {
    desk: Addr<Desk>,
    ground: Rc<Ground>,
    counters: Rc<Counters>,
    zones: Vec<String>,
    ids: Ids,
    peers: Vec<(SocketAddr, Addr<Peer>)>,
    /// Where the next watch goes on from.
    version: Option<Generation>,
    garbled: bool,
    staged: Vec<Entry>,
}

impl List {
    pub fn open(desk: Addr<Desk>, ground: Rc<Ground>, counters: Rc<Counters>, zones: Vec<String>) -> List {
        List {
            desk,
            ground,
            counters,
            zones,
            ids: Ids::default(),
            peers: Vec::new(),
            version: None,
            garbled: false,
            staged: Vec::new(),
        }
    }

    /// One entry of a list that is being read. Its address may be new; a new number gets an actor of its own.
    pub fn entry(&mut self, name: &str, at: SocketAddr, zone: &str, mut entry: Entry) {
        let now = self.ground.clock.now();
        let Some((id, new)) = self.ids.number(name, now, BACKENDS) else {
            return log::warn!("list: over {BACKENDS} backends, {name} is left out");
        };
        entry.zone = zone_number(&mut self.zones, zone);
        entry.backend = id;
        let at_number = id.0 as usize;
        if new {
            let peer = Peer::meet(id, at, self.desk.clone(), self.ground.clone());
            self.desk.do_send(Meet(id, peer.clone()));
            match self.peers.get_mut(at_number) {
                // A number used again: nothing of who had it is left, not even at the same address.
                Some(old) => std::mem::replace(old, (at, peer)).1.do_send(Retire),
                None => self.peers.push((at, peer)),
            }
        } else if let Some((old, peer)) = self.peers.get_mut(at_number).filter(|peer| peer.0 != at) {
            *old = at;
            peer.do_send(Move(at));
        }
        self.staged.push(entry);
    }

    /// Who is gone, by the list just read.
    fn count(&mut self, whole: bool) {
        let now = self.ground.clock.now();
        let mut named: BTreeSet<BackendId> = self.staged.iter().map(|entry| entry.backend).collect();
        for entry in &self.staged {
            match entry.standing {
                Standing::Gone => self.ids.gone(entry.backend, now),
                Standing::Ready | Standing::Draining => self.ids.here(entry.backend),
            }
        }
        if whole {
            self.ids.only(|id| named.contains(&id), now);
            named = (0..self.peers.len() as u32).map(BackendId).collect();
        }
        for id in named {
            self.peers[id.0 as usize].1.do_send(Gone(self.ids.is_gone(id)));
        }
    }

    /// The list was read to its end.
    pub fn read(&mut self, how: Refresh, version: Generation) {
        // Only what the module does not pass over: no older version, no whole list without entries.
        if Some(version) >= self.version && !(how != Refresh::Delta && self.staged.is_empty()) {
            self.count(how != Refresh::Delta);
        }
        self.garbled &= how == Refresh::Delta;
        if !self.garbled {
            self.version = self.version.max(Some(version));
        }
        self.desk.do_send(Listed { how, version, entries: std::mem::take(&mut self.staged) });
    }
}

impl Actor for List {
    type Context = Context<List>;
}

/// The list as it was known before this start.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Restore(pub serde_json::Value);
impl Handler<Restore> for List {
    type Result = ();
    fn handle(&mut self, known: Restore, _: &mut Context<List>) {
        if let Err(why) = listing::entries(&known.0, Some(Refresh::Restored), self) {
            log::warn!("list: the known list can't be used: {why}");
        }
    }
}

/// A line of the watch; an empty one only says that the watch lives.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Line(pub Bytes);
impl Handler<Line> for List {
    type Result = ();
    fn handle(&mut self, line: Line, _: &mut Context<List>) {
        if line.0.iter().all(u8::is_ascii_whitespace) {
            if let Some(version) = self.version {
                self.desk.do_send(Listed { how: Refresh::Delta, version, entries: Vec::new() });
            }
        } else if let Err(why) = listing::line(&line.0, self) {
            // It may have hidden a change: the next watch goes on from before it.
            self.garbled = true;
            self.counters.add("lists_garbled");
            log::warn!("list: a line changes nothing: {why}");
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
        self.desk.do_send(ListMoved);
    }
}

/// The version last heard, to go on from.
#[derive(Message)]
#[rtype(result = "Option<u64>")]
pub struct Since;
impl Handler<Since> for List {
    type Result = Option<u64>;
    fn handle(&mut self, _: Since, _: &mut Context<List>) -> Option<u64> {
        self.version.map(|version| version.0)
    }
}
