//! Clients on sockets: they ask when an order is due, whether or not the last was answered, and write down what
//! they hear. Latency counts from when an order was due.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use super::backends::write;
use super::fcgi::Fast;
use super::stage::Stage;
use super::trace_id::{body_of, trace_of};
use crate::core::crowd::{Habits, Order, Scheme, again};
use crate::core::fleet::Wanted;
use crate::core::kit::*;
use crate::core::ledger::{Entry, Final};
use crate::core::service::Service;
use crate::http::{Head, Wire};

pub struct Crowd {
    pub stage: Rc<Stage>,
    pub schemes: Vec<Scheme>,
    pub tenants: Vec<String>,
    pub habits: Habits,
    pub agents: Vec<SocketAddr>,
    /// Where they take `FastCGI`, and the part of the clients that speak it.
    pub fast: Vec<Option<SocketAddr>>,
    pub fast_part: f64,
    pub fast_idle: RefCell<Vec<Vec<Fast>>>,
    pub service: RefCell<Service>,
    /// Idle connections to each agent, as of its latest start.
    pub idle: RefCell<Vec<Vec<Wire>>>,
    pub tries: Cell<u64>,
    pub open: Cell<usize>,
    pub ended: Cell<usize>,
    /// Orders answered settled, declined, reversed, or not at all, by their last try.
    pub ends: RefCell<[usize; 4]>,
    /// Clients refused or reset before an agent took anything.
    pub refused: Cell<usize>,
    /// Set when the run is over: clients that still wait for their turn go home.
    pub closing: Cell<bool>,
}

/// A client waits this much longer than it said, so that a late answer is seen as late.
const SLACK: Micros = Micros::ms(50);
const CONNECT: Duration = Duration::from_millis(1000);
const KEPT: usize = 256;

enum Ended {
    Answered(Final, Option<Micros>),
    /// The patience of the client, or its whim, was over.
    Left,
    /// Nothing whole came.
    Nothing,
    /// There was no one to take it.
    NoAgent,
}

impl Crowd {
    /// Every order at its time.
    pub async fn open_loop(self: Rc<Crowd>, orders: Rc<Vec<Order>>) {
        for at in 0..orders.len() {
            sleep_until(self.stage.instant(orders[at].due).into()).await;
            self.stage.late(orders[at].due);
            let (crowd, orders) = (self.clone(), orders.clone());
            spawn_local(async move { crowd.order(orders[at]).await });
        }
    }

    /// So many clients, each with its next order as soon as the last has ended.
    pub async fn closed_loop(self: Rc<Crowd>, orders: Rc<Vec<Order>>, clients: usize) {
        let next = Rc::new(Cell::new(0));
        let each = |_| {
            let (crowd, orders, next) = (self.clone(), orders.clone(), next.clone());
            spawn_local(async move {
                while let Some(&order) = orders.get(next.get())
                    && !crowd.closing.get()
                {
                    next.set(next.get() + 1);
                    let due = crowd.stage.now();
                    crowd.order(Order { due, ..order }).await;
                }
            })
        };
        for client in (0..clients).map(each).collect::<Vec<_>>() {
            let _ = client.await;
        }
    }

    async fn order(&self, order: Order) {
        self.open.set(self.open.get() + 1);
        let row = &self.schemes[order.scheme.0];
        let mut tries = 0;
        let answer = loop {
            tries += 1;
            let ended = self.ask(&order, tries).await;
            let (answer, told) = match ended {
                Ended::Answered(answer, told) => (Some(answer), told),
                // Nobody took it: asking again is as harmless as after a decline.
                Ended::NoAgent => (Some(Final::Declined), None),
                Ended::Left | Ended::Nothing => (None, None),
            };
            let wait = again(&self.habits, &order, row.kind, answer, tries, told);
            match wait.filter(|wait| self.stage.now() + *wait < order.due + order.expires_in) {
                Some(wait) if wait > Micros(0) => sleep(Duration::from_micros(wait.0 as u64)).await,
                Some(_) => {}
                None if matches!(ended, Ended::NoAgent) => break None,
                None => break answer,
            }
        };
        let took = self.stage.now() - order.due;
        self.service.borrow_mut().ended(&order, row, answer, took, tries);
        self.ends.borrow_mut()[answer.map_or(3, |a| a as usize)] += 1;
        self.open.set(self.open.get() - 1);
        self.ended.set(self.ended.get() + 1);
    }

