//! One agent, many services: pools with a module each, routes to them, and who may hold how much. Built from the
//! operator's file, and built anew from the next one while txns are in hand.
pub mod build;
pub mod pool;
pub mod rooms;
pub mod state;
