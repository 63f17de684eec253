//! Which lines of a list count.
use notchspool::units::{Generation, Micros};
use notchspool_agent::state::list_versions::ListVersions;

fn ms(ms: i64) -> Micros {
    Micros::ms(ms)
}

#[test]
fn an_older_line_changes_nothing_and_one_that_catches_up_ends_the_doubt() {
    let mut versions = ListVersions::default();
    assert_eq!(versions.accept(41, true, ms(0)), Some(Generation(41)));
    assert_eq!(versions.accept(40, true, ms(10)), None);
    assert!(!versions.restart_if_stuck(ms(5_009)));
    assert_eq!(versions.accept(42, false, ms(5_009)), Some(Generation(42)));
    assert!(!versions.restart_if_stuck(ms(20_000)));
}

#[test]
fn after_some_seconds_of_older_lines_a_full_list_begins_again_and_is_newer() {
    let mut versions = ListVersions::default();
    versions.accept(u64::MAX - 7, true, ms(0));
    versions.on_all_read();
    assert_eq!((versions.accept(43, false, ms(10)), versions.resume()), (None, Some(u64::MAX - 7)));
    assert!(versions.restart_if_stuck(ms(5_010)) && !versions.restart_if_stuck(ms(5_011)));
    assert_eq!(versions.resume(), None, "the next watch asks for all");
    assert_eq!(versions.accept(44, false, ms(5_020)), None, "a change of an unknown list");
    let full = versions.accept(44, true, ms(5_030)).expect("it counts");
    assert!(full > Generation(u64::MAX - 7));
    assert!(versions.accept(45, false, ms(5_040)).expect("it counts") >= full);
    assert!(!versions.restart_if_stuck(ms(60_000)));
}