    /// A kept connection that the agent has not closed meanwhile, as far as can be seen.
    fn pooled(&self, agent: AgentId) -> Option<Wire> {
        let mut idle = self.idle.borrow_mut();
        std::iter::from_fn(|| idle[agent.0].pop()).find(|wire| still_open(&wire.io))
    }
    fn pooled_fast(&self, agent: AgentId) -> Option<Fast> {
        let mut idle = self.fast_idle.borrow_mut();
        std::iter::from_fn(|| idle[agent.0].pop()).find(|fast| still_open(&fast.io))
    }

    async fn ask(&self, order: &Order, tries: u32) -> Ended {
        let row = &self.schemes[order.scheme.0];
        let left = order.due + order.expires_in - self.stage.now();
        if left < Micros::ms(1) {
            return Ended::Left;
        }
        self.tries.set(self.tries.get() + 1);
        let txn = TxnId(self.tries.get());
        let wanted = Wanted { txn, scheme: order.scheme, work: order.work, reference: order.reference };
        self.stage.wanted.borrow_mut().insert(txn, wanted);
        if let Some(at) = self.fast[order.agent.0]
            && lot(order.reference.0, &[71]) < self.fast_part
        {
            return self.ask_fast(order, row, txn, left, at).await;
        }
        let said = self.said(order, row, txn, left, tries);
        let mut taken: Option<Micros> = None;
        // One on a kept connection that ends before a byte of an answer goes once more on a new one.
        for kept in [true, false] {
            let idle = if kept { self.pooled(order.agent) } else { None };
            if kept && idle.is_none() {
                continue;
            }
            let mut wire = match idle {
                Some(wire) => wire,
                None => match timeout(CONNECT, TcpStream::connect(self.agents[order.agent.0])).await {
                    Ok(Ok(io)) => Wire::new(io),
                    _ => {
                        self.refused.set(self.refused.get() + 1);
                        return self.unheard(txn, taken);
                    }
                },
            };
            if wire.say(said.as_bytes()).await.is_err() {
                continue;
            }
            let now = self.stage.now();
            let began = *taken.get_or_insert_with(|| {
                let expiry = now + left;
                let (agent, scheme) = (order.agent, order.scheme);
                write(&self.stage, Entry::Taken { txn, agent, scheme, expiry });
                now
            });
            let patience = order.leaves_in.unwrap_or(left + SLACK).min(left + SLACK) - (now - began);
            let patience = Duration::from_micros(patience.0.max(0) as u64);
            let Ok(heard) = timeout(patience, self.hear(&mut wire, txn)).await else {
                write(&self.stage, Entry::Left { txn });
                return Ended::Left;
            };
            match heard {
                Ok((answer, told, closes)) => {
                    write(&self.stage, Entry::Heard { txn, answer });
                    let mut idle = self.idle.borrow_mut();
                    if !closes && idle[order.agent.0].len() < KEPT {
                        idle[order.agent.0].push(wire);
                    }
                    return Ended::Answered(answer, told);
                }
                Err(_) if kept && wire.buf.is_empty() => {}
                Err(_) => break,
            }
        }
        self.unheard(txn, taken)
    }

