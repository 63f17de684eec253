//! Quotas of holders in a shared pool, decided without I/O.
#![warn(missing_docs)]

pub mod quota_pool;
