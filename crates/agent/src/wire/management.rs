//! The address for operators: one line to a connection, one line back, then it is closed. It stands beside the limits for clients: whoever fills those
//! must not keep an operator out.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use super::front_state::FrontState;
use super::management_command::{LINE_END_BYTES, MAX_LINE_BYTES, ManagementCommand};
use crate::state::bans::PersistResult;
use crate::state::endpoint_list::{EndpointListActor, IsKnown};

/// Connections at once; one more, and the oldest that has not finished its line is closed.
const MAX_CONNECTIONS: usize = 16;
/// A line is complete by then, or never: somebody who types has time, and who says nothing is disconnected.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// A ban is persisted by then, or the operator is told that it is not.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(700);
/// After the answer what still comes is read, or the system would take the answer back.
const LINGER: Duration = Duration::from_millis(200);
/// After an error of `accept`.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
const READ_BYTES: usize = 256;
const LINGER_READ_BYTES: usize = 1024;

/// Reason codes of connections in the log.
mod reason {
    /// Closed for a newer one, for want of room.
    pub const REPLACED: &str = "ORDER_MADE_WAY";
    /// No whole line came in time.
    pub const SILENT: &str = "ORDER_SILENT";
    /// It was reset.
    pub const RESET: &str = "ORDER_RESET";
    /// It ended without a command.
    pub const EMPTY: &str = "ORDER_NONE";
    /// It was answered.
    pub const ANSWERED: &str = "ORDER_ANSWERED";
    /// What it sent is no command.
    pub const UNKNOWN: &str = "ORDER_SENSELESS";
}

/// Bans a backend or lifts the ban; answers once it is in force and persisted, or why it is not persisted.
pub type SetBan = Box<dyn Fn(String, bool) -> oneshot::Receiver<PersistResult>>;

/// Connections whose line is not complete yet, by age: dropping one closes it.
type PendingConnections = Rc<RefCell<BTreeMap<u64, oneshot::Sender<()>>>>;

/// See the module.
pub struct Management {
    /// What all fronts share.
    pub state: Rc<FrontState>,
    /// The lists of all pools, as they are now.
    pub lists: Box<dyn Fn() -> Vec<Addr<EndpointListActor>>>,
    /// Bans a backend.
    pub set_ban: SetBan,
}

impl Management {
    /// Listens from now on, until the agent ends.
    pub fn listen(self, listener: TcpListener) {
        actix_rt::spawn(Rc::new(self).accept(listener));
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let pending = PendingConnections::default();
        for number in 0.. {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("management: {error}");
                    actix_rt::time::sleep(ACCEPT_RETRY).await;
                    continue;
                }
            };
            if pending.borrow().len() >= MAX_CONNECTIONS {
                pending.borrow_mut().pop_first();
                self.state.counters.add("management_made_way");
            }
            let (close, replaced) = oneshot::channel();
            pending.borrow_mut().insert(number, close);
            let (management, pending) = (self.clone(), pending.clone());
            actix_rt::spawn(async move {
                let code = management.serve(stream, replaced, &pending, number).await;
                pending.borrow_mut().remove(&number);
                log::info!("management connection ended: {code}");
            });
        }
    }

    /// Serves one connection to its end, and gives back its reason code.
    async fn serve(
        &self,
        mut stream: TcpStream,
        replaced: oneshot::Receiver<()>,
        pending: &PendingConnections,
        number: u64,
    ) -> &'static str {
        let line = actix_rt::time::timeout(LINE_TIMEOUT, read_line(&mut stream));
        let line = tokio::select! {
            line = line => line,
            _ = replaced => return reason::REPLACED,
        };
        // From here on it is no longer one that may finish nothing.
        pending.borrow_mut().remove(&number);
        let line = match line {
            Err(_) => return reason::SILENT,
            Ok(Err(_)) => return reason::RESET,
            Ok(Ok(line)) if line.is_empty() => return reason::EMPTY,
            Ok(Ok(line)) => line,
        };
        let (result, code) = self.answer(&line).await;
        let answer = match result {
            Ok(words) => format!("OK {words}\n"),
            Err(words) => format!("ERR {words}\n"),
        };
        // An operator that has left needs no answer.
        let _ = actix_rt::time::timeout(LINGER, write_and_drain(&mut stream, &answer)).await;
        code
    }

    async fn answer(&self, line: &[u8]) -> (Result<String, String>, &'static str) {
        match ManagementCommand::parse(line) {
            Ok(command) => {
                self.state.counters.add(command.counter());
                let result = self.execute(&command).await;
                let words = result.as_ref().unwrap_or_else(|words| words);
                log::info!("management: {command:?}: {words}");
                (result, reason::ANSWERED)
            }
            Err(error) => {
                self.state.counters.add("asked_senselessly");
                (Err(error.to_string()), reason::UNKNOWN)
            }
        }
    }

    async fn execute(&self, command: &ManagementCommand) -> Result<String, String> {
        match command {
            ManagementCommand::Status => self.status(),
            ManagementCommand::Standby => {
                self.state.begin_draining();
                Ok("clients are sent away".into())
            }
            ManagementCommand::Active => {
                self.state.draining_since.set(None);
                Ok("clients are taken".into())
            }
            ManagementCommand::MaintOn(id) => self.set_ban(id, true).await,
            ManagementCommand::MaintOff(id) => self.set_ban(id, false).await,
        }
    }

    fn status(&self) -> Result<String, String> {
        if self.state.ending_since.get().is_some() {
            return Err("ending".into());
        }
        if !self.state.is_serving.get() {
            return Err("no fresh list yet".into());
        }
        // It serves all who come: whether clients are sent is said at `/healthz`.
        let is_draining = self.state.draining_since.get().is_some();
        Ok(if is_draining { "ready, standby" } else { "ready" }.into())
    }

    async fn set_ban(&self, id: &str, banned: bool) -> Result<String, String> {
        let mut is_known = false;
        for list in (self.lists)() {
            is_known |= list.send(IsKnown(id.to_owned())).await.unwrap_or(false);
        }
        if !is_known {
            return Err(format!("no list has named {id}"));
        }
        match actix_rt::time::timeout(PERSIST_TIMEOUT, (self.set_ban)(id.to_owned(), banned)).await {
            Ok(Ok(Ok(()))) => Ok(format!("{id} is {}", if banned { "out" } else { "back" })),
            Ok(Ok(Err(error))) => Err(format!("in force here, but not kept: {error}")),
            _ => Err("it can't be kept in time".into()),
        }
    }
}

/// What comes up to the end of a line, or of all input. Too much comes back as it is, to be refused.
async fn read_line(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let (mut line, mut buffer) = (Vec::new(), [0; READ_BYTES]);
    loop {
        let count = stream.read(&mut buffer).await?;
        let end = buffer[..count].iter().position(|&byte| byte == b'\n');
        line.extend_from_slice(&buffer[..end.unwrap_or(count)]);
        if count == 0 || end.is_some() || line.len() > MAX_LINE_BYTES + LINE_END_BYTES {
            return Ok(line);
        }
    }
}

async fn write_and_drain(stream: &mut TcpStream, answer: &str) -> io::Result<()> {
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    while stream.read(&mut [0; LINGER_READ_BYTES]).await? > 0 {}
    Ok(())
}
