//! Start, clock, bounds, stop and the logger.
pub mod bounds;
pub mod clock;
pub mod logger;
pub mod run;
pub mod start;
pub mod stop;
