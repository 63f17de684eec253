//! Intervals that are looked at after each figure: how seldom they err, and how soon they find a shift.
use notchspool_rollout::confidence_sequence::ConfidenceSequence;
use oorandom::Rand64;

/// Of 400 runs of nothing, looked at after each figure, how many ever leave nought out.
#[test]
fn looked_at_all_the_time_it_errs_as_seldom_as_stated() {
    let (mut false_alarms, runs, alpha) = (0, 400, 0.05);
    for seed in 0..runs {
        let (mut chance, mut sequence) = (Rand64::new(seed), ConfidenceSequence::default());
        for n in 0..400 {
            // Skewed and mostly nought, as differences of rare failures are.
            let x = if chance.rand_float() < 0.2 { chance.rand_float() - 0.5 } else { 0.0 };
            sequence.add(x, 0.0167);
            let (low, high) = sequence.interval(alpha, 60.0);
            if n >= 20 && (low > 0.0 || high < 0.0) {
                false_alarms += 1;
                break;
            }
        }
    }
    assert!(f64::from(false_alarms) <= alpha * runs as f64, "{false_alarms} of {runs}");
}

#[test]
fn loud_seconds_among_quiet_ones_prove_nothing() {
    let (mut false_alarms, runs) = (0, 400);
    for seed in 0..runs {
        let (mut chance, mut sequence) = (Rand64::new(seed), ConfidenceSequence::default());
        for n in 0..200 {
            // Quiet, then a fault that strikes both sides alike and makes all figures loud.
            let (loud, variance) =
                if (30..60).contains(&n) { (0.5, 0.5 * 0.5 / 3.0) } else { (0.02, 0.02 * 0.02 / 3.0) };
            sequence.add(loud * (2.0 * chance.rand_float() - 1.0), variance);
            if sequence.interval(0.01, 60.0).0 > 0.0 {
                false_alarms += 1;
                break;
            }
        }
    }
    assert!(false_alarms <= 4, "{false_alarms} of {runs}");
}

#[test]
fn a_shift_is_found_and_the_more_the_sooner() {
    let found = |shift: f64| {
        let (mut chance, mut sequence) = (Rand64::new(7), ConfidenceSequence::default());
        (0..2_000).find(|_| {
            sequence.add(shift + 0.1 * (chance.rand_float() - 0.5), 0.1 * 0.1 / 12.0);
            sequence.interval(0.01, 60.0).0 > 0.0
        })
    };
    let (small, large) = (found(0.02).expect("found"), found(0.1).expect("found"));
    assert!(large < small && small < 200, "{large} {small}");
    assert_eq!(found(-0.02), None);
}

#[test]
fn senseless_figures_change_nothing() {
    let mut sequence = ConfidenceSequence::default();
    [0.1, f64::NAN, f64::INFINITY, 0.3].into_iter().for_each(|x| sequence.add(x, 1.0));
    sequence.add(0.5, 0.0);
    sequence.add(0.5, f64::NAN);
    assert_eq!((sequence.count, sequence.mean()), (2, 0.2));
}
