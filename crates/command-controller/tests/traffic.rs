//! When requests and failures are evidence against a command.
use notchspool_command_controller::traffic::{RequestCounts, halt_reason};

#[test]
fn a_command_halts_on_failures_and_on_a_lower_success_rate_with_evidence() {
    let since = |succeeded, all| RequestCounts { succeeded, all };
    assert_eq!(halt_reason(1, 5, None, since(0, 0)), None, "one may fail by itself");
    assert!(halt_reason(2, 5, None, since(0, 0)).is_some());
    assert_eq!(halt_reason(4, 40, None, since(0, 0)), None);
    assert_eq!(halt_reason(0, 40, Some(0.99), since(10, 40)), None, "too few requests");
    assert!(halt_reason(0, 40, Some(0.99), since(60, 100)).is_some());
    assert_eq!(halt_reason(0, 40, Some(0.60), since(60, 100)), None, "the rate was so before");
}
