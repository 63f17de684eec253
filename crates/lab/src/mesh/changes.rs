//! Hundreds of changes of a large configuration: three whole offices with their true disks, and one proxy, in virtual time. What stays on the disk,
//! how long a start takes, what goes to a peer and to a proxy for a change, and how one that was away catches up.
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use notchspool::units::Micros;
use notchspool_control_plane::replica::{Effect, Replica, ReplicaOptions, Tolerance};
use notchspool_mesh_protocol::text_transfer::{Incoming, TextStore};
use notchspool_mesh_protocol::{Hello, Payload, WatchEndpoints};
use notchspool_storage::Storage;

use super::player::routes;

const WINDOW: Duration = Duration::from_secs(62);
const CORES: usize = 3;
/// The proxy's place among the ends.
const PROXY: usize = CORES;
/// Nothing takes longer, in virtual time.
const PATIENCE: Micros = Micros::ms(20_000);

/// How one that was away came back.
#[derive(Clone, Debug)]
pub struct Return {
    /// Changes that it missed; none: it came with an empty disk.
    pub away: Option<u64>,
    /// Virtual time until it held the newest, and voted.
    pub caught_up: Micros,
    pub bytes: u64,
    /// Reading the disk and opening the office, by this machine's clock.
    pub start: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// The largest body.
    pub body: usize,
    /// On the fullest of the disks, ever.
    pub disk_bytes: u64,
    pub disk_files: usize,
    /// Bytes of texts that a replica held at most.
    pub texts: usize,
    /// Bytes sent for a change on average, after the first: to one other replica, to the proxy.
    pub to_peer: f64,
    pub to_proxy: f64,
    pub refused: u64,
    pub returns: Vec<Return>,
}

struct Core {
    replica: Option<Replica>,
    storage: Option<Storage>,
    texts: TextStore,
    folder: PathBuf,
}

struct Ground {
    now: Micros,
    starts: u64,
    cores: Vec<Core>,
    proxy: TextStore,
    proxy_has: u64,
    /// From whom, to whom, in order.
    way: VecDeque<(usize, usize, Payload)>,
    sent: Vec<Vec<u64>>,
    replies: Vec<(u64, u16)>,
    body: usize,
}

/// The connection of one end to another, as its office numbers it: those that it opened, and those that it took.
fn conn(other: usize, opened: bool) -> u64 {
    100 + other as u64 * 2 + u64::from(opened)
}

fn address(at: usize) -> String {
    format!("10.0.0.{}:1", at + 1)
}

fn size(what: &Payload) -> u64 {
    let mut out = bytes::BytesMut::new();
    notchspool_mesh_protocol::encode(what.clone(), &mut out);
    out.len() as u64
}

impl Ground {
    fn start(&mut self, at: usize, first: bool) -> Result<Duration, String> {
        let began = Instant::now();
        let (storage, found) = Storage::open(&self.cores[at].folder, WINDOW).map_err(|e| e.to_string())?;
        let mut texts = TextStore::new(4);
        found.accepted.iter().for_each(|e| texts.hold(e.value.as_bytes()));
        self.starts += 1;
        let seeds: Vec<String> = (0..CORES).map(address).collect();
        let window = Micros(WINDOW.as_micros() as i64);
        let opening = ReplicaOptions {
            address: address(at),
            zone: "a".into(),
            counted: true,
            tolerate: Tolerance { machines: 1, zones: 0 },
            boot_id: self.starts * 7919,
            first_start: first,
            seeds,
            claim_window: window,
        };
        let (replica, acts) = Replica::open(opening, found, self.now);
        let took = began.elapsed();
        let core = &mut self.cores[at];
        (core.replica, core.storage, core.texts) = (Some(replica), Some(storage), texts);
        self.act(at, acts)?;
        for other in (0..CORES).filter(|o| *o != at) {
            if self.cores[other].replica.is_some() {
                self.dial(at, other)?;
                self.dial(other, at)?;
            }
        }
        if at == 0 {
            self.greet(PROXY, 0, 1);
            let watch = Payload::WatchEndpoints(WatchEndpoints { version: 0, numbered_by: 0 });
            self.send(PROXY, 0, true, watch);
        }
        Ok(took)
    }

    fn greet(&mut self, from: usize, to: usize, role: i32) {
        let replica = self.cores.get(from).and_then(|c| c.replica.as_ref());
        let incarnation = replica.map_or(0, Replica::incarnation);
        let hello = Hello { role, address: address(from), incarnation, counted: true, ..Hello::default() };
        let hello = Payload::Hello(hello);
        self.send(from, to, true, hello);
    }

