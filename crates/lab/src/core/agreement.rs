//! What clients, backends and agents agreed on, by which a run is judged.
use super::backend::Cold;
use super::kit::*;

/// How a request class may be repeated.
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    /// Its kind.
    pub kind: RequestKind,
    /// Within which backends a repeat is recognized.
    pub group: DeduplicationScope,
    /// For how long.
    pub window: Micros,
}

/// Where a backend stands, and the work that it can do when warm, in microseconds a microsecond.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: u64,
    /// The work.
    pub able: f64,
}

/// What the auditor judges by.
#[derive(Clone, Debug, Default)]
pub struct Agreement {
    /// By request class.
    pub schemes: Vec<Repeats>,
    /// By backend.
    pub places: Vec<Place>,
    /// What a new process can do, and what pushes it over; none: rule 4 is judged by those that fell.
    pub cold: Option<Cold>,
    /// For how long a draining backend may still be sent requests; none: rule 3 is not judged.
    pub drain_grace: Option<Micros>,
    /// Attempts of a request at most.
    pub most_postings: usize,
    /// By how much the books of two processes may differ in time.
    pub slack: Micros,
    /// How long a connection may take to come up: nothing of it is in the books.
    pub connect_within: Micros,
}
