//! The control plane of the mesh.
//!
//! [`replica`] is all that one replica decides, without I/O, so that tests play several of them in virtual time; [`wire`] turns votes into
//! messages and back; [`server`] puts sockets, a disk thread and a clock around it.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod replica;
pub mod server;
pub mod wire;
