//! What the mesh's programs have in common: their start ([`program`]), their settings ([`node_settings`]), their connections to one
//! another ([`frame_connection`]), signals, the monotonic clock, tasks that have to go on, and logs.
#![warn(missing_docs, clippy::missing_errors_doc)]

mod clock;
pub mod frame_connection;
mod logging;
pub mod node_settings;
pub mod program;
pub mod signals;
pub mod tasks;

pub use clock::{Clock, random_id};
pub use logging::init_logging;
