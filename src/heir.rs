//! What a balancer has learnt, for the one that takes its place: a newer process of the same agent. Figures
//! alone; txns in hand stay where they are. No decisions here: what is taken over only stands where else the
//! figures of a beginner would.
use crate::logic::Balancer;
use crate::tally::Tally;
use crate::units::{BackendId, Micros};

/// Figures of one balancer. Times are Unix time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learnt {
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
            let known =
                Known { started: b.entry.started, pace: b.pace, doubt: b.doubt, flow: b.flow, cold_sent };
            (b.entry.backend, known)
        });
        Learnt {
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
        gauge.window.size = learnt.window.max(gauge.window.size);
        (gauge.window.saved, gauge.stress, gauge.rest) = (learnt.saved, learnt.stress, learnt.rest);
        (gauge.fails, gauge.held, gauge.busy) = (learnt.fails, learnt.held, learnt.busy);
        gauge.opening = learnt.opening;
        for (took, elder) in self.took.iter_mut().zip(learnt.took) {
            *took = elder;
        }
        for (id, known) in learnt.backends {
            let b = self.backends.get_mut(id.0 as usize).and_then(Option::as_mut);
            if let Some(b) = b.filter(|b| b.entry.started == known.started) {
                (b.pace, b.doubt, b.flow) = (known.pace, known.doubt, known.flow);
                b.cold_sent.extend(known.cold_sent);
            }
        }
    }
}
