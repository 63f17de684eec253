//! The decisions of a client-side load balancer, free of I/O.
//!
//! A host creates a [`balancer::Balancer`] with its [`units::Policy`], tells it of endpoint lists, load reports, requests and the
//! ends of attempts, and carries out what comes back through [`units::Effects`]. All chance comes from the seed: the same calls
//! give the same decisions.
#![warn(missing_docs, clippy::missing_errors_doc)]

mod backend_state;
pub mod balancer;
mod concurrency_limit;
mod concurrency_window;
mod endpoint_list;
pub mod histogram;
mod idle_connections;
mod outlier_detection;
mod probe_budget;
pub mod request;
mod selection;
mod send_rules;
pub mod stalled_answers;
pub mod state_transfer;
mod statistics;
pub mod tenant_rates;
mod timers;
pub mod units;
mod watch_backoff;
