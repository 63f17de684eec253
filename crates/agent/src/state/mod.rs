//! The agent's state, which knows no protocol: the decision module with the requests in flight, the server list, the counters.
pub mod backend_ids;
pub mod balancer_actor;
pub mod bans;
pub mod body_budget;
pub mod body_stream;
pub mod counters;
pub mod endpoint_list;
pub mod handover;
pub mod learned_state;
pub mod list_checks;
pub mod list_row;
pub mod list_versions;
pub mod messages;
pub mod module_effects;
pub mod request;
