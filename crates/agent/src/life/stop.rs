//! The end. On SIGTERM the gate goes on accepting and answering, then the system stops by itself.
use actix::Addr;
use tokio::signal::unix::{SignalKind, signal};

use crate::wire::gate::{Gate, Leave};

/// Listens for the signals that ask for an orderly end.
pub fn listen(gate: Addr<Gate>) -> std::io::Result<()> {
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
