//! The actor that owns the server list: numbers and addresses of backends, and the version met last.
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use actix::{Actor, ActorContext, Addr, Context, Handler, Message};
use notchspool::units::{BackendId, EndpointStatus, Generation, ListEntry, Micros, ModelId, Refresh, ZoneId};
use notchspool_settings::zones::zone_id;
use tokio::sync::oneshot;

use super::backend_ids::{AssignedId, BackendIds};
use super::balancer_actor::{AddBackend, BalancerActor, ListFailed, ListSourceChanged, ListUpdate};
use super::bans::Bans;
use super::counters::Counters;
use super::list_checks::{ClockReading, EntryChecker, merge_duplicates};
use super::list_row::{ListDocument, ListRow};
use super::list_versions::ListVersions;
use super::messages::{BackendFactory, BackendHandle, Shutdown, ToBackend};
use crate::base::clock::Clock;

/// Zones, and machine types, that have names here; a registry that tells ever new ones must not fill the memory.
pub const MAX_NAMES: usize = 1024;

struct KnownBackend {
    address: SocketAddr,
    handle: BackendHandle,
}

/// See the module.
pub struct EndpointListActor {
    balancer: Addr<BalancerActor>,
    clock: Clock,
    make_backend: BackendFactory,
    counters: Rc<Counters>,
    zones: Vec<String>,
    /// Machine types that the list named.
    models: Vec<String>,
    ids: BackendIds,
    /// By number.
    backends: Vec<KnownBackend>,
    versions: ListVersions,
    /// A line could not be read; it may have hidden a change.
    missed_line: bool,
    /// Entries of the document that is being read.
    staged: Vec<ListEntry>,
    /// Backends that it names.
    named: BTreeSet<BackendId>,
    checker: EntryChecker,
    bans: Bans,
    /// Lines of a watch came since one last ended.
    is_watched: bool,
    max_backends: usize,
}

/// What a list has to know of its agent.
#[derive(Clone)]
pub struct ListContext {
    /// Where the agent itself listens.
    pub own_addresses: Vec<SocketAddr>,
    /// The longest deadline that a request can have, as it is now.
    pub max_deadline: Rc<Cell<Micros>>,
    /// Backends known at once.
    pub max_backends: usize,
}

impl EndpointListActor {
    /// An empty list.
    pub fn new(
        balancer: Addr<BalancerActor>,
        clock: Clock,
        counters: Rc<Counters>,
        zones: Vec<String>,
        context: ListContext,
        make_backend: BackendFactory,
    ) -> EndpointListActor {
        EndpointListActor {
            balancer,
            clock,
            make_backend,
            counters,
            zones,
            models: Vec::new(),
            ids: BackendIds::new(context.max_deadline),
            backends: Vec::new(),
            versions: ListVersions::default(),
            missed_line: false,
            staged: Vec::new(),
            named: BTreeSet::new(),
            checker: EntryChecker::new(context.own_addresses),
            bans: Bans::default(),
            is_watched: false,
            max_backends: context.max_backends,
        }
    }

    /// Something of a list can't be true.
    fn complain(&mut self, complaint: &str) {
        self.counters.add("list_figures_wrong");
        log::warn!("list: {complaint}");
    }

    fn known_address(&self, name: &str) -> Option<SocketAddr> {
        let id = self.ids.find(name)?;
        self.backends.get(id.0 as usize).map(|backend| backend.address)
    }

    /// One row of a list. Its address may be new; a new number gets an actor of its own.
    fn stage_row(&mut self, mut row: ListRow) {
        if self.checker.is_own(row.address) {
            // Attempts there would come back, each as a request of its own, until all capacity is used.
            let known = self.known_address(&row.name);
            self.complain(&format!("{}: field `host_port`: {} is this agent itself", row.name, row.address));
            let Some(before) = known else { return };
            row.address = before;
        }
        let now = self.clock.now();
        let Some(AssignedId { id, is_new }) = self.ids.assign(&row.name, now, self.max_backends) else {
            self.counters.add("list_left_out");
            return log::warn!("list: over {} backends, {} is left out", self.max_backends, row.name);
        };
        let clock = ClockReading { now, machine_ahead: self.clock.machine_clock_ahead() };
        for complaint in self.checker.correct(id, is_new, &mut row, clock) {
            self.complain(&complaint);
        }
        let ListRow { name, address, zone, model, mut entry } = row;
        log::debug!("list: {name} {:?} from {} at {address}", entry.status, entry.started.0 / 1000);
        entry.zone = bounded_zone_id(&mut self.zones, &zone, id);
        entry.model = ModelId(bounded_zone_id(&mut self.models, &model, id).0);
        entry.backend = id;
        if is_new {
            self.add_backend(id, address);
        } else {
            self.move_backend(id, address);
        }
        self.named.insert(id);
        self.staged.extend(self.bans.filter(&name, entry));
    }

