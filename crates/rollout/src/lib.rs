//! A rolling change in stages. A [`plan`] says what changes at which agents; stages follow one another; each is evaluated ([`evaluator`]) by agents that
//! changed against those that did not, at the same time, and against the time before. Where a stage regresses, all that changed goes back,
//! last changed first ([`rollout`]). No I/O: counts and time are handed in, steps come back as values, and the whole rollout can be written down
//! and read again by another owner.
//!
//! Invariants (`tests/rollout.rs`): no step is given out before the rollout that allows it can be written; no agent is changed while a verdict is
//! open or after a regression; never more than the stated part of a zone is in the middle of a change at once; an agent that was away is
//! brought to where the rollout is now; an agent that can't be brought back is named, and tried a stated number of times.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod confidence_sequence;
pub mod counts;
pub mod evaluator;
pub mod measure;
pub mod phase;
pub mod plan;
pub mod rollout;
