//! What all else stands on: the bounds, the clock and the logger.
pub mod bounds;
pub mod clock;
pub mod logger;
