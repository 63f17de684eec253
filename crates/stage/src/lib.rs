//! The data plane, in every usher. Without I/O: `door` (what may begin at the backend here), `purse` (further tries), `company` (the
//! decision module for one service). With it: `house` (what all share), `lobby` (requests that begin here), `links` (other ushers),
//! `perform` and `dressing` (the backend here), `pipe` (answers in pieces), `callboy` (prompters), `desk` (beats, readiness), `run` (the process).
pub mod callboy;
pub mod company;
pub mod desk;
pub mod door;
pub mod dressing;
pub mod house;
pub mod links;
pub mod lobby;
pub mod perform;
pub mod pipe;
pub mod purse;
pub mod run;
