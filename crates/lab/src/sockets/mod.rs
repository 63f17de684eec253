//! The world on sockets: backends, register and clients on loopback in one process, agents as processes of their
//! own. One thread; everything is bounded by what the experiment names, and ends by itself.
pub mod agents;
pub mod backends;
pub mod clients;
pub mod drive;
pub mod fcgi;
pub mod house;
pub mod loopback;
pub mod registry;
pub mod stage;
pub mod trace_id;
