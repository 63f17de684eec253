//! The front of an agent with routes: HTTP in, a route, a pool, the answer out. Which route, which pool and whether a backup
//! steps in is decided in `notchspool_routes`; how much room there is in `notchspool_quotas`.
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::{ConnectionType, Method, Request, Response, StatusCode, body::BoxBody};
use awc::http::header::{HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use awc::http::uri::PathAndQuery;
use bytes::Bytes;
use notchspool::units::{Micros, RequestId, RequestKind, TenantId};
use notchspool_routes::backup;
use notchspool_routes::share::pool_of;
use notchspool_routes::table::Asked as Question;
use notchspool_settings::file::Sticky;
use oorandom::Rand64;
use tokio::sync::oneshot;

use super::application::{Porch, SOON, body, plain, reply};
use super::caller::{Asked, Call};
use super::posting::own_to_connection;
use crate::house::pool::Pool;
use crate::house::state::{House, Route};
use crate::memory::desk::{Left, Take};
use crate::memory::txn::{Answer, Budgets, Carried, Reading, Unserved};

/// Kept clear of an expiry for the way back.
const WAY: Micros = Micros::ms(5);

pub struct Door {
    pub porch: Rc<Porch>,
    pub house: RefCell<Rc<House>>,
    pub budgets: Budgets,
    pub next: Cell<u64>,
    pub chance: RefCell<Rand64>,
}

type Reply = Response<BoxBody>;

/// A refusal: status, reason code, words.
pub struct Refused(pub StatusCode, pub &'static str, pub String);

impl Refused {
    /// The same on every front; where it is for want of room, with when to come back.
    pub fn reply(self) -> Reply {
        let Refused(status, code, why) = self;
        let mut reply = plain(status, format!("{code}: {why}\n"));
        let code = HeaderValue::from_static(code);
        reply.headers_mut().insert(HeaderName::from_static("x-notchspool-reason"), code);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            reply.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.050"));
        }
        reply
    }
}

/// A request as any front hands it in.
pub struct Asking {
    pub listen: usize,
    pub method: Method,
    pub path: PathAndQuery,
    pub headers: HeaderMap,
    /// The address of who asks.
    pub client: String,
    pub body: Bytes,
}

/// Tells the pool that the client stopped waiting, if it goes before its answer.
struct Waiting<'a> {
    pool: &'a Pool,
    txn: RequestId,
    answered: bool,
}
impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.pool.desk.do_send(Left(self.txn));
        }
    }
}

