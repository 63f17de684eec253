//! Backends, well and not.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_data_plane::backend_connection::{AnswerHead, AnswerId};

use super::judge::Run;
use super::world::{Load, World};

/// What a backend does with the requests that come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    Well,
    /// After most callers have given up.
    Late,
    /// Its answer, and later once more.
    Twice,
    /// A refusal without an id comes some time after an answer.
    Stale,
    /// A part of the body, and the end.
    Partly,
    Garbled,
    NoId,
    Silent,
    /// It runs, and the connection ends.
    Resets,
    /// It ends before it runs.
    Drops,
    Refuses,
    /// It refuses, and later once more.
    RefusesTwice,
    /// It refuses without an id.
    Bare,
    /// It refuses before the request is whole.
    Early,
    /// It runs and answers 503, without a word that it has not.
    Promises,
    Fails,
    /// Each of these now and then.
    Any,
}

impl Mood {
    const ALL: [(&str, Mood); 17] = [
        ("well", Mood::Well),
        ("late", Mood::Late),
        ("twice", Mood::Twice),
        ("stale", Mood::Stale),
        ("partly", Mood::Partly),
        ("garbled", Mood::Garbled),
        ("no-id", Mood::NoId),
        ("silent", Mood::Silent),
        ("resets", Mood::Resets),
        ("drops", Mood::Drops),
        ("refuses", Mood::Refuses),
        ("refuses-twice", Mood::RefusesTwice),
        ("bare", Mood::Bare),
        ("early", Mood::Early),
        ("promises", Mood::Promises),
        ("fails", Mood::Fails),
        ("any", Mood::Any),
    ];

    pub fn named(name: &str) -> Option<Mood> {
        Mood::ALL.iter().find(|m| m.0 == name).map(|m| m.1)
    }
}

/// An answer: its head, and how much of its body comes.
#[derive(Clone, Debug)]
pub struct Reply {
    pub head: AnswerHead,
    pub id: String,
    pub seal: String,
    pub bytes: u64,
    /// The whole body comes.
    pub complete: bool,
    pub keep: bool,
}

struct Serving {
    attempt: String,
    target: String,
    mood: Mood,
    /// It began; what it says, when.
    replies: Vec<(Micros, Option<Reply>)>,
    begins: Option<Micros>,
}

pub struct Backend {
    pub instance: String,
    pub mood: Mood,
    /// Work takes this long at most.
    pub work: Micros,
    serving: BTreeMap<u64, Serving>,
}

impl Backend {
    pub fn new(at: usize) -> Backend {
        Backend {
            instance: format!("i-{at}"),
            mood: Mood::Well,
            work: Micros::ms(40),
            serving: BTreeMap::new(),
        }
    }
}

impl World {
    /// Another backend has the address from now on.
    pub fn replace(&mut self, at: usize) {
        self.next += 1;
        let instance = format!("i-{at}-{}", self.next);
        let wires: Vec<u64> = self.backends[at].serving.keys().copied().collect();
        wires.into_iter().for_each(|id| self.close(id, 1, true));
        self.backends[at].serving.clear();
        self.backends[at].instance = instance;
    }

    fn mood(&mut self, at: usize) -> Mood {
        let mood = self.backends[at].mood;
        match mood {
            Mood::Any if self.luck(0.5) => Mood::Well,
            Mood::Any => Mood::ALL[self.below(16) as usize].1,
            mood => mood,
        }
    }

    pub(super) fn backend_hears(&mut self, at: usize, wire: u64, load: Load) {
        let now = self.now;
        match load {
            Load::Begin { attempt, target } => {
                let mood = self.mood(at);
                let old = self.backends[at].serving.remove(&wire);
                let mut replies = old.map_or_else(Vec::new, |o| o.replies);
                if mood == Mood::Early {
                    replies.push((now, Some(refusal(&attempt, 503, true))));
                }
                let serving = Serving { attempt, target, mood, replies, begins: None };
                self.backends[at].serving.insert(wire, serving);
            }
            Load::Rest => {
                let waits = Micros(self.below(15_000) as i64);
                if let Some(serving) = self.backends[at].serving.get_mut(&wire) {
                    *self.judge.arrivals.entry(serving.attempt.clone()).or_default() += 1;
                    serving.begins = Some(now + waits);
                }
            }
            Load::Closed => {
                // One that waits is dropped with its connection; one that runs goes to its end or not.
                let left = self.backends[at].serving.remove(&wire);
                let refuses = [Mood::Early, Mood::Refuses, Mood::RefusesTwice, Mood::Bare, Mood::Drops];
                if let Some(serving) = left.filter(|s| s.begins.is_some() && !refuses.contains(&s.mood))
                    && self.luck(0.3)
                {
                    self.runs(at, &serving);
                }
                self.close(wire, 1, false);
            }
            _ => {}
        }
    }

