//! How a large text travels beside its message (see `text_transfer`).
use bytes::Bytes;
use prost::Message;

use super::config::{ConfigUpdate, VoteReply, VoteRequest};
use super::membership::VoterState;

/// One message, exactly one of the first four, whose text stands beside it.
#[derive(Clone, PartialEq, Message)]
pub struct TextEnvelope {
    /// A vote request without its body.
    #[prost(message, optional, tag = "1")]
    pub vote_request: Option<VoteRequest>,
    /// A vote reply without its body.
    #[prost(message, optional, tag = "2")]
    pub vote_reply: Option<VoteReply>,
    /// A configuration without its body.
    #[prost(message, optional, tag = "3")]
    pub config_update: Option<ConfigUpdate>,
    /// A voter's state without its body.
    #[prost(message, optional, tag = "4")]
    pub voter_state: Option<VoterState>,
    /// The body.
    #[prost(message, optional, tag = "15")]
    pub text: Option<Text>,
}

/// A text: by its digest alone, as a difference, or in full.
#[derive(Clone, PartialEq, Message)]
pub struct Text {
    /// Digest of the text.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: Bytes,
    /// Digest of the text that `encoded` is a difference against; empty where it is the full text, compressed.
    #[prost(bytes = "bytes", tag = "2")]
    pub base: Bytes,
    /// The difference or the full text; empty where the digest is enough.
    #[prost(bytes = "bytes", tag = "3")]
    pub encoded: Bytes,
    /// Bytes of the text.
    #[prost(uint32, tag = "4")]
    pub length: u32,
    /// A short first line that stands in front of the text and is not part of the digest.
    #[prost(string, tag = "5")]
    pub short_prefix: String,
    /// The same where it is long: a text of its own.
    #[prost(message, optional, boxed, tag = "6")]
    pub long_prefix: Option<Box<Text>>,
}

/// A text that came could not be made out.
///
/// Nothing is to be taken as held by the speaker any more, and this version (0 where none) is asked for.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct MissingText {
    /// The version of the configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}
