//! The agent: the decisions of `notchspool` on real sockets, beside one calling process. `memory` is the core: the
//! module, the txns in hand, the list; it knows no protocol. `wire` speaks HTTP and knows the core. `life` puts both
//! together on what the agent is told. `base` is below all. `fleet` is a thread of its own for an agent that
//! belongs to a fleet.
pub mod base;
pub mod fleet;
pub mod house;
pub mod life;
pub mod memory;
pub mod wire;

use std::process::ExitCode;

pub use notchspool::units::Micros;

/// The agent as the platform starts it, told by environment and one file.
pub fn platform() -> ExitCode {
    base::logger::start();
    let code = match life::start::told().map(life::run::run) {
        Err(why) => {
            log::error!("cannot start: {why}");
            ExitCode::from(2)
        }
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(why)) => {
            log::error!("cannot run: {why}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}
