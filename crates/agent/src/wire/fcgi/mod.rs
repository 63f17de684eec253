//! `FastCGI` on both sides: `front` takes requests, `link` is one connection to a server, `peer` the actor of a backend.
pub mod front;
mod link;
pub mod peer;
