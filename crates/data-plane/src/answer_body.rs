//! Bodies of answers, read piece by piece off the backend's connection (RFC 9112, sections 6 and 7).
//!
//! A body is complete only where its framing says so: by its length, by its last chunk, or, where it has neither, by the orderly end of the
//! connection. All else is an error, and what was read of the body must not look complete.
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::body_budget::BudgetExhausted;
use crate::body_pipe::CHUNK_BYTES;
use crate::chunk_framing::{self, FramingError, TrailerLine};

/// Bytes of an answer's body at most.
pub const MAX_BODY_BYTES: usize = 64 << 20;
/// Bytes of all trailers at most.
const MAX_TRAILERS_BYTES: usize = 64 << 10;
/// Room for so much is made before each read, at the least.
const MIN_READ_BYTES: usize = 4 << 10;
const LINE_END: &[u8; 2] = b"\r\n";

/// Why there is no answer, or not all of it.
#[derive(Debug, derive_more::Display)]
pub enum AnswerError {
    /// The connection ended.
    #[display("the backend closed")]
    Closed,
    /// The connection broke.
    #[display("reading: {_0}")]
    Io(std::io::Error),
    /// What came is no head of an answer.
    #[display("no answer: {_0}")]
    NoAnswer(httparse::Error),
    /// A head without an end.
    #[display("a head without an end")]
    HeadTooLong,
    /// A header that says how the answer is framed is no text.
    #[display("{_0} is no text")]
    NoText(String),
    /// It has a length that is none, two that differ, or one that no body may have.
    #[display("no length that can be")]
    NoLength,
    /// It is encoded for its way in a form that is not known.
    #[display("an encoding that is not known")]
    UnknownEncoding,
    /// It has a length and chunks.
    #[display("a length and chunks")]
    LengthAndChunks,
    /// The lines between its chunks are none.
    #[display("{_0}")]
    Framing(FramingError),
    /// Something other than a line end stands behind a chunk.
    #[display("no end of a chunk")]
    NoChunkEnd,
    /// More bytes than a body may have.
    #[display("a body that is too large")]
    TooLarge,
    /// Trailers without an end.
    #[display("trailers without an end")]
    TrailersTooLong,
    /// It has to be kept whole, and there is no memory for that.
    #[display("there is no memory for the answer")]
    NoMemory,
}

impl From<FramingError> for AnswerError {
    fn from(error: FramingError) -> AnswerError {
        AnswerError::Framing(error)
    }
}

impl From<BudgetExhausted> for AnswerError {
    fn from(_: BudgetExhausted) -> AnswerError {
        AnswerError::NoMemory
    }
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By its last chunk.
    Chunked,
    /// By the end of its connection.
    UntilClose,
}

impl Framing {
    /// Bytes of the body, where they are known before its end.
    pub fn length(self) -> Option<usize> {
        match self {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }
}

/// What is due next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many bytes, and nothing behind them.
    Bytes(usize),
    /// The line with the size of a chunk.
    SizeLine,
    /// So many bytes of a chunk.
    Chunk(usize),
    /// The line end behind a chunk.
    ChunkEnd,
    /// Trailers, of which so many bytes were read.
    Trailers(usize),
    /// Bytes, until the connection ends.
    UntilClose,
    /// Nothing.
    Complete,
}

/// Reads one body.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    /// Bytes that were read off the connection and not handed on.
    buffer: BytesMut,
    /// Bytes of the body that were handed on.
    read: usize,
}

impl BodyReader {
    /// A body that begins with what stands in `buffer`.
    pub fn new(framing: Framing, buffer: BytesMut) -> BodyReader {
        let state = match framing {
            Framing::Length(length) => State::Bytes(length),
            Framing::Chunked => State::SizeLine,
            Framing::UntilClose => State::UntilClose,
        };
        BodyReader { state, buffer, read: 0 }
    }

    /// Bytes that were read behind the body.
    pub fn into_buffer(self) -> BytesMut {
        self.buffer
    }

    /// Bytes of a body whose length is known that are here already, [`CHUNK_BYTES`] at the most.
    pub fn buffered(&mut self) -> Option<Bytes> {
        let State::Bytes(remaining) = self.state else { return None };
        let bytes = self.buffer.len().min(remaining).min(CHUNK_BYTES);
        let piece = self.buffer.split_to(bytes).freeze();
        self.state = State::Bytes(remaining - bytes);
        self.read += bytes;
        Some(piece)
    }

