//! The message and its encoding as one line.
use notchspool_commands::{CommandKind, Epoch, InstanceId, Outcome, Revision};
use notchspool_consensus::{Request, Response, Token};
use serde::{Deserialize, Serialize};

use crate::{
    CommandRequest, CommandStatus, ControllerStatus, FORMAT, InstanceReport, InstanceStatus, MAX_LINE_BYTES,
    MAX_NAME_BYTES, READABLE_FORMATS, is_valid_name,
};

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The format of the line.
    #[serde(rename = "form")]
    pub format: u32,
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the sender.
    pub from: String,
    /// Chosen by the caller; the answer carries it too. 0 for what is no answer and wants none.
    #[serde(rename = "no")]
    pub number: u64,
    /// What is said.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Body {
    /// To a voter.
    #[serde(rename = "ask")]
    VoterRequest(Request),
    /// A voter's answer.
    #[serde(rename = "answer")]
    VoterResponse(Response),
    /// An agent has started.
    Register {
        /// Its zone.
        zone: String,
        /// Drawn at its start: a registration that is repeated with the same one is one registration.
        #[serde(rename = "life")]
        boot_id: u64,
        /// What it says of itself.
        report: InstanceReport,
    },
    /// Answer to [`Body::Register`]: its lease runs.
    Registered {
        /// Its number.
        id: InstanceId,
        /// Its epoch from here on.
        epoch: Epoch,
        /// The owner's fencing token.
        token: Token,
        /// When to renew the lease, in microseconds from now.
        #[serde(rename = "again_us")]
        renew_in_us: i64,
    },
    /// An agent renews its lease.
    Renew {
        /// Its number.
        id: InstanceId,
        /// Its epoch.
        epoch: Epoch,
        /// What it says of itself.
        report: InstanceReport,
    },
    /// Answer to [`Body::Renew`].
    Renewed {
        /// The owner's fencing token.
        token: Token,
        /// When to renew the lease next, in microseconds from now.
        #[serde(rename = "again_us")]
        renew_in_us: i64,
    },
    /// Answer to [`Body::Renew`]: the instance has no lease and has to register.
    #[serde(rename = "anew")]
    LeaseLost {
        /// A later registration has its name: it must do nothing more.
        fenced: bool,
    },
    /// To an agent: execute this.
    #[serde(rename = "do")]
    Execute {
        /// The owner's fencing token.
        token: Token,
        /// The job whose owner sends this.
        job: String,
        /// The epoch of the agent that it is for.
        epoch: Epoch,
        /// Number of the command.
        revision: Revision,
        /// What to do.
        #[serde(rename = "act")]
        kind: CommandKind,
    },
    /// An agent's outcome of [`Body::Execute`].
    #[serde(rename = "did")]
    Executed {
        /// Its number.
        id: InstanceId,
        /// Its epoch.
        epoch: Epoch,
        /// Number of the command.
        revision: Revision,
        /// What it came to.
        outcome: Outcome,
    },
    /// An agent ends as it was told: its lease ends at once, and is not counted as an expiry.
    Leave {
        /// Its number.
        id: InstanceId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// An operator submits a command.
    #[serde(rename = "order")]
    SubmitCommand(CommandRequest),
    /// Answer to [`Body::SubmitCommand`]: a majority has it.
    #[serde(rename = "taken")]
    CommandAccepted {
        /// Its number.
        revision: Revision,
        /// How many instances it is for.
        #[serde(rename = "whom")]
        targets: usize,
    },
    /// An operator asks for all instances.
    #[serde(rename = "instances")]
    ListInstances,
    /// Answer to [`Body::ListInstances`].
    #[serde(rename = "instances-are")]
    Instances {
        /// The owner's fencing token.
        token: Token,
        /// All instances.
        instances: Vec<InstanceStatus>,
        /// Expiries are held back, since too many came together.
        guarded: bool,
    },
    /// An operator asks for the last commands.
    #[serde(rename = "orders")]
    ListCommands {
        /// How many.
        last: usize,
    },
    /// Answer to [`Body::ListCommands`] and [`Body::GetCommand`].
    #[serde(rename = "orders-are")]
    Commands {
        /// The oldest first.
        #[serde(rename = "orders")]
        commands: Vec<CommandStatus>,
    },
    /// An operator asks for one command.
    #[serde(rename = "look")]
    GetCommand {
        /// Its number.
        revision: Revision,
    },
    /// Asks who owns, and how this controller is.
    #[serde(rename = "owner")]
    GetStatus,
    /// Answer to [`Body::GetStatus`].
    #[serde(rename = "owner-is")]
    Status(ControllerStatus),
    /// To the owner: release the ownership.
    #[serde(rename = "let-go")]
    ReleaseOwnership,
    /// Answer to [`Body::ReleaseOwnership`].
    #[serde(rename = "done")]
    OwnershipReleased,
    /// This controller is not the owner.
    #[serde(rename = "elsewhere")]
    NotOwner {
        /// Index of the owner that it heard of last, if any.
        #[serde(rename = "place")]
        owner_index: Option<u16>,
    },
    /// Not now.
    #[serde(rename = "later")]
    RetryLater {
        /// When to come back, in microseconds from now.
        after_us: i64,
    },
    /// The message was refused.
    #[serde(rename = "refused")]
    Rejected {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Why a line is not taken as a message.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum DecodeError {
    /// Over [`MAX_LINE_BYTES`].
    #[display("the line is too long")]
    TooLong,
    /// Of a format that is not known here.
    #[display("form {_0} is not known here; there are {READABLE_FORMATS:?}")]
    UnknownFormat(#[error(not(source))] u32),
    /// Of another fleet, which is named.
    #[display("it is of fleet `{_0}`")]
    OtherFleet(#[error(not(source))] String),
    /// Not JSON, not a message, or a field out of its bounds; with the place.
    #[display("{_0}")]
    Malformed(#[error(not(source))] String),
}

impl DecodeError {
    /// The name of its counter.
    pub fn counter(&self) -> &'static str {
        match self {
            DecodeError::TooLong => "too_long",
            DecodeError::UnknownFormat(_) => "other_form",
            DecodeError::OtherFleet(_) => "other_fleet",
            DecodeError::Malformed(_) => "senseless",
        }
    }
}

impl From<serde_json::Error> for DecodeError {
    fn from(error: serde_json::Error) -> DecodeError {
        DecodeError::Malformed(error.to_string())
    }
}

/// What every format has.
#[derive(Deserialize)]
struct Envelope {
    #[serde(rename = "form")]
    format: u32,
    fleet: String,
}

impl Message {
    /// A message in the present format.
    pub fn new(fleet: &str, from: &str, number: u64, body: Body) -> Message {
        Message { format: FORMAT, fleet: fleet.into(), from: from.into(), number, body }
    }

    /// The line, with its end.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default() + "\n"
    }

    /// Reads a line, with or without its end, of a process of this fleet.
    ///
    /// # Errors
    ///
    /// See [`DecodeError`].
    pub fn decode(line: &[u8], fleet: &str) -> Result<Message, DecodeError> {
        if line.len() > MAX_LINE_BYTES {
            return Err(DecodeError::TooLong);
        }
        let envelope: Envelope = serde_json::from_slice(line)?;
        if !READABLE_FORMATS.contains(&envelope.format) {
            return Err(DecodeError::UnknownFormat(envelope.format));
        }
        if envelope.fleet != fleet {
            return Err(DecodeError::OtherFleet(envelope.fleet.chars().take(MAX_NAME_BYTES).collect()));
        }
        let message: Message = serde_json::from_slice(line)?;
        message.check()?;
        Ok(message)
    }

    /// Checks what no type says.
    fn check(&self) -> Result<(), DecodeError> {
        let checked =
            if is_valid_name(&self.from) { self.body.check() } else { Err("field `from` is no name") };
        checked.map_err(|reason| {
            DecodeError::Malformed(format!("message {} of {}: {reason}", self.number, self.from))
        })
    }
}

impl Body {
    fn check(&self) -> Result<(), &'static str> {
        match self {
            Body::Register { zone, .. } if zone.len() > MAX_NAME_BYTES => Err("field `zone` is too long"),
            Body::SubmitCommand(request) => request.check(),
            _ => Ok(()),
        }
    }
}
