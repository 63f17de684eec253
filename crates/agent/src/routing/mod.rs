//! One agent, many services: pools with a decision module each, routes to them, and who may hold how much capacity. Built from the operator's file, and
//! built again from the next one while requests are in flight.
pub mod build;
pub mod capacity;
pub mod pool;
pub mod routes;
