//! What two processes tell each other when they meet.
use bytes::Bytes;
use prost::Message;

use super::endpoint::Endpoint;
use super::membership::VoterSet;

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Not told.
    Unknown = 0,
    /// The data plane beside a backend.
    Proxy = 1,
    /// A replica of the control plane.
    ControlPlane = 2,
}

/// First on each connection: who speaks.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The machine's name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// One run of the process, drawn at its start.
    #[prost(uint64, tag = "2")]
    pub boot_id: u64,
    /// The machine's zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Where it listens for such connections, `ip:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// What it is.
    #[prost(enumeration = "Role", tag = "5")]
    pub role: i32,
    /// Of a replica: the incarnation of its disk.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Of a replica: its loss counts against what the site tolerates, so that it may become a voter.
    #[prost(bool, tag = "7")]
    pub counted: bool,
    /// Of a proxy: it asks for bodies of requests ([`super::exchange::Request::remote_body`]).
    #[prost(bool, tag = "8")]
    pub asks_for_bodies: bool,
    /// Headers of one request that it takes at most; 0 in earlier builds, which take [`crate::MIN_HEADERS`].
    #[prost(uint32, tag = "9")]
    pub max_headers: u32,
    /// Digests of the texts that it holds, the newest last.
    #[prost(bytes = "bytes", repeated, tag = "15")]
    pub text_digests: Vec<Bytes>,
}

/// A replica's answer to a hello, told again when its voter set changes.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// Addresses of the voters, by index.
    #[prost(string, repeated, tag = "1")]
    pub voters: Vec<String>,
    /// The speaker's index among them; `u32::MAX` where it is none.
    #[prost(uint32, tag = "2")]
    pub own_position: u32,
    /// The highest version of the configuration that it knows to be chosen; 0 where it knows none.
    #[prost(uint64, tag = "3")]
    pub chosen_version: u64,
    /// It has compared that version with a majority since it was last cut off.
    #[prost(bool, tag = "4")]
    pub confirmed: bool,
    /// The speaker's zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// To a proxy: what was last known of the backend beside it.
    #[prost(message, optional, tag = "6")]
    pub recalled: Option<Endpoint>,
    /// Digests of the texts that it holds, the newest last.
    #[prost(bytes = "bytes", repeated, tag = "15")]
    pub text_digests: Vec<Bytes>,
    /// The voter set that it knows.
    #[prost(message, optional, tag = "7")]
    pub voter_set: Option<VoterSet>,
    /// The set before that one.
    #[prost(message, optional, tag = "8")]
    pub previous_set: Option<VoterSet>,
}

/// The speaker ends: nothing more is to be sent on this connection, and it is to be closed once all that is open on it is answered.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct GoAway {}

/// The speaker, which opened the connection, ends: what it has sent on it is cut off then. Requests that have not begun at the backend, and
/// whose responses would come later, are to be refused as not run.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CallerShutdown {
    /// Milliseconds until responses come too late, when it is sent.
    #[prost(uint32, tag = "1")]
    pub time_left_ms: u32,
}

/// A sign that a process lives, and the answer to one.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Ping {
    /// The answer carries the same.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}
