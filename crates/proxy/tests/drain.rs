//! A backend that drains, on loopback with real proxies and three replicas: once its `draining` is acknowledged, nothing that was sent later than
//! `drainS` reaches it, whatever becomes of the proxy beside it. Its next heartbeat comes too late to tell the next run of that proxy.
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

mod support;

use support::{BOUND, Proxy, ProxySite, start_backend, start_replicas, start_working_backend};

/// `drainS` of the proxies' settings.
const DRAIN: Duration = Duration::from_secs(2);
/// The backend serves on for this long after the acknowledgement.
const SERVES_ON: Duration = Duration::from_millis(6_500);
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// After the acknowledgement; others have heard of it by then.
const UNTIL_DISRUPTION: Duration = Duration::from_millis(600);

const CONFIG: &str = r#"{"version":1,"routes":{"r":{"host":"x","pathPrefix":"/10/","routeKind":"safe","timeoutS":4,"targetS":1,"priority":1,
    "service":"store","maxAttempts":2}},"services":{"front":{},"store":{}},"limits":{"maxHeaderBytes":16384}}"#;

/// Two backends of one service, a caller, and clients beside the caller that go on asking.
struct Mesh {
    data: PathBuf,
    /// Beside the backend that drains.
    leaver: Option<Proxy>,
    /// When the backend that drains began to work on requests.
    runs: Arc<Mutex<Vec<Instant>>>,
    others: Arc<Mutex<support::BackendLog>>,
    /// The caller's proxy, and that of the other backend: killed as they are dropped.
    _others: [Proxy; 2],
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
        let _ = std::fs::remove_dir_all(&self.data);
    }
}

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is_so() {
        assert!(began.elapsed() < BOUND, "not within {BOUND:?}: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl Mesh {
    /// `net`: the addresses are 127.79.`net`.*.
    fn start(net: u8) -> Mesh {
        let replicas: Vec<String> = (250..253).map(|host| format!("127.79.{net}.{host}")).collect();
        let data = std::env::temp_dir().join(format!("notchspool-drain-{net}-{}", std::process::id()));
        start_replicas(&replicas, &data);
        let site = |host: u8, service: &str| ProxySite {
            ip: format!("127.79.{net}.{host}"),
            service: service.into(),
            instance: format!("i-{host}"),
            slots: 6,
            seed: format!("{}:8306", replicas[0]),
        };
        let runs: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let noted = runs.clone();
        let note = move |_: &support::BackendRequest| {
            noted.lock().unwrap().push(Instant::now());
            true
        };
        let sites = [site(1, "front"), site(2, "store"), site(3, "store")];
        start_backend(&format!("{}:8301", sites[0].ip));
        start_working_backend(&format!("{}:8301", sites[1].ip), Arc::new(note));
        let others = start_backend(&format!("{}:8301", sites[2].ip));
        let [caller, leaver, sound] = sites.map(Proxy::start_with_backend);
        let operator = ProxySite { ip: replicas[0].clone(), ..caller.site.clone() };
        let replace = "POST /notchspool/rpc?call=config.replace";
        wait_until("the configuration", || operator.http("8306", replace, CONFIG).as_deref() == Some("200"));
        for proxy in [&caller, &leaver, &sound] {
            wait_until("readiness", || {
                proxy.site.http("8302", "GET /notchspool/ready", "").as_deref() == Some("200")
            });
        }
        let is_over = Arc::new(AtomicBool::new(false));
        let beating = [&caller, &sound].map(|proxy| start_heartbeats(proxy.site.clone(), is_over.clone()));
        let mut threads = Vec::from(beating);
        threads.push(start_clients(caller.site.clone(), is_over.clone()));
        let leaver = Some(leaver);
        Mesh { data, leaver, runs, others, _others: [caller, sound], is_over, threads }
    }

    fn leaver_site(&self) -> ProxySite {
        self.leaver.as_ref().map(|proxy| proxy.site.clone()).expect("the proxy runs")
    }

    /// The backend says `draining` until that is acknowledged: when it was.
    fn drain(&self) -> Instant {
        let site = self.leaver_site();
        let mut call_count = 1;
        wait_until("draining is acknowledged", || {
            call_count += 1;
            site.send_heartbeat_as("draining", call_count)
        });
        Instant::now()
    }

    /// The proxy ends in order, and starts again.
    fn restart_in_order(&mut self) {
        let mut proxy = self.leaver.take().expect("the proxy runs");
        proxy.signal("TERM");
        proxy.wait_for_end();
        self.leaver = Some(Proxy::start(proxy.site.clone()));
    }

    /// The proxy's machine loses power, and is back after this.
    fn lose_power(&mut self, dark: Duration) {
        let proxy = self.leaver.take().expect("the proxy runs");
        let site = proxy.site.clone();
        drop(proxy);
        std::thread::sleep(dark);
        self.leaver = Some(Proxy::start(site));
    }

    /// Lets the drain go on to its end, and judges.
    fn assert_nothing_late(&self, acknowledged: Instant) {
        std::thread::sleep((acknowledged + SERVES_ON).saturating_duration_since(Instant::now()));
        let late: Vec<Duration> = {
            let runs = self.runs.lock().unwrap();
            runs.iter().filter(|at| **at > acknowledged + DRAIN).map(|at| *at - acknowledged).collect()
        };
        assert!(late.is_empty(), "{} requests reached the backend late: {late:?}", late.len());
        let begun = self.others.lock().unwrap().begun;
        wait_until("the other backend serves on", || self.others.lock().unwrap().begun > begun);
    }
}

/// A backend that beats until the test is over.
fn start_heartbeats(site: ProxySite, is_over: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut call_count = 1;
        while !is_over.load(Ordering::SeqCst) {
            call_count += 1;
            site.send_heartbeat(call_count);
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    })
}

/// Clients beside this proxy, each with one request, one after the other.
fn start_clients(site: ProxySite, is_over: Arc<AtomicBool>) -> JoinHandle<()> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    std::thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) {
            let attempt_id = format!("drain-{}", NEXT.fetch_add(1, Ordering::SeqCst));
            site.request("/10/x", &attempt_id);
            std::thread::sleep(REQUEST_INTERVAL);
        }
    })
}

/// A mesh in which the backend has served, has said that it drains, and has been acknowledged.
fn start_draining(net: u8) -> (Mesh, Instant) {
    let mesh = Mesh::start(net);
    wait_until("the backend serves", || mesh.runs.lock().unwrap().len() >= 10);
    let acknowledged = mesh.drain();
    (mesh, acknowledged)
}

/// Guards against: the proxy that ends hides that its backend drains, and its next run takes the backend for ready (review, case 1).
#[test]
fn a_backend_drains_on_while_its_proxy_restarts_in_order() {
    let (mut mesh, acknowledged) = start_draining(1);
    std::thread::sleep(UNTIL_DISRUPTION);
    mesh.restart_in_order();
    mesh.assert_nothing_late(acknowledged);
}

/// Guards against: the silence of a proxy hides that its backend drains, and the proxy takes the backend for ready when it is back.
#[test]
fn a_backend_drains_on_while_its_proxy_has_no_power() {
    let (mut mesh, acknowledged) = start_draining(2);
    std::thread::sleep(UNTIL_DISRUPTION);
    mesh.lose_power(Duration::from_millis(3_600));
    mesh.assert_nothing_late(acknowledged);
}
