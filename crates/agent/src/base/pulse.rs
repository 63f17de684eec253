//! Notices that the whole process stood still: stopped, frozen, or starved of its core. What lies unread in its sockets when
//! it wakes came at a moment that nobody knows: its client may have left, and a drain that was told may be long due.
use std::cell::Cell;

use notchspool::units::Micros;

/// The agent looks after itself every 50 ms, and every 250 ms at the least. Not seen for longer, it did not run.
const STILL: Micros = Micros::ms(400);
/// What lay unread is read within this of waking.
const WAKING: Micros = Micros::ms(50);

/// Shared by all that reads from outside. Times are the agent's own clock's.
pub struct Pulse {
    last: Cell<Micros>,
    /// The latest pause: when it began and when it was noticed.
    pause: Cell<Option<(Micros, Micros)>>,
    pauses: Cell<u64>,
}

impl Pulse {
    pub fn new(now: Micros) -> Pulse {
        Pulse { last: Cell::new(now), pause: Cell::new(None), pauses: Cell::new(0) }
    }
    /// From here on requests can come: what came before, a large file to be read, is no pause.
    pub fn begin(&self, now: Micros) {
        self.last.set(now);
    }
    /// The process runs. Called by all that is called now and then, and before anything from outside is believed.
    pub fn beat(&self, now: Micros) {
        let last = self.last.replace(now);
        if now - last > STILL {
            self.pause.set(Some((last, now)));
            self.pauses.set(self.pauses.get() + 1);
            log::warn!("this process stood still for {} ms", (now - last).0 / 1000);
        }
    }
    /// When the pause began out of which the process is waking just now; none where it is awake.
    pub fn waking(&self, now: Micros) -> Option<Micros> {
        self.beat(now);
        self.pause.get().filter(|&(_, until)| now - until <= WAKING).map(|(from, _)| from)
    }
    /// How often it stood still.
    pub fn pauses(&self) -> u64 {
        self.pauses.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pause_is_noticed_by_whoever_looks_first_and_is_over_soon() {
        let pulse = Pulse::new(Micros(0));
        pulse.begin(Micros::ms(1000));
        pulse.beat(Micros::ms(1250));
        assert_eq!(pulse.waking(Micros::ms(1500)), None);
        assert_eq!(pulse.waking(Micros::ms(3500)), Some(Micros::ms(1500)));
        pulse.beat(Micros::ms(3510));
        assert_eq!(pulse.waking(Micros::ms(3549)), Some(Micros::ms(1500)));
        assert_eq!((pulse.waking(Micros::ms(3551)), pulse.pauses()), (None, 1));
    }
}
