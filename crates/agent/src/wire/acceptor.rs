//! The actor of a listener: accepts the connections of clients, and sees them all out when the agent ends.
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix::{
    Actor, ActorContext, AsyncContext, Context, Handler, Message, SpawnHandle, StreamHandler, System,
};
use actix_http::error::DispatchError;
use futures_util::future::LocalBoxFuture;
use notchspool::units::Micros;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::sync::oneshot;

use super::client_connections::ClientConnections;
use super::client_stream::{ClientStream, Socket};
use super::front_state::FrontState;

/// New connections may still come for a good part of this after the agent was asked to end.
const STILL_COMING: Micros = Micros::ms(900);
/// How often an agent that ends looks whether all is answered; also the pause where nothing can be accepted.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The pause after connections were closed for want of room.
const ROOM_SOON: Duration = Duration::from_millis(1);
/// How often connections are looked through for those not worth keeping.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Reason codes of connections that were not closed from here.
mod reason {
    /// It sent what is no request.
    pub const BAD_REQUEST: &str = "CALL_BAD_REQUEST";
    /// The client closed it.
    pub const CLOSED: &str = "CALL_CLOSED";
    /// It was reset.
    pub const RESET: &str = "CALL_RESET";
    /// It sent what is no HTTP.
    pub const BROKEN_HTTP: &str = "CALL_BROKEN_HTTP";
    /// Reading or writing failed.
    pub const FAILED: &str = "CALL_FAILED";
}

/// Serves one connection to its end.
pub type ServeConnection = Rc<dyn Fn(ClientStream) -> LocalBoxFuture<'static, Result<(), DispatchError>>>;

/// Where clients connect.
pub enum Listener {
    /// TCP.
    Tcp(TcpListener),
    /// A Unix socket.
    Unix(UnixListener),
}

/// A connection, and whose it is, for the log.
pub struct Accepted {
    socket: Socket,
    peer: String,
}

impl Accepted {
    fn tcp(stream: TcpStream, peer: std::net::SocketAddr) -> Accepted {
        Accepted { socket: Socket::Tcp(stream), peer: peer.to_string() }
    }

    fn unix(stream: UnixStream) -> Accepted {
        Accepted { socket: Socket::Unix(stream), peer: "a Unix socket".to_owned() }
    }
}

impl Listener {
    async fn accept(&self) -> io::Result<Accepted> {
        match self {
            Listener::Tcp(listener) => {
                let (stream, peer) = listener.accept().await?;
                Ok(Accepted::tcp(stream, peer))
            }
            Listener::Unix(listener) => Ok(Accepted::unix(listener.accept().await?.0)),
        }
    }

    /// All that the system has accepted already; then nothing listens any more. Asked of the system itself, as the runtime may not have heard
    /// yet of the last.
    fn close(self) -> io::Result<VecDeque<Accepted>> {
        let mut accepted = VecDeque::new();
        match self {
            Listener::Tcp(listener) => {
                let listener = listener.into_std()?;
                while let Ok((stream, peer)) = listener.accept() {
                    stream.set_nonblocking(true)?;
                    accepted.push_back(Accepted::tcp(TcpStream::from_std(stream)?, peer));
                }
            }
            Listener::Unix(listener) => {
                let listener = listener.into_std()?;
                while let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(true)?;
                    accepted.push_back(Accepted::unix(UnixStream::from_std(stream)?));
                }
            }
        }
        Ok(accepted)
    }
}

/// The listening end, until it is closed.
struct AcceptStream {
    listener: Option<Listener>,
    /// Accepted by the system before the listener was closed.
    last: VecDeque<Accepted>,
    close: oneshot::Receiver<()>,
    state: Rc<FrontState>,
    connections: Rc<ClientConnections>,
}

impl AcceptStream {
    /// The next connection; nothing once it is closed and all that were accepted came.
    async fn next(&mut self) -> Option<io::Result<Accepted>> {
        if self.state.stalls.resuming_from(self.state.clock.now()).is_some() {
            self.connections.on_stall();
        }
        self.wait_for_room().await;
        let accepted = match &self.listener {
            None => return self.last.pop_front().map(Ok),
            Some(listener) => tokio::select! {
                accepted = listener.accept() => Some(accepted),
                Ok(()) = &mut self.close => None,
            },
        };
        let accepted = match accepted {
            Some(accepted) => accepted,
            None => match self.listener.take()?.close() {
                Ok(last) => {
                    self.last = last;
                    self.last.pop_front().map(Ok)?
                }
                Err(error) => Err(error),
            },
        };
        if accepted.is_err() {
            // Out of descriptors: the rest waits outside.
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
        Some(accepted)
    }

    /// Waits until there is room for one more connection. The next waits outside meanwhile.
    async fn wait_for_room(&self) {
        let FrontState { counters, limits, .. } = &*self.state;
        if counters.clients.get() >= limits.now().clients {
            counters.add("calls_full");
            log::debug!("all {} connections are taken: some make way", limits.now().clients);
        }
        while counters.clients.get() >= limits.now().clients {
            let has_closed = self.connections.make_room(limits.now().clients - 1, true);
            actix_rt::time::sleep(if has_closed { ROOM_SOON } else { CHECK_INTERVAL }).await;
        }
        self.connections.make_room(limits.now().idle_clients, false);
    }
}

/// Accepts, until it is told to close.
struct Accepting {
    handle: SpawnHandle,
    close: oneshot::Sender<()>,
}

/// See the module.
pub struct Acceptor {
    state: Rc<FrontState>,
    connections: Rc<ClientConnections>,
    serve: ServeConnection,
    ending_since: Option<Micros>,
    accepting: Option<Accepting>,
}

impl Acceptor {
    /// An acceptor that does not listen yet.
    pub fn new(
        state: Rc<FrontState>,
        connections: Rc<ClientConnections>,
        serve: ServeConnection,
    ) -> Acceptor {
        Acceptor { state, connections, serve, ending_since: None, accepting: None }
    }

