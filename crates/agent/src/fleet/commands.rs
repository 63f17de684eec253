//! Commands that have come and wait for their turn: one is executed at a time.
use std::collections::VecDeque;

use notchspool_commands::executor::{Decision, Executor};
use notchspool_commands::{CommandKind, Epoch, Outcome, Revision};
use notchspool_consensus::Token;
use tokio::sync::oneshot;

use super::ExecutionResult;

/// Commands that wait; more are dropped, and sent again by the owner.
const MAX_WAITING: usize = 64;

/// A command as it came.
#[derive(Clone, Debug)]
pub struct ReceivedCommand {
    /// The owner's token.
    pub token: Token,
    /// The epoch of this agent that it is for.
    pub epoch: Epoch,
    /// Its number.
    pub revision: Revision,
    /// What to do.
    pub kind: CommandKind,
}

/// The one that is being executed.
struct Execution {
    command: ReceivedCommand,
    result: oneshot::Receiver<ExecutionResult>,
}

/// An execution that is over.
pub struct Finished {
    /// Number of the command.
    pub revision: Revision,
    /// What it came to.
    pub outcome: Outcome,
    /// It was a stop and is done: this process ends.
    pub stops: bool,
}

/// The queue, and what was executed before.
pub struct CommandQueue {
    waiting: VecDeque<ReceivedCommand>,
    executing: Option<Execution>,
    executor: Executor,
}

impl CommandQueue {
    /// An empty queue, in no epoch yet.
    pub fn new() -> CommandQueue {
        CommandQueue { waiting: VecDeque::new(), executing: None, executor: Executor::new(Epoch(0)) }
    }

    /// A new epoch begins: nothing was executed in it.
    pub fn begin_epoch(&mut self, epoch: Epoch) {
        self.executor = Executor::new(epoch);
    }

    /// Adds a command, or drops it where too many wait.
    pub fn push(&mut self, command: ReceivedCommand) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(command);
        }
    }

    /// Whether a command waits and none is being executed.
    pub fn has_next(&self) -> bool {
        self.executing.is_none() && !self.waiting.is_empty()
    }

    /// Whether any command waits.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes the next command out of the queue.
    pub fn pop(&mut self) -> Option<ReceivedCommand> {
        self.waiting.pop_front()
    }

    /// What to do with a command whose turn has come.
    pub fn decide(&self, command: &ReceivedCommand) -> Decision {
        self.executor.decide(command.epoch, command.revision, command.kind)
    }

    /// A command is being executed; its result comes through the channel.
    pub fn on_started(&mut self, command: ReceivedCommand, result: oneshot::Receiver<ExecutionResult>) {
        self.executing = Some(Execution { command, result });
    }

    /// The result of the execution, once there is one. Cancel safe.
    pub async fn result(&mut self) -> ExecutionResult {
        match &mut self.executing {
            Some(execution) => (&mut execution.result).await.unwrap_or_else(|_| Err("the agent ends".into())),
            None => std::future::pending().await,
        }
    }

    /// The execution is over. Nothing where there was none.
    pub fn finish(&mut self, result: ExecutionResult) -> Option<Finished> {
        let ReceivedCommand { epoch, revision, kind, .. } = self.executing.take()?.command;
        let outcome = result.map_or_else(Outcome::Refused, |()| Outcome::Done);
        if epoch == self.executor.epoch() {
            self.executor.on_done(revision, kind, outcome.clone());
        }
        let stops = kind == CommandKind::Stop && outcome == Outcome::Done;
        Some(Finished { revision, outcome, stops })
    }
}
