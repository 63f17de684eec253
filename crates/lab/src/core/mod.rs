//! What the lab knows of the world: no socket, no clock; time and chance are handed in.
pub mod agreement;
pub mod auditor;
pub mod backend;
pub mod cold;
pub mod crowd;
pub mod fleet;
pub mod kit;
pub mod ledger;
pub mod memory;
pub mod notation;
pub mod register;
pub mod service;
pub mod timetable;
pub mod world;
