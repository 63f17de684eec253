//! What the fleet orders, done where traffic is served: one deed at a time, between txns. Beside it the counts that the fleet sees.
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::Addr;
use notchspool_commands::CommandKind;
use tokio::sync::mpsc;

use super::stop;
use crate::control::{Counts, Deed};
use crate::wire::application::Porch;
use crate::wire::gate::{Gate, Leave};

/// How often counts are left for the control thread.
const LEFT: Duration = Duration::from_millis(100);

/// Does what comes, as long as the agent lives. `read` may take its time: it is called on a thread of its own.
pub fn listen<T: Send + 'static>(
    mut deeds: mpsc::Receiver<Deed>,
    counts: Arc<Counts>,
    porch: Rc<Porch>,
    gates: Vec<Addr<Gate>>,
    read: impl Fn() -> Result<T, String> + Clone + Send + 'static,
    take: impl Fn(Result<T, String>) -> Result<(), String> + 'static,
) {
    let left = porch.clone();
    actix_rt::spawn(async move {
        loop {
            leave(&counts, &left);
            actix_rt::time::sleep(LEFT).await;
        }
    });
    actix_rt::spawn(async move {
        while let Some(Deed { act, revision, token, done }) = deeds.recv().await {
            let did = match act {
                CommandKind::Drain => {
                    if porch.away.get().is_none() {
                        porch.away.set(Some(porch.clock.now()));
                    }
                    Ok(())
                }
                CommandKind::Undrain => {
                    porch.away.set(None);
                    Ok(())
                }
                CommandKind::Reload => take(stop::reading(&read).await),
                CommandKind::Stop => {
                    gates.iter().for_each(|gate| gate.do_send(Leave));
                    Ok(())
                }
            };
            let word = did.as_ref().map_or_else(|why| format!("refused: {why}"), |()| "done".to_owned());
            log::info!("fleet: {act:?} revision {} under token {}: {word}", revision.0, token.0);
            let _ = done.send(did);
        }
    });
}

fn leave(counts: &Counts, porch: &Porch) {
    let counters = &porch.counters;
    let (settled, taken) = (counters.count("posting_settled"), counters.count("taken"));
    let in_hand = counters.in_hand.get() as u64;
    counts.settled.store(settled, Ordering::Relaxed);
    counts.other.store(taken.saturating_sub(settled + in_hand), Ordering::Relaxed);
    counts.in_hand.store(in_hand, Ordering::Relaxed);
    counts.list.store(counters.list.get(), Ordering::Relaxed);
    counts.away.store(porch.away.get().is_some(), Ordering::Relaxed);
}