    fn add_backend(&mut self, id: BackendId, address: SocketAddr) {
        self.bans.forget(id);
        let handle = (self.make_backend)(id, address);
        self.balancer.do_send(AddBackend { id, handle: handle.clone() });
        let backend = KnownBackend { address, handle };
        match self.backends.get_mut(id.0 as usize) {
            // A number used again: nothing of the backend that had it is left, not even at the same address.
            Some(old) => std::mem::replace(old, backend).handle.do_send(ToBackend::Retire),
            None => self.backends.push(backend),
        }
    }

    fn move_backend(&mut self, id: BackendId, address: SocketAddr) {
        let backend = self.backends.get_mut(id.0 as usize);
        if let Some(backend) = backend.filter(|backend| backend.address != address) {
            backend.address = address;
            backend.handle.do_send(ToBackend::Move(address));
        }
    }

    /// Notes who is gone by the document just read.
    fn update_presence(&mut self, is_full: bool) {
        let now = self.clock.now();
        let mut named = std::mem::take(&mut self.named);
        if is_full {
            // One that is banned is reported as before, and keeps its number.
            self.staged.extend(self.bans.on_full_list(&named));
            named.extend(self.bans.listed());
        }
        self.bans.listed().for_each(|id| self.ids.on_present(id));
        for entry in &self.staged {
            match entry.status {
                EndpointStatus::Gone => self.ids.on_gone(entry.backend, now),
                EndpointStatus::Ready | EndpointStatus::Draining => self.ids.on_present(entry.backend),
            }
        }
        if is_full {
            self.ids.on_full_list(|id| named.contains(&id), now);
            named = (0..self.backends.len() as u32).map(BackendId).collect();
        }
        for id in named {
            let is_gone = self.ids.is_gone(id);
            self.backends[id.0 as usize].handle.do_send(ToBackend::SetGone(is_gone));
        }
    }

    /// A document was read to its end: now it counts, if it is not older than what is known.
    fn read(&mut self, document: ListDocument, refresh: Refresh) {
        let ListDocument { version: Generation(revision), rows, .. } = document;
        let is_full = refresh != Refresh::Delta;
        if refresh == Refresh::Restored && rows.is_empty() {
            // To know nothing is no version to go on from.
            return self.send_update(refresh, self.versions.generation(), Vec::new());
        }
        let Some(version) = self.versions.accept(revision, is_full, self.clock.now()) else {
            return self.read_older(revision, rows);
        };
        let merged = merge_duplicates(rows);
        for name in merged.duplicates {
            self.complain(&format!("{name} is named twice: the worst that is said of it counts"));
        }
        self.named.clear();
        merged.rows.into_iter().for_each(|row| self.stage_row(row));
        // Only what the module does not pass over: no full list without entries.
        if !(is_full && self.staged.is_empty()) {
            self.update_presence(is_full);
        }
        self.missed_line &= !is_full;
        if !self.missed_line {
            self.versions.on_all_read();
        }
        self.counters.list_version.set(revision);
        let entries = std::mem::take(&mut self.staged);
        self.send_update(refresh, version, entries);
    }

    fn send_update(&self, refresh: Refresh, version: Generation, entries: Vec<ListEntry>) {
        self.balancer.do_send(ListUpdate { refresh, version, entries });
    }

    /// An older document takes nothing away and brings nothing back. But discovery has said it: a backend that drains or is gone by it gets
    /// nothing new past the grace.
    fn read_older(&mut self, revision: u64, rows: Vec<ListRow>) {
        self.counters.add("lists_older");
        log::warn!(
            "list: revision {revision} is older than what is known, and changes nothing but for drains"
        );
        for mut row in rows.into_iter().filter(|row| row.entry.status != EndpointStatus::Ready) {
            if let Some(address) = self.known_address(&row.name) {
                row.address = address;
                self.stage_row(row);
            }
        }
        let entries = std::mem::take(&mut self.staged);
        let awaits_full_list = self.versions.awaits_full_list();
        if !awaits_full_list || !entries.is_empty() {
            self.send_update(Refresh::Delta, self.versions.generation(), entries);
        }
        if awaits_full_list {
            // The module takes a line for a sign of a living watch, and would not ask again.
            self.balancer.do_send(ListFailed);
        }
        self.restart_if_stuck();
    }

    /// Where only older lines come for too long, the full list is asked for.
    fn restart_if_stuck(&mut self) {
        if self.versions.restart_if_stuck(self.clock.now()) {
            self.counters.add("lists_anew");
            log::warn!("list anew: only older lines came for seconds, it is asked for whole");
            self.missed_line = false;
            // Asked for as after a failure, with jitter: all agents find this out together.
            self.balancer.do_send(ListFailed);
        }
    }
}

/// The number of a zone. Where there are too many a backend is a zone of its own: near to nobody, and no retry goes elsewhere.
pub fn bounded_zone_id(zones: &mut Vec<String>, name: &str, backend: BackendId) -> ZoneId {
    if zones.len() >= MAX_NAMES && !zones.iter().any(|zone| zone == name) {
        return ZoneId(u32::MAX - backend.0);
    }
    zone_id(zones, name)
}

impl Actor for EndpointListActor {
    type Context = Context<EndpointListActor>;
}

/// The list as it was known before this start.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RestoreList(pub ListDocument);