    fn dial(&mut self, from: usize, to: usize) -> Result<(), String> {
        self.greet(from, to, 2);
        let now = self.now;
        let acts =
            self.cores[from].replica.as_mut().map(|o| o.on_connected(now, conn(to, true), &address(to)));
        self.act(from, acts.unwrap_or_default())
    }

    fn stop(&mut self, at: usize) {
        (self.cores[at].replica, self.cores[at].storage) = (None, None);
        self.way.retain(|w| w.0 != at && w.1 != at);
        for other in 0..CORES {
            for opened in [true, false] {
                let conn = conn(at, opened);
                self.cores[other].replica.iter_mut().for_each(|o| o.on_closed(conn));
                self.cores[other].texts.on_closed(conn);
            }
        }
    }

    fn texts(&mut self, at: usize) -> &mut TextStore {
        if at == PROXY { &mut self.proxy } else { &mut self.cores[at].texts }
    }

    /// `opened`: on the connection that the sender opened. The other end knows it as one that it took.
    fn send(&mut self, from: usize, to: usize, opened: bool, what: Payload) {
        let what = self.texts(from).outgoing(conn(to, opened), what);
        self.sent[from][to] += size(&what);
        // The low bit of the place says whose connection it is.
        self.way.push_back((from * 2 + usize::from(opened), to, what));
    }

    fn act(&mut self, at: usize, acts: Vec<Effect>) -> Result<(), String> {
        for act in acts {
            match act {
                Effect::Send(conn, what) => {
                    let (to, opened) = ((conn as usize - 100) / 2, conn % 2 == 1);
                    self.send(at, to, opened, what);
                }
                Effect::Write { id: number, batch: writes } => {
                    let core = &mut self.cores[at];
                    let written = core.storage.as_mut().map(|t| t.write(&writes));
                    written.unwrap_or(Ok(())).map_err(|e| e.to_string())?;
                    if number > 0 {
                        let now = self.now;
                        let acts = core.replica.as_mut().map(|o| o.on_written(now, number, true));
                        self.act(at, acts.unwrap_or_default())?;
                    }
                }
                Effect::Reply { call: id, status, .. } => self.replies.push((id, status)),
                Effect::Connect(_) | Effect::Log(_) => {}
            }
        }
        Ok(())
    }

    /// One millisecond: all that is on its way arrives.
    fn step(&mut self) -> Result<(), String> {
        self.now = self.now + Micros::ms(1);
        let now = self.now;
        for (from, to, what) in std::mem::take(&mut self.way) {
            let (from, opened) = (from / 2, from % 2 == 1);
            let conn = conn(from, !opened);
            let what = match self.texts(to).incoming(conn, what) {
                Incoming::Message(what) => what,
                Incoming::Reply(back) => {
                    self.send(to, from, !opened, back);
                    continue;
                }
                Incoming::Nothing => continue,
            };
            if to == PROXY {
                if let Payload::ConfigUpdate(word) = what {
                    let same = routes_of(&word.body) == Some(word.version);
                    self.proxy_has = if same { word.version } else { return Err("another body".into()) };
                }
                continue;
            }
            let acts = self.cores[to].replica.as_mut().map(|o| o.on_message(now, conn, what));
            self.act(to, acts.unwrap_or_default())?;
        }
        if (now.0 / 1_000) % 50 == 0 {
            for at in 0..CORES {
                let acts = self.cores[at].replica.as_mut().map(|o| o.tick(now));
                self.act(at, acts.unwrap_or_default())?;
            }
        }
        Ok(())
    }

    fn until(&mut self, what: &str, done: impl Fn(&Ground) -> bool) -> Result<Micros, String> {
        let began = self.now;
        while !done(self) {
            self.step()?;
            if self.now - began > PATIENCE {
                return Err(format!("not within {PATIENCE:?}: {what}"));
            }
        }
        Ok(self.now - began)
    }

    /// One change, put at a core that runs, acknowledged and held by all that run.
    fn change(&mut self, version: u64, count: u64) -> Result<(), String> {
        let at =
            if self.cores[2].replica.is_some() { version as usize % CORES } else { version as usize % 2 };
        let (body, now) = (routes(version, count), self.now);
        self.body = self.body.max(body.len());
        let acts = self.cores[at].replica.as_mut().map(|o| o.replace_config(now, version, body.as_bytes()));
        self.act(at, acts.unwrap_or_default())?;
        self.until(&format!("version {version}"), |g| {
            let held = |c: &Core| {
                c.replica.as_ref().is_none_or(|o| o.chosen_config().is_some_and(|h| h.version == version))
            };
            g.replies.contains(&(version, 200)) && g.cores.iter().all(held) && g.proxy_has == version
        })?;
        self.replies.clear();
        Ok(())
    }

