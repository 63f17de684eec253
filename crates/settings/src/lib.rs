//! Reading what an agent is configured with.
//!
//! [`platform_settings`]: the settings object of the platform (JSON), which the agent and the simulator's host read alike. [`agent_file`]: the file of
//! an operator (TOML), with all mistakes at once, each with its place. [`load_report`]: what backends say of their load.
//!
//! Names of fields, and the words in mistakes, are those of the operators' pages and of `docs/configuration.md`.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod agent_file;
pub mod json_fields;
pub mod load_report;
pub mod mistake;
pub mod own_address;
pub mod platform_settings;
pub mod zones;
