//! How fast calls are admitted, after an outage above all: at a stated rate, renewals of known instances before new ones.
use notchspool::units::Micros;

/// A token bucket in which new instances leave half of the burst to renewals.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Calls a second.
    rate: f64,
    /// Calls at once.
    burst: f64,
    tokens: f64,
    refilled_at: Micros,
    /// Tokens that new instances leave to renewals.
    reserved: f64,
}

impl Admission {
    /// `rate`: calls a second; `burst`: calls at once. The bucket is full at first.
    pub fn new(rate: f64, burst: f64, now: Micros) -> Admission {
        let (rate, burst) = (rate.max(0.1), burst.max(1.0));
        Admission { rate, burst, tokens: burst, refilled_at: now, reserved: burst / 2.0 }
    }

    /// Admits a call; `known`: it renews what is known.
    ///
    /// # Errors
    ///
    /// The time after which it may be admitted at the rate there is.
    pub fn admit(&mut self, now: Micros, known: bool) -> Result<(), Micros> {
        let span = (now - self.refilled_at).0.max(0) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + span * self.rate).min(self.burst);
        let floor = if known { 0.0 } else { self.reserved };
        if self.tokens - floor >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Micros(((1.0 - (self.tokens - floor)) / self.rate * 1e6).ceil() as i64))
    }
}
