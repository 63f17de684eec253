//! The backend beside a proxy, as its heartbeats tell. One function, [`HeartbeatTracker::apply`], changes the state.
use std::collections::VecDeque;

use notchspool::units::Micros;
use notchspool_mesh_protocol::EndpointState;

/// Intervals without a heartbeat after which a backend is missing.
const MISSED_INTERVALS: f64 = 3.5;
/// A step of time longer than this: this process stood still.
const STALL: Micros = Micros::ms(1_000);
/// A proxy that reaches no majority of the replicas for this long after its start believes what its backend says from then on: what an
/// earlier run was told, and comes late, has come by then.
pub const MAX_WAIT_FOR_HISTORY: Micros = Micros::ms(10_000);
/// Instances that are remembered as having left, or as draining.
const MAX_LEFT: usize = 64;

/// One heartbeat (`instances.heartbeat`), as it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heartbeat {
    /// The backend's id.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it takes at once.
    pub slots: u32,
    /// It finishes what it has, and takes nothing new.
    pub draining: bool,
    /// How long it is still slow from its start.
    pub warmup: Micros,
    /// `callCount`: rises with each call of the backend, so that a late one is known.
    pub call_count: u64,
}

/// The backend of this machine.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalBackend {
    /// The newest heartbeat.
    pub heartbeat: Heartbeat,
    /// Its state.
    pub state: EndpointState,
    /// When the last heartbeat came.
    pub last_heartbeat_at: Micros,
    /// Since when it drains, where it does.
    pub drain: Option<DrainStart>,
    /// Until when it is slow.
    pub warm_at: Micros,
}

/// How far a backend has come on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Departure {
    /// It said that it drains.
    Draining,
    /// It said that it leaves.
    Left,
}

impl Departure {
    /// The state of an endpoint that has come so far.
    pub fn state(self) -> EndpointState {
        match self {
            Departure::Draining => EndpointState::Draining,
            Departure::Left => EndpointState::Left,
        }
    }

    /// How far an endpoint of this state has come; `None` where it is not on its way out.
    pub fn of_state(state: EndpointState) -> Option<Departure> {
        match state {
            EndpointState::Draining => Some(Departure::Draining),
            EndpointState::Left => Some(Departure::Left),
            _ => None,
        }
    }
}

/// When the drain of a backend began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStart {
    /// This proxy heard of it then, and had known the backend as ready before.
    At(Micros),
    /// Nobody knows when: this run of the proxy has never known the backend as ready.
    BeforeThisRun,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A heartbeat came.
    Heartbeat(Heartbeat),
    /// The replicas tell what an earlier run of this proxy knew. A drain counts whatever is known here; else the backend itself knows better.
    Recalled(Heartbeat),
    /// The backend said that it leaves (`instances.leave`).
    Leave(String),
    /// A replica has on its disk how far an instance has come on its way out.
    RecalledDeparture(String, Departure),
    /// A majority of the replicas has told all such departures.
    HistoryKnown,
    /// Time has passed.
    Tick,
}

impl Event {
    /// Who tells of it, for logs.
    pub fn source(&self) -> &'static str {
        match self {
            Event::Heartbeat(_) => "its heartbeat",
            Event::Recalled(_) => "what a replica recalls",
            Event::Leave(_) => "its leave",
            Event::RecalledDeparture(..) => "what a replica has on its disk",
            Event::HistoryKnown => "its heartbeat, and no replica knows of a departure",
            Event::Tick => "its silence",
        }
    }
}

/// Follows the heartbeats of one backend after the other.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatTracker {
    /// The backend beside this proxy, once it was heard.
    pub backend: Option<LocalBackend>,
    /// Instances that have left: a late heartbeat does not bring them back.
    left: VecDeque<String>,
    /// Instances that drain, by what replicas have on their disks.
    recalled_drains: VecDeque<String>,
    /// Replicas have not told yet which instances are on their way out. Until they have, or until then, nothing is taken for ready.
    awaits_history_until: Option<Micros>,
    /// The newest heartbeat that says `ready` and came meanwhile.
    unconfirmed: Option<Heartbeat>,
    missing_after: Micros,
    /// After a stall of this process nobody is taken for missing before this.
    blind_until: Micros,
    last_event_at: Micros,
}

