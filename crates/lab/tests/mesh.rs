//! Timelines of the mesh, and drawn ones. No bench, no sleep: virtual time.
use notchspool_lab::mesh::{Breach, Timeline, drawn, drawn_members, drawn_members_with, play, play_with};
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

#[test]
fn drawn_changes_of_the_set_break_no_promise() {
    for seed in 1..=12 {
        let wrong = drawn_members(seed);
        assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
    }
}

/// With the safeguard in its place the timeline holds; without it the checker says what is wrong.
fn refused(text: &str, breach: Breach, sign: &str) {
    holds(text);
    let timeline = Timeline::read(text).unwrap();
    let found: Vec<Vec<String>> =
        (1..=3).map(|seed| play_with(&timeline, seed, true, Some(breach))).collect();
    let seen = found.iter().flatten().any(|w| w.contains(sign));
    assert!(seen, "{breach:?} was not noticed: {found:#?}");
}

#[test]
fn a_seal_that_is_not_kept_is_noticed() {
    let text = "
time  usher-a     usher-b                 core-1  core-2                  core-3                              core-4-
0.0   .           cut core-2; cut core-4; kill  .  .                      cut core-1; cut core-2; cut core-4  start
9.0   cut core-1  .                       .       .                       .                                   votes
9.5   claim k     .                       .       .                       .                                   .
10.5  answer k run-1  .                   .       .                       .                                   .
10.6  .           .                       power   cut core-1; cut core-3  join; cut core-2                    cut core-1; cut core-3
10.7  .           start                   start   .                       .                                   .
13.5  .           claim k                 .       .                       .                                   .
15.0  join        join                    .       join                    join                                join
";
    refused(text, Breach::SealNotKept, "runs again");
}

#[test]
fn a_member_that_votes_before_it_has_installed_is_noticed() {
    let text = "
time  usher-a     usher-b     core-1  core-2      core-3  core-4-
0.0   cut core-3  .           .       .           .       .
3.0   claim k     .           .       .           .       .
3.5   answer k run-1  .       .       .           .       .
3.6   .           .           remove  .           .       .
3.8   .           .           .       .           .       start
9.0   .           .           .       cut         .       votes
10.0  .           claim k     .       .           .       .
11.5  join        .           .       join        .       .
";
    refused(text, Breach::VotesBeforeInstalled, "runs again");
}

#[test]
fn votes_of_another_set_that_count_are_noticed() {
    let text = "
time  usher-a     usher-b                 core-1  core-2  core-3                              core-4-
0.0   kill        cut core-2; cut core-4  .       .       cut core-1; cut core-2; cut core-4  start
9.0   cut core-1; start  .                .       .       .                                   votes
9.5   claim k     .                       .       .       .                                   .
10.5  answer k run-1  .                   .       .       .                                   .
10.6  .           claim k                 .       .       .                                   .
13.0  join        join                    .       .       join                                .
";
    refused(text, Breach::NumberNotChecked, "runs again");
}

#[test]
fn one_that_leaves_without_handing_over_is_noticed() {
    let text = "
time  usher-a   core-1   core-2   core-3
0.0   .         .        .        cut
0.2   claim k   put 4 x  .        .
3.0   answer k run-1  acked 4  .  join
4.0   .         term     .        .
5.0   .         down     .        keeps 4; keeps key k
5.1   .         start    .        .
";
    refused(text, Breach::NotHandedOver, "its disk does not have it");
}

/// Also the drawn ones see that a safeguard is off, though none of them was made for it.
#[test]
fn drawn_changes_notice_a_safeguard_that_is_off() {
    for breach in [Breach::SealNotKept, Breach::VotesBeforeInstalled, Breach::NumberNotChecked] {
        let signs = ["runs again", "was acknowledged", "two sets under one number"];
        let seen = (1..=24).any(|seed| {
            drawn_members_with(seed, Some(breach)).iter().any(|w| signs.iter().any(|s| w.contains(s)))
        });
        assert!(seen, "{breach:?} was noticed by none of 24");
    }
}
