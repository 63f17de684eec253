//! A small histogram of response times with coarse exponential bins; halved now and then, so that old values fade.

const BINS: usize = 24;
/// Lower edge of the first bin in microseconds; each next one is larger by `STEP`.
const FIRST: f64 = 2_000.0;
const STEP: f64 = 1.35;

/// Response times in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Histogram {
    bins: [f64; BINS],
    count: f64,
    sum: f64,
}

impl Histogram {
    /// One more response time.
    pub fn add(&mut self, micros: i64) {
        let bin = ((micros.max(1) as f64 / FIRST).ln() / STEP.ln()).max(0.0) as usize;
        self.bins[bin.min(BINS - 1)] += 1.0;
        self.count += 1.0;
        self.sum += micros as f64;
        if self.count >= 256.0 {
            self.bins.iter_mut().for_each(|b| *b /= 2.0);
            self.count /= 2.0;
            self.sum /= 2.0;
        }
    }
    /// Its content as numbers: the bins, then the sum in microseconds. [`Histogram::from_parts`] reads it.
    pub fn to_parts(&self) -> Vec<f64> {
        self.bins.iter().copied().chain([self.sum]).collect()
    }
    /// The histogram with this content; `None` where the numbers are not one's.
    pub fn from_parts(parts: &[f64]) -> Option<Histogram> {
        let (sum, bins) = parts.split_last()?;
        let bins: [f64; BINS] = bins.try_into().ok()?;
        let sound = parts.iter().all(|part| part.is_finite() && *part >= 0.0);
        let count = bins.iter().sum();
        (sound && count < 512.0 && *sum <= count * 1e10).then_some(Histogram { bins, count, sum: *sum })
    }
    /// The mean in microseconds, once something was measured.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
    /// The time in microseconds that the given share, 0 to 1, of what was measured stays under, interpolated within
    /// its bin; `None` before the first value.
    pub fn quantile(&self, share: f64) -> Option<i64> {
        let mut left = share * self.count;
        if self.count <= 0.0 {
            return None;
        }
        for (i, bin) in self.bins.iter().enumerate() {
            if left <= *bin {
                return Some((FIRST * STEP.powf(i as f64 + left / bin.max(1e-9))) as i64);
            }
            left -= bin;
        }
        Some((FIRST * STEP.powi(BINS as i32)) as i64)
    }
}
