//! What an operator asks of a running agent: one line, without sockets. The words are those of `docs/day-to-day.md`.

/// The longest line in bytes, its end left out.
pub const MAX_LINE_BYTES: usize = 512;
/// The longest end of a line: CRLF.
pub const LINE_END_BYTES: usize = 2;

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManagementCommand {
    /// Whether this process is ready to serve.
    Status,
    /// Take a backend out, by the id that the list gives it.
    MaintOn(String),
    /// Put it back.
    MaintOff(String),
    /// Send clients away.
    Standby,
    /// Take clients again.
    Active,
}

/// Why a line is no command, in the words of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum CommandError {
    /// Over [`MAX_LINE_BYTES`].
    #[display("the line is too long")]
    TooLong,
    /// Not text.
    #[display("the line is not UTF-8")]
    NotText,
    /// Nothing in it.
    #[display("an empty line")]
    Empty,
    /// More than a command and its argument.
    #[display("too many words")]
    TooManyWords,
    /// The command names a backend.
    #[display("the id of a backend is missing")]
    NoBackend,
    /// The command names nothing.
    #[display("this call takes no argument")]
    UnexpectedArgument,
    /// There is no such command.
    #[display("no such call; there are status, maint-on ID, maint-off ID, standby, active")]
    Unknown,
}

impl ManagementCommand {
    /// Reads a line with or without its end (LF or CRLF).
    ///
    /// # Errors
    ///
    /// It is no command; see [`CommandError`].
    pub fn parse(line: &[u8]) -> Result<ManagementCommand, CommandError> {
        if line.len() > MAX_LINE_BYTES + LINE_END_BYTES {
            return Err(CommandError::TooLong);
        }
        let line = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
        let mut words = line.split_ascii_whitespace();
        let word = words.next().ok_or(CommandError::Empty)?;
        let id = words.next();
        if words.next().is_some() {
            return Err(CommandError::TooManyWords);
        }
        match (word, id) {
            ("status", None) => Ok(ManagementCommand::Status),
            ("standby", None) => Ok(ManagementCommand::Standby),
            ("active", None) => Ok(ManagementCommand::Active),
            ("maint-on", Some(id)) => Ok(ManagementCommand::MaintOn(id.to_owned())),
            ("maint-off", Some(id)) => Ok(ManagementCommand::MaintOff(id.to_owned())),
            ("maint-on" | "maint-off", None) => Err(CommandError::NoBackend),
            ("status" | "standby" | "active", Some(_)) => Err(CommandError::UnexpectedArgument),
            _ => Err(CommandError::Unknown),
        }
    }

    /// The counter of this command.
    pub fn counter(&self) -> &'static str {
        match self {
            ManagementCommand::Status => "asked_status",
            ManagementCommand::MaintOn(_) => "asked_maint_on",
            ManagementCommand::MaintOff(_) => "asked_maint_off",
            ManagementCommand::Standby => "asked_standby",
            ManagementCommand::Active => "asked_active",
        }
    }
}
