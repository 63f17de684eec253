//! Judges the four rules for every txn, from the ledger alone. It knows nothing of agents but which of them a
//! client gave a txn to, and what the register wrote to them.
//!
//! Where two books meet, `slack` is granted: a backend may note the end of a connection a moment after the agent
//! has begun the next. Every other doubt counts against the agent: what came whole may have run.
use std::collections::BTreeMap;

use super::agreement::Agreement;
use super::cold::ColdBook;
use super::kit::*;
use super::ledger::{End, Entry, Final, Ledger, Standing};

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: exactly one final answer before the expiry, nothing sent after it.
    Lost,
    /// 2: no effect twice, nothing sent again that may have run, never two postings out.
    Twice,
    /// 3: nothing new to a backend past the grace.
    Drain,
    /// 4: no cold backend pushed over.
    Cold,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 4] = [Rule::Lost, Rule::Twice, Rule::Drain, Rule::Cold];
}

/// A rule that was broken: how, by which request, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Breach {
    pub rule: Rule,
    pub what: &'static str,
    pub txn: Option<TxnId>,
    pub at: Micros,
}

/// What the books say of a whole run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    pub taken: usize,
    pub settled: usize,
    pub declined: usize,
    pub reversed: usize,
    pub left: usize,
    /// Held by an agent that was killed.
    pub orphaned: usize,
    pub postings: usize,
    /// Answered without service after half of the time, with nothing out.
    pub held_back: usize,
    /// Effects of once-only txns that were counted.
    pub once_only_ran: usize,
}

#[derive(Clone, Debug)]
struct Sent {
    back: BackId,
    began: Micros,
    came: Option<Micros>,
    ran: Vec<Micros>,
    over: Option<(Micros, End)>,
}

impl Sent {
    /// Whether this posting may have run, for all that its sender can know.
    fn may_have_run(&self) -> bool {
        !matches!(self.over, Some((_, End::NeverRan | End::Unfinished)))
    }
    fn over_by(&self, at: Micros) -> bool {
        self.over.is_some_and(|(over, _)| over <= at)
    }
}

#[derive(Clone, Debug)]
struct Book {
    agent: AgentId,
    scheme: ClassId,
    taken: Micros,
    expiry: Micros,
    heard: Vec<(Micros, Final)>,
    left: Option<Micros>,
    unanswered: Option<Micros>,
    sent: Vec<Sent>,
}

