//! What a balancer has learnt, for the one that takes its place: a newer process of the same agent. Figures
//! alone; txns in hand stay where they are. No decisions here: what is taken over only stands where else the
//! figures of a beginner would.
use crate::logic::Balancer;
use crate::tally::Tally;
use crate::units::{BackendId, Entry, Micros};

/// Figures of one balancer. Times are Unix time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learnt {
    /// Whether the elder served a fleet of this shape: as many agents, sizes told alike, the same schemes. Else what
    /// hangs on it starts afresh: windows, strain, load, and what backends settle for one agent.
    pub same: bool,
    /// After this an unused connection is not trusted; 0: not known.
    pub keep: Micros,
    pub window: f64,
    pub saved: f64,
    pub stress: f64,
    pub rest: f64,
    pub fails: f64,
    pub held: f64,
    pub busy: f64,
    pub opening: bool,
    /// Response times of settled postings, by scheme.
    pub took: Vec<Tally>,
    pub backends: Vec<(BackendId, Known)>,
}

/// What is known of one backend's present life.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    pub started: Micros,
    pub pace: f64,
    pub doubt: f64,
    /// Its nominal size, where weights move with load; 0: not known.
    pub size: f64,
    pub flow: f64,
    /// When postings went there while it was cold: both processes keep one budget.
    pub cold_sent: Vec<Micros>,
}

impl Balancer {
    /// How many backends are listed, not told as draining or gone, and not ejected.
    pub fn sound(&self) -> usize {
        self.kept().filter(|b| b.told.is_none() && !b.shut(self.now)).count()
    }

    pub fn learnt(&self) -> Learnt {
        let gauge = &self.gauge;
        let known = self.backends.iter().flatten().filter(|b| !b.dropped).map(|b| {
            let cold_sent = b.cold_sent.clone();
            let size = if self.terms.live_weights { b.entry.size } else { 0.0 };
            let (started, pace, doubt, flow) = (b.entry.started, b.pace, b.doubt, b.flow);
            let known = Known { started, pace, doubt, size, flow, cold_sent };
            (b.entry.backend, known)
        });
        Learnt {
            same: true,
            keep: self.trust.keep,
            window: gauge.window.size,
            saved: gauge.window.saved,
            stress: gauge.stress,
            rest: gauge.rest,
            fails: gauge.fails,
            held: gauge.held,
            busy: gauge.busy,
            opening: gauge.opening,
            took: self.took.clone(),
            backends: known.collect(),
        }
    }

    /// Takes over what an elder has learnt, before the first txn. Of a backend that has started anew since
    /// nothing counts.
    pub fn inherit(&mut self, learnt: Learnt) {
        let gauge = &mut self.gauge;
        gauge.fails = learnt.fails;
        if learnt.same {
            gauge.window.size = learnt.window.max(gauge.window.size);
            gauge.wide.size = gauge.window.size;
            (gauge.window.saved, gauge.stress, gauge.rest) = (learnt.saved, learnt.stress, learnt.rest);
            (gauge.held, gauge.busy, gauge.opening) = (learnt.held, learnt.busy, learnt.opening);
        }
        if learnt.keep > Micros(0) {
            self.trust.keep = self.trust.keep.min(learnt.keep);
        }
        for (took, elder) in self.took.iter_mut().zip(learnt.took) {
            *took = elder;
        }
        for (id, known) in learnt.backends {
            let Some(b) = self.backends.get_mut(id.0 as usize).and_then(Option::as_mut) else { continue };
            if self.terms.live_weights && known.size > 0.0 {
                // A size is its machine type's, whatever process runs there.
                self.sizes.of(&Entry { size: known.size, ..b.entry.clone() });
            }
            if b.entry.started == known.started {
                (b.pace, b.doubt) = (known.pace, known.doubt);
                b.flow = if learnt.same { known.flow } else { b.flow };
                b.cold_sent.extend(known.cold_sent);
            }
        }
        for b in self.backends.iter_mut().flatten().filter(|_| self.terms.live_weights) {
            let listed = b.entry.size / (1.0 + b.crowd);
            (b.entry.size, b.crowd) = self.sizes.of(&Entry { size: listed, ..b.entry.clone() });
        }
    }
}
