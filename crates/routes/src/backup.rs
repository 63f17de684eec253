//! When a backup pool steps in for its primary, and how the way back goes.
//!
//! The primary comes first as long as it can take anything. It is *out* once a txn came back from it unserved while none of
//! its backends was sound. Then all txns go to the backup, but for a lot that grows: a primary that serves what it
//! is tried with gets twice as much each step, one that fails begins anew, after twice the wait. Its own module
//! keeps its cold backends safe meanwhile: what it turns away goes to the backup too.
//!
//! Held always, and tried by `tests/choices.rs`: a once-only txn that may have run, or a reference outside its group, never
//! goes to the backup; the backup is not asked while the primary is in and took the txn.
use notchspool::units::{DeduplicationScope, Micros, RequestKind};
use oorandom::Rand64;

/// Tried with this share first.
const FIRST: f64 = 0.02;
/// Twice as much, each time this has passed and the primary served all of it but one in twenty.
const STEP: Micros = Micros::ms(1_000);
const FAILS: f64 = 0.05;
/// How long a primary that is out is left alone; twice as long each time it fails again, up to the last.
const WAIT: Micros = Micros::ms(1_000);
const LAST_WAIT: Micros = Micros::ms(30_000);

/// How a txn came back from the primary without being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unserved {
    pub kind: RequestKind,
    pub group: DeduplicationScope,
    /// A posting of it may have run.
    pub may_have_run: bool,
    /// Backends of the primary that were sound at that moment.
    pub sound: usize,
    /// It was posted at all.
    pub posted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Primary {
    In,
    /// Left alone until then.
    Out(Micros),
    /// Tried since then.
    Back(Micros),
}

#[derive(Clone, Debug)]
pub struct Backup {
    primary: Primary,
    part: f64,
    wait: Micros,
    tried: f64,
    failed: f64,
    chance: Rand64,
}

impl Backup {
    pub fn new(seed: u64) -> Backup {
        Backup {
            primary: Primary::In,
            part: 1.0,
            wait: WAIT,
            tried: 0.0,
            failed: 0.0,
            chance: Rand64::new(seed.into()),
        }
    }

    /// Whether this txn is to go to the primary; else it goes to the backup at once.
    pub fn primary_first(&mut self, now: Micros) -> bool {
        match self.primary {
            Primary::In => true,
            Primary::Out(until) if now < until => false,
            Primary::Out(_) => {
                (self.primary, self.part) = (Primary::Back(now), FIRST);
                (self.tried, self.failed) = (0.0, 0.0);
                self.chance.rand_float() < self.part
            }
            Primary::Back(_) => self.chance.rand_float() < self.part,
        }
    }

    /// The primary served a txn.
    pub fn served(&mut self, now: Micros) {
        if let Primary::Back(since) = self.primary {
            self.tried += 1.0;
            if now - since < STEP || self.failed > FAILS * self.tried {
                return;
            }
            self.part *= 2.0;
            (self.primary, self.tried, self.failed) = (Primary::Back(now), 0.0, 0.0);
            if self.part >= 1.0 {
                (self.primary, self.part, self.wait) = (Primary::In, 1.0, WAIT);
            }
        }
    }

    /// The primary did not serve it. True: it may go to the backup now.
    pub fn unserved(&mut self, now: Micros, txn: Unserved) -> bool {
        let dead = txn.sound == 0;
        match self.primary {
            Primary::In if dead => self.primary = Primary::Out(now + self.wait),
            Primary::Back(_) => {
                (self.tried, self.failed) = (self.tried + 1.0, self.failed + 1.0);
                if dead || (self.failed >= 3.0 && self.failed > 0.5 * self.tried) {
                    self.wait = self.wait.times(2.0).min(LAST_WAIT);
                    self.primary = Primary::Out(now + self.wait);
                }
            }
            _ => {}
        }
        // While it is in and has sound backends, what it declines is overload, and the backup is no spillway.
        let out = self.primary != Primary::In;
        out && may_move(&txn)
    }

    /// Where the primary stands, for those who ask.
    pub fn state(&self) -> (&'static str, f64) {
        match self.primary {
            Primary::In => ("in", 1.0),
            Primary::Out(_) => ("out", 0.0),
            Primary::Back(_) => ("back", self.part),
        }
    }
}

/// Whether a txn may leave its pool for another one without running twice.
pub fn may_move(txn: &Unserved) -> bool {
    match txn.kind {
        RequestKind::Idempotent => true,
        // Another pool is another group: it remembers nothing of what may have run here.
        RequestKind::Keyed | RequestKind::NonIdempotent => !txn.may_have_run,
    }
}
