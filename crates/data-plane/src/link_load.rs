//! Large responses that this machine has yet to send, against the speed of its link.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use notchspool::units::Micros;

use crate::context::Context;

/// Kinds of responses whose usual size is remembered.
const MAX_KINDS: usize = 64;
const SMOOTHING: f64 = 0.1;

/// Bytes that are to be sent, and the usual size of large responses of a kind.
pub struct LinkLoad {
    context: Rc<Context>,
    unsent_bytes: Cell<usize>,
    usual_bytes: RefCell<BTreeMap<u32, f64>>,
}

impl LinkLoad {
    /// Nothing is to be sent.
    pub fn new(context: Rc<Context>) -> LinkLoad {
        LinkLoad { context, unsent_bytes: Cell::new(0), usual_bytes: RefCell::default() }
    }

    /// Bytes of large responses that are to be sent.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_bytes.get()
    }

    /// How long the link has to work off large responses, with one more of this kind; nothing for kinds that are small.
    pub fn backlog_with(&self, kind: u32) -> Micros {
        let usual = self.usual_bytes.borrow().get(&kind).copied().unwrap_or(0.0);
        if usual < 1.0 {
            return Micros(0);
        }
        let bytes = self.unsent_bytes.get() as f64 + usual;
        Micros((bytes / self.context.link_bytes_per_second() * 1e6) as i64)
    }

    /// A large response of this kind came from the backend.
    pub fn measure(&self, kind: u32, bytes: usize) {
        let mut usual_bytes = self.usual_bytes.borrow_mut();
        if usual_bytes.len() < MAX_KINDS || usual_bytes.contains_key(&kind) {
            let usual = usual_bytes.entry(kind).or_insert(bytes as f64);
            *usual += SMOOTHING * (bytes as f64 - *usual);
        }
    }

    /// So many bytes are to be sent from now on.
    pub fn add(self: &Rc<LinkLoad>, bytes: usize) -> UnsentBytes {
        self.unsent_bytes.set(self.unsent_bytes.get() + bytes);
        UnsentBytes { load: self.clone(), remaining: Cell::new(bytes) }
    }
}

/// Bytes that are to be sent; what is not sent after all is taken off when this is dropped.
pub struct UnsentBytes {
    load: Rc<LinkLoad>,
    remaining: Cell<usize>,
}

impl UnsentBytes {
    /// So many of them were sent.
    pub fn on_sent(&self, bytes: usize) {
        let bytes = bytes.min(self.remaining.get());
        self.remaining.set(self.remaining.get() - bytes);
        self.load.unsent_bytes.set(self.load.unsent_bytes.get().saturating_sub(bytes));
    }
}

impl Drop for UnsentBytes {
    fn drop(&mut self) {
        self.on_sent(self.remaining.get());
    }
}
