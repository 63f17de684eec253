//! What a list can't mean: sizes that are none, starts that have not come yet, one id twice, the agent's own address. A figure that is wrong changes
//! nothing: the last good one stays. The rest of its entry counts, above all that a backend drains.
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use notchspool::units::{BackendId, EndpointStatus, Micros};
use notchspool_settings::own_address::reaches_listener;

use super::list_row::ListRow;

/// Sizes only compare; what lies outside is no size.
const SIZES: RangeInclusive<f64> = 1e-6..=1e6;
const DEFAULT_SIZE: f64 = 1.0;
/// Clocks of others may differ from ours by so much.
const CLOCK_TOLERANCE: Micros = Micros::ms(1_000);

/// What was last believed of each backend.
#[derive(Debug, Default)]
pub struct EntryChecker {
    believed: BTreeMap<BackendId, Believed>,
    /// Where the agent itself listens.
    own_addresses: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Believed {
    size: f64,
    /// The start as the list stated it, and from when it counts.
    stated_start: Micros,
    start: Micros,
}

/// The clocks at the moment at which an entry is checked.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Now, by the agent's clock.
    pub now: Micros,
    /// How far the machine's clock, by which starts are stated, was set ahead of the agent's.
    pub machine_ahead: Micros,
}

/// Which field is wrong, and how; for the log.
pub type FieldComplaint = String;

impl EntryChecker {
    /// For an agent that listens there.
    pub fn new(own_addresses: Vec<SocketAddr>) -> EntryChecker {
        EntryChecker { believed: BTreeMap::new(), own_addresses }
    }

    /// Whether an attempt there would come back to the agent itself.
    pub fn is_own(&self, address: SocketAddr) -> bool {
        self.own_addresses.iter().any(|own| reaches_listener(*own, address))
    }

    /// Puts what can be believed in place of what can't. `is_new`: the number is another backend's than before.
    pub fn correct(
        &mut self,
        id: BackendId,
        is_new: bool,
        row: &mut ListRow,
        clock: ClockReading,
    ) -> Vec<FieldComplaint> {
        if is_new {
            self.believed.remove(&id);
        }
        let before = self.believed.get(&id);
        let stated_start = row.entry.started;
        let complaints =
            [correct_size(before, row), correct_start(before, row, clock)].into_iter().flatten().collect();
        let (size, start) = (row.entry.size, row.entry.started);
        self.believed.insert(id, Believed { size, stated_start, start });
        complaints
    }
}

fn correct_size(before: Option<&Believed>, row: &mut ListRow) -> Option<FieldComplaint> {
    if SIZES.contains(&row.entry.size) {
        return None;
    }
    let size = before.map_or(DEFAULT_SIZE, |believed| believed.size);
    let complaint = format!("{}: field `size`: {:e} is none, {size} counts", row.name, row.entry.size);
    row.entry.size = size;
    Some(complaint)
}

fn correct_start(
    before: Option<&Believed>,
    row: &mut ListRow,
    clock: ClockReading,
) -> Option<FieldComplaint> {
    let stated = row.entry.started;
    if let Some(same) = before.filter(|believed| believed.stated_start == stated) {
        // One process has one start, whatever becomes of clocks.
        row.entry.started = same.start;
        return None;
    }
    if stated <= Micros(0) {
        return None;
    }
    // The warm-up, and what is held against a process, count from its start.
    let ahead = clock.machine_ahead;
    let was_set = ahead > CLOCK_TOLERANCE || ahead < Micros(0) - CLOCK_TOLERANCE;
    row.entry.started = if was_set { stated - ahead } else { stated };
    if row.entry.started <= clock.now + CLOCK_TOLERANCE {
        return None;
    }
    row.entry.started = clock.now;
    Some(format!("{}: field `up_since_ms` lies in the future, it counts from now", row.name))
}

/// The rows of a list without duplicates.
#[derive(Debug)]
pub struct MergedRows {
    /// One row for each name: of several the worst status, at the first address.
    pub rows: Vec<ListRow>,
    /// Names that came twice.
    pub duplicates: BTreeSet<String>,
}

/// Merges rows of one name.
pub fn merge_duplicates(rows: Vec<ListRow>) -> MergedRows {
    let mut merged = MergedRows { rows: Vec::new(), duplicates: BTreeSet::new() };
    let mut indices = BTreeMap::new();
    for row in rows {
        let Some(&index) = indices.get(&row.name) else {
            indices.insert(row.name.clone(), merged.rows.len());
            merged.rows.push(row);
            continue;
        };
        let first: &mut ListRow = &mut merged.rows[index];
        if severity(row.entry.status) > severity(first.entry.status) {
            first.entry.status = row.entry.status;
        }
        merged.duplicates.insert(row.name);
    }
    merged
}

fn severity(status: EndpointStatus) -> u8 {
    match status {
        EndpointStatus::Ready => 0,
        EndpointStatus::Draining => 1,
        EndpointStatus::Gone => 2,
    }
}
