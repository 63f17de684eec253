//! Messages between the mesh's own processes: their forms, their limits, and how they lie on a connection. A frame is four bytes of
//! length (big end first) and one `Cue`. What is not of this form is an error, counted by the host, never a panic. Large texts go as
//! differences (`difference`, `texts`).
pub mod difference;
pub mod snapshot;
pub mod texts;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// Bytes of one frame at most: a body of the largest size that goes whole, and its head.
pub const MOST: usize = 72 << 20;
/// Headers of one request or answer at most.
pub const MOST_PAIRS: usize = 128;

/// Why bytes were no frame.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Wrong {
    /// Longer than `MOST`.
    #[display("a frame of {_0} bytes is over the limit")]
    Long(#[error(not(source))] usize),
    /// No message of a known form.
    #[display("no message of a known form: {_0}")]
    Form(prost::DecodeError),
    /// A form without any content, or with more headers than allowed.
    #[display("an empty or overfull message")]
    Empty,
}

/// One message.
#[derive(Clone, PartialEq, Message)]
pub struct Cue {
    #[prost(
        oneof = "What",
        tags = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,22,24,25,26,40,41,42,43,44,50,51,52,53,54"
    )]
    pub what: Option<What>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum What {
    /// First on each connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Usher to usher: a request for the backend there.
    #[prost(message, tag = "2")]
    Ask(Ask),
    #[prost(message, tag = "3")]
    Said(Said),
    /// The client left, or an answer is no longer of use.
    #[prost(message, tag = "4")]
    Cancel(Cancel),
    /// The answer to a key that is held there.
    #[prost(message, tag = "5")]
    Fetch(Fetch),
    /// More bytes of an answer that is streamed.
    #[prost(message, tag = "6")]
    Part(Part),
    /// The reader of a streamed answer has taken so much.
    #[prost(message, tag = "7")]
    Taken(Taken),
    #[prost(message, tag = "8")]
    Ping(Ping),
    #[prost(message, tag = "9")]
    Pong(Ping),
    /// Prompter to usher, after its hello.
    #[prost(message, tag = "10")]
    Welcome(Welcome),
    /// Usher to prompter: its backend.
    #[prost(message, tag = "11")]
    Station(Station),
    /// Usher to prompter: follow the board.
    #[prost(message, tag = "12")]
    Watch(Watch),
    #[prost(message, tag = "13")]
    Bill(Bill),
    /// The operator's word, chosen.
    #[prost(message, tag = "14")]
    Word(Word),
    #[prost(message, tag = "15")]
    Claim(Claim),
    #[prost(message, tag = "16")]
    Claimed(Claimed),
    #[prost(message, tag = "17")]
    Withdraw(Withdraw),
    /// Prompter to prompter.
    #[prost(message, tag = "18")]
    Vote(Vote),
    #[prost(message, tag = "19")]
    Voted(Voted),
    /// How long ago each usher was heard, second opinions between prompters.
    #[prost(message, tag = "22")]
    Heard(Heard),
    /// What a voter has, for one that has to install it.
    #[prost(message, tag = "24")]
    All(All),
    /// Which versions a prompter has, and the answer to who lacks one.
    #[prost(message, tag = "25")]
    Holding(Holding),
    #[prost(message, tag = "26")]
    Want(Want),
    /// One of those with a text, which stands beside it.
    #[prost(message, tag = "40")]
    Carried(Carried),
    #[prost(message, tag = "41")]
    Lack(Lack),
    /// Usher to prompter: its board is followed no more.
    #[prost(message, tag = "42")]
    Unwatch(Unwatch),
    /// A part of a snapshot, and what asks for one.
    #[prost(message, tag = "43")]
    Piece(Piece),
    #[prost(message, tag = "44")]
    More(More),
    /// On the successor of a set: to promise, or with one to accept it and be sealed.
    #[prost(message, tag = "50")]
    Change(Change),
    #[prost(message, tag = "51")]
    Changed(Changed),
    /// A member of a set that has to install it asks for all there is.
    #[prost(message, tag = "52")]
    Transfer(Transfer),
    /// One that leaves hands over what it has, and hears when that is on the disk there.
    #[prost(message, tag = "53")]
    Handover(All),
    #[prost(message, tag = "54")]
    Handed(Handed),
}

