//! A keyed operation at the proxy beside its backend, without I/O: what is answered before it runs, and what becomes of its claim.
//!
//! The [`Operations`] hold the state of each; this says which of its events each outcome brings, and when the claim is withdrawn.
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_idempotency::claim_proposal::Outcome as ClaimOutcome;
use notchspool_idempotency::response_cache::{Event, OperationState, ResponseCache};
use notchspool_mesh_protocol::{Response, Ticket, Verdict};

/// Voters keep a claim for this much longer than the window, and the window counts from when a request was sent. One that stood for longer
/// before its claim could come when the claim of the first is forgotten; it is refused.
const MAX_AGE_TO_CLAIM: Micros = Micros::ms(1_500);
/// What a response takes in the cache beside its body, in bytes.
const RESPONSE_OVERHEAD_BYTES: usize = 512;

/// The operations that this run of the process has claimed.
pub type Operations = ResponseCache<Rc<Response>>;

/// What becomes of an operation before its backend has it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Ask the voters.
    Claim,
    /// It may be queued for the backend, and begin.
    Proceed,
    /// Not run, and never will.
    Refuse {
        /// Why, for people.
        reason: &'static str,
        /// When to come back.
        retry_after: Micros,
        /// The claim is to be withdrawn.
        withdraw: bool,
        /// No other backend would do better.
        is_final: bool,
    },
    /// This is what is known of it.
    Known(Response),
    /// Another proxy has it; the claim is withdrawn.
    HeldElsewhere {
        /// That proxy.
        holder: String,
        /// Its boot id.
        holder_boot_id: u64,
    },
}

/// The reason given for a key that was withdrawn, or is past its window.
pub const NOT_RUN_HERE: &str = "it has not run here";
/// The reason given for a key whose operation is claimed here and has not begun: it may never begin.
pub const NOT_BEGUN: &str = "another try with its key has not begun yet";
/// When to come back for such a key.
const NOT_BEGUN_RETRY_AFTER_MS: u32 = 100;

/// What is known of a key that this run of the process holds.
pub fn known_response(operations: &Operations, key: &str) -> Response {
    let without_answer = |verdict: Verdict, reason: &str| Response {
        verdict: verdict.into(),
        reason: reason.into(),
        ..Response::default()
    };
    match operations.get(key) {
        Some(OperationState::Claiming) => Response {
            final_refusal: true,
            retry_after_ms: NOT_BEGUN_RETRY_AFTER_MS,
            ..without_answer(Verdict::NotRun, NOT_BEGUN)
        },
        Some(OperationState::Running) => without_answer(Verdict::InProgress, "it is running"),
        Some(OperationState::Completed(response)) => {
            Response { reached_backend: false, ..(**response).clone() }
        }
        Some(OperationState::Lost) => without_answer(Verdict::ResponseLost, "it broke off"),
        None => without_answer(Verdict::NotRun, NOT_RUN_HERE),
    }
}

/// An operation arrives, `age` after its client sent it.
pub fn on_arrival(operations: &mut Operations, now: Micros, key: &str, age: Micros) -> Decision {
    if operations.get(key).is_some() {
        return Decision::Known(known_response(operations, key));
    }
    let refuse =
        |reason, retry_after, is_final| Decision::Refuse { reason, retry_after, withdraw: false, is_final };
    if age > MAX_AGE_TO_CLAIM {
        return refuse("it is too old to claim its key", Micros::ms(30), true);
    }
    match operations.apply(now, key, Event::Claim) {
        true => Decision::Claim,
        false => refuse("too many keys", Micros::ms(200), false),
    }
}

/// The voters have decided on its claim.
pub fn on_claim_outcome(ticket: Ticket, outcome: ClaimOutcome) -> Decision {
    let refuse =
        |reason, retry_after, is_final| Decision::Refuse { reason, retry_after, withdraw: true, is_final };
    match outcome {
        ClaimOutcome::Granted => Decision::Proceed,
        // The same request at another backend, later than here: this one is not wanted any more.
        ClaimOutcome::HeldByOther { ticket: other, .. }
            if (other.boot_id, other.number) == (ticket.boot_id, ticket.number) =>
        {
            refuse("it went elsewhere", Micros(0), false)
        }
        ClaimOutcome::HeldByOther { holder, holder_boot_id, .. } => {
            Decision::HeldElsewhere { holder, holder_boot_id }
        }
        ClaimOutcome::Undecided | ClaimOutcome::Pending => {
            refuse("no majority for the key", Micros::ms(150), true)
        }
    }
}

/// It begins at the backend now, unless its claim, asked for at `claimed_at`, may be past its window: then it does not, and never will.
pub fn begin(
    operations: &mut Operations,
    now: Micros,
    key: &str,
    claimed_at: Micros,
    window: Micros,
) -> bool {
    now - claimed_at < window && operations.apply(now, key, Event::Granted)
}

/// It did not begin, and never will: the claim is to be withdrawn.
pub fn on_not_run(operations: &mut Operations, now: Micros, key: &str) {
    operations.apply(now, key, Event::NotRun);
}

/// It went to its end at the backend. Whether the claim is to be withdrawn.
pub fn on_finished(operations: &mut Operations, now: Micros, key: &str, response: &Response) -> bool {
    let event = match response.verdict() {
        Verdict::Answered => {
            let bytes = response.body.len() + RESPONSE_OVERHEAD_BYTES;
            Event::Response(Rc::new(response.clone()), bytes)
        }
        Verdict::NotRun | Verdict::OtherInstance => Event::NotRun,
        _ => Event::BrokeOff,
    };
    let withdraw = event == Event::NotRun;
    operations.apply(now, key, event);
    withdraw
}
