//! For how long an idle connection is trusted: some networks drop one without a word.
use crate::backend_state::NEVER;
use crate::units::Micros;

/// What is known of connections that ended unseen while they were idle.
#[derive(Clone, Copy, Debug)]
pub struct IdleTrust {
    pub silences: u32,        // in a row on connections that had been idle
    pub trusted_idle: Micros, // connections that were idle for longer are not trusted
}

impl IdleTrust {
    /// Before anything is known: what the backends' idle timeout says, if that is known.
    pub fn new(idle_timeout: Micros) -> IdleTrust {
        let trusted_idle = if idle_timeout > Micros(0) { idle_timeout.times(0.8) } else { NEVER };
        IdleTrust { silences: 0, trusted_idle }
    }
    /// No answer came on a connection that had been idle for so long. Once is chance.
    pub fn on_silence(&mut self, idle_for: Micros) {
        self.silences += u32::from(idle_for > Micros(0));
        if self.silences > 1 && idle_for > Micros(0) {
            self.trusted_idle = self.trusted_idle.min(idle_for.times(0.7));
        }
    }
    /// An answer came on a connection that had been idle for so long.
    pub fn on_answer(&mut self, idle_for: Micros) {
        if idle_for > Micros(0) {
            self.silences = 0;
        }
        if idle_for > self.trusted_idle {
            self.trusted_idle = idle_for.times(1.25);
        }
    }
}
