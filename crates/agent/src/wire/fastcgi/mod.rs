//! `FastCGI` on both sides: [`front`] takes requests of clients, [`connection`] is one connection to a server, [`backend`] the actor of a backend.
pub mod backend;
pub mod connection;
pub mod front;
