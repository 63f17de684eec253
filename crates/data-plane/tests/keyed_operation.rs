//! A keyed operation beside its backend: it runs under a claim or not at all, and its claim is taken back only where it has not run.
use notchspool::units::Micros;
use notchspool_data_plane::keyed_operation::{self, Decision, Operations};
use notchspool_idempotency::claim_proposal::Outcome as ClaimOutcome;
use notchspool_idempotency::response_cache::ResponseCache;
use notchspool_mesh_protocol::{Response, Ticket, Verdict};

const TICKET: Ticket = Ticket { boot_id: 7, number: 1, attempt: 0 };
const WINDOW: Micros = Micros(60_000_000);

fn operations() -> Operations {
    ResponseCache::new(WINDOW, 1 << 20)
}
fn theirs(boot_id: u64, number: u64) -> ClaimOutcome {
    ClaimOutcome::HeldByOther {
        ticket: Ticket { boot_id, number, attempt: 1 },
        holder: "h".into(),
        holder_boot_id: 9,
    }
}
fn response(verdict: Verdict) -> Response {
    Response { verdict: verdict.into(), reached_backend: true, status: 200, ..Response::default() }
}

#[test]
fn it_runs_only_under_a_claim_and_what_is_known_is_answered_again() {
    let mut operations = operations();
    assert_eq!(keyed_operation::on_arrival(&mut operations, Micros(1), "k", Micros(0)), Decision::Claim);
    let second = keyed_operation::on_arrival(&mut operations, Micros(1), "k", Micros(0));
    let is_to_come_back = |known: &Response| {
        known.verdict() == Verdict::NotRun && known.final_refusal && known.retry_after_ms > 0
    };
    assert!(matches!(&second, Decision::Known(known) if is_to_come_back(known)), "{second:?}");
    assert_eq!(keyed_operation::on_claim_outcome(TICKET, ClaimOutcome::Granted), Decision::Proceed);
    assert!(keyed_operation::begin(&mut operations, Micros(2), "k", Micros(1), WINDOW));
    let second = keyed_operation::on_arrival(&mut operations, Micros(2), "k", Micros(0));
    assert!(
        matches!(&second, Decision::Known(known) if known.verdict() == Verdict::InProgress),
        "{second:?}"
    );
    assert!(!keyed_operation::begin(&mut operations, Micros(2), "k", Micros(1), WINDOW), "it begins twice");
    assert!(!keyed_operation::on_finished(&mut operations, Micros(3), "k", &response(Verdict::Answered)));
    let known = keyed_operation::known_response(&operations, "k");
    assert_eq!((known.verdict(), known.reached_backend), (Verdict::Answered, false));
}

#[test]
fn a_claim_is_withdrawn_only_where_it_has_not_run() {
    for (verdict, back) in [
        (Verdict::NotRun, true),
        (Verdict::OtherInstance, true),
        (Verdict::Answered, false),
        (Verdict::MayHaveRun, false),
    ] {
        let mut operations = operations();
        keyed_operation::on_arrival(&mut operations, Micros(1), "k", Micros(0));
        keyed_operation::begin(&mut operations, Micros(1), "k", Micros(1), WINDOW);
        assert_eq!(
            keyed_operation::on_finished(&mut operations, Micros(2), "k", &response(verdict)),
            back,
            "{verdict:?}"
        );
    }
}

#[test]
fn another_ticket_is_sent_to_its_holder_and_the_same_one_is_not_wanted() {
    assert!(matches!(
        keyed_operation::on_claim_outcome(TICKET, theirs(8, 1)),
        Decision::HeldElsewhere { holder_boot_id: 9, .. }
    ));
    assert!(matches!(
        keyed_operation::on_claim_outcome(TICKET, theirs(7, 1)),
        Decision::Refuse { withdraw: true, .. }
    ));
    assert!(matches!(
        keyed_operation::on_claim_outcome(TICKET, ClaimOutcome::Undecided),
        Decision::Refuse { withdraw: true, is_final: true, .. }
    ));
}

#[test]
fn one_that_stood_for_long_or_whose_claim_may_be_forgotten_does_not_begin() {
    let mut operations = operations();
    let old = keyed_operation::on_arrival(&mut operations, Micros(1), "k", Micros::ms(1_600));
    assert!(matches!(old, Decision::Refuse { withdraw: false, .. }), "{old:?}");
    assert_eq!(
        keyed_operation::on_arrival(&mut operations, Micros(1), "k", Micros::ms(1_400)),
        Decision::Claim
    );
    assert!(!keyed_operation::begin(&mut operations, WINDOW + Micros(1), "k", Micros(1), WINDOW));
}
