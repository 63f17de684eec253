//! The process of a proxy: its listeners, its ticks, its end.
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use notchspool::units::Micros;
use notchspool_mesh_config::route_config::Limits;
use notchspool_mesh_protocol::{MAX_HEADERS, MIN_HEADERS};
use notchspool_runtime::program::{CheckedSettings, ServiceResult};
use notchspool_runtime::random_id;
use notchspool_runtime::signals::{Event, Signals};
use notchspool_runtime::tasks::spawn_essential;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body_pipe::ResponseBody;
use crate::config_store::ConfigStore;
use crate::context::Context;
use crate::local_api::LocalApi;
use crate::outbound::Outbound;
use crate::proxy::Proxy;
use crate::shutdown::{InFlight, Phase, Shutdown};

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Clients' connections at most.
const MAX_CONNECTIONS: usize = 1_500;
/// After a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Bounds of what a connection may be idle, and of the buffer for a request's head.
const MIN_HEADER_TIMEOUT_US: i64 = 1_000_000;
const MAX_HEADER_TIMEOUT_US: i64 = 600_000_000;
const MIN_HEADER_BUFFER: usize = 8 << 10;
const MAX_HEADER_BUFFER: usize = 1 << 20;
/// So many headers are taken as fit into the limit of their bytes where each has this many.
const BYTES_A_HEADER: usize = 64;
const EXTRA_HEADER_BUFFER: usize = 8 << 10;
/// What was written last has to leave.
const FLUSH_TIME: Duration = Duration::from_millis(60);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where the operators' settings say that a proxy listens.
#[derive(Clone, Copy, Debug)]
pub struct Listeners {
    /// Requests of clients and of the backend here.
    pub outbound: SocketAddr,
    /// Whether clients may be sent here.
    pub readiness: SocketAddr,
    /// Heartbeats of the backend here.
    pub control_plane: SocketAddr,
}

/// Who serves the connections of a listener.
#[derive(Clone)]
enum Service {
    Outbound(Rc<Outbound>),
    Api(Rc<LocalApi>),
}

impl Service {
    async fn serve(self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Infallible> {
        Ok(match self {
            Service::Outbound(outbound) => outbound.serve(request).await,
            Service::Api(api) => api.serve(request).await,
        })
    }
}

/// Connections of one kind: taken, served, and ended in order.
#[derive(Clone)]
struct HttpServer {
    service: Service,
    context: Rc<Context>,
    config: Rc<ConfigStore>,
    /// Turns true when the connections are to end.
    is_closing: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
}

/// Counts a connection for as long as it is carried.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> OpenConnection {
        open.set(open.get() + 1);
        OpenConnection(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl HttpServer {
    /// Takes connections until they are to end.
    fn listen(&self, listener: TcpListener) {
        let mut server = self.clone();
        spawn_essential("a listener", async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = server.is_closing.changed() => return,
                };
                let Ok((stream, _)) = accepted else {
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                };
                if server.open.get() >= MAX_CONNECTIONS {
                    server.context.count("connections_full");
                    continue;
                }
                let open = OpenConnection::new(&server.open);
                let server = server.clone();
                tokio::task::spawn_local(async move {
                    let _open = open;
                    server.carry(stream).await;
                });
            }
        });
    }

    async fn carry(mut self, stream: TcpStream) {
        // Without it the connection works all the same.
        let _ = stream.set_nodelay(true);
        let limits = self.config.current().map(|config| config.limits).unwrap_or_default();
        let service = self.service.clone();
        let http = http_builder(&limits);
        let service = hyper::service::service_fn(move |request| service.clone().serve(request));
        let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(stream), service));
        let mut is_closing = *self.is_closing.borrow();
        if is_closing {
            connection.as_mut().graceful_shutdown();
        }
        loop {
            tokio::select! {
                // A client that leaves early is no fault of ours.
                _ = connection.as_mut() => return,
                _ = self.is_closing.changed(), if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn http_builder(limits: &Limits) -> hyper::server::conn::http1::Builder {
    let timeout_us = limits.idle_timeout.0.max(limits.header_timeout.0);
    let timeout_us = timeout_us.clamp(MIN_HEADER_TIMEOUT_US, MAX_HEADER_TIMEOUT_US) as u64;
    let buffer = limits.max_header_bytes.clamp(MIN_HEADER_BUFFER, MAX_HEADER_BUFFER) + EXTRA_HEADER_BUFFER;
    let max_headers = (limits.max_header_bytes / BYTES_A_HEADER).clamp(MIN_HEADERS, MAX_HEADERS);
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(Duration::from_micros(timeout_us))
        .max_buf_size(buffer)
        .max_headers(max_headers);
    http
}

fn accept_peers(proxy: &Proxy, listener: TcpListener) {
    let peers = proxy.peers.clone();
    spawn_essential("the listener for proxies", async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::task::spawn_local(peers.clone().carry_incoming(stream))),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    });
}

