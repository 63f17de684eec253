//! How many may be out at once, and when no more are told.
use std::collections::BTreeMap;

/// Who is out, of whom, by zone and in all.
#[derive(Clone, Debug, Default)]
pub struct Tide {
    zones: BTreeMap<String, (usize, usize)>,
    out: usize,
    all: usize,
}

impl Tide {
    pub fn count(&mut self, zone: &str, out: bool) {
        let (gone, all) = self.zones.entry(zone.to_owned()).or_default();
        (*gone, *all) = (*gone + usize::from(out), *all + 1);
        self.out += usize::from(out);
        self.all += 1;
    }
    /// Whether one more of that zone may go out, at `part` of the zone and of all; one always may where nobody is out.
    pub fn may(&self, zone: &str, part: f64) -> bool {
        let most = |all: usize| ((part * all as f64 + 1e-9).floor() as usize).max(1);
        let (out, all) = self.zones.get(zone).copied().unwrap_or_default();
        out < most(all) && self.out < most(self.all)
    }
    pub fn goes(&mut self, zone: &str) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.0 += 1;
        }
        self.out += 1;
    }
}

/// Txns of the fleet, settled and all, as its instances count them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    pub settled: u64,
    pub all: u64,
}

impl Service {
    pub fn add(&mut self, settled: u64, all: u64) {
        self.settled += settled;
        self.all += all;
    }
    pub fn since(self, then: Service) -> Service {
        Service { settled: self.settled - then.settled, all: self.all - then.all }
    }
    pub fn part(self) -> Option<f64> {
        (self.all > 0).then(|| self.settled as f64 / self.all as f64)
    }
}

/// So much of the settled part may be lost before a wave is halted, and so many txns must have been answered to say so.
const FALL: f64 = 0.05;
const LEAST: u64 = 50;

/// Why no more are told, if so. `bad`: instances that refused, failed or are unknown, of `of` that are meant; `before`: the settled
/// part before the order came.
pub fn halts(bad: usize, of: usize, before: Option<f64>, since: Service) -> Option<String> {
    if bad > (of / 10).max(1) {
        return Some(format!("{bad} of {of} instances refused, failed or were lost"));
    }
    let (before, now) = (before?, since.part()?);
    (since.all >= LEAST && now < before - FALL)
        .then(|| format!("service fell from {before:.3} to {now:.3} of {} txns", since.all))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_part_of_a_zone_and_of_all_may_be_out_and_one_always() {
        let mut tide = Tide::default();
        (0..8).for_each(|n| tide.count(if n < 4 { "a" } else { "b" }, false));
        assert!(tide.may("a", 0.25));
        tide.goes("a");
        assert!(!tide.may("a", 0.25), "a quarter of four is one");
        assert!(tide.may("b", 0.25));
        tide.goes("b");
        assert!(!tide.may("b", 0.25));
        assert!(tide.may("b", 1.0));
        let mut one = Tide::default();
        one.count("a", false);
        assert!(one.may("a", 0.01));
    }

    #[test]
    fn a_wave_halts_on_failures_and_on_a_fall_of_service_with_evidence() {
        let since = |settled, all| Service { settled, all };
        assert_eq!(halts(1, 5, None, since(0, 0)), None, "one may be anybody's");
        assert!(halts(2, 5, None, since(0, 0)).is_some());
        assert_eq!(halts(4, 40, None, since(0, 0)), None);
        assert_eq!(halts(0, 40, Some(0.99), since(10, 40)), None, "too little to say so");
        assert!(halts(0, 40, Some(0.99), since(60, 100)).is_some());
        assert_eq!(halts(0, 40, Some(0.60), since(60, 100)), None, "it was so before");
    }
}
