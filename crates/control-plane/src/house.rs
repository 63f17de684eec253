//! Sockets, disk thread and clock around the office. One loop; the disk has a thread of its own, and nothing waits for it but what
//! must.
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info, warn};
use notchspool_mesh_protocol::texts::{Heard, Texts};
use notchspool_mesh_protocol::{Hello, What};
use notchspool_runtime::signals::{Event as Signalled, Signals};
use notchspool_runtime::told::Told;
use notchspool_runtime::{Clock, rope, seed};
use notchspool_storage::{Deed, Trapdoor};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use crate::office::{Act, Conn, Office, Opening};

/// A configuration may be this large.
const MOST_BODY: usize = 16 << 20;
/// Connections at most, from operators and from the mesh.
const MOST_CONNS: usize = 2_000;
/// Nothing heard for so long ends a connection of the mesh.
const SILENCE: Duration = Duration::from_millis(2_200);
/// So much of the grace one that leaves waits for the others.
const LEAVES: f64 = 0.8;
/// Microseconds for which claims are kept beyond their window: a request may stand for its whole time on the way before it claims.
const KEPT_LONGER: i64 = 8_000_000;
const TICK: Duration = Duration::from_millis(50);
/// Configurations that are held, so that others can be told and made out as differences.
const TEXTS: usize = 4;

type Job = (u64, Vec<Deed>);

struct House {
    office: RefCell<Office>,
    clock: Clock,
    /// Where operators call.
    control: SocketAddr,
    told: RefCell<Told>,
    life: u64,
    ropes: RefCell<BTreeMap<Conn, rope::Rope>>,
    next: std::cell::Cell<u64>,
    disk: std::sync::mpsc::Sender<Job>,
    calls: RefCell<BTreeMap<u64, oneshot::Sender<(u16, String)>>>,
    dialed: RefCell<BTreeSet<String>>,
    texts: RefCell<Texts>,
}

impl House {
    fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    fn hello(&self) -> What {
        let told = self.told.borrow();
        What::Hello(Hello {
            node: told.node.clone(),
            life: self.life,
            zone: told.zone.clone(),
            address: told.inner(),
            role: 2,
            incarnation: self.office.borrow().incarnation(),
            counted: told.counted,
            ..Hello::default()
        })
    }