fn run_ticks(proxy: &Rc<Proxy>) {
    let proxy = proxy.clone();
    spawn_essential("the clock", async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = 0u64;
        loop {
            interval.tick().await;
            ticks += 1;
            proxy.tick(ticks);
        }
    });
}

/// Runs a proxy until SIGTERM.
///
/// # Errors
///
/// Where a listener can't be opened at the start.
pub async fn run(settings: CheckedSettings<Listeners>, signals: Signals) -> ServiceResult {
    let CheckedSettings { node: settings, file, listeners } = settings;
    let mut process_events = signals.watch(&file);
    let grace = settings.bounds.grace;
    let seeds = settings.seed_peer_addresses();
    let peer_listener = TcpListener::bind(settings.peer_address()).await?;
    let proxy = Rc::new(Proxy::new(settings, random_id()));
    let (close_outbound, outbound_closing) = watch::channel(false);
    let (close_api, api_closing) = watch::channel(false);
    let server = |service, is_closing| HttpServer {
        service,
        context: proxy.context.clone(),
        config: proxy.config.clone(),
        is_closing,
        open: Rc::default(),
    };
    let outbound = server(Service::Outbound(proxy.outbound.clone()), outbound_closing);
    outbound.listen(TcpListener::bind(listeners.outbound).await?);
    for address in [listeners.readiness, listeners.control_plane] {
        let api = server(Service::Api(proxy.api.clone()), api_closing.clone());
        api.listen(TcpListener::bind(address).await?);
    }
    accept_peers(&proxy, peer_listener);
    seeds.into_iter().for_each(|seed| proxy.control.keep_connected(seed));
    run_ticks(&proxy);
    log::info!(target: "proxy", "{} listens at {}", proxy.context.settings().node, listeners.outbound);
    while process_events.next().await == Event::Reload {
        proxy.reload_settings(&file);
    }
    shut_down(&proxy, &outbound, &close_outbound, grace).await;
    // Those who wait for it are gone where this fails.
    let _ = close_api.send(true);
    log::info!(target: "proxy", "ended, {}", in_flight_text(&proxy));
    Ok(())
}

/// What is in flight, for the log. The two figures of the backend differ by what is being sent back, or there is a fault in one.
fn in_flight_text(proxy: &Proxy) -> String {
    let (begun_here, running) = (proxy.outbound.in_flight(), proxy.running.count());
    let admitted = proxy.backend.admission().in_flight();
    format!("{begun_here} requests begun here, {admitted} admitted to the backend, {running} running there")
}

/// Ends in order, within the grace period ([`crate::shutdown`]).
async fn shut_down(
    proxy: &Proxy,
    outbound: &HttpServer,
    close_outbound: &watch::Sender<bool>,
    grace: Micros,
) {
    let context = &proxy.context;
    let mut shutdown = Shutdown::new(context.now(), grace);
    proxy.api.is_stopping.set(true);
    proxy.peers.announce_end(shutdown.known_end(context.now()).answer_by());
    log::info!(target: "proxy", "ends on SIGTERM, {} requests in hand", proxy.outbound.in_flight());
    while shutdown.phase() != Phase::Ended {
        let now = context.now();
        let in_flight = InFlight {
            backend_busy: proxy.inbound.is_busy(),
            clients: proxy.outbound.in_flight() + outbound.open.get(),
            peers: proxy.peers.accepted(),
        };
        let end = shutdown.known_end(now);
        proxy.outbound.set_end(end);
        // Other proxies have heard nothing yet, and choose another backend at once where this one refuses.
        proxy.inbound.set_end(end);
        match shutdown.apply(now, in_flight) {
            Some(phase) => enter_phase(proxy, phase, close_outbound),
            None => tokio::time::sleep(EXIT_POLL_INTERVAL).await,
        }
    }
    tokio::time::sleep(FLUSH_TIME).await;
}

fn enter_phase(proxy: &Proxy, phase: Phase, close_outbound: &watch::Sender<bool>) {
    match phase {
        Phase::Leaving | Phase::Ended => {}
        Phase::Announced => {
            proxy.backend.set_proxy_leaving();
            proxy.control.report_endpoint();
        }
        Phase::Draining => {
            proxy.inbound.drain();
            proxy.peers.go_away();
            log::info!(target: "proxy", "nothing more begins at the backend, {}", in_flight_text(proxy));
        }
        Phase::Closing => {
            // Those who wait for it are gone where this fails.
            let _ = close_outbound.send(true);
            log::info!(target: "proxy", "no more connections are taken, {}", in_flight_text(proxy));
        }
    }
}
