//! For how long a connection that stands unused is trusted.
use crate::book::NEVER;
use crate::units::Micros;

/// What is known of connections that end unseen while they stand unused.
#[derive(Clone, Copy, Debug)]
pub struct Trust {
    pub silences: u32, // in a row on connections that had stood unused
    pub keep: Micros,  // those that stood for longer are not trusted
}

impl Trust {
    pub fn open(idle_close: Micros) -> Trust {
        let keep = if idle_close > Micros(0) { idle_close.times(0.8) } else { NEVER };
        Trust { silences: 0, keep }
    }
    /// Nothing came on one that had stood for so long. Once is chance.
    pub fn silent(&mut self, stood: Micros) {
        self.silences += u32::from(stood > Micros(0));
        if self.silences > 1 && stood > Micros(0) {
            self.keep = self.keep.min(stood.times(0.7));
        }
    }
    pub fn answered(&mut self, stood: Micros) {
        if stood > Micros(0) {
            self.silences = 0;
        }
        if stood > self.keep {
            self.keep = stood.times(1.25);
        }
    }
}
