//! Books as text, to be kept and judged again. A line an entry, `MS WORD ...`, in order of time; before them what was agreed; `#` begins a
//! remark. The last line, `end N`, says how many entries there are: a file that was cut is found out.
//!
//! Agreed: `scheme N KIND GROUP WINDOW_MS`, `backend N ZONE CELL ABLE` (work it can do warm, in microseconds a microsecond), `grace MS`,
//! `postings N`, `slack MS`, `connect MS`, `cold FROM SPAN_MS MULTIPLE WITHIN_MS`.
//!
//! Entries: `take T AGENT SCHEME EXPIRY_MS`, `heard T settled|declined|reversed`, `left T`, `unanswered T`, `began P T BACK`, `came P`,
//! `weighs P MS`, `ran P`, `repeat P`, `over P END`, `told AGENT BACK STANDING`, `started BACK`, `fell BACK`, `killed|launched AGENT`.
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use super::agreement::{Agreement, Place, Repeats};
use super::backend::Cold;
use super::kit::*;
use super::ledger::*;

const FINALS: [(&str, Final); 3] =
    [("settled", Final::Settled), ("declined", Final::Declined), ("reversed", Final::Reversed)];
const ENDS: [(&str, End); 6] = [
    ("settled", End::Settled),
    ("errored", End::Errored),
    ("never-ran", End::NeverRan),
    ("unfinished", End::Unfinished),
    ("broken", End::Broken),
    ("given-up", End::GivenUp),
];
const STANDINGS: [(&str, Standing); 3] =
    [("ready", Standing::Ready), ("draining", Standing::Draining), ("gone", Standing::Gone)];
const KINDS: [(&str, RequestKind); 3] = [
    ("repeatable", RequestKind::Idempotent),
    ("referenced", RequestKind::Keyed),
    ("once-only", RequestKind::NonIdempotent),
];
const GROUPS: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("cell", DeduplicationScope::Cell),
];

