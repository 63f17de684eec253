//! Signals. On SIGTERM the gates go on accepting and answering, then the system stops by itself. On SIGHUP what the
//! agent was told is read anew; a file that makes no sense changes nothing.
use actix::Addr;
use tokio::signal::unix::{SignalKind, signal};

use crate::wire::gate::{Gate, Leave};

/// Listens for the signals that ask for an orderly end, and for the one that asks to read the file again, all of it
/// or, with an error, nothing.
pub fn listen(
    gates: Vec<Addr<Gate>>,
    again: impl Fn() -> Result<(), String> + 'static,
) -> std::io::Result<()> {
    let mut asked = signal(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while asked.recv().await.is_some() {
            if let Err(why) = again() {
                log::warn!("configuration not taken, nothing changes: {why}");
            }
        }
    });
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let (mut asked, gates) = (signal(kind)?, gates.clone());
        actix_rt::spawn(async move {
            while asked.recv().await.is_some() {
                gates.iter().for_each(|gate| gate.do_send(Leave));
            }
        });
    }
    Ok(())
}
