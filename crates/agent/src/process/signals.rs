//! Signals. On SIGTERM listeners go on accepting and answering, then the system stops by itself. On SIGHUP the configuration is read again, beside the
//! thread that serves; a file that makes no sense changes nothing.
use std::fmt::Display;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use actix::Addr;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

use crate::wire::acceptor::{Acceptor, EndGracefully};

/// A file that is not read by then is left alone: a pipe, or a disk that does not answer.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Readings that may hang at once.
const MAX_HANGING: usize = 4;

/// Readings that go on now, whoever asked for them.
static ONGOING: AtomicUsize = AtomicUsize::new(0);

/// What `read` comes to, on a thread of its own. By signal and by the fleet's command alike.
///
/// # Errors
///
/// What it fails with, or that it does not come in time.
pub async fn read_apart<T: Send + 'static, E: Display + Send + 'static>(
    read: &(impl Fn() -> Result<T, E> + Clone + Send + 'static),
) -> Result<T, String> {
    if ONGOING.load(Ordering::Relaxed) >= MAX_HANGING {
        return Err("earlier readings of it hang still".to_owned());
    }
    ONGOING.fetch_add(1, Ordering::Relaxed);
    let (sender, result) = oneshot::channel();
    let read = read.clone();
    // Not of the runtime's: one that is never done would hold up the end.
    std::thread::spawn(move || {
        // Whoever asked may have given up.
        let _ = sender.send(read().map_err(|error| error.to_string()));
        ONGOING.fetch_sub(1, Ordering::Relaxed);
    });
    match actix_rt::time::timeout(READ_TIMEOUT, result).await {
        Ok(result) => result.unwrap_or_else(|_| Err("it can't be read".to_owned())),
        Err(_) => Err("it can't be read in time".to_owned()),
    }
}

/// Listens for the signals that ask for an orderly end, and for the one that asks to read the file again, all of it or, with an error, nothing. `read`
/// may take its time: it is called on a thread of its own.
///
/// # Errors
///
/// A signal can't be handled.
pub fn listen<T: Send + 'static, E: Display + Send + 'static>(
    acceptors: Vec<Addr<Acceptor>>,
    read: impl Fn() -> Result<T, E> + Clone + Send + 'static,
    apply: impl Fn(Result<T, String>) -> Result<(), String> + 'static,
) -> std::io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while hangups.recv().await.is_some() {
            let config = read_apart(&read).await;
            if let Err(error) = apply(config) {
                log::warn!("configuration not taken, nothing changes: {error}");
            }
        }
    });
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let (mut signals, acceptors) = (signal(kind)?, acceptors.clone());
        actix_rt::spawn(async move {
            while signals.recv().await.is_some() {
                acceptors.iter().for_each(|acceptor| acceptor.do_send(EndGracefully));
            }
        });
    }
    Ok(())
}
