//! What a list can't mean: sizes that are none, starts that have not come yet, one id twice, the agent's own address. A wrong figure
//! changes nothing: the last good one stays. The rest of its entry is news, above all that a backend drains.
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use notchspool::units::{BackendId, EndpointStatus, Micros};
use notchspool_settings::own::comes_back;

use super::list::Row;

/// Sizes only compare; what lies outside is no size.
const SIZES: std::ops::RangeInclusive<f64> = 1e-6..=1e6;
/// Clocks of others may run ahead of ours by so much.
const AHEAD: Micros = Micros::ms(1_000);

/// What was last believed of each backend.
#[derive(Debug, Default)]
pub struct Figures {
    held: BTreeMap<BackendId, Held>,
    /// Where the agent itself listens.
    own: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Held {
    size: f64,
    /// The start as it was told, and from when it counts.
    told: Micros,
    started: Micros,
}

/// Which field is wrong, and how.
pub type Wrong = String;

impl Figures {
    pub fn new(own: Vec<SocketAddr>) -> Figures {
        Figures { held: BTreeMap::new(), own }
    }

    /// Whether a posting there would come back to the agent itself.
    pub fn is_own(&self, at: SocketAddr) -> bool {
        self.own.iter().any(|own| comes_back(*own, at))
    }

    /// Puts what can be believed in place of what can't. `new`: the number is another backend's than before. `ahead`: how far
    /// the machine's clock, by which starts are told, was set ahead of ours.
    pub fn mend(
        &mut self,
        id: BackendId,
        new: bool,
        row: &mut Row,
        now: Micros,
        ahead: Micros,
    ) -> Vec<Wrong> {
        let mut wrong = Vec::new();
        if new {
            self.held.remove(&id);
        }
        let before = self.held.get(&id);
        if !SIZES.contains(&row.entry.size) {
            let size = before.map_or(1.0, |held| held.size);
            wrong.push(format!("{}: field `size`: {:e} is none, {size} counts", row.name, row.entry.size));
            row.entry.size = size;
        }
        let told = row.entry.started;
        let set = ahead > AHEAD || ahead < Micros(0) - AHEAD;
        if let Some(same) = before.filter(|held| held.told == told) {
            // One process has one start, whatever becomes of clocks.
            row.entry.started = same.started;
        } else if told > Micros(0) {
            // A cold span and what is held against a process count from its start.
            row.entry.started = if set { told - ahead } else { told };
            if row.entry.started > now + AHEAD {
                wrong.push(format!(
                    "{}: field `up_since_ms` lies in the future, it counts from now",
                    row.name
                ));
                row.entry.started = now;
            }
        }
        self.held.insert(id, Held { size: row.entry.size, told, started: row.entry.started });
        wrong
    }
}

/// One row for each id: of several the worst standing, at the first address. Tells which ids came twice.
pub fn once(rows: Vec<Row>) -> (Vec<Row>, BTreeSet<String>) {
    let (mut kept, mut places, mut twice) = (Vec::<Row>::new(), BTreeMap::new(), BTreeSet::new());
    let rank = |standing| match standing {
        EndpointStatus::Ready => 0,
        EndpointStatus::Draining => 1,
        EndpointStatus::Gone => 2,
    };
    for row in rows {
        match places.get(&row.name) {
            None => {
                places.insert(row.name.clone(), kept.len());
                kept.push(row);
            }
            Some(&at) => {
                let first: &mut Row = &mut kept[at];
                if rank(row.entry.status) > rank(first.entry.status) {
                    first.entry.status = row.entry.status;
                }
                twice.insert(row.name);
            }
        }
    }
    (kept, twice)
}

#[cfg(test)]
mod tests {
    use notchspool::units::ListEntry;
    use rstest::rstest;

    use super::*;

    fn row(size: f64, started: i64) -> Row {
        let entry = ListEntry { size, started: Micros::ms(started), ..ListEntry::default() };
        Row {
            name: "b".into(),
            at: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: String::new(),
            model: String::new(),
            entry,
        }
    }

    /// The machine's clock was set a minute ahead: what starts then starts now by ours, and is cold.
    #[test]
    fn a_clock_that_was_set_moves_no_start() {
        let mut figures = Figures::default();
        let (mut first, mut again, mut next) = (row(1.0, 9_000), row(1.0, 9_000), row(1.0, 70_000));
        figures.mend(BackendId(0), true, &mut first, Micros::ms(9_500), Micros(0));
        figures.mend(BackendId(0), false, &mut again, Micros::ms(10_000), Micros::ms(60_000));
        assert_eq!(again.entry.started, Micros::ms(9_000), "the same process");
        assert!(
            figures.mend(BackendId(0), false, &mut next, Micros::ms(10_100), Micros::ms(60_000)).is_empty()
        );
        assert_eq!(next.entry.started, Micros::ms(10_000), "a new one");
    }

    #[rstest]
    #[case::nothing(0.0)]
    #[case::below(-4.0)]
    #[case::huge(1e300)]
    #[case::none(f64::NAN)]
    fn a_wrong_size_leaves_the_last_good_one(#[case] size: f64) {
        let mut figures = Figures::default();
        let mut first = row(size, 0);
        assert_eq!(figures.mend(BackendId(0), true, &mut first, Micros::ms(5), Micros(0)).len(), 1);
        assert_eq!(first.entry.size, 1.0);
        assert!(figures.mend(BackendId(0), false, &mut row(2.5, 0), Micros::ms(5), Micros(0)).is_empty());
        let mut again = row(size, 0);
        figures.mend(BackendId(0), false, &mut again, Micros::ms(5), Micros(0));
        assert_eq!(again.entry.size, 2.5);
    }

    #[test]
    fn a_start_in_the_future_counts_from_when_it_was_first_heard() {
        let mut figures = Figures::default();
        let mut heard = |told, now| {
            let mut row = row(1.0, told);
            let wrong = figures.mend(BackendId(0), false, &mut row, Micros::ms(now), Micros(0)).len();
            (row.entry.started, wrong)
        };
        assert_eq!(heard(90_000, 5_000), (Micros::ms(5_000), 1));
        assert_eq!(heard(90_000, 7_000), (Micros::ms(5_000), 0), "the same process");
        assert_eq!(heard(8_400, 8_000), (Micros::ms(8_400), 0), "clocks differ a little");
    }
}
