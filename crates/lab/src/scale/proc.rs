//! What the kernel says of a process.
use std::collections::HashMap;
use std::process::Command;
use std::time::{Duration, Instant};

/// One look at one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Look {
    /// Processor time so far.
    pub busy: Duration,
    pub rss_kb: u64,
    pub peak_kb: u64,
    pub sockets: usize,
    /// Bytes that its TCP connections sent and got, of those open now; 0 where nothing tells it.
    pub sent: u64,
    pub got: u64,
    /// Bytes that went to the disk.
    pub disk: u64,
}

/// Looks at several at one time.
#[derive(Clone, Debug)]
pub struct Looks {
    pub at: Instant,
    pub each: Vec<Look>,
}

fn figure(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
    line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Megabytes of this machine.
pub fn memory_mb() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    Some(figure(&text, "MemTotal:") / 1024).filter(|mb| *mb > 0)
}

/// Processor time: of the scheduler where it tells, which is exact, else in ticks.
fn busy(id: u32) -> Duration {
    let mut nanos = 0u64;
    for task in std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten() {
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        nanos += text.split_whitespace().next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    }
    if nanos > 0 {
        return Duration::from_nanos(nanos);
    }
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let ticks = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11).take(2);
    Duration::from_millis(ticks.filter_map(|t| t.parse::<u64>().ok()).sum::<u64>() * 10)
}

pub fn look(id: u32) -> Look {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let io = std::fs::read_to_string(format!("/proc/{id}/io")).unwrap_or_default();
    let open = std::fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
    let socket = |path: std::path::PathBuf| {
        std::fs::read_link(path).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    };
    Look {
        busy: busy(id),
        rss_kb: figure(&status, "VmRSS:"),
        peak_kb: figure(&status, "VmHWM:"),
        sockets: open.filter(|f| socket(f.path())).count(),
        sent: 0,
        got: 0,
        disk: figure(&io, "write_bytes:"),
    }
}

/// What `ss`, where it is on the machine, says of connections in one block of loopback: for each process the bytes sent and got.
fn connections(block: u8) -> HashMap<u32, (u64, u64)> {
    let (net, mut all) = (format!("127.{block}.0.0/16"), HashMap::<u32, (u64, u64)>::new());
    let told = Command::new("ss").args(["-tinpOH", "src", &net, "or", "dst", &net]).output();
    let text = told.map(|o| String::from_utf8_lossy(&o.stdout).into_owned()).unwrap_or_default();
    for line in text.lines() {
        let of = |name: &str| {
            let rest = line.split_once(name)?.1;
            let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
            rest[..end].parse::<u64>().ok()
        };
        if let Some(id) = of("pid=") {
            let sums = all.entry(id as u32).or_default();
            sums.0 += of("bytes_sent:").unwrap_or(0);
            sums.1 += of("bytes_received:").unwrap_or(0);
        }
    }
    all
}

/// Looks at these processes of one run, which has this block.
pub fn looks(ids: &[u32], block: u8) -> Looks {
    let conns = connections(block);
    let at = Instant::now();
    let mut each: Vec<Look> = ids.iter().map(|id| look(*id)).collect();
    for (look, id) in each.iter_mut().zip(ids) {
        (look.sent, look.got) = conns.get(id).copied().unwrap_or_default();
    }
    Looks { at, each }
}
