//! What is spoken: with clients, with backends, with discovery, with operators.
//!
//! Client side: [`acceptor`] accepts, [`client_stream`] is one connection and [`client_connections`] all of them; [`crate::front`] takes
//! requests from there. Backend side: [`http_backend`] is the actor of one backend, [`attempt`] one sending to it,
//! [`backend_connection`] one connection. [`fastcgi`] speaks `FastCGI` on both sides.
pub mod acceptor;
pub mod answer;
pub mod answer_arrival;
pub mod answer_head;
pub mod attempt;
mod attempt_body;
pub mod attempt_progress;
pub mod backend_connection;
pub mod chunked_tracker;
pub mod client_connections;
pub mod client_stream;
pub mod connection_history;
pub mod fastcgi;
pub mod front_state;
pub mod http_backend;
pub mod http_client;
pub mod list_format;
pub mod management;
pub mod management_command;
pub mod registry_client;
pub mod request_body;
pub mod response;
