//! Whether this process stood still: frozen, or without a processor. What is read right after may have waited for as long, with all that it
//! says of time left; it is taken to be that old.
use notchspool::units::Micros;
use notchspool_mesh_protocol::Request;

/// The process is seen to run at least ten times a second: a gap longer than this is one.
const SPAN: Micros = Micros::ms(200);
/// One shorter than this is load, under which what is read is mostly newer: it makes requests older, but takes nothing of their time.
pub const FROZEN: Micros = Micros::ms(1_000);
/// What had piled up is read within this.
const SETTLES: Micros = Micros::ms(50);

#[derive(Clone, Copy, Debug)]
pub struct Standstill {
    seen: Micros,
    gap: Micros,
    woke: Micros,
}

impl Standstill {
    pub fn open(now: Micros) -> Standstill {
        Standstill { seen: now, gap: Micros(0), woke: Micros(0) }
    }

    /// The process runs. Gives how old what is read now may be.
    pub fn runs(&mut self, now: Micros) -> Micros {
        if now - self.seen >= SPAN {
            (self.gap, self.woke) = (now - self.seen, now);
        }
        self.seen = now;
        if self.woke > Micros(0) && now - self.woke < SETTLES { self.gap } else { Micros(0) }
    }
}

/// A request of another proxy that may have waited here as long: it is that much older, and may have no time left.
pub fn older(mut ask: Request, by: Micros) -> Request {
    let ms = (by.0 / 1_000).clamp(0, 600_000) as u32;
    ask.age_ms = ask.age_ms.saturating_add(ms);
    if by >= FROZEN {
        ask.time_left_ms = ask.time_left_ms.saturating_sub(ms);
        ask.target_left_ms = ask.target_left_ms.saturating_sub(ms);
    }
    ask
}
