//! Who exists. `board`: what one prompter gathers of the ushers' stations and numbers; `playbill`: the list that an usher holds; `beats`:
//! what the usher beside a backend makes of its beats. No I/O; times are of a steady clock and handed in.
pub mod beats;
pub mod board;
pub mod playbill;

use notchspool_mesh_protocol::{State, Station};

/// Whether `new` takes the place of `old`, of the same instance. The backend's own count of calls orders what is said of it, over all
/// lives of its usher; who has left never comes back, and who drains does so till it has.
pub fn later(new: &Station, old: &Station) -> bool {
    match (old.state(), new.state()) {
        (State::Left, _) => false,
        (_, State::Left) => true,
        (State::Draining, State::Ready) => false,
        (before, now) => new.calls > old.calls || (new.calls == old.calls && before != now),
    }
}
