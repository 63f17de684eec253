//! Lines without sense are refused with their reason; selectors match what they say.
use proptest::prelude::*;
use rstest::rstest;

use notchspool_commands::CommandKind;
use notchspool_fleet_protocol::{Body, CommandRequest, InstanceReport, Message, Selector};

#[rstest]
#[case("{\"form\":2,\"fleet\":\"f\",\"news\":1}", "other_form")]
#[case("{\"form\":1,\"fleet\":\"g\",\"from\":\"a\",\"no\":1,\"body\":\"owner\"}", "other_fleet")]
#[case("{\"form\":1,\"fleet\":\"f\",\"from\":\"a\",\"no\":1,\"body\":\"wrong\"}", "senseless")]
#[case("{\"form\":1,\"fleet\":\"f\",\"from\":\"a b\",\"no\":1,\"body\":\"owner\"}", "senseless")]
#[case("{\"form\":1,\"fleet\":\"f\",\"from\":\"a\",\"no\":-1,\"body\":\"owner\"}", "senseless")]
#[case("{\"form\":1,\"fleet\":\"f\"", "senseless")]
#[case("", "senseless")]
fn a_line_without_sense_is_refused_with_its_reason(#[case] line: &str, #[case] why: &str) {
    assert_eq!(Message::decode(line.as_bytes(), "f").expect_err("refused").counter(), why);
}

#[test]
fn a_command_without_sense_is_refused_by_its_field() {
    let request = |part, within_us| CommandRequest {
        id: "a".into(),
        author: "b".into(),
        kind: CommandKind::Drain,
        targets: Selector { all: true, ..Selector::default() },
        within_us,
        max_unavailable: Some(part),
        expected_revision: None,
    };
    for (part, within, field) in
        [(0.0, 1, "part"), (1.5, 1, "part"), (-1.0, 1, "part"), (1.0, 0, "within_us")]
    {
        let text = Message::new("f", "cli", 1, Body::SubmitCommand(request(part, within))).encode();
        let error = Message::decode(text.as_bytes(), "f").expect_err("refused").to_string();
        assert!(error.contains(field), "{error}");
    }
    // What is no number can't be written as one: it comes as none.
    let text = Message::new("f", "cli", 1, Body::SubmitCommand(request(f64::NAN, 1))).encode();
    let read = Message::decode(text.as_bytes(), "f").expect("an order without a part");
    assert!(
        matches!(read.body, Body::SubmitCommand(CommandRequest { max_unavailable: None, .. })),
        "{read:?}"
    );
    let sound = Message::new("f", "cli", 1, Body::SubmitCommand(request(0.5, 5)));
    assert_eq!(Message::decode(sound.encode().as_bytes(), "f"), Ok(sound));
}

#[test]
fn a_selector_matches_what_fits_every_part() {
    let select = |names: &[&str], zones: &[&str], all| Selector {
        names: names.iter().map(|n| (*n).into()).collect(),
        zones: zones.iter().map(|z| (*z).into()).collect(),
        all,
    };
    assert!(select(&["n1", "m*"], &[], false).matches("m7", "a"));
    assert!(!select(&["n1"], &[], false).matches("n11", "a"));
    assert!(!select(&["n*"], &["b"], false).matches("n1", "a"));
    assert!(select(&[], &["a"], false).matches("n1", "a"));
    assert!(!select(&[], &[], false).matches("n1", "a"), "nobody is meant by nothing");
    assert!(select(&[], &[], true).matches("n1", "a"));
}

proptest! {
    #[test]
    fn any_bytes_are_a_message_or_a_reason(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Message::decode(&bytes, "f");
    }
    #[test]
    fn a_spoilt_message_is_a_message_or_a_reason(at in 0usize..120, byte in any::<u8>()) {
        let mut line = Message::new("f", "n1", 3, Body::Register { zone: "a".into(), boot_id: 7, report: InstanceReport::default() })
            .encode().into_bytes();
        let at = at % line.len();
        line[at] = byte;
        let _ = Message::decode(&line, "f");
    }
}
