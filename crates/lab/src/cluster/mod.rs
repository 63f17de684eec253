//! A test cluster of real processes: controllers and agents at loopback addresses of their own ([`topology`], [`process`]), a relay between every
//! pair with faults of its own for each direction ([`relay`], [`datagram_relay`]), faults of processes, disks and links from a schedule
//! ([`fault_schedule`], [`fault_injector`], [`fault_run`]), and a checker of what was observed from outside ([`history_checker`]). [`benchmarks`] and
//! [`request_latency`] measure. Everything is bounded; only own processes are ended, by their ids.
pub mod benchmarks;
pub mod datagram_relay;
pub mod fault_injector;
pub mod fault_run;
pub mod fault_schedule;
pub mod history_checker;
pub mod ownership;
pub mod process;
pub mod relay;
pub mod request_latency;
pub mod topology;