#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub node: String,
    /// One life of the process, drawn at its start.
    #[prost(uint64, tag = "2")]
    pub life: u64,
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Where its own listener for such connections is, `ip:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// 1: usher, 2: prompter.
    #[prost(uint32, tag = "5")]
    pub role: u32,
    /// Prompter: which life of its disk.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Prompter: its loss counts, so that it may have a seat.
    #[prost(bool, tag = "7")]
    pub counted: bool,
    /// Digests of the texts that it holds, the newest last.
    #[prost(bytes = "bytes", repeated, tag = "15")]
    pub texts: Vec<Bytes>,
}

/// A voter's machine in one life of its disk.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub address: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(string, tag = "3")]
    pub zone: String,
}

/// Who votes, by place.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Set {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Pair {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// A request, with all that the door beside the backend judges by.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub service: String,
    #[prost(string, tag = "3")]
    pub instance: String,
    #[prost(string, tag = "4")]
    pub method: String,
    /// Path and query, as the client sent them.
    #[prost(string, tag = "5")]
    pub target: String,
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<Pair>,
    #[prost(bytes = "bytes", tag = "7")]
    pub body: Bytes,
    /// Milliseconds that are left when it is sent.
    #[prost(uint32, tag = "8")]
    pub left_ms: u32,
    /// 0 is highest.
    #[prost(uint32, tag = "9")]
    pub rank: u32,
    /// It may run more than once.
    #[prost(bool, tag = "10")]
    pub repeatable: bool,
    /// Empty: no key.
    #[prost(string, tag = "11")]
    pub key: String,
    #[prost(message, optional, tag = "12")]
    pub ticket: Option<Ticket>,
    #[prost(string, tag = "13")]
    pub attempt: String,
    #[prost(string, tag = "14")]
    pub caller: String,
    #[prost(string, tag = "15")]
    pub host: String,
    /// Milliseconds in which an answer has its full worth; 0: that is over.
    #[prost(uint32, tag = "16")]
    pub aim_ms: u32,
    /// The route's whole aim, by which the door tells kinds of work apart.
    #[prost(uint32, tag = "17")]
    pub target_ms: u32,
    /// Milliseconds since its client sent it, as far as is known.
    #[prost(uint32, tag = "18")]
    pub age_ms: u32,
}

/// Who claims: the first usher's life, its number for the request, and which backend in turn it is tried at.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct Ticket {
    #[prost(uint64, tag = "1")]
    pub life: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(uint32, tag = "3")]
    pub turn: u32,
}

/// Verdicts of the door, as numbers on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// Not yet known: for instance a process that ended.
    MayHaveRun = 0,
    Answered = 1,
    /// It has not run there and never will.
    NotRun = 2,
    /// Its key is at work.
    Working = 3,
    /// Its key is held by another usher: ask there.
    Held = 4,
    /// The key ran, but what it answered is not known.
    Lost = 5,
    /// Not run, and the instance that was meant is not here any more.
    Elsewhere = 6,
}

#[derive(Clone, PartialEq, Message)]
pub struct Said {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(enumeration = "Verdict", tag = "2")]
    pub verdict: i32,
    #[prost(uint32, tag = "3")]
    pub status: u32,
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<Pair>,
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// More comes as `Part`s; the body's whole length where it is known.
    #[prost(bool, tag = "6")]
    pub more: bool,
    #[prost(uint64, tag = "7")]
    pub length: u64,
    #[prost(string, tag = "8")]
    pub why: String,
    /// Where a key is held, and in which life.
    #[prost(string, tag = "9")]
    pub holder: String,
    #[prost(uint64, tag = "10")]
    pub holder_life: u64,
    /// Utilisation of the backend in thousandths, 1 more than that; 0: not reported.
    #[prost(uint32, tag = "11")]
    pub busy: u32,
    #[prost(uint32, tag = "12")]
    pub in_flight: u32,
    #[prost(uint32, tag = "13")]
    pub queue: u32,
    /// The backend was reached: this counts as an arrival.
    #[prost(bool, tag = "14")]
    pub arrived: bool,
    /// When to come back, milliseconds; 0: not told.
    #[prost(uint32, tag = "15")]
    pub retry_ms: u32,
    /// Microseconds that the backend took.
    #[prost(uint64, tag = "16")]
    pub took_us: u64,
    /// Not run, and no other backend would do better now.
    #[prost(bool, tag = "17")]
    pub ends: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Cancel {
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub key: String,
    #[prost(uint64, tag = "3")]
    pub holder_life: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Part {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
    #[prost(bool, tag = "3")]
    pub last: bool,
    /// It broke off: what came is not the whole.
    #[prost(bool, tag = "4")]
    pub broken: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Taken {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Who the voters are, by place.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    #[prost(string, repeated, tag = "1")]
    pub voters: Vec<String>,
    #[prost(uint32, tag = "2")]
    pub own: u32,
    /// The highest version chosen that it knows; it votes and has compared with more than half.
    #[prost(uint64, tag = "3")]
    pub chosen: u64,
    #[prost(bool, tag = "4")]
    pub sure: bool,
    /// Where it stands.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// To an usher: what was last known of the backend beside it.
    #[prost(message, optional, tag = "6")]
    pub recalled: Option<Station>,
    /// Digests of the texts that it holds, the newest last.
    #[prost(bytes = "bytes", repeated, tag = "15")]
    pub texts: Vec<Bytes>,
    /// The set of voters that it knows, and the one before.
    #[prost(message, optional, tag = "7")]
    pub set: Option<Set>,
    #[prost(message, optional, tag = "8")]
    pub previous: Option<Set>,
}

/// The states of an instance on the board.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum State {
    Unknown = 0,
    Ready = 1,
    Draining = 2,
    /// It said that it leaves, or its usher did.
    Left = 3,
    /// Its beats stopped.
    Missed = 4,
    /// Its usher ends in order: nobody is to be sent there till it says that it is back.
    Away = 5,
}

/// One backend as its usher knows it. `life` and `number` order what is said of it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Station {
    #[prost(string, tag = "1")]
    pub instance: String,
    #[prost(string, tag = "2")]
    pub service: String,
    /// The usher beside it, `ip:port`.
    #[prost(string, tag = "3")]
    pub usher: String,
    #[prost(uint64, tag = "4")]
    pub life: u64,
    #[prost(uint64, tag = "5")]
    pub number: u64,
    #[prost(string, tag = "6")]
    pub zone: String,
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    #[prost(enumeration = "State", tag = "8")]
    pub state: i32,
    /// Milliseconds for which it stays slow, counted from this message.
    #[prost(uint32, tag = "9")]
    pub cold_ms: u32,
    #[prost(string, tag = "10")]
    pub address: String,
    #[prost(uint64, tag = "11")]
    pub calls: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Watch {
    /// The version held; 0: none.
    #[prost(uint64, tag = "1")]
    pub have: u64,
    /// The life of the prompter that told it.
    #[prost(uint64, tag = "2")]
    pub line: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Unwatch {}

/// The board: whole, or what changed since the version before.
#[derive(Clone, PartialEq, Message)]
pub struct Bill {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(bool, tag = "2")]
    pub whole: bool,
    #[prost(message, repeated, tag = "3")]
    pub stations: Vec<Station>,
    /// The life of the prompter that numbered it.
    #[prost(uint64, tag = "4")]
    pub line: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Word {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub key: String,
    #[prost(message, optional, tag = "3")]
    pub ticket: Option<Ticket>,
    #[prost(string, tag = "4")]
    pub holder: String,
    #[prost(uint64, tag = "5")]
    pub holder_life: u64,
    /// The number of the set under which it is asked.
    #[prost(uint64, tag = "6")]
    pub set: u64,
    /// Milliseconds since it was granted, where a voter tells it to another.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Claimed {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// 0: it does not vote now, 1: granted, 2: another has it.
    #[prost(uint32, tag = "2")]
    pub vote: u32,
    #[prost(message, optional, tag = "3")]
    pub ticket: Option<Ticket>,
    #[prost(string, tag = "4")]
    pub holder: String,
    #[prost(uint64, tag = "5")]
    pub holder_life: u64,
    #[prost(uint32, tag = "6")]
    pub voter: u32,
    /// The number of the set in which it counts.
    #[prost(uint64, tag = "8")]
    pub set: u64,
    /// It does not vote now because the set is being changed, or the asker knows another: to be asked again.
    #[prost(bool, tag = "9")]
    pub changing: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Withdraw {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(message, optional, tag = "2")]
    pub ticket: Option<Ticket>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Ballot {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint64, tag = "2")]
    pub by: u64,
}

/// Prompter to prompter, on the register of the operator's word: to promise, or with a body to accept it.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, optional, tag = "2")]
    pub ballot: Option<Ballot>,
    #[prost(string, optional, tag = "3")]
    pub body: Option<String>,
    /// The number of the set under which it is asked.
    #[prost(uint64, tag = "4")]
    pub set: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Voted {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// 0: it does not vote now, 1: promised, 2: accepted, 3: refused.
    #[prost(uint32, tag = "2")]
    pub vote: u32,
    /// The highest ballot promised, where it refused.
    #[prost(message, optional, tag = "3")]
    pub promised: Option<Ballot>,
    /// What it had accepted, and under which ballot.
    #[prost(message, optional, tag = "4")]
    pub under: Option<Ballot>,
    #[prost(string, optional, tag = "5")]
    pub body: Option<String>,
    #[prost(uint32, tag = "6")]
    pub voter: u32,
    /// The number of the set in which it counts.
    #[prost(uint64, tag = "8")]
    pub set: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Heard {
    #[prost(uint64, tag = "1")]
    pub clock: u64,
    #[prost(message, repeated, tag = "2")]
    pub ushers: Vec<Age>,
    /// How long ago it heard each other voter, by address.
    #[prost(message, repeated, tag = "3")]
    pub voters: Vec<Age>,
    /// The teller's own state: it ends soon; it counts.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    #[prost(bool, tag = "5")]
    pub counted: bool,
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// The number of the set that it knows.
    #[prost(uint64, tag = "7")]
    pub set: u64,
    /// The set in which it votes; 0: none.
    #[prost(uint64, tag = "8")]
    pub installed: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Age {
    #[prost(string, tag = "1")]
    pub instance: String,
    #[prost(uint64, tag = "2")]
    pub ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The number of the set whose successor this is about.
    #[prost(uint64, tag = "1")]
    pub set: u64,
    #[prost(message, optional, tag = "2")]
    pub ballot: Option<Ballot>,
    #[prost(message, optional, tag = "3")]
    pub next: Option<Set>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Changed {
    #[prost(uint64, tag = "1")]
    pub set: u64,
    #[prost(message, optional, tag = "2")]
    pub ballot: Option<Ballot>,
    #[prost(uint32, tag = "3")]
    pub voter: u32,
    /// 1: promised, 2: accepted, 3: refused.
    #[prost(uint32, tag = "4")]
    pub vote: u32,
    #[prost(message, optional, tag = "5")]
    pub promised: Option<Ballot>,
    /// What it had accepted, and under which ballot.
    #[prost(message, optional, tag = "6")]
    pub under: Option<Ballot>,
    #[prost(message, optional, tag = "7")]
    pub next: Option<Set>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Transfer {
    /// The set that is to be installed, and the one before.
    #[prost(message, optional, tag = "1")]
    pub set: Option<Set>,
    #[prost(message, optional, tag = "2")]
    pub previous: Option<Set>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Handed {
    #[prost(uint64, tag = "1")]
    pub set: u64,
    #[prost(uint32, tag = "2")]
    pub voter: u32,
}

/// All that a voter has under a set.
#[derive(Clone, PartialEq, Message)]
pub struct All {
    #[prost(uint32, tag = "1")]
    pub voter: u32,
    #[prost(message, optional, tag = "5")]
    pub promised: Option<Ballot>,
    #[prost(message, optional, tag = "6")]
    pub under: Option<Ballot>,
    #[prost(string, optional, tag = "7")]
    pub body: Option<String>,
    #[prost(message, repeated, tag = "8")]
    pub claims: Vec<Claim>,
    /// The set whose state this is. Of the one before that which is to be installed: the teller is sealed on its disk.
    #[prost(uint64, tag = "9")]
    pub set: u64,
}

/// The highest version that a prompter knows to be chosen.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Holding {
    #[prost(uint64, tag = "1")]
    pub chosen: u64,
    /// It has compared with more than half since it was last alone.
    #[prost(bool, tag = "2")]
    pub sure: bool,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Want {
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// A text that came could not be made out: nothing is to be taken as known here any more, and this version (0: none) is asked for.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Lack {
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// One message whose text stands beside it: as a digest, as a difference, or whole.
#[derive(Clone, PartialEq, Message)]
pub struct Carried {
    #[prost(message, optional, tag = "1")]
    pub vote: Option<Vote>,
    #[prost(message, optional, tag = "2")]
    pub voted: Option<Voted>,
    #[prost(message, optional, tag = "3")]
    pub word: Option<Word>,
    #[prost(message, optional, tag = "4")]
    pub all: Option<All>,
    #[prost(message, optional, tag = "15")]
    pub text: Option<Text>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Text {
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: Bytes,
    /// Empty: `coded` is the whole, packed.
    #[prost(bytes = "bytes", tag = "2")]
    pub base: Bytes,
    /// Empty: the digest is enough.
    #[prost(bytes = "bytes", tag = "3")]
    pub coded: Bytes,
    /// Bytes of the text.
    #[prost(uint32, tag = "4")]
    pub length: u32,
    /// A number that stands in front of it and is not summed up.
    #[prost(string, tag = "5")]
    pub head: String,
    /// The same where it is long: a text of its own.
    #[prost(message, optional, boxed, tag = "6")]
    pub line: Option<Box<Text>>,
}

/// All that one voter has in one set: what another begins with. `snapshot` has its form as a file and on its way.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// The number of the set.
    #[prost(uint64, tag = "1")]
    pub set: u64,
    /// Who belongs to it, as the file `seat` has it.
    #[prost(bytes = "bytes", tag = "2")]
    pub seat: Bytes,
    #[prost(message, optional, tag = "3")]
    pub promised: Option<Ballot>,
    /// The configuration accepted, under which ballot, with its version in front.
    #[prost(message, optional, tag = "4")]
    pub under: Option<Ballot>,
    #[prost(string, optional, tag = "5")]
    pub body: Option<String>,
    /// Claims inside their window.
    #[prost(message, repeated, tag = "6")]
    pub claims: Vec<Claim>,
    /// Whose it is: its place in that set.
    #[prost(uint32, tag = "7")]
    pub voter: u32,
}

/// Bytes of a snapshot from an offset.
#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Bytes of the whole.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    #[prost(bytes = "bytes", tag = "4")]
    pub bytes: Bytes,
}

/// Asks for the bytes of a snapshot from an offset on; without an id for any.
#[derive(Clone, PartialEq, Message)]
pub struct More {
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// Bytes of a configuration at most, unpacked.
pub const MOST_WORD: usize = 16 << 20;

/// A configuration as a message; `texts` makes it small on its way.
pub fn pack(version: u64, body: &[u8]) -> Word {
    Word { version, body: Bytes::copy_from_slice(body) }
}

/// What was packed; none where it is too large.
pub fn unpack(word: &Word) -> Option<Vec<u8>> {
    (word.body.len() <= MOST_WORD).then(|| word.body.to_vec())
}

/// Appends one frame.
pub fn write(what: What, into: &mut BytesMut) {
    let cue = Cue { what: Some(what) };
    let length = cue.encoded_len();
    into.reserve(4 + length);
    into.put_u32(length as u32);
    // Only a buffer without room refuses, and this one grows.
    let _ = cue.encode(into);
}

/// Takes one frame off the front, once it is whole. A frame without sense is taken off as well: what follows it can be read, but after `Long`.
pub fn read(from: &mut BytesMut) -> Result<Option<What>, Wrong> {
    let Some(head) = from.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MOST {
        return Err(Wrong::Long(length));
    }
    if from.len() < 4 + length {
        from.reserve((4 + length - from.len()).min(1 << 16));
        return Ok(None);
    }
    from.advance(4);
    let cue = Cue::decode(from.split_to(length).freeze()).map_err(Wrong::Form)?;
    let pairs = match &cue.what {
        Some(What::Ask(ask)) => ask.headers.len(),
        Some(What::Said(said)) => said.headers.len(),
        Some(_) => 0,
        None => return Err(Wrong::Empty),
    };
    if pairs > MOST_PAIRS { Err(Wrong::Empty) } else { Ok(cue.what) }
}
