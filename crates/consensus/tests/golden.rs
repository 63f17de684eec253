//! The text forms that agents and operators' disks keep, as they were before the code was renamed.
use notchspool_consensus::fencing::{Admission, Fence};
use notchspool_consensus::{OwnerRecord, Token};

#[test]
fn a_recorded_fence_is_read_and_written_again() {
    let text = r#"{"seen":{"orders":5,"rollout":2}}"#;
    let mut fence: Fence = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&fence).unwrap(), text);
    assert_eq!(fence.admit("orders", Token(4)), Admission::Rejected(Token(5)));
    assert_eq!(fence.admit("rollout", Token(2)), Admission::Current);
}

#[test]
fn a_recorded_owner_is_read_and_written_again() {
    let text = r#"{"token":4,"by":9,"name":"k1","at":"127.0.0.1:7","released":true}"#;
    assert_eq!(OwnerRecord::parse(text).unwrap().to_text(), text);
}
