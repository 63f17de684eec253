//! A voter that lost its disk, and those who tell it all.
use super::*;

impl Office {
    pub(super) fn readmit(&mut self, acts: &mut Vec<Act>) {
        let Place::Asking(readmission, _) = &self.place else { return };
        let notchspool_election::Ask::Readmit { voter, life } = readmission.ask() else { return };
        for open in readmission.open() {
            if let Some((conn, _)) = self.peers.get(&(open.0 as usize)) {
                let ask = cues::Readmit { voter: u32::from(voter.0), life };
                acts.push(Act::Send(*conn, What::Readmit(ask)));
            }
        }
    }

    /// Another voter lost its disk: its new life is on this disk before it is told all.
    pub(super) fn readmitted(&mut self, now: Micros, conn: Conn, ask: cues::Readmit, acts: &mut Vec<Act>) {
        let Place::Seated(Some(voter)) = &mut self.place else { return };
        let id = VoterId(ask.voter as u16);
        let said = voter.hear(now, &notchspool_election::Ask::Readmit { voter: id, life: ask.life });
        match said.0.said {
            Said::OldLife { known } => {
                let own = u32::from(voter.id.0);
                let all = cues::All {
                    voter: own,
                    life: ask.life,
                    known,
                    lives: self.lives(),
                    ..cues::All::default()
                };
                // The one that is known already is told again: its first answer may have been lost.
                if known == ask.life {
                    let all = self.everything(ask.life);
                    acts.push(Act::Send(conn, What::All(all)));
                } else {
                    acts.push(Act::Send(conn, What::All(all)));
                }
            }
            _ => {
                acts.push(Act::Log(format!(
                    "voter {} comes with an empty disk, life {}",
                    ask.voter, ask.life
                )));
                let (life, lives) = voter.lives();
                let lives = lives.iter().map(|(v, l)| (v.0, *l)).collect();
                let seat = Seat { voters: self.voters.clone(), life, lives };
                self.save(Pending::Told(conn, ask.life), vec![Deed::Seat(seat)], acts);
            }
        }
    }

    pub(super) fn everything(&self, life: u64) -> cues::All {
        let Place::Seated(Some(voter)) = &self.place else { return cues::All::default() };
        let kept = voter.kept(&pen::space()).cloned().unwrap_or_default();
        let entry = kept.entries.get(KEY);
        cues::All {
            voter: u32::from(voter.id.0),
            life,
            known: 0,
            lives: self.lives(),
            promised: seats::told(kept.promised),
            under: entry.and_then(|e| seats::told(e.at)),
            body: entry.map(|e| e.value.clone()),
            claims: self.rack.all(),
        }
    }

    pub(super) fn all(&mut self, now: Micros, all: cues::All, acts: &mut Vec<Act>) {
        let Place::Asking(readmission, claims) = &mut self.place else { return };
        let (from, answer) = seats::all(&all);
        if all.known == 0 {
            claims.insert(from.0, all.claims);
        } else {
            claims.clear();
        }
        let Some(disk) = readmission.hear(from, all.life, answer) else {
            if all.known > 0 {
                self.readmit(acts);
            }
            return;
        };
        let told = std::mem::take(claims);
        let mut deeds = Vec::new();
        for claim in told.into_values().flatten() {
            // Two tickets for one key, told by two: either may have run, so both stand.
            self.rack.put(now, &claim);
            deeds.push(Deed::Claim(claim));
        }
        let lives = disk.lives.iter().map(|(v, l)| (v.0, *l)).collect();
        let seat = Seat { voters: self.voters.clone(), life: disk.life, lives };
        for (_, promised, entries, _) in &disk.spaces {
            deeds.push(Deed::Promise(*promised));
            if let Some(entry) = entries.get(KEY) {
                deeds.push(Deed::Word(
                    VersionedConfig::read(&entry.value).map_or(0, |h| h.version),
                    entry.clone(),
                ));
            }
        }
        deeds.push(Deed::Seat(seat));
        acts.push(Act::Log(format!("told all by others: life {}, {} claims", disk.life, self.rack.len())));
        self.place = Place::Settling(Box::new(disk));
        self.save(Pending::Admitted, deeds, acts);
    }
}
