//! Heartbeats of backends: what is read, and which mistake is named how.
use notchspool::units::Micros;
use notchspool_data_plane::heartbeat;

const VALID: &str = r#"{"address":"10.1.0.9:8080","details":{"service":"s","version":"v1","zone":"a","freeSlots":6},"status":{"state":"ready","callCount":4,"coldLeftS":1.5}}"#;

#[test]
fn a_heartbeat_is_parsed_and_an_invalid_one_names_its_field() {
    let read = heartbeat::parse("i-1", VALID.as_bytes()).unwrap();
    assert_eq!((read.slots, read.call_count, read.draining, read.warmup), (6, 4, false, Micros::ms(1_500)));
    let rows = [
        (r#""freeSlots":6"#, r#""freeSlots":-6"#, "/details/freeSlots"),
        (r#""state":"ready""#, r#""state":"odd""#, "/status/state"),
        (r#""callCount":4,"#, "", "/status/callCount"),
        (r#""address":"10.1.0.9:8080","#, "", "/address"),
    ];
    for (old, new, field) in rows {
        let why = heartbeat::parse("i-1", VALID.replacen(old, new, 1).as_bytes()).unwrap_err();
        assert!(why.starts_with(field), "{why}");
    }
    for end in 0..VALID.len() {
        assert!(heartbeat::parse("i-1", &VALID.as_bytes()[..end]).is_err());
    }
}
