//! One request at the backend of this machine, over HTTP/1.1, one at a time on each connection.
//!
//! An answer counts only where it carries the id of the request and is complete; what else comes is left out, and ends the connection where
//! it can't be told apart ([`crate::backend_connection`]).
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use notchspool::units::Micros;
use notchspool_mesh_protocol::{Request, Response, Verdict};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::answer_body::BodyReader;
use crate::answer_parser::{Answer, AnswerReader, ReadOptions, StreamedBodies};
use crate::backend_connection::{Action, BackendConnection, BackendVerdict, Event};
use crate::backend_pool::{BackendPool, PooledConnection};
use crate::body_budget::BodyReservation;
use crate::body_pipe::{BodyEnd, BodyPipe};
use crate::context::{Context, within};
use crate::headers::{CALLING_SERVICE, TARGET_INSTANCE, TIME_LEFT};
use crate::link_load::LinkLoad;
use crate::request_body::BodySource;

/// A connection to the same machine is up by then.
const CONNECT_TIMEOUT: Micros = Micros::ms(500);
/// Bodies that occupy the machine's link for longer than this part of a second are streamed, but those that are kept for their keys. The
/// bounds of that size in bytes: full ones can be asked for again where they break off, so streaming is for what needs it.
const STREAM_FROM_LINK_SECONDS: f64 = 0.01;
const MIN_STREAMED_BYTES: usize = 16 << 10;
const MAX_UNSTREAMED_BYTES: usize = 256 << 10;
/// With less time left a request is not sent any more.
const MIN_TIME_LEFT: Micros = Micros::ms(2);

/// What came of a request at the backend.
pub struct BackendOutcome {
    /// Its answer, or what else is known, as it goes on to where the request began.
    pub response: Response,
    /// The rest of a large answer.
    pub rest: Option<BodyPipe>,
    /// The memory that a large answer takes which was kept whole.
    pub memory: BodyReservation,
}

impl BackendOutcome {
    fn of_response(response: Response) -> BackendOutcome {
        BackendOutcome { response, rest: None, memory: BodyReservation::default() }
    }

    /// The backend took no connection, or none was asked for: not a byte was sent.
    fn not_reached(reason: &str) -> BackendOutcome {
        let verdict = Verdict::NotRun.into();
        BackendOutcome::of_response(Response { verdict, reason: reason.into(), ..Response::default() })
    }

    fn may_have_run(reason: &str) -> BackendOutcome {
        let verdict = Verdict::MayHaveRun.into();
        let reason = reason.into();
        BackendOutcome::of_response(Response {
            verdict,
            reached_backend: true,
            reason,
            ..Response::default()
        })
    }

    fn answered(verdict: BackendVerdict, answer: Answer) -> BackendOutcome {
        let response = verdict.into_response(0, answer.response);
        BackendOutcome { memory: answer.memory, ..BackendOutcome::of_response(response) }
    }
}

/// The backend of this machine, over its connections.
pub struct BackendClient {
    context: Rc<Context>,
    pool: BackendPool,
    link_load: Rc<LinkLoad>,
}

impl BackendClient {
    /// No connection is open yet.
    pub fn new(context: Rc<Context>, link_load: Rc<LinkLoad>) -> BackendClient {
        BackendClient { context, pool: BackendPool::default(), link_load }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self, now: Micros) {
        self.pool.close_expired(now);
    }

    /// Sends a request to the backend, with the body from `body`, and reads its answer.
    pub async fn send(
        self: &Rc<BackendClient>,
        request: &Request,
        body: BodySource,
        deadline: Micros,
    ) -> BackendOutcome {
        let Some(app_address) = self.context.settings().app_address else {
            return BackendOutcome::not_reached("no backend is told");
        };
        let pooled = match self.pool.take(self.context.now(), &request.attempt_id) {
            Some(pooled) => pooled,
            None => match self.connect(app_address, request, deadline).await {
                Ok(pooled) => pooled,
                Err(reason) => return BackendOutcome::not_reached(&reason),
            },
        };
        // Without it the connection works all the same.
        let _ = pooled.stream.set_nodelay(true);
        let time_left = deadline - self.context.now();
        if time_left <= MIN_TIME_LEFT {
            return BackendOutcome::not_reached("its time is over");
        }
        let exchange = self.exchange(pooled, request, body, time_left, deadline);
        let outcome = within(time_left, exchange).await;
        outcome.unwrap_or_else(|| BackendOutcome::may_have_run("no answer in time"))
    }

