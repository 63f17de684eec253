//! The control plane. `office`: all that a prompter decides, without I/O, so that tests play several of them in virtual time; `seats`: who
//! votes, in which lives, and how one without its disk is admitted again; `house`: sockets, disk thread and clock around it.
pub mod house;
pub mod office;
pub mod seats;
