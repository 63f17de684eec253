//! What a list can't mean: sizes that are none, starts that have not come yet, one id twice, the agent's own address. A wrong figure
//! changes nothing: the last good one stays. The rest of its entry is news, above all that a backend drains.
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use notchspool::units::{BackendId, Micros, Standing};
use notchspool_terms::own::comes_back;

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

    /// Puts what can be believed in place of what can't. `new`: the number is another backend's than before.
    pub fn mend(&mut self, id: BackendId, new: bool, row: &mut Row, now: Micros) -> Vec<Wrong> {
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
        if told > now + AHEAD {
            // A cold span and what is held against a process count from its start.
            let same = before.filter(|held| held.told == told);
            if same.is_none() {
                wrong.push(format!(
                    "{}: field `up_since_ms` lies in the future, it counts from now",
                    row.name
                ));
            }
            row.entry.started = same.map_or(now, |held| held.started);
        }
        self.held.insert(id, Held { size: row.entry.size, told, started: row.entry.started });
        wrong
    }
}

/// One row for each id: of several the worst standing, at the first address. Tells which ids came twice.
pub fn once(rows: Vec<Row>) -> (Vec<Row>, BTreeSet<String>) {
    let (mut kept, mut places, mut twice) = (Vec::<Row>::new(), BTreeMap::new(), BTreeSet::new());
    let rank = |standing| match standing {
        Standing::Ready => 0,
        Standing::Draining => 1,
        Standing::Gone => 2,
    };
    for row in rows {
        match places.get(&row.name) {
            None => {
                places.insert(row.name.clone(), kept.len());
                kept.push(row);
            }
            Some(&at) => {
                let first: &mut Row = &mut kept[at];
                if rank(row.entry.standing) > rank(first.entry.standing) {
                    first.entry.standing = row.entry.standing;
                }
                twice.insert(row.name);
            }
        }
    }
    (kept, twice)
}

#[cfg(test)]
mod tests {
    use notchspool::units::Entry;
    use rstest::rstest;

    use super::*;

    fn row(size: f64, started: i64) -> Row {
        let entry = Entry { size, started: Micros::ms(started), ..Entry::default() };
        Row { name: "b".into(), at: SocketAddr::from(([127, 0, 0, 1], 9)), zone: String::new(), entry }
    }

    #[rstest]
    #[case::nothing(0.0)]
    #[case::below(-4.0)]
    #[case::huge(1e300)]
    #[case::none(f64::NAN)]
    fn a_wrong_size_leaves_the_last_good_one(#[case] size: f64) {
        let mut figures = Figures::default();
        let mut first = row(size, 0);
        assert_eq!(figures.mend(BackendId(0), true, &mut first, Micros::ms(5)).len(), 1);
        assert_eq!(first.entry.size, 1.0);
        assert!(figures.mend(BackendId(0), false, &mut row(2.5, 0), Micros::ms(5)).is_empty());
        let mut again = row(size, 0);
        figures.mend(BackendId(0), false, &mut again, Micros::ms(5));
        assert_eq!(again.entry.size, 2.5);
    }

    #[test]
    fn a_start_in_the_future_counts_from_when_it_was_first_heard() {
        let mut figures = Figures::default();
        let mut heard = |told, now| {
            let mut row = row(1.0, told);
            let wrong = figures.mend(BackendId(0), false, &mut row, Micros::ms(now)).len();
            (row.entry.started, wrong)
        };
        assert_eq!(heard(90_000, 5_000), (Micros::ms(5_000), 1));
        assert_eq!(heard(90_000, 7_000), (Micros::ms(5_000), 0), "the same process");
        assert_eq!(heard(8_400, 8_000), (Micros::ms(8_400), 0), "clocks differ a little");
    }
}
