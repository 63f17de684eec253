//! Names of zones, and of whatever else is numbered in the order in which it is met.
use notchspool::units::ZoneId;

/// The number of a name; a new name gets the next one.
pub fn zone_id(zones: &mut Vec<String>, name: &str) -> ZoneId {
    let index = zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
        zones.push(name.to_owned());
        zones.len() - 1
    });
    ZoneId(index as u32)
}
