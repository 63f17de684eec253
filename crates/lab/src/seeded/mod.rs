//! The second driver: the same fleet, register, clients and faults, but nothing waits. Every agent is a real `Balancer`, time goes
//! from one event to the next, all chance comes from the seed: the same plan twice gives the same books to the last line.
pub mod day;
pub mod host;

pub use day::play;
pub use host::Breaks;
