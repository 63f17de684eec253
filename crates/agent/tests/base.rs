//! Limits of two processes together, long log lines, stalls.
use notchspool::units::Micros;
use notchspool_agent::base::limits::SharedLimits;
use notchspool_agent::base::logger::{MAX_LINE_BYTES, cut_line};
use notchspool_agent::base::stall_detector::StallDetector;
use rstest::rstest;

#[rstest]
#[case(256, 32)]
#[case(384, 48)]
#[case(1024, 192)]
fn two_processes_together_keep_within_the_limits_of_one(
    #[case] descriptors: usize,
    #[case] memory_mb: usize,
) {
    let limits = SharedLimits::within(descriptors, memory_mb);
    let full = limits.now();
    limits.clone().set_shared(true);
    let half = limits.now();
    assert!(2 * (half.clients + half.backend_connections) <= descriptors, "{half:?}");
    assert!(2 * half.request_bytes() <= memory_mb * 1024 * 1024);
    limits.set_shared(false);
    assert_eq!(limits.now(), full);
}

#[test]
fn a_long_line_is_cut_where_a_character_ends() {
    assert_eq!(cut_line("short".into()), "short\n");
    let long = cut_line("\u{e9}".repeat(MAX_LINE_BYTES));
    assert!(long.len() <= MAX_LINE_BYTES + 4 && long.ends_with("...\n"), "{}", long.len());
}

#[test]
fn a_stall_is_noticed_by_whoever_looks_first_and_is_over_soon() {
    let detector = StallDetector::new(Micros(0));
    detector.begin(Micros::ms(1000));
    detector.observe(Micros::ms(1250));
    assert_eq!(detector.resuming_from(Micros::ms(1500)), None);
    assert_eq!(detector.resuming_from(Micros::ms(3500)), Some(Micros::ms(1500)));
    detector.observe(Micros::ms(3510));
    assert_eq!(detector.resuming_from(Micros::ms(3549)), Some(Micros::ms(1500)));
    assert_eq!((detector.resuming_from(Micros::ms(3551)), detector.stalls()), (None, 1));
}
