//! Start, what is told, and the orderly end.
pub mod fleet_commands;
pub mod inherited;
pub mod kept;
pub mod open;
pub mod run;
pub mod start;
pub mod stop;
