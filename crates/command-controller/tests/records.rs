//! Registers as the first release wrote them: they are read, and written again byte for byte.
use notchspool_command_controller::records::{self, CommandRecord, FleetHead, InstanceRecord, RegisterKey};

#[test]
fn registers_of_the_first_release_are_read_and_written_again_byte_for_byte() {
    let head = r#"{"revision":7,"epoch":9}"#;
    assert_eq!(records::encode(&records::decode::<FleetHead>(head).unwrap()), head);
    let instances = r#"[{"id":17,"name":"n1","zone":"a","epoch":3,"life":12345678901234567890}]"#;
    assert_eq!(records::encode(&records::decode::<Vec<InstanceRecord>>(instances).unwrap()), instances);
    let command = concat!(
        r#"{"revision":5,"id":"x","author":"op","act":"drain","part":0.25,"halted":"h","#,
        r#""states":[[1,"queued"],[2,{"told":3}],[4,{"failed":{"told":true,"late":null}}],[5,{"overtaken":6}]],"left_us":-4}"#
    );
    assert_eq!(records::encode(&records::decode::<CommandRecord>(command).unwrap()), command);
}

#[test]
fn keys_of_registers_are_those_of_the_first_release() {
    for (text, key) in [
        ("head", RegisterKey::Head),
        ("m/1", RegisterKey::of_instance(notchspool_commands::InstanceId(17))),
        ("o/12", RegisterKey::Command(12)),
    ] {
        assert_eq!(key.to_string(), text);
        assert_eq!(RegisterKey::parse(text), Some(key));
    }
    for text in ["", "heads", "m", "o/x", "p/1"] {
        assert_eq!(RegisterKey::parse(text), None, "{text}");
    }
}
