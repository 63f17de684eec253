//! Executes the fleet's commands where traffic is served, one at a time and between requests, and publishes counters for the fleet.
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::Addr;
use notchspool_commands::CommandKind;
use tokio::sync::mpsc;

use super::stop;
use crate::fleet::{PendingExecution, PublishedCounters};
use crate::wire::application::Porch;
use crate::wire::gate::{Gate, Leave};

/// How often counters are published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Executes what comes, as long as the agent lives. `read` may take its time: it is called on a thread of its own.
pub fn listen<T: Send + 'static>(
    mut executions: mpsc::Receiver<PendingExecution>,
    counters: Arc<PublishedCounters>,
    porch: Rc<Porch>,
    gates: Vec<Addr<Gate>>,
    read: impl Fn() -> Result<T, String> + Clone + Send + 'static,
    take: impl Fn(Result<T, String>) -> Result<(), String> + 'static,
) {
    let published = porch.clone();
    actix_rt::spawn(async move {
        loop {
            publish(&counters, &published);
            actix_rt::time::sleep(PUBLISH_INTERVAL).await;
        }
    });
    actix_rt::spawn(async move {
        while let Some(PendingExecution { kind, revision, token, done }) = executions.recv().await {
            let result = match kind {
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
            let word = result.as_ref().map_or_else(|why| format!("refused: {why}"), |()| "done".to_owned());
            log::info!("fleet: {kind:?} revision {} under token {}: {word}", revision.0, token.0);
            // The session may have ended meanwhile: the command comes again.
            let _ = done.send(result);
        }
    });
}

fn publish(published: &PublishedCounters, porch: &Porch) {
    let counters = &porch.counters;
    let (succeeded, taken) = (counters.count("posting_settled"), counters.count("taken"));
    let in_flight = counters.in_hand.get() as u64;
    published.succeeded.store(succeeded, Ordering::Relaxed);
    published.not_succeeded.store(taken.saturating_sub(succeeded + in_flight), Ordering::Relaxed);
    published.in_flight.store(in_flight, Ordering::Relaxed);
    published.list_version.store(counters.list.get(), Ordering::Relaxed);
    published.draining.store(porch.away.get().is_some(), Ordering::Relaxed);
}
