//! notchspool: the decisions of a client-side load balancer, free of I/O. Start with [`logic`].
mod asking;
mod book;
mod desk;
pub mod heir;
pub mod logic;
mod rates;
pub mod tally;
mod trust;
pub mod units;
mod watch;
mod window;
