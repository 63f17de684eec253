//! How the operator's file is written. Every field has a stated default; unknown ones are refused.
use std::collections::BTreeMap;

use serde::Deserialize;
use toml::Spanned;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    #[serde(default = "name")]
    pub name: String,
    /// The zone that the agent stands in.
    #[serde(default)]
    pub zone: String,
    pub seed: Option<u64>,
    /// Where operators call; none: nowhere.
    pub management: Option<Spanned<String>>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub listen: Vec<Spanned<Listen>>,
    #[serde(default)]
    pub pool: Vec<Spanned<Pool>>,
    #[serde(default)]
    pub scheme: Vec<Spanned<Scheme>>,
    #[serde(default)]
    pub route: Vec<Spanned<Route>>,
    pub tenants: Option<Tenants>,
    /// The fleet this agent belongs to; none: it is nobody's to order.
    pub fleet: Option<Fleet>,
}
fn name() -> String {
    "notchspool".into()
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub memory_mb: Spanned<usize>,
    pub descriptors: Spanned<usize>,
}
impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: bare(64), descriptors: bare(1024) }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    pub name: Spanned<String>,
    pub at: Option<Spanned<String>>,
    pub unix: Option<Spanned<String>>,
    #[serde(default)]
    pub protocol: Protocol,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    #[default]
    Http,
    Fastcgi,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub name: Spanned<String>,
    #[serde(default)]
    pub members: Vec<Spanned<Member>>,
    pub register: Option<Spanned<String>>,
    #[serde(default)]
    pub protocol: Protocol,
    /// Agents that share its backends.
    #[serde(default = "one")]
    pub agents: Spanned<u32>,
    #[serde(default = "two_seconds")]
    pub drain_grace_ms: Spanned<f64>,
    #[serde(default = "ten_seconds")]
    pub ask_within_ms: Spanned<f64>,
    #[serde(default = "three")]
    pub max_postings: Spanned<u32>,
    #[serde(default = "quarter")]
    pub connect_ms: Spanned<f64>,
    #[serde(default = "fifteen_seconds")]
    pub idle_close_ms: Spanned<f64>,
    #[serde(default)]
    pub probes: bool,
    /// The register's sizes are the size over 1 + txns held a core, and move with load.
    #[serde(default = "no")]
    pub live_weights: Spanned<bool>,
    /// Late answers cost all: no tenant's share may bring more strain.
    #[serde(default)]
    pub keeps_promises: bool,
    /// Txns a second that a tenant's share holds, over all agents; none: shares are not judged here.
    #[serde(default)]
    pub quotas: BTreeMap<Spanned<String>, Spanned<f64>>,
    /// What a client is told at the most, to come back; 0: it is not told.
    #[serde(default = "two_seconds")]
    pub retry_after_ms: Spanned<f64>,
    #[serde(default)]
    pub cold: Cold,
    #[serde(default)]
    pub part: Option<Spanned<f64>>,
    #[serde(default = "unit")]
    pub weight: Spanned<f64>,
    pub backup: Option<Spanned<String>>,
}
/// A value that stands in no file.
fn bare<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}
fn one() -> Spanned<u32> {
    bare(1)
}
fn no() -> Spanned<bool> {
    bare(false)
}
fn three() -> Spanned<u32> {
    bare(3)
}
fn unit() -> Spanned<f64> {
    bare(1.0)
}
fn quarter() -> Spanned<f64> {
    bare(250.0)
}
fn two_seconds() -> Spanned<f64> {
    bare(2_000.0)
}
fn ten_seconds() -> Spanned<f64> {
    bare(10_000.0)
}
fn fifteen_seconds() -> Spanned<f64> {
    bare(15_000.0)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    pub from: Spanned<f64>,
    pub warm_ms: Spanned<f64>,
    pub multiple: Spanned<f64>,
    pub within_ms: Spanned<f64>,
}
impl Default for Cold {
    fn default() -> Cold {
        Cold { from: bare(0.3), warm_ms: bare(8000.0), multiple: bare(3.0), within_ms: bare(1500.0) }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub at: Spanned<String>,
    pub name: Option<Spanned<String>>,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub cell: i64,
    #[serde(default = "unit")]
    pub size: Spanned<f64>,
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
    pub sla_ms: Spanned<f64>,
    pub expiry_ms: Spanned<f64>,
    /// Part of a txn's value that an answer after the SLA time still earns.
    #[serde(default = "unit")]
    pub overdue_value: Spanned<f64>,
    pub group: Option<Group>,
    pub window_ms: Option<Spanned<f64>>,
    pub reference: Option<Spanned<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub name: Spanned<String>,
    #[serde(default)]
    pub listen: Vec<Spanned<String>>,
    pub host: Option<Spanned<String>>,
    /// Exact, by segments where one is in braces.
    pub path: Option<Spanned<String>>,
    pub prefix: Option<Spanned<String>>,
    #[serde(default)]
    pub method: Vec<Spanned<String>>,
    #[serde(default)]
    pub header: BTreeMap<String, String>,
    pub scheme: Spanned<String>,
    pub pool: Option<Spanned<String>>,
    #[serde(default)]
    pub pools: BTreeMap<Spanned<String>, Spanned<f64>>,
    /// `header:NAME`, `path` or `client`.
    pub sticky: Option<Spanned<String>>,
    pub expiry_header: Option<String>,
    pub expiry_ms: Option<Spanned<f64>>,
    #[serde(default)]
    pub add: BTreeMap<String, String>,
    #[serde(default)]
    pub remove: Vec<String>,
    #[serde(default = "fifth")]
    pub multiple: Spanned<f64>,
}
fn fifth() -> Spanned<f64> {
    bare(1.2)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    pub header: String,
    pub shares: BTreeMap<String, Spanned<f64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub name: Spanned<String>,
    /// All keepers, in the same order as in their own files.
    pub keepers: Vec<Spanned<String>>,
    /// A folder of this agent's own, for what it has to know after a restart.
    pub state: Spanned<String>,
}
