//! `FastCGI` on the lab's side: backends that speak it, several requests at once on a connection, and clients that do.
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use notchspool_fastcgi::cgi;
use notchspool_fastcgi::client::{self, ClientLimits, ClientSide};
use notchspool_fastcgi::protocol::{ProtocolStatus, RecordType, RequestId};
use notchspool_fastcgi::record::put_stream;
use notchspool_fastcgi::server::{Event, Request, ServerLimits, ServerSide};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::stage::{Gate, Stage};
use super::trace_id::{body_of, txn_of};
use crate::core::fleet::{Reply, Wanted};
use crate::core::kit::*;
use crate::core::ledger::End;
use crate::http::Head;

/// What a connection ends with.
enum Over {
    Closed,
    Reset,
}

struct Link {
    stage: Rc<Stage>,
    back: BackId,
    gate: watch::Receiver<Gate>,
    io: TcpStream,
    server: ServerSide,
    /// What is in hand, by id.
    out: BTreeMap<RequestId, (PostingId, Wanted)>,
    waits: FuturesUnordered<LocalBoxFuture<'static, (RequestId, Option<Reply>)>>,
}

/// Serves one connection of a backend till it ends.
pub async fn serve(
    stage: Rc<Stage>,
    back: BackId,
    view: usize,
    io: TcpStream,
    idle: Duration,
    at_once: usize,
) {
    let _ = io.set_nodelay(true);
    let gate = stage.gates[back.0][view].subscribe();
    let now = stage.now();
    stage.world.borrow_mut().fleet.linked(now, back);
    let server = ServerSide::new(ServerLimits { requests: at_once, params: 64 * 1024, body: 64 * 1024 });
    let waits = FuturesUnordered::new();
    let mut link = Link { stage, back, gate, io, server, out: BTreeMap::new(), waits };
    let over = link.run(idle).await;
    let end = if matches!(over, Over::Closed) { End::GivenUp } else { End::Broken };
    for (posting, _) in std::mem::take(&mut link.out).into_values() {
        link.stage.waiters.borrow_mut().remove(&posting);
        link.over(posting, end);
    }
    if matches!(over, Over::Reset) {
        let _ = link.io.set_zero_linger();
    }
}

impl Link {
    fn over(&self, posting: PostingId, end: End) {
        let now = self.stage.now();
        self.stage.world.borrow_mut().fleet.over(now, posting, end);
        self.stage.poke.notify_one();
    }

    async fn run(&mut self, idle: Duration) -> Over {
        let mut fresh = true;
        loop {
            let state = *self.gate.borrow_and_update();
            if !state.up {
                return Over::Reset;
            }
            let mut came = BytesMut::with_capacity(8192);
            let patience = if self.out.is_empty() { idle } else { Duration::from_secs(3600) };
            tokio::select! {
                biased;
                _ = self.gate.changed() => {
                    let now = *self.gate.borrow();
                    if state.cut && !now.cut {
                        return Over::Reset;
                    }
                }
                read = timeout(patience, self.io.read_buf(&mut came)) => match read {
                    Err(_) | Ok(Ok(0) | Err(_)) => return Over::Closed,
                    Ok(Ok(_)) if state.cut => {}
                    Ok(Ok(_)) => {
                        if state.forgets && !fresh && self.out.is_empty() {
                            return Over::Reset;
                        }
                        fresh = false;
                        let nth = self.stage.now().0 as u64;
                        if self.stage.world.borrow().fleet.breaks_before(self.back, nth) {
                            return Over::Reset;
                        }
                        if let Err(over) = self.take(&came).await {
                            return over;
                        }
                    }
                },
                Some((id, reply)) = self.waits.next(), if !self.waits.is_empty() => {
                    if let Err(over) = self.answer(id, reply.unwrap_or(Reply::Reset), state.cut).await {
                        return over;
                    }
                }
            }
        }
    }

    async fn take(&mut self, came: &[u8]) -> Result<(), Over> {
        let mut events = Vec::new();
        let taken = self.server.receive(came, &mut events);
        for event in events {
            match event {
                Event::Request(request) => self.asked(request).await?,
                Event::Aborted(id) => {
                    if let Some((posting, _)) = self.out.remove(&id) {
                        self.stage.waiters.borrow_mut().remove(&posting);
                        self.over(posting, End::GivenUp);
                    }
                    self.say(id, b"", ProtocolStatus::Complete).await?;
                }
                Event::Send(bytes) => self.io.write_all(&bytes).await.map_err(|_| Over::Closed)?,
                Event::Close => return Err(Over::Closed),
            }
        }
        taken.map_err(|_| Over::Closed)
    }

    async fn say(&mut self, id: RequestId, stdout: &[u8], ended: ProtocolStatus) -> Result<(), Over> {
        match self.server.answer(id, stdout, ended) {
            Some(answered) => self.io.write_all(&answered.bytes).await.map_err(|_| Over::Closed),
            None => Ok(()),
        }
    }

