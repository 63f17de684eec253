//! From when on a response can't be passed on any more, since the proxy where its request began ends.
//!
//! A response that comes later reaches nobody, and the client can't know whether its request ran. So what would be answered later is not begun:
//! it is refused as not run while the proxy that ends can still pass that on. The proxy that ends knows the time itself; those beside the
//! backends are told ([`notchspool_mesh_protocol::CallerShutdown`]).
use std::time::Duration;

use notchspool::units::Micros;
use tokio::sync::watch;

use crate::context::Context;

/// From when on responses come too late; `None` while their proxy goes on.
pub type AnswerBy = Option<Micros>;

/// The time for one request; clones know as much.
#[derive(Clone, Debug)]
pub struct ResponseCutoff(Option<watch::Receiver<AnswerBy>>);

impl ResponseCutoff {
    /// The time that is told through `answer_by`.
    pub fn new(answer_by: watch::Receiver<AnswerBy>) -> ResponseCutoff {
        ResponseCutoff(Some(answer_by))
    }

    /// A request that began at this proxy and stays here: what becomes of it when this proxy ends is decided elsewhere.
    pub fn none() -> ResponseCutoff {
        ResponseCutoff(None)
    }

    /// Whether a request that begins now, and takes `work`, would be answered too late.
    pub fn is_too_late(&self, now: Micros, work: Micros) -> bool {
        let answer_by = self.0.as_ref().and_then(|told| *told.borrow());
        answer_by.is_some_and(|answer_by| now + work >= answer_by)
    }

    /// Waits until a request would be answered too late. `work` is asked anew after each wait: it may have been measured meanwhile.
    pub async fn wait_until_too_late(mut self, context: &Context, work: impl Fn() -> Micros) {
        loop {
            let answer_by = self.known().await;
            let wait = answer_by - work() - context.now();
            if wait <= Micros(0) {
                return;
            }
            tokio::time::sleep(Duration::from_micros(wait.0 as u64)).await;
        }
    }

    /// The time, once it is known.
    async fn known(&mut self) -> Micros {
        if let Some(told) = &mut self.0
            && let Ok(answer_by) = told.wait_for(Option::is_some).await
            && let Some(answer_by) = *answer_by
        {
            return answer_by;
        }
        std::future::pending().await
    }
}
