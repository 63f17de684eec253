//! Answers of this proxy's own, where there is none of a backend.
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{Response as PeerReply, Verdict};

use super::Outbound;
use super::deliver::Delivery;
use crate::attempts::{Action, Attempts};
use crate::client_response::{self, ClientResponse};
use crate::context::within;
use crate::keyed_operation::{NOT_BEGUN, NOT_RUN_HERE};

/// When to come back after a claim that was withdrawn.
const WITHDRAWN_RETRY_AFTER: Micros = Micros::ms(50);
/// Refused clients come back no sooner than this.
const MIN_RETRY_AFTER: Micros = Micros::ms(30);
/// And are spread over this, where refusals are many.
const RETRY_AFTER_SPREAD: Micros = Micros::ms(900);
/// Refusals up to this part of all requests are taken for rare.
const RARE_REFUSAL_PART: f64 = 0.02;
const REFUSAL_SMOOTHING: f64 = 0.03;

impl Outbound {
    pub(super) fn answer_without_backend(
        &self,
        delivery: &Delivery<'_>,
        attempts: &Attempts,
        action: Action,
    ) -> ClientResponse {
        let reason = &attempts.reason;
        match action {
            Action::Reject => {
                self.context.count("declined");
                let (route, attempt_id) = (&delivery.route.name, &delivery.client.attempt_id);
                let (sent, left) = (attempts.sent(), delivery.client.deadline - self.context.now());
                log::debug!(target: "outbound", "reject {route} {attempt_id} after {sent}: {reason}, {left:?} left");
                self.on_answered(true);
                self.refuse(reason, self.retry_after(attempts.retry_after))
            }
            Action::InProgress => client_response::plain(409, "the operation is at work"),
            Action::ResponseLost => {
                let reason = "the operation ran, and its answer is not known";
                self.unanswered(delivery, 502, "responses_lost", reason)
            }
            Action::Unanswered { timed_out: true } => self.unanswered(delivery, 504, "unanswered", reason),
            _ => self.unanswered(delivery, 502, "unanswered", reason),
        }
    }

    /// It may have run, and there is no answer: `status` promises nothing. `counter`: the figure that tells why.
    fn unanswered(
        &self,
        delivery: &Delivery<'_>,
        status: u16,
        counter: &'static str,
        reason: &str,
    ) -> ClientResponse {
        self.context.count(counter);
        let (route, attempt_id) = (&delivery.route.name, &delivery.client.attempt_id);
        let waited_ms = (self.context.now() - delivery.client.received_at).0 / 1_000;
        if counter != "responses_lost" && self.context.event_log.may_write() {
            log::info!(target: "outbound", "{counter} {route} {attempt_id} after {waited_ms} ms: {status}, {reason}");
        } else {
            log::debug!(target: "outbound", "{counter} {route} {attempt_id} after {waited_ms} ms: {status}, {reason}");
        }
        client_response::plain(status, reason)
    }

    /// The response to a key that another proxy holds.
    pub(super) async fn fetch_from_holder(
        self: &Rc<Outbound>,
        delivery: &Delivery<'_>,
        held: &PeerReply,
    ) -> ClientResponse {
        let client = delivery.client;
        let fetch = self.peers.fetch_response(&held.holder, &client.key, held.holder_boot_id);
        let Some(response) = within(client.deadline - self.context.now(), fetch).await else {
            return self.unanswered(delivery, 504, "responses_lost", "the holder of the key does not answer");
        };
        match response.verdict() {
            Verdict::Answered => client_response::relayed(response.into(), &client.attempt_id),
            Verdict::InProgress => client_response::plain(409, "the operation is at work"),
            // It has not run there in that run of the holder, and is withdrawn: the next try claims it anew.
            Verdict::NotRun if response.reason == NOT_RUN_HERE => {
                self.refuse(&response.reason, WITHDRAWN_RETRY_AFTER)
            }
            Verdict::NotRun if response.reason == NOT_BEGUN => self
                .refuse(&response.reason, self.retry_after(Micros::ms(i64::from(response.retry_after_ms)))),
            _ => {
                let reason = "the operation may have run, and its answer is not known";
                self.unanswered(delivery, 502, "responses_lost", reason)
            }
        }
    }

    /// 503: it has not run and never will.
    pub(super) fn refuse(&self, reason: &str, retry_after: Micros) -> ClientResponse {
        self.context.event_log.on_refused(reason);
        client_response::refused(reason, retry_after)
    }

    /// A request was answered, refused or not.
    pub(super) fn on_answered(&self, refused: bool) {
        let before = self.refused_part.get();
        let refused = f64::from(u8::from(refused));
        self.refused_part.set(before + REFUSAL_SMOOTHING * (refused - before));
    }

    /// When a refused request is to come back: soon where refusals are rare, later and spread where they are many, so that those who come
    /// back do not press on what is short already.
    fn retry_after(&self, least: Micros) -> Micros {
        let many = (self.refused_part.get() - RARE_REFUSAL_PART).max(0.0) * 2.0;
        let spread = many.min(1.0) * (0.4 + 0.6 * self.context.random());
        least.max(MIN_RETRY_AFTER) + RETRY_AFTER_SPREAD.times(spread)
    }
}
