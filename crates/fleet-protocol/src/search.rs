//! Whom one asks next who looks for the owner. Keepers that are none name the last owner that they heard of, which may be long ago: two
//! may name each other for good. So a name is followed once, and then the next in turn is asked: each of `n` keepers is asked within `2 n` tries.

#[derive(Clone, Debug)]
pub struct Search {
    keepers: usize,
    /// Whose turn it is, and who is asked: the same, or whom that one named.
    turn: usize,
    at: usize,
}

impl Search {
    pub fn new(keepers: usize, first: usize) -> Search {
        let first = first % keepers.max(1);
        Search { keepers, turn: first, at: first }
    }
    pub fn at(&self) -> usize {
        self.at
    }
    /// The owner is there: the next search begins with it.
    pub fn found(&mut self) {
        self.turn = self.at;
    }
    /// The owner is not there. True where the one that was named is asked now; else it is the next one's turn.
    pub fn not_there(&mut self, named: Option<u16>) -> bool {
        // Guards against names that lead in a ring past the owner: only who is asked in its turn is followed.
        let named = named.map(usize::from).filter(|place| *place < self.keepers && *place != self.at);
        if let Some(place) = named.filter(|_| self.at == self.turn) {
            self.at = place;
            return true;
        }
        self.turn = (self.turn + 1) % self.keepers.max(1);
        self.at = self.turn;
        false
    }
}
