//! What a replica wants done by its host.
use notchspool_mesh_protocol::Payload;
use notchspool_storage::WriteOp;

/// A connection, numbered by the host.
pub type ConnectionId = u64;
/// An operator's call, numbered by the host.
pub type CallId = u64;
/// A batch for the disk; [`NO_REPORT`] where nobody waits for it.
pub type WriteId = u64;

/// Of a batch whose end is not to be reported.
pub const NO_REPORT: WriteId = 0;

/// One thing to be done.
#[allow(clippy::large_enum_variant, reason = "most of them send, so the size of a message is that of most")]
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send(ConnectionId, Payload),
    /// Write a batch to the disk; then `Replica::on_written` is called with the id, unless that is [`NO_REPORT`].
    Write {
        /// The batch's id.
        id: WriteId,
        /// The batch.
        batch: Vec<WriteOp>,
    },
    /// Answer an operator's call.
    Reply {
        /// Which call.
        call: CallId,
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// Keep connections to these replicas.
    Connect(Vec<String>),
    /// Log a line.
    Log(String),
}

/// Collects effects until the host takes them.
#[derive(Debug, Default)]
pub(super) struct Outbox(Vec<Effect>);

impl Outbox {
    /// Adds a message to be sent.
    pub fn send(&mut self, to: ConnectionId, payload: Payload) {
        self.0.push(Effect::Send(to, payload));
    }

    /// Adds a batch to be written.
    pub fn write(&mut self, id: WriteId, batch: Vec<WriteOp>) {
        self.0.push(Effect::Write { id, batch });
    }

    /// Adds the answer to an operator's call.
    pub fn reply(&mut self, call: CallId, status: u16, body: impl Into<String>) {
        self.0.push(Effect::Reply { call, status, body: body.into() });
    }

    /// Adds replicas to be connected with.
    pub fn connect(&mut self, addresses: Vec<String>) {
        self.0.push(Effect::Connect(addresses));
    }

    /// Adds a line for the log.
    pub fn log(&mut self, line: impl Into<String>) {
        self.0.push(Effect::Log(line.into()));
    }

    /// Takes all that was added.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.0)
    }
}