    async fn connect(
        &self,
        app_address: SocketAddr,
        request: &Request,
        deadline: Micros,
    ) -> Result<PooledConnection, String> {
        let timeout = CONNECT_TIMEOUT.min(deadline - self.context.now());
        let stream = match within(timeout, TcpStream::connect(app_address)).await {
            Some(Ok(stream)) => stream,
            Some(Err(e)) => return Err(format!("the backend takes no connection: {e}")),
            None => return Err("the backend takes no connection".into()),
        };
        let mut connection = BackendConnection::new();
        let now = self.context.now();
        connection.apply(Event::Begin { now, attempt_id: &request.attempt_id, quiet: true });
        Ok(PooledConnection { stream, connection })
    }

    async fn exchange(
        self: &Rc<BackendClient>,
        pooled: PooledConnection,
        request: &Request,
        body: BodySource,
        time_left: Micros,
        deadline: Micros,
    ) -> BackendOutcome {
        let PooledConnection { mut stream, mut connection } = pooled;
        match write_request(&mut stream, &request_head(request, time_left), body).await {
            Ok(Written::Completely) => connection.apply(Event::Written),
            Ok(Written::UntilEarlyData) => connection.apply(Event::EarlyData),
            Err(e) => return BackendOutcome::may_have_run(&format!("writing: {e}")),
        };
        let mut reader = AnswerReader::new(&mut stream);
        let mut answer = match self.read_own_answer(&mut reader, &mut connection, request).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        let buffer = reader.into_buffer();
        if let Some(rest) = answer.rest.take() {
            let unread = UnreadBody {
                pooled: PooledConnection { stream, connection },
                reader: rest.reader,
                length: rest.length,
                read_bytes: answer.response.body.len(),
                reusable_until: answer.reusable_until,
                kind: request.latency_target_ms,
            };
            return self.stream_rest(unread, answer, deadline);
        }
        let complete = Event::Complete { reusable_until: answer.reusable_until, surplus: !buffer.is_empty() };
        if let Action::Reuse(_) = connection.apply(complete) {
            self.pool.keep(PooledConnection { stream, connection });
        }
        BackendOutcome::answered(answer.head.verdict(), answer)
    }

    /// Reads answers until one is this request's, or what became of it without one.
    async fn read_own_answer(
        &self,
        reader: &mut AnswerReader<'_>,
        connection: &mut BackendConnection,
        request: &Request,
    ) -> Result<Answer, BackendOutcome> {
        let options = self.read_options(request);
        loop {
            let answer = match reader.read_answer(self.context.now(), options).await {
                Ok(answer) => answer,
                Err(reason) => {
                    if connection.is_reused() {
                        self.context.count("reused_broke");
                    }
                    return Err(BackendOutcome::may_have_run(&reason.to_string()));
                }
            };
            match connection.apply(Event::Head(&answer.head)) {
                Action::ReadAnswer => return Ok(answer),
                Action::SkipAnswer => {
                    // An answer to an earlier request, in the place of this one's.
                    self.context.count("answers_astray");
                    let complete = Event::Complete { reusable_until: answer.reusable_until, surplus: false };
                    match connection.apply(complete) {
                        Action::Continue => {}
                        Action::MayHaveRun(reason) => return Err(BackendOutcome::may_have_run(reason)),
                        _ => return Err(BackendOutcome::may_have_run("the connection broke")),
                    }
                }
                Action::Refused(verdict) => return Err(BackendOutcome::answered(verdict, answer)),
                Action::MayHaveRun(reason) => {
                    self.context.count("answers_astray");
                    return Err(BackendOutcome::may_have_run(reason));
                }
                _ => return Err(BackendOutcome::may_have_run("the connection broke")),
            }
        }
    }

    /// Answers to keyed operations are kept whole, for their repeats.
    fn read_options<'a>(&'a self, request: &'a Request) -> ReadOptions<'a> {
        let streamed = request.key.is_empty().then(|| StreamedBodies {
            attempt_id: &request.attempt_id,
            min_bytes: self.min_streamed_bytes(),
            takes_unknown_length: request.takes_unknown_length,
        });
        let (head_only, budget) = (request.method == "HEAD", Some(&self.context.answer_budget));
        ReadOptions { head_only, streamed, budget }
    }

    fn min_streamed_bytes(&self) -> usize {
        let bytes = self.context.link_bytes_per_second() * STREAM_FROM_LINK_SECONDS;
        (bytes as usize).clamp(MIN_STREAMED_BYTES, MAX_UNSTREAMED_BYTES)
    }

