//! How many instances may be unavailable at once.
use std::collections::BTreeMap;

/// Keeps a product that ought to be whole, such as a quarter of eight, from being rounded down to one less.
const ROUNDING: f64 = 1e-9;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    unavailable: usize,
    all: usize,
}

impl Counts {
    /// Whether one more may become unavailable at this fraction; one always may where none is.
    fn allows(self, max_unavailable: f64) -> bool {
        let most = ((max_unavailable * self.all as f64 + ROUNDING).floor() as usize).max(1);
        self.unavailable < most
    }
}

/// Instances and those of them that are unavailable, by zone and in all.
#[derive(Clone, Debug, Default)]
pub struct DisruptionBudget {
    zones: BTreeMap<String, Counts>,
    fleet: Counts,
}

impl DisruptionBudget {
    /// Counts an instance.
    pub fn add_instance(&mut self, zone: &str, unavailable: bool) {
        let zone = self.zones.entry(zone.to_owned()).or_default();
        for counts in [zone, &mut self.fleet] {
            counts.unavailable += usize::from(unavailable);
            counts.all += 1;
        }
    }

    /// Whether one more of this zone may become unavailable, at this fraction of the zone and of the fleet.
    pub fn allows(&self, zone: &str, max_unavailable: f64) -> bool {
        let zone = self.zones.get(zone).copied().unwrap_or_default();
        zone.allows(max_unavailable) && self.fleet.allows(max_unavailable)
    }

    /// One more of this zone becomes unavailable.
    pub fn take(&mut self, zone: &str) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.unavailable += 1;
        }
        self.fleet.unavailable += 1;
    }
}
