//! Stages of a plan, and its mistakes.
use std::collections::BTreeMap;

use notchspool_rollout::plan::{Change, Plan};
use rstest::rstest;

fn plan() -> Plan {
    Plan::new("v2", Change::Settings { digest: "a".repeat(64) })
}

#[test]
fn stages_take_zones_in_turn_and_everybody_once() {
    let agents: BTreeMap<String, String> =
        (0..40).map(|n| (format!("a{n:02}"), format!("z{}", n % 4))).collect();
    let stages = plan().stages_of(&agents);
    assert_eq!(stages.iter().map(Vec::len).collect::<Vec<_>>(), [1, 1, 8, 30]);
    let mut all: Vec<&String> = stages.iter().flatten().collect();
    all.sort();
    assert_eq!(all, agents.keys().collect::<Vec<_>>());
    let third: std::collections::BTreeSet<&String> = stages[2].iter().map(|n| &agents[n]).collect();
    assert_eq!(third.len(), 4, "all zones are in it");
    assert_eq!(plan().stages_of(&BTreeMap::from([("a".into(), "z".into())])).concat(), ["a"]);
}

#[rstest]
#[case(|p: &mut Plan| p.stages = vec![0.5, 0.2, 1.0], "larger than the one before")]
#[case(|p: &mut Plan| p.stages = vec![0.5], "the last one is 1")]
#[case(|p: &mut Plan| p.stages.clear(), "is empty")]
#[case(|p: &mut Plan| p.max_harm = f64::NAN, "`harm`")]
#[case(|p: &mut Plan| p.change = Change::Program { path: "bin".into(), digest: "x".into() }, "no whole path")]
#[case(|p: &mut Plan| p.change = Change::Settings { digest: "x".into() }, "64 hexadecimal")]
#[case(|p: &mut Plan| p.name = "a b".into(), "`name`")]
fn every_mistake_is_named(#[case] spoil: fn(&mut Plan), #[case] why: &str) {
    let mut plan = plan();
    assert_eq!(plan.mistakes(), Vec::<String>::new());
    spoil(&mut plan);
    assert!(plan.mistakes().iter().any(|mistake| mistake.contains(why)), "{:?}", plan.mistakes());
}
