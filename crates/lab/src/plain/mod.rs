//! Agents with plain policies. They are baselines to compare against and nothing more: they follow the list, keep the
//! four rules as simply as can be, and know neither load reports nor ejection.
pub mod agent;
pub mod policy;
