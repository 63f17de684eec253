//! One run of the wire host on lines of input, good and bad.
use std::io::Write;
use std::process::{Command, Stdio};

const HELLO: &str = r#"{"m":"hello","i":"agent-0","entropy":7,"news":1,"facts":{"balancers":1,"myZone":"z","zones":["z"],"registryMode":"on_request","schemes":[{"name":"q","repeat":"safe","expiryMs":2000.0,"slaTimeMs":750.0,"value":1.0}],"contract":{"drainGraceMs":500.0},"permissions":{"maxPostings":3,"cancel":true,"retryAfter":true,"maxRetryAfterMs":1000.0},"loadReport":{"fields":["busy","rif"],"via":"answers"}}}"#;
const LIST: &str = r#"{"m":"ledger","slot":0,"lines":[{"backend":"b:1","readiness":"Ready","site":"z","powerHint":1,"cell":0}]},{"m":"endpoints","i":"agent-0","kind":"restored","slot":0,"generation":3}"#;

fn play(lines: &[String]) -> (Vec<String>, String, Option<i32>) {
    let mut host = Command::new(env!("CARGO_BIN_EXE_notchspool-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the wire host starts");
    let input = lines.join("\n") + "\n";
    host.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("input is read");
    let done = host.wait_with_output().expect("the wire host ends");
    let replies = String::from_utf8_lossy(&done.stdout).lines().map(str::to_owned).collect();
    (replies, String::from_utf8_lossy(&done.stderr).into_owned(), done.status.code())
}

fn batch(at: f64, updates: &str) -> String {
    format!(r#"{{"momentMs":{at},"news":[{updates}]}}"#)
}

#[test]
fn lines_of_input() {
    let order = r#"{"m":"order","i":"agent-0","call":5,"priority":"q","notAfterMs":1003.125}"#;
    let back = r#"{"m":"reportBack","i":"agent-0","call":5,"attempt":0,"backend":"b:1","disposition":"GOOD","tookMs":9.5,"noMore":true,"report":[0.5,2]}"#;
    let bad = [
        r#"{"m":"order","i":"agent-0","call":6,"priority":"none","notAfterMs":900.0}"#,
        r#"{"m":"order","i":"agent-9","call":6,"priority":"q","notAfterMs":900.0}"#,
        r#"{"m":"pong","i":"agent-0","backend":"b:9","disposition":"GOOD"}"#,
        r#"{"m":"order","i":"agent-0","call":6,"priority":"q","notAfterMs":"soon"}"#,
        r#"{"m":"newer","i":"agent-0"},{"m":"whisper","i":"agent-0","srcPeer":1,"octets":"x"}"#,
    ];
    let lines = [
        batch(0.0, ""),
        batch(1.5, &format!("{HELLO},{LIST}")),
        batch(3.125, order),
        batch(12.625, back),
        batch(13.0, &bad.join(",")),
        batch(14.0, r#"{"m":"down","i":"agent-0"}"#),
    ];
    let (replies, errors, code) = play(&lines);
    assert_eq!(code, Some(0), "{errors}");
    assert_eq!(replies.len(), lines.len());
    assert_eq!(replies[0], r#"{"output":[]}"#);
    assert_eq!(replies[1], r#"{"output":[{"m":"setTimer","i":"agent-0","keyBack":1,"spanMs":50}]}"#);
    assert_eq!(
        replies[2],
        r#"{"output":[{"m":"forward","i":"agent-0","call":5,"backend":"b:1","tryUntilMs":1003.125}]}"#
    );
    assert!(replies[3..].iter().all(|r| r == r#"{"output":[]}"#), "{replies:?}");
    for field in ["`priority`", "`agent-9`", "`backend`", "`notAfterMs`"] {
        assert!(errors.contains(field), "{field} is not named in: {errors}");
    }
    assert_eq!(errors.lines().count(), 4, "{errors}");
}

#[test]
fn unreadable_lines() {
    for line in ["{", "7", r#"{"news":[]}"#, r#"{"momentMs":1.0}"#] {
        let (replies, errors, code) = play(&[line.to_owned()]);
        assert!(
            replies.is_empty() && code == Some(2) && errors.starts_with("cannot read"),
            "{line}: {errors}"
        );
    }
}