fn named<T: Copy>(all: &[(&str, T)], word: &str) -> Result<T, String> {
    let names = || all.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ");
    let found = all.iter().find(|(name, _)| *name == word).map(|(_, value)| *value);
    found.ok_or_else(|| format!("`{word}` is none of {}", names()))
}
fn name_of<T: PartialEq>(all: &[(&'static str, T)], of: &T) -> &'static str {
    all.iter().find(|(_, value)| value == of).map_or("?", |(name, _)| name)
}

/// The words of a line, taken one after the other.
struct Words<'a>(std::str::SplitWhitespace<'a>);
impl<'a> Words<'a> {
    fn word(&mut self) -> Result<&'a str, String> {
        self.0.next().ok_or_else(|| "a word is missing".to_owned())
    }
    fn number<T: std::str::FromStr>(&mut self) -> Result<T, String> {
        let word = self.word()?;
        word.parse().map_err(|_| format!("`{word}` is no number"))
    }
    /// Milliseconds with up to three decimals.
    fn time(&mut self) -> Result<Micros, String> {
        let word = self.word()?;
        let ms = word.parse::<f64>().ok().filter(|ms| ms.is_finite() && ms.abs() < 1e12);
        ms.map(|ms| Micros((ms * 1000.0).round() as i64)).ok_or_else(|| format!("`{word}` is no time"))
    }
    fn end(mut self) -> Result<(), String> {
        self.0.next().map_or(Ok(()), |word| Err(format!("`{word}` is too much")))
    }
}

/// One entry, without its time.
pub fn entry(words: &str) -> Result<Entry, String> {
    read_entry(Words(words.split_whitespace()))
}

fn read_entry(mut w: Words) -> Result<Entry, String> {
    let word = w.word()?;
    let read = match word {
        "take" => Entry::Taken {
            txn: TxnId(w.number()?),
            agent: AgentId(w.number()?),
            scheme: ClassId(w.number()?),
            expiry: w.time()?,
        },
        "heard" => Entry::Heard { txn: TxnId(w.number()?), answer: named(&FINALS, w.word()?)? },
        "left" => Entry::Left { txn: TxnId(w.number()?) },
        "unanswered" => Entry::Unanswered { txn: TxnId(w.number()?) },
        "began" => Entry::Began {
            posting: PostingId(w.number()?),
            txn: TxnId(w.number()?),
            back: BackId(w.number()?),
        },
        "came" => Entry::Came { posting: PostingId(w.number()?) },
        "weighs" => Entry::Weighs { posting: PostingId(w.number()?), work: w.time()? },
        "ran" => Entry::Ran { posting: PostingId(w.number()?) },
        "repeat" => Entry::Repeat { posting: PostingId(w.number()?) },
        "over" => Entry::Over { posting: PostingId(w.number()?), end: named(&ENDS, w.word()?)? },
        "told" => Entry::Told {
            agent: AgentId(w.number()?),
            back: BackId(w.number()?),
            standing: named(&STANDINGS, w.word()?)?,
        },
        "started" => Entry::Started { back: BackId(w.number()?) },
        "fell" => Entry::Fell { back: BackId(w.number()?) },
        "launched" => Entry::Launched { agent: AgentId(w.number()?) },
        "killed" => Entry::Killed { agent: AgentId(w.number()?) },
        other => return Err(format!("`{other}` is no entry")),
    };
    w.end().map(|()| read)
}

/// What entries must not do, whatever the rules say: speak of what is not there, or come in another order than it can have been.
#[derive(Default)]
struct Sense {
    last: Option<Micros>,
    taken: BTreeSet<TxnId>,
    began: BTreeMap<PostingId, bool>,
}

impl Sense {
    fn follows(&mut self, at: Micros, entry: &Entry, agreed: &Agreement) -> Result<(), String> {
        if self.last.is_some_and(|last| at < last) {
            return Err("earlier than the entry before it".into());
        }
        self.last = Some(at);
        let back = |back: BackId| match back.0 < agreed.places.len() {
            true => Ok(()),
            false => Err(format!("no backend {}", back.0)),
        };
        let txn = |txn: &TxnId| match self.taken.contains(txn) {
            true => Ok(()),
            false => Err(format!("no txn {} was taken", txn.0)),
        };
        match entry {
            Entry::Taken { txn, scheme, .. } => {
                if scheme.0 >= agreed.schemes.len() {
                    return Err(format!("no scheme {}", scheme.0));
                }
                if !self.taken.insert(*txn) {
                    return Err(format!("txn {} was taken before", txn.0));
                }
            }
            Entry::Heard { txn: of, .. } | Entry::Left { txn: of } | Entry::Unanswered { txn: of } => {
                txn(of)?;
            }
            Entry::Began { posting, back: at, .. } => {
                back(*at)?;
                if self.began.insert(*posting, false).is_some() {
                    return Err(format!("posting {} began before", posting.0));
                }
            }
            Entry::Came { posting }
            | Entry::Weighs { posting, .. }
            | Entry::Ran { posting }
            | Entry::Repeat { posting } => {
                self.began.get(posting).ok_or_else(|| format!("posting {} has not begun", posting.0))?;
            }
            Entry::Over { posting, .. } => {
                let over = self.began.get_mut(posting);
                let over = over.ok_or_else(|| format!("posting {} has not begun", posting.0))?;
                if std::mem::replace(over, true) {
                    return Err(format!("posting {} is over already", posting.0));
                }
            }
            Entry::Told { back: at, .. } | Entry::Started { back: at } | Entry::Fell { back: at } => {
                back(*at)?;
            }
            Entry::Killed { .. } | Entry::Launched { .. } => {}
        }
        Ok(())
    }
}

fn agreed(word: &str, w: &mut Words, agreed: &mut Agreement) -> Result<bool, String> {
    let in_turn = |nth: usize, all: usize| match nth == all {
        true => Ok(()),
        false => Err(format!("number {nth} where {all} is next")),
    };
    match word {
        "scheme" => {
            in_turn(w.number()?, agreed.schemes.len())?;
            let (kind, group) = (named(&KINDS, w.word()?)?, named(&GROUPS, w.word()?)?);
            agreed.schemes.push(Repeats { kind, group, window: w.time()? });
        }
        "backend" => {
            in_turn(w.number()?, agreed.places.len())?;
            let (zone, cell) = (ZoneId(w.number()?), w.number()?);
            agreed.places.push(Place { zone, cell, able: w.number()? });
        }
        "grace" => agreed.drain_grace = Some(w.time()?),
        "postings" => agreed.most_postings = w.number()?,
        "slack" => agreed.slack = w.time()?,
        "connect" => agreed.connect_within = w.time()?,
        "cold" => {
            let (from, span) = (w.number()?, w.time()?);
            agreed.cold = Some(Cold { from, span, multiple: w.number()?, within: w.time()? });
        }
        _ => return Ok(false),
    }
    Ok(true)
}

/// Reads books whole, or says what is wrong and in which line. What can't be read is never judged.
pub fn read(text: &str) -> Result<(Agreement, Ledger), String> {
    let mut terms = Agreement::default();
    let (mut ledger, mut sense, mut end) = (Ledger::default(), Sense::default(), None);
    for (nth, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let at_line = |why: String| format!("line {}: {why}", nth + 1);
        if end.is_some() {
            return Err(at_line("something behind the end".into()));
        }
        let one = || -> Result<Option<usize>, String> {
            let mut w = Words(line.split_whitespace());
            let word = line.split_whitespace().next().unwrap_or("");
            if word == "end" {
                w.word()?;
                let many = w.number()?;
                return w.end().map(|()| Some(many));
            }
            if word.starts_with(|c: char| c.is_ascii_alphabetic()) {
                w.word()?;
                if !ledger.lines.is_empty() {
                    return Err(format!("`{word}` is agreed before the first entry"));
                }
                if !agreed(word, &mut w, &mut terms)? {
                    return Err(format!("`{word}` is nothing that is agreed"));
                }
                return w.end().map(|()| None);
            }
            let at = w.time()?;
            let entry = read_entry(w)?;
            sense.follows(at, &entry, &terms)?;
            ledger.write(at, entry);
            Ok(None)
        };
        end = { one }().map_err(at_line)?;
    }
    match end {
        Some(many) if many == ledger.lines.len() => Ok((terms, ledger)),
        Some(many) => Err(format!("{} entries, and the end says {many}", ledger.lines.len())),
        None => Err("no end: the file is cut".into()),
    }
}

struct Ms(Micros);
impl std::fmt::Display for Ms {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}", self.0.0 as f64 / 1000.0)
    }
}