pub fn audit(ledger: &Ledger, agreed: &Agreement) -> Verdict {
    let mut verdict = Verdict::default();
    let mut books: BTreeMap<TxnId, Book> = BTreeMap::new();
    let mut postings: BTreeMap<PostingId, (TxnId, usize)> = BTreeMap::new();
    let mut told: BTreeMap<(AgentId, BackId), Micros> = BTreeMap::new();
    let mut killed: Vec<(Micros, AgentId)> = Vec::new();
    let mut cold = ColdBook::default();
    for &(at, entry) in &ledger.lines {
        match entry {
            Entry::Taken { txn, agent, scheme, expiry } => {
                let book = Book {
                    agent,
                    scheme,
                    taken: at,
                    expiry,
                    heard: Vec::new(),
                    left: None,
                    unanswered: None,
                    sent: Vec::new(),
                };
                books.entry(txn).or_insert(book);
            }
            Entry::Heard { txn, answer } => {
                books.entry(txn).and_modify(|b| b.heard.push((at, answer))).ignore();
            }
            Entry::Left { txn } => books.entry(txn).and_modify(|b| b.left = Some(at)).ignore(),
            Entry::Unanswered { txn } => books.entry(txn).and_modify(|b| b.unanswered = Some(at)).ignore(),
            Entry::Began { posting, txn, back } => {
                let Some(book) = books.get_mut(&txn) else {
                    verdict.breach(Rule::Lost, "sent without a client that asked", Some(txn), at);
                    continue;
                };
                if let Some(grace) = agreed.drain_grace
                    && told.get(&(book.agent, back)).is_some_and(|&since| at > since + grace + agreed.slack)
                {
                    verdict.breach(Rule::Drain, "sent to a backend past its grace", Some(txn), at);
                }
                postings.insert(posting, (txn, book.sent.len()));
                book.sent.push(Sent { back, began: at, came: None, ran: Vec::new(), over: None });
            }
            Entry::Came { posting } => on(&mut books, &postings, posting, |s| s.came = Some(at)),
            Entry::Ran { posting } => on(&mut books, &postings, posting, |s| s.ran.push(at)),
            Entry::Repeat { .. } => {}
            Entry::Weighs { posting, work } => {
                let sent = postings.get(&posting).and_then(|(txn, nth)| Some((books.get(txn)?, *nth)));
                if let Some((book, nth)) = sent
                    && let Some(over) = cold.weighs(at, book.agent, book.sent[nth].back, work, agreed)
                {
                    verdict.breach(Rule::Cold, over, None, at);
                }
            }
            Entry::Over { posting, end } => {
                on(&mut books, &postings, posting, |s| s.over = s.over.or(Some((at, end))));
            }
            Entry::Told { agent, back, standing: Standing::Ready } => {
                told.remove(&(agent, back));
                cold.told(agent, back);
            }
            Entry::Told { agent, back, .. } => drop(told.entry((agent, back)).or_insert(at)),
            Entry::Started { back } => {
                told.retain(|(_, held), _| *held != back);
                cold.started(at, back);
            }
            Entry::Fell { back: _ } => verdict.breach(Rule::Cold, "a cold backend was pushed over", None, at),
            Entry::Killed { agent } => {
                killed.push((at, agent));
            }
            Entry::Launched { agent } => told.retain(|(held, _), _| *held != agent),
        }
    }
    for (&txn, book) in &books {
        // A kill takes a moment: what is written to its connections just then is as lost as what it held.
        let struck = |k: &&(Micros, AgentId)| k.1 == book.agent && k.0 + agreed.slack >= book.taken;
        let orphan = killed.iter().find(struck).map(|k| k.0);
        judge(&mut verdict, txn, book, orphan, agreed);
    }
    verdict
}

/// An entry's change is all that is wanted of it.
trait Ignore: Sized {
    fn ignore(self) {}
}
impl<T> Ignore for T {}

fn on(
    books: &mut BTreeMap<TxnId, Book>,
    postings: &BTreeMap<PostingId, (TxnId, usize)>,
    posting: PostingId,
    change: impl FnOnce(&mut Sent),
) {
    let sent = postings.get(&posting).and_then(|(txn, at)| books.get_mut(txn)?.sent.get_mut(*at));
    if let Some(sent) = sent {
        change(sent);
    }
}

impl Verdict {
    fn breach(&mut self, rule: Rule, what: &'static str, txn: Option<TxnId>, at: Micros) {
        self.breaches.push(Breach { rule, what, txn, at });
    }
}

