//! Asks a cluster which controller is the owner.
use std::time::Duration;

use notchspool_fleet_protocol::Body;
use notchspool_fleet_protocol::client::FleetClient;

use super::topology::Cluster;

/// How long one controller is asked whether it is the owner.
const STATUS_TIMEOUT: Duration = Duration::from_millis(200);

/// The place of the owner, and its token.
pub fn current_owner(cluster: &Cluster) -> Option<(usize, u64)> {
    (0..cluster.controllers.len()).find_map(|place| {
        let address = cluster.controller_address(place);
        let answer =
            FleetClient::new("lab", &[address], "ground").ask_one(address, &Body::GetStatus, STATUS_TIMEOUT);
        match answer {
            Ok(Body::Status(status)) if status.is_owner => {
                Some((place, status.owner.map_or(0, |owner| owner.token.0)))
            }
            _ => None,
        }
    })
}
