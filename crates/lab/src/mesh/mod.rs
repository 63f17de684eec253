//! The mesh in virtual time: prompters (their whole `Office`) and ushers (their decisions) with links, disks and clocks that fail. Played by
//! timelines drawn as text, one column an agent, and by drawn ones; one checker for all. `traffic` is the data plane, with a player and a judge of its own.
mod drawn;
mod player;
mod timeline;
pub mod traffic;
mod usher;

pub use drawn::drawn;
pub use player::{Player, Store};
pub use timeline::{Timeline, play};
