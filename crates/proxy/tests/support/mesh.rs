//! A small mesh: one replica, a proxy that clients use, and one beside the only backend that serves them.
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{BackendLog, Proxy, ProxySite, start_backend, start_replicas, wait_until};

/// The service of the backend beside the second proxy.
pub const SERVICE: &str = "store";
/// The service of the first proxy, which nobody calls.
pub const FRONT_SERVICE: &str = "front";
/// The host of the only route.
pub const HOST: &str = "h.example";

/// The only route.
pub struct RouteSpec<'a> {
    pub prefix: String,
    pub kind: &'a str,
    /// Its target is the same: what may be waited for follows from that.
    pub timeout: Duration,
}

/// Its processes; they end with it.
pub struct Mesh {
    pub front: Proxy,
    pub back: Proxy,
    pub backend: Arc<Mutex<BackendLog>>,
    data: PathBuf,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.data);
    }
}

impl RouteSpec<'_> {
    fn config(&self) -> String {
        let (RouteSpec { prefix, kind, .. }, seconds) = (self, self.timeout.as_secs_f64());
        format!(
            r#"{{"version":1,"routes":{{"only":{{"host":"{HOST}","pathPrefix":"{prefix}","routeKind":"{kind}","timeoutS":{seconds},"targetS":{seconds},
            "priority":1,"service":"{SERVICE}","maxAttempts":2}}}},"services":{{"{SERVICE}":{{}},"{FRONT_SERVICE}":{{}}}},"limits":{{"maxHeaderBytes":16384}}}}"#
        )
    }
}

impl Mesh {
    /// Starts it on loopback addresses of this net, `127.79.1`, with a backend that has so many slots and works as [`start_backend`] says.
    pub fn start(net: &str, slots: u32, route: &RouteSpec) -> Mesh {
        Mesh::start_with(net, slots, route, start_backend)
    }

    /// The same with a backend that `start_backend` starts at the address that it is given.
    pub fn start_with(
        net: &str,
        slots: u32,
        route: &RouteSpec,
        start_backend: impl FnOnce(&str) -> Arc<Mutex<BackendLog>>,
    ) -> Mesh {
        let data = std::env::temp_dir().join(format!("notchspool-mesh-{net}-{}", std::process::id()));
        let replica_ip = format!("{net}.250");
        start_replicas(std::slice::from_ref(&replica_ip), &data);
        let site = |host: u8, service: &str| ProxySite {
            ip: format!("{net}.{host}"),
            service: service.into(),
            instance: format!("i-{host}"),
            slots,
            seed: format!("{replica_ip}:8306"),
        };
        let backend = start_backend(&format!("{net}.2:8301"));
        let front = Proxy::start_with_backend(site(1, FRONT_SERVICE));
        let back = Proxy::start_with_backend(site(2, SERVICE));
        let replica = ProxySite { ip: replica_ip.clone(), ..front.site.clone() };
        let put = || replica.http("8306", "POST /notchspool/rpc?call=config.replace", &route.config());
        wait_until("a configuration is taken", || put().as_deref() == Some("200"));
        for proxy in [&front, &back] {
            let ready = || proxy.site.http("8302", "GET /notchspool/ready", "");
            wait_until("a proxy is ready", || ready().as_deref() == Some("200"));
        }
        Mesh { front, back, backend, data }
    }

    /// How many requests the backend has begun to work on.
    pub fn begun(&self) -> usize {
        self.backend.lock().unwrap().begun
    }
}
