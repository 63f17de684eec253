//! How an operator's file is written: its tables and fields with their defaults. Unknown fields are refused. What each field means stands in
//! `docs/configuration.md`; what it is read into, at the types of [`super`].
use std::collections::BTreeMap;

use serde::Deserialize;
use toml::Spanned;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    #[serde(default = "name")]
    pub(super) name: String,
    /// The zone that the agent stands in.
    #[serde(default)]
    pub(super) zone: String,
    pub(super) seed: Option<u64>,
    /// Where operators call; without it nowhere.
    pub(super) management: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) limits: Limits,
    #[serde(default)]
    pub(super) listen: Vec<Spanned<Listen>>,
    #[serde(default)]
    pub(super) pool: Vec<Spanned<Pool>>,
    #[serde(rename = "scheme", default)]
    pub(super) classes: Vec<Spanned<RequestClass>>,
    #[serde(default)]
    pub(super) route: Vec<Spanned<Route>>,
    pub(super) tenants: Option<Tenants>,
    /// The fleet that the agent belongs to; none: nobody commands it.
    pub(super) fleet: Option<Fleet>,
}
fn name() -> String {
    "notchspool".into()
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Limits {
    pub(super) memory_mb: Spanned<usize>,
    pub(super) descriptors: Spanned<usize>,
}
impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: unplaced(64), descriptors: unplaced(1024) }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Listen {
    pub(super) name: Spanned<String>,
    pub(super) at: Option<Spanned<String>>,
    pub(super) unix: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) protocol: Protocol,
}

/// What is spoken on a connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    /// HTTP/1.1.
    #[default]
    Http,
    /// FastCGI 1.0.
    Fastcgi,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Pool {
    pub(super) name: Spanned<String>,
    #[serde(default)]
    pub(super) members: Vec<Spanned<Member>>,
    pub(super) register: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) protocol: Protocol,
    /// Agents that share its backends.
    #[serde(default = "one")]
    pub(super) agents: Spanned<u32>,
    #[serde(default = "two_seconds")]
    pub(super) drain_grace_ms: Spanned<f64>,
    #[serde(default = "ten_seconds")]
    pub(super) ask_within_ms: Spanned<f64>,
    #[serde(rename = "max_postings", default = "three")]
    pub(super) max_attempts: Spanned<u32>,
    #[serde(default = "quarter")]
    pub(super) connect_ms: Spanned<f64>,
    #[serde(default = "fifteen_seconds")]
    pub(super) idle_close_ms: Spanned<f64>,
    #[serde(default)]
    pub(super) probes: bool,
    /// The registry's sizes are the size over 1 + requests in flight a core, and move with load.
    #[serde(default = "no")]
    pub(super) live_weights: Spanned<bool>,
    /// Late answers are worth nothing: no tenant's share may bring more load.
    #[serde(default)]
    pub(super) keeps_promises: bool,
    /// Requests a second of a tenant, over all agents; none: quotas are not enforced here.
    #[serde(default)]
    pub(super) quotas: BTreeMap<Spanned<String>, Spanned<f64>>,
    /// The longest `Retry-After` that a client is given; 0: none.
    #[serde(default = "two_seconds")]
    pub(super) retry_after_ms: Spanned<f64>,
    #[serde(default)]
    pub(super) cold: Cold,
    #[serde(default)]
    pub(super) part: Option<Spanned<f64>>,
    #[serde(default = "unit")]
    pub(super) weight: Spanned<f64>,
    pub(super) backup: Option<Spanned<String>>,
}
/// A default, which has no place in the file.
fn unplaced<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}
fn one() -> Spanned<u32> {
    unplaced(1)
}
fn no() -> Spanned<bool> {
    unplaced(false)
}
fn three() -> Spanned<u32> {
    unplaced(3)
}
fn unit() -> Spanned<f64> {
    unplaced(1.0)
}
fn quarter() -> Spanned<f64> {
    unplaced(250.0)
}
fn two_seconds() -> Spanned<f64> {
    unplaced(2_000.0)
}
fn ten_seconds() -> Spanned<f64> {
    unplaced(10_000.0)
}
fn fifteen_seconds() -> Spanned<f64> {
    unplaced(15_000.0)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Cold {
    pub(super) from: Spanned<f64>,
    pub(super) warm_ms: Spanned<f64>,
    pub(super) multiple: Spanned<f64>,
    pub(super) within_ms: Spanned<f64>,
}
impl Default for Cold {
    fn default() -> Cold {
        Cold {
            from: unplaced(0.3),
            warm_ms: unplaced(8000.0),
            multiple: unplaced(3.0),
            within_ms: unplaced(1500.0),
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Member {
    pub(super) at: Spanned<String>,
    pub(super) name: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) zone: String,
    #[serde(default)]
    pub(super) cell: i64,
    #[serde(default = "unit")]
    pub(super) size: Spanned<f64>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub(super) enum Kind {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "referenced")]
    Keyed,
    #[serde(rename = "once-only")]
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RequestClass {
    pub(super) name: Spanned<String>,
    pub(super) kind: Kind,
    #[serde(rename = "sla_ms")]
    pub(super) latency_target_ms: Spanned<f64>,
    pub(super) expiry_ms: Spanned<f64>,
    /// The part of a request's value that an answer after the latency target still has.
    #[serde(default = "unit")]
    pub(super) overdue_value: Spanned<f64>,
    pub(super) group: Option<Group>,
    pub(super) window_ms: Option<Spanned<f64>>,
    pub(super) reference: Option<Spanned<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Route {
    pub(super) name: Spanned<String>,
    #[serde(default)]
    pub(super) listen: Vec<Spanned<String>>,
    pub(super) host: Option<Spanned<String>>,
    /// Exact, by segments where one is in braces.
    pub(super) path: Option<Spanned<String>>,
    pub(super) prefix: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) method: Vec<Spanned<String>>,
    #[serde(default)]
    pub(super) header: BTreeMap<String, String>,
    #[serde(rename = "scheme")]
    pub(super) class: Spanned<String>,
    pub(super) pool: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) pools: BTreeMap<Spanned<String>, Spanned<f64>>,
    /// `header:NAME`, `path` or `client`.
    pub(super) sticky: Option<Spanned<String>>,
    pub(super) expiry_header: Option<String>,
    pub(super) expiry_ms: Option<Spanned<f64>>,
    #[serde(default)]
    pub(super) add: BTreeMap<String, String>,
    #[serde(default)]
    pub(super) remove: Vec<String>,
    #[serde(default = "fifth")]
    pub(super) multiple: Spanned<f64>,
}
fn fifth() -> Spanned<f64> {
    unplaced(1.2)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Tenants {
    pub(super) header: String,
    pub(super) shares: BTreeMap<String, Spanned<f64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Fleet {
    pub(super) name: Spanned<String>,
    /// All controllers, in the same order as in their own files.
    #[serde(rename = "keepers")]
    pub(super) controllers: Vec<Spanned<String>>,
    /// A folder of this agent's own, for what it has to know after a restart.
    pub(super) state: Spanned<String>,
}
