//! The operator's file: listeners, pools, schemes, routes. `form` is how it is written, `read` what it comes to.
pub mod form;
mod read;

use std::net::SocketAddr;
use std::path::PathBuf;

use notchspool::units::{Micros, Policy, RequestClass};
use notchspool_routes::table::Rule;

pub use read::read;

/// All that one file says, in order, with every name resolved.
#[derive(Clone, Debug)]
pub struct House {
    pub name: String,
    pub zones: Vec<String>,
    /// Of chance; none: of the clock at start.
    pub seed: Option<u64>,
    /// Where operators call.
    pub management: Option<SocketAddr>,
    pub memory_mb: usize,
    pub descriptors: usize,
    pub doors: Vec<Door>,
    pub pools: Vec<Pool>,
    pub schemes: Vec<Row>,
    pub routes: Vec<Route>,
    pub tenants: Option<Tenants>,
    pub fleet: Option<Fleet>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Door {
    pub name: String,
    pub at: Place,
    pub protocol: Protocol,
}

pub use form::Protocol;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    Tcp(SocketAddr),
    Unix(PathBuf),
}

#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    pub terms: Policy,
    pub members: Vec<Member>,
    pub protocol: Protocol,
    /// Followed instead of members that are written down.
    pub register: Option<SocketAddr>,
    pub connect_within: Micros,
    pub idle_close: Micros,
    /// Guaranteed part of the agent's txns in hand, and weight when the rest is lent.
    pub part: f64,
    pub weight: f64,
    pub backup: Option<usize>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub name: String,
    pub at: SocketAddr,
    pub zone: String,
    pub cell: i64,
    pub size: f64,
}

/// A scheme: what the module reads, and what only the front does.
#[derive(Clone, Debug)]
pub struct Row {
    pub name: String,
    pub scheme: RequestClass,
    pub expiry: Micros,
    /// The header that carries a reference, in small letters.
    pub reference: Option<String>,
}

#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub rule: Rule,
    pub scheme: usize,
    /// Places of pools, with their shares.
    pub pools: Vec<(usize, f64)>,
    pub sticky: Sticky,
    /// The header that tells an expiry in milliseconds; else, and at most, the fixed one.
    pub expiry_header: Option<String>,
    pub expiry: Micros,
    pub add: Vec<(String, String)>,
    pub remove: Vec<String>,
    /// Postings for each txn, over all pools.
    pub multiple: f64,
}

/// What keeps a client's requests at one of several pools.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sticky {
    Nothing,
    Header(String),
    Path,
    Client,
}

#[derive(Clone, Debug)]
pub struct Tenants {
    pub header: String,
    pub shares: Vec<(String, f64)>,
}
/// All who name themselves otherwise, or not at all, are one tenant.
pub const OTHERS: &str = "(others)";

/// The fleet an agent belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    pub name: String,
    pub keepers: Vec<SocketAddr>,
    pub state: PathBuf,
    /// The agent's zone, by its name.
    pub zone: String,
}
