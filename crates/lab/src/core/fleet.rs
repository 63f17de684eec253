//! All backends together: what each makes of a posting, what its group remembers, and what goes into the books.
use std::collections::BTreeMap;

use super::backend::{Backend, Build, Came, Event, Load};
use super::crowd::Scheme;
use super::kit::*;
use super::ledger::{End, Entry, Ledger};
use super::memory::Memory;
use super::timetable::{Ill, Place};

/// Where a backend stands.
#[derive(Clone, Debug)]
pub struct Site {
    pub zone: ZoneId,
    pub cell: u64,
    /// As the register tells it.
    pub size: f64,
    pub build: Build,
}

/// What is wrong with a backend just now.
#[derive(Clone, Debug, PartialEq)]
pub struct Ailing {
    pub slow: f64,
    pub hang: bool,
    pub errors: (f64, f64),
    pub breaks: [f64; 3],
    pub cut_off: f64,
    pub spoilt: f64,
    pub half_open: f64,
}
impl Default for Ailing {
    fn default() -> Ailing {
        Ailing {
            slow: 1.0,
            hang: false,
            errors: (0.0, 0.0),
            breaks: [0.0; 3],
            cut_off: 0.0,
            spoilt: 0.0,
            half_open: 0.0,
        }
    }
}
impl Ailing {
    /// One more ill on top of those there are.
    pub fn with(mut self, ill: &Ill) -> Ailing {
        match *ill {
            Ill::Slow(times) => self.slow *= times,
            Ill::Hang => self.hang = true,
            Ill::Errors { share, ran } => self.errors = (share.max(self.errors.0), ran),
            Ill::Break { place, share } => self.breaks[place as usize] = share,
            Ill::CutOff(share) => self.cut_off = share,
            Ill::Spoilt(share) => self.spoilt = share,
            Ill::HalfOpen(share) => self.half_open = share,
            _ => {}
        }
        self
    }
}

/// What a backend sends back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// 200 and the body for this txn.
    Settled,
    /// The same, but it stops short.
    CutOff,
    /// Bytes that are no answer.
    Spoilt,
    /// 500.
    Errored,
    /// 503 with the mark that it never ran.
    NeverRan,
    /// The connection is reset.
    Reset,
    /// Nothing, ever.
    Nothing,
}

#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    pub txn: TxnId,
    pub scheme: ClassId,
    pub work: Micros,
    pub reference: RefId,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    back: BackId,
    wanted: Wanted,
    came: bool,
    over: bool,
}

pub struct Fleet {
    pub sites: Vec<Site>,
    pub ledger: Ledger,
    backs: Vec<Backend>,
    ailing: Vec<Ailing>,
    schemes: Vec<Scheme>,
    memory: Memory,
    held: BTreeMap<PostingId, Held>,
    next: u64,
    seed: u64,
    fell: Vec<BackId>,
    /// Replies that no one has fetched yet.
    due: Vec<(Micros, PostingId, Reply)>,
}

impl Fleet {
    pub fn new(sites: Vec<Site>, schemes: Vec<Scheme>, seed: u64, now: Micros) -> Fleet {
        let backs = sites.iter().enumerate();
        let backs =
            backs.map(|(n, s)| Backend::new(s.build.clone(), mixed(seed, &[31, n as u64]), now)).collect();
        Fleet {
            ailing: vec![Ailing::default(); sites.len()],
            sites,
            ledger: Ledger::default(),
            backs,
            schemes,
            memory: Memory::default(),
            held: BTreeMap::new(),
            next: 0,
            seed,
            fell: Vec::new(),
            due: Vec::new(),
        }
    }

    pub fn back(&self, back: BackId) -> &Backend {
        &self.backs[back.0]
    }
    pub fn load(&self, back: BackId) -> Load {
        self.backs[back.0].load()
    }
    /// Work that all of them can do in a microsecond.
    pub fn able(&self, now: Micros) -> f64 {
        self.backs.iter().filter(|b| !b.is_down()).map(|b| b.able(now)).sum()
    }
    pub fn ail(&mut self, now: Micros, back: BackId, ailing: Ailing) {
        if self.ailing[back.0] != ailing {
            self.live(now, back);
            self.backs[back.0].slow(now, ailing.slow);
            self.backs[back.0].hang(now, ailing.hang);
            self.ailing[back.0] = ailing;
        }
    }
    pub fn hangs(&self, back: BackId) -> bool {
        self.ailing[back.0].hang
    }
    pub fn linked(&mut self, now: Micros, back: BackId) {
        self.live(now, back);
        self.backs[back.0].linked(now);
    }

    /// Whether a connection breaks at the first byte of its next request; `nth` numbers the requests.
    pub fn breaks_before(&self, back: BackId, nth: u64) -> bool {
        lot(self.seed, &[41, back.0 as u64, nth]) < self.ailing[back.0].breaks[Place::Before as usize]
    }

