//! notchspool: the decisions of a client-side load balancer, free of I/O. Start with [`logic`].
mod asking;
mod book;
mod desk;
mod gate;
mod gauge;
mod health;
pub mod heir;
mod listing;
pub mod logic;
mod pick;
mod rates;
mod strain;
pub mod tally;
mod trust;
pub mod units;
mod wait;
mod watch;
mod window;
