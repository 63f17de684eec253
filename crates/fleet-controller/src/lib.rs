//! A controller of a fleet of agents (`notchspool keeper`): a voter with its disk, a contender for the ownership of the fleet's commands, and,
//! while it is the owner, the controller of those commands.
//!
//! The voter's disk has a thread of its own (`voter`), so that a disk that hangs stops one vote and no lease of others. All else is one event
//! loop (`event_loop`) over one state (`node`).
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod acceptor_store;
mod event_loop;
mod line_connection;
mod messages;
mod node;
mod owner;
mod owner_requests;
pub mod pause_point;
pub mod settings;
mod voter;
mod voter_peers;

use std::process::ExitCode;

pub use pause_point::PausePoint;
pub use settings::ControllerSettings;

/// What a start is given beside the settings.
#[derive(Clone, Debug, Default)]
pub struct StartOptions {
    /// The fleet is new: this voter begins with an empty disk. Without it a voter that finds no disk takes it for lost.
    pub first_start: bool,
    /// Where a test stops this process.
    pub pause_point: Option<PausePoint>,
}

/// Runs the controller until its end.
pub fn run(settings: ControllerSettings, options: StartOptions) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(event_loop::run(settings, options)),
        Err(error) => Err(event_loop::StartError::Runtime(error)),
    };
    let code = match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("cannot run: {error}");
            ExitCode::FAILURE
        }
    };
    log::logger().flush();
    code
}
