//! One process: started, paused, resumed, killed, restarted with its disk as it was or not. It logs to a file of its own, which is only ever
//! appended to.
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// What becomes of a process's folder while it is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// It stays.
    Kept,
    /// It is removed.
    Empty,
    /// Its files are overwritten but for their first eighth.
    Torn,
}

/// A process, whether it runs or not.
pub struct Process {
    /// Its name, for messages.
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    environment: Vec<(String, String)>,
    /// Its disk.
    pub folder: PathBuf,
    /// Its log.
    pub log: PathBuf,
    child: Option<Child>,
    stopped: bool,
}

impl Process {
    /// A process that does not run yet.
    pub fn new(name: &str, program: &Path, arguments: &[&str], folder: &Path) -> Process {
        Process {
            name: name.into(),
            program: program.into(),
            arguments: arguments.iter().map(|a| (*a).into()).collect(),
            environment: Vec::new(),
            folder: folder.into(),
            log: folder.with_extension("log"),
            child: None,
            stopped: false,
        }
    }

    /// Variables of the environment, from the next start on.
    pub fn environment(&mut self, environment: &[(&str, &str)]) {
        self.environment = environment.iter().map(|(n, v)| ((*n).into(), (*v).into())).collect();
    }

    /// Starts it with `more` arguments.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start(&mut self, more: &[&str]) -> Result<(), String> {
        let failed = |error: std::io::Error| format!("{}: {error}", self.program.display());
        let log = File::options().create(true).append(true).open(&self.log).map_err(failed)?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).args(more).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        command.env_remove("TMPDIR").envs(self.environment.iter().cloned());
        self.child = Some(command.spawn().map_err(failed)?);
        self.stopped = false;
        Ok(())
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(id) = self.id() {
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// SIGSTOP.
    pub fn pause(&mut self) {
        self.signal(Signal::SIGSTOP);
        self.stopped = true;
    }

    /// SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::SIGCONT);
        self.stopped = false;
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// SIGKILL; it is gone when this returns.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stopped = false;
    }

    /// The code with which it ended by itself, if it did; none inside for a signal.
    pub fn exit_code(&mut self) -> Option<Option<i32>> {
        match self.child.as_mut()?.try_wait() {
            Ok(Some(status)) => Some(status.code()),
            _ => None,
        }
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child.is_some() && self.exit_code().is_none()
    }

    /// Whether the system has it stopped.
    pub fn is_stopped(&self) -> bool {
        let state = || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()?)).ok()?;
            stat.rsplit(')').next()?.trim().chars().next()
        };
        state() == Some('T')
    }

    /// Changes its disk; only while it does not run.
    pub fn set_disk(&self, set_disk: Disk) {
        match set_disk {
            Disk::Kept => {}
            Disk::Empty => drop(std::fs::remove_dir_all(&self.folder)),
            Disk::Torn => {
                for file in std::fs::read_dir(&self.folder).into_iter().flatten().flatten() {
                    if let Ok(mut bytes) = std::fs::read(file.path()) {
                        let from = bytes.len() / 8;
                        bytes[from..].fill(0xA5);
                        let _ = std::fs::write(file.path(), &bytes);
                    }
                }
            }
        }
    }

    /// Limits the size of files that it writes, in bytes; none: no limit.
    ///
    /// # Errors
    /// It does not run, or the limit can't be set.
    pub fn limit_files(&self, bytes: Option<u64>) -> Result<(), String> {
        let limit = bytes.map_or("unlimited".to_owned(), |bytes| bytes.to_string());
        let id = self.id().ok_or("not running")?;
        let set = Command::new("prlimit").args([format!("--pid={id}"), format!("--fsize={limit}:")]).status();
        match set {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("prlimit: {other:?}")),
        }
    }

    /// All that it logged.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Resident memory in kB, and processor time so far.
    pub fn footprint(&self) -> Option<(u64, Duration)> {
        let id = self.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?.trim().split(' ').next()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let ticks = stat.rsplit(')').next()?.split_whitespace().skip(11).take(2);
        let ticks: u64 = ticks.filter_map(|t| t.parse::<u64>().ok()).sum();
        Some((memory.parse().ok()?, Duration::from_millis(ticks * 10)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until something holds, and says how long that took.
///
/// # Errors
/// It does not hold `within` that time.
pub fn wait(what: &str, within: Duration, mut holds: impl FnMut() -> bool) -> Result<Duration, String> {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > within {
            return Err(format!("{what}: not within {within:?}"));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(began.elapsed())
}
