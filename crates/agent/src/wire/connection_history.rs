//! What became of the connections to one backend: it says why another one is opened.
use std::cell::Cell;
use std::rc::Rc;

/// Reason codes of connections to backends, as they stand in the log.
pub mod reason {
    /// It was idle, and closed from here.
    pub const IDLE: &str = "LINK_IDLE";
    /// An attempt on it was given up.
    pub const GIVEN_UP: &str = "LINK_GIVEN_UP";
    /// The backend closed it.
    pub const CLOSED: &str = "LINK_CLOSED";
    /// It broke.
    pub const RESET: &str = "LINK_RESET";
    /// It is not to be used again, see [`crate::wire::attempt_progress::AttemptProgress::is_connection_spent`].
    pub const SPENT: &str = "LINK_SPENT";
    /// The backend refused it.
    pub const REFUSED: &str = "LINK_REFUSED";
    /// It was not up in time.
    pub const NEVER_UP: &str = "LINK_NEVER_UP";
    /// What came on it is no `FastCGI`.
    pub const NO_FASTCGI: &str = "LINK_NO_FASTCGI";
}

#[derive(Clone, Copy, Default)]
enum LastEnd {
    #[default]
    None,
    Registry,
    Idle,
    GivenUp,
    Other,
}

/// See the module.
#[derive(Default)]
pub struct ConnectionHistory {
    open: Cell<usize>,
    last_end: Cell<LastEnd>,
}

impl ConnectionHistory {
    /// Of the registry's connections, not a backend's.
    pub fn registry() -> Rc<ConnectionHistory> {
        Rc::new(ConnectionHistory { open: Cell::new(0), last_end: Cell::new(LastEnd::Registry) })
    }

    /// The counter for why a connection is opened now.
    pub fn opening_counter(&self) -> &'static str {
        match self.last_end.get() {
            LastEnd::Registry => "links_opened_register",
            _ if self.open.get() > 0 => "links_opened_beside",
            LastEnd::None => "links_opened_first",
            LastEnd::Idle => "links_opened_after_idle",
            LastEnd::GivenUp => "links_opened_after_given_up",
            LastEnd::Other => "links_opened_after_end",
        }
    }

    /// A connection was opened.
    pub fn on_opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// A connection ended, with this reason code.
    pub fn on_ended(&self, code: &str) {
        self.open.set(self.open.get().saturating_sub(1));
        if !matches!(self.last_end.get(), LastEnd::Registry) {
            self.last_end.set(match code {
                reason::IDLE => LastEnd::Idle,
                reason::GIVEN_UP => LastEnd::GivenUp,
                _ => LastEnd::Other,
            });
        }
    }
}
