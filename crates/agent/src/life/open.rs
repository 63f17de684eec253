//! An agent with routes, as an operator's file says; reads it again on SIGHUP, all of it or nothing.
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use actix_http::error::DispatchError;
use notchspool_settings::file::{self, Place, Protocol};
use tokio::net::{TcpListener, UnixListener};

use super::kept::{Kept, News};
use super::{fleet_commands, run, stop};
use crate::base::bounds::Room;
use crate::base::clock::Clock;
use crate::base::pulse::Pulse;
use crate::fleet;
use crate::house::build::{Numbers, build};
use crate::house::pool::Footing;
use crate::memory::counters::Counters;
use crate::memory::list::Bearings;
use crate::memory::txn::Budgets;
use crate::wire::application::Porch;
use crate::wire::caller::Calls;
use crate::wire::door::Door;
use crate::wire::fcgi::front;
use crate::wire::gate::{Accept, Gate, Serve};
use crate::wire::management::Management;

/// What the file says. Mistakes come as lines.
pub fn told(path: &Path) -> Result<file::House, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    file::read(&name, &text)
        .map_err(|wrong| wrong.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

/// The agent until its end.
pub fn open(path: PathBuf) -> ExitCode {
    crate::base::logger::start();
    let code = match told(&path) {
        Ok(house) => lived(path, house),
        Err(why) => {
            log::error!("cannot start: {why}");
            ExitCode::from(2)
        }
    };
    log::logger().flush();
    code
}

/// From the first listener to the last answer.
fn lived(path: PathBuf, house: file::House) -> ExitCode {
    let counters = Rc::new(Counters::default());
    let system = actix::System::new();
    let begun = system.block_on(begin(path, house, counters.clone()));
    let ran = begun.and_then(|()| system.run());
    for line in counters.print().lines() {
        log::info!("counter {line}");
    }
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::error!("cannot run: {why}");
            ExitCode::FAILURE
        }
    }
}

