//! Faults: what befalls whom, from when until when. Whom it strikes follows from the seed.
use super::kit::*;

/// Where in a request a connection is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// At its first byte.
    Before,
    /// When its head is read.
    Middle,
    /// When it is whole.
    After,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Ill {
    /// The process dies; at the end a new one starts, cold.
    Crash,
    /// Takes and answers nothing.
    Hang,
    /// So many times slower.
    Slow(f64),
    /// This part is answered 500 at once; of these, `ran` has run.
    Errors { share: f64, ran: f64 },
    /// The connection is reset at this part of the requests.
    Break { place: Place, share: f64 },
    /// Answers stop short.
    CutOff(f64),
    /// Answers can't be read.
    Spoilt(f64),
    /// The connection of this part of the requests goes silent and stays open.
    HalfOpen(f64),
    /// Idle connections are forgotten without a word: the next byte on one gets a reset.
    IdleForgotten,
    /// The zone is out of reach of the others, which hear nothing from it.
    ZoneCut,
    /// Told as draining from the start, gone at the end.
    Drain,
    /// The register is down: watches end, calls are refused.
    RegisterOut,
    /// The register runs this much further behind.
    RegisterLate(Micros),
    /// A watch is told of changes only this often.
    RegisterSlow(Micros),
    /// The whole list is empty for those who ask anew, and watches end at the start.
    RegisterEmpty,
    /// Healthy backends vanish from the list, and are back at the end.
    Removal,
    /// An agent is killed outright; at the end it starts anew.
    Kill,
    /// An agent is asked to end; it starts anew at the end, and is killed by then if it has not ended.
    Restart,
}

impl Ill {
    pub fn of_agents(&self) -> bool {
        matches!(self, Ill::Kill | Ill::Restart)
    }
    pub fn of_register(&self) -> bool {
        matches!(self, Ill::RegisterOut | Ill::RegisterLate(_) | Ill::RegisterSlow(_) | Ill::RegisterEmpty)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Who {
    All,
    /// This part of them, by lot.
    Share(f64),
    These(Vec<usize>),
    Zone(ZoneId),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub ill: Ill,
    pub from: Micros,
    pub until: Micros,
    pub who: Who,
}

impl Fault {
    /// The places, among `zones.len()` of them, that this strikes.
    pub fn struck(&self, nth: usize, zones: &[ZoneId], seed: u64) -> Vec<usize> {
        let all = 0..zones.len();
        match &self.who {
            Who::All => all.collect(),
            Who::These(these) => these.iter().copied().filter(|&n| n < zones.len()).collect(),
            Who::Zone(zone) => all.filter(|&n| zones[n] == *zone).collect(),
            Who::Share(share) => {
                let many = (share * zones.len() as f64).round() as usize;
                let mut drawn: Vec<usize> = all.collect();
                drawn.sort_by_key(|&n| mixed(seed, &[21, nth as u64, n as u64]));
                drawn.truncate(many);
                drawn.sort();
                drawn
            }
        }
    }
}

/// One end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    pub at: Micros,
    /// Ends come before beginnings of the same moment.
    pub begins: bool,
    pub fault: usize,
}

/// Beginnings and ends, in order of time.
pub fn turns(faults: &[Fault]) -> Vec<Turn> {
    let both = |(fault, f): (usize, &Fault)| {
        [Turn { at: f.from, begins: true, fault }, Turn { at: f.until, begins: false, fault }]
    };
    let mut turns: Vec<Turn> = faults.iter().enumerate().flat_map(both).collect();
    turns.sort();
    turns
}
