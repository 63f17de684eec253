//! Further tries. Over all agents together a service may get so many arrivals past the first of each request, as a part of its requests
//! in a window, and a slack. Each agent spends only what its own requests have earned: half of the part (the rest is for calls made by
//! runs that were repeats themselves), saved up to its share of half the slack. It begins with nothing, so that agents
//! that start anew, however often, add nothing.
use notchspool::units::Micros;

#[derive(Clone, Copy, Debug)]
pub struct Purse {
    saved: f64,
    part: f64,
    most: f64,
    fade: Micros,
    at: Micros,
}

impl Purse {
    /// `ratio` and `slack` of the rules, `window` over which they are counted, `agents` at most that spend.
    pub fn open(ratio: f64, slack: f64, window: Micros, agents: usize, now: Micros) -> Purse {
        let most = (slack / 2.0 / agents.max(1) as f64).max(1.0);
        Purse { saved: 0.0, part: ratio / 2.0, most, fade: window, at: now }
    }
    /// One more agent or fewer.
    pub fn agents(&mut self, slack: f64, agents: usize) {
        self.most = (slack / 2.0 / agents.max(1) as f64).max(1.0);
        self.saved = self.saved.min(self.most);
    }
    /// A request for the service began here.
    pub fn earn(&mut self, now: Micros) {
        let gone = (now - self.at).over(self.fade).min(1.0);
        self.at = now;
        self.saved = (self.saved * (1.0 - gone) + self.part).min(self.most);
    }
    /// A further arrival; false where there is no room for it.
    pub fn spend(&mut self) -> bool {
        let may = self.saved >= 1.0;
        if may {
            self.saved -= 1.0;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_agents_together_stay_within_part_and_slack() {
        let (ratio, slack, window) = (0.2, 60.0, Micros::ms(10_000));
        let now = Micros::ms(1);
        let mut purses = vec![Purse::open(ratio, slack, window, 16, now); 16];
        let (mut requests, mut spent) = (0, 0);
        for n in 0..4_000 {
            let purse = &mut purses[n % 16];
            purse.earn(now);
            requests += 1;
            while purse.spend() {
                spent += 1;
            }
        }
        assert!(f64::from(spent) <= ratio * f64::from(requests) + slack, "{spent} of {requests}");
        assert!(spent > 300, "{spent}");
    }

    #[test]
    fn who_starts_anew_has_nothing() {
        assert!(!Purse::open(0.2, 60.0, Micros::ms(10_000), 1, Micros(1)).spend());
    }
}
