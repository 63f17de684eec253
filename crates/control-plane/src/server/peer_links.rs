//! Connections to proxies and other replicas.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::{debug, warn};
use notchspool_mesh_protocol::text_transfer::Incoming;
use notchspool_mesh_protocol::{Hello, Payload, Role};
use notchspool_runtime::frame_connection::{self, CloseReason, FrameSender};
use notchspool_runtime::random_id;
use notchspool_runtime::tasks::spawn_essential;
use tokio::net::TcpStream;

use super::Server;
use crate::replica::ConnectionId;

/// Nothing heard for so long ends a connection of the mesh.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// A backoff times 0.5 to 1.5 by chance, in whole milliseconds.
fn jittered(backoff: Duration) -> Duration {
    let factor = 0.5 + (random_id() % 1000) as f64 / 1000.0;
    Duration::from_millis((backoff.as_millis() as f64 * factor) as u64)
}

impl Server {
    fn hello(&self) -> Payload {
        let settings = self.settings.borrow();
        Payload::Hello(Hello {
            node: settings.node.clone(),
            boot_id: self.boot_id,
            zone: settings.zone.clone(),
            address: settings.peer_address(),
            role: Role::ControlPlane.into(),
            incarnation: self.replica.borrow().incarnation(),
            counted: settings.counted,
            ..Hello::default()
        })
    }

    /// Keeps a connection to another replica, for as long as this process lives and the replica is of use.
    pub(super) fn keep_connected(self: &Rc<Server>, address: String) {
        let is_own = address == self.settings.borrow().peer_address();
        if is_own || !self.connected_to.borrow_mut().insert(address.clone()) {
            return;
        }
        let server = self.clone();
        spawn_essential("a connection to a replica", async move {
            let Ok(to) = address.parse::<SocketAddr>() else { return };
            let mut backoff = MIN_BACKOFF;
            loop {
                if let Ok(stream) = frame_connection::connect(to, CONNECT_TIMEOUT).await {
                    backoff = MIN_BACKOFF;
                    let reason = server.carry_outgoing(stream, &address).await;
                    debug!(target: "control-plane", "lose {address}: {reason}");
                }
                if !server.replica.borrow().wants_connection(&address) {
                    server.connected_to.borrow_mut().remove(&address);
                    return;
                }
                tokio::time::sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        });
    }

    /// A connection that is open from now on, and its sending end.
    pub(super) fn add_connection(&self) -> (ConnectionId, FrameSender) {
        let (connection, sender) = (self.next_id(), FrameSender::default());
        self.senders.borrow_mut().insert(connection, sender.clone());
        (connection, sender)
    }

    async fn carry_outgoing(self: &Rc<Server>, stream: TcpStream, address: &str) -> CloseReason {
        let (connection, sender) = self.add_connection();
        sender.send(self.texts.borrow_mut().outgoing(connection, self.hello()));
        let effects = self.replica.borrow_mut().on_connected(self.clock.now(), connection, address);
        self.carry_out(effects);
        self.carry(stream, connection, sender).await
    }

    /// Carries a connection that another opened.
    pub(super) async fn carry_incoming(
        self: Rc<Server>,
        stream: TcpStream,
        connection: ConnectionId,
        sender: FrameSender,
    ) {
        frame_connection::configure_socket(&stream);
        let reason = self.carry(stream, connection, sender).await;
        debug!(target: "control-plane", "a connection ends: {reason}");
    }

    async fn carry(
        self: &Rc<Server>,
        stream: TcpStream,
        connection: ConnectionId,
        sender: FrameSender,
    ) -> CloseReason {
        let reply_to = sender.clone();
        let on_message = |payload| {
            let incoming = self.texts.borrow_mut().incoming(connection, payload);
            match incoming {
                Incoming::Message(payload) => {
                    let effects = self.replica.borrow_mut().on_message(self.clock.now(), connection, payload);
                    self.carry_out(effects);
                }
                Incoming::Reply(payload) => {
                    warn!(target: "control-plane", "a difference can't be made out: the full text is asked for");
                    reply_to.send(payload);
                }
                Incoming::Nothing => {}
            }
        };
        let reason = frame_connection::run(stream, sender, Some(IDLE_TIMEOUT), on_message).await;
        self.texts.borrow_mut().on_closed(connection);
        self.senders.borrow_mut().remove(&connection);
        self.replica.borrow_mut().on_closed(connection);
        reason
    }
}