impl HeartbeatTracker {
    /// `interval`: the time between two heartbeats.
    pub fn new(interval: Micros, now: Micros) -> HeartbeatTracker {
        let missing_after = interval.times(MISSED_INTERVALS);
        HeartbeatTracker { missing_after, last_event_at: now, ..HeartbeatTracker::default() }
    }

    /// The same for a proxy that starts: an earlier run may have acknowledged a departure that a late heartbeat knows nothing of, so one that
    /// says `ready` counts only after [`Event::HistoryKnown`].
    pub fn awaiting_history(interval: Micros, now: Micros) -> HeartbeatTracker {
        let awaits_history_until = Some(now + MAX_WAIT_FOR_HISTORY);
        HeartbeatTracker { awaits_history_until, ..HeartbeatTracker::new(interval, now) }
    }

    /// Takes an event. Whether the others have to be told.
    pub fn apply(&mut self, now: Micros, event: Event) -> bool {
        let step = now - std::mem::replace(&mut self.last_event_at, now);
        if step >= STALL {
            self.blind_until = now + self.missing_after;
        }
        match event {
            Event::Heartbeat(heartbeat) => self.on_heartbeat(now, heartbeat),
            Event::Recalled(heartbeat) => self.on_recalled(now, heartbeat),
            Event::Leave(instance) => self.on_leave(now, instance),
            Event::RecalledDeparture(instance, Departure::Left) => self.on_leave(now, instance),
            Event::RecalledDeparture(instance, Departure::Draining) => self.on_recalled_drain(instance),
            Event::HistoryKnown => self.on_history_known(now),
            Event::Tick => self.on_tick(now),
        }
    }

    /// How far this instance has come on its way out, as far as is known; `None` where it is ready or nothing is known of it.
    pub fn departure(&self, instance: &str) -> Option<Departure> {
        if self.left.iter().any(|left| left == instance) {
            return Some(Departure::Left);
        }
        let backend = self.backend.as_ref().filter(|backend| backend.heartbeat.instance == instance)?;
        (backend.state == EndpointState::Draining).then_some(Departure::Draining)
    }

    fn on_leave(&mut self, now: Micros, instance: String) -> bool {
        remember(&mut self.left, &instance);
        let is_here =
            |b: &&mut LocalBackend| b.heartbeat.instance == instance && b.state != EndpointState::Left;
        let Some(backend) = self.backend.as_mut().filter(is_here) else { return false };
        backend.state = EndpointState::Left;
        backend.drain = backend.drain.or(Some(DrainStart::At(now)));
        true
    }

    fn on_recalled(&mut self, now: Micros, heartbeat: Heartbeat) -> bool {
        let has_left = self.left.contains(&heartbeat.instance);
        let Some(backend) = &mut self.backend else {
            if has_left {
                self.backend = Some(LocalBackend::that_left(now, heartbeat));
                return true;
            }
            return self.on_heartbeat(now, heartbeat);
        };
        let is_here = backend.heartbeat.instance == heartbeat.instance;
        if !is_here || !heartbeat.draining || !backend.may_drain() {
            return false;
        }
        backend.state = EndpointState::Draining;
        backend.drain = Some(DrainStart::BeforeThisRun);
        true
    }

    fn on_recalled_drain(&mut self, instance: String) -> bool {
        remember(&mut self.recalled_drains, &instance);
        let is_here = |b: &&mut LocalBackend| b.heartbeat.instance == instance && b.may_drain();
        let Some(backend) = self.backend.as_mut().filter(is_here) else { return false };
        backend.state = EndpointState::Draining;
        backend.drain = Some(DrainStart::BeforeThisRun);
        true
    }

    fn on_history_known(&mut self, now: Micros) -> bool {
        self.awaits_history_until = None;
        let heartbeat = self.unconfirmed.take();
        heartbeat.is_some_and(|heartbeat| self.on_heartbeat(now, heartbeat))
    }

