//! Claims of idempotency keys.
use prost::Message;

/// Who claims a key: a request of one run of a proxy.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct Ticket {
    /// The boot id of the proxy that took the request from its client.
    #[prost(uint64, tag = "1")]
    pub boot_id: u64,
    /// That proxy's number for the request.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Which of the backends it is tried at, one after the other.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
}

/// Claims a key for a ticket.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// Its number on this connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// For which request.
    #[prost(message, optional, tag = "3")]
    pub ticket: Option<Ticket>,
    /// The proxy that claims it and will hold its response, `ip:port`.
    #[prost(string, tag = "4")]
    pub holder: String,
    /// That proxy's boot id.
    #[prost(uint64, tag = "5")]
    pub holder_boot_id: u64,
    /// The number of the voter set under which it is asked.
    #[prost(uint64, tag = "6")]
    pub set_number: u64,
    /// Milliseconds since it was granted, where a voter tells it to another.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

/// A voter's decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimVote {
    /// It does not vote now.
    Abstained = 0,
    /// Granted.
    Granted = 1,
    /// Another ticket has the key.
    HeldByOther = 2,
}

/// The reply to a [`Claim`].
#[derive(Clone, PartialEq, Message)]
pub struct ClaimReply {
    /// The claim's number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The decision.
    #[prost(enumeration = "ClaimVote", tag = "2")]
    pub vote: i32,
    /// The ticket that has the key.
    #[prost(message, optional, tag = "3")]
    pub ticket: Option<Ticket>,
    /// The proxy that holds it.
    #[prost(string, tag = "4")]
    pub holder: String,
    /// That proxy's boot id.
    #[prost(uint64, tag = "5")]
    pub holder_boot_id: u64,
    /// The voter's index in the set.
    #[prost(uint32, tag = "6")]
    pub voter: u32,
    /// The number of the voter set in which it counts.
    #[prost(uint64, tag = "8")]
    pub set_number: u64,
    /// It does not vote now because the set is being changed, or the asker knows another: to be asked again.
    #[prost(bool, tag = "9")]
    pub reconfiguring: bool,
}

/// Takes a claim back: its request has not run and never will.
#[derive(Clone, PartialEq, Message)]
pub struct WithdrawClaim {
    /// The idempotency key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Whose claim.
    #[prost(message, optional, tag = "2")]
    pub ticket: Option<Ticket>,
}