fn say(entry: &Entry) -> String {
    match entry {
        Entry::Taken { txn, agent, scheme, expiry } => {
            format!("take {} {} {} {}", txn.0, agent.0, scheme.0, Ms(*expiry))
        }
        Entry::Heard { txn, answer } => format!("heard {} {}", txn.0, name_of(&FINALS, answer)),
        Entry::Left { txn } => format!("left {}", txn.0),
        Entry::Unanswered { txn } => format!("unanswered {}", txn.0),
        Entry::Began { posting, txn, back } => format!("began {} {} {}", posting.0, txn.0, back.0),
        Entry::Came { posting } => format!("came {}", posting.0),
        Entry::Weighs { posting, work } => format!("weighs {} {}", posting.0, Ms(*work)),
        Entry::Ran { posting } => format!("ran {}", posting.0),
        Entry::Repeat { posting } => format!("repeat {}", posting.0),
        Entry::Over { posting, end } => format!("over {} {}", posting.0, name_of(&ENDS, end)),
        Entry::Told { agent, back, standing } => {
            format!("told {} {} {}", agent.0, back.0, name_of(&STANDINGS, standing))
        }
        Entry::Started { back } => format!("started {}", back.0),
        Entry::Fell { back } => format!("fell {}", back.0),
        Entry::Killed { agent } => format!("killed {}", agent.0),
        Entry::Launched { agent } => format!("launched {}", agent.0),
    }
}

/// Writes books whole. `made`: how they were made, for the remarks at the top.
pub fn write(made: &str, agreed: &Agreement, ledger: &Ledger) -> String {
    let mut text = String::new();
    for line in made.lines() {
        let _ = writeln!(text, "# {line}");
    }
    for (n, s) in agreed.schemes.iter().enumerate() {
        let (kind, group) = (name_of(&KINDS, &s.kind), name_of(&GROUPS, &s.group));
        let _ = writeln!(text, "scheme {n} {kind} {group} {}", Ms(s.window));
    }
    for (n, p) in agreed.places.iter().enumerate() {
        let _ = writeln!(text, "backend {n} {} {} {}", p.zone.0, p.cell, p.able);
    }
    if let Some(grace) = agreed.drain_grace {
        let _ = writeln!(text, "grace {}", Ms(grace));
    }
    let _ = writeln!(
        text,
        "postings {}\nslack {}\nconnect {}",
        agreed.most_postings,
        Ms(agreed.slack),
        Ms(agreed.connect_within)
    );
    if let Some(c) = &agreed.cold {
        let _ = writeln!(text, "cold {} {} {} {}", c.from, Ms(c.span), c.multiple, Ms(c.within));
    }
    // Whoever wrote a line wrote it when it knew of it; read they are in order of time.
    let mut lines: Vec<&(Micros, Entry)> = ledger.lines.iter().collect();
    lines.sort_by_key(|line| line.0);
    for (at, entry) in &lines {
        let _ = writeln!(text, "{} {}", Ms(*at), say(entry));
    }
    let _ = writeln!(text, "end {}", lines.len());
    text
}
