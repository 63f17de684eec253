//! The operator's word. `script`: one configuration, checked and looked up by host and path. `pen`: how a configuration becomes the one
//! that holds: one register by ballots (`notchspool_election`), whose value only ever goes to a higher version. No I/O.
pub mod pen;
pub mod script;
