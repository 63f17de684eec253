//! Commands to many instances of a fleet. [`command_log`] is the controller's side: what was ordered, by whom, and what became of it at
//! each instance. [`executor`] is an instance's side: each revision is executed once at most, whatever is sent twice, late or in
//! another order. Neither knows a socket, a disk or a clock.
//!
//! Invariants, tried by walking all interleavings of small cases in `tests/walk.rs`: a command that was taken stays in the log; no
//! instance executes a revision twice in one epoch; none is reported as applied that was not; superseded is final; with contact and
//! time every pair of command and instance comes to an end.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod command_log;
pub mod executor;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    )*};
}
ids! {
    /// The number of a command; later ones are larger.
    Revision(u64);
    /// An instance, by the number that the controller gave its name.
    InstanceId(u32);
    /// The epoch of an instance: each start has a larger one.
    Epoch(u64);
}

/// What a command wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandKind {
    /// Send clients away.
    Drain,
    /// Serve again.
    Undrain,
    /// Read the configuration again.
    Reload,
    /// End.
    Stop,
}

/// What a command is about. A later command on the same subject supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// Whether it serves.
    Service,
    /// What it is configured with.
    Configuration,
    /// Whether it runs.
    Process,
}

impl CommandKind {
    /// What it is about.
    pub fn subject(self) -> Subject {
        match self {
            CommandKind::Drain | CommandKind::Undrain => Subject::Service,
            CommandKind::Reload => Subject::Configuration,
            CommandKind::Stop => Subject::Process,
        }
    }
    /// Whether its effect ends with the instance's epoch, so that it has to be sent to the next one.
    fn is_transient(self) -> bool {
        self == CommandKind::Drain
    }
}

/// What an instance reports of a revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Executed.
    Done,
    /// Not executed, for this reason.
    Refused(String),
}
