//! A departure as a claim at the voters: what was acknowledged of a backend on its way out outlasts every process that knows of it.
//!
//! Proxies have no disk, and what replicas know of endpoints is in memory. A claim is on the disks of a majority, goes with the state of a
//! voter to the next set, and is forgotten when its window is over; a departure needs no more. All of an instance are the same claim, so
//! whichever run of a proxy makes it is granted.
use notchspool_mesh_protocol::Ticket;

use crate::heartbeats::Departure;

/// Keys of clients are values of headers, which hold no control character.
pub const KEY_PREFIX: &str = "\u{1}departure ";
const DRAINING: &str = "draining ";
const LEFT: &str = "left ";

/// The ticket of all such claims.
pub const TICKET: Ticket = Ticket { boot_id: 1, number: 1, attempt: 0 };

/// The key of a departure.
pub fn key(instance: &str, departure: Departure) -> String {
    let stage = match departure {
        Departure::Draining => DRAINING,
        Departure::Left => LEFT,
    };
    format!("{KEY_PREFIX}{stage}{instance}")
}

/// The departure that a key stands for, and of which instance; `None` for a key of a client.
pub fn parse(key: &str) -> Option<(&str, Departure)> {
    let text = key.strip_prefix(KEY_PREFIX)?;
    let draining = text.strip_prefix(DRAINING).map(|instance| (instance, Departure::Draining));
    draining.or_else(|| Some((text.strip_prefix(LEFT)?, Departure::Left)))
}