fn judge(verdict: &mut Verdict, txn: TxnId, book: &Book, orphan: Option<Micros>, agreed: &Agreement) {
    verdict.taken += 1;
    verdict.postings += book.sent.len();
    let row = &agreed.schemes[book.scheme.0];
    let mut breach = |rule, what, at| verdict.breaches.push(Breach { rule, what, txn: Some(txn), at });

    // Rule 1.
    let first = book.heard.first().copied();
    if let Some(&(at, _)) = book.heard.get(1) {
        breach(Rule::Lost, "answered more than once", at);
    }
    match (first, book.left) {
        (Some((at, _)), _) if at > book.expiry + agreed.slack => {
            breach(Rule::Lost, "answered after its expiry", at);
        }
        (Some(_), _) => {}
        (None, Some(left)) if left < book.expiry => {}
        (None, _) if orphan.is_some_and(|at| at <= book.expiry + agreed.slack) => verdict.orphaned += 1,
        (None, left) => {
            breach(Rule::Lost, "no final answer", left.or(book.unanswered).unwrap_or(book.expiry));
        }
    }
    // A client whose answer broke off has none, and what is out for it may go on; nothing else may begin.
    let end = [first.map(|f| f.0), book.left, Some(book.expiry)].into_iter().flatten().min();
    if let Some(end) = end
        && let Some(late) = book.sent.iter().find(|s| s.began > end + agreed.slack)
    {
        breach(Rule::Lost, "sent after its end", late.began);
    }
    let made = book.sent.iter().any(|s| matches!(s.over, Some((_, End::Settled))));
    if let Some((at, Final::Settled)) = first
        && !made
    {
        breach(Rule::Lost, "settled with what no backend made", at);
    }

    // Rule 2.
    let ran: Vec<Micros> = book.sent.iter().flat_map(|s| s.ran.iter().copied()).collect();
    if row.kind == RequestKind::NonIdempotent {
        verdict.once_only_ran += ran.len();
        if let Some(&at) = ran.get(1) {
            breach(Rule::Twice, "a once-only txn ran twice", at);
        }
    }
    if let Some((at, Final::Declined)) = first
        && (row.kind == RequestKind::NonIdempotent
            || (row.kind == RequestKind::Keyed && row.group != DeduplicationScope::All))
        && book.sent.iter().any(Sent::may_have_run)
    {
        breach(Rule::Twice, "declined though it may have run", at);
    }
    if let Some(more) = book.sent.get(agreed.most_postings) {
        breach(Rule::Twice, "more postings than agreed", more.began);
    }
    for (at, later) in book.sent.iter().enumerate() {
        let before = &book.sent[..at];
        let came = later.came.unwrap_or(later.began);
        if before.iter().any(|s| s.came.is_some() && !s.over_by(came + agreed.slack)) {
            breach(Rule::Twice, "two postings out at once", came);
        }
        let Some(earlier) = before.iter().find(|s| s.came.is_some() && s.may_have_run()) else { continue };
        match row.kind {
            RequestKind::Idempotent => {}
            RequestKind::NonIdempotent => {
                breach(Rule::Twice, "a once-only txn sent again though it may have run", later.began);
            }
            RequestKind::Keyed => {
                let place = |back: BackId| agreed.places[back.0];
                let within = match row.group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => place(earlier.back).zone == place(later.back).zone,
                    DeduplicationScope::Cell => place(earlier.back).cell == place(later.back).cell,
                };
                if !within {
                    breach(Rule::Twice, "a reference sent again outside its group", later.began);
                }
                if later.began > earlier.began + row.window + agreed.slack {
                    breach(Rule::Twice, "a reference sent again after its window", later.began);
                }
            }
        }
    }

    match first {
        Some((_, Final::Settled)) => verdict.settled += 1,
        Some((_, Final::Declined)) => verdict.declined += 1,
        Some((_, Final::Reversed)) => verdict.reversed += 1,
        None => verdict.left += usize::from(book.left.is_some()),
    }
    if let Some((at, Final::Declined | Final::Reversed)) = first {
        let free = book.sent.iter().filter_map(|s| s.over).map(|o| o.0).max().unwrap_or(book.taken);
        let out = book.sent.iter().any(|s| !s.over_by(at));
        let late = (at - book.taken).0 * 2 > (book.expiry - book.taken).0;
        let waited = at - free > agreed.connect_within + Micros::ms(100);
        verdict.held_back += usize::from(!out && late && waited);
    }
}

/// All that the books hold of one txn, a line each, with times from when it was taken.
pub fn history(ledger: &Ledger, txn: TxnId) -> Vec<String> {
    let mut own = Vec::new();
    let mut began = None;
    let mut lines = Vec::new();
    for &(at, entry) in &ledger.lines {
        let its = match entry {
            Entry::Taken { txn: of, .. }
            | Entry::Heard { txn: of, .. }
            | Entry::Left { txn: of }
            | Entry::Unanswered { txn: of } => of == txn,
            Entry::Began { posting, txn: of, .. } => {
                if of == txn {
                    own.push(posting);
                }
                of == txn
            }
            Entry::Came { posting }
            | Entry::Weighs { posting, .. }
            | Entry::Ran { posting }
            | Entry::Repeat { posting }
            | Entry::Over { posting, .. } => own.contains(&posting),
            _ => false,
        };
        if its {
            let since = (at - *began.get_or_insert(at)).0 as f64 / 1000.0;
            lines.push(format!("{since:>9.1} ms  {entry:?}"));
        }
    }
    lines
}
