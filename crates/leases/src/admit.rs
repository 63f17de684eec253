//! How fast calls are let in, after an outage above all: a stated rate, and those that are known before those that are new.
use notchspool::units::Micros;

#[derive(Clone, Debug)]
pub struct Admission {
    /// Calls a second, and how many at once.
    rate: f64,
    burst: f64,
    saved: f64,
    at: Micros,
    /// Of what is saved, new names leave this much to renewals.
    kept_back: f64,
}

impl Admission {
    pub fn new(rate: f64, burst: f64, now: Micros) -> Admission {
        let (rate, burst) = (rate.max(0.1), burst.max(1.0));
        Admission { rate, burst, saved: burst, at: now, kept_back: burst / 2.0 }
    }
    /// Whether a call is let in now; else after which time it may be, at the rate there is.
    pub fn admit(&mut self, now: Micros, known: bool) -> Result<(), Micros> {
        let span = (now - self.at).0.max(0) as f64 / 1e6;
        self.at = self.at.max(now);
        self.saved = (self.saved + span * self.rate).min(self.burst);
        let floor = if known { 0.0 } else { self.kept_back };
        if self.saved - floor >= 1.0 {
            self.saved -= 1.0;
            return Ok(());
        }
        Err(Micros(((1.0 - (self.saved - floor)) / self.rate * 1e6).ceil() as i64))
    }
}
