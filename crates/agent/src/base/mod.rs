//! What all else stands on: limits, the clock, the logger, and the detector of stalls.
pub mod clock;
pub mod limits;
pub mod logger;
pub mod stall_detector;
