//! Who votes: how it is founded, and how it is learnt from others.
use super::*;

impl Office {
    /// The founder's time is over: seeds and who else has said hello vote, an odd number of them.
    pub(super) fn found(&mut self, now: Micros, acts: &mut Vec<Act>) {
        let mut voters = std::mem::take(&mut self.founding);
        let mut known = std::collections::BTreeSet::new();
        voters.retain(|v| known.insert(v.clone()));
        voters.truncate(MOST_VOTERS);
        if voters.len().is_multiple_of(2) {
            voters.truncate(voters.len() - 1);
        }
        voters.sort();
        self.begin(now, voters, acts);
    }

    /// The first voters: their disks are empty, and nothing was ever promised.
    pub(super) fn begin(&mut self, now: Micros, voters: Vec<String>, acts: &mut Vec<Act>) {
        self.seat(voters, acts);
        if let Some(own) = self.own_place() {
            self.place = Place::Seated(Some(Voter::open(own, self.terms, Disk::default(), now)));
            self.save_seat(acts, 0);
        }
        self.meet_all(now, acts);
        self.own_read(now, acts);
        let guests: Vec<Conn> = self.guests.keys().copied().collect();
        guests.into_iter().for_each(|conn| acts.push(Act::Send(conn, self.welcome(None))));
    }

    pub(super) fn seat(&mut self, voters: Vec<String>, acts: &mut Vec<Act>) {
        self.terms = terms(voters.len());
        self.proposer = Proposer::open(self.terms, ContenderId(self.life));
        self.voters = voters;
        self.place = Place::Seated(None);
        acts.push(Act::Voters(self.voters.clone()));
    }

    /// Who votes, told by another: this one has lost its disk, or never voted.
    pub(super) fn learn(&mut self, now: Micros, voters: Vec<String>, acts: &mut Vec<Act>) {
        if voters.is_empty() || voters.len() > MOST_VOTERS {
            return;
        }
        match self.place {
            Place::First(_) => self.begin(now, voters, acts),
            Place::Unknown => {
                self.seat(voters, acts);
                if let Some(own) = self.own_place() {
                    self.place = Place::Asking(Readmission::begin(own, self.terms), BTreeMap::new());
                }
                self.meet_all(now, acts);
            }
            _ => {}
        }
    }

    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// Whether it takes part in votes now.
    pub fn votes(&self) -> bool {
        matches!(self.place, Place::Seated(Some(_)))
    }

    pub fn chosen(&self) -> Option<&VersionedConfig> {
        self.chosen.as_ref()
    }
}