    /// The first part of a large answer now, the rest through a pipe.
    fn stream_rest(
        self: &Rc<BackendClient>,
        unread: UnreadBody,
        answer: Answer,
        deadline: Micros,
    ) -> BackendOutcome {
        let length = unread.length.unwrap_or(0) as u64;
        if let Some(length) = unread.length {
            self.link_load.measure(unread.kind, length);
        }
        let pipe = BodyPipe::default();
        tokio::task::spawn_local(self.clone().read_rest(unread, pipe.clone(), deadline));
        let response = Response { more: true, length, ..answer.response };
        let response = BackendVerdict::Answered.into_response(0, response);
        BackendOutcome { response, rest: Some(pipe), memory: answer.memory }
    }

    /// Reads the rest of a large answer into its pipe. The connection is kept where the body came completely and nothing after it.
    async fn read_rest(self: Rc<BackendClient>, mut unread: UnreadBody, pipe: BodyPipe, deadline: Micros) {
        loop {
            let read = async {
                if !pipe.wait_for_room().await {
                    return None;
                }
                unread.reader.next(&mut unread.pooled.stream).await.ok()
            };
            match within(deadline - self.context.now(), read).await.flatten() {
                Some(Some(piece)) => {
                    unread.read_bytes += piece.len();
                    pipe.write(piece);
                }
                Some(None) => break,
                None => {
                    self.context.count("pieces_broke");
                    return pipe.finish(BodyEnd::Truncated);
                }
            }
        }
        pipe.finish(BodyEnd::Complete);
        self.on_body_read(unread);
    }

    fn on_body_read(&self, unread: UnreadBody) {
        let UnreadBody { mut pooled, reader, length, read_bytes, reusable_until, kind } = unread;
        if length.is_none() {
            self.link_load.measure(kind, read_bytes);
        }
        let complete = Event::Complete { reusable_until, surplus: !reader.into_buffer().is_empty() };
        if let Action::Reuse(_) = pooled.connection.apply(complete) {
            self.pool.keep(pooled);
        }
    }
}

/// What is left of a large answer, and its connection.
struct UnreadBody {
    pooled: PooledConnection,
    reader: BodyReader,
    /// Bytes of the whole body, where they are known.
    length: Option<usize>,
    /// Bytes that were read.
    read_bytes: usize,
    reusable_until: Option<Micros>,
    /// What kind of response it is, for the load of the link.
    kind: u32,
}

enum Written {
    Completely,
    /// Bytes, or the end, came before the request was written completely: nothing more is written.
    UntilEarlyData,
}

async fn write_request(
    stream: &mut TcpStream,
    head: &[u8],
    mut body: BodySource,
) -> std::io::Result<Written> {
    let (mut reader, mut writer) = stream.split();
    let mut byte = [0u8; 1];
    let write = async {
        writer.write_all(head).await?;
        let broke_off = |_| std::io::Error::other("the body of the request broke off");
        while let Some(piece) = body.next().await.map_err(broke_off)? {
            writer.write_all(&piece).await?;
        }
        Ok(Written::Completely)
    };
    // What can be written at once is: only then it is looked whether something comes.
    tokio::select! {
        biased;
        written = write => written,
        peeked = reader.peek(&mut byte) => peeked.map(|_| Written::UntilEarlyData),
    }
}

fn request_head(request: &Request, time_left: Micros) -> BytesMut {
    let mut head = BytesMut::with_capacity(512);
    let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| head.extend_from_slice(part));
    let (method, target, host) =
        (request.method.as_bytes(), request.target.as_bytes(), request.host.as_bytes());
    put(&[method, b" ", target, b" HTTP/1.1\r\nhost: ", host, b"\r\n"]);
    for header in &request.headers {
        put(&[header.name.as_bytes(), b": ", &header.value, b"\r\n"]);
    }
    let time_left_ms = (time_left.0 / 1000).max(1).to_string();
    put(&[TIME_LEFT.as_bytes(), b": ", time_left_ms.as_bytes(), b"\r\n"]);
    put(&[TARGET_INSTANCE.as_bytes(), b": ", request.instance.as_bytes(), b"\r\n"]);
    put(&[CALLING_SERVICE.as_bytes(), b": ", request.caller.as_bytes(), b"\r\n"]);
    let takes_body = matches!(request.method.as_str(), "POST" | "PUT" | "PATCH");
    let length = if request.remote_body { request.body_length } else { request.body.len() as u64 };
    if length > 0 || takes_body {
        put(&[b"content-length: ", length.to_string().as_bytes(), b"\r\n"]);
    }
    put(&[b"\r\n"]);
    head
}
