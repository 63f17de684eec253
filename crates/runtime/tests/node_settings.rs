//! Settings files: what is read, and which mistake is named how.
use std::path::Path;

use notchspool::units::Micros;
use notchspool_runtime::node_settings::NodeSettings;

const SOUND: &str = r#"{"node":"sidecar-a-1","zone":"a","ipAddress":"10.1.0.8","portRange":[7620,7635],
    "listenAddresses":{"inbound":"10.1.0.8:8300"},"seedNodes":["10.1.0.14:8306"],"firstStart":true,"dataPath":null,
    "beatIntervalS":1.5,"bounds":["drainS=2","retryRatio=0.2"],"appAddress":"10.1.0.8:8301","service":"s","new":{"x":1}}"#;

#[test]
fn a_file_is_read_and_what_is_unknown_ignored() {
    let settings = NodeSettings::parse(Path::new("node.json"), SOUND.as_bytes()).unwrap();
    assert_eq!(settings.peer_address(), "10.1.0.8:7620");
    assert_eq!(settings.peer_address_of(&settings.seeds[0]), "10.1.0.14:7620");
    assert_eq!((settings.bounds.drain, settings.bounds.retry_ratio), (Micros::ms(2_000), 0.2));
}

#[test]
fn each_mistake_names_its_field() {
    let rows = [
        (r#""node":"sidecar-a-1","#, "", "node"),
        (r#""portRange":[7620,7635]"#, r#""portRange":[7620]"#, "portRange"),
        (r#"["10.1.0.14:8306"]"#, r#"["10.1.0.14"]"#, "seedNodes[0]"),
        (r#""firstStart":true"#, r#""firstStart":"yes""#, "firstStart"),
        (r#""drainS=2""#, r#""drainS""#, "bounds[0]"),
        (r#""drainS=2""#, r#""drainS=x""#, "bounds.drainS"),
        (r#""beatIntervalS":1.5"#, r#""beatIntervalS":0"#, "beatIntervalS"),
        (r#""appAddress":"10.1.0.8:8301""#, r#""appAddress":"here""#, "appAddress"),
    ];
    for (old, new, field) in rows {
        assert!(SOUND.contains(old), "{old}");
        let error =
            NodeSettings::parse(Path::new("node.json"), SOUND.replacen(old, new, 1).as_bytes()).unwrap_err();
        assert_eq!(error.field, field, "{error}");
    }
    for end in 0..SOUND.len() {
        assert!(
            NodeSettings::parse(Path::new("node.json"), &SOUND.as_bytes()[..end]).is_err(),
            "cut at {end}"
        );
    }
}
