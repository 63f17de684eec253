//! Signals that a process of the mesh bears from its first line on, and a settings file that changes with or without one.
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{Signal, SignalKind, signal};

/// How often the settings file is looked at where no signal has come.
const LOOK: Duration = Duration::from_secs(2);

/// Taken before anything else is done: until then SIGHUP would end the process.
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

/// What a process has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// To end in order.
    Terminate,
    /// To read its settings again.
    Reread,
}

impl Signals {
    /// Needs a runtime of tokio around it. Writing to a closed pipe is an error, never a signal, by the standard library's own start.
    pub fn take() -> std::io::Result<Signals> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, hangup: signal(SignalKind::hangup())? })
    }

    /// Watches the settings file from now on.
    pub fn watch(self, file: &Path) -> Watched {
        Watched { signals: self, file: file.to_path_buf(), seen: modified(file) }
    }
}

pub struct Watched {
    signals: Signals,
    file: PathBuf,
    seen: Option<SystemTime>,
}

impl Watched {
    /// Waits for the next event. Signals that came together count once.
    pub async fn next(&mut self) -> Event {
        loop {
            tokio::select! {
                _ = self.signals.terminate.recv() => return Event::Terminate,
                _ = self.signals.hangup.recv() => {
                    self.seen = modified(&self.file);
                    return Event::Reread;
                }
                () = tokio::time::sleep(LOOK) => {
                    let now = modified(&self.file);
                    if now != self.seen {
                        self.seen = now;
                        return Event::Reread;
                    }
                }
            }
        }
    }
}

fn modified(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|m| m.modified()).ok()
}
