//! Plain files.
use notchspool_storage::shelf::{sealed, unsealed};

#[test]
fn a_file_torn_at_any_byte_is_no_file() {
    let all = sealed(b"the word of the operator");
    assert_eq!(unsealed(&all).as_deref(), Some(&b"the word of the operator"[..]));
    for end in 0..all.len() {
        assert_eq!(unsealed(&all[..end]), None, "cut at {end}");
        let mut torn = all.clone();
        torn[end..].fill(0);
        assert_eq!(unsealed(&torn), None, "nought from {end}");
    }
}
