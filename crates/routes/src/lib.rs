//! Routes and pools, decided without I/O; time and randomness are handed in.
//!
//! [`route_table`] finds the route of a request by its [`route_rule`]s, [`weighted_pools`] the pool of a route that has several, [`failover`] says
//! when a backup pool steps in, [`retry_budget`] bounds what retries may cost a route.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod failover;
pub mod retry_budget;
pub mod route_rule;
pub mod route_table;
pub mod weighted_pools;
