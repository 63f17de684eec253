//! The agent as a member of a fleet, on a thread of its own: it registers with the fleet's controllers, renews its lease and executes
//! commands. The serving thread shares two things with it: counters that it publishes now and then, and commands that come to it as
//! messages, one at a time.
//!
//! Invariant: no request waits for this thread, and no controller, whether slow or wrong, changes how the agent routes.
mod commands;
mod controllers;
mod session;
pub mod token_store;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use notchspool_commands::{CommandKind, Revision};
use notchspool_consensus::Token;
use notchspool_fleet_protocol::InstanceReport;
use notchspool_settings::agent_file::Fleet;
use tokio::sync::{mpsc, oneshot};

use token_store::{TokenStore, TokenStoreError};

/// The job whose owner's commands are executed.
const JOB: &str = "orders";

/// What the serving thread publishes for the fleet; each figure by itself, without a lock.
#[derive(Debug, Default)]
pub struct PublishedCounters {
    /// Requests since the start that succeeded.
    pub succeeded: AtomicU64,
    /// Requests since the start that ended otherwise.
    pub not_succeeded: AtomicU64,
    /// Requests in flight.
    pub in_flight: AtomicU64,
    /// The newest version of a server list, over all pools.
    pub list_version: AtomicU64,
    /// Clients are sent away.
    pub draining: AtomicBool,
}

impl PublishedCounters {
    fn report(&self, highest_token: Token) -> InstanceReport {
        InstanceReport {
            program_version: env!("CARGO_PKG_VERSION").into(),
            succeeded: self.succeeded.load(Ordering::Relaxed),
            not_succeeded: self.not_succeeded.load(Ordering::Relaxed),
            in_flight: self.in_flight.load(Ordering::Relaxed),
            draining: self.draining.load(Ordering::Relaxed),
            list_version: self.list_version.load(Ordering::Relaxed),
            highest_token,
        }
    }
}

/// What an execution came to; an error is the reason for which the command is refused.
pub type ExecutionResult = Result<(), String>;

/// A command to be executed by the serving thread.
#[derive(Debug)]
pub struct PendingExecution {
    /// What to do.
    pub kind: CommandKind,
    /// Number of the command.
    pub revision: Revision,
    /// The owner's token under which it came.
    pub token: Token,
    /// Takes what it came to.
    pub done: oneshot::Sender<ExecutionResult>,
}

/// Why the agent does not join its fleet.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum JoinError {
    /// The folder for tokens can't be used.
    #[display("{_0}")]
    Tokens(TokenStoreError),
    /// There is no thread.
    #[display("no thread for the fleet: {_0}")]
    Thread(std::io::Error),
}

/// Starts the thread, which lives as long as the process.
///
/// # Errors
///
/// The folder for tokens can't be used, or there is no thread.
pub fn join(
    fleet: Fleet,
    name: &str,
) -> Result<(Arc<PublishedCounters>, mpsc::Receiver<PendingExecution>), JoinError> {
    let tokens = TokenStore::open(&fleet.state_folder, name)?;
    let counters = Arc::new(PublishedCounters::default());
    let (executions, pending) = mpsc::channel(1);
    let session = session::FleetSession::new(fleet, name.to_owned(), tokens, counters.clone(), executions);
    let thread = std::thread::Builder::new().name("control".into());
    thread.spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => runtime.block_on(session.run()),
            Err(error) => log::error!("fleet: no runtime: {error}: nobody orders this agent"),
        }
    })?;
    Ok((counters, pending))
}
