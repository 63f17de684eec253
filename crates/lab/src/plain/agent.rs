//! A plain agent as a process of its own, told what any agent is told, on the same protocol.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use super::policy::{Chooser, Policy};
use crate::core::kit::*;
use crate::http::{Head, Wire, answer};

/// Postings of a txn at the most.
const POSTINGS: usize = 3;
/// Idle connections kept to a backend.
const KEPT: usize = 8;

struct Member {
    at: SocketAddr,
    open: bool,
    idle: Vec<(Instant, Wire)>,
}

struct Plain {
    careless: bool,
    chooser: RefCell<Chooser>,
    members: RefCell<BTreeMap<String, Member>>,
    version: RefCell<Option<u64>>,
    safe: Vec<String>,
    began: Instant,
    connect_within: Duration,
    idle: Duration,
}

/// How a posting ended.
enum Fate {
    Settled(Bytes),
    NeverRan,
    MayHaveRan,
}

pub fn run(policy: Policy) -> Result<(), String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|_| "ROUTER_CONFIG is not set".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let told: Value = serde_json::from_str(&text).map_err(|e| format!("{path}: not JSON: {e}"))?;
    let address = |field: &str| {
        told[field]
            .as_str()
            .and_then(|a| a.parse().ok())
            .ok_or(format!("{path}: field `{field}` is no address"))
    };
    let (listen, discovery): (SocketAddr, SocketAddr) = (address("listen")?, address("discovery")?);
    let seed = told["seed"].as_str().and_then(|s| u64::from_str_radix(s, 16).ok()).unwrap_or(1);
    let none = Vec::new();
    let schemes = told["settings"]["schemes"].as_array().unwrap_or(&none);
    let safe = schemes.iter().filter(|s| s["repeat"] == "safe").filter_map(|s| s["name"].as_str());
    let permits = &told["settings"]["permissions"];
    let span =
        |field: &str, default| Duration::from_secs_f64(permits[field].as_f64().unwrap_or(default) / 1e3);
    let plain = Rc::new(Plain {
        careless: policy == Policy::Careless,
        chooser: RefCell::new(Chooser::new(policy, seed)),
        members: RefCell::default(),
        version: RefCell::new(None),
        safe: safe.map(str::to_owned).collect(),
        began: Instant::now(),
        connect_within: span("connectTimeoutMs", 250.0),
        idle: span("idleCloseMs", 15_000.0).mul_f64(0.8),
    });
    plain.listed(&told["known"]);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let all = async move {
        let listener = TcpListener::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
        spawn_local(plain.clone().follow(discovery));
        spawn_local(async {
            // Asked to end it goes on for as long as any txn may take, and then ends.
            let asked = signal(SignalKind::terminate());
            if let Ok(mut asked) = asked {
                asked.recv().await;
                tokio::time::sleep(Duration::from_millis(3_200)).await;
                std::process::exit(0);
            }
        });
        loop {
            match listener.accept().await {
                Ok((io, _)) => drop(spawn_local(plain.clone().serve(Wire::new(io)))),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    };
    LocalSet::new().block_on(&runtime, all)
}

impl Plain {
    fn now(&self) -> Micros {
        Micros(self.began.elapsed().as_micros() as i64)
    }

    fn listed(&self, told: &Value) {
        let none = Vec::new();
        let rows = told["members"].as_array().unwrap_or(&none);
        let whole = told["complete"].as_bool().unwrap_or(false);
        let mut members = self.members.borrow_mut();
        for row in rows {
            let (Some(id), Some(at)) = (row["id"].as_str(), row["host_port"].as_str()) else { continue };
            let Ok(at) = at.parse() else { continue };
            let fresh = || Member { at, open: true, idle: Vec::new() };
            match row["phase"].as_str() {
                Some("in_service") => {
                    let member = members.entry(id.to_owned()).or_insert_with(fresh);
                    (member.open, member.at) = (true, at);
                }
                Some("terminating") => members.entry(id.to_owned()).or_insert_with(fresh).open = false,
                _ => drop(members.remove(id)),
            }
        }
        if whole && !rows.is_empty() {
            members.retain(|id, _| rows.iter().any(|row| row["id"].as_str() == Some(id)));
        }
        self.chooser.borrow_mut().only(|name| members.contains_key(name));
        *self.version.borrow_mut() = told["revision"].as_u64();
    }

    async fn follow(self: Rc<Plain>, discovery: SocketAddr) {
        loop {
            let _ = self.watch(discovery).await;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }
    async fn watch(&self, discovery: SocketAddr) -> io::Result<()> {
        let mut wire = Wire::new(TcpStream::connect(discovery).await?);
        let since = self.version.borrow().map(|v| format!("&since={v}")).unwrap_or_default();
        wire.say(format!("GET /v1/servers?follow=1{since} HTTP/1.1\r\nHost: register\r\n\r\n").as_bytes())
            .await?;
        let Some(head) = wire.head(false).await?.filter(|head| head.status == 200) else { return Ok(()) };
        if head.length().is_some() {
            return Ok(());
        }
        loop {
            let chunk = timeout(Duration::from_secs(5), wire.chunk()).await??;
            if chunk.is_empty() {
                return Ok(());
            }
            if let Ok(told) = serde_json::from_slice::<Value>(&chunk) {
                self.listed(&told);
            }
        }
    }

    async fn serve(self: Rc<Plain>, mut wire: Wire) {
        while let Ok(Some(head)) = wire.head(true).await {
            let Ok(body) = wire.body(&head).await else { return };
            let said = match head.path.as_str() {
                "/healthz" => answer("200 OK", "", "ready\n"),
                _ => {
                    // A client that leaves is told by its connection, which is looked at meanwhile.
                    tokio::select! {
                        said = self.txn(&head, &body) => said,
                        _ = wire.fill() => return,
                    }
                }
            };
            if wire.say(&said).await.is_err() || head.closes() {
                return;
            }
        }
    }

    async fn txn(&self, head: &Head, body: &Bytes) -> Vec<u8> {
        let expires = head.header("x-expires-in-ms").and_then(|v| v.parse::<u64>().ok()).unwrap_or(1000);
        let end = Instant::now() + Duration::from_millis(expires.saturating_sub(10));
        let scheme = head.path.split('/').nth(1).unwrap_or("");
        let safe = self.safe.iter().any(|s| s == scheme);
        let mut ran = false;
        let mut tried: Vec<String> = Vec::new();
        while tried.len() < POSTINGS && Instant::now() < end && (safe || !ran || self.careless) {
            let Some(name) = self.choose(&tried) else { break };
            let began = Instant::now();
            self.chooser.borrow_mut().sent(&name);
            let posted = Posted { plain: self, name: &name, began, served: false };
            let fate = self.post(&name, head, body, end).await;
            let mut posted = posted;
            posted.served = matches!(fate, Fate::Settled(_));
            drop(posted);
            match fate {
                Fate::Settled(body) => {
                    return answer("200 OK", "", &String::from_utf8_lossy(&body));
                }
                Fate::NeverRan => {}
                Fate::MayHaveRan => ran = true,
            }
            tried.push(name);
        }
        match ran && !safe && !self.careless {
            true => answer("502 Bad Gateway", "", "reversed\n"),
            false => answer("503 Service Unavailable", "Retry-After: 0.05\r\n", "declined\n"),
        }
    }

    fn choose(&self, tried: &[String]) -> Option<String> {
        let members = self.members.borrow();
        let mut open: Vec<&str> =
            members.iter().filter(|m| m.1.open || self.careless).map(|m| m.0.as_str()).collect();
        if open.len() > tried.len() {
            open.retain(|name| !tried.iter().any(|t| t == name));
        }
        self.chooser.borrow_mut().choose(&open, self.now()).map(str::to_owned)
    }

    async fn post(&self, name: &str, head: &Head, body: &Bytes, end: Instant) -> Fate {
        let left = end.saturating_duration_since(Instant::now());
        let Some((at, idle)) = self.members.borrow_mut().get_mut(name).map(|member| {
            member.idle.retain(|kept| kept.0.elapsed() < self.idle);
            (member.at, member.idle.pop())
        }) else {
            return Fate::NeverRan;
        };
        let mut wire = match idle {
            Some((_, wire)) => wire,
            None => match timeout(left.min(self.connect_within), TcpStream::connect(at)).await {
                Ok(Ok(io)) => Wire::new(io),
                _ => return Fate::NeverRan,
            },
        };
        let mut said = format!("{} {} HTTP/1.1\r\nHost: {at}\r\n", head.method, head.path);
        for name in ["x-trace-id", "idempotency-key", "content-type"] {
            if let Some(value) = head.header(name) {
                said += &format!("{name}: {value}\r\n");
            }
        }
        said += &format!("X-Expires-In-Ms: {}\r\n", left.as_millis());
        if head.method == "POST" {
            said += &format!("Content-Length: {}\r\n", body.len());
        }
        said += "\r\n";
        let mut bytes = said.into_bytes();
        bytes.extend_from_slice(body);
        let asked = async {
            wire.say(&bytes).await?;
            let head = wire.head(false).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let body = wire.body(&head).await?;
            io::Result::Ok((head, body))
        };
        match timeout(left, asked).await {
            Ok(Ok((head, body))) => {
                if !head.closes()
                    && let Some(member) = self.members.borrow_mut().get_mut(name)
                    && member.idle.len() < KEPT
                {
                    member.idle.push((Instant::now(), wire));
                }
                match head.status {
                    200 => Fate::Settled(body),
                    _ if head.header("x-never-ran").is_some() => Fate::NeverRan,
                    _ => Fate::MayHaveRan,
                }
            }
            // What was written, if only in part, may have come whole.
            _ => Fate::MayHaveRan,
        }
    }
}

/// A posting that is out; however it ends, it is taken off.
struct Posted<'a> {
    plain: &'a Plain,
    name: &'a str,
    began: Instant,
    served: bool,
}
impl Drop for Posted<'_> {
    fn drop(&mut self) {
        let took = Micros(self.began.elapsed().as_micros() as i64);
        self.plain.chooser.borrow_mut().back(self.name, self.plain.now(), took, self.served);
    }
}
