//! The operator's word. `script`: one configuration, checked and looked up by host and path. `pen`: how a configuration becomes the one
//! that holds: one register by ballots (`notchspool_consensus`), whose value (`register`) only ever goes to a higher
//! version and keeps one body for a number, by its `digest`. No I/O.
pub mod digest;
pub mod pen;
pub mod register;
pub mod script;
