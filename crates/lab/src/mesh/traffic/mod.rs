//! The data plane in virtual time: proxies with their real decisions (`notchspool_data_plane`: attempts, exchange, operation, door, connection,
//! standstill; voters with their real racks), links that are cut, reset, delayed and reordered across connections, backends that answer
//! late, twice, partly, with garbled ids or not at all, proxies that are killed, started, frozen and woken. `judge` holds what clients and
//! backends saw against what was promised.
mod backend;
mod drawn;
mod judge;
mod outbound;
mod proxy;
mod script;
mod world;

pub use backend::Mood;
pub use drawn::{Day, drawn};
pub use judge::{Kind, Rule};
pub use script::play_traffic;
pub use world::World;

/// One safeguard that is off: what the judge has to notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breach {
    /// Answers of the backend are not matched by their id.
    Ids,
    /// A refusal without an id is believed on any connection.
    Bare,
    /// What may not be repeated is sent again all the same.
    Repeat,
    /// What was on a link that ended is taken not to have run.
    Links,
    /// An answer goes to whoever has this address now, in whichever life.
    BootIds,
    /// The voters are not asked about a key.
    Claims,
    /// A key goes on with the ticket that may have run: no other is claimed before.
    Fences,
    /// A claim is taken back although the operation may have run.
    TakesBack,
    /// How long a request stood does not matter.
    Ages,
    /// A 503 of the backend is passed on whether it says that it has not run or not.
    Promises,
    /// What came of a body is the body.
    Bodies,
}

impl Breach {
    pub const ALL: [Breach; 11] = [
        Breach::Ids,
        Breach::Bare,
        Breach::Repeat,
        Breach::Links,
        Breach::BootIds,
        Breach::Claims,
        Breach::Fences,
        Breach::TakesBack,
        Breach::Ages,
        Breach::Promises,
        Breach::Bodies,
    ];
}
