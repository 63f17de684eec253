//! Requests in flight, divided between pools and between tenants. What is acquired is given back when its hold is dropped.
use std::cell::RefCell;
use std::rc::Rc;

use notchspool_quotas::quota_pool::QuotaPool;

/// A division of capacity.
#[derive(Clone, Default)]
pub struct Capacity(Rc<RefCell<QuotaPool>>);

/// Capacity for one request.
pub struct CapacityHold {
    capacity: Capacity,
    holder: String,
}

impl Capacity {
    /// Changes how it is divided.
    pub fn update(&self, update: impl FnOnce(&mut QuotaPool)) {
        update(&mut self.0.borrow_mut());
    }

    /// Capacity for one more request of this holder; nothing where there is none.
    pub fn try_acquire(&self, holder: &str) -> Option<CapacityHold> {
        let acquired = self.0.borrow_mut().try_acquire(holder);
        acquired.then(|| CapacityHold { capacity: self.clone(), holder: holder.to_owned() })
    }

    /// Requests of this holder.
    pub fn held_by(&self, holder: &str) -> usize {
        self.0.borrow().held_by(holder)
    }
}

impl Drop for CapacityHold {
    fn drop(&mut self) {
        self.capacity.0.borrow_mut().release(&self.holder);
    }
}