impl Door {
    pub async fn answer(self: Rc<Door>, listen: usize, request: Request) -> Result<Reply, Infallible> {
        let call = request.conn_data::<Rc<Call>>().cloned();
        let refused = call.as_ref().and_then(|call| call.refused());
        let mut reply = match request.path() {
            _ if refused.is_some() => plain(StatusCode::BAD_REQUEST, "refused before\n"),
            "/-/healthz" if self.porch.away.get().is_some() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "standby\n")
            }
            "/-/healthz" => plain(StatusCode::OK, "ready\n"),
            "/-/counters" => plain(StatusCode::OK, self.page()),
            _ => match self.http(listen, request, call.clone()).await {
                Ok(reply) => reply,
                Err(refused) => {
                    self.porch.counters.add(refused.1);
                    refused.reply()
                }
            },
        };
        if self.porch.closes() || call.is_some_and(|call| call.refused().is_some()) {
            reply.head_mut().set_connection_type(ConnectionType::Close);
        }
        Ok(reply)
    }

    /// The counters, and how pools stand.
    fn page(&self) -> String {
        let house = self.house.borrow().clone();
        let mut page = self.porch.page();
        for pool in &house.pools {
            let (state, part) = pool.backup.borrow().state();
            let held = house.rooms.held_by(&pool.name);
            page += &format!("pool {} in_hand {held} primary {state} {part:.2}\n", pool.name);
        }
        page
    }

    async fn http(
        &self,
        listen: usize,
        mut request: Request,
        call: Option<Rc<Call>>,
    ) -> Result<Reply, Refused> {
        let body = body(&mut request)
            .await
            .map_err(|(status, why)| Refused(status, "BAD_REQUEST", why.to_owned()))?;
        let head = request.head();
        let asking = Asking {
            listen,
            method: head.method.clone(),
            path: head.uri.path_and_query().cloned().ok_or_else(|| bad("no path"))?,
            headers: head.headers().clone(),
            client: request.peer_addr().map(|at: SocketAddr| at.ip().to_string()).unwrap_or_default(),
            body,
        };
        self.txn(asking, call).await.map(reply)
    }

    /// A request, whatever it came in, to its final answer.
    pub async fn txn(&self, asking: Asking, call: Option<Rc<Call>>) -> Result<Answer, Refused> {
        let came = self.porch.came().await;
        // One house for the whole of this txn, whatever the file says next.
        let house = self.house.borrow().clone();
        let nth = {
            let headers: Vec<(&str, &str)> =
                asking.headers.iter().filter_map(|(n, v)| Some((n.as_str(), v.to_str().ok()?))).collect();
            let host = asking.headers.get(HOST).and_then(|h| h.to_str().ok()).unwrap_or("");
            let (path, method) = (asking.path.path(), asking.method.as_str());
            house.table.find(&Question { listen: asking.listen, host, path, method, headers: &headers })
        };
        let nth = nth.ok_or(Refused(StatusCode::NOT_FOUND, "NO_ROUTE", "no route takes this".into()))?;
        let route = &house.routes[nth];
        let expiry = came + expires(route, &asking)? - WAY;
        let named =
            house.tenants.as_ref().map(|t| (t, asking.headers.get(&t.header).and_then(|v| v.to_str().ok())));
        let tenant = named.map(|(t, name)| t.take(name));
        let number = named.and_then(|(t, name)| t.number(name));
        let key = key(route, &asking).unwrap_or_else(|| self.chance.borrow_mut().rand_u64().to_string());
        let carried = carried(route, asking)?;
        let _asked = Asked::on(call);
        let full = |code, what: &str| Refused(StatusCode::SERVICE_UNAVAILABLE, code, what.to_owned());
        let _tenant = match tenant {
            Some(None) => return Err(full("TENANT_FULL", "this tenant holds all that it may")),
            held => held.flatten(),
        };
        if self.porch.counters.held() >= self.porch.bounds.now().txns {
            return Err(full("AGENT_FULL", "all room for txns is taken"));
        }
        let first = match route.at.as_slice() {
            [one] => *one,
            _ => {
                let at = pool_of(key.as_bytes(), &route.shares);
                route.at[at.ok_or(full("NO_POOL", "all shares of this route are nothing"))?]
            }
        };
        if let Some(budget) = self.budgets.borrow_mut().get_mut(&route.id) {
            budget.taken();
        }
        self.send(&house, route, number, first, expiry, Arc::new(carried)).await
    }

    /// Through the pool, and its backup where that may step in.
    async fn send(
        &self,
        house: &House,
        route: &Route,
        tenant: Option<TenantId>,
        first: usize,
        expiry: Micros,
        carried: Arc<Carried>,
    ) -> Result<Answer, Refused> {
        let mut at = first;
        let mut earlier = 0;
        loop {
            let pool = &house.pools[at];
            let next = house.backups[at];
            let now = self.porch.clock.now();
            if let Some(next) = next
                && !pool.backup.borrow_mut().primary_first(now)
            {
                self.porch.counters.add("backup_at_once");
                at = next;
                continue;
            }
            let Some(_room) = house.rooms.take(&pool.name) else {
                let why = format!("pool `{}` holds all that it may", pool.name);
                return Err(Refused(StatusCode::SERVICE_UNAVAILABLE, "POOL_FULL", why));
            };
            let answer = self.ask(pool, route, tenant, expiry, &carried, earlier).await;
            let now = self.porch.clock.now();
            let unserved = match &answer {
                Answer::Settled(_) => {
                    pool.backup.borrow_mut().served(now);
                    return Ok(answer);
                }
                Answer::Declined(_, unserved) | Answer::Reversed(_, unserved) => *unserved,
            };
            if let Some(next) = next
                && pool.backup.borrow_mut().unserved(now, facts(route, unserved))
                && now < expiry
            {
                self.porch.counters.add("backup_after");
                (at, earlier) = (next, earlier + unserved.postings);
                continue;
            }
            return Ok(coming_back(answer));
        }
    }

    async fn ask(
        &self,
        pool: &Pool,
        route: &Route,
        tenant: Option<TenantId>,
        expiry: Micros,
        carried: &Arc<Carried>,
        earlier: u32,
    ) -> Answer {
        let txn = RequestId(self.next.get());
        self.next.set(txn.0 + 1);
        let (caller, answer) = oneshot::channel();
        let mut waiting = Waiting { pool, txn, answered: false };
        let (scheme, carried, payer) = (route.scheme, carried.clone(), Some(route.id));
        pool.desk.do_send(Take { txn, scheme, tenant, expiry, carried, caller, earlier, payer });
        let answer = answer.await.unwrap_or(Answer::Reversed(None, Unserved::default()));
        waiting.answered = true;
        answer
    }
}