    /// The head of a posting was read; its first byte came at `began`. None: the connection breaks here.
    pub fn began(&mut self, now: Micros, began: Micros, back: BackId, wanted: Wanted) -> Option<PostingId> {
        let posting = PostingId(self.next);
        self.next += 1;
        self.ledger.write(began, Entry::Began { posting, txn: wanted.txn, back });
        self.held.insert(posting, Held { back, wanted, came: false, over: false });
        let breaks = lot(self.seed, &[42, back.0 as u64, wanted.txn.0])
            < self.ailing[back.0].breaks[Place::Middle as usize];
        if breaks {
            self.over(now, posting, End::Unfinished);
        }
        (!breaks).then_some(posting)
    }

    /// It is whole. A reply at once, or none yet.
    pub fn came(&mut self, now: Micros, posting: PostingId) -> Option<Reply> {
        let held = self.held.get_mut(&posting)?;
        held.came = true;
        let (back, wanted) = (held.back, held.wanted);
        self.live(now, back);
        self.ledger.write(now, Entry::Came { posting });
        if self.backs[back.0].warmth(now) < 1.0 {
            self.ledger.write(now, Entry::Weighs { posting, work: wanted.work });
        }
        let lot = |n: u64| lot(self.seed, &[43, back.0 as u64, wanted.txn.0, n]);
        let ailing = &self.ailing[back.0];
        if lot(1) < ailing.errors.0 {
            if lot(2) < ailing.errors.1 {
                self.ran(now, posting);
            }
            return Some(Reply::Errored);
        }
        if lot(3) < ailing.breaks[Place::After as usize] {
            if lot(4) < 0.5 {
                self.ran(now, posting);
            }
            return Some(Reply::Reset);
        }
        if lot(5) < ailing.half_open {
            return Some(Reply::Nothing);
        }
        match self.backs[back.0].came(now, posting, wanted.work) {
            Came::Waits => None,
            Came::TurnedAway => Some(Reply::NeverRan),
            Came::Down => Some(Reply::Reset),
            Came::Fell => {
                self.ledger.write(now, Entry::Fell { back });
                self.fell.push(back);
                Some(Reply::Reset)
            }
        }
    }

    fn ran(&mut self, at: Micros, posting: PostingId) {
        let Some(&Held { back, wanted, .. }) = self.held.get(&posting) else { return };
        let scheme = &self.schemes[wanted.scheme.0];
        let site = &self.sites[back.0];
        let group = match scheme.group {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => site.zone.0 as u64,
            DeduplicationScope::Cell => site.cell,
        };
        let first = scheme.kind != RequestKind::Keyed
            || self.memory.first(at, (wanted.scheme.0, group), wanted.reference, scheme.window);
        let entry = if first { Entry::Ran { posting } } else { Entry::Repeat { posting } };
        self.ledger.write(at, entry);
    }

    pub fn next(&self) -> Option<Micros> {
        let due = self.due.first().map(|due| due.0);
        due.into_iter().chain(self.backs.iter().filter_map(Backend::next)).min()
    }

    /// Lives on until `now`: replies that are due.
    pub fn advance(&mut self, now: Micros) -> Vec<(PostingId, Reply)> {
        (0..self.backs.len()).for_each(|back| self.live(now, BackId(back)));
        std::mem::take(&mut self.due).into_iter().map(|(_, posting, reply)| (posting, reply)).collect()
    }

    /// One backend lives on until `now`, before anything is done to it. Its replies wait for `advance`.
    fn live(&mut self, now: Micros, back: BackId) {
        let at = back.0;
        if self.backs[at].next().is_none_or(|next| next > now) {
            return;
        }
        for event in self.backs[at].advance(now) {
            match event {
                Event::Ran(posting, at) => self.ran(at, posting),
                Event::Done(posting, done) => {
                    let Some(held) = self.held.get(&posting) else { continue };
                    if held.over {
                        self.held.remove(&posting);
                        continue;
                    }
                    let lot = |n: u64| lot(self.seed, &[44, at as u64, held.wanted.txn.0, n]);
                    let reply = match &self.ailing[at] {
                        ailing if lot(1) < ailing.cut_off => Reply::CutOff,
                        ailing if lot(2) < ailing.spoilt => Reply::Spoilt,
                        _ => Reply::Settled,
                    };
                    self.due.push((done, posting, reply));
                }
            }
        }
    }

    /// The connection of a posting ended, or its answer is written. What still runs may go on running.
    pub fn over(&mut self, now: Micros, posting: PostingId, end: End) {
        let Some(held) = self.held.get_mut(&posting).filter(|held| !held.over) else { return };
        held.over = true;
        let (back, came) = (held.back, held.came);
        self.live(now, back);
        self.ledger.write(now, Entry::Over { posting, end });
        let dropped = came && end == End::GivenUp && self.backs[back.0].withdrawn(now, posting);
        if dropped || !came || matches!(end, End::Settled | End::Errored | End::NeverRan) {
            self.held.remove(&posting);
        }
    }

    pub fn crash(&mut self, now: Micros, back: BackId) {
        self.live(now, back);
        self.backs[back.0].crash(now);
        self.held.retain(|_, held| held.back != back || !held.over);
    }
    pub fn start(&mut self, now: Micros, back: BackId) {
        self.backs[back.0].start(now);
        self.ledger.write(now, Entry::Started { back });
    }
    /// Backends that fell over since this was asked last.
    pub fn fallen(&mut self) -> Vec<BackId> {
        std::mem::take(&mut self.fell)
    }
    /// Postings that the fleet still has something to do with.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}