    /// Carries out what the office wants done.
    fn act(self: &Rc<House>, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Send(conn, what) => {
                    if let Some(rope) = self.ropes.borrow().get(&conn) {
                        rope.send(self.texts.borrow_mut().send(conn, what));
                    }
                }
                Act::Save(number, deeds) => {
                    if self.disk.send((number, deeds)).is_err() {
                        warn!(target: "prompter", "the disk thread is gone");
                    }
                }
                Act::Reply(id, status, body) => {
                    if let Some(call) = self.calls.borrow_mut().remove(&id) {
                        // The operator may have left.
                        let _ = call.send((status, body));
                    }
                }
                Act::Voters(voters) => {
                    voters.into_iter().for_each(|v| self.dial(v));
                }
                Act::Log(line) => info!(target: "prompter", "{line}"),
            }
        }
    }

    /// Keeps a connection to another prompter, for as long as this process lives.
    fn dial(self: &Rc<House>, address: String) {
        if address == self.told.borrow().inner() || !self.dialed.borrow_mut().insert(address.clone()) {
            return;
        }
        let house = self.clone();
        tokio::task::spawn_local(async move {
            let Ok(to) = address.parse::<SocketAddr>() else { return };
            let mut pause = 50;
            loop {
                if let Ok(stream) = rope::dial(to, Duration::from_millis(1_000)).await {
                    pause = 50;
                    let (conn, rope) = (house.number(), rope::Rope::default());
                    rope.send(house.texts.borrow_mut().send(conn, house.hello()));
                    house.ropes.borrow_mut().insert(conn, rope.clone());
                    let acts = house.office.borrow_mut().peer(house.clock.now(), conn, &address);
                    house.act(acts);
                    let end = house.carry(stream, conn, rope).await;
                    debug!(target: "prompter", "lose {address}: {end}");
                }
                if !house.office.borrow().wants(&address) {
                    house.dialed.borrow_mut().remove(&address);
                    return;
                }
                let jitter = 0.5 + (seed() % 1000) as f64 / 1000.0;
                tokio::time::sleep(Duration::from_millis((f64::from(pause) * jitter) as u64)).await;
                pause = (pause * 2).min(800);
            }
        });
    }

    /// Reads the settings file again; one that makes no sense changes nothing. New seeds are called; all else counts at the next start.
    fn reread(self: &Rc<House>, file: &Path) {
        match Told::read(file) {
            Ok(told) if *self.told.borrow() != told => {
                info!(target: "prompter", "settings have changed");
                let seeds: Vec<String> = told.seeds.iter().map(|s| told.inner_of(s)).collect();
                self.office.borrow_mut().counts_now(told.counted);
                self.told.replace(told);
                seeds.into_iter().for_each(|seed| self.dial(seed));
            }
            Ok(_) => {}
            Err(e) => warn!(target: "prompter", "settings stay as they were: {e}"),
        }
    }

    async fn carry(self: &Rc<House>, stream: TcpStream, conn: Conn, rope: rope::Rope) -> rope::End {
        let back = rope.clone();
        let end = rope::run(stream, rope, Some(SILENCE), |what| {
            let heard = self.texts.borrow_mut().hear(conn, what);
            match heard {
                Heard::Says(what) => {
                    let acts = self.office.borrow_mut().hear(self.clock.now(), conn, what);
                    self.act(acts);
                }
                Heard::Ask(what) => {
                    warn!(target: "prompter", "a difference can't be made out: the whole is asked for");
                    back.send(what);
                }
                Heard::Done => {}
            }
        });
        let end = end.await;
        self.texts.borrow_mut().closed(conn);
        self.ropes.borrow_mut().remove(&conn);
        self.office.borrow_mut().closed(conn);
        end
    }

    async fn call(self: Rc<House>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let place = request.uri().path_and_query().map_or(String::new(), ToString::to_string);
        let (status, body) = self.answer(request).await;
        let elsewhere = self.others().first().filter(|_| status == 503).map(|a| format!("http://{a}{place}"));
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let kind = if body.starts_with('{') { "application/json" } else { "text/plain" };
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        response.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static(kind));
        if let Some(Ok(to)) = elsewhere.map(hyper::header::HeaderValue::try_from) {
            response.headers_mut().insert("location", to);
        }
        Ok(response)
    }

    async fn answer(self: &Rc<House>, request: Request<Incoming>) -> (u16, String) {
        if request.uri().path() == "/notchspool/ready" {
            return self.ready();
        }
        let query = request.uri().query().unwrap_or_default().to_string();
        let call = query.split('&').find_map(|p| p.strip_prefix("call=")).unwrap_or_default().to_string();
        if request.uri().path() != "/notchspool/rpc" {
            return (404, "no such place".into());
        }
        if request.method() != hyper::Method::POST {
            return (405, "calls are POST".into());
        }
        let body = match Limited::new(request.into_body(), MOST_BODY).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<http_body_util::LengthLimitError>() => {
                return (413, "the body is too large".into());
            }
            Err(_) => return (400, "the body was cut short".into()),
        };
        if self.calls.borrow().len() >= 1_000 {
            return (503, "too many calls in hand".into());
        }
        let (id, now) = (self.number(), self.clock.now());
        let (done, wait) = oneshot::channel();
        self.calls.borrow_mut().insert(id, done);
        let acts = match call.as_str() {
            "config.replace" => self.office.borrow_mut().put(now, id, &body),
            "config.read" => self.office.borrow_mut().read(now, id),
            _ => {
                self.calls.borrow_mut().remove(&id);
                return (404, "no such call here".into());
            }
        };
        self.act(acts);
        match wait.await.unwrap_or((503, "given up".into())) {
            (503, why) => (503, self.sent_on(&why)),
            reply => reply,
        }
    }

    /// Whether what this one says of the operator's configuration is the newest.
    fn ready(&self) -> (u16, String) {
        let vouches = self.office.borrow_mut().vouches(self.clock.now());
        match vouches {
            (true, version) => (200, format!("version {version} is the newest")),
            (false, version) => {
                let why = format!("it is not known whether version {version} is the newest");
                (503, self.sent_on(&why))
            }
        }
    }

    fn sent_on(&self, why: &str) -> String {
        let others = self.others();
        let whom = if others.is_empty() { "another prompter".into() } else { others.join(" or ") };
        format!("{why}; ask {whom}")
    }

    /// Where else an operator may call, in an order drawn anew: the other voters, at the port where this one is called.
    fn others(&self) -> Vec<String> {
        let (own, port) = (self.told.borrow().inner(), self.control.port());
        let office = self.office.borrow();
        let others = office.voters().into_iter().filter(|v| *v != own);
        let hosts = others.filter_map(|v| v.parse::<SocketAddr>().ok());
        let mut all: Vec<String> = hosts.map(|a| SocketAddr::new(a.ip(), port).to_string()).collect();
        let first = (seed() % all.len().max(1) as u64) as usize;
        all.rotate_left(first);
        all
    }
}

