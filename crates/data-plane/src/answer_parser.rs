//! Reads answers of the backend off its connection (HTTP/1.1, RFC 9112).
use bytes::{Bytes, BytesMut};
use notchspool::units::Micros;
use notchspool_mesh_protocol::{Header, MIN_HEADERS, Response};
use tokio::net::TcpStream;

use crate::answer_body::{self, AnswerError, BodyReader, Framing, MAX_BODY_BYTES};
use crate::backend_connection::{AnswerHead, AnswerId, BackendVerdict};
use crate::body_budget::{BodyReservation, MemoryBudget};
use crate::headers::{ATTEMPT_ID, NOT_RUN, SERVER_SEAL, is_hop_by_hop};
use crate::kept_body::KeptBody;

/// Idle connections are kept for this long where the backend says nothing.
const DEFAULT_KEEP_ALIVE: Micros = Micros::ms(8_000);
/// Taken off a `Keep-Alive` time, so that a request does not meet the backend's close.
const KEEP_ALIVE_MARGIN: Micros = Micros::ms(1_000);
const MAX_KEEP_ALIVE_S: i64 = 3_600;
/// Bytes of an answer's head at most.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// An answer as it was read.
pub struct Answer {
    /// Status, headers and body, or the first part of the body.
    pub response: Response,
    /// What its head says.
    pub head: AnswerHead,
    /// Until when the connection may be used again; `None` where it may not.
    pub reusable_until: Option<Micros>,
    /// The rest of a large body.
    pub rest: Option<BodyRest>,
    /// The memory that its body takes.
    pub memory: BodyReservation,
}

/// The rest of a large body, which has not been read.
pub struct BodyRest {
    /// Reads it.
    pub reader: BodyReader,
    /// Bytes of the whole body, where they are known.
    pub length: Option<usize>,
}

/// Which bodies are left to the caller: those of this attempt, from a size on.
#[derive(Clone, Copy)]
pub struct StreamedBodies<'a> {
    /// The request's attempt id.
    pub attempt_id: &'a str,
    /// Bytes from which on a body is left to the caller.
    pub min_bytes: usize,
    /// The caller takes bodies whose length is not known before their end.
    pub takes_unknown_length: bool,
}

/// How an answer is to be read.
#[derive(Clone, Copy, Default)]
pub struct ReadOptions<'a> {
    /// It answers a HEAD request.
    pub head_only: bool,
    /// Bodies that are left to the caller; all others are kept whole.
    pub streamed: Option<StreamedBodies<'a>>,
    /// Memory for large bodies that are kept whole; without a bound where there is none.
    pub budget: Option<&'a MemoryBudget>,
}

/// Reads answers off one connection.
pub struct AnswerReader<'a> {
    stream: &'a mut TcpStream,
    /// Bytes that were read and belong to no answer yet.
    buffer: BytesMut,
}

