//! A confidence sequence: an interval for a mean that holds at every moment at once, so that it may be looked at as often as one
//! likes. The normal mixture's boundary (Robbins 1970; Howard, Ramdas, `McAuliffe`, Sekhon: *Time-uniform, nonparametric, nonasymptotic
//! confidence sequences*, 2021) over figures weighed by their own variance, so that some loud seconds do not outweigh many quiet
//! ones; where they spread wider than that variance says, the interval widens with them (Waudby-Smith and others, 2021).
use serde::{Deserialize, Serialize};

/// No one figure may count for more than so many of the first ones.
const MAX_WEIGHT_RATIO: f64 = 10.0;

/// Figures that come one after the other, each with the variance that chance alone would give it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfidenceSequence {
    /// Figures so far.
    #[serde(rename = "n")]
    pub count: u64,
    /// Sums of weights, of weighed figures and of their squares.
    weights: f64,
    sum: f64,
    squares: f64,
    /// The weight of the first figure, by which the boundary is placed.
    first: f64,
}

impl ConfidenceSequence {
    /// Adds a figure. One that is no number, or has no variance, changes nothing.
    pub fn add(&mut self, figure: f64, variance: f64) {
        let weight = 1.0 / variance;
        if !figure.is_finite() || !weight.is_finite() || weight <= 0.0 {
            return;
        }
        if self.count == 0 {
            self.first = weight;
        }
        let weight = weight.min(MAX_WEIGHT_RATIO * self.first);
        self.count += 1;
        self.weights += weight;
        self.sum += weight * figure;
        self.squares += weight * figure * figure;
    }

    /// The weighted mean; zero without figures.
    pub fn mean(&self) -> f64 {
        if self.weights > 0.0 { self.sum / self.weights } else { 0.0 }
    }

    /// How much wider the figures spread than chance alone would have it; never less than one.
    fn overdispersion(&self) -> f64 {
        if self.count < 2 {
            return 1.0;
        }
        let mean = self.mean();
        ((self.squares - self.weights * mean * mean) / (self.count - 1) as f64).max(1.0)
    }

    /// The interval in which the mean lies at all moments together but for a chance of `alpha`; tightest near `best` figures.
    pub fn interval(&self, alpha: f64, best: f64) -> (f64, f64) {
        if self.count < 2 {
            return (f64::NEG_INFINITY, f64::INFINITY);
        }
        let log = -2.0 * alpha.ln();
        let rho = self.first * best.max(1.0) / (log + (log + 1.0).ln());
        let variance = self.weights;
        let boundary = ((variance + rho) * ((variance + rho) / (rho * alpha * alpha)).ln()).sqrt();
        let half = boundary / variance * self.overdispersion().sqrt();
        (self.mean() - half, self.mean() + half)
    }
}
