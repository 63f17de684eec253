//! Lines recorded before the messages were renamed: each is read, and written again byte for byte. Fields that are not known are
//! refused, so a name that followed a renamed field by mistake is found in either direction.
use notchspool_fleet_protocol::Message;

const LINES: &str = include_str!("golden/lines.jsonl");

#[test]
fn every_recorded_line_is_read_and_written_again_byte_for_byte() {
    let lines: Vec<&str> = LINES.split_inclusive('\n').collect();
    assert_eq!(lines.len(), 37);
    for line in lines {
        let message = Message::decode(line.as_bytes(), "f").unwrap();
        assert_eq!(message.encode(), line);
    }
}
