//! A keyed operation beside its backend: it runs under a claim or not at all, and its claim is taken back only where it has not run.
use notchspool::units::Micros;
use notchspool_data_plane::operation::{self, Kept, Step};
use notchspool_idempotency::claim_proposal::Outcome as Claimed;
use notchspool_idempotency::response_cache::ResponseCache;
use notchspool_mesh_protocol::{Response, Ticket, Verdict};

const TICKET: Ticket = Ticket { boot_id: 7, number: 1, attempt: 0 };
const WINDOW: Micros = Micros(60_000_000);

fn coats() -> Kept {
    ResponseCache::new(WINDOW, 1 << 20)
}
fn theirs(life: u64, number: u64) -> Claimed {
    Claimed::HeldByOther {
        ticket: Ticket { boot_id: life, number, attempt: 1 },
        holder: "h".into(),
        holder_boot_id: 9,
    }
}
fn said(verdict: Verdict) -> Response {
    Response { verdict: verdict.into(), reached_backend: true, status: 200, ..Response::default() }
}

#[test]
fn it_runs_only_under_a_claim_and_what_is_known_is_said_again() {
    let mut coats = coats();
    assert_eq!(operation::arrives(&mut coats, Micros(1), "k", Micros(0)), Step::Claim);
    assert!(
        matches!(operation::arrives(&mut coats, Micros(1), "k", Micros(0)), Step::Known(s) if s.verdict() == Verdict::InProgress)
    );
    assert_eq!(operation::claimed(TICKET, Claimed::Granted), Step::Enter);
    assert!(operation::begins(&mut coats, Micros(2), "k", Micros(1), WINDOW));
    assert!(!operation::begins(&mut coats, Micros(2), "k", Micros(1), WINDOW), "it begins twice");
    assert!(!operation::ended(&mut coats, Micros(3), "k", &said(Verdict::Answered)));
    let known = operation::known(&coats, "k");
    assert_eq!((known.verdict(), known.reached_backend), (Verdict::Answered, false));
}

#[test]
fn a_claim_is_taken_back_only_where_it_has_not_run() {
    for (verdict, back) in [
        (Verdict::NotRun, true),
        (Verdict::WrongInstance, true),
        (Verdict::Answered, false),
        (Verdict::MayHaveRun, false),
    ] {
        let mut coats = coats();
        operation::arrives(&mut coats, Micros(1), "k", Micros(0));
        operation::begins(&mut coats, Micros(1), "k", Micros(1), WINDOW);
        assert_eq!(operation::ended(&mut coats, Micros(2), "k", &said(verdict)), back, "{verdict:?}");
    }
}

#[test]
fn another_ticket_is_sent_to_its_holder_and_the_same_one_is_not_wanted() {
    assert!(matches!(operation::claimed(TICKET, theirs(8, 1)), Step::Held { holder_boot_id: 9, .. }));
    assert!(matches!(operation::claimed(TICKET, theirs(7, 1)), Step::No { take_back: true, .. }));
    assert!(matches!(
        operation::claimed(TICKET, Claimed::Undecided),
        Step::No { take_back: true, ends: true, .. }
    ));
}

#[test]
fn one_that_stood_for_long_or_whose_claim_may_be_forgotten_does_not_begin() {
    let mut coats = coats();
    let old = operation::arrives(&mut coats, Micros(1), "k", Micros::ms(1_600));
    assert!(matches!(old, Step::No { take_back: false, .. }), "{old:?}");
    assert_eq!(operation::arrives(&mut coats, Micros(1), "k", Micros::ms(1_400)), Step::Claim);
    assert!(!operation::begins(&mut coats, WINDOW + Micros(1), "k", Micros(1), WINDOW));
}
