//! Agents as processes: told by file and environment, waited for, killed, started anew, and looked at from outside.
use std::fs::{File, create_dir_all};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tokio::process::{Child, Command};

use super::house;
use crate::core::kit::*;
use crate::http;
use crate::plan::{Arm, Plan};

/// What is started as an agent.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The agent's binary.
    pub agent: PathBuf,
    /// This program, for plain policies.
    pub own: PathBuf,
}

pub struct Agent {
    pub name: String,
    pub at: SocketAddr,
    /// Where it takes `FastCGI`, if anywhere.
    pub fast: Option<SocketAddr>,
    program: PathBuf,
    arguments: Vec<String>,
    config: PathBuf,
    log: PathBuf,
    discovery: SocketAddr,
    /// The operator's file, where it has routes.
    file: Option<String>,
    told: Value,
    child: Option<Child>,
    starts: u64,
}

/// Memory in kB and descriptors at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Footprint {
    pub at: Micros,
    pub memory_kb: u64,
    pub descriptors: u64,
    /// CPU time since the start of the process.
    pub cpu: Micros,
}

const READY: Duration = Duration::from_secs(10);

/// The settings of an agent in the platform's form.
pub fn settings(plan: &Plan, arm: &Arm, zone: ZoneId) -> Result<Value, String> {
    let zones: Vec<String> = (0..plan.zones.len()).map(|n| format!("z{n}")).collect();
    let time = |at: Micros| at.0 as f64 / 1000.0;
    let scheme = |s: &crate::core::crowd::Scheme| {
        json!({
            "name": s.name, "stream": false, "value": s.value, "overdueValue": s.overdue,
            "repeat": match s.kind { RequestKind::Idempotent => "safe", RequestKind::Keyed => "keyed", RequestKind::NonIdempotent => "unsafe" },
            "group": match s.group { DeduplicationScope::All => "all", DeduplicationScope::Zone => "zone", DeduplicationScope::Cell => "cell" },
            "windowMs": time(s.window), "slaTimeMs": time(s.sla), "expiryMs": time(s.expiry),
        })
    };
    let cold = &plan.sites[0].build.cold;
    let told = &plan.told;
    let mut settings = json!({
        "balancers": plan.agents.len(), "myZone": zones[zone.0], "zones": zones, "tickMs": 5.0,
        "registryMode": "on_request",
        "contract": {
            "askWithinMs": time(told.ask_within), "drainGraceMs": time(told.drain_grace),
            "coldFrom": cold.from, "coldMs": time(cold.span), "fallMultiple": cold.multiple,
            "fallMs": time(cold.within),
        },
        "permissions": {
            "cancel": told.cancel, "probes": told.probes, "retryAfter": told.retry_after > Micros(0),
            "maxRetryAfterMs": time(told.retry_after), "maxPostings": told.most_postings,
            "connectTimeoutMs": time(told.connect_within), "idleCloseMs": time(told.idle_close),
        },
        "loadReport": {"via": "answers", "fields": ["busy", "rif"]},
        "costs": {"probe": 0.04},
        "schemes": plan.schemes.iter().map(scheme).collect::<Vec<_>>(),
    });
    for (path, value) in &arm.settings {
        let place = settings.pointer_mut(&format!("/{path}"));
        *place.ok_or_else(|| format!("arm {}: no setting `{path}`", arm.name))? = value.clone();
    }
    Ok(settings)
}

