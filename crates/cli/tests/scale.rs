//! `notchspool lab scale` with a few hollow agents: each of them is told all, and what asks for too much is refused.
use std::process::{Command, Output};

fn scale(line: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_notchspool"));
    command.args(["lab", "scale"]).args(line.split_whitespace()).output().expect("it runs")
}

#[test]
fn every_hollow_agent_gets_the_list_configurations_and_drains() {
    let ran = scale(
        "--hollow 12 --proxies 1 --threads 2 --services 4 --routes 8 --seed 3 --span-s 1 --words 2 --drains 2 --changes 5 --claims 20",
    );
    let (out, err) = (String::from_utf8_lossy(&ran.stdout), String::from_utf8_lossy(&ran.stderr));
    assert_eq!(ran.status.code(), Some(0), "{out}{err}");
    assert!(out.contains("12 hollow agents, 1 real proxies, seed 3; told all: 12;"), "{out}");
    // Both configurations and both drains reached each agent, the one that drains too.
    assert_eq!(out.matches("2 events, told 24 of 24").count(), 2, "{out}");
    // Some claims end, granted or late on a slow disk; no two agents ever claim one key.
    assert!(out.contains("claims, 20 a second") && out.contains(" 0 refused, "), "{out}");
}

#[test]
fn a_plan_that_asks_for_too_much_is_refused_with_what_it_would_need() {
    let rows = [
        ("--proxies 297", "would need 301 processes, 300 are allowed"),
        ("--hollow 200000", "MB are allowed"),
        ("--span-s 400", "900s are allowed"),
        ("--claims 30000", "over 20000 claims"),
        ("--routes 10 --services 20", "fewer routes than services"),
    ];
    for (line, why) in rows {
        let ran = scale(line);
        let err = String::from_utf8_lossy(&ran.stderr);
        assert!(!ran.status.success() && err.contains(why), "{line}: {err}");
    }
}