/// The thread that waits for the disk. What has come in meanwhile goes as one batch.
fn disk(
    mut trapdoor: Trapdoor,
    jobs: std::sync::mpsc::Receiver<Job>,
    done: mpsc::UnboundedSender<(u64, bool)>,
) {
    let mut sick = false;
    while let Ok(first) = jobs.recv() {
        let mut all = vec![first];
        all.extend(jobs.try_iter().take(512));
        let deeds: Vec<Deed> = all.iter().flat_map(|(_, deeds)| deeds.iter().cloned()).collect();
        let written = trapdoor.write(&deeds);
        // Said once, and once when it is over.
        match &written {
            Err(e) if !sick => warn!(target: "trapdoor", "can't write: {e}"),
            Ok(()) if sick => info!(target: "trapdoor", "writes again"),
            _ => {}
        }
        sick = written.is_err();
        for (number, _) in all {
            if number > 0 && done.send((number, written.is_ok())).is_err() {
                return;
            }
        }
    }
}

/// Runs a prompter till SIGTERM.
pub async fn run(
    told: Told,
    file: PathBuf,
    control: SocketAddr,
    signals: Signals,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut signals = signals.watch(&file);
    let clock = Clock::start();
    let life = seed();
    let window = told.bounds.key_window;
    let folder = told.data.clone().ok_or("dataPath: a prompter needs a disk")?;
    let keep = Duration::from_micros((window.0 + KEPT_LONGER) as u64);
    let (trapdoor, found) = open(&folder, keep).await?;
    found.torn.iter().for_each(|name| warn!(target: "trapdoor", "{name} was torn and is left out"));
    let mut texts = Texts::open(TEXTS);
    found.entry.iter().for_each(|e| texts.hold(e.value.as_bytes()));
    let seeds: Vec<String> = told.seeds.iter().map(|s| told.inner_of(s)).collect();
    let window = notchspool::units::Micros(window.0 + KEPT_LONGER);
    let opening = Opening {
        own: told.inner(),
        zone: told.zone.clone(),
        counted: told.counted,
        tolerate: told.tolerate,
        life,
        first_start: told.first_start,
        seeds: seeds.clone(),
        window,
    };
    let (office, acts) = Office::open(opening, found, clock.now());
    let (jobs, todo) = std::sync::mpsc::channel();
    let (done, mut saved) = mpsc::unbounded_channel();
    std::thread::Builder::new()
        .name("trapdoor".into())
        .stack_size(256 << 10)
        .spawn(move || disk(trapdoor, todo, done))?;
    let inner = TcpListener::bind(told.inner()).await?;
    let outer = TcpListener::bind(control).await?;
    let house = Rc::new(House {
        office: RefCell::new(office),
        clock,
        control,
        life,
        ropes: RefCell::default(),
        next: std::cell::Cell::new(1),
        disk: jobs,
        calls: RefCell::default(),
        dialed: RefCell::default(),
        told: RefCell::new(told),
        texts: RefCell::new(texts),
    });
    house.act(acts);
    // Whoever is known there tells of the set, though all that this one knew may be gone by now.
    seeds.iter().for_each(|s| house.dial(s.clone()));
    {
        let told = house.told.borrow();
        info!(target: "prompter", "{} listens at {} and {control}", told.node, told.inner());
    }

    let (mesh, conns) = (house.clone(), Rc::new(std::cell::Cell::new(0usize)));
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = inner.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            if mesh.ropes.borrow().len() >= MOST_CONNS {
                continue;
            }
            rope::tune(&stream);
            let (house, conn, rope) = (mesh.clone(), mesh.number(), rope::Rope::default());
            house.ropes.borrow_mut().insert(conn, rope.clone());
            tokio::task::spawn_local(async move {
                let end = house.carry(stream, conn, rope).await;
                debug!(target: "prompter", "a connection ends: {end}");
            });
        }
    });
    let front = house.clone();
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _)) = outer.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            if conns.get() >= MOST_CONNS {
                continue;
            }
            conns.set(conns.get() + 1);
            let (house, conns) = (front.clone(), conns.clone());
            tokio::task::spawn_local(async move {
                let _ = stream.set_nodelay(true);
                let service = hyper::service::service_fn(move |r| house.clone().call(r));
                let mut http = hyper::server::conn::http1::Builder::new();
                http.timer(TokioTimer::new())
                    .header_read_timeout(Duration::from_secs(20))
                    .max_buf_size(64 << 10);
                // An operator that leaves early is no fault of ours.
                let _ = http.serve_connection(TokioIo::new(stream), service).await;
                conns.set(conns.get() - 1);
            });
        }
    });
    let disk_side = house.clone();
    tokio::task::spawn_local(async move {
        while let Some((number, ok)) = saved.recv().await {
            let acts = disk_side.office.borrow_mut().saved(disk_side.clock.now(), number, ok);
            disk_side.act(acts);
        }
    });
    let ticks = house.clone();
    tokio::task::spawn_local(async move {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let acts = ticks.office.borrow_mut().wake(ticks.clock.now());
            ticks.act(acts);
        }
    });
    while signals.next().await == Signalled::Reread {
        house.reread(&file);
    }
    info!(target: "prompter", "ends on SIGTERM");
    // Calls in hand get their answers, then the process ends; what others lack they ask elsewhere.
    // What it holds is handed over before that, as far as the grace allows.
    let grace = house.told.borrow().bounds.grace;
    let until = house.clock.now() + grace.times(LEAVES);
    let acts = house.office.borrow_mut().leave(house.clock.now(), until);
    house.act(acts);
    for step in 0.. {
        let calls = !house.calls.borrow().is_empty() && step < 20;
        if !calls && house.office.borrow().left(house.clock.now()) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// A disk that refuses at first, full or slow, is tried again: without it there is nothing to do.
async fn open(
    folder: &Path,
    keep: Duration,
) -> Result<(Trapdoor, notchspool_storage::Found), Box<dyn std::error::Error>> {
    let mut tries = 0;
    loop {
        match Trapdoor::open(folder, keep) {
            Ok(opened) => return Ok(opened),
            Err(e) if tries < 600 => {
                tries += 1;
                warn!(target: "trapdoor", "can't open the folder: {e}");
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            Err(e) => return Err(e.into()),
        }
    }
}
