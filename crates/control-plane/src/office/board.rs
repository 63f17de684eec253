//! Who exists: the board, and who follows it.
use super::*;

impl Office {
    pub(super) fn watch(&mut self, now: Micros, conn: Conn, watch: Watch, acts: &mut Vec<Act>) {
        self.board.at_least(watch.have);
        let since = if watch.line == self.life { watch.have } else { 0 };
        if let Some(guest) = self.guests.get_mut(&conn) {
            guest.follows = Some(since);
            guest.bare = watch.have == 0;
        }
        // One that comes for the first time is told all, though that may be nothing: it knows then that it is told.
        self.tell_board(now, acts);
    }

    pub(super) fn tell_board(&mut self, now: Micros, acts: &mut Vec<Act>) {
        // Who holds nothing is told what there is; who holds a list waits till this board knows most.
        let young = now - self.started < GATHER;
        let version = self.board.version();
        let mut bills = BTreeMap::new();
        for (conn, guest) in &mut self.guests {
            let bare = guest.bare;
            let Some(since) = guest.follows.filter(|s| (*s < version || *s == 0) && (bare || !young)) else {
                continue;
            };
            if version == 0 {
                continue;
            }
            let bill = bills.entry(since).or_insert_with(|| self.board.bill(since));
            bill.line = self.life;
            acts.push(Act::Send(*conn, What::Bill(bill.clone())));
            guest.follows = Some(version);
        }
    }
}
