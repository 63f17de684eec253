//! The operator's configurations of the mesh, without I/O.
//!
//! [`route_config`] checks one configuration and looks routes up by host and path. [`proposer`] agrees on the configuration that is in
//! force, by one register among the voters (`notchspool_consensus`); [`register`] is the value of that register, which only ever moves to
//! a higher version and keeps one body for each version, compared by [`digest`].
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod digest;
mod parse;
pub mod proposer;
pub mod register;
pub mod route_config;
