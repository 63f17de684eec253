//! The proxy of another machine, which sends requests for the backend here without having heard anything of it.
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use notchspool_mesh_protocol::{Header, Payload, Request, Response, Verdict};
use notchspool_runtime::frame_connection::{self, FrameSender};

use super::BOUND;

/// The service that it calls, and the instance of it that it chooses.
pub const SERVICE: &str = "orders";
pub const INSTANCE: &str = "i-1";

/// Runs a test whose parts share one thread.
pub fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// The proxy of another machine.
#[derive(Clone, Default)]
pub struct Peer {
    pub sender: FrameSender,
    responses: Rc<RefCell<Vec<Response>>>,
}

impl Peer {
    pub async fn connect(to: SocketAddr) -> Peer {
        let peer = Peer::default();
        let stream = frame_connection::connect(to, Duration::from_secs(5)).await.unwrap();
        let (sender, responses) = (peer.sender.clone(), peer.responses.clone());
        tokio::task::spawn_local(async move {
            let on_message = |payload| {
                if let Payload::Response(response) = payload {
                    responses.borrow_mut().push(response);
                }
            };
            frame_connection::run(stream, sender, None, on_message).await;
        });
        peer
    }

    /// Sends a request that takes so long; false where the connection has ended.
    pub fn send(&self, id: u64, work_ms: u64, priority: u32) -> bool {
        self.send_to(id, format!("/{work_ms}/{id}"), priority, 15_000)
    }

    /// Sends a request whose response is large. Requests of one latency target are taken for one kind of work.
    pub fn send_large(&self, id: u64) -> bool {
        self.send_to(id, format!("/0/{id}/large"), 1, 9_000)
    }

    fn send_to(&self, id: u64, target: String, priority: u32, latency_target_ms: u32) -> bool {
        let attempt_id = format!("a-{id}");
        let header = Header { name: "notchspool-attempt-id".into(), value: attempt_id.clone().into() };
        self.sender.send(Payload::Request(Request {
            id,
            headers: vec![header],
            service: SERVICE.into(),
            instance: INSTANCE.into(),
            method: "GET".into(),
            target,
            time_left_ms: 20_000,
            priority,
            idempotent: true,
            attempt_id,
            caller: "shop".into(),
            host: "h.example".into(),
            target_left_ms: 15_000,
            latency_target_ms,
            ..Request::default()
        }))
    }

    pub async fn wait_for_responses(&self, count: usize) {
        let began = Instant::now();
        while self.responses.borrow().len() < count {
            assert!(began.elapsed() < BOUND, "{} responses, not {count}", self.responses.borrow().len());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub fn ids(&self, verdict: Verdict) -> BTreeSet<u64> {
        let responses = self.responses.borrow();
        responses
            .iter()
            .filter(|response| response.verdict() == verdict)
            .map(|response| response.id)
            .collect()
    }
}
