//! What is kept in memory: the module with the txns in hand, the list, the counters.
pub mod counters;
pub mod desk;
pub mod hand;
pub mod list;
pub mod txn;
