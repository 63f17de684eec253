//! Plain files.
use notchspool_storage::file_store::{verify_checksum, with_checksum};

#[test]
fn a_file_torn_at_any_byte_is_no_file() {
    let all = with_checksum(b"the word of the operator");
    assert_eq!(verify_checksum(&all).as_deref(), Some(&b"the word of the operator"[..]));
    for end in 0..all.len() {
        assert_eq!(verify_checksum(&all[..end]), None, "cut at {end}");
        let mut torn = all.clone();
        torn[end..].fill(0);
        assert_eq!(verify_checksum(&torn), None, "nought from {end}");
    }
}
