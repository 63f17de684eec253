//! Backends that speak `FastCGI`: [`connection`] is one connection to a server, [`backend`] the actor of a backend.
pub mod backend;
pub mod connection;
