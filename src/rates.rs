//! How many txns a second each tenant sends, how near the SLA time answers come and how soon unused
//! connections end, at this agent and in the mean of those it hears from. No decisions here.
use crate::book::NEVER;
use crate::logic::Balancer;
use crate::units::Micros;

const SPAN: Micros = Micros::ms(2_000); // what came longer ago than this counts little
const SAMPLE: f64 = 0.05; // what one more agent's figures count, once many have been heard
const BODY: usize = 256; // bytes of a message

#[derive(Default)]
pub struct Rates {
    own: Vec<f64>, // by tenant; then how long an unused connection lasts, as a logarithm; then the stress
    mean: Vec<f64>,
    heard: f64,
    age: Micros,
}

impl Rates {
    pub fn of(tenants: usize) -> Rates {
        Rates { own: vec![0.0; tenants + 2], mean: vec![0.0; tenants + 2], heard: 0.0, age: Micros(0) }
    }
    /// One more txn of a tenant.
    pub fn add(&mut self, tenant: usize) {
        if let Some(own) = self.own.get_mut(tenant) {
            *own += 1.0 / SPAN.over(Micros::ms(1_000));
        }
    }
    /// Time passes; the stress is now this, and connections are not trusted that stood unused for `keep`.
    pub fn fade(&mut self, span: Micros, stress: f64, keep: Micros) {
        self.age = self.age + span;
        let left = (-span.over(SPAN)).exp();
        self.own.iter_mut().for_each(|own| *own *= left);
        if let [.., ends, own] = &mut self.own[..] {
            (*ends, *own) = (keep.over(Micros::ms(1)).max(1.0).ln(), stress);
        }
    }
    /// How long an unused connection lasts at an agent like any other. The mean is of logarithms: a few that
    /// were misled by a jam don't have all close what is sound.
    pub fn keep(&self) -> Micros {
        let mean = self.mean(self.own.len() - 2);
        if mean > 0.0 { Micros::ms(1).times(mean.exp()) } else { NEVER }
    }
    /// Whether figures have had the time to come together.
    pub fn known(&self) -> bool {
        self.age >= SPAN
    }
    pub fn stress(&self) -> f64 {
        self.mean(self.own.len() - 1)
    }
    /// Txns a second of a tenant at an agent like any other: the mean of what was heard, else what comes
    /// here.
    pub fn mean(&self, tenant: usize) -> f64 {
        let of = if self.heard > 0.0 { &self.mean } else { &self.own };
        of.get(tenant).copied().unwrap_or(0.0)
    }
    /// This agent's figures as a message: hundredths of a txn a second, by tenant.
    pub fn told(&self) -> String {
        let figures: Vec<String> = self.own.iter().map(|own| format!("{:.0}", own * 100.0)).collect();
        figures.join(" ").chars().take(BODY).collect()
    }
    /// Another agent's. What is not of this form is left out.
    pub fn hear(&mut self, told: &str) {
        let figures: Option<Vec<f64>> =
            told.split(' ').map(|f| f.parse::<u32>().ok().map(f64::from)).collect();
        let Some(figures) = figures.filter(|f| f.len() == self.mean.len()) else { return };
        self.heard += 1.0;
        let part = SAMPLE.max(1.0 / self.heard);
        for (mean, told) in self.mean.iter_mut().zip(figures) {
            *mean += part * (told / 100.0 - *mean);
        }
    }
}

impl Balancer {
    /// Another agent's figures, as it told them.
    pub fn heard(&mut self, told: &str) {
        self.rates.hear(told);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_in_ten_that_was_misled_has_nobody_close_what_is_sound() {
        let mut rates = Rates::of(0);
        assert_eq!(rates.keep(), NEVER);
        let (minute, fifth) = ("1100 0", "530 0");
        (0..200).for_each(|n| rates.hear(if n % 10 == 0 { fifth } else { minute }));
        assert!(rates.keep() > Micros::ms(15_000), "{:?}", rates.keep());
        (0..200).for_each(|_| rates.hear(fifth));
        assert!((190..210).contains(&(rates.keep().0 / 1000)), "{:?}", rates.keep());
    }
}
