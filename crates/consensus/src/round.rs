//! One question to all voters, and what their answers come to.
use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::{Answer, Ask, Ballot, ContenderId, Entries, Entry, Said, Terms, VoterId};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    /// Its number: answers to another one are not its own.
    pub no: u64,
    pub ask: Ask,
    /// When it was first asked, before anything was sent.
    pub began: Micros,
    again_at: Micros,
    heard: BTreeMap<VoterId, Answer>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Open,
    /// A majority said yes.
    Yes,
    /// It can't become one: the highest ballot that stands against it, and who holds it off for how long.
    No {
        promised: Option<Ballot>,
        held: Option<(ContenderId, Micros)>,
    },
}

impl Round {
    pub fn begin(no: u64, ask: Ask, now: Micros, terms: &Terms) -> Round {
        Round { no, ask, began: now, again_at: now + terms.again, heard: BTreeMap::new() }
    }

    /// Who has to be asked again now.
    pub fn again(&mut self, now: Micros, terms: &Terms) -> Vec<VoterId> {
        if now < self.again_at {
            return Vec::new();
        }
        self.again_at = now + terms.again;
        let unheard = |v: &VoterId| !self.counts().any(|(id, _)| id == *v);
        (0..terms.voters as u16).map(VoterId).filter(unheard).collect()
    }
    pub fn next(&self) -> Micros {
        self.again_at
    }

    pub fn hear(&mut self, from: VoterId, answer: Answer) {
        // A voter that can't vote now may be able to later; what counted stays.
        match (&answer.said, self.heard.get(&from)) {
            (Said::NoVote { .. }, Some(_)) => {}
            (_, Some(old)) if old.life > answer.life => {}
            // It said yes in this life, and that counts whatever it promised to others since.
            (Said::Refused { .. } | Said::Held { .. }, Some(old)) if old.life == answer.life => {}
            _ => drop(self.heard.insert(from, answer)),
        }
    }

    /// Answers that count: guards against a voter that promised, lost its disk and was readmitted without knowing of it. Its
    /// earlier word is void as soon as another voter that is counted knows of its later life.
    fn counts(&self) -> impl Iterator<Item = (VoterId, &Answer)> {
        let life = |of: VoterId| {
            let told = self.heard.values().filter_map(|a| a.lives.get(&of).copied()).max();
            told.unwrap_or_default()
        };
        let all = self.heard.iter().map(|(id, answer)| (*id, answer));
        all.filter(move |(id, answer)| {
            answer.life >= life(*id) && !matches!(answer.said, Said::NoVote { .. })
        })
    }

    pub fn verdict(&self, terms: &Terms) -> Verdict {
        let (mut yes, mut promised, mut held, mut no) = (0, None, None::<(ContenderId, Micros)>, 0);
        for (_, answer) in self.counts() {
            match &answer.said {
                Said::Promised { .. } | Said::Accepted | Said::Seen { .. } => yes += 1,
                Said::Refused { promised: by, .. } => {
                    no += 1;
                    promised = promised.max(Some(*by));
                }
                Said::Held { by, left_us } => {
                    no += 1;
                    if held.is_none_or(|h| h.1.0 < *left_us) {
                        held = Some((*by, Micros(*left_us)));
                    }
                }
                Said::All { .. } | Said::OldLife { .. } | Said::NoVote { .. } => {}
            }
        }
        if yes >= terms.majority() {
            Verdict::Yes
        } else if no > terms.voters - terms.majority() {
            Verdict::No { promised, held }
        } else {
            Verdict::Open
        }
    }

    /// Somebody stands against it, though not yet enough to end it.
    pub fn opposed(&self) -> Verdict {
        let (mut promised, mut held) = (None, None);
        for (_, answer) in self.counts() {
            match &answer.said {
                Said::Refused { promised: by, .. } => promised = promised.max(Some(*by)),
                Said::Held { by, left_us } => held = Some((*by, Micros(*left_us))),
                _ => {}
            }
        }
        match (promised, held) {
            (None, None) => Verdict::Open,
            _ => Verdict::No { promised, held },
        }
    }

    /// Of all that was told, the entry of the highest ballot for each key.
    pub fn merged(&self) -> Entries {
        let mut merged: Entries = BTreeMap::new();
        for (_, answer) in self.counts() {
            if let Said::Promised { entries } | Said::Seen { entries, .. } = &answer.said {
                merge(&mut merged, entries);
            }
        }
        merged
    }
    /// The highest ballot that a voter told to have promised.
    pub fn highest(&self) -> Ballot {
        let told = self.counts().filter_map(|(_, a)| match &a.said {
            Said::Seen { promised, .. } => Some(*promised),
            _ => None,
        });
        told.max().unwrap_or_default()
    }
}

pub fn merge(into: &mut Entries, from: &Entries) {
    for (key, entry) in from {
        let newer = |old: &Entry| (old.at, old.nth) < (entry.at, entry.nth);
        if into.get(key).is_none_or(newer) {
            into.insert(key.clone(), entry.clone());
        }
    }
}
