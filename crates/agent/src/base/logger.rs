//! A small logger behind the `log` crate: a line each on standard error, with the time since the start. A thread of its own
//! writes them: whoever reads standard error may stop reading, and a full pipe must not stop the thread that serves.
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::{LevelFilter, Log, Metadata, Record};

/// Lines that wait to be written, and the bytes of one.
const WAITING: usize = 1024;
const LONGEST: usize = 1024;
/// At the end so long is waited for whoever reads.
const LAST: Duration = Duration::from_millis(500);

static LOST: AtomicU64 = AtomicU64::new(0);

/// Lines that were not written, because nobody took those before them.
pub fn lost() -> u64 {
    LOST.load(Ordering::Relaxed)
}

enum Said {
    Line(String),
    /// All before it is written.
    Flushed(SyncSender<()>),
}

struct Logger {
    began: Instant,
    lines: SyncSender<Said>,
}

/// Cuts a line that is too long, where a character ends.
fn cut(mut line: String) -> String {
    if line.len() > LONGEST {
        let end = (0..=LONGEST).rev().find(|&at| line.is_char_boundary(at)).unwrap_or(0);
        line.truncate(end);
        line += "...";
    }
    line + "\n"
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("notchspool")
    }
    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let at = self.began.elapsed().as_secs_f64();
            let line = cut(format!("{at:.3} {} {}", record.level(), record.args()));
            if self.lines.try_send(Said::Line(line)).is_err() {
                LOST.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    fn flush(&self) {
        let (told, written) = sync_channel(1);
        let until = Instant::now() + LAST;
        let mut said = Said::Flushed(told);
        while let Err(std::sync::mpsc::TrySendError::Full(back)) = self.lines.try_send(said) {
            if Instant::now() >= until {
                return;
            }
            said = back;
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = written.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

/// Writes what comes, as much as there is at once. A log that can't be written is no reason to stop.
fn write(lines: &Receiver<Said>) {
    let mut told = 0;
    while let Ok(first) = lines.recv() {
        let (mut text, mut flushed) = (String::new(), Vec::new());
        for said in std::iter::once(first).chain(lines.try_iter()) {
            match said {
                Said::Line(line) => text += &line,
                Said::Flushed(tell) => flushed.push(tell),
            }
        }
        if lost() > told {
            text += &format!("{} lines of the log are lost: nobody read them in time\n", lost() - told);
            told = lost();
        }
        let _ = std::io::stderr().write_all(text.as_bytes());
        for tell in flushed {
            let _ = tell.try_send(());
        }
    }
}

/// `NOTCHSPOOL_LOG` names the level: off, error, warn, info (the default), debug.
pub fn start() {
    let level = std::env::var("NOTCHSPOOL_LOG").ok().and_then(|level| level.parse().ok());
    let (lines, taken) = sync_channel(WAITING);
    if log::set_boxed_logger(Box::new(Logger { began: Instant::now(), lines })).is_ok() {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
        std::thread::spawn(move || write(&taken));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_long_line_is_cut_where_a_character_ends() {
        assert_eq!(cut("short".into()), "short\n");
        let long = cut("\u{e9}".repeat(LONGEST));
        assert!(long.len() <= LONGEST + 4 && long.ends_with("...\n"), "{}", long.len());
    }
}
