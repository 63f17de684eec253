//! A keyed operation at the usher beside the backend, without I/O: what it answers before it runs, and what becomes of its claim. `Coats`
//! holds the state of each; this says which of its events each verdict brings, and when the claim is taken back.
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_idempotency::coats::{Coat, Coats, Event};
use notchspool_idempotency::round::Verdict as Claimed;
use notchspool_mesh_protocol::{Said, Ticket, Verdict};

/// Voters keep a claim for this much longer than the window, and the window counts from when a request was sent. One that stood for longer
/// before its claim could come when the claim of the first is forgotten; it is refused.
const OLDEST: Micros = Micros::ms(1_500);

pub type Kept = Coats<Rc<Said>>;

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
    Known(Said),
    /// Another usher, in that life, has it; the claim is taken back.
    Held { holder: String, holder_life: u64 },
}

/// What is known of a key that this life of the process holds.
pub fn known(coats: &Kept, key: &str) -> Said {
    let only =
        |verdict: Verdict, why: &str| Said { verdict: verdict.into(), why: why.into(), ..Said::default() };
    match coats.get(key) {
        Some(Coat::Claiming | Coat::Working) => only(Verdict::Working, "it works"),
        Some(Coat::Kept(said)) => Said { arrived: false, ..(**said).clone() },
        Some(Coat::Lost) => only(Verdict::Lost, "it broke off"),
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
    match coats.turn(now, key, Event::Claim) {
        true => Step::Claim,
        false => Step::No { why: "too many keys", retry: Micros::ms(200), take_back: false, ends: false },
    }
}

/// The voters have said.
pub fn claimed(ticket: Ticket, verdict: Claimed) -> Step {
    match verdict {
        Claimed::Ours => Step::Enter,
        // The same request at another backend, later than here: this one is not wanted any more.
        Claimed::Theirs { ticket: other, .. }
            if (other.life, other.number) == (ticket.life, ticket.number) =>
        {
            Step::No { why: "it went elsewhere", retry: Micros(0), take_back: true, ends: false }
        }
        Claimed::Theirs { holder, holder_life, .. } => Step::Held { holder, holder_life },
        Claimed::Nobody | Claimed::Open => {
            Step::No { why: "no majority for the key", retry: Micros::ms(150), take_back: true, ends: true }
        }
    }
}

/// It begins at the backend now, unless its claim, asked for at `since`, may be past its window: then it does not, and never will.
pub fn begins(coats: &mut Kept, now: Micros, key: &str, since: Micros, window: Micros) -> bool {
    now - since < window && coats.turn(now, key, Event::Granted)
}

/// It did not begin, and never will: the claim is to be taken back.
pub fn not_begun(coats: &mut Kept, now: Micros, key: &str) {
    coats.turn(now, key, Event::NotRun);
}

/// It went to its end at the backend. True where the claim is to be taken back.
pub fn ended(coats: &mut Kept, now: Micros, key: &str, said: &Said) -> bool {
    let event = match said.verdict() {
        Verdict::Answered => Event::Answer(Rc::new(said.clone()), said.body.len() + 512),
        Verdict::NotRun | Verdict::Elsewhere => Event::NotRun,
        _ => Event::BrokeOff,
    };
    let back = event == Event::NotRun;
    coats.turn(now, key, event);
    back
}
