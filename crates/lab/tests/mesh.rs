//! Timelines of the mesh, and drawn ones. No bench, no sleep: virtual time.
use notchspool_lab::mesh::{Timeline, drawn, play};
use rstest::rstest;

fn holds(text: &str) {
    let timeline = Timeline::read(text).unwrap();
    for seed in 1..=3 {
        let wrong = play(&timeline, seed, true);
        assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
    }
}

#[rstest]
fn timelines(#[files("tests/timelines/*.txt")] path: std::path::PathBuf) {
    holds(&std::fs::read_to_string(path).unwrap());
}

#[test]
fn drawn_troubles_within_what_is_borne_break_no_promise() {
    for seed in 1..=12 {
        let wrong = drawn(seed);
        assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
    }
}

/// The checker sees a voter that forgets its disk and goes on voting.
#[test]
fn a_wiped_voter_that_votes_on_is_noticed() {
    let text = "
time  usher-a   usher-b   core-1        core-2  core-3
0.0   .         .         .             .       cut
3.0   claim k   .         .             .       .
3.3   .         .         wipe; start   .       join
3.4   .         .         .             cut     .
6.6   .         claim k   .             .       .
7.6   .         .         .             join    .
";
    let timeline = Timeline::read(text).unwrap();
    let seen = (1..=5).any(|seed| play(&timeline, seed, false).iter().any(|w| w.contains("runs again")));
    assert!(seen, "a second run was not noticed");
    for seed in 1..=5 {
        let wrong = play(&timeline, seed, true);
        assert!(!wrong.iter().any(|w| w.contains("runs again")), "seed {seed}: {wrong:#?}");
    }
}
