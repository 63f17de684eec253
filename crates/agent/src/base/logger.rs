//! A small logger behind the `log` crate: a line each on standard error, with the seconds since the start. A thread of its own writes them:
//! whoever reads standard error may stop reading, and a full pipe must not stop the thread that serves.
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use log::{LevelFilter, Log, Metadata, Record};

/// Lines that wait to be written.
const MAX_WAITING_LINES: usize = 1024;
/// The longest line, in bytes.
pub const MAX_LINE_BYTES: usize = 1024;
/// How long a flush waits for whoever reads.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two attempts to queue a flush.
const FLUSH_RETRY: Duration = Duration::from_millis(5);
const LEVEL_VARIABLE: &str = "NOTCHSPOOL_LOG";

static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines that were not written, because nobody read those before them.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

enum LogMessage {
    Line(String),
    /// To be answered once all before it is written.
    Flush(SyncSender<()>),
}

struct Logger {
    started: Instant,
    messages: SyncSender<LogMessage>,
}

/// A line with its end, cut where a character ends if it is longer than [`MAX_LINE_BYTES`].
pub fn cut_line(mut line: String) -> String {
    if line.len() > MAX_LINE_BYTES {
        let end = (0..=MAX_LINE_BYTES).rev().find(|&at| line.is_char_boundary(at)).unwrap_or(0);
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
            let seconds = self.started.elapsed().as_secs_f64();
            let line = cut_line(format!("{seconds:.3} {} {}", record.level(), record.args()));
            if self.messages.try_send(LogMessage::Line(line)).is_err() {
                LOST_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut message = LogMessage::Flush(done);
        while let Err(TrySendError::Full(unsent)) = self.messages.try_send(message) {
            if Instant::now() >= deadline {
                return;
            }
            message = unsent;
            std::thread::sleep(FLUSH_RETRY);
        }
        // Nobody may read any more: then the end does not wait longer.
        let _ = written.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

/// Writes what comes, as much as there is at once. A log that can't be written is no reason to stop.
fn write_lines(messages: &Receiver<LogMessage>) {
    let mut reported = 0;
    while let Ok(first) = messages.recv() {
        let (mut text, mut flushes) = (String::new(), Vec::new());
        for message in std::iter::once(first).chain(messages.try_iter()) {
            match message {
                LogMessage::Line(line) => text += &line,
                LogMessage::Flush(done) => flushes.push(done),
            }
        }
        if lost_lines() > reported {
            let lost = lost_lines() - reported;
            text += &format!("{lost} lines of the log are lost: nobody read them in time\n");
            reported = lost_lines();
        }
        let _ = std::io::stderr().write_all(text.as_bytes());
        for done in flushes {
            // Whoever asked may have given up.
            let _ = done.try_send(());
        }
    }
}

/// Starts the logger. `NOTCHSPOOL_LOG` names the level: off, error, warn, info (the default), debug.
pub fn start() {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    let (messages, received) = sync_channel(MAX_WAITING_LINES);
    if log::set_boxed_logger(Box::new(Logger { started: Instant::now(), messages })).is_ok() {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
        std::thread::spawn(move || write_lines(&received));
    }
}