    /// The same by `FastCGI`. One on a kept connection that ends before a byte of an answer goes once more on a new one.
    async fn ask_fast(&self, order: &Order, row: &Scheme, txn: TxnId, left: Micros, at: SocketAddr) -> Ended {
        let mut headers = vec![
            ("X-Trace-Id", trace_of(txn)),
            ("X-Customer", self.tenants[order.tenant].clone()),
            ("X-Expires-In-Ms", (left.0 / 1000).to_string()),
            ("Host", "origin.svc".to_owned()),
        ];
        if row.kind == RequestKind::Keyed {
            headers.push(("Idempotency-Key", format!("{:032x}", order.reference.0)));
        }
        let (method, body) = match row.kind {
            RequestKind::Idempotent => ("GET", String::new()),
            _ => ("POST", format!("order {}\n", order.id.0)),
        };
        let kept = self.pooled_fast(order.agent);
        let mut taken: Option<Micros> = None;
        for kept in [kept, None] {
            let again = kept.is_some();
            let fast = match kept {
                Some(fast) => Some(fast),
                None => timeout(CONNECT, Fast::connect(at)).await.ok().and_then(Result::ok),
            };
            let Some(mut fast) = fast else {
                self.refused.set(self.refused.get() + 1);
                return self.unheard(txn, taken);
            };
            if fast.say(method, &format!("/{}", row.name), &headers, body.as_bytes()).await.is_err() {
                continue;
            }
            let now = self.stage.now();
            let began = *taken.get_or_insert_with(|| {
                let (agent, scheme) = (order.agent, order.scheme);
                write(&self.stage, Entry::Taken { txn, agent, scheme, expiry: now + left });
                now
            });
            let patience = order.leaves_in.unwrap_or(left + SLACK).min(left + SLACK) - (now - began);
            let Ok(heard) = timeout(Duration::from_micros(patience.0.max(0) as u64), fast.hear()).await
            else {
                write(&self.stage, Entry::Left { txn });
                return Ended::Left;
            };
            match heard {
                Ok((head, body)) => {
                    let (answer, told) = read(&head, &body, txn);
                    write(&self.stage, Entry::Heard { txn, answer });
                    self.fast_idle.borrow_mut()[order.agent.0].push(fast);
                    return Ended::Answered(answer, told);
                }
                Err(_) if again => {}
                Err(_) => break,
            }
        }
        self.unheard(txn, taken)
    }

    fn unheard(&self, txn: TxnId, taken: Option<Micros>) -> Ended {
        match taken {
            Some(_) => {
                write(&self.stage, Entry::Unanswered { txn });
                Ended::Nothing
            }
            None => Ended::NoAgent,
        }
    }

    fn said(&self, order: &Order, row: &Scheme, txn: TxnId, left: Micros, tries: u32) -> String {
        let safe = row.kind == RequestKind::Idempotent;
        let body = format!("order {}\n", order.id.0);
        let mut said = format!(
            "{} /{} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {}\r\nX-Customer: {}\r\nX-Expires-In-Ms: {}\r\n",
            if safe { "GET" } else { "POST" },
            row.name,
            trace_of(txn),
            self.tenants[order.tenant],
            left.0 / 1000,
        );
        if row.kind == RequestKind::Keyed {
            said += &format!("Idempotency-Key: {:032x}\r\n", order.reference.0);
        }
        if tries > 1 {
            said += "X-Second-Try: 1\r\n";
        }
        match safe {
            true => said + "\r\n",
            false => said + &format!("Content-Length: {}\r\n\r\n{body}", body.len()),
        }
    }

    /// A whole answer: what it says, when to come back, and whether the connection closes.
    async fn hear(&self, wire: &mut Wire, txn: TxnId) -> io::Result<(Final, Option<Micros>, bool)> {
        let head: Head = wire.head(false).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = wire.body(&head).await?;
        let (answer, told) = read(&head, &body, txn);
        Ok((answer, told, head.closes()))
    }

    /// An agent is gone: what was kept open to it is worth nothing.
    pub fn forget(&self, agent: AgentId) {
        self.idle.borrow_mut()[agent.0].clear();
        self.fast_idle.borrow_mut()[agent.0].clear();
    }
}

/// What an answer says, and when to come back. Only the body that a backend made for this very txn settles it.
fn read(head: &Head, body: &[u8], txn: TxnId) -> (Final, Option<Micros>) {
    let told = head.header("retry-after").and_then(|v| v.parse::<f64>().ok());
    let answer = match head.status {
        200 if body == body_of(txn).as_bytes() => Final::Settled,
        429 | 503 => Final::Declined,
        _ => Final::Reversed,
    };
    (answer, told.map(|s| Micros((s * 1e6) as i64)))
}

/// Nothing has come on it, and no end.
fn still_open(io: &TcpStream) -> bool {
    matches!(io.try_read(&mut [0; 1]), Err(why) if why.kind() == io::ErrorKind::WouldBlock)
}
