//! Numbers that all participants have to agree on.
use notchspool::units::Micros;

/// How many vote, and how long things take. The same for all who take part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Parameters {
    /// Number of voters: 1, 3 or 5.
    pub voters: usize,
    /// Length of a lease.
    pub lease: Micros,
    /// No clock gains or loses more than this, in parts per million.
    pub drift_ppm: u32,
    /// A request without a response is sent again after this.
    pub retry_interval: Micros,
    /// After a promise to one contender a voter puts off the others for this long.
    pub contender_turn: Micros,
}

impl Parameters {
    /// Intervals as fit a lease of this length.
    pub fn new(voters: usize, lease: Micros) -> Parameters {
        let retry_interval = Micros((lease.0 / 12).clamp(20_000, 500_000));
        let contender_turn = Micros((lease.0 / 10).max(20_000));
        Parameters { voters, lease, drift_ppm: 5_000, retry_interval, contender_turn }
    }

    /// The least number of voters that overlaps every other such number.
    pub fn majority(&self) -> usize {
        self.voters / 2 + 1
    }

    /// How long a voter keeps to a lease of this length: the holder's clock may lose what the voter's gains.
    pub(crate) fn lease_at_voter(&self, duration: Micros) -> Micros {
        const MARGIN_US: i64 = 1_000;
        let drift = duration.0 / 1_000_000 * 2 * i64::from(self.drift_ppm);
        Micros(duration.0.saturating_add(drift + MARGIN_US))
    }
}
