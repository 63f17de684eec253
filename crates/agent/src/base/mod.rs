//! What all else stands on: the bounds, the clock, the logger, and the pulse that notices pauses.
pub mod bounds;
pub mod clock;
pub mod logger;
pub mod pulse;