    fn runs(&mut self, at: usize, serving: &Serving) -> (String, u64) {
        self.next += 1;
        let seal = format!("{}-{}", self.backends[at].instance, self.next);
        let bytes = if self.luck(0.25) { 3 + self.below(3) } else { 1 };
        let failed = serving.mood == Mood::Fails;
        let attempt = serving.attempt.clone();
        self.judge.runs.push(Run { attempt, at: self.now, seal: seal.clone(), bytes, failed });
        (seal, bytes)
    }

    pub(super) fn backend_wakes(&mut self, at: usize) {
        let now = self.now;
        let due: Vec<u64> = self.backends[at]
            .serving
            .iter()
            .filter(|(_, s)| s.begins.is_some_and(|b| b <= now) || s.replies.iter().any(|r| r.0 <= now))
            .map(|s| *s.0)
            .collect();
        for wire in due {
            let Some(mut serving) = self.backends[at].serving.remove(&wire) else { continue };
            let mut open = true;
            if serving.begins.is_some_and(|b| b <= now) {
                serving.begins = None;
                open = self.begins(at, &mut serving);
            }
            let (say, later): (Vec<_>, Vec<_>) = serving.replies.into_iter().partition(|r| r.0 <= now);
            serving.replies = later;
            for (_, reply) in say {
                let ends = reply.as_ref().is_none_or(|r| !r.complete);
                if let Some(reply) = reply {
                    self.send(wire, 1, Load::Answer(reply));
                }
                open &= !ends;
            }
            if open {
                self.backends[at].serving.insert(wire, serving);
            } else {
                self.close(wire, 1, false);
            }
        }
    }

    /// It begins, or is turned away. False where the connection ends at once.
    fn begins(&mut self, at: usize, serving: &mut Serving) -> bool {
        let now = self.now;
        if serving.target != self.backends[at].instance {
            serving.replies.push((now, Some(refusal(&serving.attempt, 421, true))));
            return true;
        }
        match serving.mood {
            Mood::Drops => return false,
            Mood::Refuses => serving.replies.push((now, Some(refusal(&serving.attempt, 503, true)))),
            Mood::RefusesTwice => {
                let after = now + Micros(self.below(50_000) as i64);
                for at in [now, after] {
                    serving.replies.push((at, Some(refusal(&serving.attempt, 503, true))));
                }
            }
            Mood::Bare => serving.replies.push((now, Some(refusal("", 503, true)))),
            Mood::Early => {}
            mood => {
                let (seal, bytes) = self.runs(at, serving);
                let work = self.backends[at].work;
                let span = if mood == Mood::Late { Micros::ms(2_500) } else { work };
                let done = now + Micros(self.below(span.0 as u64) as i64) + Micros(span.0 / 4);
                let id = serving.attempt.clone();
                let head = AnswerHead {
                    status: 200,
                    id: AnswerId::One(id.clone()),
                    sealed: true,
                    not_run: false,
                    encoded: false,
                };
                let keep = self.backends[at].mood != Mood::Any || self.luck(0.9);
                let reply = Reply { head, id, seal, bytes, complete: true, keep };
                serving.replies.extend(self.says(mood, done, reply));
            }
        }
        true
    }

    fn says(&mut self, mood: Mood, done: Micros, reply: Reply) -> Vec<(Micros, Option<Reply>)> {
        let with = |status: u16, id: AnswerId| Reply {
            head: AnswerHead { status, id, ..reply.head.clone() },
            ..reply.clone()
        };
        let own = reply.head.id.clone();
        let after = done + Micros(self.below(300_000) as i64);
        match mood {
            Mood::Silent => Vec::new(),
            Mood::Resets => vec![(done, None)],
            Mood::Partly => vec![(done, Some(Reply { complete: false, ..reply }))],
            Mood::Garbled => vec![(done, Some(with(200, AnswerId::Ambiguous)))],
            Mood::NoId => vec![(done, Some(with(200, AnswerId::Missing)))],
            Mood::Promises => vec![(done, Some(with(503, own)))],
            Mood::Fails => vec![(done, Some(with(500, own)))],
            Mood::Twice => vec![(done, Some(reply.clone())), (after, Some(reply))],
            Mood::Stale => vec![(done, Some(reply)), (after, Some(refusal("", 503, true)))],
            _ => vec![(done, Some(reply))],
        }
    }
}

fn refusal(id: &str, status: u16, keep: bool) -> Reply {
    let head = AnswerHead {
        status,
        id: if id.is_empty() { AnswerId::Missing } else { AnswerId::One(id.into()) },
        sealed: false,
        not_run: status != 421,
        encoded: false,
    };
    Reply { head, id: id.into(), seal: String::new(), bytes: 1, complete: true, keep }
}
