//! Timelines of traffic, and drawn ones. No bench, no sleep: virtual time.
use notchspool_lab::mesh::Timeline;
use notchspool_lab::mesh::traffic::{Breach, Rule, drawn, play_traffic};
use rstest::rstest;

fn violations(text: &str, seed: u64, breach: Option<Breach>) -> Vec<(Option<Rule>, String)> {
    play_traffic(&Timeline::read(text).unwrap(), seed, breach)
}

#[rstest]
fn timelines(#[files("tests/timelines-traffic/*.txt")] path: std::path::PathBuf) {
    let text = std::fs::read_to_string(path).unwrap();
    for seed in 1..=5 {
        let violations = violations(&text, seed, None);
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

#[test]
fn drawn_days_break_no_promise() {
    for seed in 1..=12 {
        let day = drawn(seed, None);
        assert!(day.violations.is_empty(), "seed {seed}: {day:#?}");
    }
}

/// With one safeguard off the judge names the rule that it guards.
#[rstest]
#[case(Breach::Ids, Rule::Mixed)]
#[case(Breach::Bare, Rule::Twice)]
#[case(Breach::Repeat, Rule::Twice)]
#[case(Breach::Links, Rule::Twice)]
#[case(Breach::BootIds, Rule::Mixed)]
#[case(Breach::Claims, Rule::Twice)]
#[case(Breach::Fences, Rule::Twice)]
#[case(Breach::TakesBack, Rule::Twice)]
#[case(Breach::Promises, Rule::Refused)]
#[case(Breach::Bodies, Rule::Mixed)]
fn one_safeguard_off_is_noticed(#[case] breach: Breach, #[case] rule: Rule) {
    let seen = (1..=60).find(|seed| drawn(*seed, Some(breach)).violations.iter().any(|w| w.0 == rule));
    assert!(seen.is_some(), "{breach:?} broke no {rule:?}");
}

/// One safeguard off, in the timeline that is named after what it guards.
#[rstest]
#[case("too-old-for-its-key", Breach::Ages, Rule::Twice)]
#[case("a-promise-that-is-none", Breach::Promises, Rule::Refused)]
#[case("a-link-that-ends-may-have-run", Breach::Repeat, Rule::Twice)]
#[case("a-link-that-ends-may-have-run", Breach::Links, Rule::Twice)]
#[case("an-answer-lost-at-the-backend", Breach::TakesBack, Rule::Twice)]
#[case("an-answer-lost-at-the-backend", Breach::Bodies, Rule::Mixed)]
#[case("an-answer-lost-with-its-holder", Breach::Claims, Rule::Twice)]
#[case("the-same-ids-in-a-new-life", Breach::BootIds, Rule::Mixed)]
#[case("a-strangers-answer", Breach::Ids, Rule::Mixed)]
fn a_timeline_notices_what_it_guards(#[case] name: &str, #[case] breach: Breach, #[case] rule: Rule) {
    let text = std::fs::read_to_string(format!("tests/timelines-traffic/{name}.txt")).unwrap();
    let seen = (1..=30).any(|seed| violations(&text, seed, Some(breach)).iter().any(|w| w.0 == Some(rule)));
    assert!(seen, "{breach:?} broke no {rule:?}");
}
