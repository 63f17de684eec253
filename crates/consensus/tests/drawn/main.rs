//! Drawn histories in virtual time, judged from outside; and histories made with one safeguard taken out, which the judge must
//! refuse. A failure names its seed; `NOTCHSPOOL_SEEDS` plays more than CI does.
mod world;

use notchspool::units::Micros;
use notchspool_consensus::lease_owner::FaultInjection;
use rstest::rstest;
use world::{Without, World};

const SPAN: Micros = Micros::ms(60_000);

fn seeds(few: u64) -> u64 {
    std::env::var("NOTCHSPOOL_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(few)
}

#[rstest]
#[case(1, 2)]
#[case(3, 2)]
#[case(3, 3)]
#[case(5, 3)]
fn whatever_fails_one_acts_and_nothing_written_is_lost(#[case] voters: usize, #[case] contenders: usize) {
    let (mut acquired, mut written, mut fenced, mut readmitted) = (0, 0, 0, 0);
    for seed in 0..seeds(40) {
        let mut world = World::new(voters, contenders, seed, Without::default());
        world.play(SPAN);
        assert_eq!(world.violation, Vec::<String>::new(), "{voters} voters, seed {seed}");
        acquired += world.acquired;
        written += world.written;
        fenced += world.fenced;
        readmitted += world.readmitted;
    }
    println!(
        "{voters} voters: {acquired} owners, {written} writes, {fenced} fenced, {readmitted} readmitted"
    );
    assert!(acquired > 100 && written > 1000, "something has to happen: {acquired} {written}");
    assert!(
        fenced > 0 && (voters < 3 || readmitted > 0),
        "the hard cases have to come: {fenced} {readmitted}"
    );
}

#[test]
fn after_an_outage_of_the_voters_a_herd_comes_apart_and_the_last_owner_is_first() {
    let (mut same, mut all) = (0, 0);
    for seed in 0..40 {
        let mut world = World::new(5, 5, seed, Without::default());
        world.faulty = false;
        world.play(Micros::ms(3_000));
        let Some(owner) = world.owner() else { continue };
        world.outage(world::LEASE + world::LEASE);
        let until = world.later(Micros::ms(6_500));
        world.play(until);
        assert_eq!(world.violation, Vec::<String>::new(), "seed {seed}");
        let next = world.owner().expect("within some leases of the outage's end somebody owns");
        (same, all) = (same + usize::from(next == owner), all + 1);
    }
    println!("the last owner was first in {same} of {all}");
    assert!(all > 30 && same * 10 >= all * 7, "{same} of {all}");
}

/// Seeds until the judge refuses one; none within the bound is a failure of the judge.
fn refused(without: Without, word: &str) {
    let found = (0..400).find_map(|seed| {
        let mut world = World::new(3, 3, seed, without);
        world.play(SPAN);
        world.violation.into_iter().find(|w| w.contains(word)).map(|w| (seed, w))
    });
    let (seed, violation) = found.expect("a history without its safeguard has to be refused");
    println!("seed {seed}: {violation}");
}

#[test]
fn a_lease_counted_from_the_answer_is_refused() {
    refused(
        Without {
            faults: FaultInjection { lease_from_response: true, ..FaultInjection::default() },
            ..Without::default()
        },
        "two could act",
    );
}
#[test]
fn without_the_fence_it_is_refused() {
    refused(Without { fence: true, ..Without::default() }, "after a newer owner's");
}
#[test]
fn a_state_opened_as_one_voter_tells_it_is_refused() {
    refused(
        Without {
            faults: FaultInjection { state_without_majority: true, ..FaultInjection::default() },
            ..Without::default()
        },
        "lacks it",
    );
}
#[test]
fn a_voter_that_votes_without_its_disk_is_refused() {
    refused(Without { readmission: true, ..Without::default() }, "");
}
