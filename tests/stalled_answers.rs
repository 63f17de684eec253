//! When an attempt is given up for an answer that stands still.
use notchspool::balancer::Balancer;
use notchspool::units::*;
use rstest::rstest;

fn balancer(kind: RequestKind, max_attempts: u32) -> Balancer {
    let class = RequestClass {
        kind,
        scope: DeduplicationScope::All,
        deduplication_window: Micros::ms(3_000),
        latency_target: Micros::ms(600),
        late_value: 1.0,
    };
    let policy = Policy { agent_count: 1, classes: vec![class], max_attempts, ..Policy::default() };
    Balancer::new(policy, 7, Micros(0))
}

#[rstest]
#[case::idempotent(RequestKind::Idempotent, 0, Some(Micros::ms(300)))]
#[case::keyed(RequestKind::Keyed, 1, Some(Micros::ms(300)))]
#[case::the_last_attempt(RequestKind::Idempotent, 2, None)]
#[case::never_twice(RequestKind::NonIdempotent, 0, None)]
fn it_is_given_up_only_where_a_retry_may_follow(
    #[case] kind: RequestKind,
    #[case] attempt: u32,
    #[case] wait: Option<Micros>,
) {
    let rule = balancer(kind, 3).stalled_answer_rule(ClassId(0));
    assert_eq!(rule.wait(attempt), wait);
    assert_eq!(balancer(kind, 1).stalled_answer_rule(ClassId(0)).wait(0), None, "no retry is allowed");
}

#[test]
fn a_class_that_is_not_known_is_never_given_up() {
    let rule = balancer(RequestKind::Idempotent, 3).stalled_answer_rule(ClassId(9));
    assert_eq!(rule.wait(0), None);
}
