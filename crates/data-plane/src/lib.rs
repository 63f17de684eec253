//! The data plane of the mesh, in every proxy.
//!
//! Decisions without I/O: [`attempts`] (what becomes of a client's request after each attempt), [`peer_exchange`] (what is open between two
//! proxies), [`keyed_operation`] (a key beside its backend), [`backend_connection`] (what is open at the backend), [`admission`] (what may begin
//! there, with [`kind_floor`]), [`retry_budget`], [`service_balancer`] (the decision module for one service), [`stall_detector`], [`watched_replica`],
//! [`shutdown`] (the end of a proxy in order), [`event_log`] (what is said of single requests).
//!
//! Parts that own state: [`context`] (identity, settings, clock, counters), [`config_store`], [`services`] (endpoint list and balancers),
//! [`local_backend`], [`running_requests`], [`link_load`], [`body_budget`] (memory for bodies, which are kept as [`byte_blocks`]), [`replicas`] and [`claim_client`] (the control
//! plane as it is known here).
//!
//! The way of a request: [`outbound`] (accept, with [`body_reader`], route, pick, attempt, retry or answer), [`peer_connections`] to the proxy beside the backend,
//! there [`peer_server`] (with [`response_parts`]), [`inbound`] (admit, with [`backend_queue`] and [`response_cutoff`]) and [`backend_exchange`] (with [`answer_parser`], [`answer_body`], [`kept_body`] and [`chunk_framing`]). [`control_client`] carries the connections to the replicas,
//! [`local_api`] answers the platform and the backend, [`proxy`] puts the parts together, [`run`] is the process.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod admission;
pub mod answer_body;
pub mod answer_parser;
pub mod attempts;
pub mod backend_connection;
pub mod backend_exchange;
pub mod backend_pool;
pub mod backend_queue;
pub mod body_budget;
pub mod body_pipe;
pub mod body_reader;
pub mod byte_blocks;
pub mod chunk_framing;
pub mod claim_client;
pub mod client_response;
pub mod config_store;
pub mod context;
pub mod control_client;
pub mod event_log;
pub mod headers;
pub mod heartbeat;
pub mod inbound;
pub mod kept_body;
pub mod keyed_operation;
pub mod kind_floor;
pub mod link_load;
pub mod local_api;
pub mod local_backend;
pub mod outbound;
pub mod peer_connections;
pub mod peer_exchange;
pub mod peer_link;
pub mod peer_server;
pub mod proxy;
pub mod replicas;
pub mod report_confirmation;
pub mod request_body;
pub mod response_cutoff;
pub mod response_parts;
pub mod retry_budget;
pub mod run;
pub mod running_requests;
pub mod service_balancer;
pub mod services;
pub mod shutdown;
pub mod stall_detector;
pub mod watched_replica;
pub mod work_kind;
