//! Signals that a process of the mesh handles from its first line on, and a settings file that changes with or without one.
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{Signal, SignalKind, signal};

/// How often the settings file is looked at where no signal has come.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The handlers. Installed before anything else is done: until then SIGHUP would end the process.
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
    Reload,
}

impl Signals {
    /// Installs the handlers; needs a runtime of tokio around it.
    ///
    /// Writing to a closed pipe is an error, never a signal, by the standard library's own start.
    ///
    /// # Errors
    ///
    /// The system refuses a handler.
    pub fn install() -> std::io::Result<Signals> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, hangup: signal(SignalKind::hangup())? })
    }

    /// Watches the settings file from now on.
    pub fn watch(self, file: &Path) -> ProcessEvents {
        ProcessEvents { signals: self, file: file.to_path_buf(), modified_at: modified_at(file) }
    }
}

/// Signals, and changes of the settings file.
pub struct ProcessEvents {
    signals: Signals,
    file: PathBuf,
    modified_at: Option<SystemTime>,
}

impl ProcessEvents {
    /// Waits for the next event. Signals that came together count once.
    pub async fn next(&mut self) -> Event {
        loop {
            tokio::select! {
                _ = self.signals.terminate.recv() => return Event::Terminate,
                _ = self.signals.hangup.recv() => {
                    self.modified_at = modified_at(&self.file);
                    return Event::Reload;
                }
                () = tokio::time::sleep(POLL_INTERVAL) => {
                    let modified_at = modified_at(&self.file);
                    if modified_at != self.modified_at {
                        self.modified_at = modified_at;
                        return Event::Reload;
                    }
                }
            }
        }
    }
}

fn modified_at(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|metadata| metadata.modified()).ok()
}
