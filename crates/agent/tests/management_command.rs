//! Commands of operators, a line each.
use notchspool_agent::wire::management_command::{CommandError, MAX_LINE_BYTES, ManagementCommand};
use rstest::rstest;

#[rstest]
#[case(b"status", Ok(ManagementCommand::Status))]
#[case(b"status\n", Ok(ManagementCommand::Status))]
#[case(b"  standby \t\r\n", Ok(ManagementCommand::Standby))]
#[case(b"active\r\n", Ok(ManagementCommand::Active))]
#[case(b"maint-on s-1\n", Ok(ManagementCommand::MaintOn("s-1".into())))]
#[case(b"maint-off  s-1\r\n", Ok(ManagementCommand::MaintOff("s-1".into())))]
#[case(b"", Err("an empty line"))]
#[case(b"\r\n", Err("an empty line"))]
#[case(b"maint-on\n", Err("the id of a backend is missing"))]
#[case(b"maint-on a b\n", Err("too many words"))]
#[case(b"status now\n", Err("this call takes no argument"))]
#[case(b"STATUS\n", Err("no such call; there are status, maint-on ID, maint-off ID, standby, active"))]
#[case(b"\xff\xfe\n", Err("the line is not UTF-8"))]
fn a_line_is_one_command_or_an_error(#[case] line: &[u8], #[case] expected: Result<ManagementCommand, &str>) {
    let parsed = ManagementCommand::parse(line);
    assert_eq!(parsed.map_err(|error| error.to_string()), expected.map_err(str::to_owned));
}

#[test]
fn a_line_without_end_is_too_long() {
    assert_eq!(ManagementCommand::parse(&[b'a'; MAX_LINE_BYTES + 3]), Err(CommandError::TooLong));
}
