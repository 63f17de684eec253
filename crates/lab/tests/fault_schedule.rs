//! Schedules of faults: what is generated is read, what makes no sense is named.
use notchspool_lab::cluster::fault_schedule::{generate, parse};
use rstest::rstest;

#[test]
fn what_is_drawn_is_read_and_the_same_every_time() {
    for seed in 0..50 {
        let text = generate(seed, 5, 40, 500, 20_000);
        assert_eq!(text, generate(seed, 5, 40, 500, 20_000));
        let events = parse(&text).unwrap_or_else(|why| panic!("{why}\n{text}"));
        assert!(events.len() > 10);
    }
}

#[rstest]
#[case("at 5 stop", "nothing that happens")]
#[case("at x stop k1", "milliseconds")]
#[case("stop k1", "begins with")]
#[case("at 5 stop k0", "count from 1")]
#[case("at 5 stop b1", "is nobody")]
#[case("at 5 start k1 disk wet", "no disk is")]
#[case("at 5 chop k1 k2 after 9 for 8", "has no end")]
fn what_makes_no_sense_is_named_with_its_line(#[case] line: &str, #[case] why: &str) {
    let error = parse(&format!("# faults\n{line}")).expect_err("refused");
    assert!(error.contains("line 2") && error.contains(why), "{error}");
}
