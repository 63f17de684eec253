//! Books of the real agent, recorded on sockets and kept: each is read whole and judged. How one was made stands at its top; a
//! history that must be refused names the rules in its name: `refused-RULE-RULE`.
use std::collections::BTreeSet;
use std::path::PathBuf;

use notchspool_lab::core::auditor::audit;
use notchspool_lab::core::notation;
use rstest::rstest;

#[rstest]
fn is_judged(#[files("tests/histories/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a file");
    let (agreed, ledger) = notation::read(&text).unwrap_or_else(|why| panic!("{}: {why}", path.display()));
    let verdict = audit(&ledger, &agreed);
    let broken: BTreeSet<String> =
        verdict.breaches.iter().map(|b| format!("{:?}", b.rule).to_lowercase()).collect();
    let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
    let wanted =
        name.strip_prefix("refused-").into_iter().flat_map(|rules| rules.split('-')).map(str::to_owned);
    assert_eq!(broken, wanted.collect(), "{:?}", verdict.breaches.first());
    assert!(verdict.taken > 50, "{} txns", verdict.taken);
}

/// What is no sound file is an error with its line, and is never judged.
#[rstest]
#[case::cut("0 take 1 0 0 900\n", "no end: the file is cut")]
#[case::short("0 take 1 0 0 900\nend 2\n", "1 entries, and the end says 2")]
#[case::behind("end 0\n0 take 1 0 0 900\n", "line 5: something behind the end")]
#[case::word("0 took 1 0 0 900\nend 1\n", "line 4: `took` is no entry")]
#[case::number("0 take one 0 0 900\nend 1\n", "line 4: `one` is no number")]
#[case::missing("0 take 1 0 0\nend 1\n", "line 4: a word is missing")]
#[case::much("0 left 1 2\nend 1\n", "line 4: `2` is too much")]
#[case::time("nan take 1 0 0 9\nend 1\n", "line 4: `nan` is nothing that is agreed")]
#[case::order("9 take 1 0 0 900\n8 left 1\nend 2\n", "line 5: earlier than the entry before it")]
#[case::unknown_txn("0 heard 1 settled\nend 1\n", "line 4: no txn 1 was taken")]
#[case::twice("0 take 1 0 0 9\n1 take 1 0 0 9\nend 2\n", "line 5: txn 1 was taken before")]
#[case::unknown_posting("0 take 1 0 0 9\n1 came 4\nend 2\n", "line 5: posting 4 has not begun")]
#[case::over_twice(
    "0 take 1 0 0 9\n1 began 1 1 0\n2 over 1 broken\n3 over 1 broken\nend 4\n",
    "line 7: posting 1 is over already"
)]
#[case::scheme("0 take 1 0 7 9\nend 1\n", "line 4: no scheme 7")]
#[case::backend("0 take 1 0 0 9\n1 began 1 1 7\nend 2\n", "line 5: no backend 7")]
#[case::late_terms("0 take 1 0 0 9\ngrace 5\nend 1\n", "line 5: `grace` is agreed before the first entry")]
#[case::answer(
    "0 take 1 0 0 9\n1 heard 1 fine\nend 2\n",
    "line 5: `fine` is none of settled, declined, reversed"
)]
fn a_file_that_makes_no_sense_is_never_kept(#[case] body: &str, #[case] wanted: &str) {
    let head = "scheme 0 repeatable all 0\nbackend 0 0 0 1\npostings 3\n";
    assert_eq!(notation::read(&format!("{head}{body}")).expect_err("refused"), wanted);
}
