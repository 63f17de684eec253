//! Names of zones are bounded.
use std::collections::BTreeSet;

use notchspool::units::{BackendId, ZoneId};
use notchspool_agent::state::endpoint_list::{MAX_NAMES, bounded_zone_id};

#[test]
fn ever_new_zones_fill_nothing_and_are_never_taken_for_one() {
    let mut zones = Vec::new();
    let ids: Vec<ZoneId> = (0..2 * MAX_NAMES as u32)
        .map(|n| bounded_zone_id(&mut zones, &format!("z{n}"), BackendId(n)))
        .collect();
    assert_eq!(zones.len(), MAX_NAMES);
    assert_eq!(ids.iter().collect::<BTreeSet<_>>().len(), ids.len());
    assert_eq!(bounded_zone_id(&mut zones, "z7", BackendId(9)), ZoneId(7), "what is known keeps its number");
}
