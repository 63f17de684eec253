//! One pool as it runs: its module behind a desk, its list, its register if it follows one.
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::{Actor, Addr};
use notchspool::units::*;
use notchspool_routes::backup::Backup;
use notchspool_settings::file;

use crate::base::bounds::Room;
use crate::base::clock::{Clock, span};
use crate::base::pulse::Pulse;
use crate::memory::counters::Counters;
use crate::memory::desk::{Ask, Close, Desk};
use crate::memory::list::{self, Banned, Bearings, Heard, List, Restore, Row};
use crate::memory::txn::Budgets;
use crate::wire::backend::{self, Ground};
use crate::wire::fcgi::peer;
use crate::wire::link::Past;
use crate::wire::registry::{Registry, Turn};

/// What all pools stand on.
#[derive(Clone)]
pub struct Footing {
    pub clock: Clock,
    pub pulse: Rc<Pulse>,
    pub counters: Rc<Counters>,
    pub bounds: Room,
    pub budgets: Budgets,
    pub bearings: Bearings,
    /// Backends that are out by hand.
    pub bans: Rc<RefCell<BTreeSet<String>>>,
}

pub struct Pool {
    pub name: String,
    pub desk: Addr<Desk>,
    list: Addr<List>,
    registry: Option<(SocketAddr, Addr<Registry>)>,
    /// What it was opened with; another of these is another pool.
    opened_with: String,
    members: RefCell<Vec<file::Member>>,
    version: Cell<u64>,
    pub backup: RefCell<Backup>,
}

/// All that can't change while it runs.
fn fixed(pool: &file::Pool) -> String {
    format!(
        "{:?} {:?} {:?} {:?} {}",
        pool.protocol,
        pool.terms,
        pool.connect_within,
        pool.idle_close,
        pool.register.is_some()
    )
}

impl Pool {
    pub fn open(pool: &file::Pool, zones: Vec<String>, seed: u64, on: &Footing) -> Pool {
        let ground = Rc::new(Ground {
            clock: on.clock,
            counters: on.counters.clone(),
            bounds: on.bounds.clone(),
            connect_within: span(pool.connect_within),
            idle: span(pool.idle_close.times(0.8)),
        });
        let desk = Desk::open(
            pool.terms.clone(),
            seed,
            on.clock,
            on.pulse.clone(),
            on.counters.clone(),
            on.budgets.clone(),
        )
        .start();
        let maker = match pool.protocol {
            file::Protocol::Http => backend::maker(desk.clone(), ground.clone()),
            file::Protocol::Fastcgi => peer::maker(desk.clone(), ground.clone()),
        };
        let list = List::open(desk.clone(), on.clock, on.counters.clone(), zones, on.bearings.clone(), maker)
            .start();
        let registry = pool.register.map(|at| {
            let registry =
                Registry::new(at, ground.client(None, Past::register()), list.clone(), on.counters.clone())
                    .start();
            desk.do_send(Ask(registry.clone().recipient()));
            (at, registry)
        });
        let opened = Pool {
            name: pool.name.clone(),
            desk,
            list,
            registry,
            opened_with: fixed(pool),
            members: RefCell::default(),
            version: Cell::new(0),
            backup: RefCell::new(Backup::new(seed)),
        };
        // Who is out is so before the list is known.
        opened.ban(&on.bans.borrow());
        opened.list_members(pool, Refresh::Restored);
        opened
    }

    /// These are out by hand, and nobody else.
    pub fn ban(&self, names: &BTreeSet<String>) {
        self.list.do_send(Banned(names.clone()));
    }
    pub fn list(&self) -> Addr<List> {
        self.list.clone()
    }

    /// Whether this one goes on as that pool of a new file: what is known of its backends stays then.
    pub fn goes_on_as(&self, pool: &file::Pool) -> bool {
        self.name == pool.name && self.opened_with == fixed(pool)
    }

    /// Takes what may change while it runs.
    pub fn change(&self, pool: &file::Pool) {
        if let (Some((old, registry)), Some(new)) = (&self.registry, pool.register)
            && *old != new
        {
            registry.do_send(Turn(new));
        }
        if pool.register.is_none() && *self.members.borrow() != pool.members {
            self.list_members(pool, Refresh::Full);
        }
    }

    fn list_members(&self, pool: &file::Pool, how: Refresh) {
        // One that follows a register knows nobody yet, and has no version of its own.
        self.version.set(if pool.register.is_some() { 0 } else { self.version.get() + 1 });
        let row = |m: &file::Member| Row {
            name: m.name.clone(),
            at: m.at,
            zone: m.zone.clone(),
            model: String::new(),
            entry: ListEntry {
                cell: CellId(m.cell),
                status: EndpointStatus::Ready,
                started: Micros(0),
                size: m.size,
                ..ListEntry::default()
            },
        };
        let rows = pool.members.iter().map(row).collect();
        let heard = Heard { how, version: Generation(self.version.get()), rows };
        match how {
            Refresh::Restored => self.list.do_send(Restore(heard)),
            _ => self.list.do_send(list::Line::Heard(heard)),
        }
        *self.members.borrow_mut() = pool.members.clone();
    }

    /// Nothing new comes; what is in hand ends by itself.
    pub fn close(&self) {
        log::info!("pool {}: closing", self.name);
        let registry = self.registry.iter().map(|(_, registry)| registry.clone().recipient());
        self.desk.do_send(Close(registry.chain([self.list.clone().recipient()]).collect()));
    }
}
