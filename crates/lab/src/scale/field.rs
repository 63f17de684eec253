//! Where the real processes stand: addresses of a loopback block that one run alone has, settings files, the operator's calls and the
//! beats of backends.
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::hollow::{service, zone};
use super::{Plan, proc};
use crate::cluster::process::Process;

/// The same as other runs of the lab hold: no two take one block.
const CLAIM: u16 = 7001;
const BEAT: Duration = Duration::from_millis(1_500);

pub struct Field {
    pub plan: Plan,
    pub block: u8,
    _claim: TcpListener,
    pub replicas: Vec<Process>,
    pub proxies: Vec<Process>,
}

impl Drop for Field {
    fn drop(&mut self) {
        self.replicas.iter_mut().chain(&mut self.proxies).for_each(Process::kill);
        let _ = std::fs::remove_dir_all(&self.plan.folder);
    }
}

impl Field {
    /// Files are written, nobody runs yet.
    pub fn lay(plan: Plan) -> Result<Field, String> {
        let failed = |e: std::io::Error| format!("{}: {e}", plan.folder.display());
        std::fs::create_dir_all(&plan.folder).map_err(failed)?;
        let claim = |block: u8| TcpListener::bind(SocketAddr::from(([127, block, 255, 254], CLAIM))).ok();
        let first = ((std::process::id() * 29) % 200) as u8;
        let found = (0..200_u8)
            .map(|n| ((u16::from(first) + u16::from(n)) % 200) as u8 + 30)
            .find_map(|block| Some((block, claim(block)?)));
        let (block, _claim) = found.ok_or("no block of loopback addresses is free")?;
        let mut field = Field { plan, block, _claim, replicas: Vec::new(), proxies: Vec::new() };
        for n in 0..field.plan.replicas {
            let made = field.process("control-plane", n)?;
            field.replicas.push(made);
        }
        for n in 0..field.plan.proxies {
            let made = field.process("proxy", n)?;
            field.proxies.push(made);
        }
        Ok(field)
    }

    pub fn ip(&self, role: &str, n: usize) -> String {
        let third = if role == "control-plane" { 1 } else { 2 + n / 200 };
        format!("127.{}.{third}.{}", self.block, n % 200 + 1)
    }
    pub fn seeds(&self, port: u16) -> Vec<String> {
        (0..self.plan.replicas.min(3)).map(|n| format!("{}:{port}", self.ip("control-plane", n))).collect()
    }

    fn process(&self, role: &str, n: usize) -> Result<Process, String> {
        let ip = self.ip(role, n);
        let folder = self.plan.folder.join(format!("{role}-{n}"));
        let data = (role == "control-plane").then(|| folder.display().to_string());
        let at = |port: u16| format!("{ip}:{port}");
        let settings = serde_json::json!({
            "node": format!("{role}-{n}"), "role": role, "zone": zone(n), "region": "r", "ipAddress": ip,
            "listenAddresses": {"inbound": at(8300), "outbound": at(8304), "readiness": at(8302),
                "controlPlane": at(8306)},
            "portRange": [7620, 7635], "seedNodes": self.seeds(8306), "firstStart": true, "dataPath": data,
            "beatIntervalS": BEAT.as_secs_f64(), "counted": role == "control-plane",
            "tolerate": {"machines": self.plan.replicas.saturating_sub(1) / 2, "zones": 0, "regions": 0},
            "bounds": ["drainS=2", "graceS=6", "keyWindowS=60", "retryRatio=0.2", "retryWindowS=10", "retrySlack=60"],
            "limits": {"memoryMb": 256}, "appAddress": at(8301), "service": service(n, self.plan.services),
        });
        let file = self.plan.folder.join(format!("{role}-{n}.json"));
        std::fs::write(&file, settings.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        let file = file.display().to_string();
        match &self.plan.programs {
            Some(beside) => Ok(Process::new(
                role,
                &beside.join(format!("notchspool-{role}")),
                &["--settings", &file],
                &folder,
            )),
            None => Ok(Process::new(role, &self.plan.own, &["lab", "part", role, &file], &folder)),
        }
    }

    /// Processor, memory and bytes of replicas, then proxies, then this process.
    pub fn looks(&self) -> proc::Looks {
        let ids = self.replicas.iter().chain(&self.proxies).filter_map(Process::id);
        proc::looks(&ids.chain([std::process::id()]).collect::<Vec<_>>(), self.block)
    }

    /// A configuration with a route for each of `routes` paths; version and one timeout differ from one to the next.
    pub fn word(&self, version: u64) -> String {
        let mut routes = serde_json::Map::new();
        for n in 0..self.plan.routes {
            let timeout = if n == version as usize % self.plan.routes { 6 } else { 5 };
            let name = service(n, self.plan.services);
            routes.insert(
                format!("route-{n:05}"),
                serde_json::json!({"host": format!("{name}.example"), "pathPrefix": format!("/p{}/", n / self.plan.services),
                    "routeKind": "safe", "timeoutS": timeout, "targetS": 1, "priority": 1, "service": name, "maxAttempts": 2}),
            );
        }
        let services: serde_json::Map<String, serde_json::Value> = (0..self.plan.services)
            .map(|n| (service(n, self.plan.services), serde_json::Value::Object(serde_json::Map::new())))
            .collect();
        serde_json::json!({"version": version, "routes": routes, "services": services, "limits": {"maxHeaderBytes": 16384}})
            .to_string()
    }
}

/// One call with POST; the status.
pub async fn post(to: String, target: String, body: Bytes) -> std::io::Result<u16> {
    let call = async {
        let mut stream = tokio::net::TcpStream::connect(&to).await?;
        stream.set_nodelay(true)?;
        let head = format!(
            "POST {target} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await?;
        let mut got = Vec::new();
        stream.take(1 << 20).read_to_end(&mut got).await?;
        let first = String::from_utf8_lossy(&got);
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
        status.ok_or_else(|| std::io::Error::other("no status"))
    };
    let timed = tokio::time::timeout(Duration::from_secs(15), call).await;
    timed.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

/// Beats of the backend beside a real proxy, for as long as this is not dropped.
pub async fn beats(ip: String, zone: &'static str, service: String, n: usize) {
    let mut calls = 0u64;
    loop {
        calls += 1;
        let body = serde_json::json!({"address": format!("{ip}:8301"),
            "details": {"service": service, "version": "v1", "zone": zone, "freeSlots": 6},
            "status": {"state": "ready", "callCount": calls, "coldLeftS": 0}});
        let target = format!("/notchspool/rpc?call=instances.heartbeat&of=u-{n}");
        let taken = post(format!("{ip}:8306"), target, Bytes::from(body.to_string())).await;
        // Not up yet: asked again soon.
        let pause = if taken.is_ok() { BEAT } else { Duration::from_millis(100) };
        tokio::time::sleep(pause).await;
    }
}
