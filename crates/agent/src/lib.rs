//! The agent: the decisions of `notchspool` on real sockets, beside one calling process. `memory` is the core: the
//! module, the txns in hand, the list; it knows no protocol. `wire` speaks HTTP and knows the core. `life` puts both
//! together on what the agent is told. `base` is below all.
pub mod base;
pub mod house;
pub mod life;
pub mod memory;
pub mod wire;

use std::process::ExitCode;

pub use notchspool::units::Micros;

/// The agent as the platform starts it, told by environment and one file.
pub fn platform() -> ExitCode {
    base::logger::start();
    let told = match life::start::told() {
        Ok(told) => told,
        Err(why) => {
            log::error!("cannot start: {why}");
            return ExitCode::from(2);
        }
    };
    match life::run::run(told) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::error!("cannot run: {why}");
            ExitCode::FAILURE
        }
    }
}
