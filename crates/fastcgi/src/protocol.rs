//! The numbers of the protocol (specification, section 8), as types.

/// The version of the protocol.
pub const VERSION: u8 = 1;
/// The role that answers requests.
pub const ROLE_RESPONDER: u16 = 1;
/// Flag of a request after which the connection stays open.
pub const FLAG_KEEP_CONNECTION: u8 = 1;
/// Bytes of the contents of the records that begin and end a request.
pub const REQUEST_CONTENT_BYTES: usize = 8;
/// The value that names how many connections a server takes.
pub const MAX_CONNS: &str = "FCGI_MAX_CONNS";
/// The value that names how many requests a server takes.
pub const MAX_REQS: &str = "FCGI_MAX_REQS";
/// The value that says whether a server takes several requests on a connection.
pub const MPXS_CONNS: &str = "FCGI_MPXS_CONNS";

/// A request on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u16);

/// The id of records that are of the connection, not of a request.
pub const MANAGEMENT: RequestId = RequestId(0);

/// Type of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordType {
    /// Begins a request.
    Begin,
    /// Gives a request up.
    Abort,
    /// Ends a request.
    End,
    /// Params of a request.
    Params,
    /// Body of a request.
    Stdin,
    /// Head and body of an answer.
    Stdout,
    /// What the server wants logged.
    Stderr,
    /// A second input, of a role that is not taken here.
    Data,
    /// Asks what a server can do.
    GetValues,
    /// Answer to [`RecordType::GetValues`].
    GetValuesResult,
    /// A management record's type is not known.
    UnknownType,
    /// Any other number.
    Other(u8),
}

impl RecordType {
    /// By number, from 1.
    const ALL: [RecordType; 11] = [
        RecordType::Begin,
        RecordType::Abort,
        RecordType::End,
        RecordType::Params,
        RecordType::Stdin,
        RecordType::Stdout,
        RecordType::Stderr,
        RecordType::Data,
        RecordType::GetValues,
        RecordType::GetValuesResult,
        RecordType::UnknownType,
    ];

    /// The type with this number.
    pub fn from_number(number: u8) -> RecordType {
        let index = usize::from(number).wrapping_sub(1);
        RecordType::ALL.get(index).copied().unwrap_or(RecordType::Other(number))
    }

    /// Its number.
    pub fn number(self) -> u8 {
        match self {
            RecordType::Other(number) => number,
            known => RecordType::ALL.iter().position(|t| *t == known).map_or(0, |index| index as u8 + 1),
        }
    }
}

/// How a request ended, as far as the protocol goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// It ran.
    Complete,
    /// Not begun: the server takes one request at a time on a connection.
    CantMultiplex,
    /// Not begun: the server is overloaded.
    Overloaded,
    /// Not begun: the server does not have the role.
    UnknownRole,
    /// Any other number.
    Other(u8),
}

impl ProtocolStatus {
    /// The status with this number.
    pub fn from_number(number: u8) -> ProtocolStatus {
        match number {
            0 => ProtocolStatus::Complete,
            1 => ProtocolStatus::CantMultiplex,
            2 => ProtocolStatus::Overloaded,
            3 => ProtocolStatus::UnknownRole,
            other => ProtocolStatus::Other(other),
        }
    }

    /// Its number.
    pub fn number(self) -> u8 {
        match self {
            ProtocolStatus::Complete => 0,
            ProtocolStatus::CantMultiplex => 1,
            ProtocolStatus::Overloaded => 2,
            ProtocolStatus::UnknownRole => 3,
            ProtocolStatus::Other(other) => other,
        }
    }
}
