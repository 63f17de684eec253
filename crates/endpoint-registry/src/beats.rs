//! What the usher beside a backend makes of its beats. One function, `Beats::turn`, changes the state.
use notchspool::units::Micros;
use notchspool_mesh_protocol::State;

/// One beat, as it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Beat {
    pub instance: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
    pub cold: Micros,
    pub calls: u64,
}

/// The backend of this machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Own {
    pub beat: Beat,
    pub state: State,
    /// When the last beat came; when the first one that said `draining` was acknowledged; until when it is slow.
    pub heard: Micros,
    pub drains_since: Option<Micros>,
    pub cold_until: Micros,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    Beat(Beat),
    /// A prompter tells what an earlier life of this usher knew; a backend that is another one says so itself.
    Recalled(Beat),
    Leave(String),
    Time,
}

#[derive(Clone, Debug, Default)]
pub struct Beats {
    pub own: Option<Own>,
    /// Lives that have left: a late beat does not bring them back.
    left: Vec<String>,
    missed_after: Micros,
    blind_until: Micros,
    looked: Micros,
}

/// Beats that may be missed.
const MISSED: f64 = 3.5;
/// A step of time longer than this: this process stood still.
const STILL: Micros = Micros::ms(1_000);

impl Beats {
    pub fn open(interval: Micros, now: Micros) -> Beats {
        Beats { missed_after: interval.times(MISSED), looked: now, ..Beats::default() }
    }

    /// True where the others have to be told.
    pub fn turn(&mut self, now: Micros, event: Event) -> bool {
        let step = now - std::mem::replace(&mut self.looked, now);
        if step >= STILL {
            self.blind_until = now + self.missed_after;
        }
        match event {
            Event::Beat(beat) => self.beat(now, beat),
            Event::Recalled(beat) => self.own.is_none() && self.beat(now, beat),
            Event::Leave(instance) => {
                if self.left.len() >= 64 {
                    self.left.remove(0);
                }
                self.left.push(instance.clone());
                match self.own.as_mut().filter(|o| o.beat.instance == instance && o.state != State::Left) {
                    Some(own) => {
                        own.state = State::Left;
                        own.drains_since = own.drains_since.or(Some(now));
                        true
                    }
                    None => false,
                }
            }
            Event::Time => {
                let (after, blind) = (self.missed_after, self.blind_until);
                let Some(own) = &mut self.own else { return false };
                let here = matches!(own.state, State::Ready | State::Draining);
                let missed = here && now - own.heard >= after && now >= blind;
                if missed {
                    own.state = State::Missed;
                }
                missed
            }
        }
    }

    fn beat(&mut self, now: Micros, beat: Beat) -> bool {
        if self.left.contains(&beat.instance) {
            return false;
        }
        let state = if beat.draining { State::Draining } else { State::Ready };
        let cold_until = if beat.cold > Micros(0) { now + beat.cold } else { Micros(0) };
        match &mut self.own {
            Some(own) if own.beat.instance == beat.instance => {
                own.heard = now;
                if beat.calls < own.beat.calls {
                    return false; // a late one
                }
                if own.state == State::Draining && state == State::Ready {
                    own.beat.calls = beat.calls;
                    return false; // who drains goes
                }
                let changed = own.state != state
                    || (own.beat.slots, &own.beat.service) != (beat.slots, &beat.service)
                    || own.beat.address != beat.address;
                if state == State::Draining {
                    own.drains_since = own.drains_since.or(Some(now));
                }
                (own.beat, own.state, own.cold_until) = (beat, state, cold_until);
                changed
            }
            _ => {
                let drains_since = beat.draining.then_some(now);
                self.own = Some(Own { beat, state, heard: now, drains_since, cold_until });
                true
            }
        }
    }
}
