//! The data plane, in every proxy. Decisions without I/O: `attempts` (what becomes of a client's request after each try), `exchange` (what
//! is open between two proxies), `operation` (a key beside its backend), `connection` (what is open at the backend), `door` (what may begin
//! there), `purse` (further tries), `company` (the decision module for one service), `standstill` (a process that was frozen). State that
//! the parts share: `link`, `pool`, `voters`, `pipe`, all held by `house`. With I/O, on top of it: `lobby` (requests that begin here),
//! `links` (other proxies), `perform` and `dressing` (the backend here), `callboy` (replicas), `desk` (beats, readiness), `run` (the process).
pub mod attempts;
pub mod callboy;
pub mod company;
pub mod connection;
pub mod desk;
pub mod door;
pub mod dressing;
pub mod exchange;
pub mod house;
pub mod link;
pub mod links;
pub mod lobby;
pub mod operation;
pub mod perform;
pub mod pipe;
pub mod pool;
pub mod purse;
pub mod run;
pub mod standstill;
pub mod voters;
