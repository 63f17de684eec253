//! The control plane under many agents: real `replica` and `proxy` processes on loopback, beside them hollow agents that speak the
//! real messages from threads of one process. Bounded in processes, sockets, memory and time; it ends by itself.
pub mod field;
pub mod hollow;
pub mod play;
pub mod proc;

use std::path::PathBuf;
use std::time::Duration;

/// Processes at most, the lab's own among them.
pub const MOST_PROCESSES: usize = 300;
/// Megabytes at most, and part of the machine's memory at most.
pub const MOST_MB: u64 = 16_000;
pub const MOST_PART: f64 = 0.5;
/// A run at most.
pub const MOST_TIME: Duration = Duration::from_secs(900);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where `replica` and `proxy` lie. None: this program plays them, by the same code, as `notchspool lab part`.
    pub programs: Option<PathBuf>,
    pub own: PathBuf,
    /// Files of this run; removed at its end.
    pub folder: PathBuf,
    pub seed: u64,
    pub replicas: usize,
    pub proxies: usize,
    pub hollow: usize,
    pub threads: usize,
    pub services: usize,
    pub routes: usize,
    /// From the first hollow agent's start to the last one's.
    pub ramp: Duration,
    /// How long all may take to be told all.
    pub settle: Duration,
    /// How long each of the phases at rest, under changes and under claims lasts.
    pub span: Duration,
    pub words: usize,
    pub drains: usize,
    /// Changes of stations a second, over all.
    pub changes: f64,
    /// Claims of keys a second, over all.
    pub claims: f64,
}

/// What a plan asks of the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    pub processes: usize,
    pub sockets: u64,
    pub mb: u64,
    pub time: Duration,
}

/// A told drain or configuration is waited for as long as this.
pub const TOLD: Duration = Duration::from_secs(20);

impl Plan {
    pub fn need(&self) -> Need {
        let (n, all) = (self.hollow as u64, (self.hollow + self.proxies) as u64);
        let (replicas, proxies) = (self.replicas as u64, self.proxies as u64);
        // A connection: both ends' buffers and tasks, and what the kernel holds of it. Lists: a row at each replica and real proxy, a
        // bit at each hollow agent; and whole lists on their way at the start.
        let conns = n * replicas * 96;
        let lists = all * (replicas + proxies) + n * all / 8 / 1024 + n * all / 64;
        let mb = 64 + (replicas + proxies) * 16 + (conns + lists) / 1024;
        let told = TOLD * (self.words + self.drains) as u32;
        let time = self.ramp + self.settle + self.span * 3 + told + Duration::from_secs(40);
        Need { processes: 1 + self.replicas + self.proxies, sockets: n * replicas + 200, mb, time }
    }

    /// Refuses what asks for too much, with what it would need.
    pub fn check(&self) -> Result<(), String> {
        let need = self.need();
        if self.replicas == 0 || self.replicas > 9 || self.threads == 0 || self.threads > 8 {
            return Err("asks for other than 1 to 9 replicas and 1 to 8 threads".into());
        }
        if self.services == 0 || self.routes < self.services || self.routes > 20_000 {
            return Err("asks for no services, or for fewer routes than services, or for over 20000".into());
        }
        if !(0.0..=20_000.0).contains(&self.claims) || !(0.0..=2_000.0).contains(&self.changes) {
            return Err("asks for over 20000 claims or 2000 changes a second".into());
        }
        if need.processes > MOST_PROCESSES {
            return Err(format!("would need {} processes, {MOST_PROCESSES} are allowed", need.processes));
        }
        let most = proc::memory_mb().map_or(MOST_MB, |all| MOST_MB.min((all as f64 * MOST_PART) as u64));
        if need.mb > most {
            return Err(format!("would need about {} MB, {most} MB are allowed", need.mb));
        }
        if need.time > MOST_TIME {
            return Err(format!("could last {:?}, {MOST_TIME:?} are allowed", need.time));
        }
        Ok(())
    }
}
