//! Which controller to ask next in search of the owner.
//!
//! A controller that is not the owner names the last owner that it heard of, which may be long ago: two may name each other for good. So a
//! name is followed once, and then the next controller in turn is asked. With `n` controllers each is asked within `2 n` attempts.

/// A search that goes on as owners change.
#[derive(Clone, Debug)]
pub struct OwnerSearch {
    controllers: usize,
    /// Whose turn it is.
    turn: usize,
    /// Which one is asked: the one whose turn it is, or the one that it named.
    current: usize,
}

impl OwnerSearch {
    /// A search among so many controllers that begins with the one of index `first`.
    pub fn new(controllers: usize, first: usize) -> OwnerSearch {
        let first = first % controllers.max(1);
        OwnerSearch { controllers, turn: first, current: first }
    }

    /// Index of the controller to ask now.
    pub fn current(&self) -> usize {
        self.current
    }

    /// The current one is the owner: the next search begins with it.
    pub fn found(&mut self) {
        self.turn = self.current;
    }

    /// The current one is not the owner. True where the one that it named is asked now; else it is the next one's turn.
    pub fn not_found(&mut self, named: Option<u16>) -> bool {
        // Guards against names that lead in a ring past the owner: only the one whose turn it is is followed.
        let named =
            named.map(usize::from).filter(|index| *index < self.controllers && *index != self.current);
        if let Some(index) = named.filter(|_| self.current == self.turn) {
            self.current = index;
            return true;
        }
        self.turn = (self.turn + 1) % self.controllers.max(1);
        self.current = self.turn;
        false
    }
}
