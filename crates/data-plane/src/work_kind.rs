//! What tells kinds of work apart at a backend.

/// A kind of work. Requests that agree in this are alike to admission: none goes before another but by its age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkKind {
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Latency target of the route: work with the same one takes about as long.
    pub latency_target_ms: u32,
}
