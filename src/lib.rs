//! notchspool: the decisions of a client-side load balancer, free of I/O. Start with [`logic`].
mod asking;
mod book;
pub mod heir;
pub mod logic;
mod rates;
pub mod tally;
pub mod units;
mod watch;
