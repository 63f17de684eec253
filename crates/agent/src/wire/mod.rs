//! What is spoken: with the application, with backends, with discovery.
pub mod application;
pub mod backend;
pub mod caller;
mod chunks;
pub mod door;
pub mod fcgi;
pub mod gate;
pub mod link;
pub mod listing;
pub mod management;
pub mod order;
pub mod posting;
pub mod registry;
