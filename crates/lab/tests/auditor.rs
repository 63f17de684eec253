//! Tries the auditor with ledgers that break one rule each. A case is `== NAME: BREACH` (or `== NAME: sound`),
//! then a line an entry: `MS take T AGENT SCHEME EXPIRY`, `MS heard T settled|declined|reversed`, `MS left T`,
//! `MS unanswered T`, `MS began P T BACK`, `MS came P`, `MS ran P`, `MS repeat P`, `MS over P END`, `MS told AGENT BACK
//! STANDING`, `MS started BACK`, `MS fell BACK`, `MS killed|launched AGENT`. Schemes: 0 repeatable, 1 referenced (zone, 1000 ms),
//! 2 once-only. Backends: 0 and 1 in zone 0, 2 in zone 1. Grace 500 ms, slack 50 ms, 3 postings. `held N`: held back.
use std::path::PathBuf;

use notchspool_lab::core::auditor::{Agreement, Repeats, audit, history};
use notchspool_lab::core::kit::*;
use notchspool_lab::core::ledger::*;
use rstest::rstest;

fn agreed() -> Agreement {
    let row = |kind, group| Repeats { kind, group, window: Micros::ms(1000) };
    Agreement {
        schemes: vec![
            row(Kind::Repeatable, Group::All),
            row(Kind::Referenced, Group::Zone),
            row(Kind::OnceOnly, Group::All),
        ],
        places: vec![(ZoneId(0), 0), (ZoneId(0), 1), (ZoneId(1), 2)],
        drain_grace: Some(Micros::ms(500)),
        most_postings: 3,
        slack: Micros::ms(50),
        connect_within: Micros::ms(250),
    }
}

fn entry(words: &[&str]) -> Entry {
    let n = |at: usize| words[at].parse::<u64>().unwrap_or_else(|_| panic!("a number in {words:?}"));
    let (txn, posting) = (|at| TxnId(n(at)), |at| PostingId(n(at)));
    let (agent, back) = (|at| AgentId(n(at) as usize), |at| BackId(n(at) as usize));
    match words[0] {
        "take" => Entry::Taken {
            txn: txn(1),
            agent: agent(2),
            scheme: SchemeId(n(3) as usize),
            expiry: Micros::ms(n(4) as i64),
        },
        "heard" => Entry::Heard {
            txn: txn(1),
            answer: match words[2] {
                "settled" => Final::Settled,
                "declined" => Final::Declined,
                "reversed" => Final::Reversed,
                other => panic!("no such answer: {other}"),
            },
        },
        "left" => Entry::Left { txn: txn(1) },
        "unanswered" => Entry::Unanswered { txn: txn(1) },
        "began" => Entry::Began { posting: posting(1), txn: txn(2), back: back(3) },
        "came" => Entry::Came { posting: posting(1) },
        "ran" => Entry::Ran { posting: posting(1) },
        "repeat" => Entry::Repeat { posting: posting(1) },
        "over" => Entry::Over {
            posting: posting(1),
            end: match words[2] {
                "settled" => End::Settled,
                "errored" => End::Errored,
                "never-ran" => End::NeverRan,
                "unfinished" => End::Unfinished,
                "broken" => End::Broken,
                "given-up" => End::GivenUp,
                other => panic!("no such end: {other}"),
            },
        },
        "told" => Entry::Told {
            agent: agent(1),
            back: back(2),
            standing: match words[3] {
                "ready" => Standing::Ready,
                "draining" => Standing::Draining,
                "gone" => Standing::Gone,
                other => panic!("no such standing: {other}"),
            },
        },
        "started" => Entry::Started { back: back(1) },
        "fell" => Entry::Fell { back: back(1) },
        "launched" => Entry::Launched { agent: agent(1) },
        "killed" => Entry::Killed { agent: agent(1) },
        other => panic!("no such entry: {other}"),
    }
}

#[rstest]
fn names_what_is_planted(#[files("tests/ledgers/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a file");
    let mut cases = 0;
    for case in text.split("\n== ").skip(1) {
        let (head, lines) = case.split_once('\n').expect("a head and lines");
        let (name, wanted) = head.split_once(": ").expect("NAME: BREACH");
        let (mut ledger, mut held) = (Ledger::default(), 0);
        for line in lines.lines().map(str::trim).filter(|l| !l.is_empty() && !l.starts_with('#')) {
            let words: Vec<&str> = line.split_whitespace().collect();
            if words[0] == "held" {
                held = words[1].parse().expect("a number");
                continue;
            }
            ledger.write(Micros::ms(words[0].parse().expect("milliseconds")), entry(&words[1..]));
        }
        let verdict = audit(&ledger, &agreed());
        let mut found: Vec<&str> = verdict.breaches.iter().map(|b| b.what).collect();
        found.sort();
        found.dedup();
        let wanted: Vec<&str> = wanted.split("; ").filter(|w| *w != "sound").collect();
        assert_eq!(found, wanted, "{name}\n{}", history(&ledger, TxnId(1)).join("\n"));
        assert_eq!(verdict.held_back, held, "held back: {name}");
        cases += 1;
    }
    assert!(cases > 3, "a file holds cases");
}
