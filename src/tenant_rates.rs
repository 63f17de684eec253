//! Requests a second of each tenant, latency pressure, and how long idle connections last: at this balancer, and
//! the mean of the balancers that it hears from (gossip). No decisions here.
use crate::backend_state::NEVER;
use crate::units::Micros;

const SPAN: Micros = Micros::ms(2_000); // time constant: older requests count little
const SAMPLE: f64 = 0.05; // weight of one more message, once many have come
const MAX_MESSAGE: usize = 256; // bytes

/// The values of this balancer, and the mean of its peers'.
#[derive(Default)]
pub struct TenantRates {
    own: Vec<f64>, // by tenant; then the logarithm of how long an idle connection lasts; then the pressure
    mean: Vec<f64>,
    message_count: f64,
    age: Micros,
}

impl TenantRates {
    /// Values for so many tenants, all 0.
    pub fn new(tenants: usize) -> TenantRates {
        TenantRates {
            own: vec![0.0; tenants + 2],
            mean: vec![0.0; tenants + 2],
            message_count: 0.0,
            age: Micros(0),
        }
    }
    /// One more request of a tenant.
    pub fn record(&mut self, tenant: usize) {
        if let Some(own) = self.own.get_mut(tenant) {
            *own += 1.0 / SPAN.ratio_to(Micros::ms(1_000));
        }
    }
    /// Time has passed; `trusted_idle`: for how long idle connections are trusted now.
    pub fn fade(&mut self, span: Micros, pressure: f64, trusted_idle: Micros) {
        self.age = self.age + span;
        let left = (-span.ratio_to(SPAN)).exp();
        self.own.iter_mut().for_each(|own| *own *= left);
        if let [.., ends, own] = &mut self.own[..] {
            (*ends, *own) = (trusted_idle.ratio_to(Micros::ms(1)).max(1.0).ln(), pressure);
        }
    }
    /// How long an idle connection lasts, by the mean of all. The mean is of logarithms, so that a few that were
    /// misled by a jam do not make all close healthy connections.
    pub fn idle_trust(&self) -> Micros {
        let mean = self.mean(self.own.len() - 2);
        if mean > 0.0 { Micros::ms(1).times(mean.exp()) } else { NEVER }
    }
    /// Whether enough time has passed for the values to mean something.
    pub fn has_history(&self) -> bool {
        self.age >= SPAN
    }
    /// The mean pressure; see [`crate::state_transfer::LearnedState::pressure`].
    pub fn pressure(&self) -> f64 {
        self.mean(self.own.len() - 1)
    }
    /// Requests a second of a tenant at the average balancer: the mean of what peers say, else what comes here.
    pub fn mean(&self, tenant: usize) -> f64 {
        let of = if self.message_count > 0.0 { &self.mean } else { &self.own };
        of.get(tenant).copied().unwrap_or(0.0)
    }
    /// This balancer's values as a message: hundredths, separated by spaces.
    pub fn encode(&self) -> String {
        let figures: Vec<String> = self.own.iter().map(|own| format!("{:.0}", own * 100.0)).collect();
        figures.join(" ").chars().take(MAX_MESSAGE).collect()
    }
    /// A peer's message. One of another form is ignored.
    pub fn on_peer_rates(&mut self, message: &str) {
        let figures: Option<Vec<f64>> =
            message.split(' ').map(|f| f.parse::<u32>().ok().map(f64::from)).collect();
        let Some(figures) = figures.filter(|f| f.len() == self.mean.len()) else { return };
        self.message_count += 1.0;
        let part = SAMPLE.max(1.0 / self.message_count);
        for (mean, figure) in self.mean.iter_mut().zip(figures) {
            *mean += part * (figure / 100.0 - *mean);
        }
    }
}
