//! Endpoints: which backends there are, and who was heard when.
use std::fmt;

use prost::Message;

/// The state of an endpoint. `Ready`, `Missing` and `Away` follow each other in any order; `Draining` and then `Left` are for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EndpointState {
    /// Not told.
    Unknown = 0,
    /// Takes requests.
    Ready = 1,
    /// Finishes what it has, takes nothing new.
    Draining = 2,
    /// The backend said that it leaves, or its proxy did.
    Left = 3,
    /// Its heartbeats stopped.
    Missing = 4,
    /// Its proxy restarts in order: nothing is to be sent there until the proxy is back.
    Away = 5,
}

impl fmt::Display for EndpointState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndpointState::Unknown => "unknown",
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Left => "left",
            EndpointState::Missing => "missing",
            EndpointState::Away => "away",
        })
    }
}

/// One backend as the proxy beside it knows it. `call_count` orders what is said of an instance, over all runs of its proxy.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Endpoint {
    /// The backend's id.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The proxy beside it, `ip:port`.
    #[prost(string, tag = "3")]
    pub proxy: String,
    /// The proxy's boot id.
    #[prost(uint64, tag = "4")]
    pub boot_id: u64,
    /// The number of this message in that run of the proxy.
    #[prost(uint64, tag = "5")]
    pub number: u64,
    /// The backend's zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Requests that it takes at once.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Its state.
    #[prost(enumeration = "EndpointState", tag = "8")]
    pub state: i32,
    /// Milliseconds for which it is still warming up, counted from this message.
    #[prost(uint32, tag = "9")]
    pub warmup_ms: u32,
    /// Where the backend listens.
    #[prost(string, tag = "10")]
    pub address: String,
    /// The backend's own count of its heartbeats and other calls.
    #[prost(uint64, tag = "11")]
    pub call_count: u64,
}

/// A backend on its way out, as it was acknowledged to it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DepartedInstance {
    /// The backend's id.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// `Draining` or `Left`.
    #[prost(enumeration = "EndpointState", tag = "2")]
    pub state: i32,
}

/// Replica to proxy, before its welcome and when it begins to vote: departures beside the proxy that are on the disk of the replica.
#[derive(Clone, PartialEq, Message)]
pub struct DepartureReport {
    /// Those that are in their window.
    #[prost(message, repeated, tag = "1")]
    pub departed: Vec<DepartedInstance>,
    /// These are all that it has granted: it votes, with all that its set has.
    #[prost(bool, tag = "2")]
    pub complete: bool,
}

/// Asks to be told of endpoints from now on.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct WatchEndpoints {
    /// The version held; 0 where none is.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The boot id of the replica that numbered it.
    #[prost(uint64, tag = "2")]
    pub numbered_by: u64,
}

/// Ends a watch.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct UnwatchEndpoints {}

/// Endpoints: all, or those that changed since the version that the receiver has.
#[derive(Clone, PartialEq, Message)]
pub struct EndpointUpdate {
    /// The version that the receiver has from now on.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// All endpoints are listed: those that are not are gone.
    #[prost(bool, tag = "2")]
    pub complete: bool,
    /// The endpoints.
    #[prost(message, repeated, tag = "3")]
    pub endpoints: Vec<Endpoint>,
    /// The boot id of the replica that numbered it.
    #[prost(uint64, tag = "4")]
    pub numbered_by: u64,
}

/// How long ago somebody was heard.
#[derive(Clone, PartialEq, Message)]
pub struct Age {
    /// The instance of a proxy, or the address of a voter.
    #[prost(string, tag = "1")]
    pub subject: String,
    /// Milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Whom a replica has heard when, and its own state: second opinions between replicas.
#[derive(Clone, PartialEq, Message)]
pub struct LivenessReport {
    /// The version of the speaker's endpoint registry.
    #[prost(uint64, tag = "1")]
    pub registry_version: u64,
    /// How long ago it heard each proxy, by instance.
    #[prost(message, repeated, tag = "2")]
    pub proxies: Vec<Age>,
    /// How long ago it heard each other voter, by address.
    #[prost(message, repeated, tag = "3")]
    pub voters: Vec<Age>,
    /// The speaker ends soon.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// The speaker's loss counts against what the site tolerates.
    #[prost(bool, tag = "5")]
    pub counted: bool,
    /// The incarnation of the speaker's disk.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// The number of the voter set that it knows.
    #[prost(uint64, tag = "7")]
    pub set_number: u64,
    /// The number of the set in which it votes; 0 where in none.
    #[prost(uint64, tag = "8")]
    pub installed_set: u64,
}