    /// The next bytes of the body, [`CHUNK_BYTES`] at the most; `None` once it is complete.
    ///
    /// # Errors
    ///
    /// The body breaks off, or what comes is no body of its framing. Nothing more can be read then.
    pub async fn next(&mut self, stream: &mut TcpStream) -> Result<Option<Bytes>, AnswerError> {
        loop {
            match self.state {
                State::Complete => return Ok(None),
                State::Bytes(0) => self.state = State::Complete,
                State::Bytes(remaining) => {
                    let piece = self.piece(stream, remaining).await?;
                    self.state = State::Bytes(remaining - piece.len());
                    return Ok(Some(piece));
                }
                State::SizeLine => self.state = self.read_size_line(stream).await?,
                State::Chunk(0) => self.state = State::ChunkEnd,
                State::Chunk(remaining) => {
                    let piece = self.piece(stream, remaining).await?;
                    self.state = State::Chunk(remaining - piece.len());
                    return Ok(Some(piece));
                }
                State::ChunkEnd => self.state = self.read_chunk_end(stream).await?,
                State::Trailers(bytes) => self.state = self.read_trailer(stream, bytes).await?,
                State::UntilClose => match self.piece_or_end(stream).await? {
                    Some(piece) => return Ok(Some(piece)),
                    None => self.state = State::Complete,
                },
            }
        }
    }

    /// Bytes of the body, `most` at the most; waits for one at the least.
    async fn piece(&mut self, stream: &mut TcpStream, most: usize) -> Result<Bytes, AnswerError> {
        if self.buffer.is_empty() {
            // No more is read ahead than is handed on at a time.
            self.buffer.reserve(most.min(CHUNK_BYTES));
            self.read_more(stream).await?;
        }
        let piece = self.buffer.split_to(self.buffer.len().min(most).min(CHUNK_BYTES)).freeze();
        self.read += piece.len();
        Ok(piece)
    }

    async fn piece_or_end(&mut self, stream: &mut TcpStream) -> Result<Option<Bytes>, AnswerError> {
        let most = MAX_BODY_BYTES - self.read;
        if most == 0 {
            return Err(AnswerError::TooLarge);
        }
        match self.piece(stream, most).await {
            Ok(piece) => Ok(Some(piece)),
            Err(AnswerError::Closed) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn read_size_line(&mut self, stream: &mut TcpStream) -> Result<State, AnswerError> {
        let line = loop {
            match chunk_framing::size_line(&self.buffer)? {
                Some(line) => break line,
                None => self.read_more(stream).await?,
            }
        };
        let _ = self.buffer.split_to(line.length);
        let room = MAX_BODY_BYTES - self.read;
        let size = usize::try_from(line.size).ok().filter(|size| *size <= room);
        match size.ok_or(AnswerError::TooLarge)? {
            0 => Ok(State::Trailers(0)),
            size => Ok(State::Chunk(size)),
        }
    }

    async fn read_chunk_end(&mut self, stream: &mut TcpStream) -> Result<State, AnswerError> {
        while self.buffer.len() < LINE_END.len() {
            self.read_more(stream).await?;
        }
        let is_line_end = self.buffer.split_to(LINE_END.len())[..] == *LINE_END;
        if is_line_end { Ok(State::SizeLine) } else { Err(AnswerError::NoChunkEnd) }
    }

    /// Reads one line behind the last chunk; `bytes` of them were read before.
    async fn read_trailer(&mut self, stream: &mut TcpStream, bytes: usize) -> Result<State, AnswerError> {
        let line = loop {
            match chunk_framing::trailer_line(&self.buffer)? {
                Some(line) => break line,
                None => self.read_more(stream).await?,
            }
        };
        let (TrailerLine::End(length) | TrailerLine::Field(length)) = line;
        let _ = self.buffer.split_to(length);
        match line {
            TrailerLine::End(_) => Ok(State::Complete),
            TrailerLine::Field(_) if bytes + length > MAX_TRAILERS_BYTES => Err(AnswerError::TrailersTooLong),
            TrailerLine::Field(_) => Ok(State::Trailers(bytes + length)),
        }
    }

    async fn read_more(&mut self, stream: &mut TcpStream) -> Result<(), AnswerError> {
        read_more(stream, &mut self.buffer).await
    }
}

/// Reads what comes next off a connection.
///
/// # Errors
///
/// It has ended, or broke.
pub async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<(), AnswerError> {
    buffer.reserve(MIN_READ_BYTES);
    match stream.read_buf(buffer).await {
        Ok(0) => Err(AnswerError::Closed),
        Ok(_) => Ok(()),
        Err(error) => Err(AnswerError::Io(error)),
    }
}
