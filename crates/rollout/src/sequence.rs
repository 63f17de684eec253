//! A confidence sequence: an interval for a mean that holds at every moment at once, so that it may be looked at as often as one
//! likes. The normal mixture's boundary (Robbins 1970; Howard, Ramdas, `McAuliffe`, Sekhon: *Time-uniform, nonparametric, nonasymptotic
//! confidence sequences*, 2021) over figures weighed by their own variance, so that some loud seconds do not outweigh many quiet
//! ones; where they spread wider than that variance says, the interval widens with them (Waudby-Smith and others, 2021).
use serde::{Deserialize, Serialize};

/// Figures that come one after the other, each with the variance that chance alone would give it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    pub n: u64,
    /// Sums of weights, of weighed figures and of their squares.
    weights: f64,
    sum: f64,
    squares: f64,
    /// The weight of the first figure, by which the boundary is placed.
    first: f64,
}

impl Run {
    /// Figures that are none, or have no variance, change nothing.
    pub fn add(&mut self, x: f64, variance: f64) {
        let weight = 1.0 / variance;
        if !x.is_finite() || !weight.is_finite() || weight <= 0.0 {
            return;
        }
        if self.n == 0 {
            self.first = weight;
        }
        // No one figure may count for more than ten of the first ones.
        let weight = weight.min(10.0 * self.first);
        self.n += 1;
        self.weights += weight;
        self.sum += weight * x;
        self.squares += weight * x * x;
    }
    pub fn mean(&self) -> f64 {
        if self.weights > 0.0 { self.sum / self.weights } else { 0.0 }
    }
    /// How much wider the figures spread than chance alone would have it; never less than one.
    fn wider(&self) -> f64 {
        if self.n < 2 {
            return 1.0;
        }
        let mean = self.mean();
        ((self.squares - self.weights * mean * mean) / (self.n - 1) as f64).max(1.0)
    }
    /// The interval in which the mean lies at all moments together but for a chance of `alpha`; tightest near `best` figures.
    pub fn interval(&self, alpha: f64, best: f64) -> (f64, f64) {
        if self.n < 2 {
            return (f64::NEG_INFINITY, f64::INFINITY);
        }
        let log = -2.0 * alpha.ln();
        let rho = self.first * best.max(1.0) / (log + (log + 1.0).ln());
        let v = self.weights;
        let boundary = ((v + rho) * ((v + rho) / (rho * alpha * alpha)).ln()).sqrt();
        let half = boundary / v * self.wider().sqrt();
        (self.mean() - half, self.mean() + half)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oorandom::Rand64;

    /// Of 400 runs of nothing, looked at after each figure, how many ever leave nought out.
    #[test]
    fn looked_at_all_the_time_it_errs_as_seldom_as_stated() {
        let (mut wrong, runs, alpha) = (0, 400, 0.05);
        for seed in 0..runs {
            let (mut chance, mut run) = (Rand64::new(seed), Run::default());
            for n in 0..400 {
                // Skewed and mostly nought, as differences of rare failures are.
                let x = if chance.rand_float() < 0.2 { chance.rand_float() - 0.5 } else { 0.0 };
                run.add(x, 0.0167);
                let (low, high) = run.interval(alpha, 60.0);
                if n >= 20 && (low > 0.0 || high < 0.0) {
                    wrong += 1;
                    break;
                }
            }
        }
        assert!(f64::from(wrong) <= alpha * runs as f64, "{wrong} of {runs}");
    }

    #[test]
    fn loud_seconds_among_quiet_ones_prove_nothing() {
        let (mut wrong, runs) = (0, 400);
        for seed in 0..runs {
            let (mut chance, mut run) = (Rand64::new(seed), Run::default());
            for n in 0..200 {
                // Quiet, then a fault that strikes both sides alike and makes all figures loud.
                let (loud, variance) =
                    if (30..60).contains(&n) { (0.5, 0.5 * 0.5 / 3.0) } else { (0.02, 0.02 * 0.02 / 3.0) };
                run.add(loud * (2.0 * chance.rand_float() - 1.0), variance);
                if run.interval(0.01, 60.0).0 > 0.0 {
                    wrong += 1;
                    break;
                }
            }
        }
        assert!(wrong <= 4, "{wrong} of {runs}");
    }

    #[test]
    fn a_shift_is_found_and_the_more_the_sooner() {
        let found = |shift: f64| {
            let (mut chance, mut run) = (Rand64::new(7), Run::default());
            (0..2_000).find(|_| {
                run.add(shift + 0.1 * (chance.rand_float() - 0.5), 0.1 * 0.1 / 12.0);
                run.interval(0.01, 60.0).0 > 0.0
            })
        };
        let (small, large) = (found(0.02).expect("found"), found(0.1).expect("found"));
        assert!(large < small && small < 200, "{large} {small}");
        assert_eq!(found(-0.02), None);
    }

    #[test]
    fn senseless_figures_change_nothing() {
        let mut run = Run::default();
        [0.1, f64::NAN, f64::INFINITY, 0.3].into_iter().for_each(|x| run.add(x, 1.0));
        run.add(0.5, 0.0);
        run.add(0.5, f64::NAN);
        assert_eq!((run.n, run.mean()), (2, 0.2));
    }
}