fn facts(route: &Route, unserved: Unserved) -> backup::Unserved {
    backup::Unserved {
        kind: route.kind,
        group: route.group,
        may_have_run: unserved.may_have_run,
        sound: unserved.sound,
        posted: unserved.postings > 0,
    }
}

/// A decline without a time gets one: there is always something to wait for.
fn coming_back(answer: Answer) -> Answer {
    match answer {
        Answer::Declined(None, unserved) => Answer::Declined(Some(SOON), unserved),
        other => other,
    }
}

pub fn bad(why: impl Into<String>) -> Refused {
    Refused(StatusCode::BAD_REQUEST, "BAD_REQUEST", why.into())
}

/// How long the client waits: what it says, at most what the route allows.
fn expires(route: &Route, asking: &Asking) -> Result<Micros, Refused> {
    let Some(told) = route.expiry_header.as_ref().and_then(|name| asking.headers.get(name)) else {
        return Ok(route.expiry);
    };
    let told = told.to_str().ok().and_then(|v| v.trim().parse::<u32>().ok());
    let told = told.ok_or_else(|| bad("the expiry is no whole number of milliseconds"))?;
    Ok(Micros::ms(told.into()).min(route.expiry))
}

/// What a client's requests are kept together by; none where nothing does.
fn key(route: &Route, asking: &Asking) -> Option<String> {
    Some(match &route.sticky {
        Sticky::Header(name) => {
            let value = asking.headers.get(name.as_str()).and_then(|v| v.to_str().ok());
            value.unwrap_or("").to_owned()
        }
        Sticky::Path => asking.path.path().to_owned(),
        Sticky::Client => asking.client.clone(),
        Sticky::Nothing => return None,
    })
}

fn carried(route: &Route, asking: Asking) -> Result<Carried, Refused> {
    let all = &asking.headers;
    if route.kind == RequestKind::Keyed {
        let carried = route.reference.as_ref().and_then(|name| all.get(name));
        if carried.is_none_or(HeaderValue::is_empty) {
            let name = route.reference.as_ref().map_or("", |name| name.as_str());
            return Err(bad(format!("no {name}, which carries the reference")));
        }
    }
    let own = |name: &HeaderName| {
        own_to_connection(name, all)
            || *name == "expect"
            || route.remove.contains(name)
            || route.expiry_header.as_ref() == Some(name)
            || route.add.iter().any(|(added, _)| added == name)
    };
    let came = all.iter().filter(|(name, _)| !own(name)).map(|(n, v)| (n.clone(), v.clone()));
    Ok(Carried {
        headers: came.chain(route.add.iter().cloned()).collect(),
        method: asking.method,
        path: asking.path,
        expires: route.expiry_header.clone(),
        body: asking.body,
        drawn: None,
        rest: None,
        flows: false,
        reading: Reading::Plain,
    })
}
