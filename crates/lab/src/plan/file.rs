//! The form of an experiment file. Each field has a default where one makes sense; unknown ones are refused.
//! Times are milliseconds or seconds as their names say, shares are parts of one.
use std::collections::BTreeMap;

use serde::Deserialize;
use toml::Spanned;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub title: String,
    #[serde(default)]
    pub about: String,
    #[serde(default = "one")]
    pub seed: u64,
    pub seconds: Spanned<f64>,
    #[serde(default)]
    pub fleet: Fleet,
    #[serde(default)]
    pub register: Register,
    #[serde(default)]
    pub terms: Terms,
    #[serde(default)]
    pub scheme: Vec<Spanned<Scheme>>,
    pub traffic: Spanned<Traffic>,
    #[serde(default)]
    pub burst: Vec<Spanned<Burst>>,
    #[serde(default)]
    pub fault: Vec<Spanned<Fault>>,
    #[serde(default)]
    pub arm: Vec<Spanned<Arm>>,
    #[serde(default)]
    pub must: Must,
}

fn one() -> u64 {
    1
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub zones: Spanned<Vec<String>>,
    pub backends: Spanned<usize>,
    pub agents: Spanned<usize>,
    /// The busiest agent has this many times the traffic of the quietest.
    pub uneven: Spanned<f64>,
    pub cores: Spanned<usize>,
    pub speed: Spanned<[f64; 2]>,
    /// What the register says of a backend's size; else cores times speed.
    pub size: Option<Spanned<f64>>,
    /// Postings that may wait at a backend.
    pub room: Spanned<usize>,
    pub cells: Spanned<usize>,
    /// Backends belong to pools in turn; only agents with routes know of more than one.
    pub pools: Spanned<usize>,
    /// Those whose backends speak `FastCGI`.
    pub fastcgi_pools: Vec<usize>,
    /// Requests at once on a connection, as these say.
    pub fastcgi_at_once: Spanned<usize>,
    pub choke: Option<Choke>,
    pub cold: Cold,
    pub drops_waiting: bool,
    pub link_work_ms: Spanned<f64>,
    pub report_ms: Spanned<[f64; 2]>,
    pub noise: Spanned<f64>,
    /// Limits that each agent is told.
    pub memory_mb: Spanned<u64>,
    pub sockets: Spanned<u64>,
}
impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            zones: bare(["a", "b", "c"].map(str::to_owned).to_vec()),
            backends: bare(40),
            agents: bare(6),
            uneven: bare(3.0),
            cores: bare(2),
            speed: bare([0.85, 1.5]),
            size: None,
            room: bare(100),
            cells: bare(4),
            pools: bare(1),
            fastcgi_pools: Vec::new(),
            fastcgi_at_once: bare(8),
            choke: None,
            cold: Cold::default(),
            drops_waiting: true,
            link_work_ms: bare(1.0),
            report_ms: bare([340.0, 1000.0]),
            noise: bare(0.05),
            memory_mb: bare(32),
            sockets: bare(256),
        }
    }
}

