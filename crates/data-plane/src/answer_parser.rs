//! Reads answers of the backend off its connection (HTTP/1.1, RFC 9112).
use bytes::{Bytes, BytesMut};
use notchspool::units::Micros;
use notchspool_mesh_protocol::{Header, MAX_HEADERS, Response};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::backend_connection::{AnswerHead, AnswerId, BackendVerdict};
use crate::chunk_framing::{self, SizeLine, TrailerLine};
use crate::headers::{ATTEMPT_ID, NOT_RUN, SERVER_SEAL, is_hop_by_hop};

/// Idle connections are kept for this long where the backend says nothing.
const DEFAULT_KEEP_ALIVE: Micros = Micros::ms(8_000);
/// Taken off a `Keep-Alive` time, so that a request does not meet the backend's close.
const KEEP_ALIVE_MARGIN: Micros = Micros::ms(1_000);
const MAX_KEEP_ALIVE_S: i64 = 3_600;
/// Bytes of an answer's head at most.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes of an answer's body at most.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Room is made for no more than this at a time.
const MAX_RESERVE_BYTES: usize = 1 << 20;
const LINE_END: &[u8; 2] = b"\r\n";

/// An answer as it was read.
pub struct Answer {
    /// Status, headers and body.
    pub response: Response,
    /// What its head says.
    pub head: AnswerHead,
    /// Until when the connection may be used again; `None` where it may not.
    pub reusable_until: Option<Micros>,
    /// Bytes of a large body, of which none has been read yet.
    pub unread_body: Option<usize>,
}

/// Which bodies are left to the caller: those of this attempt, from a size on.
#[derive(Clone, Copy)]
pub struct StreamedBodies<'a> {
    /// The request's attempt id.
    pub attempt_id: &'a str,
    /// Bytes from which on a body is left to the caller.
    pub min_bytes: usize,
}

enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
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

    async fn read_more(&mut self) -> Result<(), String> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) => Err("the backend closed".into()),
            Ok(_) => Ok(()),
            Err(e) => Err(format!("reading: {e}")),
        }
    }

    /// Reads the next answer. `head_only`: of a HEAD request. Bodies that `streamed` names are left unread.
    ///
    /// # Errors
    ///
    /// Why there is no answer; nothing more can be read then.
    pub async fn read_answer(
        &mut self,
        head_only: bool,
        now: Micros,
        streamed: Option<StreamedBodies<'_>>,
    ) -> Result<Answer, String> {
        let (mut answer, framing) = self.read_final_head(now).await?;
        let status = answer.head.status;
        let has_no_body = head_only || status == 204 || status == 304;
        let framing = if has_no_body { Framing::Length(0) } else { framing };
        if matches!(framing, Framing::UntilClose) {
            answer.reusable_until = None;
        }
        if let Framing::Length(length) = framing
            && streamed.is_some_and(|streamed| streamed.includes(&answer.head, length))
        {
            answer.unread_body = Some(length);
            return Ok(answer);
        }
        answer.response.body = self.read_body(framing).await?;
        Ok(answer)
    }

    /// Reads heads until one is not informational (1xx).
    async fn read_final_head(&mut self, now: Micros) -> Result<(Answer, Framing), String> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let parsed = response.parse(&self.buffer).map_err(|e| format!("no answer: {e}"))?;
            let httparse::Status::Complete(length) = parsed else {
                if self.buffer.len() > MAX_HEAD_BYTES {
                    return Err("a head without an end".into());
                }
                self.read_more().await?;
                continue;
            };
            let status = response.code.unwrap_or(0);
            if (100..200).contains(&status) {
                let _ = self.buffer.split_to(length);
                continue;
            }
            let head = parse_head(&response, status, now)?;
            let _ = self.buffer.split_to(length);
            return Ok(head);
        }
    }

    async fn read_body(&mut self, framing: Framing) -> Result<Bytes, String> {
        match framing {
            Framing::Length(length) => self.read_sized_body(length).await,
            Framing::UntilClose => self.read_until_close().await,
            Framing::Chunked => self.read_chunked_body().await,
        }
    }

    async fn read_sized_body(&mut self, length: usize) -> Result<Bytes, String> {
        self.buffer.reserve(length.saturating_sub(self.buffer.len()).min(MAX_RESERVE_BYTES));
        while self.buffer.len() < length {
            self.read_more().await.map_err(|e| format!("the body was cut short: {e}"))?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn read_until_close(&mut self) -> Result<Bytes, String> {
        loop {
            if self.buffer.len() > MAX_BODY_BYTES {
                return Err("a body without an end".into());
            }
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) => return Ok(self.buffer.split().freeze()),
                Ok(_) => {}
                Err(e) => return Err(format!("reading: {e}")),
            }
        }
    }

    async fn read_chunked_body(&mut self) -> Result<Bytes, String> {
        let mut body = BytesMut::new();
        loop {
            let SizeLine { length: start, size } = self.read_size_line().await?;
            let room = MAX_BODY_BYTES - body.len();
            let size = usize::try_from(size).ok().filter(|size| *size <= room).ok_or("a chunk too large")?;
            let _ = self.buffer.split_to(start);
            if size == 0 {
                self.skip_trailers().await?;
                return Ok(body.freeze());
            }
            while self.buffer.len() < size + LINE_END.len() {
                self.read_more().await?;
            }
            body.extend_from_slice(&self.buffer.split_to(size));
            if self.buffer.split_to(LINE_END.len())[..] != *LINE_END {
                return Err("no end of a chunk".into());
            }
        }
    }

    /// Reads the line before a chunk, and leaves it in the buffer.
    async fn read_size_line(&mut self) -> Result<SizeLine, String> {
        loop {
            match chunk_framing::size_line(&self.buffer).map_err(|e| e.to_string())? {
                Some(line) => return Ok(line),
                None => self.read_more().await?,
            }
        }
    }

    /// Reads trailers, up to an empty line.
    async fn skip_trailers(&mut self) -> Result<(), String> {
        let mut trailer_bytes = 0;
        loop {
            match chunk_framing::trailer_line(&self.buffer).map_err(|e| e.to_string())? {
                Some(TrailerLine::End(length)) => {
                    let _ = self.buffer.split_to(length);
                    return Ok(());
                }
                Some(TrailerLine::Field(length)) => {
                    let _ = self.buffer.split_to(length);
                    trailer_bytes += length;
                }
                None => self.read_more().await?,
            }
            if trailer_bytes > MAX_HEAD_BYTES {
                return Err("trailers without an end".into());
            }
        }
    }
}

impl StreamedBodies<'_> {
    /// Whether the body of this answer is left to the caller.
    fn includes(&self, head: &AnswerHead, length: usize) -> bool {
        length >= self.min_bytes
            && head.id == AnswerId::One(self.attempt_id.to_string())
            && (200..300).contains(&head.status)
            && head.verdict() == BackendVerdict::Answered
    }
}

fn parse_head(
    response: &httparse::Response<'_, '_>,
    status: u16,
    now: Micros,
) -> Result<(Answer, Framing), String> {
    let is_http_1_1 = response.version == Some(1);
    let mut answer = Answer {
        response: Response { status: u32::from(status), ..Response::default() },
        head: AnswerHead { status, ..AnswerHead::default() },
        reusable_until: is_http_1_1.then_some(now + DEFAULT_KEEP_ALIVE),
        unread_body: None,
    };
    let mut length = None;
    let mut chunked = false;
    for header in response.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        let text =
            || std::str::from_utf8(header.value).map(str::trim).map_err(|_| format!("{name} is no text"));
        match name.as_str() {
            "content-length" => {
                let parsed = parse_length(text()?).ok_or("no length")?;
                if length.is_some_and(|earlier| earlier != parsed) || parsed > MAX_BODY_BYTES {
                    return Err("no length that can be".into());
                }
                length = Some(parsed);
            }
            "transfer-encoding" => {
                // Twice, or in a version that has no chunks, it says nothing that can be relied on.
                if chunked || !is_http_1_1 || !text()?.eq_ignore_ascii_case("chunked") {
                    return Err("an encoding that is not known".into());
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
        (true, Some(_)) => return Err("a length and chunks".into()),
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
