//! The mesh in virtual time: replicas (their whole `Office`) and proxies (their decisions) with links, disks and clocks that fail. Played by
//! timelines drawn as text, one column an agent, and by drawn ones; one checker for all. `traffic` is the data plane, with a player and a judge of its own.
mod changes;
mod departures;
mod disk;
mod drawn;
mod player;
mod proxy;
mod storms;
mod timeline;
pub mod traffic;

pub use changes::{Figures, Return, changes};
pub use departures::{
    drawn_departures, drawn_departures_with, drawn_departures_with_late_heartbeats,
    drawn_departures_with_late_heartbeats_and,
};
pub use disk::{Disk, Store, WriteReport};
pub use drawn::{drawn, drawn_members, drawn_members_with};
pub use player::{Breach, Player, routes};
pub use storms::storms;
pub use timeline::{Timeline, play};
