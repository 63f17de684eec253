//! When a backup pool steps in for its primary, and how requests return.
//!
//! The primary comes first as long as it can take anything. It is *out* once a request came back from it unserved while none of its backends
//! was healthy. Then all requests go to the backup, but for a fraction that grows: a primary that serves what it is tried with gets twice as
//! much each step, one that fails is left alone again, for twice as long. The module of the primary keeps its backends that are warming up
//! safe meanwhile: what it rejects goes to the backup too.
//!
//! Invariants (`tests/pools.rs`): a non-idempotent request that may have run, or a keyed one outside its deduplication scope, never goes to the
//! backup; the backup is not asked while the primary is in and took the request.
use notchspool::units::{DeduplicationScope, Micros, RequestKind};
use oorandom::Rand64;

/// The fraction that a returning primary is tried with first.
const FIRST_FRACTION: f64 = 0.02;
/// The fraction is doubled each time this has passed and the primary failed no more than the tolerated part of it.
const STEP: Micros = Micros::ms(1_000);
const TOLERATED_FAILURES: f64 = 0.05;
/// A returning primary fails when it failed so many, and over half of what it was tried with.
const MIN_FAILURES: f64 = 3.0;
const FAILED_FRACTION: f64 = 0.5;
/// How long a primary that is out is left alone, at first and at most; doubled each time it fails again.
const MIN_WAIT: Micros = Micros::ms(1_000);
const MAX_WAIT: Micros = Micros::ms(30_000);

/// How a request came back from the primary without being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnservedRequest {
    /// How it may be repeated.
    pub kind: RequestKind,
    /// Where a repeat of it is recognised.
    pub scope: DeduplicationScope,
    /// An attempt of it may have run.
    pub may_have_run: bool,
    /// Backends of the primary that were healthy at that moment.
    pub healthy_backends: usize,
    /// It was sent to a backend at all.
    pub was_attempted: bool,
}

impl UnservedRequest {
    /// Whether it may leave its pool for another one without running twice. Another pool is another deduplication scope: it remembers nothing
    /// of what may have run here.
    pub fn may_move(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::Keyed | RequestKind::NonIdempotent => !self.may_have_run,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Primary {
    In,
    /// Left alone until this time.
    Out(Micros),
    /// Tried with a fraction of the requests, in a step that began at this time.
    Returning(Micros),
}

/// Where the primary stands, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrimaryState {
    /// `in`, `out` or `back`.
    pub name: &'static str,
    /// The fraction of requests that it is asked for first.
    pub fraction: f64,
}

/// The choice between a primary pool and its backup.
#[derive(Clone, Debug)]
pub struct Failover {
    primary: Primary,
    fraction: f64,
    wait: Micros,
    /// Requests of this step, and those that failed.
    tried: f64,
    failed: f64,
    rng: Rand64,
}

impl Failover {
    /// A primary that is in.
    pub fn new(seed: u64) -> Failover {
        Failover {
            primary: Primary::In,
            fraction: 1.0,
            wait: MIN_WAIT,
            tried: 0.0,
            failed: 0.0,
            rng: Rand64::new(seed.into()),
        }
    }

    /// Whether a request goes to the primary; else it goes to the backup at once.
    pub fn choose_primary(&mut self, now: Micros) -> bool {
        match self.primary {
            Primary::In => true,
            Primary::Out(until) if now < until => false,
            Primary::Out(_) => {
                self.fraction = FIRST_FRACTION;
                self.begin_step(now);
                self.draw()
            }
            Primary::Returning(_) => self.draw(),
        }
    }

    fn draw(&mut self) -> bool {
        self.rng.rand_float() < self.fraction
    }

    fn begin_step(&mut self, now: Micros) {
        self.primary = Primary::Returning(now);
        (self.tried, self.failed) = (0.0, 0.0);
    }

    /// The primary served a request.
    pub fn on_served(&mut self, now: Micros) {
        let Primary::Returning(since) = self.primary else { return };
        self.tried += 1.0;
        if now - since < STEP || self.failed > TOLERATED_FAILURES * self.tried {
            return;
        }
        self.fraction *= 2.0;
        self.begin_step(now);
        if self.fraction >= 1.0 {
            (self.primary, self.fraction, self.wait) = (Primary::In, 1.0, MIN_WAIT);
        }
    }

    /// The primary did not serve a request. Returns whether it may go to the backup now.
    pub fn on_unserved(&mut self, now: Micros, request: UnservedRequest) -> bool {
        let is_dead = request.healthy_backends == 0;
        match self.primary {
            Primary::In if is_dead => self.primary = Primary::Out(now + self.wait),
            Primary::Returning(_) => {
                (self.tried, self.failed) = (self.tried + 1.0, self.failed + 1.0);
                let fails = self.failed >= MIN_FAILURES && self.failed > FAILED_FRACTION * self.tried;
                if is_dead || fails {
                    self.wait = self.wait.times(2.0).min(MAX_WAIT);
                    self.primary = Primary::Out(now + self.wait);
                }
            }
            _ => {}
        }
        // While it is in and has healthy backends, what it rejects is overload, and the backup is not there for that.
        self.primary != Primary::In && request.may_move()
    }

    /// Where the primary stands.
    pub fn state(&self) -> PrimaryState {
        match self.primary {
            Primary::In => PrimaryState { name: "in", fraction: 1.0 },
            Primary::Out(_) => PrimaryState { name: "out", fraction: 0.0 },
            Primary::Returning(_) => PrimaryState { name: "back", fraction: self.fraction },
        }
    }
}