async fn begin(path: PathBuf, told: file::House, counters: Rc<Counters>) -> io::Result<()> {
    let clock = Clock::start();
    let room = Room::within(told.descriptors, told.memory_mb);
    let bounds = room.now();
    log::info!("{}: {bounds:?}", told.name);
    let budgets = Budgets::default();
    let most = |told: &file::House| told.routes.iter().map(|r| r.expiry).max().unwrap_or_default();
    let longest = Rc::new(Cell::new(most(&told)));
    let own = told.doors.iter().filter_map(|door| match door.at {
        Place::Tcp(at) => Some(at),
        Place::Unix(_) => None,
    });
    let own: Vec<_> = own.collect();
    let pulse = Rc::new(Pulse::new(clock.now()));
    let kept = told.management.map(|_| Kept::open(std::env::var_os("TMPDIR").map(Into::into), &told.name));
    let (kept, out, news) = match kept {
        Some((kept, out, news)) => (Some(kept), out, Some(news)),
        None => (None, BTreeSet::new(), None),
    };
    let bans = Rc::new(RefCell::new(out));
    let footing = Footing {
        bans: bans.clone(),
        clock,
        pulse: pulse.clone(),
        counters: counters.clone(),
        bounds: room.clone(),
        budgets: budgets.clone(),
        bearings: Bearings { own, longest: longest.clone(), most: bounds.backends },
    };
    let seed = told.seed.unwrap_or_else(|| {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64)
    });
    let mut numbers = Numbers::default();
    let house = build(&told, None, &mut numbers, seed, &footing).map_err(io::Error::other)?;
    let porch = Porch {
        clock,
        pulse,
        counters,
        bounds: room,
        longest: longest.clone(),
        halves: Cell::new(0),
        ending: Cell::new(None),
        away: Cell::new(None),
        serves: Cell::new(true),
        handed: false,
    };
    let porch = Rc::new(porch);
    let house = RefCell::new(Rc::new(house));
    let chance = RefCell::new(oorandom::Rand64::new(seed.into()));
    let door = Rc::new(Door { porch: porch.clone(), house, budgets, next: Cell::new(0), chance });
    if let (Some(at), Some(kept)) = (told.management, kept) {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("management {at}: {e}"));
        let listener = TcpListener::bind(at).await.map_err(named)?;
        let ban = Box::new(move |id, on| kept.change(id, on));
        let of = door.clone();
        let lists = Box::new(move || of.house.borrow().pools.iter().map(|pool| pool.list()).collect());
        Management { porch: porch.clone(), lists, ban }.listen(listener);
        log::info!("{}: management at {at}", told.name);
    }
    if let Some(mut news) = news {
        let of = door.clone();
        actix_rt::spawn(async move {
            while let Some(news) = news.recv().await {
                if let News::Bans(out) = news {
                    of.house.borrow().pools.iter().for_each(|pool| pool.ban(&out));
                    *bans.borrow_mut() = out;
                }
            }
        });
    }
    let calls = Rc::new(Calls::new(bounds.unsent));
    let mut gates = Vec::new();
    porch.pulse.begin(clock.now());
    for (nth, place) in told.doors.iter().enumerate() {
        let door = door.clone();
        let serve: Serve = match place.protocol {
            Protocol::Http => run::serve(move |request| door.clone().answer(nth, request)).await?,
            Protocol::Fastcgi => Rc::new(move |caller| {
                let served = front::serve(door.clone(), nth, caller);
                Box::pin(async move { served.await.map_err(DispatchError::Io) })
            }),
        };
        let gate =
            Gate { porch: porch.clone(), calls: Rc::clone(&calls), serve, asked: None, accepting: None };
        gates.push(gate.listen(listen(&place.at).await?));
        log::info!("{}: ready at {:?}", told.name, place.at);
    }
    let (doors, management, numbers) = (told.doors, told.management, RefCell::new(numbers));
    let (fleet, serves, counted) = (told.fleet, porch.clone(), porch.counters.clone());
    let now = fleet.clone();
    let again = move |told: Result<file::House, String>| {
        let told = told?;
        if told.doors != doors || told.management != management || told.fleet != now {
            return Err("listeners and the fleet can't change while the agent runs; start a new one".into());
        }
        let old = door.house.borrow().clone();
        let house = build(&told, Some(&old), &mut numbers.borrow_mut(), seed, &footing)?;
        let (routes, pools) = (house.routes.len(), house.pools.len());
        // Txns of the old house may still wait for as long as that one said.
        longest.set(longest.get().max(most(&told)));
        *door.house.borrow_mut() = Rc::new(house);
        log::info!("configuration taken: {routes} routes, {pools} pools");
        Ok(())
    };
    let take = Rc::new(move |told| {
        let taken = again(told);
        counted.add(if taken.is_ok() { "files_taken" } else { "files_refused" });
        taken
    });
    if let Some(fleet) = fleet {
        let (counters, executions) = fleet::join(fleet, &told.name).map_err(io::Error::other)?;
        let (file, take) = (path.clone(), take.clone());
        let taken = move |told| take(told);
        fleet_commands::listen(executions, counters, serves, gates.clone(), move || self::told(&file), taken);
    }
    stop::listen(gates, move || self::told(&path), move |told| take(told))
}

async fn listen(at: &Place) -> io::Result<Accept> {
    let named = |what: String| move |e: io::Error| io::Error::new(e.kind(), format!("{what}: {e}"));
    match at {
        Place::Tcp(at) => TcpListener::bind(at).await.map(Accept::Tcp).map_err(named(at.to_string())),
        Place::Unix(path) => {
            let shown = path.display().to_string();
            // One that nobody listens on any more is left over from an earlier agent.
            if path.exists() && tokio::net::UnixStream::connect(path).await.is_err() {
                std::fs::remove_file(path).map_err(named(shown.clone()))?;
            }
            UnixListener::bind(path).map(Accept::Unix).map_err(named(shown))
        }
    }
}
