//! The process of a proxy: its listeners, its ticks, its end.
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use notchspool::units::Micros;
use notchspool_endpoint_registry::heartbeats::Event;
use notchspool_runtime::node_settings::NodeSettings;
use notchspool_runtime::program::{CheckedSettings, ServiceResult};
use notchspool_runtime::random_id;
use notchspool_runtime::signals::{Event as Signalled, Signals};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::house::House;
use crate::pipe::Answer;

/// How often the proxy looks after its links and companies.
const TICK: Duration = Duration::from_millis(100);
/// Clients' connections at most.
const MOST_CONNS: usize = 1_500;
/// Clients are sent here for some time after a proxy says that it is not ready.
const STILL_SENT: Micros = Micros::ms(2_200);
/// Until all proxies have heard that this one goes.
const TELLING: Micros = Micros::ms(200);
/// Kept clear of the end of the grace.
const MARGIN: Micros = Micros::ms(700);

#[derive(Clone, Copy, PartialEq)]
enum Side {
    Lobby,
    Desk,
}

/// Takes connections at one listener till `ends` says so.
fn listen(
    house: Rc<House>,
    listener: TcpListener,
    side: Side,
    mut ends: watch::Receiver<bool>,
    open: Rc<RefCell<usize>>,
) {
    tokio::task::spawn_local(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = ends.changed() => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            if *open.borrow() >= MOST_CONNS {
                house.count("connections_full");
                continue;
            }
            *open.borrow_mut() += 1;
            let (house, ends, open) = (house.clone(), ends.clone(), open.clone());
            tokio::task::spawn_local(async move {
                connection(house, stream, side, ends).await;
                *open.borrow_mut() -= 1;
            });
        }
    });
}

async fn answer(
    house: Rc<House>,
    side: Side,
    request: Request<Incoming>,
) -> Result<Response<Answer>, Infallible> {
    Ok(match side {
        Side::Lobby => house.serve(request).await,
        Side::Desk => house.attend_desk(request).await,
    })
}

async fn connection(house: Rc<House>, stream: TcpStream, side: Side, mut ends: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let limits = house.script.borrow().as_ref().map(|s| s.limits).unwrap_or_default();
    let patience = limits.idle_timeout.0.max(limits.header_timeout.0).clamp(1_000_000, 600_000_000);
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(Duration::from_micros(patience as u64))
        .max_buf_size(limits.max_header_bytes.clamp(8 << 10, 1 << 20) + (8 << 10));
    let service = hyper::service::service_fn(move |request| answer(house.clone(), side, request));
    let conn = http.serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let mut leaving = *ends.borrow();
    if leaving {
        conn.as_mut().graceful_shutdown();
    }
    loop {
        tokio::select! {
            // A client that leaves early is no fault of ours.
            _ = conn.as_mut() => return,
            _ = ends.changed(), if !leaving => {
                leaving = true;
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Reads the settings file again; one that makes no sense changes nothing.
fn reread(house: &Rc<House>, file: &Path) {
    match NodeSettings::read(file) {
        Ok(told) => {
            let changed = *house.told.borrow() != told;
            if changed {
                log::info!(target: "proxy", "settings have changed");
                // Whoever serves control tells of the set, though all that voted when this one last heard may be gone.
                told.seeds.iter().map(|s| told.peer_address_of(s)).for_each(|seed| house.call(seed));
                *house.told.borrow_mut() = told;
            }
        }
        Err(e) => log::warn!(target: "proxy", "settings stay as they were: {e}"),
    }
}

/// Where the operators' settings say that a proxy listens.
#[derive(Clone, Copy, Debug)]
pub struct Listeners {
    /// Requests of clients and of the backend here.
    pub outbound: SocketAddr,
    /// Whether clients may be sent here.
    pub readiness: SocketAddr,
    /// Heartbeats of the backend here, and operators' calls.
    pub control_plane: SocketAddr,
}

/// Runs a proxy until SIGTERM.
pub async fn run(settings: CheckedSettings<Listeners>, signals: Signals) -> ServiceResult {
    let CheckedSettings { node: told, file, listeners } = settings;
    let Listeners { outbound, readiness, control_plane: control } = listeners;
    let mut signals = signals.watch(&file);
    let grace = told.bounds.grace;
    let inner = TcpListener::bind(told.peer_address()).await?;
    let seeds: Vec<String> = told.seeds.iter().map(|s| told.peer_address_of(s)).collect();
    let house = House::open(told, random_id());
    let (end, ends) = watch::channel(false);
    let (end_desk, ends_desk) = watch::channel(false);
    let open = Rc::new(RefCell::new(0));
    let front = TcpListener::bind(outbound).await?;
    listen(house.clone(), front, Side::Lobby, ends, open.clone());
    for at in [readiness, control] {
        listen(house.clone(), TcpListener::bind(at).await?, Side::Desk, ends_desk.clone(), Rc::default());
    }
    let links = house.clone();
    tokio::task::spawn_local(async move {
        loop {
            match inner.accept().await {
                Ok((stream, _)) => drop(tokio::task::spawn_local(links.clone().carry(stream))),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    });
    seeds.into_iter().for_each(|s| house.call(s));
    let ticks = house.clone();
    tokio::task::spawn_local(async move {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut n = 0u64;
        loop {
            tick.tick().await;
            n += 1;
            ticks.runs();
            ticks.look_at_links();
            let now = ticks.now();
            ticks.companies.borrow_mut().values_mut().for_each(|c| drop(c.wake(now)));
            if n.is_multiple_of(50) && log::log_enabled!(log::Level::Debug) {
                log::debug!(target: "proxy", "{}", ticks.figures().replace('\n', ", "));
            }
            if n.is_multiple_of(5) {
                ticks.backend(Event::Tick);
                ticks.pool.tidy(now);
                ticks.coats.borrow_mut().tick(now);
            }
        }
    });
    log::info!(target: "proxy", "{} listens at {outbound}", house.told.borrow().node);
    while signals.next().await == Signalled::Reload {
        reread(&house, &file);
    }
    let began = house.now();
    house.stopping.set(Some(began));
    log::info!(target: "proxy", "ends on SIGTERM, {} requests in hand", house.in_hand.get());
    // Clients come for some time yet. Then no more connections are taken, and those that stand idle are closed.
    let last = began + grace - MARGIN;
    while house.now() < (began + STILL_SENT).min(last) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let _ = end.send(true);
    // The backend goes on: others send to it till the end, and are told before that.
    house.away.set(true);
    house.tell_station();
    let told = house.now();
    while house.now() < (told + TELLING).min(last) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Also what others are being sent from the backend here goes to its end.
    let busy = |h: &House| h.in_hand.get() > 0 || h.door.borrow().in_work() > 0 || h.to_send.get() > 0;
    while house.now() < last && (*open.borrow() > 0 || busy(&house)) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // What was written last has to leave.
    tokio::time::sleep(Duration::from_millis(60)).await;
    let _ = end_desk.send(true);
    log::info!(target: "proxy", "ended");
    Ok(())
}
