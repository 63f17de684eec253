//! The door for operators: one line to a connection, one line back, then it is closed. It stands beside the bounds for
//! callers: whoever fills those must not keep an operator out.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use super::application::Porch;
use super::order::{LONGEST, Order};
use crate::memory::list::{Knows, List};

/// Callers at once; one more, and the oldest that has not finished its line makes way.
const CALLERS: usize = 16;
/// A line is whole by then, or never: a slow hand has time, and who says nothing is let go.
const LINE_WITHIN: Duration = Duration::from_secs(5);
/// A ban is kept by then, or the caller hears that it is not.
const KEPT_WITHIN: Duration = Duration::from_millis(700);
/// After the answer what still comes is read, or the system would take the answer back.
const REST: Duration = Duration::from_millis(200);
const PAUSE: Duration = Duration::from_millis(20);

/// Bans a backend or lifts the ban; answers once it is in force and kept, or why it is not kept.
pub type Ban = Box<dyn Fn(String, bool) -> oneshot::Receiver<Result<(), String>>>;

pub struct Management {
    pub porch: Rc<Porch>,
    /// The lists of all pools, as they are now.
    pub lists: Box<dyn Fn() -> Vec<Addr<List>>>,
    pub ban: Ban,
}

impl Management {
    /// Listens from now on, until the agent ends.
    pub fn listen(self, listener: TcpListener) {
        let this = Rc::new(self);
        actix_rt::spawn(async move {
            // Those whose line is not whole yet, by age: dropping one lets it go.
            let open = Rc::new(RefCell::new(BTreeMap::<u64, oneshot::Sender<()>>::new()));
            for next in 0.. {
                let io = match listener.accept().await {
                    Ok((io, _)) => io,
                    Err(why) => {
                        log::warn!("management: {why}");
                        actix_rt::time::sleep(PAUSE).await;
                        continue;
                    }
                };
                if open.borrow().len() >= CALLERS {
                    open.borrow_mut().pop_first();
                    this.porch.counters.add("management_made_way");
                }
                let (held, way) = oneshot::channel();
                open.borrow_mut().insert(next, held);
                let (this, open) = (this.clone(), open.clone());
                actix_rt::spawn(async move {
                    let code = this.call(io, way, &open, next).await;
                    open.borrow_mut().remove(&next);
                    log::info!("management connection ended: {code}");
                });
            }
        });
    }

    /// One connection to its end, and its reason code.
    async fn call(
        &self,
        mut io: TcpStream,
        way: oneshot::Receiver<()>,
        open: &RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
        own: u64,
    ) -> &'static str {
        let read = actix_rt::time::timeout(LINE_WITHIN, line(&mut io));
        let line = tokio::select! {
            line = read => line,
            _ = way => return "ORDER_MADE_WAY",
        };
        // From here on it is no longer one that may finish nothing.
        open.borrow_mut().remove(&own);
        let line = match line {
            Err(_) => return "ORDER_SILENT",
            Ok(Err(_)) => return "ORDER_RESET",
            Ok(Ok(line)) => line,
        };
        if line.is_empty() {
            return "ORDER_NONE";
        }
        let (answer, code) = match Order::read(&line) {
            Ok(order) => {
                self.porch.counters.add(order.counted());
                let answer = self.obey(&order).await;
                log::info!("management: {order:?}: {}", answer.as_ref().unwrap_or_else(|why| why));
                (answer, "ORDER_ANSWERED")
            }
            Err(why) => {
                self.porch.counters.add("asked_senselessly");
                (Err(why.to_owned()), "ORDER_SENSELESS")
            }
        };
        let answer = match answer {
            Ok(words) => format!("OK {words}\n"),
            Err(why) => format!("ERR {why}\n"),
        };
        let said = async {
            io.write_all(answer.as_bytes()).await?;
            io.shutdown().await?;
            while io.read(&mut [0; 1024]).await? > 0 {}
            io::Result::Ok(())
        };
        let _ = actix_rt::time::timeout(REST, said).await;
        code
    }

    async fn obey(&self, order: &Order) -> Result<String, String> {
        match order {
            Order::Status if self.porch.ending.get().is_some() => Err("ending".into()),
            Order::Status if !self.porch.serves.get() => Err("no fresh list yet".into()),
            // It serves all who come: whether clients are sent is said at `/healthz`.
            Order::Status if self.porch.away.get().is_some() => Ok("ready, standby".into()),
            Order::Status => Ok("ready".into()),
            Order::Standby => {
                if self.porch.away.get().is_none() {
                    self.porch.away.set(Some(self.porch.clock.now()));
                }
                Ok("clients are sent away".into())
            }
            Order::Active => {
                self.porch.away.set(None);
                Ok("clients are taken".into())
            }
            Order::MaintOn(id) => self.hand(id, true).await,
            Order::MaintOff(id) => self.hand(id, false).await,
        }
    }

    async fn hand(&self, id: &str, on: bool) -> Result<String, String> {
        let mut known = false;
        for list in (self.lists)() {
            known |= list.send(Knows(id.to_owned())).await.unwrap_or(false);
        }
        if !known {
            return Err(format!("no list has named {id}"));
        }
        match actix_rt::time::timeout(KEPT_WITHIN, (self.ban)(id.to_owned(), on)).await {
            Ok(Ok(Ok(()))) => Ok(format!("{id} is {}", if on { "out" } else { "back" })),
            Ok(Ok(Err(why))) => Err(format!("in force here, but not kept: {why}")),
            _ => Err("it can't be kept in time".into()),
        }
    }
}

/// What comes up to the end of a line, or of all input. Too much comes back as it is, to be refused.
async fn line(io: &mut TcpStream) -> io::Result<Vec<u8>> {
    let (mut line, mut some) = (Vec::new(), [0; 256]);
    loop {
        let n = io.read(&mut some).await?;
        let end = some[..n].iter().position(|&byte| byte == b'\n');
        line.extend_from_slice(&some[..end.unwrap_or(n)]);
        if n == 0 || end.is_some() || line.len() > LONGEST + 2 {
            return Ok(line);
        }
    }
}
