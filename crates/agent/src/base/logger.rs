//! A small logger behind the `log` crate: a line each on standard error, with the time since the start.
use std::io::Write;
use std::time::Instant;

use log::{LevelFilter, Log, Metadata, Record};

struct Logger {
    began: Instant,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("notchspool")
    }
    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let at = self.began.elapsed().as_secs_f64();
            // A log that can't be written is no reason to stop.
            let _ = writeln!(std::io::stderr(), "{at:.3} {} {}", record.level(), record.args());
        }
    }
    fn flush(&self) {}
}

/// `NOTCHSPOOL_LOG` names the level: off, error, warn, info (the default), debug.
pub fn start() {
    let level = std::env::var("NOTCHSPOOL_LOG").ok().and_then(|level| level.parse().ok());
    if log::set_boxed_logger(Box::new(Logger { began: Instant::now() })).is_ok() {
        log::set_max_level(level.unwrap_or(LevelFilter::Info));
    }
}
