//! The actor of the application: accepts its connections, and sees them all out when the agent ends.
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

use super::application::Porch;
use super::caller::{Caller, Calls, Io};

/// New connections may still come for a good part of this after the agent was asked to end.
const STILL_COMING: Micros = Micros::ms(900);
const LOOK: Duration = Duration::from_millis(20);
const SOON: Duration = Duration::from_millis(1);
const SWEEP: Duration = Duration::from_millis(250);

pub type Serve = Rc<dyn Fn(Caller) -> LocalBoxFuture<'static, Result<(), DispatchError>>>;

/// Where clients connect.
pub enum Accept {
    Tcp(TcpListener),
    Unix(UnixListener),
}

impl Accept {
    /// The next connection, and who it is for the log.
    async fn accept(&self) -> io::Result<(Io, String)> {
        match self {
            Accept::Tcp(listener) => {
                listener.accept().await.map(|(io, from)| (Io::Tcp(io), from.to_string()))
            }
            Accept::Unix(listener) => {
                listener.accept().await.map(|(io, _)| (Io::Unix(io), "a Unix socket".to_owned()))
            }
        }
    }
}

impl Accept {
    /// All that the system has let in already; then nothing listens any more. Asked of the system itself, as the runtime
    /// may not have heard yet of who came last.
    fn last(self) -> io::Result<VecDeque<(Io, String)>> {
        let mut came = VecDeque::new();
        match self {
            Accept::Tcp(listener) => {
                let listener = listener.into_std()?;
                while let Ok((io, from)) = listener.accept() {
                    io.set_nonblocking(true)?;
                    came.push_back((Io::Tcp(TcpStream::from_std(io)?), from.to_string()));
                }
            }
            Accept::Unix(listener) => {
                let listener = listener.into_std()?;
                while let Ok((io, _)) = listener.accept() {
                    io.set_nonblocking(true)?;
                    came.push_back((Io::Unix(UnixStream::from_std(io)?), "a Unix socket".to_owned()));
                }
            }
        }
        Ok(came)
    }
}

/// The listening end, till it is closed.
struct Open {
    listener: Option<Accept>,
    last: VecDeque<(Io, String)>,
    close: oneshot::Receiver<()>,
    porch: Rc<Porch>,
    calls: Rc<Calls>,
}

impl Open {
    /// The next connection; none once it is closed and all who were let in came.
    async fn next(&mut self) -> Option<io::Result<(Io, String)>> {
        let Open { listener, last, close, porch, calls } = self;
        if porch.pulse.waking(porch.clock.now()).is_some() {
            calls.begin_anew();
        }
        if porch.counters.callers.get() >= porch.bounds.now().callers {
            porch.counters.add("calls_full");
            log::debug!("all {} connections are taken: some make way", porch.bounds.now().callers);
        }
        while porch.counters.callers.get() >= porch.bounds.now().callers {
            let soon = calls.make_room(porch.bounds.now().callers - 1, true);
            actix_rt::time::sleep(if soon { SOON } else { LOOK }).await; // the next waits outside
        }
        calls.make_room(porch.bounds.now().kept, false);
        let came = match listener {
            None => return last.pop_front().map(Ok),
            Some(listener) => tokio::select! {
                came = listener.accept() => Some(came),
                Ok(()) = close => None,
            },
        };
        let came = match came {
            Some(came) => came,
            None => match listener.take()?.last() {
                Ok(all) => {
                    *last = all;
                    last.pop_front().map(Ok)?
                }
                Err(why) => Err(why),
            },
        };
        if came.is_err() {
            actix_rt::time::sleep(LOOK).await; // out of descriptors: the rest waits outside
        }
        Some(came)
    }
}

pub struct Gate {
    pub porch: Rc<Porch>,
    pub calls: Rc<Calls>,
    pub serve: Serve,
    pub asked: Option<Micros>,
    /// Accepts connections, till it is told to close.
    pub accepting: Option<(SpawnHandle, oneshot::Sender<()>)>,
}

