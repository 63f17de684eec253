//! The agent: the decisions of `notchspool` on real sockets, beside one application.
//!
//! [`state`] has what the agent knows: the decision module, the requests in flight, the list; it knows no protocol. [`wire`] speaks the protocols and knows the
//! state. [`routing`] builds pools and routes from an operator's file. [`front`] takes requests of clients to them. [`process`] puts all together from what the agent is configured with. [`fleet`]
//! is a thread of its own for an agent that belongs to a fleet. [`base`] is below all.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod base;
pub mod fleet;
pub mod front;
pub mod process;
pub mod routing;
pub mod state;
pub mod wire;

use std::process::ExitCode;

pub use notchspool::units::Micros;

use process::platform_agent;
use process::platform_config::PlatformConfig;

/// Exit code of a start that is refused.
const EXIT_REFUSED: u8 = 2;

/// Runs the agent as the platform starts it, by environment and one file.
pub fn run_platform_agent() -> ExitCode {
    base::logger::start();
    let code = match PlatformConfig::load().map(platform_agent::run) {
        Err(error) => {
            log::error!("cannot start: {error}");
            ExitCode::from(EXIT_REFUSED)
        }
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            log::error!("cannot run: {error}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}