impl<'a> AnswerReader<'a> {
    /// Reads from `stream`.
    pub fn new(stream: &'a mut TcpStream) -> AnswerReader<'a> {
        AnswerReader { stream, buffer: BytesMut::with_capacity(4096) }
    }

    /// Bytes that were read behind the last answer.
    pub fn into_buffer(self) -> BytesMut {
        self.buffer
    }

    /// Reads the next answer, or its head and the first part of a large body.
    ///
    /// # Errors
    ///
    /// Why there is no answer; nothing more can be read then.
    pub async fn read_answer(
        &mut self,
        now: Micros,
        options: ReadOptions<'_>,
    ) -> Result<Answer, AnswerError> {
        let (mut answer, framing) = self.read_final_head(now).await?;
        let has_no_body = options.head_only || matches!(answer.head.status, 204 | 304);
        let framing = if has_no_body { Framing::Length(0) } else { framing };
        if framing == Framing::UntilClose {
            answer.reusable_until = None;
        }
        let streamed = options.streamed.filter(|streamed| streamed.includes(&answer.head, framing));
        let reader = BodyReader::new(framing, std::mem::take(&mut self.buffer));
        match streamed {
            Some(StreamedBodies { min_bytes, .. }) => {
                self.read_first_part(answer, framing, reader, min_bytes).await
            }
            None => self.read_whole(answer, framing, reader, options.budget).await,
        }
    }

    async fn read_whole(
        &mut self,
        mut answer: Answer,
        framing: Framing,
        mut reader: BodyReader,
        budget: Option<&MemoryBudget>,
    ) -> Result<Answer, AnswerError> {
        let mut kept = KeptBody::new(framing.length(), budget);
        while let Some(piece) = reader.next(self.stream).await? {
            kept.push(piece).await?;
        }
        self.buffer = reader.into_buffer();
        (answer.response.body, answer.memory) = kept.finish().await?;
        Ok(answer)
    }

    /// Of a body that is known to be large what is here; of one without a length so much that it is known to be large. It stands in no budget:
    /// the rest is read as it is passed on.
    async fn read_first_part(
        &mut self,
        mut answer: Answer,
        framing: Framing,
        mut reader: BodyReader,
        min_bytes: usize,
    ) -> Result<Answer, AnswerError> {
        let length = framing.length();
        let mut first = KeptBody::new(None, None);
        while length.is_none() && first.len() < min_bytes {
            match reader.next(self.stream).await? {
                Some(piece) => first.push(piece).await?,
                None => {
                    self.buffer = reader.into_buffer();
                    answer.response.body = first.finish().await?.0;
                    return Ok(answer);
                }
            }
        }
        answer.response.body = match length {
            Some(_) => reader.buffered().unwrap_or_default(),
            None => first.finish().await?.0,
        };
        answer.rest = Some(BodyRest { reader, length });
        Ok(answer)
    }

    /// Reads heads until one is not informational (1xx).
    async fn read_final_head(&mut self, now: Micros) -> Result<(Answer, Framing), AnswerError> {
        loop {
            match buffered_head(&self.buffer, now)? {
                BufferedHead::Final { length, answer, framing } => {
                    let _ = self.buffer.split_to(length);
                    return Ok((*answer, framing));
                }
                BufferedHead::Informational { length } => drop(self.buffer.split_to(length)),
                BufferedHead::Incomplete if self.buffer.len() > MAX_HEAD_BYTES => {
                    return Err(AnswerError::HeadTooLong);
                }
                BufferedHead::Incomplete => answer_body::read_more(self.stream, &mut self.buffer).await?,
            }
        }
    }
}

/// What stands at the front of a buffer where a head is due.
enum BufferedHead {
    /// A head that more answers follow, of so many bytes.
    Informational { length: usize },
    /// The head of the answer, of so many bytes.
    Final { length: usize, answer: Box<Answer>, framing: Framing },
    /// Not all of a head.
    Incomplete,
}

/// Reads a head that is in the buffer. No await is in here: the room for its headers would be part of every future that reads an answer.
fn buffered_head(buffer: &[u8], now: Micros) -> Result<BufferedHead, AnswerError> {
    let mut headers = [httparse::EMPTY_HEADER; MIN_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(buffer).map_err(AnswerError::NoAnswer)?;
    let httparse::Status::Complete(length) = parsed else { return Ok(BufferedHead::Incomplete) };
    let status = response.code.unwrap_or(0);
    if (100..200).contains(&status) {
        return Ok(BufferedHead::Informational { length });
    }
    let (answer, framing) = parse_head(&response, status, now)?;
    Ok(BufferedHead::Final { length, answer: Box::new(answer), framing })
}

impl StreamedBodies<'_> {
    /// Whether the body of this answer is left to the caller, where it is large.
    fn includes(&self, head: &AnswerHead, framing: Framing) -> bool {
        let is_large = match framing {
            Framing::Length(length) => length >= self.min_bytes,
            Framing::Chunked | Framing::UntilClose => self.takes_unknown_length,
        };
        is_large
            && head.id == AnswerId::One(self.attempt_id.to_string())
            && (200..300).contains(&head.status)
            && head.verdict() == BackendVerdict::Answered
    }
}

fn parse_head(
    response: &httparse::Response<'_, '_>,
    status: u16,
    now: Micros,
) -> Result<(Answer, Framing), AnswerError> {
    let is_http_1_1 = response.version == Some(1);
    let mut answer = Answer {
        response: Response { status: u32::from(status), ..Response::default() },
        head: AnswerHead { status, ..AnswerHead::default() },
        reusable_until: is_http_1_1.then_some(now + DEFAULT_KEEP_ALIVE),
        rest: None,
        memory: BodyReservation::default(),
    };
    let mut length = None;
    let mut chunked = false;
    for header in response.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        let text = || {
            std::str::from_utf8(header.value).map(str::trim).map_err(|_| AnswerError::NoText(name.clone()))
        };
        match name.as_str() {
            "content-length" => {
                let parsed = parse_length(text()?).ok_or(AnswerError::NoLength)?;
                if length.is_some_and(|earlier| earlier != parsed) || parsed > MAX_BODY_BYTES {
                    return Err(AnswerError::NoLength);
                }
                length = Some(parsed);
            }
            "transfer-encoding" => {
                // Twice, or in a version that has no chunks, it says nothing that can be relied on.
                if chunked || !is_http_1_1 || !text()?.eq_ignore_ascii_case("chunked") {
                    return Err(AnswerError::UnknownEncoding);
                }
                chunked = true;
            }
            "connection" if text()?.to_ascii_lowercase().contains("close") => answer.reusable_until = None,
            "keep-alive" => {
                if let Some(keep_alive) = keep_alive(text()?).filter(|_| answer.reusable_until.is_some()) {
                    answer.reusable_until = Some(now + keep_alive);
                }
            }
            ATTEMPT_ID => answer.head.id = merged_id(&answer.head.id, header.value),
            SERVER_SEAL => answer.head.sealed = true,
            NOT_RUN => answer.head.not_run = true,
            "content-encoding" => answer.head.encoded = !text()?.eq_ignore_ascii_case("identity"),
            _ => {}
        }
        if !is_hop_by_hop(&name) {
            answer.response.headers.push(Header { name, value: Bytes::copy_from_slice(header.value) });
        }
    }
    let framing = match (chunked, length) {
        (true, Some(_)) => return Err(AnswerError::LengthAndChunks),
        (true, None) => Framing::Chunked,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    };
    Ok((answer, framing))
}

/// A length is digits alone: no sign.
fn parse_length(text: &str) -> Option<usize> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

/// The time in a `Keep-Alive` header, less a margin.
fn keep_alive(value: &str) -> Option<Micros> {
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<i64>().ok());
    Some(Micros::ms(seconds?.clamp(0, MAX_KEEP_ALIVE_S) * 1_000) - KEEP_ALIVE_MARGIN)
}

/// The id of an answer, after one more header that names it.
fn merged_id(earlier: &AnswerId, value: &[u8]) -> AnswerId {
    let id = std::str::from_utf8(value).map(|value| AnswerId::One(value.trim().to_string()));
    match (earlier, id) {
        (AnswerId::Missing, Ok(id)) => id,
        (earlier, Ok(id)) if *earlier == id => id,
        _ => AnswerId::Ambiguous,
    }
}
