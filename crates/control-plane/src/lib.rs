//! The control plane. `office`: all that a prompter decides, without I/O, so that tests play several of them in virtual time; `seats`: votes
//! as messages; `house`: sockets, disk thread and clock around it.
pub mod house;
pub mod office;
pub mod seats;
