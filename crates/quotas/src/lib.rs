//! Quotas of holders in a shared pool, decided without I/O.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod quota_pool;