/// A value that stands in no file.
fn bare<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    pub waiting_per_core: f64,
    pub after_ms: f64,
    pub slower: f64,
    pub rest_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    pub from: f64,
    pub warm_ms: f64,
    pub multiple: f64,
    pub within_ms: f64,
}
impl Default for Cold {
    fn default() -> Cold {
        Cold { from: 0.3, warm_ms: 5000.0, multiple: 3.0, within_ms: 1500.0 }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Register {
    pub delay_ms: f64,
    /// Changes that it remembers; who is further behind gets the whole list.
    pub keep: usize,
}
impl Default for Register {
    fn default() -> Register {
        Register { delay_ms: 1000.0, keep: 256 }
    }
}

/// What the agents are told.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    pub drain_grace_ms: f64,
    pub ask_within_ms: f64,
    pub max_postings: usize,
    pub retry_after_ms: f64,
    pub connect_ms: f64,
    pub idle_close_ms: f64,
    pub probes: bool,
    pub cancel: bool,
}
impl Default for Terms {
    fn default() -> Terms {
        Terms {
            drain_grace_ms: 2000.0,
            ask_within_ms: 10_000.0,
            max_postings: 6,
            retry_after_ms: 2000.0,
            connect_ms: 250.0,
            idle_close_ms: 15_000.0,
            probes: false,
            cancel: true,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    Repeatable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scheme {
    pub name: Spanned<String>,
    pub kind: Kind,
    pub share: Spanned<f64>,
    pub work_ms: Spanned<[f64; 2]>,
    pub sla_ms: Spanned<f64>,
    pub expiry_ms: Spanned<f64>,
    #[serde(default = "unit")]
    pub value: f64,
    #[serde(default = "third")]
    pub overdue: f64,
    pub group: Option<Group>,
    pub window_ms: Option<Spanned<f64>>,
    /// The pool that serves it, by number.
    #[serde(default)]
    pub pool: usize,
}
fn unit() -> f64 {
    1.0
}
fn third() -> f64 {
    0.3
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Part of what the whole fleet can do.
    pub load: Option<Spanned<f64>>,
    /// Txns a second, instead.
    pub rate: Option<Spanned<f64>>,
    /// So many clients, each asking again as soon as it is answered, instead.
    pub clients: Option<Spanned<usize>>,
    /// How many orders these have in all.
    pub orders: Option<Spanned<usize>>,
    #[serde(default = "patience")]
    pub patience: Spanned<[f64; 2]>,
    #[serde(default)]
    pub leavers: f64,
    /// Part of the clients that speak `FastCGI`.
    #[serde(default)]
    pub fastcgi: f64,
    pub again: Option<Again>,
    #[serde(default = "tenants")]
    pub tenants: BTreeMap<String, f64>,
}
fn patience() -> Spanned<[f64; 2]> {
    bare([0.7, 1.0])
}
fn tenants() -> BTreeMap<String, f64> {
    [("north", 0.5), ("south", 0.35), ("west", 0.15)].map(|(n, s)| (n.to_owned(), s)).into()
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Again {
    pub most: u32,
    /// None: at once.
    pub wait_ms: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub from_s: f64,
    pub until_s: f64,
    pub times: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum IllName {
    Crash,
    Hang,
    Slow,
    Errors,
    Break,
    CutOff,
    Spoilt,
    HalfOpen,
    IdleForgotten,
    ZoneCut,
    Drain,
    RegisterOut,
    RegisterLate,
    RegisterSlow,
    RegisterEmpty,
    Removal,
    Kill,
    Restart,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    Before,
    Middle,
    After,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub ill: Spanned<IllName>,
    pub from_s: Spanned<f64>,
    pub until_s: Spanned<f64>,
    /// Whom it strikes: a part of them, by lot,
    pub of: Option<Spanned<f64>>,
    /// or these, by number,
    pub these: Option<Spanned<Vec<usize>>>,
    /// or a zone.
    pub zone: Option<Spanned<String>>,
    /// How many times slower.
    pub times: Option<Spanned<f64>>,
    /// Which part of the requests.
    pub share: Option<Spanned<f64>>,
    /// Which part of the errors had run.
    pub ran: Option<Spanned<f64>>,
    pub place: Option<Place>,
    pub by_ms: Option<Spanned<f64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    pub name: String,
    /// Another build's agent.
    pub agent: Option<String>,
    /// A plain policy: random, round-robin, least-out or peak-ewma.
    pub plain: Option<Spanned<String>>,
    /// The agent with routes, from an operator's file: `divided` room between pools, or `undivided`.
    pub routes: Option<Spanned<String>>,
    /// Settings that differ, by their path: `"contract/drainGraceMs" = 500`.
    #[serde(default)]
    pub settings: BTreeMap<String, toml::Value>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Must {
    /// Least service over the whole run.
    pub service: Option<f64>,
    /// Every fault is recovered from within this.
    pub recover_s: Option<f64>,
    /// Answers without service, with nothing out, after half of the time.
    pub held_back: Option<usize>,
    /// Most declined txns.
    pub declined: Option<usize>,
}
