//! The messages, by concern.
pub mod claim;
pub mod config;
pub mod connection;
pub mod endpoint;
pub mod exchange;
pub mod membership;
pub mod snapshot;
pub mod text;
