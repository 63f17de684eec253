//! Which endpoints there are. No I/O; times are of a monotonic clock and handed in.
//!
//! [`heartbeats`] is the proxy's view of the backend beside it, [`recall`] what it takes from the replicas as it starts, [`departure_claim`] what of
//! that is on their disks; [`registry`] is what one control-plane replica gathers from the proxies, and numbers; [`endpoint_list`] is the list
//! that a proxy holds.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod departure_claim;
pub mod endpoint_list;
pub mod heartbeats;
pub mod recall;
pub mod registry;

use notchspool_mesh_protocol::{Endpoint, EndpointState};

/// Whether `new` replaces `old`, of the same instance.
///
/// An instance goes from ready to draining to left, and never back: what was said of that holds over its silence, the end of its proxy and
/// all that is said later. For the rest, the backend's own count of calls orders what is said of it, over all runs of its proxy.
pub fn supersedes(new: &Endpoint, old: &Endpoint) -> bool {
    match (old.state(), new.state()) {
        (EndpointState::Left, _) => false,
        (_, EndpointState::Left) => true,
        (EndpointState::Draining, EndpointState::Draining) => new.call_count > old.call_count,
        (EndpointState::Draining, _) => false,
        (_, EndpointState::Draining) => true,
        (before, now) => {
            new.call_count > old.call_count || (new.call_count == old.call_count && before != now)
        }
    }
}