    fn on_tick(&mut self, now: Micros) -> bool {
        if self.awaits_history_until.is_some_and(|until| now >= until) {
            self.awaits_history_until = None;
            self.unconfirmed = None;
        }
        let Some(backend) = &mut self.backend else { return false };
        let silent = now - backend.last_heartbeat_at >= self.missing_after;
        // One that drains does so through its silence, until it has left.
        let is_missing = backend.state == EndpointState::Ready && silent && now >= self.blind_until;
        if is_missing {
            backend.state = EndpointState::Missing;
        }
        is_missing
    }

    fn on_heartbeat(&mut self, now: Micros, mut heartbeat: Heartbeat) -> bool {
        if self.left.contains(&heartbeat.instance) {
            return false;
        }
        heartbeat.draining |= self.recalled_drains.contains(&heartbeat.instance);
        let is_known = self.backend.as_ref().is_some_and(|b| b.heartbeat.instance == heartbeat.instance);
        if self.awaits_history_until.is_some() && !is_known && !heartbeat.draining {
            let is_older = |held: &Heartbeat| {
                held.instance == heartbeat.instance && held.call_count > heartbeat.call_count
            };
            if !self.unconfirmed.as_ref().is_some_and(is_older) {
                self.unconfirmed = Some(heartbeat);
            }
            return false;
        }
        let state = if heartbeat.draining { EndpointState::Draining } else { EndpointState::Ready };
        let warm_at = if heartbeat.warmup > Micros(0) { now + heartbeat.warmup } else { Micros(0) };
        match &mut self.backend {
            Some(backend) if backend.heartbeat.instance == heartbeat.instance => {
                backend.on_heartbeat(now, heartbeat, state, warm_at)
            }
            _ => {
                let drain = heartbeat.draining.then_some(DrainStart::BeforeThisRun);
                let last_heartbeat_at = now;
                self.backend = Some(LocalBackend { heartbeat, state, last_heartbeat_at, drain, warm_at });
                true
            }
        }
    }
}

/// Remembers an instance; the oldest is forgotten where there are too many.
fn remember(instances: &mut VecDeque<String>, instance: &str) {
    if instances.iter().any(|known| known == instance) {
        return;
    }
    if instances.len() >= MAX_LEFT {
        instances.pop_front();
    }
    instances.push_back(instance.to_string());
}

impl LocalBackend {
    /// One that said that it leaves before anything else was known of it.
    fn that_left(now: Micros, heartbeat: Heartbeat) -> LocalBackend {
        LocalBackend {
            heartbeat,
            state: EndpointState::Left,
            last_heartbeat_at: now,
            drain: Some(DrainStart::BeforeThisRun),
            warm_at: Micros(0),
        }
    }

    /// Whether it can still begin to drain.
    fn may_drain(&self) -> bool {
        matches!(self.state, EndpointState::Ready | EndpointState::Missing)
    }

    /// Whether it has drained for this long, so that nothing more may begin at it.
    pub fn is_drained(&self, now: Micros, drain_time: Micros) -> bool {
        match self.drain {
            Some(DrainStart::At(since)) => now >= since + drain_time,
            Some(DrainStart::BeforeThisRun) => true,
            None => false,
        }
    }

    /// A further heartbeat of the same instance. Whether anything that the others have to know has changed.
    fn on_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: Heartbeat,
        state: EndpointState,
        warm_at: Micros,
    ) -> bool {
        self.last_heartbeat_at = now;
        let is_late = heartbeat.call_count < self.heartbeat.call_count;
        if is_late {
            return false;
        }
        let leaves_drain = self.state == EndpointState::Draining && state == EndpointState::Ready;
        if leaves_drain {
            // A backend that drains goes on to its end.
            self.heartbeat.call_count = heartbeat.call_count;
            return false;
        }
        let changed = self.state != state
            || self.heartbeat.slots != heartbeat.slots
            || self.heartbeat.service != heartbeat.service
            || self.heartbeat.address != heartbeat.address;
        if state == EndpointState::Draining {
            self.drain = self.drain.or(Some(DrainStart::At(now)));
        }
        self.heartbeat = heartbeat;
        self.state = state;
        self.warm_at = warm_at;
        changed
    }
}
