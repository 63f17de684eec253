//! Executes the fleet's commands where traffic is served, one at a time and between requests, and publishes counters for the fleet.
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix::Addr;
use notchspool_commands::CommandKind;
use tokio::sync::mpsc;

use super::signals::read_apart;
use crate::fleet::{PendingExecution, PublishedCounters};
use crate::wire::acceptor::{Acceptor, EndGracefully};
use crate::wire::front_state::FrontState;

/// How often counters are published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Executes what comes, as long as the agent lives. `read` may take its time: it is called on a thread of its own.
pub fn listen<T: Send + 'static>(
    mut executions: mpsc::Receiver<PendingExecution>,
    counters: Arc<PublishedCounters>,
    state: Rc<FrontState>,
    acceptors: Vec<Addr<Acceptor>>,
    read: impl Fn() -> Result<T, String> + Clone + Send + 'static,
    apply: impl Fn(Result<T, String>) -> Result<(), String> + 'static,
) {
    let published = state.clone();
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
                    state.begin_draining();
                    Ok(())
                }
                CommandKind::Undrain => {
                    state.draining_since.set(None);
                    Ok(())
                }
                CommandKind::Reload => apply(read_apart(&read).await),
                CommandKind::Stop => {
                    acceptors.iter().for_each(|acceptor| acceptor.do_send(EndGracefully));
                    Ok(())
                }
            };
            let word =
                result.as_ref().map_or_else(|reason| format!("refused: {reason}"), |()| "done".to_owned());
            log::info!("fleet: {kind:?} revision {} under token {}: {word}", revision.0, token.0);
            // The session may have ended meanwhile: the command comes again.
            let _ = done.send(result);
        }
    });
}

fn publish(published: &PublishedCounters, state: &FrontState) {
    let counters = &state.counters;
    let (succeeded, taken) = (counters.count("posting_settled"), counters.count("taken"));
    let in_flight = counters.in_flight.get() as u64;
    published.succeeded.store(succeeded, Ordering::Relaxed);
    published.not_succeeded.store(taken.saturating_sub(succeeded + in_flight), Ordering::Relaxed);
    published.in_flight.store(in_flight, Ordering::Relaxed);
    published.list_version.store(counters.list_version.get(), Ordering::Relaxed);
    published.draining.store(state.draining_since.get().is_some(), Ordering::Relaxed);
}
