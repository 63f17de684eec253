//! What is kept in memory: the module with the txns in hand, the list, the counters.
mod bans;
pub mod counters;
pub mod desk;
mod figures;
pub mod flow;
pub mod hand;
mod ids;
pub mod learnt;
pub mod list;
pub mod mail;
pub mod pot;
pub mod txn;
mod versions;
