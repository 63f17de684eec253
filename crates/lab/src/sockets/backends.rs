//! Backends on sockets: a listener for each zone that looks at them, a task for each connection.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::loopback;
use super::stage::{Gate, Stage};
use super::trace_id::{body_of, txn_of};
use crate::core::fleet::{Reply, Wanted};
use crate::core::kit::*;
use crate::core::ledger::{End, Entry};
use crate::http::{Head, Wire, answer};

/// Keeps the listener of a backend as its gate says.
pub async fn stand(
    stage: Rc<Stage>,
    back: BackId,
    view: usize,
    at: SocketAddr,
    first: TcpListener,
    idle: Duration,
    fast: Option<usize>,
) {
    let mut gate = stage.gates[back.0][view].subscribe();
    let mut open = Some(first);
    loop {
        let state = *gate.borrow_and_update();
        if state.up && !state.cut {
            let listener = match open.take() {
                Some(listener) => listener,
                None => match loopback::listen(at) {
                    Ok(listener) => listener,
                    // An old connection may hold the port for a moment.
                    Err(_) => {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
            };
            loop {
                tokio::select! {
                    _ = gate.changed() => break,
                    came = listener.accept() => if let Ok((io, _)) = came {
                        stage.links_opened.set(stage.links_opened.get() + 1);
                        if let Some(at_once) = fast {
                            spawn_local(super::fcgi::serve(stage.clone(), back, view, io, idle, at_once));
                            continue;
                        }
                        let link = Link::new(stage.clone(), back, view, Wire::new(io));
                        spawn_local(link.serve(idle));
                    },
                }
                let state = *gate.borrow();
                if !state.up || state.cut {
                    break;
                }
            }
        } else {
            open = None;
            let silent = if state.up { silent(at).ok() } else { None };
            let _ = gate.changed().await;
            drop(silent);
        }
    }
}

/// A place where no connection comes up: what the system would hold of them is taken.
fn silent(at: SocketAddr) -> std::io::Result<(Socket, Vec<Socket>)> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(0)?;
    let filler = || -> std::io::Result<Socket> {
        let filler = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        let _ = filler.connect(&at.into());
        Ok(filler)
    };
    let fillers = (0..2).filter_map(|_| filler().ok()).collect();
    Ok((socket, fillers))
}

struct Link {
    stage: Rc<Stage>,
    back: BackId,
    gate: watch::Receiver<Gate>,
    wire: Wire,
}

/// Why a wait on a connection came to nothing.
enum Cut {
    /// The other side closed or broke it.
    Closed,
    /// The process is gone, or the network came back: a reset.
    Reset,
    /// It stood idle for too long.
    Idle,
}

impl Link {
    fn new(stage: Rc<Stage>, back: BackId, view: usize, wire: Wire) -> Link {
        stage.links.set(stage.links.get() + 1);
        let gate = stage.gates[back.0][view].subscribe();
        let now = stage.now();
        stage.world.borrow_mut().fleet.linked(now, back);
        Link { stage, back, gate, wire }
    }

    /// Some more bytes. While the network is cut nothing passes; when it is back the connection is reset.
    async fn fill(&mut self) -> Result<(), Cut> {
        loop {
            let state = *self.gate.borrow_and_update();
            if !state.up {
                return Err(Cut::Reset);
            }
            tokio::select! {
                biased;
                _ = self.gate.changed() => {
                    let now = *self.gate.borrow();
                    if state.cut && !now.cut {
                        return Err(Cut::Reset);
                    }
                }
                read = self.wire.fill() => match read {
                    Ok(0) | Err(_) => return Err(Cut::Closed),
                    Ok(_) if state.cut => self.wire.buf.clear(),
                    Ok(_) => return Ok(()),
                },
            }
        }
    }

    async fn serve(mut self, idle: Duration) {
        let mut fresh = true;
        let ended = loop {
            match self.one(idle, fresh).await {
                Ok(true) => fresh = false,
                Ok(false) => break Cut::Closed,
                Err(ended) => break ended,
            }
        };
        self.stage.links.set(self.stage.links.get() - 1);
        if matches!(ended, Cut::Reset) {
            self.wire.reset();
        }
    }

    /// One request and its answer. False: the connection is at its end.
    async fn one(&mut self, idle: Duration, fresh: bool) -> Result<bool, Cut> {
        if self.wire.buf.is_empty() {
            timeout(idle, self.fill()).await.unwrap_or(Err(Cut::Idle))?;
        }
        let began = self.stage.now();
        if !fresh && self.gate.borrow().forgets {
            return Err(Cut::Reset);
        }
        let nth = self.stage.links_opened.get() as u64;
        if self.stage.world.borrow().fleet.breaks_before(self.back, nth.wrapping_add(began.0 as u64)) {
            return Err(Cut::Reset);
        }
        let head = loop {
            match self.wire.parse(true) {
                Ok(Some(head)) => break head,
                Ok(None) => self.fill().await?,
                Err(_) => return Ok(false),
            }
        };
        if let Some(page) = self.page(&head) {
            return Ok(self.wire.say(&page).await.is_ok());
        }
        let txn = head.header("x-trace-id").and_then(txn_of);
        let wanted = txn.and_then(|txn| self.stage.wanted.borrow().get(&txn).copied());
        let Some(wanted) = wanted else {
            return Ok(self.wire.say(&answer("400 Bad Request", "", "no such txn\n")).await.is_ok());
        };
        self.txn(began, &head, wanted).await
    }

    async fn txn(&mut self, began: Micros, head: &Head, wanted: Wanted) -> Result<bool, Cut> {
        let (stage, back) = (self.stage.clone(), self.back);
        let now = stage.now();
        let Some(posting) = stage.world.borrow_mut().fleet.began(now, began, back, wanted) else {
            return Err(Cut::Reset);
        };
        let over = |end| {
            let now = stage.now();
            stage.world.borrow_mut().fleet.over(now, posting, end);
            stage.poke.notify_one();
        };
        let length = head.length().unwrap_or(0);
        while self.wire.buf.len() < length {
            if let Err(cut) = self.fill().await {
                over(End::Unfinished);
                return Err(cut);
            }
        }
        let _ = self.wire.buf.split_to(length);
        let at_once = {
            let now = stage.now();
            let mut world = stage.world.borrow_mut();
            // What was due before it came is not overtaken by it; replies go out with the next round.
            world.fleet.came(now, posting)
        };
        let reply = match at_once {
            Some(reply) => reply,
            None => {
                let (tell, told) = oneshot::channel();
                stage.waiters.borrow_mut().insert(posting, tell);
                stage.poke.notify_one();
                match self.wait(told).await {
                    Ok(reply) => reply,
                    Err(cut) => {
                        stage.waiters.borrow_mut().remove(&posting);
                        over(if matches!(cut, Cut::Closed) { End::GivenUp } else { End::Broken });
                        return Err(cut);
                    }
                }
            }
        };
        let load = stage.world.borrow().fleet.load(back);
        let report = format!(
            "Endpoint-Load-Metrics: TEXT inflight={:.0}, queue={:.0}, util={:.3}\r\n",
            load.in_flight, load.queue, load.utilisation
        );
        let (said, end) = match reply {
            Reply::Settled => (answer("200 OK", &report, &body_of(wanted.txn)), End::Settled),
            Reply::CutOff => {
                let mut said = answer("200 OK", &report, &body_of(wanted.txn));
                said.truncate(said.len() - 3);
                (said, End::Broken)
            }
            Reply::Spoilt => (b"\x16\x03\x01 no answer at all\r\n\r\n".to_vec(), End::Broken),
            Reply::Errored => (answer("500 Internal Server Error", &report, "failed\n"), End::Errored),
            Reply::NeverRan => (
                answer("503 Service Unavailable", &format!("{report}X-Never-Ran: 1\r\n"), "full\n"),
                End::NeverRan,
            ),
            Reply::Reset => {
                over(End::Broken);
                return Err(Cut::Reset);
            }
            Reply::Nothing => {
                let (_keep, never) = oneshot::channel::<Reply>();
                let cut = self.wait(never).await.err().unwrap_or(Cut::Closed);
                over(if matches!(cut, Cut::Closed) { End::GivenUp } else { End::Broken });
                return Err(cut);
            }
        };
        if self.gate.borrow().cut {
            let cut = self.fill().await.err().unwrap_or(Cut::Closed);
            over(End::Broken);
            return Err(cut);
        }
        let said = self.wire.say(&said).await;
        over(if said.is_ok() { end } else { End::Broken });
        Ok(said.is_ok() && end != End::Broken && !head.closes())
    }

    /// Waits for a reply, or for the end of the connection.
    async fn wait(&mut self, mut told: oneshot::Receiver<Reply>) -> Result<Reply, Cut> {
        loop {
            tokio::select! {
                biased;
                // What was given up before its answer counts as given up.
                ended = self.fill() => ended?,
                reply = &mut told => return reply.map_err(|_| Cut::Reset),
            }
        }
    }

    /// A page that is no txn.
    fn page(&self, head: &Head) -> Option<Vec<u8>> {
        let load = self.stage.world.borrow().fleet.load(self.back);
        match head.path.as_str() {
            "/healthz" => Some(answer("200 OK", "", "ready\n")),
            "/load" => {
                let body = format!(
                    "TEXT inflight={:.0}, queue={:.0}, util={:.3}",
                    load.in_flight, load.queue, load.utilisation
                );
                Some(answer("200 OK", "", &body))
            }
            _ => head.header("x-trace-id").is_none().then(|| answer("404 Not Found", "", "no such page\n")),
        }
    }
}

/// A connection to a dead place, for those who want to see that it is dead.
pub async fn reachable(at: SocketAddr) -> bool {
    timeout(Duration::from_millis(200), TcpStream::connect(at)).await.is_ok_and(|c| c.is_ok())
}

/// For the books: a line outside of the fleet's own.
pub fn write(stage: &Stage, entry: Entry) {
    let now = stage.now();
    stage.world.borrow_mut().fleet.ledger.write(now, entry);
}