impl Handler<RestoreList> for EndpointListActor {
    type Result = ();

    fn handle(&mut self, message: RestoreList, _: &mut Context<EndpointListActor>) {
        self.read(message.0, Refresh::Restored);
    }
}

/// A line of the watch.
#[derive(Message)]
#[rtype(result = "()")]
pub enum WatchLine {
    /// It only says that the watch lives.
    Heartbeat,
    /// A list, or what changed of one.
    Document(ListDocument),
    /// It can't be read, and why.
    Garbled(String),
}

impl Handler<WatchLine> for EndpointListActor {
    type Result = ();

    fn handle(&mut self, line: WatchLine, _: &mut Context<EndpointListActor>) {
        match line {
            WatchLine::Heartbeat => {
                log::debug!("list: an empty line of the watch");
                self.is_watched = true;
                if self.versions.is_known() {
                    self.send_update(Refresh::Delta, self.versions.generation(), Vec::new());
                }
                self.restart_if_stuck();
            }
            WatchLine::Document(document) => {
                self.is_watched = true;
                let refresh = document.refresh;
                self.read(document, refresh);
            }
            WatchLine::Garbled(reason) => {
                // It may have hidden a change: the next watch goes on from before it.
                self.missed_line = true;
                self.counters.add("lists_garbled");
                log::warn!("list: a line changes nothing: {reason}");
            }
        }
    }
}

/// The watch failed. It passes here to keep its place behind the lines of that watch: taken before them, the module would take those for signs of
/// a living one and not ask again.
#[derive(Message)]
#[rtype(result = "()")]
pub struct WatchEnded;

impl Handler<WatchEnded> for EndpointListActor {
    type Result = ();

    fn handle(&mut self, _: WatchEnded, _: &mut Context<EndpointListActor>) {
        self.is_watched = false;
        self.balancer.do_send(ListFailed);
    }
}

/// Discovery has another address. It passes here for the same reason.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SourceChanged;

impl Handler<SourceChanged> for EndpointListActor {
    type Result = ();

    fn handle(&mut self, _: SourceChanged, _: &mut Context<EndpointListActor>) {
        self.is_watched = false;
        self.balancer.do_send(ListSourceChanged);
    }
}

impl Handler<Shutdown> for EndpointListActor {
    type Result = ();

    fn handle(&mut self, _: Shutdown, ctx: &mut Context<EndpointListActor>) {
        ctx.stop();
    }
}

/// Whether a line of the watch has come and the watch still lives.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsFresh;

impl Handler<IsFresh> for EndpointListActor {
    type Result = bool;

    fn handle(&mut self, _: IsFresh, _: &mut Context<EndpointListActor>) -> bool {
        self.is_watched
    }
}

/// Asks for the numbers of all backends, by name.
#[derive(Message)]
#[rtype(result = "()")]
pub struct GetNames(pub oneshot::Sender<BTreeMap<String, BackendId>>);

impl Handler<GetNames> for EndpointListActor {
    type Result = ();

    fn handle(&mut self, message: GetNames, _: &mut Context<EndpointListActor>) {
        // Whoever asked may have given up.
        let _ = message.0.send(self.ids.names());
    }
}

/// Whether a list has ever named this backend, or an operator has taken it out.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsKnown(pub String);

impl Handler<IsKnown> for EndpointListActor {
    type Result = bool;

    fn handle(&mut self, message: IsKnown, _: &mut Context<EndpointListActor>) -> bool {
        self.ids.find(&message.0).is_some() || self.bans.contains(&message.0)
    }
}

/// Backends that operators took out, all of them. It counts from here on.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetBans(pub BTreeSet<String>);

impl Handler<SetBans> for EndpointListActor {
    type Result = ();

    fn handle(&mut self, message: SetBans, _: &mut Context<EndpointListActor>) {
        let changes = self.bans.set(message.0);
        for name in &changes.banned {
            log::info!("backend {name} is out by hand");
            let entry = self.ids.find(name).and_then(|id| self.bans.begin(id));
            self.staged.extend(entry);
        }
        for name in &changes.lifted {
            log::info!("backend {name} is back by hand");
            let entry = self.ids.find(name).and_then(|id| self.bans.end(id));
            if let Some(gone) = entry.as_ref().filter(|entry| entry.status == EndpointStatus::Gone) {
                self.ids.on_gone(gone.backend, self.clock.now());
            }
            self.staged.extend(entry);
        }
        if self.staged.is_empty() {
            return;
        }
        let entries = std::mem::take(&mut self.staged);
        self.send_update(Refresh::Delta, self.versions.generation(), entries);
        if !self.is_watched {
            // The module takes this for a sign of a living watch, and would not ask for one.
            self.balancer.do_send(ListFailed);
        }
    }
}

/// Asks for the revision to go on from.
#[derive(Message)]
#[rtype(result = "Option<u64>")]
pub struct GetResumeRevision;

impl Handler<GetResumeRevision> for EndpointListActor {
    type Result = Option<u64>;

    fn handle(&mut self, _: GetResumeRevision, _: &mut Context<EndpointListActor>) -> Option<u64> {
        self.versions.resume()
    }
}
