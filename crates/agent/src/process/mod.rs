//! The process: what it is configured with, how its parts are put together, signals, what two processes of one agent share.
pub mod ban_file;
pub mod fleet_commands;
pub mod inherited_listener;
pub mod platform_agent;
pub mod platform_config;
pub mod routed_agent;
pub mod serve;
pub mod shared_state;
pub mod signals;