    /// Listens from now on; what was accepted waits in the mailbox until it is served.
    pub fn listen(mut self, listener: Listener) -> actix::Addr<Acceptor> {
        Acceptor::create(|ctx| {
            let (close, closed) = oneshot::channel();
            let stream = AcceptStream {
                listener: Some(listener),
                last: VecDeque::new(),
                close: closed,
                state: self.state.clone(),
                connections: self.connections.clone(),
            };
            let accepted = futures_util::stream::unfold(stream, |mut stream| async {
                let accepted = stream.next().await;
                accepted.map(|accepted| (accepted, stream))
            });
            self.accepting = Some(Accepting { handle: ctx.add_stream(accepted), close });
            self
        })
    }

    /// Whether the agent may end, so long after it was asked to.
    fn may_end(&self, elapsed: Micros) -> bool {
        // Where a newer process accepts, all that is left can still have something to say.
        let is_quiet = if self.state.is_socket_inherited {
            self.state.counters.clients.get() == 0
        } else {
            elapsed > STILL_COMING && self.connections.busy() == 0
        };
        is_quiet || elapsed > self.state.max_deadline.get() + STILL_COMING
    }

    fn check_end(&mut self, ctx: &mut Context<Acceptor>) {
        let Some(ending_since) = self.ending_since else { return };
        if !self.may_end(self.state.clock.now() - ending_since) {
            self.connections.sweep(self.state.idle_policy());
            ctx.run_later(CHECK_INTERVAL, Acceptor::check_end);
        } else if let Some(accepting) = self.accepting.take() {
            // Guards against a client that is accepted by the system while the process ends, and heard by nobody: first nothing listens any
            // more, then whoever was accepted before is answered.
            let _ = accepting.close.send(());
            ctx.run_later(CHECK_INTERVAL, Acceptor::check_end);
        } else {
            log::info!("all answered, the end");
            ctx.stop();
            System::current().stop();
        }
    }

    fn sweep(&self) {
        if self.state.stalls.resuming_from(self.state.clock.now()).is_some() {
            self.connections.on_stall();
        }
        self.connections.sweep(self.state.idle_policy());
    }

    fn serve(&self, accepted: Accepted) {
        let Accepted { socket, peer } = accepted;
        let counters = self.state.counters.clone();
        let stream = ClientStream::new(socket, self.connections.clone(), counters.clone());
        let client = stream.state.clone();
        let served = (self.serve)(stream);
        // A task of its own: an actor polls all its futures whenever one of them wakes it.
        actix_rt::spawn(async move {
            let ended = served.await;
            let refused = client.refusal().map(|_| reason::BAD_REQUEST);
            let code = client.close_reason().or(refused).unwrap_or_else(|| end_reason(&ended));
            counters.add("calls_ended");
            let refusal = client.refusal().map(|refusal| format!(" ({refusal})")).unwrap_or_default();
            log::info!("connection from {peer} ended: {code}{refusal}");
        });
    }
}

fn end_reason(ended: &Result<(), DispatchError>) -> &'static str {
    match ended {
        Ok(()) => reason::CLOSED,
        Err(DispatchError::Io(_)) => reason::RESET,
        Err(DispatchError::Parse(_)) => reason::BROKEN_HTTP,
        Err(_) => reason::FAILED,
    }
}

impl Actor for Acceptor {
    type Context = Context<Acceptor>;

    fn started(&mut self, ctx: &mut Context<Acceptor>) {
        ctx.run_interval(SWEEP_INTERVAL, |acceptor, _| acceptor.sweep());
    }
}

impl StreamHandler<io::Result<Accepted>> for Acceptor {
    /// Nobody comes any more; those who came are still served.
    fn finished(&mut self, _: &mut Context<Acceptor>) {}

    fn handle(&mut self, accepted: io::Result<Accepted>, _: &mut Context<Acceptor>) {
        match accepted {
            Ok(accepted) => self.serve(accepted),
            Err(error) => log::warn!("accept: {error}"),
        }
    }
}

/// The agent is asked to end: go on accepting and answering, tell clients to close, end when all is answered.
#[derive(Message)]
#[rtype(result = "()")]
pub struct EndGracefully;

impl Handler<EndGracefully> for Acceptor {
    type Result = ();

    fn handle(&mut self, _: EndGracefully, ctx: &mut Context<Acceptor>) {
        if self.ending_since.is_some() {
            return;
        }
        log::info!("asked to end: {} txns in hand", self.state.counters.in_flight.get());
        self.ending_since = Some(self.state.clock.now());
        self.state.ending_since.set(self.ending_since);
        if self.state.is_socket_inherited {
            log::info!("a newer process accepts from here on");
            if let Some(accepting) = self.accepting.take() {
                ctx.cancel_future(accepting.handle);
            }
        }
        self.check_end(ctx);
    }
}
