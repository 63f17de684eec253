//! A replica that does not serve says why.
use notchspool::units::Micros;
use notchspool_control_plane::replica::{Effect, Impediment, Replica, ReplicaOptions};
use notchspool_storage::Recovered;

fn start(first_start: bool) -> (Replica, Vec<Effect>) {
    let seeds = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"].map(String::from).to_vec();
    let address = seeds[0].clone();
    let options = ReplicaOptions { address, boot_id: 7, first_start, seeds, ..ReplicaOptions::default() };
    Replica::open(options, Recovered::default(), Micros(1))
}

/// The lines logged over so many milliseconds of ticks.
fn lines(replica: &mut Replica, from_ms: i64, until_ms: i64) -> Vec<String> {
    let ticks = (from_ms..until_ms).step_by(50);
    let effects = ticks.flat_map(|at| replica.tick(Micros::ms(at)));
    let lines = effects.filter_map(|effect| match effect {
        Effect::Log(line) => Some(line),
        _ => None,
    });
    lines.collect()
}

#[test]
fn an_empty_disk_that_nobody_welcomes_is_logged_after_a_second_and_each_five() {
    let (mut replica, _) = start(false);
    assert_eq!(replica.impediment(Micros(1)), Some(Impediment::NoSetKnown));
    assert_eq!(lines(&mut replica, 0, 1_000), [] as [String; 0]);
    let logged = lines(&mut replica, 1_000, 8_000);
    let expected = ["does not serve for 1000 ms", "does not serve for 6000 ms"];
    assert_eq!(logged.len(), expected.len(), "{logged:?}");
    for (line, beginning) in logged.iter().zip(expected) {
        assert!(line.starts_with(beginning) && line.ends_with("nobody has told who votes"), "{line}");
    }
}

#[test]
fn a_disk_that_stays_silent_is_logged_before_all_else() {
    let (mut replica, effects) = start(true);
    let write = effects.iter().find_map(|effect| match effect {
        Effect::Write { id, .. } => Some(*id),
        _ => None,
    });
    let write = write.expect("the first set goes to the disk");
    let logged = lines(&mut replica, 0, 3_000);
    let silent = format!("the disk has not written batch {write}");
    assert!(logged.iter().any(|line| line.ends_with(&silent)), "{logged:?}");
    replica.on_written(Micros::ms(3_000), write, true);
    assert_eq!(replica.impediment(Micros::ms(3_000)), Some(Impediment::NoMajority { reached: 1, voters: 3 }));
}