impl Gate {
    /// Listens from now on; what was accepted waits in the mailbox until it is served.
    pub fn listen(mut self, listener: Accept) -> actix::Addr<Gate> {
        Gate::create(|ctx| {
            let (tell, close) = oneshot::channel();
            let (porch, calls, last) = (self.porch.clone(), self.calls.clone(), VecDeque::new());
            let open = Open { listener: Some(listener), last, close, porch, calls };
            let accepted = futures_util::stream::unfold(open, |mut open| async {
                let came = open.next().await;
                came.map(|came| (came, open))
            });
            self.accepting = Some((ctx.add_stream(accepted), tell));
            self
        })
    }
    fn look(&mut self, ctx: &mut Context<Gate>) {
        let Some(asked) = self.asked else { return };
        let since = self.porch.clock.now() - asked;
        // Where a newer process accepts, all that is left can still have something to say.
        let quiet = match self.porch.handed {
            true => self.porch.counters.callers.get() == 0,
            false => since > STILL_COMING && self.calls.busy() == 0,
        };
        let over = since > self.porch.longest.get() + STILL_COMING;
        if (quiet || over)
            && let Some((_, close)) = self.accepting.take()
        {
            // Guards against a client that is let in by the system while the process ends, and heard by nobody: first
            // nothing listens any more, then whoever was let in before is answered.
            let _ = close.send(());
            ctx.run_later(LOOK, Gate::look);
        } else if quiet || over {
            log::info!("all answered, the end");
            ctx.stop();
            System::current().stop();
        } else {
            self.calls.sweep(self.porch.letting());
            ctx.run_later(LOOK, Gate::look);
        }
    }
}

impl Actor for Gate {
    type Context = Context<Gate>;
    fn started(&mut self, ctx: &mut Context<Gate>) {
        ctx.run_interval(SWEEP, |gate, _| {
            if gate.porch.pulse.waking(gate.porch.clock.now()).is_some() {
                gate.calls.begin_anew();
            }
            gate.calls.sweep(gate.porch.letting());
        });
    }
}

impl StreamHandler<io::Result<(Io, String)>> for Gate {
    /// Nobody comes any more; those who came are still served.
    fn finished(&mut self, _: &mut Context<Gate>) {}
    fn handle(&mut self, came: io::Result<(Io, String)>, _: &mut Context<Gate>) {
        let (io, from) = match came {
            Ok(came) => came,
            Err(why) => return log::warn!("accept: {why}"),
        };
        let caller = Caller::new(io, self.calls.clone(), self.porch.counters.clone());
        let call = caller.call.clone();
        let (served, counters) = ((self.serve)(caller), self.porch.counters.clone());
        // A task of its own: an actor polls all its futures whenever one of them wakes it.
        actix_rt::spawn(async move {
            let ended = served.await;
            let known = call.ended().or(call.refused().map(|_| "CALL_BAD_REQUEST"));
            let code = known.unwrap_or(match ended {
                Ok(()) => "CALL_CLOSED",
                Err(DispatchError::Io(_)) => "CALL_RESET",
                Err(DispatchError::Parse(_)) => "CALL_BROKEN_HTTP",
                Err(_) => "CALL_FAILED",
            });
            counters.add("calls_ended");
            let why = call.refused().map(|why| format!(" ({why})")).unwrap_or_default();
            log::info!("connection from {from} ended: {code}{why}");
        });
    }
}

/// The agent is asked to end: go on accepting and answering, tell clients to close, end when all is answered.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;
impl Handler<Leave> for Gate {
    type Result = ();
    fn handle(&mut self, _: Leave, ctx: &mut Context<Gate>) {
        if self.asked.is_none() {
            log::info!("asked to end: {} txns in hand", self.porch.counters.in_hand.get());
            self.asked = Some(self.porch.clock.now());
            self.porch.ending.set(self.asked);
            if self.porch.handed {
                log::info!("a newer process accepts from here on");
                if let Some((accepting, _)) = self.accepting.take() {
                    ctx.cancel_future(accepting);
                }
            }
            self.look(ctx);
        }
    }
}
