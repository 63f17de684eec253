//! Txns in hand, divided between pools and between tenants. What is taken is given back when the guard goes.
use std::cell::RefCell;
use std::rc::Rc;

use notchspool_quotas::quota_pool::QuotaPool;

#[derive(Clone, Default)]
pub struct Rooms(Rc<RefCell<QuotaPool>>);

/// A part of the room, held by one txn.
pub struct Held {
    rooms: Rooms,
    by: String,
}

impl Rooms {
    pub fn new(division: QuotaPool) -> Rooms {
        Rooms(Rc::new(RefCell::new(division)))
    }
    pub fn change(&self, change: impl FnOnce(&mut QuotaPool)) {
        change(&mut self.0.borrow_mut());
    }
    /// None where there is no room for this party.
    pub fn take(&self, by: &str) -> Option<Held> {
        self.0.borrow_mut().try_acquire(by).then(|| Held { rooms: self.clone(), by: by.to_owned() })
    }
    pub fn held_by(&self, by: &str) -> usize {
        self.0.borrow().held_by(by)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.rooms.0.borrow_mut().release(&self.by);
    }
}
