//! A keyed operation at the proxy beside the backend, without I/O: what it answers before it runs, and what becomes of its claim. `Coats`
//! holds the state of each; this says which of its events each verdict brings, and when the claim is taken back.
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_idempotency::claim_proposal::Outcome as Claimed;
use notchspool_idempotency::response_cache::{Event, OperationState, ResponseCache};
use notchspool_mesh_protocol::{Response, Ticket, Verdict};

/// Voters keep a claim for this much longer than the window, and the window counts from when a request was sent. One that stood for longer
/// before its claim could come when the claim of the first is forgotten; it is refused.
const OLDEST: Micros = Micros::ms(1_500);

pub type Kept = ResponseCache<Rc<Response>>;

/// What is answered without the backend.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Ask the voters.
    Claim,
    /// It may stand at the door, and begin.
    Enter,
    /// Not run, and never will; `take_back`: the claim. `ends`: no other backend would do better.
    No { why: &'static str, retry: Micros, take_back: bool, ends: bool },
    /// This is what is known of it.
    Known(Response),
    /// Another proxy, in that life, has it; the claim is taken back.
    Held { holder: String, holder_boot_id: u64 },
}

/// What is known of a key that this life of the process holds.
pub fn known(coats: &Kept, key: &str) -> Response {
    let only = |verdict: Verdict, why: &str| Response {
        verdict: verdict.into(),
        reason: why.into(),
        ..Response::default()
    };
    match coats.get(key) {
        Some(OperationState::Claiming | OperationState::Running) => only(Verdict::InProgress, "it works"),
        Some(OperationState::Completed(said)) => Response { reached_backend: false, ..(**said).clone() },
        Some(OperationState::Lost) => only(Verdict::ResponseLost, "it broke off"),
        None => only(Verdict::NotRun, NOT_HERE),
    }
}

/// Said of a key that was taken back, or is past its window.
pub const NOT_HERE: &str = "it has not run here";

/// It arrives, `age` after its client sent it.
pub fn arrives(coats: &mut Kept, now: Micros, key: &str, age: Micros) -> Step {
    if coats.get(key).is_some() {
        return Step::Known(known(coats, key));
    }
    if age > OLDEST {
        return Step::No {
            why: "it is too old to claim its key",
            retry: Micros::ms(30),
            take_back: false,
            ends: true,
        };
    }
    match coats.apply(now, key, Event::Claim) {
        true => Step::Claim,
        false => Step::No { why: "too many keys", retry: Micros::ms(200), take_back: false, ends: false },
    }
}

/// The voters have said.
pub fn claimed(ticket: Ticket, verdict: Claimed) -> Step {
    match verdict {
        Claimed::Granted => Step::Enter,
        // The same request at another backend, later than here: this one is not wanted any more.
        Claimed::HeldByOther { ticket: other, .. }
            if (other.boot_id, other.number) == (ticket.boot_id, ticket.number) =>
        {
            Step::No { why: "it went elsewhere", retry: Micros(0), take_back: true, ends: false }
        }
        Claimed::HeldByOther { holder, holder_boot_id, .. } => Step::Held { holder, holder_boot_id },
        Claimed::Undecided | Claimed::Pending => {
            Step::No { why: "no majority for the key", retry: Micros::ms(150), take_back: true, ends: true }
        }
    }
}

/// It begins at the backend now, unless its claim, asked for at `since`, may be past its window: then it does not, and never will.
pub fn begins(coats: &mut Kept, now: Micros, key: &str, since: Micros, window: Micros) -> bool {
    now - since < window && coats.apply(now, key, Event::Granted)
}

/// It did not begin, and never will: the claim is to be taken back.
pub fn not_begun(coats: &mut Kept, now: Micros, key: &str) {
    coats.apply(now, key, Event::NotRun);
}

/// It went to its end at the backend. True where the claim is to be taken back.
pub fn ended(coats: &mut Kept, now: Micros, key: &str, said: &Response) -> bool {
    let event = match said.verdict() {
        Verdict::Answered => Event::Response(Rc::new(said.clone()), said.body.len() + 512),
        Verdict::NotRun | Verdict::WrongInstance => Event::NotRun,
        _ => Event::BrokeOff,
    };
    let back = event == Event::NotRun;
    coats.apply(now, key, event);
    back
}
