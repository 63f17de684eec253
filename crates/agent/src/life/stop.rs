//! Signals. On SIGTERM the gate goes on accepting and answering, then the system stops by itself. On SIGHUP
//! the configuration's `discovery` is read anew; a file that makes no sense changes nothing.
use actix::Addr;
use tokio::signal::unix::{SignalKind, signal};

use super::start;
use crate::wire::gate::{Gate, Leave};
use crate::wire::registry::{Registry, Turn};

/// Listens for the signals that ask for an orderly end, and for the one that asks to read the file again.
pub fn listen(gate: Addr<Gate>, registry: Addr<Registry>) -> std::io::Result<()> {
    let mut asked = signal(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while asked.recv().await.is_some() {
            match start::discovery() {
                Ok(at) => registry.do_send(Turn(at)),
                Err(why) => log::warn!("configuration not taken, nothing changes: {why}"),
            }
        }
    });
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let (mut asked, gate) = (signal(kind)?, gate.clone());
        actix_rt::spawn(async move {
            while asked.recv().await.is_some() {
                gate.do_send(Leave);
            }
        });
    }
    Ok(())
}
