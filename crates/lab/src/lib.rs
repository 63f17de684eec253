//! The lab: fleets on sockets, load, faults, an auditor of the four rules, and reports.
//!
//! `core` knows no socket and no clock; `plan` reads experiments; `sockets` plays them on loopback against real
//! agents, `seeded` in virtual time against the decision module; `mesh` plays the
//! whole mesh in virtual time; `scale` plays its control plane under many hollow agents; `plain` are agents with plain policies, as baselines; `report` tells what came of it.
pub mod cluster;
pub mod core;
pub mod http;
pub mod mesh;
pub mod plain;
pub mod plan;
pub mod report;
pub mod scale;
pub mod seeded;
pub mod sockets;
