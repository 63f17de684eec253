//! A voter that lost its disk. It may have promised and accepted things that are gone; it votes again only once a majority's worth
//! of the *others* knows of its new life and has told it all they have. Any majority that its earlier life was part of has a
//! member among these: either that one had answered before, and this voter learns what came of it, or it answers later, and
//! then the earlier life's word is no longer counted beside it (`round`).
use std::collections::BTreeMap;

use crate::round::merge;
use crate::voter::Disk;
use crate::{Answer, Ask, Ballot, Entries, Lease, Said, Space, Terms, VoterId};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Readmission {
    own: VoterId,
    terms: Terms,
    life: u64,
    told: BTreeMap<VoterId, Answer>,
}

type Spaces = BTreeMap<Space, (Ballot, Entries, Option<Lease>)>;

impl Readmission {
    pub fn begin(own: VoterId, terms: Terms) -> Readmission {
        Readmission { own, terms, life: 1, told: BTreeMap::new() }
    }
    /// What is asked of all others, till they have answered.
    pub fn ask(&self) -> Ask {
        Ask::Readmit { voter: self.own, life: self.life }
    }
    /// Who has not told yet.
    pub fn open(&self) -> Vec<VoterId> {
        let all = (0..self.terms.voters as u16).map(VoterId);
        all.filter(|v| *v != self.own && !self.told.contains_key(v)).collect()
    }
    /// With enough told, what the disk begins with. `life`: the one that was asked for.
    pub fn hear(&mut self, from: VoterId, life: u64, answer: Answer) -> Option<Disk> {
        match &answer.said {
            Said::OldLife { known } if *known >= self.life && from != self.own => {
                self.life = known + 1;
                self.told.clear();
            }
            Said::All { .. } if life == self.life && from != self.own => drop(self.told.insert(from, answer)),
            _ => {}
        }
        // As many as a majority, itself not among them: with 1 voter there are none, and with 3 both others are needed.
        if self.terms.voters == 1 || self.told.len() < self.terms.majority() {
            return None;
        }
        let mut lives: BTreeMap<VoterId, u64> = BTreeMap::new();
        let mut spaces = Spaces::new();
        for answer in self.told.values() {
            for (voter, life) in &answer.lives {
                let known = lives.entry(*voter).or_default();
                *known = (*known).max(*life);
            }
            let Said::All { spaces: told } = &answer.said else { continue };
            for (space, promised, entries, lease) in told {
                let (p, e, l) = spaces.entry(space.clone()).or_default();
                *p = (*p).max(*promised);
                merge(e, entries);
                // The longest one: it may be the one that binds.
                let span = |l: &Option<Lease>| l.as_ref().map_or(0, |l| l.span_us);
                if span(lease) > span(l) {
                    l.clone_from(lease);
                }
            }
        }
        for (voter, answer) in &self.told {
            let known = lives.entry(*voter).or_default();
            *known = (*known).max(answer.life);
        }
        lives.remove(&self.own);
        let spaces = spaces.into_iter().map(|(s, (p, e, l))| (s, p, e, l)).collect();
        Some(Disk { life: self.life, lives, spaces })
    }
}
