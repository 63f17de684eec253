//! Which replica's endpoint registry a proxy watches: one of its own zone before others, so that an update crosses zones once for a replica,
//! not once for a proxy.

/// A replica in reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its address.
    pub address: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

/// Which replica is to be watched from now on. `None`: the one that is watched goes on, or there is none. `draw`: a chance in 0..1.
pub fn pick<'a>(
    own_zone: &str,
    watched: Option<&str>,
    candidates: &[Candidate<'a>],
    draw: f64,
) -> Option<&'a str> {
    let in_zone: Vec<&Candidate<'a>> = candidates.iter().filter(|c| c.zone == own_zone).collect();
    if let Some(watched) = watched
        && (in_zone.is_empty() || in_zone.iter().any(|candidate| candidate.address == watched))
    {
        return None;
    }
    let preferred = if in_zone.is_empty() { candidates.iter().collect() } else { in_zone };
    let index = (draw * preferred.len() as f64) as usize;
    preferred.get(index).map(|candidate| candidate.address)
}
