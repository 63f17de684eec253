//! The mesh in virtual time: prompters (their whole `Office`) and ushers (their decisions) with links, disks and clocks that fail. Played by
//! timelines drawn as text, one column an agent, and by drawn ones; one checker for all.
mod drawn;
mod player;
mod timeline;
mod usher;

pub use drawn::{drawn, drawn_members, drawn_members_with};
pub use player::{Breach, Player, Store};
pub use timeline::{Timeline, play, play_with};