impl Agent {
    /// Ready to be started; its file is written.
    #[expect(clippy::too_many_arguments, reason = "all that one process is told")]
    pub fn new(
        nth: usize,
        plan: &Plan,
        arm: &Arm,
        programs: &Programs,
        at: SocketAddr,
        fast: Option<SocketAddr>,
        discovery: SocketAddr,
        known: &Value,
        places: &[Vec<SocketAddr>],
        folder: &Path,
    ) -> Result<Agent, String> {
        let name = format!("n{nth}");
        let told = json!({
            "name": name, "listen": at.to_string(), "discovery": discovery.to_string(), "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets},
            "known": known, "settings": settings(plan, arm, plan.agents[nth])?,
        });
        let config =
            folder.join(if arm.routes.is_some() { format!("{name}.toml") } else { format!("{name}.json") });
        let (program, arguments) = match arm.plain {
            _ if arm.routes.is_some() => {
                (programs.own.clone(), vec!["run".to_owned(), config.to_string_lossy().into_owned()])
            }
            Some(policy) => {
                (programs.own.clone(), ["lab", "plain", policy.name()].map(str::to_owned).to_vec())
            }
            None => (arm.agent.as_ref().map_or_else(|| programs.agent.clone(), PathBuf::from), Vec::new()),
        };
        if !program.is_file() {
            return Err(format!(
                "no agent at {}; build it (`cargo build --release --locked`) or name one with --agent",
                program.display()
            ));
        }
        create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        // Of this run alone, over all of its starts.
        let _ = std::fs::remove_file(folder.join(format!("{name}.log")));
        Ok(Agent {
            config,
            file: arm.routes.map(|divided| house::file(plan, nth, at, fast, discovery, places, divided)),
            log: folder.join(format!("{name}.log")),
            name,
            at,
            fast,
            program,
            arguments,
            discovery,
            told,
            child: None,
            starts: 0,
        })
    }

    /// Starts the process; a new seed each time.
    pub fn launch(&mut self, seed: u64) -> Result<(), String> {
        self.starts += 1;
        let seed = mixed(seed, &[61, self.starts, u64::from(self.at.port())]);
        self.told["seed"] = format!("{seed:016x}").into();
        let failed = |e: std::io::Error| format!("{}: {e}", self.program.display());
        let text = self.file.clone().unwrap_or_else(|| self.told.to_string());
        std::fs::write(&self.config, text).map_err(failed)?;
        let log = File::options().create(true).append(true).open(&self.log).map_err(failed)?;
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", self.at.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.to_string())
            .env("ROUTER_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(failed)?;
        self.child = Some(child);
        Ok(())
    }

    pub async fn ready(&mut self) -> Result<(), String> {
        let began = Instant::now();
        let page = if self.file.is_some() { "/-/healthz" } else { "/healthz" };
        loop {
            if matches!(http::get(self.at, page, Duration::from_secs(1)).await, Ok((200, _))) {
                return Ok(());
            }
            if let Some(Ok(Some(end))) = self.child.as_mut().map(Child::try_wait) {
                return Err(format!(
                    "agent {} ended at its start ({end}); see {}",
                    self.name,
                    self.log.display()
                ));
            }
            if began.elapsed() > READY {
                return Err(format!(
                    "agent {} was not ready in {READY:?}; see {}",
                    self.name,
                    self.log.display()
                ));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.as_ref().and_then(Child::id) {
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }
    pub fn term(&self) {
        self.signal(Signal::SIGTERM);
    }
    /// True where it was still there.
    pub fn kill(&mut self) -> bool {
        let there = matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)));
        self.signal(Signal::SIGKILL);
        there
    }
    pub async fn gone(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait().await;
        }
    }
    /// Ended by itself though nobody asked it to.
    pub fn crashed(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(Some(_))))
    }

    /// None where the system does not tell.
    pub fn footprint(&self, at: Micros) -> Option<Footprint> {
        let id = self.child.as_ref()?.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let memory_kb = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?.trim().split(' ').next()?;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as u64;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        // Behind the name in brackets: state is field 3; user and system time are 14 and 15, in hundredths.
        let ticks = stat.rsplit(')').next()?.split_whitespace().skip(11).take(2);
        let ticks: i64 = ticks.filter_map(|t| t.parse::<i64>().ok()).sum();
        let cpu = Micros::ms(ticks * 10);
        Some(Footprint { at, memory_kb: memory_kb.parse().ok()?, descriptors, cpu })
    }
}