    fn disk(&self, figures: &mut Figures) {
        for core in &self.cores {
            let (bytes, files) = weigh(&core.folder);
            figures.disk_bytes = figures.disk_bytes.max(bytes);
            figures.disk_files = figures.disk_files.max(files);
            figures.texts = figures.texts.max(core.texts.size());
        }
    }

    fn back(&mut self, away: Option<u64>, newest: u64) -> Result<Return, String> {
        let before = self.sent[0][2] + self.sent[1][2];
        let start = self.start(2, false)?;
        let caught_up = self.until("it catches up", |g| {
            let replica = g.cores[2].replica.as_ref();
            replica.is_some_and(|o| o.is_voting() && o.chosen_config().is_some_and(|h| h.version == newest))
        })?;
        Ok(Return { away, caught_up, bytes: self.sent[0][2] + self.sent[1][2] - before, start })
    }
}

/// The version of a body that is as it was sent.
fn routes_of(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let version = text.strip_prefix(r#"{"version":"#)?.split_once(',')?.0.parse().ok()?;
    let count = text.matches(r#""r-"#).count() as u64;
    (text == routes(version, count)).then_some(version)
}

fn weigh(folder: &Path) -> (u64, usize) {
    let Ok(entries) = std::fs::read_dir(folder) else { return (0, 0) };
    entries.flatten().fold((0, 0), |(bytes, files), entry| match entry.metadata() {
        Ok(meta) if meta.is_dir() => {
            let (b, f) = weigh(&entry.path());
            (bytes + b, files + f)
        }
        Ok(meta) => (bytes + meta.len(), files + 1),
        Err(_) => (bytes, files),
    })
}

/// So many changes of so many routes, in folders below this one. One replica is away for the last 1, 10 and 100 and a third of them, then comes with
/// an empty disk.
pub fn changes(count: u64, route_count: u64, folder: &Path) -> Result<Figures, String> {
    let core = |at: usize| Core {
        replica: None,
        storage: None,
        texts: TextStore::new(4),
        folder: folder.join(format!("core-{}", at + 1)),
    };
    let mut ground = Ground {
        now: Micros(1),
        starts: 0,
        cores: (0..CORES).map(core).collect(),
        proxy: TextStore::new(2),
        proxy_has: 0,
        way: VecDeque::new(),
        sent: vec![vec![0; CORES + 1]; CORES + 1],
        replies: Vec::new(),
        body: 0,
    };
    for at in 0..CORES {
        ground.start(at, true)?;
    }
    ground
        .until("all vote", |g| g.cores.iter().all(|c| c.replica.as_ref().is_some_and(Replica::is_voting)))?;
    let mut figures = Figures::default();
    ground.change(1, route_count)?;
    let away: Vec<u64> = [1, 10, 100, count / 3].into_iter().filter(|n| *n > 0 && *n <= count / 3).collect();
    let plain = count - 1 - away.iter().sum::<u64>().min(count - 1);
    let before = (ground.sent[0][1] + ground.sent[1][0], ground.sent[0][PROXY]);
    let mut version = 1;
    for _ in 0..plain {
        version += 1;
        ground.change(version, route_count)?;
        if version % 20 == 0 {
            ground.disk(&mut figures);
        }
    }
    let changes = plain.max(1) as f64;
    figures.to_peer = (ground.sent[0][1] + ground.sent[1][0] - before.0) as f64 / changes;
    figures.to_proxy = (ground.sent[0][PROXY] - before.1) as f64 / changes;
    for n in away {
        ground.stop(2);
        for _ in 0..n {
            version += 1;
            ground.change(version, route_count)?;
        }
        let back = ground.back(Some(n), version)?;
        figures.returns.push(back);
        ground.disk(&mut figures);
    }
    ground.stop(2);
    std::fs::remove_dir_all(&ground.cores[2].folder).map_err(|e| e.to_string())?;
    let back = ground.back(None, version)?;
    figures.returns.push(back);
    ground.disk(&mut figures);
    figures.body = ground.body;
    figures.refused =
        ground.cores.iter().map(|c| c.texts.counters.rejected).sum::<u64>() + ground.proxy.counters.rejected;
    Ok(figures)
}