    async fn asked(&mut self, request: Request) -> Result<(), Over> {
        let told = cgi::parse_request(&request.params).unwrap_or_default();
        let trace = told
            .headers
            .iter()
            .find(|h| h.0 == "x-trace-id")
            .map(|h| String::from_utf8_lossy(&h.1).into_owned());
        let wanted =
            trace.and_then(|t| txn_of(&t)).and_then(|txn| self.stage.wanted.borrow().get(&txn).copied());
        let Some(wanted) = wanted else {
            let said = cgi::encode_answer(404, std::iter::empty(), b"no such txn\n");
            return self.say(request.id, &said, ProtocolStatus::Complete).await;
        };
        let now = self.stage.now();
        let (posting, at_once) = {
            let mut world = self.stage.world.borrow_mut();
            let Some(posting) = world.fleet.began(now, now, self.back, wanted) else {
                return Err(Over::Reset);
            };
            (posting, world.fleet.came(now, posting))
        };
        self.out.insert(request.id, (posting, wanted));
        match at_once {
            Some(reply) => self.answer(request.id, reply, false).await,
            None => {
                let (tell, told) = oneshot::channel();
                self.stage.waiters.borrow_mut().insert(posting, tell);
                self.stage.poke.notify_one();
                let id = request.id;
                self.waits.push(Box::pin(async move { (id, told.await.ok()) }));
                Ok(())
            }
        }
    }

    async fn answer(&mut self, id: RequestId, reply: Reply, cut: bool) -> Result<(), Over> {
        // A wait that ended for a request that was given up meanwhile.
        let Some(&(posting, wanted)) = self.out.get(&id) else { return Ok(()) };
        if cut || reply == Reply::Nothing {
            return Ok(()); // it stays out until the other side has had enough
        }
        self.out.remove(&id);
        let load = self.stage.world.borrow().fleet.load(self.back);
        let report = format!(
            "TEXT inflight={:.0}, queue={:.0}, util={:.3}",
            load.in_flight, load.queue, load.utilisation
        );
        let headers = [("Endpoint-Load-Metrics", report.as_bytes())];
        let body = body_of(wanted.txn);
        let said = |status, body: &str| cgi::encode_answer(status, headers.into_iter(), body.as_bytes());
        let (sent, end) = match reply {
            Reply::Settled => (self.say(id, &said(200, &body), ProtocolStatus::Complete).await, End::Settled),
            Reply::Errored => {
                (self.say(id, &said(500, "failed\n"), ProtocolStatus::Complete).await, End::Errored)
            }
            Reply::NeverRan => (self.say(id, b"", ProtocolStatus::Overloaded).await, End::NeverRan),
            Reply::CutOff => {
                let mut bytes = BytesMut::new();
                put_stream(&mut bytes, RecordType::Stdout, id, &said(200, &body));
                let _ = self.io.write_all(&bytes[..bytes.len() / 2]).await;
                (Err(Over::Closed), End::Broken)
            }
            Reply::Spoilt => {
                let _ = self.io.write_all(&[9; 24]).await;
                (Err(Over::Closed), End::Broken)
            }
            Reply::Reset | Reply::Nothing => (Err(Over::Reset), End::Broken),
        };
        let end = if sent.is_ok() || end == End::Broken { end } else { End::Broken };
        self.over(posting, end);
        sent
    }
}

/// A client's connection to an agent that takes `FastCGI`.
pub struct Fast {
    pub io: TcpStream,
}

impl Fast {
    pub async fn connect(at: SocketAddr) -> io::Result<Fast> {
        let io = TcpStream::connect(at).await?;
        io.set_nodelay(true)?;
        Ok(Fast { io })
    }

    pub async fn say(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let headers = headers.iter().map(|(n, v)| (*n, v.as_bytes()));
        let params = cgi::request_params(method, path, headers, body.len());
        self.io.write_all(&client::encode_request(RequestId(1), true, &params, body).bytes).await
    }

    /// Head and body of the answer; an overload as the 503 that it stands for.
    pub async fn hear(&mut self) -> io::Result<(Head, Bytes)> {
        let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_owned());
        let mut client = ClientSide::new(ClientLimits { stdout: 128 * 1024, stderr: 4096 });
        client.expect_answer(RequestId(1));
        loop {
            let mut came = BytesMut::with_capacity(4096);
            if self.io.read_buf(&mut came).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let mut events = Vec::new();
            client.receive(&came, &mut events).map_err(|why| bad(&why.to_string()))?;
            for event in events {
                let client::Event::Answered(answer) = event else { continue };
                let read = cgi::parse_answer(&answer.stdout);
                let parsed = match read {
                    None if answer.status == ProtocolStatus::Overloaded => {
                        return Ok((Head { status: 503, ..Head::default() }, Bytes::new()));
                    }
                    read => read.ok_or_else(|| bad("no head"))?,
                };
                let text = |v: &Bytes| String::from_utf8_lossy(v).into_owned();
                let headers = parsed.headers.iter().map(|(n, v)| (n.clone(), text(v))).collect();
                return Ok((Head { status: parsed.status, headers, ..Head::default() }, parsed.body));
            }
        }
    }
}
